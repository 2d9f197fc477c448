package search

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Machine decides one search. It is used by one goroutine.
type Machine struct {
	in        Input
	knowledge *Knowledge

	front  *plan.Front
	budget *budget.Budget
	pinned *plan.Map
	// tried lists the snapshots that were pinned.
	tried []uint64

	legs     []leg
	open     int
	attempts []attempt
	running  int
	results  []*pb.PartitionResult
	// next is a snapshot to start again on when the event is over.
	next *plan.Map
	// mayHaveRun is set when an attempt ended in a way that does not exclude
	// that its target ran it.
	mayHaveRun bool

	trial trial

	ctx     Context
	actions Actions
	// wakeAt is when the next Timer event is due; rescan asks to look at all
	// legs for it.
	wakeAt   time.Time
	rescan   bool
	finished bool

	subrequests uint32
	extra       uint32
	decisions   []*pb.Decision
}

// New returns the machine of one search.
func New(knowledge *Knowledge, in Input) *Machine {
	return &Machine{in: in, knowledge: knowledge}
}

// Apply takes one event and returns what has to be done. The first event must be
// Started; events after the answer change nothing.
func (m *Machine) Apply(c Context, e Event) Actions {
	m.ctx = c
	m.actions = Actions{}
	if m.finished {
		return m.actions
	}
	switch e.Kind {
	case Started:
		m.start()
	case Replied:
		m.takeReply(e.Attempt, e.Reply, e.Err)
	case TimerFired:
		m.timer()
	case CallerGone:
		m.finish()
	}
	m.end()
	return m.actions
}

// start pins a snapshot and sends the first attempts.
func (m *Machine) start() {
	m.rescan = true
	m.knowledge.Refresh(m.ctx.View)
	if reason := m.refusal(); reason != "" {
		m.refuse(reason)
		return
	}
	m.front = m.knowledge.Planner.Front(m.ctx.View, m.in.Request.Front)
	if m.front == nil {
		m.refuse("front " + m.in.Request.Front + " is not configured")
		return
	}
	m.budget = m.knowledge.Budgets.Front(m.front.Name, budget.Config{
		SharePercent: m.front.GetLimits().GetExtraLoadPercent(),
		Services:     len(m.front.Services),
	})
	pinned := m.knowledge.Snapshots.Pin(m.front, m.ctx.Now)
	if pinned == nil {
		m.refuse("front " + m.front.Name + " has no snapshot; its partition map is not known")
		return
	}
	m.pin(pinned, "newest snapshot that is not known to be unavailable")
	m.sendAll(First)
}

// timer does what is due.
func (m *Machine) timer() {
	m.wakeAt = time.Time{}
	m.rescan = true
	if !m.ctx.Now.Before(m.in.Deadline) {
		m.finish()
		return
	}
	for i := range m.legs {
		m.legTimer(&m.legs[i])
	}
}

// refusal returns why nothing of the search may be sent, or nothing.
func (m *Machine) refusal() string {
	switch {
	case m.ctx.View.Paused:
		return "this VM was paused and has not confirmed its state since"
	case m.ctx.View.Configuration == nil:
		return "no configuration is known yet"
	case m.ctx.Verdict == Quarantined:
		return "the request's content is quarantined because targets crashed on it"
	case !m.ctx.Now.Before(m.in.Deadline):
		return "the deadline has passed"
	default:
		return ""
	}
}

// end closes an event: it starts again on another snapshot when that was decided,
// finishes the search when no leg is open, and arms the timer.
func (m *Machine) end() {
	if !m.finished && m.next != nil {
		m.restart()
	}
	if !m.finished && m.open == 0 {
		m.finish()
	}
	if !m.finished {
		m.arm()
	}
}

// arm sets the timer to the earliest time that something is due. The legs are
// scanned only after a Timer event; between them wakeBy keeps the time.
func (m *Machine) arm() {
	if !m.wakeAt.IsZero() && !m.rescan {
		return
	}
	m.rescan = false
	m.wakeBy(m.in.Deadline)
	for i := range m.legs {
		m.wakeBy(m.legs[i].due())
	}
}

