package health

import "time"

const (
	// minFailed and minFailedShare are the number of failed requests, and their share
	// of all, from which on a target counts as failing. They apply to this VM's
	// evidence and to what its peers report directly. Targets that lose a reply now
	// and then stay below.
	minFailed      = 1.8
	minFailedShare = 0.15
	// failingTTL is how long a failing target is avoided before requests try it again.
	failingTTL = 3 * time.Second
)

// detectFailing marks the target as failing if the evidence suffices. That mark is
// passed on from VM to VM, whereas request counts go to direct peers only, since they
// would otherwise be counted twice.
func (s *State) detectFailing(now time.Time) {
	failed, all := s.pooled(now)
	if failed < minFailed || failed < minFailedShare*(all+priorRequests) {
		return
	}
	if !s.isFailing(now) {
		s.observer.TargetFailing(s.id, failed, all)
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
