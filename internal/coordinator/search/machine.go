package search

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Machine is the state machine of one search. It is not safe for concurrent use.
type Machine struct {
	in     Input
	shared *SharedState

	front  *plan.Front
	budget *budget.Budget
	pinned *plan.PartitionMap
	// pinnedVersions lists the snapshots that this search has pinned so far.
	pinnedVersions []uint64

	legs     []leg
	openLegs int
	attempts []attempt
	inFlight int
	results  []*pb.PartitionResult
	// restartOn is the partition map to restart the search on at the end of the
	// event, or nil.
	restartOn *plan.PartitionMap
	// mayHaveRun is set when the outcome of an attempt leaves it possible that
	// its target executed it.
	mayHaveRun bool

	trial trial

	env     Environment
	actions Actions
	// wakeAt is when the next TimerFired event is due; rescan is set when it must
	// be recomputed from all legs.
	wakeAt   time.Time
	rescan   bool
	finished bool

	subrequests uint32
	extra       uint32
	decisions   []*pb.Decision
}

// New returns the Machine of one search.
func New(shared *SharedState, in Input) *Machine {
	return &Machine{in: in, shared: shared}
}

// Apply handles one event and returns the resulting actions. The first event must be
// Started; events after the answer are ignored.
func (m *Machine) Apply(env Environment, e Event) Actions {
	m.env = env
	m.actions = Actions{}
	if m.finished {
		return m.actions
	}
	switch e.Kind {
	case Started:
		m.start()
	case AttemptEnded:
		m.handleReply(e.Attempt, e.Reply, e.Err)
	case TimerFired:
		m.onTimer()
	case CallerGone:
		m.finish()
	}
	m.finishEvent()
	return m.actions
}

// start pins a snapshot and sends the first attempts.
func (m *Machine) start() {
	m.rescan = true
	m.shared.Prune(m.env.View)
	if reason := m.refusalReason(); reason != "" {
		m.refuse(reason)
		return
	}
	m.front = m.shared.Planner.Front(m.env.View, m.in.Request.Front)
	if m.front == nil {
		m.refuse("front " + m.in.Request.Front + " is not configured")
		return
	}
	m.budget = m.shared.Budgets.Front(m.front.Name, budget.Config{
		SharePercent: m.front.GetLimits().GetExtraLoadPercent(),
		Services:     len(m.front.Services),
	})
	pinned := m.shared.Snapshots.Pin(m.front, m.env.Now)
	if pinned == nil {
		m.refuse("front " + m.front.Name + " has no snapshot; its partition map is not known")
		return
	}
	m.pinSnapshot(pinned, "newest snapshot that is not known to be unavailable")
	m.sendFirstAttempts(First)
}

// onTimer finishes the search when its deadline has passed, and otherwise does what is
// due in each leg.
func (m *Machine) onTimer() {
	m.wakeAt = time.Time{}
	m.rescan = true
	if !m.env.Now.Before(m.in.Deadline) {
		m.finish()
		return
	}
	for i := range m.legs {
		m.onLegTimer(&m.legs[i])
	}
}

// refusalReason returns why the search must be refused, or "".
func (m *Machine) refusalReason() string {
	switch {
	case m.env.View.Paused:
		return "this VM was paused and has not confirmed its state since"
	case m.env.View.Configuration == nil:
		return "no configuration is known yet"
	case m.env.Verdict == Quarantined:
		return "the request's content is quarantined because targets crashed on it"
	case !m.env.Now.Before(m.in.Deadline):
		return "the deadline has passed"
	default:
		return ""
	}
}

// finishEvent completes an event: it restarts the search on another snapshot when
// that was scheduled, finishes the search when no leg is open, and arms the timer.
func (m *Machine) finishEvent() {
	if !m.finished && m.restartOn != nil {
		m.restart()
	}
	if !m.finished && m.openLegs == 0 {
		m.finish()
	}
	if !m.finished {
		m.armTimer()
	}
}

// armTimer sets the timer to the earliest time at which something is due. The legs
// are scanned only after a Started or TimerFired event; otherwise wakeBy keeps wakeAt up
// to date.
func (m *Machine) armTimer() {
	if !m.wakeAt.IsZero() && !m.rescan {
		return
	}
	m.rescan = false
	m.wakeBy(m.in.Deadline)
	for i := range m.legs {
		m.wakeBy(m.legs[i].nextDue())
	}
}

