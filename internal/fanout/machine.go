package fanout

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// answerMargin is how long before the response-time goal a gathered answer is
	// sent. It covers 3 ms each way to and from the caller, twice for a connection
	// that is set up first.
	answerMargin = 12 * time.Millisecond
	// marginDivisor bounds the margin of short goals to a third of the goal.
	marginDivisor = 3
	// minHedgeFactor is the hedge delay in typical reply times while the budget of
	// extra requests is full. About one reply in ten takes longer. As the budget
	// empties, the delay grows by up to hedgeFactorRange.
	minHedgeFactor   = 3.0
	hedgeFactorRange = 2.0
	// maxHedgeGoalShare bounds the hedge delay to a part of the response-time goal.
	maxHedgeGoalShare = 0.5
	// hedgeRetryFactor is the delay, in typical reply times, until the next try of a
	// hedge that could not be sent because there was no budget, no target or no reply yet.
	hedgeRetryFactor = 0.5
	// minTimeLeft is the time that must be left for an attempt: no target replies
	// faster.
	minTimeLeft = 2 * time.Millisecond
	// busyRetryDivisor limits retries at targets that rejected the request to the first
	// 1/busyRetryDivisor of its time limit. The rest is left for the reply.
	busyRetryDivisor = 4
	// stopReserve is the time that must be left, in tail reply times, for a request to be sent
	// by a VM that stops. Its caller has time for another VM.
	stopReserve = 1.5
	// extraAttemptCapacity is the initial capacity for attempts beyond the first of
	// each leg.
	extraAttemptCapacity = 8
	// coverageEpsilon absorbs rounding errors in the share of shards.
	coverageEpsilon = 1e-9
)

// attempt is one send to a target.
type attempt struct {
	leg    int
	target *routing.Target
	sentAt time.Time
	ended  bool
	// trial is that of the content, if it was on trial when the attempt was sent.
	trial quarantine.Trial
}

// ref identifies the target of the attempt.
func (a *attempt) ref() quarantine.TargetRef {
	return quarantine.TargetRef{Service: a.target.Service, Target: a.target.ID}
}

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	in        Input
	shared    *SharedState
	vms       int
	latencies latencies
	// softDeadline is when an answer with sufficient coverage is sent even if legs are
	// pending; zero for routes that one target answers.
	softDeadline time.Time
	// busyRetryUntil is the time until which a leg retries targets that rejected it.
	// Legs that the answer requires retry beyond it.
	busyRetryUntil time.Time

	// content decides whether the request may be sent, as its content may crash targets.
	content content

	// delayed is why admission control delayed the request, if it did, and delayedUntil when it
	// decides again; zero while no decision is due.
	delayed      admission.Reason
	delay        admission.Decision
	delayedUntil time.Time

	legs     []leg
	attempts []attempt
	batches  []batch
	now      time.Time
	actions  Actions
	answered bool
}

// New returns the state machine of one request; vms is the number of VMs that share
// the limits.
func New(shared *SharedState, vms int, in Input) *Machine {
	m := &Machine{in: in, shared: shared, vms: vms, latencies: shared.latencies(in.Route)}
	m.content = content{guard: shared.guard, identity: in.Content}
	m.legs = make([]leg, len(in.Legs))
	m.attempts = make([]attempt, 0, len(in.Legs)+extraAttemptCapacity)
	for i, service := range in.Legs {
		m.legs[i].service = service
	}
	if goal := in.Route.Goal; in.Route.Gathers() && goal > 0 {
		m.softDeadline = in.Received.Add(goal - min(answerMargin, goal/marginDivisor))
	}
	m.busyRetryUntil = in.Received.Add(in.Deadline.Sub(in.Received) / busyRetryDivisor)
	if !m.softDeadline.IsZero() && m.softDeadline.Before(m.busyRetryUntil) {
		m.busyRetryUntil = m.softDeadline
	}
	return m
}

// Ended handles the end of an attempt.
func (m *Machine) Ended(now time.Time, id int, reply *backend.Reply, err error) Actions {
	m.startEvent(now)
	outcome := m.endAttempt(id, reply, err, now)
	if leg := m.attempts[id].leg; !m.answered && m.legs[leg].reply == nil {
		m.handleResult(leg, reply, err, outcome)
	}
	return m.finishEvent()
}

