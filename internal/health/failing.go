package health

import "time"

const (
	// failingLeast and failingShare are the failed requests, and their share of
	// all, by the evidence of this VM and of those that it hears directly, from
	// which on a target is held to be failing. Targets that lose a reply now and
	// then stay below.
	failingLeast = 1.8
	failingShare = 0.15
	// failingHold is how long a target is spared after that; then requests try it
	// again.
	failingHold = 3 * time.Second
)

// judgeFailures notes that the target fails when the evidence says so. Other VMs
// hear of that and pass it on, whereas counts go to direct neighbours only, as
// they would be counted twice else.
func (s *State) judgeFailures(now time.Time) {
	failed, all := s.pooled(now)
	if failed < failingLeast || failed < failingShare*(all+priorRequests) {
		return
	}
	if !s.isFailing(now) {
		s.observer.TargetFailing(s.id, failed, all)
	}
	s.failingAt = now
}

// hearFailing takes another VM's word that the target was failing at the time.
func (s *State) hearFailing(at time.Time) { s.failingAt = later(s.failingAt, at) }

// Failing reports whether the target is held to fail a good part of its requests.
func (s *State) Failing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isFailing(now)
}

func (s *State) isFailing(now time.Time) bool {
	return !s.failingAt.IsZero() && now.Sub(s.failingAt) < failingHold
}
