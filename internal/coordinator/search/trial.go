package search

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// trial is what a search knows of whether its content crashes targets.
type trial struct {
	// proven is set when a target ran the content and answered.
	proven bool
	// crashes counts targets that failed while they ran the content.
	crashes int
	// suspected is set when an owner holds the content suspect.
	suspected bool
	// refused is set when the content must not run on any further target.
	refused bool
	// held is the number of legs that wait for the trial.
	held int
	// releaseAt ends the wait for the proof of content that is only unproven.
	releaseAt time.Time
	released  bool
}

// trialDelays is how many hedge delays the first subrequest of unproven content
// is waited for.
const trialDelays = 2

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
	case m.ctx.Verdict == Unproven && !t.proven && !t.released:
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
			m.trial.releaseAt = m.ctx.Now.Add(trialDelays * l.group.HedgeDelay())
			m.wakeBy(m.trial.releaseAt)
			return true
		}
	default:
		return true
	}
	m.hold(l)
	return false
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
// content that was under suspicion already is the second one, which is enough.
func (m *Machine) crashed(a *attempt, l *leg) {
	l.failures++
	if m.trial.proven {
		return
	}
	m.trial.crashes++
	if m.ctx.Verdict == Suspect || a.suspect {
		m.trial.refused = true
	}
}

// trialTimer ends the wait for the proof of unproven content.
func (m *Machine) trialTimer() {
	t := &m.trial
	if t.releaseAt.IsZero() || m.ctx.Now.Before(t.releaseAt) {
		return
	}
	t.releaseAt = time.Time{}
	t.released = true
	m.releaseHeld()
}