// endAttempt records the end of an attempt; at is when its target replied.
func (m *Machine) endAttempt(id int, reply *backend.Reply, err error, at time.Time) health.Outcome {
	a := &m.attempts[id]
	a.ended = true
	l := &m.legs[a.leg]
	outcome := outcomeOf(reply, err)
	l.end(a.target.ID, outcome.MayHaveRun(), m.now)
	if reply == nil && !outcome.MayHaveRun() {
		l.sends--
		m.shared.refund(a.target)
	}
	if reply != nil && !reply.OtherTarget {
		m.shared.advice.Observe(adviceKey(a.target), reply.Advice, a.sentAt, m.now)
	}
	m.recordEnd(a, at, outcome)
	if outcome == health.Succeeded {
		m.shared.recordReply(m.in.Route, at.Sub(a.sentAt))
	}
	m.content.ended(a, reply, err, m.now)
	m.recordVersion(a, reply, outcome, at.Sub(a.sentAt))
	return outcome
}

// Abandon handles the end of an attempt that was given up.
func (m *Machine) Abandon(now time.Time, id int, outcome health.Outcome) {
	a := &m.attempts[id]
	a.ended = true
	m.legs[a.leg].end(a.target.ID, true, now)
	m.now = now
	m.recordEnd(a, now, outcome)
	m.content.abandoned(a, now)
	m.recordAbandoned(a, now)
}

// Tick handles the timers that are due.
func (m *Machine) Tick(now time.Time) Actions {
	m.startEvent(now)
	if !m.delayedUntil.IsZero() {
		if now.Before(m.delayedUntil) {
			m.actions.WakeAt = m.delayedUntil
			return m.actions
		}
		return m.startAdmitted()
	}
	for i := range m.legs {
		l := &m.legs[i]
		if l.reply != nil || l.done {
			continue
		}
		if due(l.retryAt, now) {
			l.retryAt = time.Time{}
			m.retryLeg(i, l.retryReason)
		}
		if due(l.hedgeAt, now) {
			m.hedge(i)
		}
	}
	return m.finishEvent()
}

func (m *Machine) startEvent(now time.Time) {
	m.now = now
	m.actions = Actions{}
}

func outcomeOf(reply *backend.Reply, err error) health.Outcome {
	switch {
	case errors.Is(err, backend.ErrBusy):
		return health.Busy
	case errors.Is(err, backend.ErrConnectTimeout):
		return health.Unresponsive
	case errors.Is(err, backend.ErrNotSent):
		return health.Unreachable
	case errors.Is(err, backend.ErrUnfinished):
		return health.Canceled
	case err != nil:
		return health.Lost
	case reply.OtherTarget:
		return health.Unreachable
	case reply.AdmissionRefusedFor > 0:
		// The gatherer works; the targets of its service have too little capacity.
		return health.Busy
	case reply.NotRun:
		return health.Rejected
	case reply.Successful():
		return health.Succeeded
	default:
		return health.Failed
	}
}

// handleResult handles the end of an attempt of a leg that has no reply yet.
func (m *Machine) handleResult(index int, reply *backend.Reply, err error, outcome health.Outcome) {
	l := &m.legs[index]
	if outcome == health.Succeeded {
		l.reply = reply
		m.releaseHeld()
		return
	}
	switch {
	case reply != nil && reply.AdmissionRefusedFor > 0:
		m.refuseAs(reply.AdmissionRefusedFor)
		return
	case reply == nil:
		l.cause = err.Error()
	case reply.Spoiled():
		l.cause = "a reply has the status of a success, but no receipt or a content encoding"
	default:
		l.failure = reply
		l.cause = "a target failed"
	}
	if l.running > 0 {
		return
	}
	if l.mayHaveRun() && !m.in.Route.Idempotent {
		m.failLeg(l, l.cause)
		return
	}
	if reply == nil && !outcome.MayHaveRun() {
		m.retryLeg(index, Failover)
		return
	}
	m.retryLeg(index, Retry)
}

