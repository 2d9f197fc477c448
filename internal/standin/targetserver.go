package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

// listenRetry is the pause between attempts to listen again after a crash.
const listenRetry = 20 * time.Millisecond

// serve runs the target until the context ends, starting it anew after each
// crash. The listener serves the first boot.
func (t *target) serve(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		t.serveBoot(ctx, listener)
		t.dropConns()
		if !t.awaitRestart(ctx) {
			return
		}
		var ok bool
		if listener, ok = t.listenAgain(ctx); !ok {
			return
		}
	}
}

// serveBoot serves one boot until it crashes or the context ends.
func (t *target) serveBoot(ctx context.Context, listener net.Listener) {
	bootCtx, stop := context.WithCancel(ctx)
	defer stop()
	t.startBoot(bootCtx, stop)
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewTargetServiceHandler(&targetHandler{target: t}))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return bootCtx },
		ErrorLog:          t.env.silent,
	}
	context.AfterFunc(bootCtx, func() { _ = server.Close() })
	_ = server.Serve(&targetListener{Listener: listener, target: t})
	stop()
}

func (t *target) startBoot(ctx context.Context, stop context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	restarted := t.boot != nil
	t.boot = &boot{ctx: ctx, stop: stop}
	if restarted {
		t.turnCold(true)
	} else {
		t.boot.id = t.nextBootID()
	}
	t.down = false
}

// awaitRestart waits until the target may start again. It reports false when
// the context ended.
func (t *target) awaitRestart(ctx context.Context) bool {
	t.mu.Lock()
	wait := t.downFor
	t.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *target) listenAgain(ctx context.Context) (net.Listener, bool) {
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", t.config.Address)
		if err == nil {
			return listener, true
		}
		select {
		case <-time.After(listenRetry):
		case <-ctx.Done():
		}
	}
	return nil, false
}

// targetListener closes connections beyond the target's limit and counts the
// others.
type targetListener struct {
	net.Listener
	target *target
}

// Accept returns the next connection within the limit.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if gated, ok := l.target.admitConn(conn); ok {
			return gated, nil
		}
		reset(conn)
	}
}

// admitConn counts a new connection. It reports false when the connection's
// link is cut or the target has no connection left.
func (t *target) admitConn(conn net.Conn) (*gatedConn, bool) {
	domain := sourceDomain(conn)
	cut := func() <-chan struct{} { return t.env.links.blocked(domain, t.config.FailureDomain) }
	if cut() != nil {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= int(t.config.Connections) {
		t.counters.ConnectionViolations++
		return nil, false
	}
	setup := time.Duration(t.config.ConnectionSetupUs) * time.Microsecond
	var gated *gatedConn
	gated = newGatedConn(conn, setup, func() { t.forgetConn(gated) }, cut, t.frozen)
	t.conns[gated] = struct{}{}
	t.counters.ConnectionsAccepted++
	t.counters.ConnectionsPeak = max(t.counters.ConnectionsPeak, uint32(len(t.conns)))
	return gated, true
}

func (t *target) forgetConn(conn *gatedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// dropConns closes all connections of the target.
func (t *target) dropConns() {
	t.mu.Lock()
	open := make([]*gatedConn, 0, len(t.conns))
	for conn := range t.conns {
		open = append(open, conn)
	}
	t.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}
