package search

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// trial tracks whether the content of a search crashes targets.
type trial struct {
	// proven is set when a target executed the content and answered.
	proven bool
	// crashes counts targets that failed while they executed the content.
	// unprovenRuns counts attempts that were sent before the content was proven
	// and then crashed or were cancelled.
	crashes      int
	unprovenRuns int
	// suspected is set when an owner reported the content as suspect.
	suspected bool
	// blocked is set when the content must not run on any further target.
	blocked bool
	// heldLegs is the number of legs that wait for the trial.
	heldLegs int
}

// maxTrialRuns is the number of unproven runs after which the trial has failed.
const maxTrialRuns = 2

// effectiveVerdict returns the verdict that follows from the quarantine's verdict on the
// content and from the results of this search's attempts.
func (m *Machine) effectiveVerdict() Verdict {
	t := &m.trial
	switch {
	case m.env.Verdict == Quarantined || t.blocked:
		return Quarantined
	case m.env.Verdict == Suspect || t.suspected:
		return Suspect
	case t.crashes > 0 && !t.proven:
		return Suspect
	case m.env.Verdict == Unproven && !t.proven:
		return Unproven
	default:
		return Clear
	}
}

// admit reports whether the leg may send now. Otherwise it holds the leg until the
// trial of the content proceeds, or gives it up.
func (m *Machine) admit(l *leg) bool {
	switch m.effectiveVerdict() {
	case Quarantined:
		m.giveUp(l, pb.MissingReason_MISSING_REASON_QUARANTINED)
		return false
	case Suspect:
		if m.trial.proven || m.inFlight == 0 {
			return true
		}
	case Unproven:
		if m.inFlight == 0 {
			return true
		}
	default:
		return true
	}
	m.hold(l)
	return false
}

// chooseFirstTarget picks the target of a leg's first attempt. Unproven content goes
// to the target that its digest selects by rendezvous hashing, so that VMs which
// receive the same content at the same time try it on one target and not on all
// replicas at once.
func (m *Machine) chooseFirstTarget(l *leg, routes *plan.Routes) replica.Choice {
	if m.effectiveVerdict() != Unproven {
		return m.choose(l, routes, "")
	}
	selected := 0
	var greatest uint64
	for i, candidate := range routes.Candidates {
		weight := replica.Mix(m.in.Digest ^ xxhash.Sum64String(candidate.Target))
		if weight >= greatest {
			selected, greatest = i, weight
		}
	}
	q := m.query(l, routes)
	q.Skip = func(i int) bool { return i != selected }
	choice := l.group.Choose(routes.Candidates, q, m.env.Now)
	if choice.Index == replica.None || choice.Ejected || m.lacksPinned(l, routes, choice) {
		return m.choose(l, routes, "")
	}
	choice.Reason = "selected by the content's digest"
	return choice
}

// mayHedgeUnproven reports whether the trial of the content allows a hedge: unproven
// content gets at most two attempts in total.
func (m *Machine) mayHedgeUnproven() bool {
	return m.effectiveVerdict() != Unproven || m.trial.unprovenRuns+1 < maxTrialRuns
}

// cancelUnproven cancels the in-flight attempt of unproven content before another one
// is sent. Unproven content must not run on two targets at once: both could crash on
// it, and a third before the other VMs learn of the crashes. The cancelled attempt may
// have been executed, so it counts as an unproven run. Its target was only slow and may
// be tried again if the other replicas can't be reached.
func (m *Machine) cancelUnproven(l *leg) {
	for m.effectiveVerdict() == Unproven && l.inFlight > 0 {
		m.trial.unprovenRuns++
		id := l.inFlightIDs[l.inFlight-1]
		m.cancel(id, "unproven content runs on one target at a time")
		target := m.attemptByID(id).target
		l.tried = slices.DeleteFunc(l.tried, func(tried string) bool { return tried == target })
	}
}

func (m *Machine) hold(l *leg) {
	if !l.held {
		l.held = true
		m.trial.heldLegs++
	}
}

// resumeHeldLegs resumes the held legs; those that are still not admitted are held
// again.
func (m *Machine) resumeHeldLegs() {
	if m.trial.heldLegs == 0 || m.restartOn != nil {
		return
	}
	for i := range m.legs {
		l := &m.legs[i]
		if !l.held {
			continue
		}
		l.held = false
		m.trial.heldLegs--
		m.resumeLeg(l)
	}
}

func (m *Machine) resumeLeg(l *leg) {
	if l.closed {
		return
	}
	if len(l.tried) > 0 {
		m.retry(l)
		return
	}
	m.sendFirst(l, m.firstKind())
}

// firstKind returns the kind of first attempts on the pinned snapshot.
func (m *Machine) firstKind() SendKind {
	if len(m.pinnedVersions) > 1 {
		return Restart
	}
	return First
}

// recordCrash records that a target failed while it executed the content. It blocks
// the content at the second crash: a crash of content that was already suspect, or the
// second unproven run.
func (m *Machine) recordCrash(a *attempt, l *leg) {
	l.failures++
	t := &m.trial
	if t.proven {
		return
	}
	t.crashes++
	if a.verdict >= Unproven {
		t.unprovenRuns++
	}
	if m.env.Verdict == Suspect || a.verdict == Suspect || t.unprovenRuns >= maxTrialRuns {
		m.blockContent()
	}
}

// blockContent keeps the content from running on further targets. Unless the content
// is proven, attempts queued at their owners are cancelled too.
func (m *Machine) blockContent() {
	m.trial.blocked = true
	if m.trial.proven {
		return
	}
	m.cancelAll()
	for i := range m.legs {
		m.giveUp(&m.legs[i], pb.MissingReason_MISSING_REASON_QUARANTINED)
	}
}

// firstLeg returns the index of the leg whose first attempt is sent first. For content
// that needs a trial it depends on the digest, so that all VMs try the same content on
// the same service, whose owners report crashes to each other. Unresponsive services are
// skipped.
func (m *Machine) firstLeg() int {
	if m.effectiveVerdict() == Clear {
		return 0
	}
	first := int(m.in.Digest % uint64(len(m.legs)))
	for i := range m.legs {
		at := (first + i) % len(m.legs)
		if !m.legs[at].group.Unresponsive() {
			return at
		}
	}
	return first
}
