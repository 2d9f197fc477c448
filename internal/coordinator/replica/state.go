package replica

import (
	"math"
	"slices"
	"time"
)

// Parameters of outlier ejection.
const (
	// slowShareWeight is the weight of the newest attempt in the exponential
	// moving average of slow attempts.
	slowShareWeight = 0.4
	// slowShareLimit is the share of slow attempts above which a replica is
	// ejected; two slow attempts in a row exceed it.
	slowShareLimit = 0.6
	// overloadPerSlot is the minimum in-flight work per slot at which slowness is
	// attributed to load.
	overloadPerSlot = 1.5

	// Backoffs before the first probe of an ejected replica; each failed probe
	// doubles the backoff, up to maxBackoff.
	slowBackoff    = 250 * time.Millisecond
	failureBackoff = 200 * time.Millisecond
	refusalBackoff = 50 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxInconclusiveBackoff is the maximum to which a cancelled probe doubles the
	// backoff. It is lower than maxBackoff because the probe had no result.
	maxInconclusiveBackoff = time.Second
	// probeOverdueAfter is how long a due probe may be blocked by an exhausted
	// budget before an ordinary first attempt replaces it.
	probeOverdueAfter = time.Second

	// otherLoadHalfLife is the half-life of the reported in-flight work of other
	// VMs.
	otherLoadHalfLife = 50 * time.Millisecond
	// snapshotInfoTTL is how long a report on which snapshots a target holds is
	// valid.
	snapshotInfoTTL = 2 * time.Second
)

// targetState is the health and load of one target. Group.mu guards it.
type targetState struct {
	target   string
	inFlight int

	// otherLoad is the in-flight work of other VMs, as the owner last reported it.
	otherLoad   float64
	otherLoadAt time.Time

	// heldSnapshots is the last reported list of held snapshots. servedSnapshot is
	// the snapshot of the last successful attempt, and goneSnapshot that of the last
	// attempt with the result SnapshotGone.
	heldSnapshots  []uint64
	heldAt         time.Time
	servedSnapshot uint64
	servedAt       time.Time
	goneSnapshot   uint64
	goneAt         time.Time

	slowShare     float64
	failures      int
	ejected       bool
	probeInFlight bool
	// probeFailed is set when a probe since the ejection was slow or failed.
	probeFailed bool
	backoff     time.Duration
	nextProbe   time.Time
}

func (r *targetState) setOtherLoad(reported uint32, now time.Time) {
	r.otherLoad = max(float64(reported)-float64(r.inFlight), 0)
	r.otherLoadAt = now
}

// load returns the in-flight subrequests per slot. The decayed work of other VMs is
// rounded to whole subrequests.
func (r *targetState) load(slots uint32, now time.Time) float64 {
	otherLoad := 0.0
	if r.otherLoad > 0 {
		age := now.Sub(r.otherLoadAt).Seconds() / otherLoadHalfLife.Seconds()
		otherLoad = math.Round(r.otherLoad * math.Exp2(-age))
	}
	return (float64(r.inFlight) + otherLoad) / float64(max(slots, 1))
}

func (r *targetState) lacks(snapshot uint64, now time.Time) bool {
	if r.goneSnapshot == snapshot && recent(r.goneAt, now) && !r.heldAt.After(r.goneAt) {
		return !r.servedSince(r.goneAt, snapshot)
	}
	return len(r.heldSnapshots) > 0 && recent(r.heldAt, now) && !slices.Contains(r.heldSnapshots, snapshot)
}

func (r *targetState) holds(snapshot uint64, now time.Time) bool {
	if r.lacks(snapshot, now) {
		return false
	}
	if r.servedSnapshot == snapshot && recent(r.servedAt, now) {
		return true
	}
	return recent(r.heldAt, now) && slices.Contains(r.heldSnapshots, snapshot)
}

func (r *targetState) servedSince(at time.Time, snapshot uint64) bool {
	return r.servedSnapshot == snapshot && r.servedAt.After(at)
}

func recent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= snapshotInfoTTL
}

// recordFailure ejects the replica at the first failure, since each failed attempt
// costs a retry.
func (r *targetState) recordFailure(backoff time.Duration, now time.Time) {
	r.failures++
	if r.ejected {
		r.extendEjection(backoff, now)
		return
	}
	r.eject(backoff, now)
}

func (r *targetState) eject(backoff time.Duration, now time.Time) {
	r.ejected = true
	r.probeFailed = false
	r.probeInFlight = false
	r.backoff = backoff
	r.nextProbe = now.Add(backoff)
}

// extendEjection doubles the backoff when a probe was due or in flight. Otherwise
// it does nothing, since the attempt was sent before the replica was ejected.
func (r *targetState) extendEjection(minBackoff time.Duration, now time.Time) {
	if now.Before(r.nextProbe) && !r.probeInFlight {
		return
	}
	r.probeInFlight = false
	r.probeFailed = true
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.nextProbe = now.Add(r.backoff)
}

func (r *targetState) probeDue(now time.Time) bool {
	return r.ejected && !r.probeInFlight && !now.Before(r.nextProbe)
}

// probeOverdue reports whether a due probe has been blocked for so long that an
// ordinary attempt replaces it.
func (r *targetState) probeOverdue(now time.Time) bool {
	return r.ejected && !now.Before(r.nextProbe.Add(probeOverdueAfter))
}

// recordTimelyReply records a reply within the hedge delay, which reinstates an
// ejected replica.
func (r *targetState) recordTimelyReply() {
	r.slowShare -= slowShareWeight * r.slowShare
	if r.ejected {
		r.reinstate()
	}
}

// reinstate ends the ejection and resets slowShare, so that a single slow attempt
// does not eject the replica again.
func (r *targetState) reinstate() {
	r.ejected = false
	r.probeInFlight = false
	r.slowShare = 0
}
