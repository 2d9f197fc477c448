package fanout

import (
	"math"
	"time"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// crossDomainPenalty multiplies the cost of a target in another failure domain,
	// where traffic costs more and takes longer.
	crossDomainPenalty = 5
	// slowPenalty multiplies the cost of a slow target. It exceeds crossDomainPenalty,
	// so that a normal target in another failure domain is preferred.
	slowPenalty = 8
	// suspectPenalty multiplies the cost of a target with a recent slow reply, which
	// may be slow or just pausing.
	suspectPenalty = 2
	// failingPenalty multiplies the cost of a target that fails a large share of its
	// requests. It exceeds crossDomainPenalty, so that a healthy target in another
	// failure domain is preferred.
	failingPenalty = 10
	// equidistantPenalty multiplies the cost of targets that are as far away as the
	// target that this VM prefers. This keeps the number of connections low, while load
	// still spreads over the targets.
	equidistantPenalty = 1.5
	// repeatPenalty multiplies the cost of a target that was already tried for this
	// request.
	repeatPenalty = 3
	// coldPenalty multiplies the cost of a cold target, which replies more slowly.
	coldPenalty = 2.5
	// lapsedPenalty makes targets that leave, or whose registration has ended, the last resort.
	lapsedPenalty = 1000
	// ejectedPenalty makes ejected targets the second-to-last resort, before lapsed ones.
	ejectedPenalty = 100
)

// chooseTarget returns the target with the lowest expected reply time among those that
// the leg may use, or nil if there is none, and counts the request under the limits of that
// target: if it is not sent, it must be refunded. Unreachable targets are left out; targets
// ejected for failures are a last resort.
func (m *Machine) chooseTarget(l *leg) *routing.Target {
	best := m.chooseVersion(l)
	// A target at its rate limit is left out for the length of a backoff.
	if best != nil && !m.admit(best) {
		l.leaveOut(best.ID, m.now.Add(retryBackoff))
		return m.chooseTarget(l)
	}
	return best
}

// cheapest returns the target with the lowest cost among those of the list that the leg may
// use, or nil if there is none.
func (m *Machine) cheapest(l *leg, targets []*routing.Target) *routing.Target {
	var best *routing.Target
	lowest := math.Inf(1)
	for _, target := range targets {
		if !l.mayUse(target.ID, m.in.Route.MaxTargets, m.now) {
			continue
		}
		cost := m.cost(target)
		if l.attemptsAt(target.ID) != nil {
			cost *= repeatPenalty
		}
		if cost < lowest {
			best, lowest = target, cost
		}
	}
	return best
}

// admit reports whether the rate limits of a target allow a request now, and counts it if so.
func (m *Machine) admit(t *routing.Target) bool {
	if !m.shared.advice.Admit(adviceKey(t), m.in.Sharers, m.now) {
		return false
	}
	if !m.shared.admitCold(t, m.vms, m.now) {
		m.shared.refund(t)
		return false
	}
	return true
}

// refund takes back a request that was counted for a chosen target and is not sent.
func (s *SharedState) refund(t *routing.Target) { s.advice.Refund(adviceKey(t)) }

func adviceKey(t *routing.Target) advisory.Target {
	return advisory.Target{ID: t.ID, Started: t.Started}
}

// cost returns the expected reply time in units of the typical reply time, and +Inf
// for targets that must not be used.
func (m *Machine) cost(t *routing.Target) float64 {
	ejected, down := t.Health.Ejected(m.now)
	if down || !t.Usable(m.now) {
		return math.Inf(1)
	}
	cost := t.Health.Cost(m.now, m.latencies.typical, t.Slots)
	switch m.shared.advice.Use(adviceKey(t), m.now) {
	case advisory.Unusable:
		return math.Inf(1)
	case advisory.LastResort:
		cost *= lapsedPenalty
	case advisory.Usable:
	}
	switch t.Distance {
	case routing.Far:
		cost *= crossDomainPenalty
	case routing.Equidistant:
		cost *= equidistantPenalty
	case routing.Near:
	}
	switch t.Health.Speed(m.now) {
	case health.Slow:
		cost *= slowPenalty
	case health.Suspect:
		cost *= suspectPenalty
	case health.Normal:
	}
	if t.Health.Failing(m.now) {
		cost *= failingPenalty
	}
	if m.now.Before(t.ColdUntil) {
		cost *= coldPenalty
	}
	if t.Lapsed() {
		cost *= lapsedPenalty
	}
	if ejected && m.in.Route.HasFallback {
		return math.Inf(1)
	}
	if ejected {
		cost *= ejectedPenalty
	}
	return cost
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// defaultRetryAfter is used when no target's ejection has a known end. It is about
	// the time in which the recovery of a target is noticed.
	defaultRetryAfter = 300 * time.Millisecond
)

// retryAfter returns the time until the earliest end of an ejection among the legs'
// targets, but at most defaultRetryAfter, or the time until the limits of targets allow a
// request at each leg again if that is longer. It is within minRetryAfter and maxRetryAfter.
func (m *Machine) retryAfter() time.Duration {
	wait, limited := defaultRetryAfter, time.Duration(0)
	for i := range m.legs {
		soonest := time.Duration(math.MaxInt64)
		for _, target := range m.legs[i].service.Targets {
			if end := target.Health.EjectedUntil(); end.After(m.now) {
				wait = min(wait, end.Sub(m.now))
			}
			if at := m.shared.advice.AvailableAt(adviceKey(target), m.in.Sharers, m.now); !at.IsZero() {
				soonest = min(soonest, at.Sub(m.now))
			}
		}
		// A leg without a target that will be available says nothing.
		if soonest != math.MaxInt64 {
			limited = max(limited, soonest)
		}
	}
	return min(max(wait, limited, minRetryAfter), maxRetryAfter)
}
