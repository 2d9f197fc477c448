package backend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
)

// Guards against a reply that ends in the middle, at any byte, being passed on as a whole
// one. A reply without length or chunks ends with its connection; it is cut in its head only.
func TestReplyCutAtAnyByteIsLost(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nReceipt: r\r\n"
	withoutLength := head + "\r\n"
	for name, reply := range map[string]struct {
		text string
		cuts int
	}{
		"length":         {head + "Content-Length: 4\r\n\r\nbody", 0},
		"chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 0},
		"chunks trailer": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nMore: x\r\n\r\n", 0},
		"interim":        {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", 0},
		"no length":      {withoutLength + "body", len(withoutLength)},
		"empty":          {head + "Content-Length: 0\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			if reply.cuts == 0 {
				reply.cuts = len(reply.text)
			}
			s := startServer(t, func(_ int, c net.Conn, r *http.Request) {
				var cut int
				_, err := fmt.Sscan(r.Header.Get("Cut"), &cut)
				require.NoError(t, err)
				_, _ = io.WriteString(c, reply.text[:cut])
				_ = c.Close()
			})
			client := newClient()
			for cut := range reply.cuts {
				request := newRequest("1")
				request.Header.Set("Cut", fmt.Sprint(cut))
				_, err := client.Send(context.Background(), s.target(), request, time.Second)
				require.ErrorIs(t, err, backend.ErrLost, "after %q", strings.ReplaceAll(reply.text[:cut], head, "..."))
				require.Equal(t, cut == 0, errors.Is(err, backend.ErrNoReply), "cut at %d", cut)
				require.Equal(t, cut > 0, errors.Is(err, backend.ErrIncomplete), "cut at %d", cut)
			}
		})
	}
}
