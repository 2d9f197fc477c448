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
	// minFamilyCrashes is the number of crashes on contents of a family, without a reply to
	// any of them, that put the family on trial.
	minFamilyCrashes = 2
	// minServedFamilyCrashes is this number for a family to which targets have replied
	// before, as the requests that it has in common with others are not all harmful.
	minServedFamilyCrashes = 4
	// minServedFamilyMembers is the number of contents of such a family that have to be among
	// these crashes. A gathered request that ran beside a crashing one loses the replies of
	// all its shards at once, so that crashes of one content show nothing about the others.
	minServedFamilyMembers = 2
	// servedFamilies is the number of families to which targets have replied that are kept.
	servedFamilies = 4096
	// familyRefusal is how long a family is refused after a crash on trial; each further one
	// doubles it. Requests that are harmless may belong to the family, so that it is
	// tried again sooner than a content.
	familyRefusal = time.Minute
	// maxRefusalDoublings keeps the doubled refusal within the range of a duration.
	maxRefusalDoublings = 10
)

// Admission states how a request may be sent to targets.
type Admission int

const (
	// Admitted requests may be sent without restriction.
	Admitted Admission = iota
	// OneTargetFirst requests may be sent to further targets once one has replied: one other
	// content of their family crashed targets.
	OneTargetFirst
	// OnTrial requests may be sent to one target at a time: a target crashed, or seems to
	// have crashed, while it ran the content.
	OnTrial
	// Refused requests must not be sent to any target.
	Refused
)

// String returns the name used in logs.
func (a Admission) String() string {
	return [...]string{"admitted", "one_target_first", "on_trial", "refused"}[a]
}

