package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
)

// dialect is a minimal Dialect for the tests.
type dialect struct{}

func (dialect) RequestID(h http.Header) string      { return h.Get("Id") }
func (dialect) TimeLimit(http.Header) time.Duration { return 0 }
func (dialect) AppendAttemptHeaders(text []byte, target string, timeLeft time.Duration) []byte {
	return fmt.Appendf(text, "Target: %s\r\nLeft: %s\r\n", target, timeLeft)
}
func (dialect) RemoveAttemptHeaders(http.Header)    {}
func (dialect) Key(http.Header) string              { return "" }
func (dialect) Organisation(http.Header) string     { return "" }
func (dialect) SetOrganisation(http.Header, string) {}
func (dialect) ParseReply(_ int, h http.Header) backend.ReplyMetadata {
	return backend.ReplyMetadata{RequestID: h.Get("Id"), Receipt: h.Get("Receipt"), NotRun: h.Get("Not-Run") != ""}
}
func (dialect) SetGatherHeaders(http.Header, []string, int) {}

// server passes each request on a connection to a script, which writes raw bytes or
// closes the connection. It counts requests and connections.
type server struct {
	listener    net.Listener
	requests    atomic.Int64
	connections atomic.Int64
	last        atomic.Pointer[http.Request]
}

func startServer(t *testing.T, script func(request int, conn net.Conn, r *http.Request)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.handle(conn, script)
		}
	}()
	return s
}

func (s *server) handle(conn net.Conn, script func(int, net.Conn, *http.Request)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.last.Store(r)
		script(int(s.requests.Add(1)), conn, r)
	}
}

func rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

func okReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient() *backend.Client {
	return backend.NewClient(dialect{}, "", metrics.NewSet(), backend.MetricPrefix)
}

func (s *server) target() *backend.Target {
	return &backend.Target{ID: "t", Address: s.listener.Addr().String(), Connections: 2}
}

func newRequest(id string) *backend.Request {
	return &backend.Request{ID: id, Method: "GET", URI: "/a%2Fb/../c?x=1", Host: "h.example", Header: http.Header{"Id": {id}}}
}

func TestRequestArrivesUnchangedAndConnectionsAreReused(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), "body"))
	})
	c := newClient()
	for _, id := range []string{"1", "2", "3"} {
		reply, err := c.Send(context.Background(), s.target(), newRequest(id), time.Second)
		require.NoError(t, err)
		require.Equal(t, "body", string(reply.Body))
		require.True(t, reply.Successful())
	}
	require.EqualValues(t, 1, s.connections.Load())
	r := s.last.Load()
	require.Equal(t, "/a%2Fb/../c?x=1", r.RequestURI)
	require.Equal(t, "h.example", r.Host)
	require.Equal(t, "t", r.Header.Get("Target"))
	require.Empty(t, r.Header.Get("User-Agent"))
	require.Empty(t, r.Header.Get("Accept-Encoding"), "net/http must not request an encoding")
}

// net/http silently retries a GET when a kept connection breaks, which would run the
// request twice.
func TestRequestIsNeverRetriedImplicitly(t *testing.T) {
	s := startServer(t, func(n int, c net.Conn, r *http.Request) {
		if n == 1 {
			_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), ""))
			return
		}
		_ = c.Close()
	})
	c := newClient()
	_, err := c.Send(context.Background(), s.target(), newRequest("1"), time.Second)
	require.NoError(t, err)
	_, err = c.Send(context.Background(), s.target(), newRequest("2"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestUnsolicitedReplyIsDiscarded(t *testing.T) {
	s := startServer(t, func(n int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), "mine"))
		if n == 1 {
			_, _ = io.WriteString(c, okReply("0", "late"))
		}
	})
	c := newClient()
	_, err := c.Send(context.Background(), s.target(), newRequest("1"), time.Second)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	reply, err := c.Send(context.Background(), s.target(), newRequest("2"), time.Second)
	require.NoError(t, err)
	require.Equal(t, "mine", string(reply.Body))
	require.EqualValues(t, 2, s.connections.Load())
}

func TestReplyToAnotherRequestIsRejected(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, okReply("other", "")) })
	_, err := newClient().Send(context.Background(), s.target(), newRequest("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
}

func TestIncompleteRepliesAreLost(t *testing.T) {
	for name, raw := range map[string]string{
		"cut":     "HTTP/1.1 200 OK\r\nReceipt: x\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"garbage": "\x16\x03\x01 what\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(_ int, c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, raw); _ = c.Close() })
			_, err := newClient().Send(context.Background(), s.target(), newRequest("1"), time.Second)
			require.ErrorIs(t, err, backend.ErrLost)
		})
	}
}

func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nReceipt: x\r\n\r\nwhole")
		_ = c.Close()
	})
	c := newClient()
	for range 2 {
		reply, err := c.Send(context.Background(), s.target(), newRequest("1"), time.Second)
		require.NoError(t, err)
		require.Equal(t, "whole", string(reply.Body))
	}
	require.EqualValues(t, 2, s.connections.Load())
}

