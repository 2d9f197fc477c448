package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/intake"
	"github.com/carawayreel/carawayreel/internal/transport"
)

// Guards against a refusal for lack of memory, or of a body that stalls, of a request that ran.
// Six callers send bodies of 4 MiB without the last byte, to a VM with 16 MiB for callers.
func TestRequestsWithoutMemoryOrProgressAreNotRun(t *testing.T) {
	f := newFixture(t)
	c, _ := proto.Clone(f.views.Current().Configuration).(*pb.Configuration)
	c.Revision, c.RouteTable.Limits = 2, &pb.CallerLimits{}
	f.views.set(c)
	gate := intake.NewGate(intake.Options{
		Memory: 1, Descriptors: 100, Logger: zerolog.Nop(), Metrics: metrics.NewSet(), CallerLimits: f.gateway.CallerLimits,
		Settings: &pb.IntakeSettings{MemoryShare: 0.25, DescriptorShare: 0.5, MaxHeaderLines: 100, BodyTimeoutMs: 500},
	})
	server, err := transport.ListenHTTP1("127.0.0.1:0", f.gateway, gate.Apply)
	require.NoError(t, err)
	go func() { _ = server.Serve(t.Context()) }()

	const bodyBytes = 4 << 20
	head := fmt.Sprintf("POST /e/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	conns := make([]net.Conn, 0, 6)
	for range cap(conns) {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
		go func() { _, _ = io.WriteString(conn, head+strings.Repeat("a", bodyBytes-1)) }()
	}
	statuses := map[int]int{}
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		statuses[response.StatusCode]++
		if response.StatusCode == http.StatusServiceUnavailable {
			require.Equal(t, "1.000", response.Header.Get("Retry-After"))
		}
	}
	require.Len(t, statuses, 2, "%v", statuses)
	require.NotZero(t, statuses[http.StatusServiceUnavailable])
	require.NotZero(t, statuses[http.StatusRequestTimeout])
	require.Empty(t, f.targets["ua"].Runs())
	require.Empty(t, f.targets["ub"].Runs())
}
