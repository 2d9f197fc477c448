package health

import (
	"sync"
	"time"
)

const (
	// silentTargets is the number of targets of a failure domain without any sign,
	// and none with one since, that shows the whole domain to be cut off. Targets
	// that crash or pause by themselves are fewer, or others beside them reply.
	silentTargets = 4
	// domainProbe is the time between two requests to a domain that is cut off:
	// the time in which its return is noticed.
	domainProbe = 250 * time.Millisecond
)

// domain is what is known of whether a failure domain can be reached at all. Each
// target alone would have to be found out by requests of its own. It is safe for
// concurrent use.
type domain struct {
	name     string
	observer Observer

	mu sync.Mutex
	// silent holds the targets without a sign, and when a request was sent to each.
	silent map[*State]time.Time
	// signAt is when the newest request was sent that got a sign of a target.
	signAt time.Time
	// triedAt is when a request was last sent to the domain.
	triedAt time.Time
	// healedAt is when the domain was last found to be reached again.
	healedAt time.Time
}

func newDomain(name string, observer Observer) *domain {
	return &domain{name: name, observer: observer, silent: map[*State]time.Time{}}
}

// begin notes that a request is sent to a target of the domain.
func (d *domain) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.triedAt = now
}

// silence notes that a request got no sign of its target.
func (d *domain) silence(s *State, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !sent.After(d.signAt) {
		return
	}
	before := len(d.silent)
	d.silent[s] = sent
	if before < silentTargets && len(d.silent) == silentTargets {
		d.observer.DomainCut(d.name, len(d.silent))
	}
}

// sign notes that a request got a sign of its target.
func (d *domain) sign(sent, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !sent.After(d.signAt) {
		return
	}
	wasCut := len(d.silent) >= silentTargets
	d.signAt = sent
	for s, at := range d.silent {
		if !at.After(sent) {
			delete(d.silent, s)
		}
	}
	if wasCut && len(d.silent) < silentTargets {
		d.healedAt = now
		d.observer.DomainReached(d.name)
	}
}

// cut reports whether the domain is held to be cut off and is not due for another
// try.
func (d *domain) cut(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.silent) >= silentTargets && now.Sub(d.triedAt) < domainProbe
}

// doubted is how long a domain counts as cut off when no request tries it.
const doubted = 2 * time.Second

// held reports whether the domain is held to be cut off.
func (d *domain) held(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.silent) >= silentTargets && now.Sub(d.triedAt) < doubted
}

// healedSince reports whether the domain returned after the time.
func (d *domain) healedSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.healedAt.After(at)
}

// forget drops a target that is gone.
func (d *domain) forget(s *State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.silent, s)
}
