// Package replica keeps what a coordinator knows of the targets of each service
// and chooses which of them is asked.
//
// A target's load is the number of this VM's own running subrequests plus the
// work of other VMs that its owner last reported, divided by its declared
// slots. Targets that fail, or that are slow compared with the other replicas
// of their service, are set aside and probed until they are well again.
package replica

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/latency"
)

// Candidate is a target that may be asked, by configuration and ownership.
type Candidate struct {
	Target        string
	FailureDomain string
	// Owner is the VM that owns the target.
	Owner string
	Slots uint32
}

// Choice states why a candidate was chosen.
type Choice struct {
	// Index is the position among the candidates, or None.
	Index  int
	Reason string
	// SetAside is set when the candidate is set aside but no other is left.
	SetAside bool
}

// None is the index of a choice when no candidate remains.
const None = -1

// Result is what an attempt at a target showed.
type Result int

// Results of attempts.
const (
	// Answered is a reply that was accepted.
	Answered Result = iota
	// Failed is an attempt that failed, or that could not reach the target.
	Failed
	// Refused is an attempt that the owner or the target refused for load.
	Refused
	// Cancelled is an attempt that was cancelled; it shows only that the reply
	// takes at least as long as the attempt ran.
	Cancelled
	// Gone is an attempt that the target refused because it does not hold the
	// snapshot.
	Gone
	// Neutral is an attempt that says nothing about the target's health.
	Neutral
)

// Observation is the end of an attempt.
type Observation struct {
	Target string
	Result Result
	// Elapsed is the time from the send to the end of the attempt.
	Elapsed time.Duration
	// InFlight is the owner's count of work for the target.
	InFlight uint32
	// Snapshot is what the attempt asked for.
	Snapshot uint64
	// Held lists the snapshots that the target holds; empty when not told.
	Held []uint64
	// Slow is set when the attempt was reported by Group.Slow before, or when
	// its time does not speak against the target.
	Slow bool
}

// Group is the replicas of one service. It is safe for concurrent use.
type Group struct {
	owners   *Owners
	mu       sync.Mutex
	replicas []*state
	times    latency.Histogram
	// slow counts slow attempts since the last answer.
	slow int
}

// silentService is the number of slow attempts without any answer after which a
// service counts as silent.
const silentService = 3

// Silent reports whether the service's replicas have not answered lately.
func (g *Group) Silent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slow >= silentService
}

// Timing bounds of hedging.
const (
	// initialHedgeDelay is used until minimumSamples replies were seen.
	initialHedgeDelay = 20 * time.Millisecond
	minimumSamples    = 20
	// minimumHedgeDelay keeps scheduling noise from causing hedges.
	minimumHedgeDelay = time.Millisecond
	// A hedge is sent no earlier and no later than these multiples of the
	// median, so that neither jitter nor stragglers among the samples move it
	// far.
	lowMedianFactor  = 1.5
	highMedianFactor = 3
)

// HedgeDelay returns the time after which an attempt is slow and a hedge is
// worth its cost.
func (g *Group) HedgeDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedgeDelay()
}

func (g *Group) hedgeDelay() time.Duration {
	summary := g.times.Summary()
	if summary.Samples < minimumSamples {
		return initialHedgeDelay
	}
	median := float64(summary.Median)
	delay := min(max(float64(summary.Tail), lowMedianFactor*median), highMedianFactor*median)
	return max(time.Duration(delay), minimumHedgeDelay)
}

// Sent counts an attempt at a target as running. It reports whether the target
// was known to be loaded beyond its slots: a late reply is then explained by the
// load, which is counted already, and does not speak against the target.
func (g *Group) Sent(c Candidate, now time.Time) (loaded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replica(c.Target)
	loaded = r.load(c.Slots, now) >= loadedPerSlot
	r.inFlight++
	if r.overdue(now) {
		r.nextProbe = now.Add(r.pause)
	}
	return loaded
}

// Slow reports an attempt that has run for longer than the hedge delay and is
// still running.
func (g *Group) Slow(target string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow++
	g.markSlow(g.replica(target), now)
}

