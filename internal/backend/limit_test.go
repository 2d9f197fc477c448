package backend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// maxAcceptedBytes bounds what a client may accept of an endless reply: the largest body
// in its least compact encoding and the socket buffers of both sides.
const maxAcceptedBytes = 48 << 20

func TestReplyWithoutEndIsCutOff(t *testing.T) {
	for name, reply := range testkit.EndlessReplies() {
		t.Run(name, func(t *testing.T) {
			s, err := testkit.StartEndlessServer(reply)
			require.NoError(t, err)
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			target := &backend.Target{ID: "t", Address: s.Address(), Connections: 1}
			_, err = newClient().Send(ctx, target, newRequest("1"), 10*time.Second)
			require.ErrorIs(t, err, backend.ErrLost)
			require.NoError(t, ctx.Err(), "the reply is cut off before its deadline")
			require.Eventually(t, func() bool { return s.ClosedByClient() == 1 }, 5*time.Second, time.Millisecond)
			require.Less(t, s.Sent(), int64(maxAcceptedBytes))
		})
	}
}

// Targets that send large bodies without end at the same time must not fill the memory.
func TestRepliesWithoutEndShareABoundOfMemory(t *testing.T) {
	s, err := testkit.StartEndlessServer(testkit.EndlessReplies()["body without length"])
	require.NoError(t, err)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	const targets = 20
	c := newClient()
	errs := make(chan error, targets)
	for i := range targets {
		go func() {
			target := &backend.Target{ID: strconv.Itoa(i), Address: s.Address(), Connections: 1}
			_, err := c.Send(ctx, target, newRequest("1"), 20*time.Second)
			errs <- err
		}()
	}
	for range targets {
		require.ErrorIs(t, <-errs, backend.ErrLost)
	}
	require.NoError(t, ctx.Err())
	require.Less(t, s.Sent(), int64(targets*maxAcceptedBytes/2))
}

// Limits on endless replies must not cut off the chunked replies of honest targets.
func TestChunkedRepliesArriveWhole(t *testing.T) {
	for _, chunkBytes := range []int{1, 64, 4096, 65536} {
		for _, bodyBytes := range []int{1, 400, 8 << 10, 64 << 10, 1 << 20} {
			if chunkBytes == 1 && bodyBytes > 64<<10 {
				continue
			}
			t.Run(fmt.Sprintf("%d bytes in chunks of %d", bodyBytes, chunkBytes), func(t *testing.T) {
				body := strings.Repeat("0123456789abcdef", bodyBytes/16+1)[:bodyBytes]
				s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
					_, _ = io.WriteString(c, chunkedReply(r.Header.Get("Id"), body, chunkBytes))
				})
				for _, id := range []string{"1", "2"} {
					reply, err := newClient().Send(context.Background(), s.target(), newRequest(id), 10*time.Second)
					require.NoError(t, err)
					require.Equal(t, body, string(reply.Body))
				}
			})
		}
	}
}

// chunkedReply returns a reply whose body is sent in chunks of the given size.
func chunkedReply(id, body string, chunkBytes int) string {
	var reply strings.Builder
	fmt.Fprintf(&reply, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: r\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for part := range slices.Chunk([]byte(body), chunkBytes) {
		fmt.Fprintf(&reply, "%x\r\n%s\r\n", len(part), part)
	}
	reply.WriteString("0\r\n\r\n")
	return reply.String()
}

// Guards against honest replies that are cut off because other targets send large bodies without end.
func TestLargeRepliesLeaveMemoryToSmallerOnes(t *testing.T) {
	endless, err := testkit.StartEndlessServer(testkit.EndlessReplies()["body without length"])
	require.NoError(t, err)
	defer endless.Close()
	body := strings.Repeat("a", 16<<10)
	honest := startServer(t, func(_ int, c net.Conn, r *http.Request) { _, _ = io.WriteString(c, okReply(r.Header.Get("Id"), body)) })
	c := newClient()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ended := make(chan struct{})
	const targets = 24
	for i := range targets {
		go func() {
			target := &backend.Target{ID: strconv.Itoa(i), Address: endless.Address(), Connections: 1}
			for n := 0; ctx.Err() == nil; n++ {
				_, _ = c.Send(ctx, target, newRequest(strconv.Itoa(n)), time.Second)
			}
			ended <- struct{}{}
		}()
	}
	for n := range 200 {
		reply, err := c.Send(ctx, honest.target(), newRequest(strconv.Itoa(n)), 10*time.Second)
		require.NoError(t, err)
		require.Len(t, reply.Body, len(body))
	}
	cancel()
	for range targets {
		<-ended
	}
}
