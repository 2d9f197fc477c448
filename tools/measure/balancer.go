package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// balancedTimeLimitMs is the time limit of searches that go through the
	// balancer, and balancedTimeout their client-side timeout.
	balancedTimeLimitMs = 1000
	balancedTimeout     = 3 * time.Second
	// maxLoadDuration bounds load that runs until its context ends.
	maxLoadDuration = maxRunTime / 2
)

var errNoReadyVM = errors.New("no VM is ready")

// balancedSearcher sends each search to the next ready VM and counts the outcomes
// of each VM.
type balancedSearcher struct {
	balancer *testkit.Balancer

	mu sync.Mutex
	// byVM counts the requests to each VM by outcome; a request without an answer
	// has the unspecified outcome.
	byVM map[string]map[pb.Outcome]int
}

func newBalancedSearcher(ctx context.Context, d *testkit.Deployment) *balancedSearcher {
	return &balancedSearcher{balancer: testkit.NewBalancer(ctx, d), byVM: map[string]map[pb.Outcome]int{}}
}

// Search sends one search. It ignores the cancellation of ctx, so that the end of
// the load does not interrupt a search in flight.
func (b *balancedSearcher) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	vm := b.balancer.Next()
	if vm == nil {
		return nil, errNoReadyVM
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), balancedTimeout)
	defer cancel()
	response, err := searcher{vm.Caller}.Search(ctx, r)
	outcome := pb.Outcome_OUTCOME_UNSPECIFIED
	if err == nil {
		outcome = response.Outcome
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byVM[vm.ID] == nil {
		b.byVM[vm.ID] = map[pb.Outcome]int{}
	}
	b.byVM[vm.ID][outcome]++
	return response, err
}

// incompleteOutcomes counts by outcome the requests without full coverage, except
// those to the given VM. A request without an answer has the unspecified outcome.
func (b *balancedSearcher) incompleteOutcomes(except string) map[pb.Outcome]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[pb.Outcome]int{}
	for vm, outcomes := range b.byVM {
		for outcome, n := range outcomes {
			if vm != except && outcome != pb.Outcome_OUTCOME_SUCCESS {
				counts[outcome] += n
			}
		}
	}
	return counts
}

// loadThroughBalancer runs load through a balancer until the context ends.
// Searches that were scheduled for later count as not sent.
func (h *harness) loadThroughBalancer(ctx context.Context, d *testkit.Deployment, label string) (*pb.LoadResult, *balancedSearcher, error) {
	balanced := newBalancedSearcher(ctx, d)
	result, err := load.Run(ctx, load.Options{
		Parameters: &pb.LoadParameters{
			Label: label, Front: front(d).Name, Rate: h.Rate, DurationMs: uint64(maxLoadDuration.Milliseconds()),
			Seed: h.Seed, TimeLimitMs: balancedTimeLimitMs, RowLimit: 50, MaxRunning: maxRunning, IntervalMs: intervalMs,
		},
		Servers:    []load.Searcher{balanced},
		Conditions: conditions(),
	})
	return result, balanced, errors.Wrap(err, label)
}
