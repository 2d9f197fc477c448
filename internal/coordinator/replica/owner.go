package replica

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unresponsiveOwnerAttempts is the number of slow attempts through one VM,
	// without any reply from it, after which the VM counts as unresponsive.
	unresponsiveOwnerAttempts = 3
	// initialOwnerBackoff is the first backoff of an unreachable or unresponsive VM.
	initialOwnerBackoff = 200 * time.Millisecond
)

// Owners tracks unreachable and unresponsive VMs, so that one failed call is enough
// to avoid all the targets that a VM owns. It is safe for concurrent use.
type Owners struct {
	mu     sync.Mutex
	states map[string]*ownerState
	// backoffs maps VMs to the end of their backoff; it is read without the lock.
	backoffs atomic.Pointer[map[string]time.Time]
}

type ownerState struct {
	slowAttempts int
	backoff      time.Duration
	backoffUntil time.Time
}

// NewOwners returns Owners without any VM in backoff.
func NewOwners() *Owners {
	return &Owners{states: map[string]*ownerState{}}
}

// RecordSend records an attempt through the VM. The first attempt after a backoff
// is a half-open probe: it renews the backoff, so that others avoid the VM until a
// reply arrives.
func (o *Owners) RecordSend(vm string, now time.Time) {
	backoffs := o.backoffs.Load()
	if backoffs == nil {
		return
	}
	if _, ok := (*backoffs)[vm]; !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if state, ok := o.states[vm]; ok {
		o.backOff(state, now)
	}
}

// InBackoff reports whether the VM is to be avoided.
func (o *Owners) InBackoff(vm string, now time.Time) bool {
	backoffs := o.backoffs.Load()
	if backoffs == nil {
		return false
	}
	until, ok := (*backoffs)[vm]
	return ok && now.Before(until)
}

// RecordReply records a reply from the VM, which ends its backoff.
func (o *Owners) RecordReply(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.states[vm]; !ok {
		return
	}
	delete(o.states, vm)
	o.publishBackoffs()
}

// RecordUnreachable records a call that the VM did not answer.
func (o *Owners) RecordUnreachable(vm string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.backOff(o.state(vm), now)
}

// RecordSlow records that an attempt through the VM has exceeded the hedge delay.
func (o *Owners) RecordSlow(vm string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(vm)
	state.slowAttempts++
	if state.slowAttempts >= unresponsiveOwnerAttempts {
		o.backOff(state, now)
	}
}

// Retain removes the VMs for which keep returns false.
func (o *Owners) Retain(keep func(vm string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for vm := range o.states {
		if !keep(vm) {
			delete(o.states, vm)
		}
	}
	o.publishBackoffs()
}

func (o *Owners) state(vm string) *ownerState {
	state, ok := o.states[vm]
	if !ok {
		state = &ownerState{}
		o.states[vm] = state
	}
	return state
}

// backOff starts a backoff twice as long as the previous one, up to maxBackoff. It
// does nothing during a backoff.
func (o *Owners) backOff(state *ownerState, now time.Time) {
	if now.Before(state.backoffUntil) {
		return
	}
	state.slowAttempts = 0
	state.backoff = min(max(2*state.backoff, initialOwnerBackoff), maxBackoff)
	state.backoffUntil = now.Add(state.backoff)
	o.publishBackoffs()
}

func (o *Owners) publishBackoffs() {
	backoffs := maps.Collect(func(yield func(string, time.Time) bool) {
		for vm, state := range o.states {
			if !state.backoffUntil.IsZero() && !yield(vm, state.backoffUntil) {
				return
			}
		}
	})
	if len(backoffs) == 0 {
		o.backoffs.Store(nil)
		return
	}
	o.backoffs.Store(&backoffs)
}
