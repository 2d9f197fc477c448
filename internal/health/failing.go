package health

import "time"

const (
	// minFailed and minFailedShare are the minimum count of failed requests and their
	// minimum share of all requests for a target to count as failing. They apply to
	// the pooled counts of this VM and of its direct peers. Targets that lose a reply
	// only occasionally stay below them.
	minFailed      = 1.8
	minFailedShare = 0.15
	// failingTTL is how long a failing target is avoided before requests try it again.
	failingTTL = 3 * time.Second
)

// detectFailing marks the target as failing if the evidence suffices. VMs forward the
// mark to each other. They do not forward request counts of other VMs, which would
// then be counted more than once.
func (s *State) detectFailing(now time.Time) {
	c := s.pooledCounts(now)
	if c.failed < minFailed || c.failed < minFailedShare*(c.all+priorRequests) {
		return
	}
	if !s.isFailing(now) {
		s.observer.TargetFailing(s.id, c.failed, c.all)
	}
	s.failingAt = now
}

// mergeFailing records another VM's report that the target was failing at the given
// time.
func (s *State) mergeFailing(at time.Time) { s.failingAt = later(s.failingAt, at) }

// Failing reports whether the target fails a large share of its requests.
func (s *State) Failing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isFailing(now)
}

func (s *State) isFailing(now time.Time) bool {
	return !s.failingAt.IsZero() && now.Sub(s.failingAt) < failingTTL
}
