package users

import (
	"net"
	"sync"
	"time"
)

// crashListener is a listener whose process can crash: its connections are reset and its
// port refuses connections until it has restarted.
type crashListener struct {
	address net.Addr

	mu sync.Mutex
	// inner is nil while the process is down.
	inner  net.Listener
	conns  map[net.Conn]struct{}
	closed bool
	// restarted is closed and replaced at each restart, and when the listener is closed.
	restarted chan struct{}
}

func newCrashListener() (*crashListener, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &crashListener{
		address: inner.Addr(), inner: inner, conns: map[net.Conn]struct{}{}, restarted: make(chan struct{}),
	}, nil
}

// Accept implements net.Listener. It waits while the process is down.
func (l *crashListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner, restarted, closed := l.inner, l.restarted, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-restarted
			continue
		}
		conn, err := inner.Accept()
		if err == nil {
			return l.track(conn), nil
		}
	}
}

func (l *crashListener) track(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return trackedConn{Conn: conn, listener: l}
}

// Close implements net.Listener.
func (l *crashListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.restarted)
	}
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *crashListener) Addr() net.Addr { return l.address }

// crash resets all connections and refuses new ones for the given time.
func (l *crashListener) crash(down time.Duration, restarted func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil || l.closed {
		return
	}
	_ = l.inner.Close()
	l.inner = nil
	for conn := range l.conns {
		resetOnClose(conn)
		_ = conn.Close()
	}
	clear(l.conns)
	time.AfterFunc(down, func() { l.restart(restarted) })
}

func (l *crashListener) restart(restarted func()) {
	const portRetryDelay = 20 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	inner, err := net.Listen("tcp", l.address.String())
	if err != nil {
		time.AfterFunc(portRetryDelay, func() { l.restart(restarted) })
		return
	}
	l.inner = inner
	close(l.restarted)
	l.restarted = make(chan struct{})
	restarted()
}

// trackedConn is a connection that its listener resets when the process crashes.
type trackedConn struct {
	net.Conn
	listener *crashListener
}

// Close implements net.Conn.
func (c trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// resetOnClose makes the close of a connection send a TCP reset.
func resetOnClose(conn net.Conn) {
	if tracked, ok := conn.(trackedConn); ok {
		conn = tracked.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