// Done reports the end of an attempt.
func (g *Group) Done(o Observation, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replica(o.Target)
	if o.Result != Cancelled {
		g.slow = 0
	}
	r.inFlight = max(r.inFlight-1, 0)
	if len(o.Held) > 0 {
		r.held, r.heldAt = o.Held, now
	}
	switch o.Result {
	case Answered:
		r.setOthers(o.InFlight, now)
		g.answered(r, o, now)
	case Failed:
		r.fail(failurePause, now)
	case Refused:
		r.setOthers(o.InFlight, now)
		r.fail(refusalPause, now)
	case Cancelled:
		g.cancelled(r, o, now)
	case Gone:
		r.gone, r.goneAt = o.Snapshot, now
	case Neutral:
	}
}

func (g *Group) answered(r *state, o Observation, now time.Time) {
	slow := o.Elapsed > g.hedgeDelay()
	g.times.Add(o.Elapsed)
	r.failures = 0
	r.answered, r.answeredAt = o.Snapshot, now
	if slow {
		if !o.Slow {
			g.markSlow(r, now)
		}
		return
	}
	r.quick()
}

func (g *Group) cancelled(r *state, o Observation, now time.Time) {
	if !o.Slow && o.Elapsed > g.hedgeDelay() {
		g.markSlow(r, now)
	}
	if r.probing {
		r.probing = false
		r.pause = min(2*r.pause, max(inconclusivePause, r.pause))
		r.nextProbe = now.Add(r.pause)
	}
}

func (g *Group) markSlow(r *state, now time.Time) {
	r.slowShare += slowWeight * (1 - r.slowShare)
	if r.setAside {
		r.postpone(slowPause, now)
		return
	}
	if r.slowShare > slowLimit && g.makeRoom(r) {
		r.putAside(slowPause, now)
	}
}

// makeRoom reports whether a replica may be set aside for being slow. At most
// half of the replicas may, since slowness is a comparison between them. A
// replica that is slower than one of those takes its place, unless a probe has
// confirmed that one to be slow.
func (g *Group) makeRoom(slow *state) bool {
	aside := 0
	var least *state
	for _, r := range g.replicas {
		if !r.setAside || r.failures > 0 {
			continue
		}
		aside++
		if r.confirmed {
			continue
		}
		if least == nil || r.slowShare < least.slowShare {
			least = r
		}
	}
	if 2*(aside+1) <= len(g.replicas) {
		return true
	}
	if least == nil || least.slowShare >= slow.slowShare {
		return false
	}
	least.restore()
	return true
}

// Lacks reports whether the target was recently found not to hold the snapshot.
func (g *Group) Lacks(target string, snapshot uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.find(target)
	return r != nil && r.lacks(snapshot, now)
}

// Holds reports whether the target was recently found to hold the snapshot.
func (g *Group) Holds(target string, snapshot uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.find(target)
	return r != nil && r.holds(snapshot, now)
}

// SetAside reports whether the target is set aside.
func (g *Group) SetAside(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.find(target)
	return r != nil && r.setAside
}

// InFlight returns the number of this VM's attempts that run on the target.
func (g *Group) InFlight(target string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.find(target); r != nil {
		return r.inFlight
	}
	return 0
}

func (g *Group) find(target string) *state {
	for _, r := range g.replicas {
		if r.target == target {
			return r
		}
	}
	return nil
}

// replica returns the state of a target and creates it at first use.
func (g *Group) replica(target string) *state {
	if r := g.find(target); r != nil {
		return r
	}
	r := &state{target: target}
	g.replicas = append(g.replicas, r)
	return r
}

// retain forgets the targets that are not kept and have no running attempts.
func (g *Group) retain(kept func(target string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := g.replicas[:0]
	for _, r := range g.replicas {
		if r.inFlight > 0 || kept(r.target) {
			remaining = append(remaining, r)
		}
	}
	clear(g.replicas[len(remaining):])
	g.replicas = remaining
}
