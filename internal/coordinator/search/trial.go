package search

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// trial is what a search knows of whether its content crashes targets.
type trial struct {
	// proven is set when a target ran the content and answered.
	proven bool
	// crashes counts targets that failed while they ran the content; those of
	// them that ran it ahead of the others count in ahead too, as do attempts
	// ahead that were cancelled.
	crashes int
	ahead   int
	// suspected is set when an owner holds the content suspect.
	suspected bool
	// refused is set when the content must not run on any further target.
	refused bool
	// held is the number of legs that wait for the trial.
	held int
}

// trialCrashes is the number of crashes that end a trial.
const trialCrashes = 2

// caution returns how carefully the content has to be treated, from the
// quarantine's verdict and from what this search has seen.
func (m *Machine) caution() Verdict {
	t := &m.trial
	switch {
	case m.ctx.Verdict == Quarantined || t.refused:
		return Quarantined
	case m.ctx.Verdict == Suspect || t.suspected:
		return Suspect
	case t.crashes > 0 && !t.proven:
		return Suspect
	case m.ctx.Verdict == Unproven && !t.proven:
		return Unproven
	default:
		return Clear
	}
}

// mayRun reports whether the leg may send now. Otherwise the leg is held until
// the trial of the content goes on, or given up.
func (m *Machine) mayRun(l *leg) bool {
	switch m.caution() {
	case Quarantined:
		m.giveUp(l, pb.MissingReason_MISSING_REASON_QUARANTINED)
		return false
	case Suspect:
		if m.trial.proven || m.running == 0 {
			return true
		}
	case Unproven:
		if m.running == 0 {
			return true
		}
	default:
		return true
	}
	m.hold(l)
	return false
}

// chooseFirst picks the target of a leg's first attempt. Unproven content goes to
// the target that its digest selects, so that VMs which receive the same content
// at the same time try it on one target and not on all replicas at once.
func (m *Machine) chooseFirst(l *leg, routes *plan.Routes) replica.Choice {
	if m.caution() != Unproven {
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
	choice := l.group.Choose(routes.Candidates, q, m.ctx.Now)
	if choice.Index == replica.None || choice.Ejected || m.knownToLack(l, routes, choice) {
		return m.choose(l, routes, "")
	}
	choice.Reason = "selected by the content's digest"
	return choice
}

// mayReplace reports whether a hedge may be sent as far as the trial of the
// content goes: of unproven content two attempts may go ahead in all.
func (m *Machine) mayReplace() bool {
	return m.caution() != Unproven || m.trial.ahead+1 < trialCrashes
}

// replaceUnproven cancels the running attempt of unproven content before another
// one is sent. Content must not run on two targets at once before one has
// answered: both could crash on it, and a third before the news of them has
// spread. The cancelled attempt may have run, so it counts as one that went ahead.
func (m *Machine) replaceUnproven(l *leg) {
	for m.caution() == Unproven && l.running > 0 {
		m.trial.ahead++
		m.cancel(l.runningIDs[l.running-1], "unproven content runs on one target at a time")
	}
}

func (m *Machine) hold(l *leg) {
	if !l.held {
		l.held = true
		m.trial.held++
	}
}

// releaseHeld lets held legs try again; those that still may not run are held
// again.
func (m *Machine) releaseHeld() {
	if m.trial.held == 0 || m.next != nil {
		return
	}
	for i := range m.legs {
		l := &m.legs[i]
		if !l.held {
			continue
		}
		l.held = false
		m.trial.held--
		m.resume(l)
	}
}

func (m *Machine) resume(l *leg) {
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
func (m *Machine) firstKind() Kind {
	if len(m.tried) > 1 {
		return Restart
	}
	return First
}

// crashed notes that a target failed while it ran the content. A crash of
// content that was under suspicion already is the second one, as is the second of
// attempts sent ahead; that is enough.
func (m *Machine) crashed(a *attempt, l *leg) {
	l.failures++
	t := &m.trial
	if t.proven {
		return
	}
	t.crashes++
	if a.caution >= Unproven {
		t.ahead++
	}
	if m.ctx.Verdict == Suspect || a.caution == Suspect || t.ahead >= trialCrashes {
		m.stopContent()
	}
}

// stopContent keeps the content from running any further: attempts that wait at
// their owners are cancelled too.
func (m *Machine) stopContent() {
	m.trial.refused = true
	if m.trial.proven {
		return
	}
	m.cancelAll()
	for i := range m.legs {
		m.giveUp(&m.legs[i], pb.MissingReason_MISSING_REASON_QUARANTINED)
	}
}

// firstLeg returns the position of the leg that is sent first. For content on
// trial it depends on the content, so that all VMs try a content on the same
// service, whose owners tell each other of crashes; services that are silent are
// passed over.
func (m *Machine) firstLeg() int {
	if m.caution() == Clear {
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
