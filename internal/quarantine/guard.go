package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRestart is the shortest time in which a target that crashed accepts connections
	// again. A reply on a connection that was set up earlier shows that it did not crash.
	minRestart = 250 * time.Millisecond
	// maturity is the age at which a lost reply that nothing explains counts as a crash.
	maturity = time.Second
	// retractable is how long a loss can be shown to be no crash.
	retractable = 5 * time.Second
	// unansweredTTL is how long a content that was given up at a target is blamed for a crash
	// of that target.
	unansweredTTL = 2 * time.Second
	// trialTimeout is the longest time for which one trial keeps other requests with the same
	// content from being sent.
	trialTimeout = 2 * time.Second
	// maxLosses bounds the losses and given-up contents that are tracked, each.
	maxLosses = 4096
	// minCrashes is the number of crashes, one of them on trial, that quarantine a content.
	minCrashes = 2
)

// Admission states how a request may be sent to targets.
type Admission int

const (
	// Admitted requests may be sent without restriction.
	Admitted Admission = iota
	// OnTrial requests may be sent to one target at a time: a target crashed, or seems to
	// have crashed, while it ran the content.
	OnTrial
	// Refused requests must not be sent to any target.
	Refused
)

// String returns the name used in logs.
func (a Admission) String() string { return [...]string{"admitted", "on_trial", "refused"}[a] }

// Finding is a change in what a Guard knows about a content, for logs and for the other
// VMs.
type Finding struct {
	Digest uint64
	Ref    TargetRef
	// Admission is that of the content since the change. Admitted means that a suspicion
	// was withdrawn.
	Admission Admission
}

// Guard decides which requests of routes may be sent, from the replies that this VM lost and
// from a List that all VMs share. A reply that is lost puts the content on trial at this VM.
// The loss enters the list, and is told to other VMs, when the target also refuses
// connections, or when nothing shows within a second that it is up. The loss of a request
// that was sent on trial quarantines the content. Any reply to the content clears it.
//
// A Guard reads no clock and does no I/O. It is safe for concurrent use.
type Guard struct {
	list *List
	// tracked is the number of losses, sends and refusals, so that the usual case of none
	// needs no lock.
	tracked atomic.Int64
	// found is true while there are findings.
	found atomic.Bool

	mu         sync.Mutex
	losses     []loss
	unanswered []unansweredSend
	trials     map[uint64]time.Time
	// refusals holds the contents that another VM has refused, with the end of the refusal.
	refusals map[uint64]time.Time
	findings []Finding
}

// loss is a reply that was lost while the target ran the content.
type loss struct {
	digest uint64
	ref    TargetRef
	at     time.Time
	// listed is true if the loss has entered the list.
	listed bool
}

// unansweredSend is a send that was given up before the target replied.
type unansweredSend struct {
	digest  uint64
	ref     TargetRef
	onTrial bool
	at      time.Time
}

// NewGuard returns a guard that shares what it finds through the list.
func NewGuard(list *List) *Guard {
	return &Guard{list: list, trials: map[uint64]time.Time{}, refusals: map[uint64]time.Time{}}
}

// Check returns how a request with the content may be sent, and for Refused when it may be
// sent again.
func (g *Guard) Check(digest uint64, now time.Time) (Admission, time.Time) {
	verdict := g.list.Check(digest, now)
	if verdict.Quarantined && verdict.Crashes >= minCrashes {
		return Refused, now.Add(g.refusal(verdict))
	}
	if until := g.refusedUntil(digest); now.Before(until) {
		return Refused, until
	}
	if len(verdict.Crashed) > 0 || g.hasLoss(digest) {
		return OnTrial, time.Time{}
	}
	return Admitted, time.Time{}
}

// refusal returns how much longer a quarantined content is refused. Until maturity, a loss
// may still turn out not to have been a crash.
func (g *Guard) refusal(verdict Verdict) time.Duration {
	if verdict.SinceLastCrash < maturity {
		return maturity - verdict.SinceLastCrash
	}
	return g.list.limits.Lifetime - verdict.SinceLastCrash
}

// RefuseFor records that another VM, to which this one passed a request with the content,
// refuses it for so long. What that VM knows of it arrives later, by heartbeats.
func (g *Guard) RefuseFor(digest uint64, length time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refusals) < maxLosses {
		g.refusals[digest] = now.Add(length)
		g.countLocked()
	}
}

func (g *Guard) refusedUntil(digest uint64) time.Time {
	if g.tracked.Load() == 0 {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusals[digest]
}

// countLocked updates the number of what is tracked. g.mu must be held.
func (g *Guard) countLocked() {
	g.tracked.Store(int64(len(g.losses) + len(g.unanswered) + len(g.refusals)))
}

func (g *Guard) hasLoss(digest uint64) bool {
	if g.tracked.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.losses, func(l loss) bool { return l.digest == digest && !l.listed })
}

