package health

import "time"

// rejectionCost is the weight of the rejection rate in the cost of a target. A rejection
// costs a round trip and a token of the retry budget. Other targets are preferred even if
// they take several times as long, but not without limit: what a target accepts it serves
// as quickly as ever, and the others may be full.
const rejectionCost = 15

// recordRejection records that the target rejected a request without running it. Unlike
// a failure it ejects the target only for a moment: a full queue empties quickly.
func (s *State) recordRejection(now time.Time) {
	s.outcomes.add(counts{rejected: 1}, now)
	s.ejectedUntil = later(s.ejectedUntil, now.Add(busyBackoff))
}

// RejectionRate returns the share of requests that the target rejects, from the evidence
// of this VM and its peers.
func (s *State) RejectionRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectionRate(now)
}

func (s *State) rejectionRate(now time.Time) float64 {
	c := s.pooledCounts(now)
	return c.rejected / (c.all + c.rejected + priorRequests)
}