// wakeBy asks for a Timer event at that time or earlier; the zero time asks for
// nothing.
func (m *Machine) wakeBy(at time.Time) {
	if at.IsZero() || !m.wakeAt.IsZero() && !at.Before(m.wakeAt) {
		return
	}
	m.wakeAt = at
	m.actions.WakeAt = at
}

// pin starts the search on a snapshot.
func (m *Machine) pin(pinned *plan.Map, reason string) {
	m.pinned = pinned
	m.tried = append(m.tried, pinned.Version)
	m.results = nil
	m.legs = make([]leg, len(pinned.Services))
	m.attempts = slices.Grow(m.attempts, len(pinned.Services))
	m.actions.Sends = slices.Grow(m.actions.Sends, len(pinned.Services))
	m.open = len(m.legs)
	for i := range m.legs {
		m.legs[i].init(m, i, &pinned.Services[i])
	}
	m.decide(pb.DecisionKind_DECISION_KIND_PIN, nil, nil, reason)
}

// sendAll sends the first attempts of all legs.
func (m *Machine) sendAll(kind Kind) {
	if len(m.legs) == 0 {
		return
	}
	first := m.firstLeg()
	for i := range m.legs {
		m.sendFirst(&m.legs[(first+i)%len(m.legs)], kind)
	}
}

// restart begins again on the snapshot in next, because the pinned one is gone.
func (m *Machine) restart() {
	next := m.next
	m.next = nil
	m.cancelAll()
	m.trial.held = 0
	m.actions.Counts.Restarts++
	m.pin(next, "the snapshot pinned before is gone")
	m.sendAll(Restart)
}

// close ends a leg; probes of it go on until the search ends.
func (m *Machine) close(l *leg) {
	if l.closed {
		return
	}
	l.closed = true
	m.open--
	m.cancelLosers(l)
}

// legTimer does what is due for a leg.
func (m *Machine) legTimer(l *leg) {
	now := m.ctx.Now
	if l.closed {
		m.probeTimer(l)
		return
	}
	if !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt) {
		l.hedgeAt = time.Time{}
		m.markSlow(l)
		m.hedgeOrWait(l)
	}
	if !l.retryAt.IsZero() && !now.Before(l.retryAt) {
		m.retry(l)
	}
}

// hedgeOrWait hedges a leg whose newest attempt is slow. The emptier the budget,
// the slower the attempt has to be, so that attempts that are only a little slow
// do not use up what those that are stuck will need.
func (m *Machine) hedgeOrWait(l *leg) {
	if l.running == 0 {
		return
	}
	now := m.ctx.Now
	delay := l.group.HedgeDelay()
	patience := time.Duration(float64(delay) * (1 + scarcityFactor*(1-m.budget.FillRatio())))
	if at := m.lastSent(l).Add(patience); now.Before(at) {
		l.hedgeAt = at
		return
	}
	m.hedge(l)
	if l.hedgeAt.IsZero() {
		l.hedgeAt = now.Add(delay)
	}
}

// lastSent returns when the newest running attempt of the leg was sent.
func (m *Machine) lastSent(l *leg) time.Time {
	var newest time.Time
	for _, id := range l.runningIDs[:l.running] {
		if sentAt := m.attemptOf(id).sentAt; sentAt.After(newest) {
			newest = sentAt
		}
	}
	return newest
}

// probeTimer reports probes that are slow, after another attempt has answered.
func (m *Machine) probeTimer(l *leg) {
	if l.hedgeAt.IsZero() || m.ctx.Now.Before(l.hedgeAt) {
		return
	}
	l.hedgeAt = time.Time{}
	m.markSlow(l)
}

// markSlow reports the running attempts that have outlasted the hedge delay.
func (m *Machine) markSlow(l *leg) {
	now := m.ctx.Now
	delay := l.group.HedgeDelay()
	for _, id := range l.runningIDs[:l.running] {
		a := m.attemptOf(id)
		if a.slow || now.Sub(a.sentAt) < delay {
			continue
		}
		a.slow = true
		if !a.overloaded {
			l.group.RecordSlow(a.target, now)
		}
		m.knowledge.Replicas.Owners().RecordSlow(a.owner, now)
	}
}