// BeginTrial reports whether a request with a content on trial may be sent now. If so, it
// returns true once until EndTrial is called.
func (g *Guard) BeginTrial(digest uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until, running := g.trials[digest]; running && now.Before(until) {
		return false
	}
	g.trials[digest] = now.Add(trialTimeout)
	return true
}

// EndTrial ends a trial.
func (g *Guard) EndTrial(digest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trials, digest)
}

// Lost records that the target's connection ended without a reply while it ran the content.
// onTrial states that the content was on trial when the request was sent.
func (g *Guard) Lost(digest uint64, ref TargetRef, onTrial bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if onTrial {
		for i := range g.losses {
			if g.losses[i].digest == digest {
				g.enterLocked(&g.losses[i], now)
			}
		}
		g.list.RecordCrashAlone(digest, ref, now)
		g.findLocked(digest, ref, Refused)
	}
	if len(g.losses) >= maxLosses {
		g.losses = slices.Delete(g.losses, 0, 1)
	}
	g.losses = append(g.losses, loss{digest: digest, ref: ref, at: now, listed: onTrial})
	g.countLocked()
}

// Unanswered records that a send of the content to the target was given up.
func (g *Guard) Unanswered(digest uint64, ref TargetRef, onTrial bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unanswered) >= maxLosses {
		g.unanswered = slices.Delete(g.unanswered, 0, 1)
	}
	g.unanswered = append(g.unanswered, unansweredSend{digest: digest, ref: ref, onTrial: onTrial, at: now})
	g.countLocked()
}

// Unreachable records that the target refused a connection. The contents whose replies it
// lost, and those that were given up at it shortly before, coincided with a crash.
func (g *Guard) Unreachable(ref TargetRef, now time.Time) {
	if g.tracked.Load() == 0 {
		return
	}
	var lost []unansweredSend
	g.mu.Lock()
	for i := range g.losses {
		if l := &g.losses[i]; l.ref == ref {
			g.enterLocked(l, now)
		}
	}
	g.unanswered = slices.DeleteFunc(g.unanswered, func(u unansweredSend) bool {
		if u.ref != ref || now.Sub(u.at) > unansweredTTL {
			return false
		}
		lost = append(lost, u)
		return true
	})
	g.mu.Unlock()
	for _, u := range lost {
		g.Lost(u.digest, u.ref, u.onTrial, now)
	}
}

// Replied records that the target replied, to any content, on a connection that was set up
// at the given time.
func (g *Guard) Replied(ref TargetRef, connectedAt time.Time) {
	if g.tracked.Load() == 0 || connectedAt.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropLocked(func(l loss) bool {
		if l.ref != ref || !connectedAt.Before(l.at.Add(minRestart)) {
			return false
		}
		if l.listed {
			g.list.Retract(l.digest, l.ref)
			g.findLocked(l.digest, l.ref, Admitted)
		}
		return true
	})
}

// Proved records that a target ran the content and replied.
func (g *Guard) Proved(digest uint64) {
	if g.list.ClearAll(digest) {
		g.mu.Lock()
		g.findLocked(digest, TargetRef{}, Admitted)
		g.mu.Unlock()
	}
	if g.tracked.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropLocked(func(l loss) bool { return l.digest == digest })
	g.unanswered = slices.DeleteFunc(g.unanswered, func(u unansweredSend) bool { return u.digest == digest })
}

// Tick enters the losses that nothing has explained into the list and drops old ones. It
// must be called several times a second.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.losses {
		if l := &g.losses[i]; now.Sub(l.at) >= maturity {
			g.enterLocked(l, now)
		}
	}
	g.unanswered = slices.DeleteFunc(g.unanswered, func(u unansweredSend) bool { return now.Sub(u.at) > unansweredTTL })
	g.dropLocked(func(l loss) bool { return now.Sub(l.at) >= retractable })
	for digest, until := range g.trials {
		if !now.Before(until) {
			delete(g.trials, digest)
		}
	}
	for digest, until := range g.refusals {
		if !now.Before(until) {
			delete(g.refusals, digest)
		}
	}
	g.countLocked()
}

// TakeFindings returns the findings since the last call.
func (g *Guard) TakeFindings() []Finding {
	if !g.found.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	findings := g.findings
	g.findings = nil
	g.found.Store(false)
	return findings
}

// enterLocked enters a loss into the list as a crash. g.mu must be held.
func (g *Guard) enterLocked(l *loss, now time.Time) {
	if l.listed {
		return
	}
	l.listed = true
	g.list.RecordCrash(l.digest, l.ref, now)
	g.findLocked(l.digest, l.ref, OnTrial)
}

// findLocked records a finding. g.mu must be held.
func (g *Guard) findLocked(digest uint64, ref TargetRef, admission Admission) {
	if len(g.findings) < maxLosses {
		g.findings = append(g.findings, Finding{Digest: digest, Ref: ref, Admission: admission})
		g.found.Store(true)
	}
}

// dropLocked drops the losses that match. g.mu must be held.
func (g *Guard) dropLocked(matches func(loss) bool) {
	g.losses = slices.DeleteFunc(g.losses, matches)
	g.countLocked()
}
