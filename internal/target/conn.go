package target

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// closeTimeout bounds the wait for the target to close its end of a connection
// that the client has closed.
const closeTimeout = time.Second

// closeGrace is how much longer a connection counts after both ends closed it:
// a target's own count may lag a little.
const closeGrace = 5 * time.Millisecond

// conn is one connection to a target. Closing it shuts down the sending half
// and then waits for the target to close too, so that a connection counts
// against the budget for as long as the target may still count it.
type conn struct {
	net.Conn
	// ended is closed once the target has closed its end, or closeTimeout after
	// Close.
	ended chan struct{}
	// onEnd runs once, when the connection no longer counts.
	onEnd func()
	// onIdleLoss runs when the target closes the connection between calls.
	onIdleLoss func()

	closing atomic.Bool
	// broken is set when the target ended the connection.
	broken  atomic.Bool
	written atomic.Int64
	current atomic.Pointer[use]

	readMu    sync.Mutex
	writeMu   sync.Mutex
	closeOnce sync.Once
}

func newConn(inner net.Conn, onEnd, onIdleLoss func()) *conn {
	return &conn{Conn: inner, ended: make(chan struct{}), onEnd: onEnd, onIdleLoss: onIdleLoss}
}

// use is one call's use of a connection.
type use struct {
	conn *conn
	// start is the number of bytes written to the connection before the call.
	start int64
	// check runs before each write; its error stops the call.
	check func() error
}

// begin marks the connection as used by a call.
func (c *conn) begin(check func() error) *use {
	u := &use{conn: c, start: c.written.Load(), check: check}
	c.current.Store(u)
	return u
}

// finish marks the connection as idle, unless another call uses it already.
func (u *use) finish() {
	u.conn.current.CompareAndSwap(u, nil)
}

// Write sends bytes unless the call's check fails.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if u := c.current.Load(); u != nil {
		if err := u.check(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read receives bytes and reports a loss of the idle connection.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if err != nil && !c.closing.Load() {
		c.broken.Store(true)
		if c.current.Load() == nil {
			c.onIdleLoss()
		}
	}
	return n, err
}

// Close stops reads and writes at once and gives the connection up when the
// target has closed it too.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closing.Store(true)
		past := time.Unix(1, 0)
		_ = c.SetDeadline(past)
		go c.end()
	})
	return nil
}

func (c *conn) end() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
	close(c.ended)
	time.AfterFunc(closeGrace, c.onEnd)
}

// wrote reports whether the call wrote anything. When it did not, the
// connection is closed, so that it will not either.
func (u *use) wrote() bool {
	if u.conn.written.Load() != u.start {
		return true
	}
	_ = u.conn.Close()
	u.conn.writeMu.Lock()
	defer u.conn.writeMu.Unlock()
	return u.conn.written.Load() != u.start
}
