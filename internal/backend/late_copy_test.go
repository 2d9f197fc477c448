package backend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
)

// A late second copy of a reply may lack the ID. It arrives here after the next request
// has been sent on the same connection.
func TestReplyWithoutIDIsRejectedFromATargetThatStatesIDs(t *testing.T) {
	s := startServer(t, func(n int, c net.Conn, r *http.Request) {
		if n == 1 {
			_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), "first"))
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nReceipt: x\r\nContent-Length: 5\r\n\r\nfirst")
	})
	c := newClient()
	_, err := c.Send(context.Background(), s.target(), newRequest("1"), time.Second)
	require.NoError(t, err)
	_, err = c.Send(context.Background(), s.target(), newRequest("2"), time.Second)
	require.ErrorIs(t, err, backend.ErrLost)
}

// Guards against a request that runs twice: a target sends a second copy of its rejection
// when the same request arrives again on that connection, and runs the request.
func TestRequestIsNotSentTwiceOnOneConnection(t *testing.T) {
	var rejections sync.Map
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		id := r.Header.Get("Id")
		if rejected, again := rejections.LoadOrStore(c, id); !again {
			_, _ = io.WriteString(c, rejection(id))
			return
		} else if rejected == id {
			_, _ = io.WriteString(c, rejection(id))
		}
		_, _ = io.WriteString(c, okReply(id, "run"))
	})
	for _, connections := range []int{1, 2} {
		c := newClient()
		target := *s.target()
		target.Connections = connections
		for range 3 {
			reply, err := c.Send(context.Background(), &target, newRequest("1"), time.Second)
			require.NoError(t, err)
			require.True(t, reply.NotRun, "a target has no other connection with this request")
		}
		reply, err := c.Send(context.Background(), &target, newRequest("2"), time.Second)
		require.NoError(t, err)
		require.Equal(t, "run", string(reply.Body), "other requests still use the connections")
	}
	require.EqualValues(t, 6, s.connections.Load())
}

// Guards against a waiting request that gets the connection on which it was rejected.
func TestWaitingRequestDoesNotGetAConnectionThatCarriedIt(t *testing.T) {
	s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, okReply(r.Header.Get("Id"), c.RemoteAddr().String()))
	})
	c := newClient()
	one := *s.target()
	one.Connections = 1
	var bodies [3]string
	var all sync.WaitGroup
	for i := range bodies {
		all.Go(func() {
			reply, err := c.Send(context.Background(), &one, newRequest("1"), time.Second)
			for errors.Is(err, backend.ErrBusy) {
				// On a busy machine the connection does not become free in time.
				reply, err = c.Send(context.Background(), &one, newRequest("1"), time.Second)
			}
			if err == nil {
				bodies[i] = string(reply.Body)
			}
		})
	}
	all.Wait()
	for i, body := range bodies {
		require.NotEmpty(t, body)
		require.NotContains(t, bodies[:i], body)
	}
}

// Guards against the reply to another request: a target that states no IDs sends a second
// copy of a reply when the next request has arrived.
func TestConnectionIsNotReusedAfterAReplyWithoutID(t *testing.T) {
	s := startServer(t, func(n int, c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReceipt: x\r\nContent-Length: 1\r\n\r\n%d", 1)
		if n > 1 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReceipt: x\r\nContent-Length: 1\r\n\r\n%d", n)
		}
	})
	c := newClient()
	for _, id := range []string{"1", "2"} {
		_, err := c.Send(context.Background(), s.target(), newRequest(id), time.Second)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, s.connections.Load())
}
