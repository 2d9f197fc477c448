package replica

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentAfter is the number of slow attempts through one VM, without any
	// reply from it, after which the VM counts as silent.
	silentAfter = 3
	// ownerPause is how long a VM that fails or is silent is avoided at first.
	ownerPause = 200 * time.Millisecond
)

// Owners remembers which VMs could not be reached or stay silent, so that one
// failed call is enough to avoid all the targets that a VM owns. It is safe for
// concurrent use.
type Owners struct {
	mu     sync.Mutex
	states map[string]*ownerState
	// avoided maps VMs to the end of their pause; readers take no lock.
	avoided atomic.Pointer[map[string]time.Time]
}

type ownerState struct {
	slow  int
	pause time.Duration
	until time.Time
}

// NewOwners returns an empty memory.
func NewOwners() *Owners {
	return &Owners{states: map[string]*ownerState{}}
}

// Sent notes an attempt through the VM. The first one after a pause is a trial:
// further ones avoid the VM until it is heard of.
func (o *Owners) Sent(vm string, now time.Time) {
	avoided := o.avoided.Load()
	if avoided == nil {
		return
	}
	if _, ok := (*avoided)[vm]; !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if state, ok := o.states[vm]; ok {
		o.avoid(state, now)
	}
}

// Avoided reports whether the VM is avoided.
func (o *Owners) Avoided(vm string, now time.Time) bool {
	avoided := o.avoided.Load()
	if avoided == nil {
		return false
	}
	until, ok := (*avoided)[vm]
	return ok && now.Before(until)
}

// Heard notes a reply from the VM, which ends its pause.
func (o *Owners) Heard(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.states[vm]; !ok {
		return
	}
	delete(o.states, vm)
	o.publish()
}

// Unreachable notes a call that the VM did not answer.
func (o *Owners) Unreachable(vm string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.avoid(o.state(vm), now)
}

// Slow notes an attempt through the VM that runs for longer than expected.
func (o *Owners) Slow(vm string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(vm)
	state.slow++
	if state.slow >= silentAfter {
		o.avoid(state, now)
	}
}

// Retain forgets the VMs that are not kept.
func (o *Owners) Retain(kept func(vm string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for vm := range o.states {
		if !kept(vm) {
			delete(o.states, vm)
		}
	}
	o.publish()
}

func (o *Owners) state(vm string) *ownerState {
	state, ok := o.states[vm]
	if !ok {
		state = &ownerState{}
		o.states[vm] = state
	}
	return state
}

// avoid starts a pause, twice as long as the one before.
func (o *Owners) avoid(state *ownerState, now time.Time) {
	if now.Before(state.until) {
		return
	}
	state.slow = 0
	state.pause = min(max(2*state.pause, ownerPause), longestPause)
	state.until = now.Add(state.pause)
	o.publish()
}

func (o *Owners) publish() {
	avoided := maps.Collect(func(yield func(string, time.Time) bool) {
		for vm, state := range o.states {
			if !state.until.IsZero() && !yield(vm, state.until) {
				return
			}
		}
	})
	if len(avoided) == 0 {
		o.avoided.Store(nil)
		return
	}
	o.avoided.Store(&avoided)
}
