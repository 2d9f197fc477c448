package backend

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

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

// takeParked returns the idle connection that was used last, or nil.
func (p *pool) takeParked(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pop(now)
}

func (p *pool) pop(now time.Time) *conn {
	for len(p.parked) > 0 {
		last := len(p.parked) - 1
		c := p.parked[last]
		p.parked = p.parked[:last]
		if now.Sub(c.idleSince) < c.idleFor {
			return c
		}
		p.discard(c)
	}
	return nil
}

// discard closes an idle connection that is not parked any more.
func (p *pool) discard(c *conn) {
	c.gone = true
	p.open--
	_ = c.Close()
}

// tryAcquire returns a connection, or nil for a place, or the channel that
// either comes by.
func (p *pool) tryAcquire(now time.Time, limit int) (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.pop(now); c != nil {
		return c, nil
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

// release takes a connection back after an attempt, for at most the given idle
// time. It reports false when the connection is to be closed.
func (p *pool) release(c *conn, idleFor time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.next(c) {
		return true
	}
	c.idleFor, c.idleSince = idleFor, time.Now()
	p.parked = append(p.parked, c)
	return true
}

// drop forgets a connection that has ended.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	if i := slices.Index(p.parked, c); i >= 0 {
		p.parked = slices.Delete(p.parked, i, i+1)
	}
	p.giveUpPlace()
}

// closeIdle closes the connections that have been unused for their time.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parked = slices.DeleteFunc(p.parked, func(c *conn) bool {
		expired := now.Sub(c.idleSince) >= c.idleFor
		if expired {
			p.discard(c)
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
		p.discard(c)
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
