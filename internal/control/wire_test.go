package control

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return countingConnection{connection, l}, err
}

type countingConnection struct {
	net.Conn
	listener *countingListener
}

func (c countingConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c countingConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

type heartbeatHandler struct {
	carawayreelv1connect.UnimplementedPeerServiceHandler
	machine *machine
}

func (h heartbeatHandler) Heartbeat(_ context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	return connect.NewResponse(responseIn(h.machine.step(&pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatReceived{HeartbeatReceived: r.Msg}}))), nil
}

// Measures the bytes of a heartbeat on the wire, with HTTP/2 headers but without TCP headers, over a
// persistent connection.
func TestHeartbeatHeadersFitBudget(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counting := &countingListener{Listener: listener}
	m, others := machineWithMembers(333)
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewPeerServiceHandler(heartbeatHandler{machine: m}))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: &protocols}
	done := make(chan error, 1)
	go func() { done <- server.Serve(counting) }()
	transport := &http.Transport{Protocols: &protocols}
	client := carawayreelv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+listener.Addr().String())
	request := &pb.HeartbeatRequest{Sender: others[0], ConfigurationRevision: 12345, ConfigurationAgeMs: 700, MembersDigest: m.table.Digest()}
	send := func() *pb.HeartbeatResponse {
		response, err := client.Heartbeat(context.Background(), connect.NewRequest(request))
		require.NoError(t, err)
		return response.Msg
	}
	response := send()
	const calls = 100
	before := counting.bytes.Load()
	for range calls {
		response = send()
	}
	perCall := (counting.bytes.Load() - before) / calls
	messages := int64(proto.Size(request) + proto.Size(response))
	t.Logf("one heartbeat and its answer: %d bytes, of which %d are the messages", perCall, messages)
	// 3 neighbours, 1 random VM and 1 VM of another failure domain; as many sent as received, every 300 ms.
	const callsPerSecond = 2 * 5 / 0.3
	require.Less(t, float64(perCall)*callsPerSecond, float64(controlBytesPerSecond))
	transport.CloseIdleConnections()
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-done, http.ErrServerClosed)
}
