package fanout

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// answerMargin is how long before the response-time goal a gathered answer
	// leaves: the caller's way here and back, 3 ms each, twice for a connection
	// that is set up first.
	answerMargin = 12 * time.Millisecond
	// goalShare bounds the margin of short goals to a part of them.
	goalShare = 3
	// hedgeFloor is the wait for a reply before another target is asked while the
	// budget is full, in usual reply times: about one reply in ten takes longer.
	// hedgeRange is what an empty budget adds.
	hedgeFloor = 3.0
	hedgeRange = 2.0
	// hedgeCeiling bounds the wait to a part of the response-time goal.
	hedgeCeiling = 0.5
	// hedgeRetry is the wait before a hedge is tried again that the budget or
	// the targets did not allow, in usual reply times.
	hedgeRetry = 0.5
	// leastTimeLeft is the least time in which a target can reply.
	leastTimeLeft = 2 * time.Millisecond
	// patienceShare is the part of a request's time in which it waits for targets
	// that turned it away; the rest is for the reply.
	patienceShare = 4
	// extraRoom is the room for attempts beyond the first ones that a request
	// begins with.
	extraRoom = 8
	// coverageSlack absorbs rounding in shares of shards.
	coverageSlack = 1e-9
)

// attempt is one send.
type attempt struct {
	leg    int
	target *routing.Target
	sentAt time.Time
	ended  bool
}

// Machine decides one request. It is used by one goroutine.
type Machine struct {
	in        Input
	knowledge *Knowledge
	vms       int
	times     times
	// leaveAt is when an answer that covers enough leaves; zero for routes that
	// one target answers.
	leaveAt time.Time
	// patientUntil is until when a leg waits for targets that turned it away, unless
	// the request fails without it.
	patientUntil time.Time

	legs     []leg
	attempts []attempt
	now      time.Time
	actions  Actions
	answered bool
}

// New returns the machine of one request; vms is the number of VMs that share
// the limits.
func New(knowledge *Knowledge, vms int, in Input) *Machine {
	m := &Machine{in: in, knowledge: knowledge, vms: vms, times: knowledge.times(in.Route)}
	m.legs = make([]leg, len(in.Legs))
	m.attempts = make([]attempt, 0, len(in.Legs)+extraRoom)
	for i, service := range in.Legs {
		m.legs[i].service = service
	}
	if goal := in.Route.Goal; in.Route.Gathers() && goal > 0 {
		m.leaveAt = in.Received.Add(goal - min(answerMargin, goal/goalShare))
	}
	m.patientUntil = in.Received.Add(in.Deadline.Sub(in.Received) / patienceShare)
	if !m.leaveAt.IsZero() && m.leaveAt.Before(m.patientUntil) {
		m.patientUntil = m.leaveAt
	}
	return m
}

// Start makes the first attempts, or ends the request when too few services can
// be asked.
func (m *Machine) Start(now time.Time) Actions {
	m.begin(now)
	chosen := make([]*routing.Target, len(m.legs))
	reachable := 0
	for i := range m.legs {
		chosen[i] = m.choose(&m.legs[i])
		if chosen[i] != nil {
			reachable++
		}
	}
	if !m.enough(reachable) {
		m.reject("too few services have a target that can be reached")
		return m.actions
	}
	for i := range m.legs {
		m.knowledge.earn(m.legs[i].service.Name, m.now)
		if chosen[i] == nil {
			m.giveUp(&m.legs[i], "no target can be reached")
			continue
		}
		m.send(i, chosen[i], First)
	}
	return m.finish()
}

// Ended takes the end of an attempt.
func (m *Machine) Ended(now time.Time, id int, reply *backend.Reply, err error) Actions {
	m.begin(now)
	a := &m.attempts[id]
	a.ended = true
	l := &m.legs[a.leg]
	outcome := outcomeOf(reply, err)
	l.end(a.target.ID, outcome.MayHaveRun(), now)
	if reply == nil && !outcome.MayHaveRun() {
		l.sends--
	}
	a.target.Health.End(a.sentAt, now, outcome, m.times.usual)
	if outcome == health.Answered {
		m.knowledge.replied(m.in.Route, now.Sub(a.sentAt))
	}
	if !m.answered && l.reply == nil {
		m.take(a.leg, reply, err, outcome)
	}
	return m.finish()
}

// Abandon takes the end of an attempt that the runtime gave up.
func (m *Machine) Abandon(now time.Time, id int, outcome health.Outcome) {
	a := &m.attempts[id]
	a.ended = true
	m.legs[a.leg].end(a.target.ID, true, now)
	a.target.Health.End(a.sentAt, now, outcome, m.times.usual)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) Actions {
	m.begin(now)
	for i := range m.legs {
		l := &m.legs[i]
		if l.reply != nil || l.over {
			continue
		}
		if due(l.waitUntil, now) {
			l.waitUntil = time.Time{}
			m.again(i, l.waitReason)
		}
		if due(l.hedgeAt, now) {
			m.hedge(i)
		}
	}
	return m.finish()
}

