// Package replica tracks the health and load of the targets of each service and
// chooses the target of each subrequest.
//
// A target's load is the number of this VM's in-flight subrequests plus the
// in-flight work of other VMs that the target's owner last reported, divided by the
// declared slots. Targets that fail, or that are slow compared with the other
// replicas of their service, are ejected and then probed until they recover.
package replica

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/latency"
)

// Candidate is a target that is in service and has an owner.
type Candidate struct {
	Target        string
	FailureDomain string
	// Owner is the VM that owns the target.
	Owner string
	Slots uint32
}

// Choice is the result of choosing among candidates.
type Choice struct {
	// Index is the index of the chosen candidate, or None.
	Index  int
	Reason string
	// Ejected is set when the chosen candidate is ejected or its owner is in
	// backoff, and no better candidate is left.
	Ejected bool
}

// None is the Index of a Choice when no candidate is left.
const None = -1

// Result is the outcome of an attempt, as evidence of the target's health.
type Result int

// Results of attempts.
const (
	// Succeeded is an attempt whose reply was accepted.
	Succeeded Result = iota
	// Failed is an attempt that failed or could not reach the target.
	Failed
	// Refused is an attempt that the owner or the target shed because of load.
	Refused
	// Cancelled is an attempt that was cancelled. The time that it ran is a lower
	// bound of the latency.
	Cancelled
	// SnapshotGone is an attempt that the target refused because it does not hold
	// the snapshot.
	SnapshotGone
	// Neutral is an attempt that is no evidence of the target's health.
	Neutral
)

// Observation describes a finished attempt.
type Observation struct {
	Target string
	Result Result
	// Elapsed is the time from the send to the end of the attempt.
	Elapsed time.Duration
	// InFlight is the number of subrequests that the owner has in flight for the
	// target, from all VMs.
	InFlight uint32
	// Snapshot is the version that the attempt requested.
	Snapshot uint64
	// HeldSnapshots lists the versions that the target holds; empty when not
	// reported.
	HeldSnapshots []uint64
	// IgnoreSlowness is set when the attempt was already reported to RecordSlow,
	// or when known overload of the target explains a late reply.
	IgnoreSlowness bool
}

// Group tracks the replicas of one service. It is safe for concurrent use.
type Group struct {
	owners    *Owners
	mu        sync.Mutex
	replicas  []*targetState
	latencies latency.Histogram
	// slowSinceResult counts slow attempts since the last result other than Cancelled.
	slowSinceResult int
}

// unresponsiveServiceAttempts is the number of slow attempts, without any result other
// than Cancelled, after which a service counts as unresponsive.
const unresponsiveServiceAttempts = 3

// Unresponsive reports whether several attempts at the service were slow and no attempt
// has ended since, other than by cancellation.
func (g *Group) Unresponsive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slowSinceResult >= unresponsiveServiceAttempts
}

// Bounds of the hedge delay.
const (
	// initialHedgeDelay is used until minHedgeSamples replies were recorded.
	initialHedgeDelay = 20 * time.Millisecond
	minHedgeSamples   = 20
	// minHedgeDelay keeps scheduling noise from causing hedges.
	minHedgeDelay = time.Millisecond
	// minMedianFactor and maxMedianFactor bound the hedge delay in multiples of
	// the median latency, so that neither jitter nor stragglers among the samples
	// distort it.
	minMedianFactor = 1.5
	maxMedianFactor = 3
)

// HedgeDelay returns the time after which an attempt counts as slow and may be
// hedged.
func (g *Group) HedgeDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedgeDelay()
}

func (g *Group) hedgeDelay() time.Duration {
	summary := g.latencies.Summary()
	if summary.Samples < minHedgeSamples {
		return initialHedgeDelay
	}
	median := float64(summary.Median)
	delay := min(max(float64(summary.Tail), minMedianFactor*median), maxMedianFactor*median)
	return max(time.Duration(delay), minHedgeDelay)
}

// RecordSend records an attempt as in flight. It reports whether the target was
// already known to be loaded beyond its slots: that load explains a late reply and
// is already part of the ranking, so slowness must not count against the target.
func (g *Group) RecordSend(c Candidate, now time.Time) (overloaded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replica(c.Target)
	overloaded = r.load(c.Slots, now) >= overloadPerSlot
	r.inFlight++
	if r.probeOverdue(now) {
		r.nextProbe = now.Add(r.backoff)
	}
	return overloaded
}

// RecordSlow records that an in-flight attempt has exceeded the hedge delay.
func (g *Group) RecordSlow(target string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowSinceResult++
	g.markSlow(g.replica(target), now)
}

