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
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
)

// dialect is a dialect of the tests' own.
type dialect struct{}

func (dialect) RequestID(h http.Header) string      { return h.Get("Id") }
func (dialect) TimeLimit(http.Header) time.Duration { return 0 }
func (dialect) AppendAttempt(text []byte, target string, left time.Duration) []byte {
	return fmt.Appendf(text, "Target: %s\r\nLeft: %s\r\n", target, left)
}
func (dialect) Reply(_ int, h http.Header) backend.Statement {
	return backend.Statement{RequestID: h.Get("Id"), Receipt: h.Get("Receipt"), NotRun: h.Get("Not-Run") != ""}
}
func (dialect) Gathered(http.Header, []string, int) {}

// server answers each request on a connection by a script of raw bytes; an empty
// string closes the connection. It counts requests and connections.
type server struct {
	listener    net.Listener
	requests    atomic.Int64
	connections atomic.Int64
	last        atomic.Pointer[http.Request]
}

func serve(t *testing.T, script func(request int, conn net.Conn, r *http.Request)) *server {
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

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func client() *backend.Client { return backend.NewClient(dialect{}, "", metrics.NewSet()) }

func (s *server) target() *backend.Target {
	return &backend.Target{ID: "t", Address: s.listener.Addr().String(), Connections: 2}
}

func request(id string) *backend.Request {
	return &backend.Request{ID: id, Method: "GET", URI: "/a%2Fb/../c?x=1", Host: "h.example", Header: http.Header{"Id": {id}}}
}

func TestARequestArrivesUnchangedAndConnectionsAreKept(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) { _, _ = io.WriteString(c, ok(r.Header.Get("Id"), "body")) })
	c := client()
	for _, id := range []string{"1", "2", "3"} {
		reply, err := c.Send(context.Background(), s.target(), request(id), time.Second)
		require.NoError(t, err)
		require.Equal(t, "body", string(reply.Body))
		require.True(t, reply.Good())
	}
	require.EqualValues(t, 1, s.connections.Load())
	r := s.last.Load()
	require.Equal(t, "/a%2Fb/../c?x=1", r.RequestURI)
	require.Equal(t, "h.example", r.Host)
	require.Equal(t, "t", r.Header.Get("Target"))
	require.Empty(t, r.Header.Get("User-Agent"))
	require.Empty(t, r.Header.Get("Accept-Encoding"), "the library must not ask for an encoding")
}

// net/http sends a GET again by itself when a kept connection breaks, without
// telling; that would run it twice.
func TestARequestIsNeverSentAgainOnItsOwn(t *testing.T) {
	s := serve(t, func(n int, c net.Conn, r *http.Request) {
		if n == 1 {
			_, _ = io.WriteString(c, ok(r.Header.Get("Id"), ""))
			return
		}
		_ = c.Close()
	})
	c := client()
	_, err := c.Send(context.Background(), s.target(), request("1"), time.Second)
	require.NoError(t, err)
	_, err = c.Send(context.Background(), s.target(), request("2"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestAReplyNobodyAskedForBelongsToNoRequest(t *testing.T) {
	s := serve(t, func(n int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, ok(r.Header.Get("Id"), "mine"))
		if n == 1 {
			_, _ = io.WriteString(c, ok("0", "late"))
		}
	})
	c := client()
	_, err := c.Send(context.Background(), s.target(), request("1"), time.Second)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	reply, err := c.Send(context.Background(), s.target(), request("2"), time.Second)
	require.NoError(t, err)
	require.Equal(t, "mine", string(reply.Body))
	require.EqualValues(t, 2, s.connections.Load())
}

func TestAReplyToAnotherRequestIsNotTaken(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, ok("other", "")) })
	_, err := client().Send(context.Background(), s.target(), request("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
}

func TestRepliesThatAreNotWholeAreLost(t *testing.T) {
	for name, raw := range map[string]string{
		"cut":     "HTTP/1.1 200 OK\r\nReceipt: x\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"garbage": "\x16\x03\x01 what\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, raw); _ = c.Close() })
			_, err := client().Send(context.Background(), s.target(), request("1"), time.Second)
			require.ErrorIs(t, err, backend.ErrLost)
		})
	}
}

func TestAReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nReceipt: x\r\n\r\nwhole")
		_ = c.Close()
	})
	c := client()
	for range 2 {
		reply, err := c.Send(context.Background(), s.target(), request("1"), time.Second)
		require.NoError(t, err)
		require.Equal(t, "whole", string(reply.Body))
	}
	require.EqualValues(t, 2, s.connections.Load())
}

func TestARefusedConnectionIsNotSent(t *testing.T) {
	s := serve(t, nil)
	target := s.target()
	_ = s.listener.Close()
	_, err := client().Send(context.Background(), target, request("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrNotSent)
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(_ int, c net.Conn, r *http.Request) {
		<-release
		_, _ = io.WriteString(c, ok(r.Header.Get("Id"), ""))
	})
	c := client()
	done := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() {
			_, err := c.Send(context.Background(), s.target(), request(id), time.Second)
			done <- err
		}()
	}
	require.Eventually(t, func() bool { return s.requests.Load() == 2 }, time.Second, time.Millisecond)
	_, err := c.Send(context.Background(), s.target(), request("3"), time.Second)
	require.ErrorIs(t, err, backend.ErrBusy)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

// The target ends the connection as soon as it has the request: the end may be
// seen before the writing of the request has returned, and yet the target has it.
func TestARequestThatTheTargetHasIsNeverSaidNotToBeSent(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) { _ = c.Close() })
	c := client()
	for i := range 500 {
		_, err := c.Send(context.Background(), s.target(), request(strconv.Itoa(i)), time.Second)
		require.ErrorIs(t, err, backend.ErrLost)
	}
	require.EqualValues(t, 500, s.requests.Load())
}

// With one connection to a target, two requests at a time are usual on a large
// deployment; the second one would else go to a target further away.
func TestARequestWaitsAWhileForAConnectionInUse(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, ok(r.Header.Get("Id"), ""))
	})
	c := client()
	one := *s.target()
	one.Connections = 1
	done := make(chan error, 3)
	for _, id := range []string{"1", "2", "3"} {
		go func() {
			_, err := c.Send(context.Background(), &one, request(id), time.Second)
			done <- err
		}()
	}
	for range 3 {
		require.NoError(t, <-done)
	}
	require.EqualValues(t, 1, s.connections.Load())
}

func TestConnectionsUnusedForTheirTimeAreClosed(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, ok(r.Header.Get("Id"), ""))
	})
	c := client()
	short := *s.target()
	short.IdleLimit = 100 * time.Millisecond
	for _, id := range []string{"1", "2"} {
		_, err := c.Send(context.Background(), &short, request(id), time.Second)
		require.NoError(t, err)
		c.CloseIdle(time.Now())
	}
	require.EqualValues(t, 1, s.connections.Load())
	c.CloseIdle(time.Now().Add(short.IdleLimit))
	_, err := c.Send(context.Background(), &short, request("3"), time.Second)
	require.NoError(t, err)
	require.EqualValues(t, 2, s.connections.Load())
}

func TestACancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := client().Send(ctx, s.target(), request("1"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the target does not see that the request was given up")
	}
}

// A target may reply before it has read a long body and read on later; the
// connection carries nothing else until the body is through.
func TestAReplyBeforeTheBodyIsReadLeavesNoOtherBytesInItsPlace(t *testing.T) {
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
		_, _ = io.WriteString(conn, ok("1", "early"))
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	}()
	r := request("1")
	r.Method, r.Body = "POST", []byte(strings.Repeat("x", size))
	target := &backend.Target{ID: "t", Address: listener.Addr().String(), Connections: 1}
	reply, err := client().Send(context.Background(), target, r, time.Second)
	require.NoError(t, err)
	require.Equal(t, "early", string(reply.Body))
	require.EqualValues(t, size, <-got)
}

func TestAnIdleConnectionIsNotUsedBeyondTheTargetsTimeout(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nReceipt: x\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n")
	})
	c := client()
	for _, id := range []string{"1", "2"} {
		_, err := c.Send(context.Background(), s.target(), request(id), time.Second)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, s.connections.Load())
}
