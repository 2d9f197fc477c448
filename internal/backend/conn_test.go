package backend

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// hastyTarget is a connection whose target has the request, and ends the
// connection, before the writing of the request returns.
type hastyTarget struct {
	net.Conn
	ended chan struct{}
}

func (h *hastyTarget) Write(p []byte) (int, error) {
	close(h.ended)
	time.Sleep(20 * time.Millisecond)
	return len(p), nil
}

func (h *hastyTarget) Read([]byte) (int, error) {
	<-h.ended
	return 0, io.EOF
}

func (h *hastyTarget) Close() error                { return nil }
func (h *hastyTarget) SetDeadline(time.Time) error { return nil }

// A request that may not repeat would be sent elsewhere if it were said not to be
// sent.
func TestTheEndOfAConnectionIsJudgedAfterTheWriting(t *testing.T) {
	c := NewClient(nil, "", metrics.NewSet())
	ended := make(chan error, 1)
	a := &attempt{request: &Request{}, end: func(_ *Reply, err error) { ended <- err }}
	p := &pool{open: 1}
	require.True(t, newConn(&hastyTarget{ended: make(chan struct{})}, c, p).start(context.Background(), a, []byte("GET")))
	require.ErrorIs(t, <-ended, ErrLost)
}
