package standin

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

// uncompressed keeps a server from compressing its answers, which would cost
// more processor time than the work of the fakes.
func uncompressed() connect.HandlerOption {
	return connect.WithCompressMinBytes(math.MaxInt)
}

// listenRetry is the pause between attempts to listen again after a crash.
const listenRetry = 20 * time.Millisecond

// serve runs the target until the context ends, starting it anew after each
// crash. The listener serves the first boot, which startBoot has returned.
func (t *target) serve(ctx context.Context, listener net.Listener, running *boot) {
	for {
		t.serveBoot(running, listener)
		if !t.awaitRestart(ctx) {
			return
		}
		var ok bool
		if listener, ok = t.listenAgain(ctx); !ok {
			return
		}
		running = t.startBoot(ctx)
	}
}

// serveBoot serves one boot until it ends.
func (t *target) serveBoot(running *boot, listener net.Listener) {
	defer running.stop()
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewTargetServiceHandler(&targetHandler{target: t}, uncompressed()))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return running.ctx },
		ConnContext:       withConn,
		ErrorLog:          t.env.silent,
	}
	context.AfterFunc(running.ctx, func() { _ = server.Close() })
	_ = server.Serve(&targetListener{Listener: listener, target: t})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseWork()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connected reports whether the request's connection has not been dropped. The
// caller holds the lock.
func (t *target) connected(ctx context.Context) bool {
	conn, _ := ctx.Value(connKey{}).(*gatedConn)
	_, open := t.conns[conn]
	return open
}

// startBoot starts a boot, which ends with a crash or with the context. Every
// boot but the first is cold.
func (t *target) startBoot(ctx context.Context) *boot {
	t.mu.Lock()
	defer t.mu.Unlock()
	restarted := t.boot != nil
	t.boot = &boot{}
	t.boot.ctx, t.boot.stop = context.WithCancel(ctx)
	if restarted {
		t.turnCold(true)
	} else {
		t.boot.id = t.nextBootID()
	}
	t.down = false
	return t.boot
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
