package intake

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
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// testGate is a gate with a server on a loopback port that echoes bodies.
type testGate struct {
	*Gate
	address string
	// hold delays the answer of requests with the path /hold until it is closed.
	hold chan struct{}
}

func startGate(t *testing.T, options Options, limits *pb.CallerLimits) *testGate {
	t.Helper()
	options.CallerLimits = func() *pb.CallerLimits { return limits }
	options.Logger, options.Metrics = zerolog.Nop(), metrics.NewSet()
	if options.Settings == nil {
		options.Settings = &pb.IntakeSettings{MemoryShare: 0.5, DescriptorShare: 0.5, MaxHeaderLines: 200, BodyTimeoutMs: 300}
	}
	g := &testGate{Gate: NewGate(options), hold: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(g.echo), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(g.Apply(server, listener)) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.Eventually(t, func() bool { return g.held() == Limits{} }, 5*time.Second, 5*time.Millisecond, "all is given back")
	})
	return g
}

func (g *testGate) echo(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refuse" || !FromContext(r.Context()).Admitted() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := ReadBody(w, r, 1<<20)
	switch r.URL.Path {
	case "/hold":
		<-g.hold
	case "/outlive":
		release := FromContext(r.Context()).Hold()
		go func() {
			<-g.hold
			release()
		}()
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrNoMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrStalled):
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = w.Write(body)
	}
}

// dial opens a connection and sends the text.
func (g *testGate) dial(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", g.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

// answer reads an answer and returns its status and body; status 0 means that there was none.
func answer(conn net.Conn, reader *bufio.Reader) (int, string) {
	const timeout = 10 * time.Second
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func request(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n%s", path, headers, body)
}

const gateMemory = 64 << 20

// Guards against requests on one connection that are counted together, and against bytes that
// are not given back.
func TestConnectionServesRequestsOneAfterAnother(t *testing.T) {
	g := startGate(t, Options{Memory: gateMemory, Descriptors: 100}, nil)
	large := strings.Repeat("a", 200<<10)
	one := request("/", fmt.Sprintf("Content-Length: %d\r\n", len(large)), large)
	chunks := request("/", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	bare := request("/", "", "")
	conn, reader := g.dial(t, one)
	for range 3 {
		status, body := answer(conn, reader)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, large, body)
		_, err := io.WriteString(conn, chunks+bare)
		require.NoError(t, err)
		status, body = answer(conn, reader)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "abcde", body)
		status, body = answer(conn, reader)
		require.Equal(t, http.StatusOK, status)
		require.Empty(t, body)
		require.Eventually(t, func() bool { return g.held() == Limits{Connections: 1, Memory: ConnectionBytes} }, time.Second, time.Millisecond)
		_, err = io.WriteString(conn, one)
		require.NoError(t, err)
	}
}

func TestUnusualRequestsAreRefused(t *testing.T) {
	limits := &pb.CallerLimits{MaxHeaderBytes: 2000, HeaderTimeoutMs: 300, IdleTimeoutMs: 300}
	g := startGate(t, Options{Memory: gateMemory, Descriptors: 100}, limits)
	cases := []struct {
		name, text string
		status     int
	}{
		{"too many lines", request("/", strings.Repeat("a:\r\n", 201), ""), 431},
		{"too many bytes", request("/", "A: "+strings.Repeat("a", 7000)+"\r\n", ""), 431},
		{"stalled body", request("/", "Content-Length: 10\r\n", "abc"), 408},
		{"stalled chunk", request("/", "Transfer-Encoding: chunked\r\n", "3\r\na"), 408},
		{"body above the limit", request("/", "Content-Length: 2000000\r\n", "a"), 413},
		{"chunks above the limit", request("/", "Transfer-Encoding: chunked\r\n", "200000\r\n"+strings.Repeat("a", 1<<20+1)), 413},
		{"refused with an open body", request("/refuse", "Content-Length: 10\r\n", "abc"), 503},
		{"unfinished head", "POST / HTTP/1.1\r\nHost: h\r\n", 0},
		{"nothing", "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, reader := g.dial(t, c.text)
			status, text := answer(conn, reader)
			require.Equal(t, c.status, status, text)
			require.NotContains(t, text, "timeout", "the connection is closed in the time of the configuration")
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, err := io.Copy(io.Discard, reader)
			var timeout net.Error
			require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection is closed")
		})
	}
	conn, reader := g.dial(t, request("/", "", ""))
	status, _ := answer(conn, reader)
	require.Equal(t, http.StatusOK, status)
	status, text := answer(conn, reader)
	require.Zero(t, status)
	require.NotContains(t, text, "timeout", "an idle connection is closed in the time of the configuration")
}

