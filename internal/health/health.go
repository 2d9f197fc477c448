// Package health tracks the health of each target by the requests that this VM sends
// to it: requests in flight, speed compared with other targets, and failures. The
// targets' health endpoints are not queried, since they do not reliably show whether
// requests succeed.
//
// The package reads no clock. A State is safe for concurrent use.
package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of the newest reply in the exponential moving
	// average of the latency ratio.
	latencyWeight = 0.3
	// latencyHalfLife is the time in which the latency ratio of an unused target
	// decays halfway to 1.
	latencyHalfLife = 1500 * time.Millisecond
	// maxLatencyRatio bounds the latency ratio of a single reply.
	maxLatencyRatio = 30
	// overdueAfter is the age, in typical reply times, at which the oldest request in
	// flight is overdue. Beyond it, the cost of the target grows in proportion to the
	// age.
	overdueAfter = 2.0
	// outcomeHalfLife is the half-life of the outcome counts.
	outcomeHalfLife = 2 * time.Second
	// priorRequests is the number of good outcomes credited to each target, so that a
	// single failure does not give a high failure rate.
	priorRequests = 3
	// failureCost is the weight of the failure rate in the cost of a target.
	failureCost = 30
	// ejectAfterFailures is the number of consecutive failures that ejects a target.
	ejectAfterFailures = 3

	// unreachableEjection and failureEjection are the durations of a first ejection.
	// Each further ejection doubles the duration, up to maxEjection. busyBackoff is
	// how long a busy target is ejected. lossBackoff is how long a target is ejected
	// whose connection broke: the socket of a process that ends accepts connections
	// until all are closed.
	unreachableEjection = 200 * time.Millisecond
	failureEjection     = 150 * time.Millisecond
	busyBackoff         = 30 * time.Millisecond
	lossBackoff         = 50 * time.Millisecond
	maxEjection         = 1500 * time.Millisecond
)

// Outcome is the result of a request to a target.
type Outcome int

const (
	// Succeeded is a successful reply.
	Succeeded Outcome = iota
	// Failed is an unsuccessful reply.
	Failed
	// Lost means that the connection broke before the reply was complete. The target's
	// process may be ending.
	Lost
	// Unreachable means that the target refused the connection, or that another target
	// answers at its address.
	Unreachable
	// Unresponsive means that the target neither accepted nor refused a connection in
	// time.
	Unresponsive
	// Busy means that all of this VM's connections to the target are in use.
	Busy
	// Rejected means that the target did not run the request, mostly because its queue is
	// full.
	Rejected
	// Abandoned is a request that got no reply in time and was given up. Its age counts
	// as a reply time. It is also a consecutive failure of the target, and makes the
	// target count as unresponsive in its failure domain, but is not part of the
	// failure rate.
	Abandoned
	// Canceled is a request that was given up because the caller disconnected, which is
	// no evidence about the target.
	Canceled
)

// MayHaveRun reports whether the target may have run a request with this outcome, or
// may still run it.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Unreachable, Unresponsive, Busy, Rejected:
		return false
	default:
		return true
	}
}

// State is the health of one incarnation of a target.
type State struct {
	// id identifies the target to the observer.
	id       string
	observer Observer

	mu       sync.Mutex
	inFlight []time.Time

	// latencyRatio is the exponential moving average of the reply time divided by the
	// typical reply time.
	latencyRatio   float64
	latencyRatioAt time.Time

	outcomes            outcomes
	consecutiveFailures int

	ejectedUntil time.Time
	ejections    int
	// ejectedAt is when the last ejection began.
	ejectedAt time.Time
	// down is true when the target is ejected because it can't be reached.
	down    bool
	probing bool
	// domain is the target's failure domain; nil when it is unknown.
	domain *domain

	streak streak
	// lastSlowAt is when this VM last had evidence of a slow request.
	lastSlowAt time.Time
	// peerOutcomes holds the outcomes of other VMs' requests by VM.
	peerOutcomes map[string]outcomes
	// failingAt is when any VM last found the target to be failing.
	failingAt time.Time
}

// New returns the state of a target without any evidence.
func New() *State { return &State{latencyRatio: 1, observer: nopObserver{}} }

// Begin records that a request is sent.
func (s *State) Begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = append(s.inFlight, now)
	if s.domain != nil {
		s.domain.recordSend(now)
	}
	if !s.ejectedUntil.IsZero() {
		s.probing = true
	}
}

// End records the end of a request that began at the given time; typical is the
// typical reply time of such requests.
func (s *State) End(began, now time.Time, outcome Outcome, typical time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.inFlight, began); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	s.probing = false
	s.reportToDomain(began, now, outcome)
	age := now.Sub(began)
	switch outcome {
	case Succeeded:
		s.recordSuccess(age, typical, now)
	case Failed, Lost:
		s.recordFailure(now)
		if outcome == Lost {
			s.ejectedUntil = later(s.ejectedUntil, now.Add(lossBackoff))
		}
		if s.consecutiveFailures >= ejectAfterFailures {
			s.eject(failureEjection, now)
		}
	case Unreachable, Unresponsive:
		s.recordFailure(now)
		s.down = true
		s.eject(unreachableEjection, now)
	case Busy:
		s.ejectedUntil = later(s.ejectedUntil, now.Add(busyBackoff))
	case Rejected:
		s.recordRejection(now)
	case Abandoned:
		s.recordLatency(age, typical, now)
		s.consecutiveFailures++
		if s.consecutiveFailures >= ejectAfterFailures {
			s.down = true
			s.eject(failureEjection, now)
		}
	case Canceled:
	}
}

