package target

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// closeTimeout is the maximum time to wait for the target to close its end of a connection that the client
// has closed.
const closeTimeout = time.Second

// maxDiscardBytes bounds the bytes that are read and discarded while waiting for the target to close its end. A
// target may send bytes without end; the connection is then reset.
const maxDiscardBytes = 4 << 20

// closeGracePeriod is how long a connection still counts against the budget after both ends have closed it,
// because the target's own count may lag.
const closeGracePeriod = 5 * time.Millisecond

// conn is a connection to a target. Close shuts down the sending half and then waits for the target to close
// its end, so that a connection counts against the budget for as long as the target may count it.
type conn struct {
	net.Conn
	// peerClosed is closed after Close, once the target has closed its end or closeTimeout has passed.
	peerClosed chan struct{}
	// onRelease runs once, when the connection no longer counts against the budget.
	onRelease func()
	// onIdleLoss runs when the target closes the connection while it is idle.
	onIdleLoss func()

	closing atomic.Bool
	// broken is set when a read fails before Close, for example because the target closed the connection.
	broken  atomic.Bool
	written atomic.Int64
	current atomic.Pointer[connUse]

	readMu    sync.Mutex
	writeMu   sync.Mutex
	closeOnce sync.Once
}

func newConn(inner net.Conn, onRelease, onIdleLoss func()) *conn {
	return &conn{Conn: inner, peerClosed: make(chan struct{}), onRelease: onRelease, onIdleLoss: onIdleLoss}
}

// connUse is the use of a connection by one call.
type connUse struct {
	conn *conn
	// writtenBefore is the number of bytes written to the connection before the call.
	writtenBefore int64
	// check runs before each write; an error from it aborts the call.
	check func() error
	// aborted is set when the check has failed. The request is then incomplete: there was more to write.
	aborted atomic.Bool
}

// begin marks the connection as in use by a call.
func (c *conn) begin(check func() error) *connUse {
	u := &connUse{conn: c, writtenBefore: c.written.Load(), check: check}
	c.current.Store(u)
	return u
}

// finish marks the connection as idle unless another call is already using it.
func (u *connUse) finish() {
	u.conn.current.CompareAndSwap(u, nil)
}

// Write writes to the connection unless the check of the current call fails.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if u := c.current.Load(); u != nil {
		if err := u.check(); err != nil {
			u.aborted.Store(true)
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read reads from the connection and calls onIdleLoss if it breaks while idle.
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

// Close stops reads and writes immediately. In the background, it waits for the target to close its end and
// then releases the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.closing.Store(true)
		past := time.Unix(1, 0)
		_ = c.SetDeadline(past)
		go c.shutDown()
	})
	return nil
}

// shutDown closes both halves of the connection and schedules its release.
func (c *conn) shutDown() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes)
	}
	_ = c.Conn.Close()
	close(c.peerClosed)
	time.AfterFunc(closeGracePeriod, c.onRelease)
}

// wroteOrClose reports whether the call wrote anything. If it did not, wroteOrClose closes the connection, so
// that nothing can be written later.
func (u *connUse) wroteOrClose() bool {
	if u.conn.written.Load() != u.writtenBefore {
		return true
	}
	_ = u.conn.Close()
	u.conn.writeMu.Lock()
	defer u.conn.writeMu.Unlock()
	return u.conn.written.Load() != u.writtenBefore
}
