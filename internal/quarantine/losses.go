package quarantine

import (
	"slices"
	"time"
)

// loss is a reply that was lost while the target ran the content.
type loss struct {
	content Content
	ref     TargetRef
	at      time.Time
	// listed is true if the loss has entered the list.
	listed bool
}

// unansweredSend is a send that was given up before the target replied.
type unansweredSend struct {
	content Content
	ref     TargetRef
	trial   Trial
	at      time.Time
}

// Lost records that the target's connection ended without a whole reply while it ran the
// content. trial is the one with which the request was sent.
func (g *Guard) Lost(c Content, ref TargetRef, trial Trial, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := loss{content: c, ref: ref, at: now}
	if trial.Scope != NoScope || g.lostBeforeLocked(lost) {
		for i := range g.losses {
			if g.related(g.losses[i].content, c) {
				g.enterLocked(&g.losses[i], NoScope, now)
			}
		}
		g.enterLocked(&lost, trial.Scope, now)
	}
	if len(g.losses) >= maxLosses {
		g.losses = slices.Delete(g.losses, 0, 1)
	}
	g.losses = append(g.losses, lost)
	g.countLocked()
}

// related reports whether the loss of one of the contents tells something about the other.
func (g *Guard) related(a, b Content) bool {
	return a.Exact == b.Exact || a.Family != 0 && a.Family == b.Family && !g.served.Has(a.Family)
}

// lostBeforeLocked reports whether an earlier crash coincided with the content
// or a related one. g.mu must be held.
func (g *Guard) lostBeforeLocked(last loss) bool {
	return slices.ContainsFunc(g.losses, func(l loss) bool { return !sameCrash(l, last) && g.related(l.content, last.content) })
}

// sameCrash reports whether one crash of a target explains both losses.
func sameCrash(a, b loss) bool { return a.ref == b.ref && a.at.Sub(b.at).Abs() < minRestart }

// Unanswered records that a send of the content to the target was given up.
func (g *Guard) Unanswered(c Content, ref TargetRef, trial Trial, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unanswered) >= maxLosses {
		g.unanswered = slices.Delete(g.unanswered, 0, 1)
	}
	g.unanswered = append(g.unanswered, unansweredSend{content: c, ref: ref, trial: trial, at: now})
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
			g.enterLocked(l, NoScope, now)
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
		g.Lost(u.content, u.ref, u.trial, now)
	}
}

// enterLocked enters a loss into the list as a crash. scope is what was on trial. g.mu must
// be held.
func (g *Guard) enterLocked(l *loss, scope Scope, now time.Time) {
	if l.listed {
		return
	}
	for _, part := range l.content.parts() {
		finding := Finding{Digest: part.digest, Scope: part.scope, Ref: l.ref, Admission: OnTrial, Reason: LostReply}
		switch {
		case scope >= part.scope:
			finding.Admission, finding.Reason = Refused, LostTrial
			g.list.RecordCrashAlone(part.digest, l.ref, now)
		case part.scope == FamilyScope && g.familyListedLocked(*l):
			continue
		default:
			g.list.RecordCrash(part.digest, l.ref, now)
		}
		g.findLocked(finding)
	}
	g.list.SetFamily(l.content.Exact, l.content.Family)
	l.listed = true
}

// familyListedLocked reports whether the same crash has entered the list for the family of
// the content. g.mu must be held.
func (g *Guard) familyListedLocked(last loss) bool {
	return slices.ContainsFunc(g.losses, func(l loss) bool {
		return l.listed && l.content.Family == last.content.Family && sameCrash(l, last)
	})
}
