package platformclient_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/platformclient"
)

// fakeServer is a key-value service with one key. It can close the connection after
// a write took effect, or reject writes because of a rate limit.
type fakeServer struct {
	carawayreelv1connect.UnimplementedKeyValueServiceHandler
	puts          atomic.Int32
	closeAfterPut atomic.Bool
	rateLimit     atomic.Bool
	leases        atomic.Int32
}

func (s *fakeServer) Get(context.Context, *connect.Request[pb.KeyValueGetRequest]) (*connect.Response[pb.KeyValueGetResponse], error) {
	return connect.NewResponse(&pb.KeyValueGetResponse{Value: []byte("v"), Version: 3}), nil
}

func (s *fakeServer) Put(_ context.Context, r *connect.Request[pb.KeyValuePutRequest]) (*connect.Response[pb.KeyValuePutResponse], error) {
	if s.rateLimit.Load() {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	s.puts.Add(1)
	if s.closeAfterPut.Load() {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&pb.KeyValuePutResponse{Written: r.Msg.Unconditional || r.Msg.ExpectedVersion == 3, Version: 4, Value: []byte("w")}), nil
}

func (s *fakeServer) Watch(_ context.Context, r *connect.Request[pb.KeyValueWatchRequest]) (*connect.Response[pb.KeyValueWatchResponse], error) {
	return connect.NewResponse(&pb.KeyValueWatchResponse{Changed: r.Msg.AfterVersion < 3, Value: []byte("v"), Version: 3}), nil
}

func (s *fakeServer) GrantLease(context.Context, *connect.Request[pb.GrantLeaseRequest]) (*connect.Response[pb.GrantLeaseResponse], error) {
	s.leases.Add(1)
	return connect.NewResponse(&pb.GrantLeaseResponse{Lease: 1}), nil
}

func (s *fakeServer) ListVms(context.Context, *connect.Request[pb.ListVmsRequest]) (*connect.Response[pb.ListVmsResponse], error) {
	return connect.NewResponse(&pb.ListVmsResponse{Vms: []*pb.ListedVm{{Vm: "vm"}}}), nil
}

func start(t *testing.T, http2 bool) (*fakeServer, *platformclient.Client) {
	t.Helper()
	server := &fakeServer{}
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewKeyValueServiceHandler(server))
	mux.Handle(carawayreelv1connect.NewVmListServiceHandler(server))
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	httpServer := httptest.NewUnstartedServer(mux)
	httpServer.Config.Protocols = &protocols
	httpServer.Start()
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		httpServer.Close()
	})
	return server, platformclient.NewClient(&http.Client{Transport: transport}, httpServer.URL, 2*time.Second)
}

func TestClientCalls(t *testing.T) {
	server, client := start(t, false)
	ctx := context.Background()
	entry, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, platformclient.Entry{Value: []byte("v"), Version: 3}, entry)
	put, err := client.Put(ctx, "k", []byte("w"), 3)
	require.NoError(t, err)
	require.True(t, put.Written)
	put, err = client.Put(ctx, "k", []byte("w"), 2)
	require.NoError(t, err)
	require.Equal(t, platformclient.PutResult{Version: 4, Current: []byte("w")}, put)
	require.NoError(t, client.Replace(ctx, "k", nil))
	require.NoError(t, client.Expire(ctx, "k", time.Minute))
	require.Equal(t, int32(1), server.leases.Load())
	watched, err := client.Watch(ctx, "k", 3, time.Second)
	require.NoError(t, err)
	require.False(t, watched.Changed)
	vms, err := client.ListVMs(ctx)
	require.NoError(t, err)
	require.Len(t, vms, 1)
}

// Guards against a duplicated write: the server closes the connection after the
// write took effect. On a reused connection, net/http would resend a request that
// it considers replayable.
func TestPutIsSentAtMostOnce(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		server, client := start(t, http2)
		ctx := context.Background()
		_, err := client.Get(ctx, "k")
		require.NoError(t, err)
		server.closeAfterPut.Store(true)
		for i := range int32(5) {
			_, err = client.Put(ctx, "k", []byte("w"), 3)
			require.ErrorIs(t, err, platformclient.ErrOutcomeUnknown)
			require.Equal(t, i+1, server.puts.Load(), "http2: %v", http2)
			_, err = client.Get(ctx, "k")
			require.NoError(t, err)
		}
	}
}

func TestErrorKinds(t *testing.T) {
	server, client := start(t, false)
	ctx := context.Background()
	server.rateLimit.Store(true)
	_, err := client.Put(ctx, "k", nil, 3)
	require.ErrorIs(t, err, platformclient.ErrRateLimited)
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = client.Put(canceled, "k", nil, 3)
	require.ErrorIs(t, err, platformclient.ErrUnavailable)
	_, err = client.Get(canceled, "k")
	require.ErrorIs(t, err, platformclient.ErrUnavailable)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	unreachable := platformclient.NewClient(http.DefaultClient, address, time.Second)
	_, err = unreachable.Put(ctx, "k", nil, 3)
	require.ErrorIs(t, err, platformclient.ErrUnavailable, "the write was never sent")
	_, err = unreachable.Watch(ctx, "k", 0, 0)
	require.ErrorIs(t, err, platformclient.ErrUnavailable)
}
