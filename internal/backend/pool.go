package backend

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a target, used by one attempt at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// sent counts the bytes written for the attempt in progress.
	sent atomic.Int64
	// keep is true when the connection can be used again.
	keep      bool
	idleFor   time.Duration
	idleSince time.Time
}

// Write counts the bytes that may have reached the target.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// abort ends the attempt in progress.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

// quiet reports whether an idle connection is open and has nothing to read: a
// reply that nobody asked for, or the target's end of the connection.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// pool holds the connections to one start of a target.
type pool struct {
	started int64
	address string

	mu     sync.Mutex
	parked []*conn
	// open counts the connections, those in use included.
	open   int
	closed bool
}

// idle returns the connection that was used last, if one is in order.
func (p *pool) idle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.parked) > 0 {
		last := len(p.parked) - 1
		c := p.parked[last]
		p.parked = p.parked[:last]
		if now.Sub(c.idleSince) < c.idleFor && c.quiet() {
			c.sent.Store(0)
			return c
		}
		_ = c.Close()
		p.open--
	}
	return nil
}

// reserve takes a place for a new connection.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release takes a connection back after an attempt.
func (p *pool) release(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep && !p.closed {
		c.idleSince = time.Now()
		p.parked = append(p.parked, c)
		return
	}
	p.open--
	_ = c.Close()
}

// close closes the idle connections, and the others when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.parked {
		_ = c.Close()
		p.open--
	}
	p.parked = nil
}

// limitUnacknowledged makes a connection fail when the other side does not
// acknowledge what was sent.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