// RecordResult records the end of an attempt.
func (g *Group) RecordResult(o Observation, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replica(o.Target)
	if o.Result != Cancelled {
		g.slowSinceResult = 0
	}
	r.inFlight = max(r.inFlight-1, 0)
	if len(o.HeldSnapshots) > 0 {
		r.heldSnapshots, r.heldAt = o.HeldSnapshots, now
	}
	switch o.Result {
	case Succeeded:
		r.setOtherLoad(o.InFlight, now)
		g.recordSuccess(r, o, now)
	case Failed:
		r.recordFailure(failureBackoff, now)
	case Refused:
		r.setOtherLoad(o.InFlight, now)
		r.recordFailure(refusalBackoff, now)
	case Cancelled:
		g.recordCancellation(r, o, now)
	case SnapshotGone:
		r.goneSnapshot, r.goneAt = o.Snapshot, now
	case Neutral:
	}
}

func (g *Group) recordSuccess(r *targetState, o Observation, now time.Time) {
	slow := o.Elapsed > g.hedgeDelay()
	g.latencies.Add(o.Elapsed)
	r.failures = 0
	r.servedSnapshot, r.servedAt = o.Snapshot, now
	if slow {
		if !o.IgnoreSlowness {
			g.markSlow(r, now)
		}
		return
	}
	r.recordTimelyReply()
}

func (g *Group) recordCancellation(r *targetState, o Observation, now time.Time) {
	if !o.IgnoreSlowness && o.Elapsed > g.hedgeDelay() {
		g.markSlow(r, now)
	}
	if r.probeInFlight {
		r.probeInFlight = false
		r.backoff = min(2*r.backoff, max(maxInconclusiveBackoff, r.backoff))
		r.nextProbe = now.Add(r.backoff)
	}
}

func (g *Group) markSlow(r *targetState, now time.Time) {
	r.slowShare += slowShareWeight * (1 - r.slowShare)
	if r.ejected {
		r.extendEjection(slowBackoff, now)
		return
	}
	if r.slowShare > slowShareLimit && g.allowSlowEjection(r) {
		r.eject(slowBackoff, now)
	}
}

// allowSlowEjection reports whether a replica may be ejected for being slow. At most
// half of the replicas may be, since slowness is relative to the other replicas. At
// that limit, a candidate may be ejected only in exchange for a less slow ejected
// replica, which is then reinstated: the least slow one of those whose slowness no probe
// has confirmed.
func (g *Group) allowSlowEjection(candidate *targetState) bool {
	ejected := 0
	var leastSlow *targetState
	for _, r := range g.replicas {
		if !r.ejected || r.failures > 0 {
			continue
		}
		ejected++
		if r.probeFailed {
			continue
		}
		if leastSlow == nil || r.slowShare < leastSlow.slowShare {
			leastSlow = r
		}
	}
	if 2*(ejected+1) <= len(g.replicas) {
		return true
	}
	if leastSlow == nil || leastSlow.slowShare >= candidate.slowShare {
		return false
	}
	leastSlow.reinstate()
	return true
}

// Lacks reports whether recent replies show that the target does not hold the snapshot.
func (g *Group) Lacks(target string, snapshot uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.find(target)
	return r != nil && r.lacks(snapshot, now)
}

// Holds reports whether recent replies show that the target holds the snapshot.
func (g *Group) Holds(target string, snapshot uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.find(target)
	return r != nil && r.holds(snapshot, now)
}

// Ejected reports whether the target is ejected.
func (g *Group) Ejected(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.find(target)
	return r != nil && r.ejected
}

// InFlight returns the number of this VM's in-flight attempts at the target.
func (g *Group) InFlight(target string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.find(target); r != nil {
		return r.inFlight
	}
	return 0
}

func (g *Group) find(target string) *targetState {
	for _, r := range g.replicas {
		if r.target == target {
			return r
		}
	}
	return nil
}

// replica returns the state of a target, creating it on first use.
func (g *Group) replica(target string) *targetState {
	if r := g.find(target); r != nil {
		return r
	}
	r := &targetState{target: target}
	g.replicas = append(g.replicas, r)
	return r
}

// retain removes the targets for which keep returns false, except those that have
// in-flight attempts.
func (g *Group) retain(keep func(target string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := g.replicas[:0]
	for _, r := range g.replicas {
		if r.inFlight > 0 || keep(r.target) {
			remaining = append(remaining, r)
		}
	}
	clear(g.replicas[len(remaining):])
	g.replicas = remaining
}
