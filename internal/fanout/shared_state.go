package fanout

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/coordinator/latency"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// defaultTypicalShare is the share of the response-time goal that is assumed as
	// the typical reply time until enough replies have been seen.
	defaultTypicalShare = 0.15
	// minSamples is the minimum number of replies for their quantiles to be used.
	minSamples = 30
	// minTypical is the shortest typical reply time; shorter ones can't be told from
	// noise.
	minTypical = time.Millisecond
)

// Limits bounds the extra requests, that is retries and hedges, that this VM sends.
type Limits struct {
	// Share is the fraction of a service's requests that may be sent a second time.
	Share float64
	// Slack is this VM's part of the extra requests that are allowed beyond Share in
	// each Window.
	Slack  float64
	Window time.Duration
}

// SharedState holds the latency statistics, budgets of extra requests and cold-start
// limiters that all requests of one VM share. It is safe for concurrent use.
type SharedState struct {
	guard  *quarantine.Guard
	advice *advisory.Board
	// rollouts holds the orders to move services to another version; nil if there are none.
	rollouts *rollout.Board
	// admission may be nil.
	admission *admission.Controller

	mu           sync.Mutex
	limits       Limits
	replyTimes   map[string]*latency.Histogram
	buckets      map[string]*tokenBucket
	coldLimiters map[string]*coldLimiter
}

// NewSharedState returns an empty SharedState. The guard decides on requests that may crash
// targets; nil if their targets are VMs. The board holds what targets ask of their callers.
func NewSharedState(guard *quarantine.Guard, advice *advisory.Board) *SharedState {
	return &SharedState{
		guard:        guard,
		advice:       advice,
		replyTimes:   map[string]*latency.Histogram{},
		buckets:      map[string]*tokenBucket{},
		coldLimiters: map[string]*coldLimiter{},
	}
}

// SetRollouts sets the board of roll-outs. It must be called before the first request.
func (s *SharedState) SetRollouts(board *rollout.Board) { s.rollouts = board }

// SetLimits sets the limits of extra requests.
func (s *SharedState) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// latencies are the typical (median) and tail reply times of a route.
type latencies struct {
	typical time.Duration
	tail    time.Duration
}

func (s *SharedState) latencies(route *routing.Route) latencies {
	s.mu.Lock()
	defer s.mu.Unlock()
	var summary latency.Summary
	if histogram, ok := s.replyTimes[route.Name]; ok {
		summary = histogram.Summary()
	}
	if summary.Samples < minSamples {
		typical := max(time.Duration(float64(route.Goal)*defaultTypicalShare), minTypical)
		return latencies{typical: typical, tail: 2 * typical}
	}
	return latencies{typical: max(summary.Median, minTypical), tail: summary.Tail}
}

// recordReply adds a reply time to the route's histogram.
func (s *SharedState) recordReply(route *routing.Route, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, ok := s.replyTimes[route.Name]
	if !ok {
		histogram = &latency.Histogram{}
		s.replyTimes[route.Name] = histogram
	}
	histogram.Add(took)
}

// Retain drops the state of routes, services and targets that are not in the table.
func (s *SharedState) Retain(t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.buckets {
		if !t.HasService(name) {
			delete(s.buckets, name)
		}
	}
	for name := range s.replyTimes {
		if !t.HasRoute(name) {
			delete(s.replyTimes, name)
		}
	}
	for id := range s.coldLimiters {
		if !t.HasTargetID(id) {
			delete(s.coldLimiters, id)
		}
	}
}
