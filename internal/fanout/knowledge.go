package fanout

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/latency"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// firstUsual is the share of the response-time goal taken for the usual reply
	// time until replies were seen.
	firstUsual = 0.15
	// enoughReplies is the number of replies from which on the quantiles count.
	enoughReplies = 30
	// leastUsual is the least reply time that is told from noise.
	leastUsual = time.Millisecond
)

// Limits bounds the extra load that this VM may cause.
type Limits struct {
	// Share is the share of a service's requests that may be sent once more.
	Share float64
	// Slack is this VM's part of the extra requests beyond the share in each
	// window of the given length.
	Slack  float64
	Window time.Duration
}

// Knowledge is what the requests of one VM share. It is safe for concurrent use.
type Knowledge struct {
	mu     sync.Mutex
	limits Limits
	routes map[string]*latency.Histogram
	extra  map[string]*bucket
	cold   map[string]*coldRate
}

// NewKnowledge returns empty knowledge.
func NewKnowledge() *Knowledge {
	return &Knowledge{
		routes: map[string]*latency.Histogram{},
		extra:  map[string]*bucket{},
		cold:   map[string]*coldRate{},
	}
}

// SetLimits changes the limits of extra load.
func (k *Knowledge) SetLimits(limits Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limits = limits
}

// times are the usual and the long reply times of a route's requests.
type times struct {
	usual time.Duration
	long  time.Duration
}

func (k *Knowledge) times(route *routing.Route) times {
	k.mu.Lock()
	defer k.mu.Unlock()
	var summary latency.Summary
	if histogram, ok := k.routes[route.Name]; ok {
		summary = histogram.Summary()
	}
	if summary.Samples < enoughReplies {
		usual := max(time.Duration(float64(route.Goal)*firstUsual), leastUsual)
		return times{usual: usual, long: 2 * usual}
	}
	return times{usual: max(summary.Median, leastUsual), long: summary.Tail}
}

// replied adds a reply time of a route's requests.
func (k *Knowledge) replied(route *routing.Route, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	histogram, ok := k.routes[route.Name]
	if !ok {
		histogram = &latency.Histogram{}
		k.routes[route.Name] = histogram
	}
	histogram.Add(took)
}

// Retain forgets what belongs to routes, services and targets that are not kept.
func (k *Knowledge) Retain(t *routing.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.extra {
		if !t.HasService(name) {
			delete(k.extra, name)
		}
	}
	for name := range k.routes {
		if !t.HasRoute(name) {
			delete(k.routes, name)
		}
	}
	for id := range k.cold {
		if !t.HasTargetID(id) {
			delete(k.cold, id)
		}
	}
}
