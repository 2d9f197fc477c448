// Package health keeps what this VM learned of each target from its own
// requests: work in flight, speed compared with the other targets, failures.
// Answers of health endpoints are not asked for, because they mislead.
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
	// speedWeight is the weight of the newest reply in the moving average of the
	// speed.
	speedWeight = 0.3
	// speedFades is the time in which an unused target's speed returns halfway to
	// the usual one.
	speedFades = 1500 * time.Millisecond
	// slowestRatio bounds how much slower than usual one reply may count.
	slowestRatio = 30
	// overdueAfter is how many usual reply times a request may run before its
	// target is held for stuck, in proportion to the excess.
	overdueAfter = 2.0
	// failuresFade is the time in which outcomes count half.
	failuresFade = 2 * time.Second
	// priorRequests is the number of good outcomes that a target is credited
	// with, so that one failure is no rate.
	priorRequests = 3
	// failureCost is how many times slower a target that always fails counts.
	failureCost = 30
	// failuresInRow is the number of failures in a row that sets a target aside.
	failuresInRow = 3

	// Pauses of targets that are set aside; each failure more doubles the pause.
	unreachablePause = 200 * time.Millisecond
	failurePause     = 150 * time.Millisecond
	busyPause        = 30 * time.Millisecond
	longestPause     = 1500 * time.Millisecond
)

// Outcome is how a request at a target ended.
type Outcome int

// Outcomes of requests.
const (
	// Answered is a good reply.
	Answered Outcome = iota
	// Failed is a reply that is no success, or a reply that was lost.
	Failed
	// Unreachable means that the target refused the connection.
	Unreachable
	// Silent means that there was no sign of the target when a connection was to
	// be made.
	Silent
	// Busy means that the target or this VM's connections to it are full.
	Busy
	// Abandoned is a request that was given up; it says something of the target
	// only by its age.
	Abandoned
	// Withdrawn is a request that says nothing of the target.
	Withdrawn
)

// MayHaveRun reports whether the target may have run a request that ended so, or
// may run it yet.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Unreachable, Silent, Busy:
		return false
	default:
		return true
	}
}

// State is what is known of one start of a target.
type State struct {
	// id names the target to the observer.
	id       string
	observer Observer

	mu       sync.Mutex
	inFlight []time.Time

	// ratio is the moving average of reply times over the usual reply time.
	ratio   float64
	ratioAt time.Time

	outcomes outcomes
	inRow    int

	asideUntil time.Time
	asides     int
	// asideSince is when the newest pause began.
	asideSince time.Time
	// down is true when the target is aside because nothing reaches it, and silent
	// when there was no sign of it.
	down    bool
	silent  bool
	probing bool
	// domain is that of the target; nil when it is not known.
	domain *domain

	streak streak
	// toldAt is when this VM last knew of a slow request.
	toldAt time.Time
	// heard holds the outcomes of other VMs' requests by VM.
	heard map[string]outcomes
	// failingAt is when the target was last held to be failing, by any VM.
	failingAt time.Time
}

// New returns the state of a target that nothing is known of.
func New() *State { return &State{ratio: 1, observer: unobserved{}} }

// Begin notes that a request is sent.
func (s *State) Begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = append(s.inFlight, now)
	if s.domain != nil {
		s.domain.begin(now)
	}
	if !s.asideUntil.IsZero() {
		s.probing = true
	}
}

// End notes the end of a request that began at the given time; usual is the
// usual reply time of requests of its kind.
func (s *State) End(began, now time.Time, outcome Outcome, usual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.inFlight, began); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	s.probing = false
	s.tellDomain(began, now, outcome)
	age := now.Sub(began)
	switch outcome {
	case Answered:
		s.answered(age, usual, now)
	case Failed:
		s.fail(now)
		if s.inRow >= failuresInRow {
			s.setAside(failurePause, now)
		}
	case Unreachable, Silent:
		s.fail(now)
		s.down, s.silent = true, outcome == Silent
		s.setAside(unreachablePause, now)
	case Busy:
		s.asideUntil = later(s.asideUntil, now.Add(busyPause))
	case Abandoned:
		s.slow(age, usual, now)
		s.inRow++
		if s.inRow >= failuresInRow {
			s.down, s.silent = true, true
			s.setAside(failurePause, now)
		}
	case Withdrawn:
	}
}

