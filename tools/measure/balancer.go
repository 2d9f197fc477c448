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
	// balancedLimitMs is the time limit of searches that go through the balancer,
	// and balancedTimeout how long their callers wait.
	balancedLimitMs = 1000
	balancedTimeout = 3 * time.Second
	// longest bounds a load whose end is not known in advance.
	longest = limit / 2
)

var errNoneReady = errors.New("no VM is ready")

// balanced sends each search to the next VM that is ready, and remembers what
// the answers are counted by.
type balanced struct {
	balancer *testkit.Balancer

	mu sync.Mutex
	// byVM counts the answers of each VM by their outcome.
	byVM map[string]map[pb.Outcome]int
}

func newBalanced(ctx context.Context, d *testkit.Deployment) *balanced {
	return &balanced{balancer: testkit.NewBalancer(ctx, d), byVM: map[string]map[pb.Outcome]int{}}
}

// Search sends one search. The end of the load cuts no search that was sent.
func (b *balanced) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	vm := b.balancer.Next()
	if vm == nil {
		return nil, errNoneReady
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

// notWhole counts the requests at other VMs than the excepted one that were not
// answered whole. A request without an answer has the unspecified outcome.
func (b *balanced) notWhole(except string) map[pb.Outcome]int {
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

// loadReady runs load through a balancer until the context ends. Searches whose
// time had not come then count as not sent.
func (l *lab) loadReady(ctx context.Context, d *testkit.Deployment, label string) (*pb.LoadResult, *balanced, error) {
	through := newBalanced(ctx, d)
	result, err := load.Run(ctx, load.Options{
		Parameters: &pb.LoadParameters{
			Label: label, Front: front(d).Name, Rate: l.Rate, DurationMs: uint64(longest.Milliseconds()),
			Seed: l.Seed, TimeLimitMs: balancedLimitMs, RowLimit: 50, MaxRunning: maxRunning, IntervalMs: intervalMs,
		},
		Servers:    []load.Searcher{through},
		Conditions: conditions(),
	})
	return result, through, errors.Wrap(err, label)
}
