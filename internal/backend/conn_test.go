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

// earlyCloseConn is a connection that the target closes after receiving the request,
// before the write call returns.
type earlyCloseConn struct {
	net.Conn
	ended chan struct{}
}

func (h *earlyCloseConn) Write(p []byte) (int, error) {
	close(h.ended)
	time.Sleep(20 * time.Millisecond)
	return len(p), nil
}

func (h *earlyCloseConn) Read([]byte) (int, error) {
	<-h.ended
	return 0, io.EOF
}

func (h *earlyCloseConn) Close() error                { return nil }
func (h *earlyCloseConn) SetDeadline(time.Time) error { return nil }

// Regression test: if the close were reported as ErrNotSent, a non-idempotent request
// that the target may have run would be sent to another target.
func TestConnectionCloseIsClassifiedAfterTheWrite(t *testing.T) {
	c := NewClient(nil, "", metrics.NewSet(), MetricPrefix)
	ended := make(chan error, 1)
	a := &attempt{request: &Request{}, end: func(_ *Reply, err error) { ended <- err }}
	p := &pool{open: 1, total: &connectionTotal{}}
	require.True(t, newConn(&earlyCloseConn{ended: make(chan struct{})}, c, p).start(context.Background(), a, &message{parts: [3][]byte{[]byte("GET")}}))
	require.ErrorIs(t, <-ended, ErrLost)
}
