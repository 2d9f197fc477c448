package testkit

import (
	"context"
	"sync/atomic"
	"time"
)

// healthInterval is how often the platform's balancer asks for readiness.
const healthInterval = 100 * time.Millisecond

// Balancer stands for the platform's balancer: it asks each VM for its readiness
// and names, in turn, those that were ready when last asked. It is safe for
// concurrent use.
type Balancer struct {
	vms   []*VM
	ready []atomic.Bool
	turn  atomic.Uint64
}

// NewBalancer returns a balancer that asks until the context ends.
func NewBalancer(ctx context.Context, d *Deployment) *Balancer {
	b := &Balancer{vms: d.VMs, ready: make([]atomic.Bool, len(d.VMs))}
	for i, vm := range b.vms {
		b.ready[i].Store(d.Ready(vm))
		go b.ask(ctx, d, i)
	}
	return b
}

// ask asks one VM, so that a frozen VM delays no other's answer.
func (b *Balancer) ask(ctx context.Context, d *Deployment, i int) {
	ticker := time.NewTicker(healthInterval)
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

// Next returns the next VM that is ready, or nil when there is none.
func (b *Balancer) Next() *VM {
	start := b.turn.Add(1)
	for i := range uint64(len(b.vms)) {
		at := (start + i) % uint64(len(b.vms))
		if b.ready[at].Load() {
			return b.vms[at]
		}
	}
	return nil
}
