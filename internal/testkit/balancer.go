package testkit

import (
	"context"
	"sync/atomic"
	"time"
)

// readinessInterval is the interval between readiness checks of a VM.
const readinessInterval = 100 * time.Millisecond

// Balancer is a fake of the platform's load balancer: it polls the readiness of
// each VM and selects round-robin among those that were ready at the last check.
// It is safe for concurrent use.
type Balancer struct {
	vms     []*VM
	ready   []atomic.Bool
	counter atomic.Uint64
}

// NewBalancer returns a balancer that polls the VMs until the context ends.
func NewBalancer(ctx context.Context, d *Deployment) *Balancer {
	b := &Balancer{vms: d.VMs, ready: make([]atomic.Bool, len(d.VMs))}
	for i, vm := range b.vms {
		b.ready[i].Store(d.Ready(vm))
		go b.pollReadiness(ctx, d, i)
	}
	return b
}

// pollReadiness polls one VM. Each VM has a goroutine of its own, so that a paused
// VM does not delay the checks of the others.
func (b *Balancer) pollReadiness(ctx context.Context, d *Deployment, i int) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.ready[i].Store(d.Ready(b.vms[i]))
		case <-ctx.Done():
			return
		}
	}
}

// Next returns the next ready VM, or nil if there is none.
func (b *Balancer) Next() *VM {
	start := b.counter.Add(1)
	for i := range uint64(len(b.vms)) {
		index := (start + i) % uint64(len(b.vms))
		if b.ready[index].Load() {
			return b.vms[index]
		}
	}
	return nil
}