// due reports whether a time that is set has come.
func due(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }

func (m *Machine) begin(now time.Time) {
	m.now = now
	m.actions = Actions{}
}

func outcomeOf(reply *backend.Reply, err error) health.Outcome {
	switch {
	case errors.Is(err, backend.ErrBusy):
		return health.Busy
	case errors.Is(err, backend.ErrNoRoute):
		return health.Silent
	case errors.Is(err, backend.ErrNotSent):
		return health.Unreachable
	case err != nil:
		return health.Failed
	case reply.OtherTarget:
		return health.Unreachable
	case reply.NotRun:
		return health.Busy
	case reply.Good():
		return health.Answered
	default:
		return health.Failed
	}
}

// take decides what follows from the end of an attempt of a leg without a reply.
func (m *Machine) take(index int, reply *backend.Reply, err error, outcome health.Outcome) {
	l := &m.legs[index]
	if outcome == health.Answered {
		l.reply = reply
		return
	}
	if reply != nil {
		l.failure = reply
		l.cause = "a target failed"
	} else {
		l.cause = err.Error()
	}
	if l.running > 0 {
		return
	}
	if l.mayHaveRun() && !m.in.Route.Idempotent {
		m.giveUp(l, l.cause)
		return
	}
	if reply == nil && !outcome.MayHaveRun() {
		m.again(index, Elsewhere)
		return
	}
	m.again(index, Retry)
}

// again makes another attempt for a leg that has none running, if the route, the
// time and the budget allow it.
func (m *Machine) again(index int, reason Reason) {
	l := &m.legs[index]
	if !m.maySend(l) {
		m.giveUp(l, l.cause)
		return
	}
	target := m.choose(l)
	if target == nil {
		if l.awaits(m.now) && (m.now.Before(m.patientUntil) || m.needs(l)) {
			l.waitUntil, l.waitReason = m.now.Add(turnedAwayPause), reason
			return
		}
		m.giveUp(l, l.cause)
		return
	}
	if reason != Elsewhere && !m.knowledge.spend(l.service.Name, reason, m.now) {
		m.giveUp(l, l.cause+"; the budget of retries is spent")
		return
	}
	m.send(index, target, reason)
}

// needs reports whether the request fails without the leg.
func (m *Machine) needs(l *leg) bool {
	others := 0
	for i := range m.legs {
		if other := &m.legs[i]; other != l && (other.reply != nil || !other.over) {
			others++
		}
	}
	return m.in.Route.Gathers() && !m.enough(others) && m.enough(others+1)
}

func (m *Machine) maySend(l *leg) bool {
	return !l.over && l.sends < sendsPerLeg && m.in.Deadline.Sub(m.now) > leastTimeLeft
}

// hedge makes a second attempt beside one that is slow.
func (m *Machine) hedge(index int) {
	l := &m.legs[index]
	l.hedgeAt = time.Time{}
	if l.running == 0 || !m.in.Route.Idempotent || !m.maySend(l) {
		return
	}
	target := m.choose(l)
	if target == nil || !m.knowledge.spend(l.service.Name, Hedge, m.now) {
		l.hedgeAt = m.now.Add(time.Duration(hedgeRetry * float64(m.times.usual)))
		return
	}
	m.send(index, target, Hedge)
}

// hedgeDelay is how long a reply of the service is waited for before another
// target is asked: the shorter, the more the budget holds.
func (m *Machine) hedgeDelay(service string) time.Duration {
	patience := hedgeFloor + hedgeRange*(1-m.knowledge.fullness(service, m.now))
	delay := time.Duration(patience * float64(m.times.usual))
	if m.in.Route.Goal > 0 {
		delay = min(delay, time.Duration(hedgeCeiling*float64(m.in.Route.Goal)))
	}
	return delay
}

func (m *Machine) send(index int, target *routing.Target, reason Reason) {
	l := &m.legs[index]
	l.begin(target.ID)
	id := len(m.attempts)
	m.attempts = append(m.attempts, attempt{leg: index, target: target, sentAt: m.now})
	target.Health.Begin(m.now)
	if reason != Hedge {
		l.hedgeAt = m.now.Add(m.hedgeDelay(l.service.Name))
	}
	m.actions.Sends = append(m.actions.Sends, Send{
		Attempt: id, Leg: index, Target: target, Reason: reason, Left: m.in.Deadline.Sub(m.now),
	})
}

func (m *Machine) giveUp(l *leg, cause string) {
	l.over = true
	l.cause = cause
}