// Guard decides which requests of routes may be sent, from the replies that this VM lost and
// from a List that all VMs share. A reply that is lost puts the content on trial at this VM.
// The loss enters the list, and is told to other VMs, when the target also refuses
// connections, when another target is lost as well, or when nothing shows within a second
// that it is up. The loss of a request that was sent on trial quarantines the content. A
// reply to the content clears it.
//
// The same holds for families of contents, with more evidence: requests of a family may
// differ in what crashes targets.
//
// A Guard reads no clock and does no I/O. It is safe for concurrent use.
type Guard struct {
	list *List
	// served holds the families to which targets have replied.
	served *DigestSet
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

// NewGuard returns a guard that shares what it finds through the list.
func NewGuard(list *List) *Guard {
	return &Guard{
		list: list, served: NewDigestSet(servedFamilies), trials: map[uint64]time.Time{}, refusals: map[uint64]time.Time{},
	}
}

// Check returns how a request with the content may be sent, and for Refused when it may be
// sent again.
func (g *Guard) Check(c Content, now time.Time) (Admission, time.Time) {
	verdict := g.list.Check(c.Exact, now)
	if verdict.Quarantined && verdict.Crashes >= minCrashes {
		return Refused, now.Add(refusal(verdict, g.list.limits.Lifetime))
	}
	if until := g.refusedUntil(c.Exact); now.Before(until) {
		return Refused, until
	}
	admission, until := g.checkFamily(c.Family, now)
	if admission < OnTrial && (len(verdict.Crashed) > 0 || g.hasLoss(c.Exact)) {
		return OnTrial, time.Time{}
	}
	return admission, until
}

func (g *Guard) checkFamily(family uint64, now time.Time) (Admission, time.Time) {
	if family == 0 {
		return Admitted, time.Time{}
	}
	verdict := g.list.Check(family, now)
	served := g.served.Has(family)
	switch {
	case verdict.Crashes < minFamilyCrashes, served && verdict.Crashes < minServedFamilyCrashes:
		return Admitted, time.Time{}
	case served && g.list.Members(family, now) < minServedFamilyMembers:
		return OneTargetFirst, time.Time{}
	}
	if verdict.Quarantined {
		length := min(familyRefusal<<min(verdict.CrashesAlone-1, maxRefusalDoublings), g.list.limits.Lifetime)
		if left := refusal(verdict, length); left > 0 {
			return Refused, now.Add(left)
		}
	}
	return OnTrial, time.Time{}
}

// refusal returns how much longer a content that is refused for so long after its last
// crash is refused. Until maturity, a loss may still turn out not to have been a crash.
func refusal(verdict Verdict, length time.Duration) time.Duration {
	if verdict.SinceLastCrash < maturity {
		return maturity - verdict.SinceLastCrash
	}
	return length - verdict.SinceLastCrash
}

// RefuseFor records that another VM, to which this one passed a request with the content,
// refuses it for so long. What that VM knows of it arrives later, by heartbeats.
func (g *Guard) RefuseFor(c Content, length time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refusals) < maxLosses {
		g.refusals[c.Exact] = now.Add(length)
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
	return slices.ContainsFunc(g.losses, func(l loss) bool { return l.content.Exact == digest && !l.listed })
}

// BeginTrial reports whether a request with a content on trial may be sent now. If so, no
// other one may be until EndTrial is called.
func (g *Guard) BeginTrial(c Content, now time.Time) (Trial, bool) {
	trial := Trial{Scope: ExactScope, digest: c.Exact}
	if admission, _ := g.checkFamily(c.Family, now); admission >= OnTrial {
		trial = Trial{Scope: FamilyScope, digest: c.Family}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if until, running := g.trials[trial.digest]; running && now.Before(until) {
		return Trial{}, false
	}
	g.trials[trial.digest] = now.Add(trialTimeout)
	return trial, true
}

// EndTrial ends a trial.
func (g *Guard) EndTrial(t Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trials, t.digest)
}

// Replied records that the target replied, to any content, on a connection that was set up
// at the given time, to a request that was sent at the other one. The reply to a request
// from before a loss shows nothing about it: it may have been on its way when the target
// crashed.
func (g *Guard) Replied(ref TargetRef, connectedAt, sentAt time.Time) {
	if g.tracked.Load() == 0 || connectedAt.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropLocked(func(l loss) bool {
		if l.ref != ref || !sentAt.After(l.at) || !connectedAt.Before(l.at.Add(minRestart)) {
			return false
		}
		if l.listed {
			g.retractLocked(l)
		}
		return true
	})
}

// retractLocked withdraws a loss from the list. g.mu must be held.
func (g *Guard) retractLocked(l loss) {
	for _, part := range l.content.parts() {
		g.list.Retract(part.digest, l.ref)
		g.findLocked(Finding{Digest: part.digest, Scope: part.scope, Ref: l.ref, Admission: Admitted, Reason: TargetReplied})
	}
}

// Proved records that a target ran the content and replied.
func (g *Guard) Proved(c Content) {
	for _, part := range c.parts() {
		if g.list.ClearAll(part.digest) {
			g.mu.Lock()
			g.findLocked(Finding{Digest: part.digest, Scope: part.scope, Admission: Admitted, Reason: ContentReplied})
			g.mu.Unlock()
		}
	}
	if c.Family != 0 {
		g.served.Add(c.Family)
	}
	if g.tracked.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropLocked(func(l loss) bool { return l.content.Exact == c.Exact })
	g.unanswered = slices.DeleteFunc(g.unanswered, func(u unansweredSend) bool { return u.content.Exact == c.Exact })
}

// Tick enters the losses that nothing has explained into the list and drops old ones. It
// must be called several times a second.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.losses {
		if l := &g.losses[i]; now.Sub(l.at) >= maturity {
			g.enterLocked(l, NoScope, now)
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

// findLocked records a finding. g.mu must be held.
func (g *Guard) findLocked(f Finding) {
	if len(g.findings) < maxLosses {
		g.findings = append(g.findings, f)
		g.found.Store(true)
	}
}

// dropLocked drops the losses that match. g.mu must be held.
func (g *Guard) dropLocked(matches func(loss) bool) {
	g.losses = slices.DeleteFunc(g.losses, matches)
	g.countLocked()
}