// tellDomain passes on what the end of a request says of the failure domain.
func (s *State) tellDomain(began, now time.Time, outcome Outcome) {
	if s.domain == nil {
		return
	}
	switch outcome {
	case Answered, Unreachable:
		s.domain.sign(began, now)
	case Silent, Abandoned:
		s.domain.silence(s, began)
	case Failed, Busy, Withdrawn:
	}
}

func (s *State) answered(age, usual time.Duration, now time.Time) {
	s.slow(age, usual, now)
	s.outcomes.add(0, now)
	s.inRow, s.asides, s.down = 0, 0, false
	s.asideUntil = time.Time{}
}

// slow adds a reply time to the speed; the reply may still be outstanding.
func (s *State) slow(age, usual time.Duration, now time.Time) {
	sample := min(float64(age)/float64(max(usual, time.Millisecond)), slowestRatio)
	s.ratio = s.fadedRatio(now)*(1-speedWeight) + sample*speedWeight
	s.ratioAt = now
	switch sent := now.Add(-age); {
	case sample >= slowRatio:
		s.toldAt = now
		s.streak.slow(sent, sent, now)
	case sample <= quickRatio:
		s.streak.answered(sent)
	}
}

func (s *State) fail(now time.Time) {
	s.outcomes.add(1, now)
	s.inRow++
	s.judgeFailures(now)
}

func (s *State) setAside(pause time.Duration, now time.Time) {
	length := time.Duration(float64(pause) * math.Exp2(float64(min(s.asides, 8))))
	s.asides++
	s.asideSince = now
	s.asideUntil = later(s.asideUntil, now.Add(min(length, longestPause)))
}

func (s *State) fadedRatio(now time.Time) float64 {
	return 1 + (s.ratio-1)*faded(s.ratioAt, now, speedFades)
}

// pooled returns the requests that failed, and all, by this VM's evidence and
// what it heard; older ones count less.
func (s *State) pooled(now time.Time) (failed, all float64) {
	failed, all = s.outcomes.faded(now)
	for _, heard := range s.heard {
		f, a := heard.faded(now)
		failed, all = failed+f, all+a
	}
	return failed, all
}

// failureRate is the share of failed requests, by all evidence.
func (s *State) failureRate(now time.Time) float64 {
	failed, all := s.pooled(now)
	return failed / (all + priorRequests)
}

func faded(since, now time.Time, half time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(since)) / float64(half))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Cost returns how long a request sent now is expected to take, in usual reply
// times; slots is the number of requests that the target runs at once.
func (s *State) Cost(now time.Time, usual time.Duration, slots uint32) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := s.fadedRatio(now) * (1 + float64(len(s.inFlight))/float64(max(slots, 1)))
	cost *= 1 + failureCost*s.failureRate(now)
	if len(s.inFlight) > 0 {
		age := float64(now.Sub(s.inFlight[0])) / float64(max(usual, time.Millisecond)) / overdueAfter
		cost *= max(age, 1)
	}
	return cost
}

// Speed returns what is believed of how fast the target is now.
func (s *State) Speed(now time.Time) Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streak.speed(now)
}

// Aside reports whether the target is set aside now, and whether because nothing
// reaches it. A target whose pause is over takes one request at a time until one
// succeeds; one that was silent returns with its failure domain.
func (s *State) Aside(now time.Time) (aside, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domain != nil {
		if s.domain.cut(now) {
			return true, true
		}
		if s.down && s.silent && s.domain.healedSince(s.asideSince) {
			return false, false
		}
	}
	aside = now.Before(s.asideUntil) || s.probing && s.asides > 0
	return aside, aside && s.down
}

// CutOff reports whether the target's failure domain is held to be cut off.
func (s *State) CutOff(now time.Time) bool { return s.domain != nil && s.domain.held(now) }

// BackAt returns when the target's pause ends; zero when it is not set aside.
func (s *State) BackAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asideUntil
}
