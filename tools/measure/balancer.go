package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// healthInterval is how often the platform's balancer asks for readiness.
const healthInterval = 100 * time.Millisecond

var errNoneReady = errors.New("no VM is ready")

// balancer stands for the platform's balancer: it sends each search to the next
// VM that was ready when last asked.
type balancer struct {
	d     *testkit.Deployment
	ready atomic.Pointer[[]*testkit.VM]
	turn  atomic.Uint64
}

func newBalancer(ctx context.Context, d *testkit.Deployment) *balancer {
	b := &balancer{d: d}
	b.look()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(healthInterval)
			b.look()
		}
	}()
	return b
}

func (b *balancer) look() {
	var ready []*testkit.VM
	for _, vm := range b.d.VMs {
		if b.d.Ready(vm) {
			ready = append(ready, vm)
		}
	}
	b.ready.Store(&ready)
}

// Search sends one search.
func (b *balancer) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return nil, errNoneReady
	}
	vm := ready[b.turn.Add(1)%uint64(len(ready))]
	return searcher{vm.Caller}.Search(ctx, r)
}

// loadReady runs load through the balancer until the context ends.
func (l *lab) loadReady(ctx context.Context, d *testkit.Deployment) (*pb.LoadResult, error) {
	result, err := load.Run(ctx, load.Options{
		Parameters: &pb.LoadParameters{
			Label: "rolling", Front: front(d).Name, Rate: l.Rate, DurationMs: uint64(l.Duration.Milliseconds()),
			Seed: l.Seed, TimeLimitMs: usPerMs, RowLimit: 50, MaxRunning: maxRunning, IntervalMs: intervalMs,
		},
		Servers:    []load.Searcher{newBalancer(ctx, d)},
		Conditions: conditions(),
	})
	return result, errors.Wrap(err, "rolling")
}