// Guards against a body that keeps its memory while it stalls and others need it, and against
// a refusal that does not reach the caller.
func TestStalledBodyGivesWay(t *testing.T) {
	settings := &pb.IntakeSettings{MemoryShare: 0.5, DescriptorShare: 0.5, MaxHeaderLines: 200, BodyTimeoutMs: 20000}
	g := startGate(t, Options{Memory: 2 * minMemory, Descriptors: 100, Settings: settings}, nil)
	size := 1 << 20
	unfinished := request("/", fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("a", size-1))
	stalled := make([]net.Conn, 20)
	readers := make([]*bufio.Reader, len(stalled))
	for i := range stalled {
		stalled[i], readers[i] = g.dial(t, unfinished)
	}
	require.Eventually(t, func() bool { return g.counters.requestsRefused.Get() > 0 || g.held().Memory > 10<<20 }, 5*time.Second, time.Millisecond)
	time.Sleep(stallTime)
	conn, reader := g.dial(t, unfinished+"a")
	status, body := answer(conn, reader)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, size)
	refused := 0
	for i := range stalled {
		_ = stalled[i].SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if response, err := http.ReadResponse(readers[i], nil); err == nil {
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			_ = response.Body.Close()
			refused++
		}
	}
	require.NotZero(t, refused)
	require.NotZero(t, g.counters.evicted[ReadingBody].Get())
}

// Guards against memory that is given back while attempts that outlive the answer still need it,
// and against heads that are not counted because they came together with the request before.
func TestMemoryIsHeldWhileItIsNeeded(t *testing.T) {
	g := startGate(t, Options{Memory: gateMemory, Descriptors: 100}, nil)
	large := strings.Repeat("a", 300<<10)
	conn, reader := g.dial(t, request("/outlive", fmt.Sprintf("Content-Length: %d\r\n", len(large)), large))
	status, _ := answer(conn, reader)
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return g.held().Connections == 0 }, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, g.held().Memory, int64(len(large)))
	close(g.hold)
	require.Eventually(t, func() bool { return g.held().Memory == 0 }, 5*time.Second, time.Millisecond)

	held := make(chan struct{})
	g.hold = held
	const lines = 150
	conn, reader = g.dial(t, request("/", "", "")+request("/hold", strings.Repeat("a:\r\n", lines), ""))
	status, _ = answer(conn, reader)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return g.held().Memory >= ConnectionBytes+lines*lineMemory-freeHeadBytes }, 5*time.Second, time.Millisecond)
	close(held)
	status, _ = answer(conn, reader)
	require.Equal(t, http.StatusOK, status)
}

// Guards against more open connections than there are descriptors for.
func TestConnectionsBeyondTheBoundAreClosed(t *testing.T) {
	g := startGate(t, Options{Memory: gateMemory, Descriptors: 40}, nil)
	conn, reader := g.dial(t, request("/hold", "", ""))
	for range 30 {
		_, _ = g.dial(t, "")
	}
	require.Eventually(t, func() bool { return g.counters.connectionsRefused.Get() >= 11 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, g.held().Connections, int64(20))
	close(g.hold)
	status, _ := answer(conn, reader)
	require.Equal(t, http.StatusOK, status, "a running request goes on")
}