// A reply without a length ends with its connection, unless the connection is reset.
func TestReplyWithoutLengthIsLostWhenItsConnectionIsReset(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nReceipt: x\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := newClient().Send(context.Background(), s.target(), newRequest("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	s := startServer(t, nil)
	target := s.target()
	_ = s.listener.Close()
	_, err := newClient().Send(context.Background(), target, newRequest("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrNotSent)
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		<-release
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), ""))
	})
	c := newClient()
	done := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() {
			_, err := c.Send(context.Background(), s.target(), newRequest(id), time.Second)
			done <- err
		}()
	}
	require.Eventually(t, func() bool { return s.requests.Load() == 2 }, time.Second, time.Millisecond)
	_, err := c.Send(context.Background(), s.target(), newRequest("3"), time.Second)
	require.ErrorIs(t, err, backend.ErrBusy)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

// Guards against connections to many targets that together take more descriptors than there are, and
// against idle ones that keep others from being set up.
func TestConnectionsToAllTargetsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		<-release
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), ""))
	})
	c := newClient()
	c.LimitConnections(2)
	target := func(id string) *backend.Target {
		other := *s.target()
		other.ID = id
		return &other
	}
	done := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() {
			_, err := c.Send(context.Background(), target(id), newRequest(id), time.Second)
			done <- err
		}()
	}
	require.Eventually(t, func() bool { return s.requests.Load() == 2 }, time.Second, time.Millisecond)
	_, err := c.Send(context.Background(), target("3"), newRequest("3"), time.Second)
	require.ErrorIs(t, err, backend.ErrBusy)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
	for _, id := range []string{"4", "5", "6", "7"} {
		_, err = c.Send(context.Background(), target(id), newRequest(id), time.Second)
		require.NoError(t, err)
	}
}

// The target closes the connection as soon as it has the request. The close may be
// seen before the write has returned, although the target has the request.
func TestReceivedRequestIsNeverReportedAsNotSent(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, _ *http.Request) { _ = c.Close() })
	c := newClient()
	lost := 0
	for i := range 500 {
		_, err := c.Send(context.Background(), s.target(), newRequest(strconv.Itoa(i)), time.Second)
		if !errors.Is(err, backend.ErrConnectTimeout) {
			require.ErrorIs(t, err, backend.ErrLost)
			lost++
		}
	}
	require.EqualValues(t, lost, s.requests.Load())
	require.Greater(t, lost, 400)
}

// With a single connection to a target, two concurrent requests are common on a large
// deployment. Without waiting, the second one would go to a target further away.
func TestRequestWaitsForAConnectionInUse(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), ""))
	})
	c := newClient()
	one := *s.target()
	one.Connections = 1
	done := make(chan error, 3)
	for _, id := range []string{"1", "2", "3"} {
		go func() {
			_, err := c.Send(context.Background(), &one, newRequest(id), time.Second)
			done <- err
		}()
	}
	for range 3 {
		require.NoError(t, <-done)
	}
	require.EqualValues(t, 1, s.connections.Load())
}

func TestIdleConnectionsAreClosedAfterTheirLimit(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), ""))
	})
	c := newClient()
	short := *s.target()
	short.IdleLimit = 100 * time.Millisecond
	for _, id := range []string{"1", "2"} {
		_, err := c.Send(context.Background(), &short, newRequest(id), time.Second)
		require.NoError(t, err)
		c.CloseIdle(time.Now())
	}
	require.EqualValues(t, 1, s.connections.Load())
	c.CloseIdle(time.Now().Add(short.IdleLimit))
	_, err := c.Send(context.Background(), &short, newRequest("3"), time.Second)
	require.NoError(t, err)
	require.EqualValues(t, 2, s.connections.Load())
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient().Send(ctx, s.target(), newRequest("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the target did not see its connection close")
	}
}

// A target may reply before it has read a long body and read the rest later. The
// connection carries no other bytes until the whole body has been sent.
func TestConnectionIsNotReusedBeforeTheBodyIsSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	const size = 8 << 20
	got := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, okReply("1", "early"))
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	}()
	r := newRequest("1")
	r.Method, r.Body = "POST", []byte(strings.Repeat("x", size))
	target := &backend.Target{ID: "t", Address: listener.Addr().String(), Connections: 1}
	reply, err := newClient().Send(context.Background(), target, r, time.Second)
	require.NoError(t, err)
	require.Equal(t, "early", string(reply.Body))
	require.EqualValues(t, size, <-got)
}

func TestIdleConnectionIsNotUsedBeyondTargetsTimeout(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nReceipt: x\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n")
	})
	c := newClient()
	for _, id := range []string{"1", "2"} {
		_, err := c.Send(context.Background(), s.target(), newRequest(id), time.Second)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, s.connections.Load())
}

func TestReplyToHeadHasNoBody(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\n")
	})
	r := newRequest("1")
	r.Method = http.MethodHead
	reply, err := newClient().Send(context.Background(), s.target(), r, time.Second)
	require.NoError(t, err)
	require.Empty(t, reply.Body)
}