// reportToDomain passes on what the end of a request shows about the failure domain.
func (s *State) reportToDomain(began, now time.Time, outcome Outcome) {
	if s.domain == nil {
		return
	}
	switch outcome {
	case Succeeded, Rejected:
		s.domain.recordResponse(began, now)
	case Unreachable, Unresponsive, Abandoned:
		s.domain.recordNoResponse(s, began, now)
	case Failed, Lost, Busy, Canceled:
	}
}

func (s *State) recordSuccess(age, typical time.Duration, now time.Time) {
	s.recordLatency(age, typical, now)
	s.outcomes.add(counts{all: 1}, now)
	s.consecutiveFailures, s.ejections, s.down = 0, 0, false
	s.ejectedUntil = time.Time{}
}

// recordLatency adds a reply time to the moving average; the reply may still be
// outstanding.
func (s *State) recordLatency(age, typical time.Duration, now time.Time) {
	ratio := min(float64(age)/float64(max(typical, time.Millisecond)), maxLatencyRatio)
	s.latencyRatio = s.decayedLatencyRatio(now)*(1-latencyWeight) + ratio*latencyWeight
	s.latencyRatioAt = now
	switch sent := now.Add(-age); {
	case ratio >= slowRatio:
		s.lastSlowAt = now
		s.streak.addSlow(sent, sent, now)
	case ratio <= quickRatio:
		s.streak.addQuick(sent)
	}
}

func (s *State) recordFailure(now time.Time) {
	s.outcomes.add(counts{failed: 1, all: 1}, now)
	s.consecutiveFailures++
	s.detectFailing(now)
}

func (s *State) eject(base time.Duration, now time.Time) {
	length := time.Duration(float64(base) * math.Exp2(float64(min(s.ejections, 8))))
	s.ejections++
	s.ejectedAt = now
	s.ejectedUntil = later(s.ejectedUntil, now.Add(min(length, maxEjection)))
}

func (s *State) decayedLatencyRatio(now time.Time) float64 {
	return 1 + (s.latencyRatio-1)*decay(s.latencyRatioAt, now, latencyHalfLife)
}

// pooledCounts returns the decayed counts of this VM's evidence and that of its peers.
func (s *State) pooledCounts(now time.Time) counts {
	pooled := s.outcomes.decayed(now)
	for _, peer := range s.peerOutcomes {
		pooled = pooled.plus(peer.decayed(now))
	}
	return pooled
}

// failureRate is the share of failed requests in all evidence.
func (s *State) failureRate(now time.Time) float64 {
	c := s.pooledCounts(now)
	return c.failed / (c.all + priorRequests)
}

func decay(since, now time.Time, halfLife time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Cost returns the expected duration of a request that is sent now, in typical reply
// times; slots is the number of requests that the target runs concurrently.
func (s *State) Cost(now time.Time, typical time.Duration, slots uint32) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := s.decayedLatencyRatio(now) * (1 + float64(len(s.inFlight))/float64(max(slots, 1)))
	cost *= 1 + failureCost*s.failureRate(now)
	cost *= 1 + rejectionCost*s.rejectionRate(now)
	if len(s.inFlight) > 0 {
		age := float64(now.Sub(s.inFlight[0])) / float64(max(typical, time.Millisecond)) / overdueAfter
		cost *= max(age, 1)
	}
	return cost
}

// Speed returns the current speed class of the target.
func (s *State) Speed(now time.Time) Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streak.speed(now)
}

// Ejected reports whether the target is ejected, and if so, whether the reason is that
// it can't be reached. After an ejection for failures a target is half-open: it gets one
// request at a time until one succeeds. The ejection of a target that can't be reached ends
// early when its failure domain recovers.
func (s *State) Ejected(now time.Time) (ejected, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domain != nil {
		if s.domain.awaitsProbe(now) {
			return true, true
		}
		if s.down && s.domain.recoveredSince(s.ejectedAt) {
			return false, false
		}
	}
	ejected = now.Before(s.ejectedUntil) || s.probing && s.ejections > 0
	return ejected, ejected && s.down
}

// DomainUnreachable reports whether the target's failure domain is considered
// unreachable.
func (s *State) DomainUnreachable(now time.Time) bool {
	return s.domain != nil && s.domain.unreachable(now)
}

// Unreached reports whether the target could not be reached when it was last tried.
func (s *State) Unreached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// EjectedUntil returns when the target's ejection ends; zero when it is not ejected.
func (s *State) EjectedUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejectedUntil
}