// wakeBy requests a TimerFired event no later than at; the zero time requests none.
func (m *Machine) wakeBy(at time.Time) {
	if at.IsZero() || !m.wakeAt.IsZero() && !at.Before(m.wakeAt) {
		return
	}
	m.wakeAt = at
	m.actions.WakeAt = at
}

// pinSnapshot starts the search on a snapshot and resets its legs and results.
func (m *Machine) pinSnapshot(pinned *plan.PartitionMap, reason string) {
	m.pinned = pinned
	m.pinnedVersions = append(m.pinnedVersions, pinned.Version)
	m.results = nil
	m.legs = make([]leg, len(pinned.Services))
	m.attempts = slices.Grow(m.attempts, len(pinned.Services))
	m.actions.Sends = slices.Grow(m.actions.Sends, len(pinned.Services))
	m.openLegs = len(m.legs)
	for i := range m.legs {
		m.legs[i].init(m, i, &pinned.Services[i])
	}
	m.recordDecision(pb.DecisionKind_DECISION_KIND_PIN, nil, nil, reason)
}

// sendFirstAttempts sends the first attempts of all legs.
func (m *Machine) sendFirstAttempts(kind SendKind) {
	if len(m.legs) == 0 {
		return
	}
	first := m.firstLeg()
	for i := range m.legs {
		m.sendFirst(&m.legs[(first+i)%len(m.legs)], kind)
	}
}

// restart restarts the search on the snapshot in restartOn, because the pinned one is
// gone.
func (m *Machine) restart() {
	next := m.restartOn
	m.restartOn = nil
	m.cancelAll()
	m.trial.heldLegs = 0
	m.actions.Counts.Restarts++
	m.pinSnapshot(next, "the snapshot pinned before is gone")
	m.sendFirstAttempts(Restart)
}

// close closes a leg and cancels its in-flight attempts except probes, which run on
// until the search ends.
func (m *Machine) close(l *leg) {
	if l.closed {
		return
	}
	l.closed = true
	m.openLegs--
	m.cancelLosers(l)
}

// onLegTimer sends the hedge or retry that is due for a leg.
func (m *Machine) onLegTimer(l *leg) {
	now := m.env.Now
	if l.closed {
		m.onProbeTimer(l)
		return
	}
	if !l.slowCheckAt.IsZero() && !now.Before(l.slowCheckAt) {
		l.slowCheckAt = time.Time{}
		m.markSlow(l)
		m.hedgeOrWait(l)
	}
	if !l.retryAt.IsZero() && !now.Before(l.retryAt) {
		m.retry(l)
	}
}

// hedgeOrWait hedges a leg whose newest attempt is slow. The threshold rises as the
// budget empties, so that slightly slow attempts do not use up the tokens that stuck
// attempts need.
func (m *Machine) hedgeOrWait(l *leg) {
	if l.inFlight == 0 {
		return
	}
	now := m.env.Now
	delay := l.group.HedgeDelay()
	threshold := time.Duration(float64(delay) * (1 + emptyBudgetDelayFactor*(1-m.budget.FillRatio())))
	if at := m.lastSentAt(l).Add(threshold); now.Before(at) {
		l.slowCheckAt = at
		return
	}
	m.hedge(l)
	if l.slowCheckAt.IsZero() {
		l.slowCheckAt = now.Add(delay)
	}
}

// lastSentAt returns when the newest in-flight attempt of the leg was sent.
func (m *Machine) lastSentAt(l *leg) time.Time {
	var newest time.Time
	for _, id := range l.inFlightIDs[:l.inFlight] {
		if sentAt := m.attemptByID(id).sentAt; sentAt.After(newest) {
			newest = sentAt
		}
	}
	return newest
}

// onProbeTimer reports slow probes of a closed leg.
func (m *Machine) onProbeTimer(l *leg) {
	if l.slowCheckAt.IsZero() || m.env.Now.Before(l.slowCheckAt) {
		return
	}
	l.slowCheckAt = time.Time{}
	m.markSlow(l)
}

// markSlow marks the in-flight attempts that have exceeded the hedge delay. It reports
// them to the state of their owners and, unless their target was overloaded at the send,
// to the replica group.
func (m *Machine) markSlow(l *leg) {
	now := m.env.Now
	delay := l.group.HedgeDelay()
	for _, id := range l.inFlightIDs[:l.inFlight] {
		a := m.attemptByID(id)
		if a.slow || now.Sub(a.sentAt) < delay {
			continue
		}
		a.slow = true
		if !a.overloaded {
			l.group.RecordSlow(a.target, now)
		}
		m.shared.Replicas.Owners().RecordSlow(a.owner, now)
	}
}
