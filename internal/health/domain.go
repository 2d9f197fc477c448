package health

import (
	"sync"
	"time"
)

const (
	// minUnresponsive is the minimum number of unresponsive targets in a failure domain
	// for the whole domain to count as unreachable, if no target in it has responded
	// since. Individual targets that crash or pause do not reach it: they are fewer, or
	// others in the domain still reply.
	minUnresponsive = 4
	// probeInterval is the time between two requests to an unreachable domain. It
	// bounds the time until a recovery is noticed.
	probeInterval = 250 * time.Millisecond
)

// domain tracks whether a failure domain is reachable at all. Without it, requests
// would have to fail at each of its targets before that target is avoided. It is safe
// for concurrent use.
type domain struct {
	name     string
	observer Observer

	mu sync.Mutex
	// unresponsive maps the targets that did not respond to the time when the request
	// was sent.
	unresponsive map[*State]time.Time
	// respondedSentAt is the send time of the newest request that a target responded to.
	respondedSentAt time.Time
	// lastSentAt is when a request was last sent to the domain.
	lastSentAt time.Time
	// recoveredAt is when the domain last became reachable again.
	recoveredAt time.Time
}

func newDomain(name string, observer Observer) *domain {
	return &domain{name: name, observer: observer, unresponsive: map[*State]time.Time{}}
}

// recordSend records that a request is sent to a target of the domain.
func (d *domain) recordSend(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSentAt = now
}

// recordNoResponse records that a target did not respond to a request.
func (d *domain) recordNoResponse(s *State, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !sent.After(d.respondedSentAt) {
		return
	}
	before := len(d.unresponsive)
	d.unresponsive[s] = sent
	if before < minUnresponsive && len(d.unresponsive) == minUnresponsive {
		d.observer.DomainUnreachable(d.name, len(d.unresponsive))
	}
}

// recordResponse records that a target responded to a request.
func (d *domain) recordResponse(sent, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !sent.After(d.respondedSentAt) {
		return
	}
	wasUnreachable := len(d.unresponsive) >= minUnresponsive
	d.respondedSentAt = sent
	for s, at := range d.unresponsive {
		if !at.After(sent) {
			delete(d.unresponsive, s)
		}
	}
	if wasUnreachable && len(d.unresponsive) < minUnresponsive {
		d.recoveredAt = now
		d.observer.DomainReachable(d.name)
	}
}

// awaitsProbe reports whether the domain is unreachable and its next probe is not due
// yet.
func (d *domain) awaitsProbe(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.unresponsive) >= minUnresponsive && now.Sub(d.lastSentAt) < probeInterval
}

// unreachableTTL is how long a domain counts as unreachable after the last request to
// it.
const unreachableTTL = 2 * time.Second

// unreachable reports whether the domain is unreachable and the last request to it is
// recent enough to show that.
func (d *domain) unreachable(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.unresponsive) >= minUnresponsive && now.Sub(d.lastSentAt) < unreachableTTL
}

// recoveredSince reports whether the domain became reachable again after the given
// time.
func (d *domain) recoveredSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recoveredAt.After(at)
}

// forget removes a target.
func (d *domain) forget(s *State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unresponsive, s)
}
