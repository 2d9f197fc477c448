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

// uncompressed disables response compression, which would use more CPU time than
// the fakes themselves.
func uncompressed() connect.HandlerOption {
	return connect.WithCompressMinBytes(math.MaxInt)
}

// listenRetryInterval is the pause between attempts to listen again after a
// crash.
const listenRetryInterval = 20 * time.Millisecond

// serve runs the target until the context ends and restarts it after each crash.
// The listener and b belong to the first boot.
func (t *target) serve(ctx context.Context, listener net.Listener, b *boot) {
	for {
		t.serveBoot(b, listener)
		if !t.awaitRestart(ctx) {
			return
		}
		var ok bool
		if listener, ok = t.listenAgain(ctx); !ok {
			return
		}
		b = t.startBoot(ctx)
	}
}

// serveBoot serves requests for one boot until it ends.
func (t *target) serveBoot(b *boot, listener net.Listener) {
	defer b.stop()
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewTargetServiceHandler(&targetHandler{target: t}, uncompressed()))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return b.ctx },
		ConnContext:       withConn,
		ErrorLog:          t.env.discardLogger,
	}
	context.AfterFunc(b.ctx, func() { _ = server.Close() })
	_ = server.Serve(&targetListener{Listener: listener, target: t})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropWork()
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connected reports whether the request's connection is still open. The caller
// holds the lock.
func (t *target) connected(ctx context.Context) bool {
	conn, _ := ctx.Value(connKey{}).(*gatedConn)
	_, open := t.conns[conn]
	return open
}

// startBoot starts a boot, which ends with a crash or with the context. Every boot
// but the first is cold; the first is cold if Options.StartCold is set.
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

// awaitRestart waits until the target's down time has passed. It returns false if
// the context ends first.
func (t *target) awaitRestart(ctx context.Context) bool {
	t.mu.Lock()
	wait := t.restartDelay
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
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
		}
	}
	return nil, false
}

// targetListener accepts and counts connections up to the target's limit and
// resets further ones.
type targetListener struct {
	net.Listener
	target *target
}

// Accept returns the next connection that the target admits.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if gated, ok := l.target.admitConn(conn); ok {
			return gated, nil
		}
		resetConn(conn)
	}
}

// admitConn registers a new connection. It returns false if the connection's link
// is cut or the target's connection limit is reached.
func (t *target) admitConn(conn net.Conn) (*gatedConn, bool) {
	domain := sourceDomain(conn)
	blocked := func() <-chan struct{} { return t.env.links.blocked(domain, t.config.FailureDomain) }
	if blocked() != nil {
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
	gated = newGatedConn(conn, setup, func() { t.removeConn(gated) }, blocked, t.frozen)
	t.conns[gated] = struct{}{}
	t.counters.ConnectionsAccepted++
	t.counters.ConnectionsPeak = max(t.counters.ConnectionsPeak, uint32(len(t.conns)))
	return gated, true
}

func (t *target) removeConn(conn *gatedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}
