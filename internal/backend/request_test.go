package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against attempts that hold a copy of a large body each, and against a request that is
// changed by being written in parts.
func TestAttemptsShareLargeBodies(t *testing.T) {
	for _, size := range []int{0, 1, MaxCopiedBytes, 300 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := bytes.Repeat([]byte("\r\n\r\nx"), size/5+1)[:size]
			r := &Request{ID: "1", Method: "POST", URI: "/a?b", Host: "h", Header: http.Header{"Id": {"1"}}, Body: body}
			for attempt := range 3 {
				m, err := r.message(func(text []byte) []byte { return fmt.Appendf(text, "Attempt: %d\r\n", attempt) })
				require.NoError(t, err)
				own := m.size()
				if size >= MaxCopiedBytes {
					require.Same(t, &body[0], &m.parts[2][0])
					require.Less(t, cap(r.head), MaxCopiedBytes, "the head does not hold the body")
					own = len(m.parts[1])
				}
				require.LessOrEqual(t, own, MaxCopiedBytes+attemptHeaderBytes)
				var text bytes.Buffer
				n, err := m.writeTo(&text)
				require.NoError(t, err)
				require.Equal(t, m.size(), n)
				sent, err := http.ReadRequest(bufio.NewReader(&text))
				require.NoError(t, err)
				arrived, err := io.ReadAll(sent.Body)
				require.NoError(t, err)
				require.Equal(t, body, append([]byte{}, arrived...))
				require.Equal(t, fmt.Sprint(attempt), sent.Header.Get("Attempt"))
				require.EqualValues(t, size, sent.ContentLength)
			}
		})
	}
}
