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
	// minSilence is the minimum time in which no target of the domain responds. A cut may
	// also refuse connections, which takes a millisecond, while the targets that are up
	// need the usual reply time to show that the domain is reachable.
	minSilence = 100 * time.Millisecond
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
	// unresponsive maps the targets that did not respond, or refused the connection, to
	// the time when the latest such request was sent. silentSince is when the first such
	// request after the last response was sent.
	unresponsive map[*State]time.Time
	silentSince  time.Time
	// down is true while the domain counts as unreachable.
	down bool
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

// recordNoResponse records that a target did not respond to a request, or refused the
// connection.
func (d *domain) recordNoResponse(s *State, sent, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !sent.After(d.respondedSentAt) {
		return
	}
	if len(d.unresponsive) == 0 || sent.Before(d.silentSince) {
		d.silentSince = sent
	}
	d.unresponsive[s] = sent
	if !d.down && len(d.unresponsive) >= minUnresponsive && now.Sub(d.silentSince) >= minSilence {
		d.down = true
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
	d.respondedSentAt = sent
	d.silentSince = now
	for s, at := range d.unresponsive {
		if !at.After(sent) {
			delete(d.unresponsive, s)
		} else if at.Before(d.silentSince) {
			d.silentSince = at
		}
	}
	if d.down && len(d.unresponsive) < minUnresponsive {
		d.down = false
		d.recoveredAt = now
		d.observer.DomainReachable(d.name)
	}
}

// awaitsProbe reports whether the domain is unreachable and its next probe is not due
// yet.
func (d *domain) awaitsProbe(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down && now.Sub(d.lastSentAt) < probeInterval
}

// unreachableTTL is how long a domain counts as unreachable after the last request to
// it.
const unreachableTTL = 2 * time.Second

// unreachable reports whether the domain is unreachable and the last request to it is
// recent enough to show that.
func (d *domain) unreachable(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down && now.Sub(d.lastSentAt) < unreachableTTL
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
	d.down = d.down && len(d.unresponsive) >= minUnresponsive
}
