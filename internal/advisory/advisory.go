// Package advisory keeps what targets ask of their callers in the headers of replies: that
// they leave, that they want no requests for a while, and how many requests a second they
// take. VMs share it by heartbeats, so that a VM keeps to it before it has a reply of its
// own, and after a restart.
//
// The package reads no clock and does no I/O. A Board is safe for concurrent use.
package advisory

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPause bounds how long a single reply can keep requests away.
	maxPause = 10 * time.Minute
	// leavingTTL is how long a target that leaves is remembered.
	leavingTTL = 10 * time.Minute
	// limitTTL is how long a limit holds after the last reply that named it: a target that gets
	// no requests cannot show that it has ended.
	limitTTL = 10 * time.Minute
	// limitEndTTL is how long the end of a limit is remembered and told to other VMs.
	limitEndTTL = 30 * time.Second
	// maxTargets bounds the targets on a Board.
	maxTargets = 4096
)

// Target identifies one start of a target.
type Target struct {
	ID string
	// Started is the start time in Unix milliseconds.
	Started int64
}

// Advice is what one reply asks.
type Advice struct {
	// Leaving is true if the target is about to stop.
	Leaving bool
	// Pause is how long the target wants no requests from this VM; zero if it does not say.
	Pause time.Duration
	// Limited is true if the reply names a limit, of RequestsPerSecond from all VMs together.
	Limited           bool
	RequestsPerSecond float64
	// Unknown is true if a relay has the reply and did not pass on what it asks.
	Unknown bool
}

func (a Advice) empty() bool { return !a.Leaving && a.Pause == 0 && !a.Limited }

// Use states whether a target may be sent to.
type Use int

const (
	// Usable targets may be sent to.
	Usable Use = iota
	// LastResort targets may be sent to if there is no other.
	LastResort
	// Unusable targets must not be sent to.
	Unusable
)

// Board holds the advice of targets.
type Board struct {
	// size is the number of targets, so that an empty board, the usual case, needs no lock.
	size atomic.Int64

	mu sync.Mutex
	// grace is how long a target that leaves is a last resort.
	grace   time.Duration
	targets map[Target]*state
}

// state is the advice of one target.
type state struct {
	// leavingAt is when the target first said that it leaves; zero if it did not.
	leavingAt time.Time
	// pausedUntil is when this VM may send again.
	pausedUntil time.Time
	limit       limit
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{targets: map[Target]*state{}} }

// SetGrace sets how long a target that leaves may be used as a last resort.
func (b *Board) SetGrace(grace time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grace = grace
}

// Observe records the advice of a target's reply to a request that was sent at the given
// time.
func (b *Board) Observe(t Target, advice Advice, sentAt, now time.Time) {
	if advice.Unknown || advice.empty() && b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[t]
	if s == nil {
		if advice.empty() || len(b.targets) >= maxTargets {
			return
		}
		s = b.add(t)
	}
	if advice.Leaving && s.leavingAt.IsZero() {
		s.leavingAt = now
	}
	if advice.Pause > 0 {
		s.pausedUntil = later(s.pausedUntil, now.Add(min(advice.Pause, maxPause)))
	}
	switch {
	case advice.Limited:
		s.limit.set(advice.RequestsPerSecond, now)
	case s.limit.active && sentAt.After(s.limit.seenAt):
		s.limit.active, s.limit.seenAt = false, now
	}
}

// add adds a target. b.mu must be held.
func (b *Board) add(t Target) *state {
	s := &state{}
	b.targets[t] = s
	b.size.Store(int64(len(b.targets)))
	return s
}

// Use returns whether the target may be sent to now.
func (b *Board) Use(t Target, now time.Time) Use {
	if b.size.Load() == 0 {
		return Usable
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[t]
	switch {
	case s == nil:
		return Usable
	case now.Before(s.pausedUntil):
		return Unusable
	case s.leavingAt.IsZero():
		return Usable
	case now.Sub(s.leavingAt) < b.grace:
		return LastResort
	default:
		return Unusable
	}
}

// Admit reports whether a request may be sent to the target now under the limit that it has
// named, and counts it if so. The limit is divided among the sharers.
func (b *Board) Admit(t Target, sharers *Sharers, now time.Time) bool {
	if b.size.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[t]
	return s == nil || s.limit.take(t, sharers, now)
}

// Refund takes back a request that Admit has counted and that was not sent.
func (b *Board) Refund(t Target) {
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[t]; s != nil {
		s.limit.tokens++
	}
}

// AvailableAt returns when the target may be sent to again, as far as its advice says: a
// time that is not after now if it may be now, and zero if it will not be.
func (b *Board) AvailableAt(t Target, sharers *Sharers, now time.Time) time.Time {
	if b.size.Load() == 0 {
		return now
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[t]
	switch {
	case s == nil:
		return now
	case !s.leavingAt.IsZero() && now.Sub(s.leavingAt) >= b.grace:
		return time.Time{}
	default:
		return later(s.pausedUntil, s.limit.nextAt(t, sharers, now))
	}
}

// Counts holds the numbers of targets with advice.
type Counts struct{ Limited, Leaving, Paused int }

// Counts returns the numbers of targets whose advice is in force.
func (b *Board) Counts(now time.Time) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var c Counts
	for _, s := range b.targets {
		if s.limit.holds(now) {
			c.Limited++
		}
		if !s.leavingAt.IsZero() {
			c.Leaving++
		}
		if now.Before(s.pausedUntil) {
			c.Paused++
		}
	}
	return c
}

// Expire drops what has become too old.
func (b *Board) Expire(now time.Time) {
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for t, s := range b.targets {
		if !s.leavingAt.IsZero() && now.Sub(s.leavingAt) >= leavingTTL {
			s.leavingAt = time.Time{}
		}
		if s.leavingAt.IsZero() && !now.Before(s.pausedUntil) && s.limit.outdated(now) {
			delete(b.targets, t)
		}
	}
	b.size.Store(int64(len(b.targets)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
