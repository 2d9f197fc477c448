package replica

import (
	"math"
	"slices"
	"time"
)

// Rules for setting replicas aside.
const (
	// slowWeight is the weight of the newest attempt in the share of slow ones.
	slowWeight = 0.4
	// slowLimit is the share of slow attempts above which a replica is set
	// aside; two slow attempts in a row exceed it.
	slowLimit = 0.6
	// loadedPerSlot is the work per slot from which on slowness is put down to
	// the load.
	loadedPerSlot = 1.5

	// Pauses until the first probe; each further failure doubles the pause.
	slowPause    = 250 * time.Millisecond
	failurePause = 200 * time.Millisecond
	refusalPause = 50 * time.Millisecond
	longestPause = 4 * time.Second
	// inconclusivePause bounds the pause after probes that were cancelled
	// before they showed anything.
	inconclusivePause = time.Second
	// probeOverdue is how long a probe may stay impossible for want of budget
	// before an ordinary first attempt is used instead.
	probeOverdue = time.Second

	// othersHalfLife is the time in which a reported count of other VMs' work
	// loses half of its weight.
	othersHalfLife = 50 * time.Millisecond
	// heldValid is how long a target's list of held snapshots is relied on.
	heldValid = 2 * time.Second
)

// state is what is known of one target.
type state struct {
	target   string
	inFlight int

	// others is the work of other VMs when the owner last told.
	others   float64
	othersAt time.Time

	// held is what the target said to hold; answered and gone are the snapshots
	// that it last answered from and last did not hold.
	held       []uint64
	heldAt     time.Time
	answered   uint64
	answeredAt time.Time
	gone       uint64
	goneAt     time.Time

	slowShare float64
	failures  int
	setAside  bool
	probing   bool
	// confirmed is set when a probe was slow or failed too.
	confirmed bool
	pause     time.Duration
	nextProbe time.Time
}

func (r *state) setOthers(reported uint32, now time.Time) {
	r.others = max(float64(reported)-float64(r.inFlight), 0)
	r.othersAt = now
}

// load returns the running work per slot, in whole subrequests.
func (r *state) load(slots uint32, now time.Time) float64 {
	others := 0.0
	if r.others > 0 {
		age := now.Sub(r.othersAt).Seconds() / othersHalfLife.Seconds()
		others = math.Round(r.others * math.Exp2(-age))
	}
	return (float64(r.inFlight) + others) / float64(max(slots, 1))
}

func (r *state) lacks(snapshot uint64, now time.Time) bool {
	if r.gone == snapshot && recent(r.goneAt, now) && !r.heldAt.After(r.goneAt) {
		return !r.answeredSince(r.goneAt, snapshot)
	}
	return len(r.held) > 0 && recent(r.heldAt, now) && !slices.Contains(r.held, snapshot)
}

func (r *state) holds(snapshot uint64, now time.Time) bool {
	if r.lacks(snapshot, now) {
		return false
	}
	if r.answered == snapshot && recent(r.answeredAt, now) {
		return true
	}
	return recent(r.heldAt, now) && slices.Contains(r.held, snapshot)
}

func (r *state) answeredSince(at time.Time, snapshot uint64) bool {
	return r.answered == snapshot && r.answeredAt.After(at)
}

func recent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= heldValid
}

// fail sets the replica aside at once: each attempt at it costs a retry.
func (r *state) fail(pause time.Duration, now time.Time) {
	r.failures++
	if r.setAside {
		r.postpone(pause, now)
		return
	}
	r.putAside(pause, now)
}

func (r *state) putAside(pause time.Duration, now time.Time) {
	r.setAside = true
	r.confirmed = false
	r.probing = false
	r.pause = pause
	r.nextProbe = now.Add(pause)
}

// postpone doubles the pause when a probe was due; replies to attempts that
// were sent before the replica was set aside change nothing.
func (r *state) postpone(pause time.Duration, now time.Time) {
	if now.Before(r.nextProbe) && !r.probing {
		return
	}
	r.probing = false
	r.confirmed = true
	r.pause = min(max(2*r.pause, pause), longestPause)
	r.nextProbe = now.Add(r.pause)
}

func (r *state) probeDue(now time.Time) bool {
	return r.setAside && !r.probing && !now.Before(r.nextProbe)
}

// overdue reports whether no probe could be sent for so long that an ordinary
// attempt takes its place.
func (r *state) overdue(now time.Time) bool {
	return r.setAside && !now.Before(r.nextProbe.Add(probeOverdue))
}

// quick notes a reply in good time, which ends setting aside.
func (r *state) quick() {
	r.slowShare -= slowWeight * r.slowShare
	if r.setAside {
		r.restore()
	}
}

// restore ends setting aside; one slow attempt more does not resume it.
func (r *state) restore() {
	r.setAside = false
	r.probing = false
	r.slowShare = 0
}
