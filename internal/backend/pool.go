package backend

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pool holds the connections to one incarnation of a target.
type pool struct {
	started int64
	address string
	// total counts the connections of all pools of the client.
	total *connectionTotal

	mu sync.Mutex
	// idle holds the idle connections; the most recently used one is last.
	idle []*conn
	// waiters holds the requests that wait for a connection or a slot for one.
	waiters []waiter
	// open counts the connections, including those in use and being set up.
	open   int
	closed bool
}

// connectionTotal counts the connections of a client to all targets, including those being set up.
type connectionTotal struct {
	open atomic.Int64
	// limit is zero if there is none.
	limit int64
}

// full reports whether no connection may be added.
func (t *connectionTotal) full() bool { return t.limit > 0 && t.open.Load() >= t.limit }

// addOpen adds to the number of connections. p.mu must be held.
func (p *pool) addOpen(n int) {
	p.open += n
	p.total.open.Add(int64(n))
}

// waiter is a request that waits for a connection. It receives one, or nil when a slot has
// been reserved for it.
type waiter struct {
	requestID string
	ready     chan *conn
}

// acquire returns the most recently used idle connection that has not carried the request
// ID. If there is none but a slot is free, it reserves the slot and returns nil: a new
// connection must be set up. Otherwise it waits for up to connectionWait for either, and
// then returns ErrBusy.
func (p *pool) acquire(ctx context.Context, limit int, requestID string) (*conn, error) {
	c, ready := p.tryAcquire(time.Now(), limit, requestID)
	if ready == nil {
		return c, nil
	}
	timer := time.NewTimer(connectionWait)
	defer timer.Stop()
	select {
	case c = <-ready:
		return c, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if p.leaveQueue(ready) {
		return nil, ErrBusy
	}
	return <-ready, nil
}

// takeIdle returns the most recently used idle connection that has not carried the request
// ID, or nil if there is none.
func (p *pool) takeIdle(now time.Time, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popIdle(now, requestID)
}

func (p *pool) popIdle(now time.Time, requestID string) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		expired := now.Sub(c.idleSince) >= c.idleFor
		if !expired && c.carried.has(requestID) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if !expired {
			return c
		}
		p.discard(c)
	}
	return nil
}

// discard closes an idle connection. The caller removes it from the idle list.
func (p *pool) discard(c *conn) {
	c.removed = true
	p.addOpen(-1)
	_ = c.Close()
}

// tryAcquire returns an idle connection that has not carried the request ID if there is
// one. Otherwise it reserves a free slot, closing an unsuitable idle connection if
// necessary, and returns nil for both results. If all connections are in use, it returns
// a channel that will receive a connection, or nil when a slot has been reserved for the
// request.
func (p *pool) tryAcquire(now time.Time, limit int, requestID string) (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.popIdle(now, requestID); c != nil {
		return c, nil
	}
	if p.open >= limit && len(p.idle) > 0 {
		p.discard(p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	if p.open < limit && !p.total.full() {
		p.addOpen(1)
		return nil, nil
	}
	ready := make(chan *conn, 1)
	p.waiters = append(p.waiters, waiter{requestID: requestID, ready: ready})
	return nil, ready
}

// leaveQueue removes a waiter. It returns false if the waiter has already been served.
func (p *pool) leaveQueue(ready chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.ready == ready })
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// releaseSlot passes the slot of a connection that could not be set up to the next
// waiter.
func (p *pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseSlotLocked()
}

func (p *pool) releaseSlotLocked() {
	if !p.serveWaiter(nil) {
		p.addOpen(-1)
	}
}

// serveWaiter passes a connection, or its slot if c is nil, to the longest-waiting
// request; it returns false if no request waits.
func (p *pool) serveWaiter(c *conn) bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0].ready <- c
	p.waiters = p.waiters[1:]
	return true
}

// release takes back a connection after an attempt and keeps it idle for at most
// idleFor. It returns false if the connection must be closed.
func (p *pool) release(c *conn, idleFor time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if len(p.waiters) > 0 && c.carried.has(p.waiters[0].requestID) {
		// The waiter gets the slot of the connection, which the caller closes.
		return false
	}
	if p.serveWaiter(c) {
		return true
	}
	c.idleFor, c.idleSince = idleFor, time.Now()
	p.idle = append(p.idle, c)
	return true
}

// remove takes a connection that has ended out of the pool.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.releaseSlotLocked()
}

// closeIdle closes the connections whose idle timeout has expired.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := now.Sub(c.idleSince) >= c.idleFor
		if expired {
			p.discard(c)
		}
		return expired
	})
}

// closeOldest closes the connection that has been idle for longest, and reports whether there was one.
func (p *pool) closeOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.discard(p.idle[0])
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// close closes the idle connections; the others are closed when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails if the target
// does not acknowledge sent bytes in time.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
