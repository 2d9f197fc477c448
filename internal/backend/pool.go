package backend

import (
	"bufio"
	"context"
	"net"
	"slices"
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

	mu sync.Mutex
	// parked holds the idle connections, the one that was used last at the end.
	parked []*conn
	// waiting holds the requests that wait for a connection or the place of one.
	waiting []chan *conn
	// open counts the connections, those in use and being set up included.
	open   int
	closed bool
}

// acquire returns the idle connection that was used last, or nil when the caller
// has to set one up, for which it holds a place. It waits for either for
// connectionWait, and then returns ErrBusy.
func (p *pool) acquire(ctx context.Context, limit int) (*conn, error) {
	c, turn := p.tryAcquire(time.Now(), limit)
	if turn == nil {
		return c, nil
	}
	timer := time.NewTimer(connectionWait)
	defer timer.Stop()
	select {
	case c = <-turn:
		return c, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if p.leaveQueue(turn) {
		return nil, ErrBusy
	}
	return <-turn, nil
}

// tryAcquire returns a connection, or nil for a place, or the channel that
// either comes by.
func (p *pool) tryAcquire(now time.Time, limit int) (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.parked) > 0 {
		last := len(p.parked) - 1
		c := p.parked[last]
		p.parked = p.parked[:last]
		if now.Sub(c.idleSince) < c.idleFor && c.quiet() {
			c.sent.Store(0)
			return c, nil
		}
		_ = c.Close()
		p.open--
	}
	if p.open < limit {
		p.open++
		return nil, nil
	}
	turn := make(chan *conn, 1)
	p.waiting = append(p.waiting, turn)
	return nil, turn
}

// leaveQueue reports false when the request already got its turn.
func (p *pool) leaveQueue(turn chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, turn)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// passPlace gives the place of a connection that could not be set up to the next
// request that waits.
func (p *pool) passPlace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveUpPlace()
}

func (p *pool) giveUpPlace() {
	if !p.next(nil) {
		p.open--
	}
}

// next hands a connection, or with nil its place, to the request that has waited
// longest; it reports false when none waits.
func (p *pool) next(c *conn) bool {
	if len(p.waiting) == 0 {
		return false
	}
	p.waiting[0] <- c
	p.waiting = p.waiting[1:]
	return true
}

// release takes a connection back after an attempt.
func (p *pool) release(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed {
		_ = c.Close()
		p.giveUpPlace()
		return
	}
	c.sent.Store(0)
	if p.next(c) {
		return
	}
	c.idleSince = time.Now()
	p.parked = append(p.parked, c)
}

// closeIdle closes the connections that have been unused for their time.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parked = slices.DeleteFunc(p.parked, func(c *conn) bool {
		expired := now.Sub(c.idleSince) >= c.idleFor
		if expired {
			_ = c.Close()
			p.open--
		}
		return expired
	})
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