// retryLeg sends another attempt for a leg that has none in flight, if the route, the
// deadline and the budget allow it.
func (m *Machine) retryLeg(index int, reason Reason) {
	l := &m.legs[index]
	if !m.maySend(l) {
		m.failLeg(l, l.cause)
		return
	}
	if m.heldBack(l, reason) {
		return
	}
	if reason == Retry && m.retryPriority(l) == optionalPriority && m.shared.admission.Overloaded(m.in.Route.Name, l.service.Name, m.now) {
		m.content.endTrial()
		m.failLeg(l, l.cause+"; the service is overloaded")
		return
	}
	target := m.chooseTarget(l)
	if target == nil {
		m.content.endTrial()
		if l.hasBackoff(m.now) && (m.now.Before(m.busyRetryUntil) || m.isRequired(l)) {
			l.retryAt, l.retryReason = m.now.Add(retryBackoff), reason
			return
		}
		m.failLeg(l, l.cause)
		return
	}
	if reason != Failover && reason != FirstAttempt && !m.shared.withdraw(l.service.Name, m.retryPriority(l), m.now) {
		m.content.endTrial()
		m.shared.refund(target)
		m.failLeg(l, l.cause+"; the budget of retries is spent")
		return
	}
	m.send(index, target, reason)
}

// isRequired reports whether the request fails without the leg.
func (m *Machine) isRequired(l *leg) bool {
	others := 0
	for i := range m.legs {
		if other := &m.legs[i]; other != l && (other.reply != nil || !other.done) {
			others++
		}
	}
	return m.in.Route.Gathers() && !m.coverageMet(others) && m.coverageMet(others+1)
}

// retryPriority returns the priority of a retry of the leg.
func (m *Machine) retryPriority(l *leg) priority {
	if !m.in.Route.Gathers() || m.isRequired(l) {
		return requiredPriority
	}
	return optionalPriority
}

func (m *Machine) maySend(l *leg) bool {
	return !l.done && l.sends < maxSendsPerLeg && m.in.Deadline.Sub(m.now) > minTimeLeft
}

// hedge sends another attempt while one is in flight. A gathered request is hedged only
// after a target has replied to it: if none does, it may be about to crash all of them.
func (m *Machine) hedge(index int) {
	l := &m.legs[index]
	l.hedgeAt = time.Time{}
	if l.running == 0 || !m.in.Route.Idempotent || !m.maySend(l) || m.content.restricted(m.now) {
		return
	}
	var target *routing.Target
	if (!m.in.Route.Gathers() || !m.content.unproven()) && !m.shared.admission.Overloaded(m.in.Route.Name, l.service.Name, m.now) {
		target = m.chooseTarget(l)
	}
	if target != nil && !m.shared.withdraw(l.service.Name, optionalPriority, m.now) {
		m.shared.refund(target)
		target = nil
	}
	if target == nil {
		l.hedgeAt = m.now.Add(time.Duration(hedgeRetryFactor * float64(m.latencies.typical)))
		return
	}
	m.send(index, target, Hedge)
}

// hedgeDelay returns how long to wait for a reply of the service before a hedge is
// sent. The fuller the budget, the shorter the delay.
func (m *Machine) hedgeDelay(service string) time.Duration {
	factor := minHedgeFactor + hedgeFactorRange*(1-m.shared.fillLevel(service, m.now))
	delay := time.Duration(factor * float64(m.latencies.typical))
	if m.in.Route.Goal > 0 {
		delay = min(delay, time.Duration(maxHedgeGoalShare*float64(m.in.Route.Goal)))
	}
	return delay
}

func (m *Machine) send(index int, target *routing.Target, reason Reason) {
	m.actions.Sends = append(m.actions.Sends, m.begin(index, target, reason))
}

// begin begins an attempt and returns its send.
func (m *Machine) begin(index int, target *routing.Target, reason Reason) Send {
	l := &m.legs[index]
	l.begin(target.ID)
	id := len(m.attempts)
	m.attempts = append(m.attempts, attempt{leg: index, target: target, sentAt: m.now, trial: m.content.trial})
	m.beginAttempt(&m.attempts[id])
	if reason != Hedge {
		l.hedgeAt = m.now.Add(m.hedgeDelay(l.service.Name))
	}
	return Send{Attempt: id, Leg: index, Target: target, Reason: reason, TimeLeft: m.in.Deadline.Sub(m.now)}
}

func (m *Machine) failLeg(l *leg, cause string) {
	l.done = true
	l.cause = cause
}
