package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/health"
)

// finishEvent ends the handling of an event. It answers the request if all legs have
// ended, a deadline requires it or the least coverage can't be reached any more, and
// schedules the next Tick otherwise.
func (m *Machine) finishEvent() Actions {
	if m.answered {
		return m.actions
	}
	succeeded, pending := 0, 0
	for i := range m.legs {
		switch {
		case m.legs[i].reply != nil:
			succeeded++
		case !m.legs[i].done:
			pending++
		}
	}
	expired := !m.now.Before(m.in.Deadline)
	softExpired := !m.softDeadline.IsZero() && !m.now.Before(m.softDeadline)
	switch {
	case pending == 0, softExpired && m.coverageMet(succeeded), expired, !m.coverageMet(succeeded + pending):
		m.answer(succeeded, expired)
	default:
		m.scheduleWake()
	}
	return m.actions
}

// coverageMet reports whether the given number of replies suffices for an answer.
func (m *Machine) coverageMet(replies int) bool {
	if replies == 0 {
		return false
	}
	share := float64(replies) / float64(len(m.legs))
	return !m.in.Route.Gathers() || share+coverageEpsilon >= m.in.Route.LeastCoverage
}

func (m *Machine) answer(succeeded int, expired bool) {
	m.answered = true
	switch {
	case m.coverageMet(succeeded):
		m.answerReplies(succeeded)
	case !m.in.Route.Gathers() && m.legs[0].failure != nil && !m.legs[0].failure.NotRun && m.legs[0].running == 0:
		m.actions.Answer = &Answer{Outcome: Failed, Failure: m.legs[0].failure, Cause: m.cause()}
	case !m.mayHaveRun():
		m.reject(m.cause())
	case expired:
		m.actions.Answer = &Answer{Outcome: TimedOut, Missing: len(m.legs) - succeeded, Cause: "the time is over"}
	default:
		m.actions.Answer = &Answer{Outcome: Failed, Missing: len(m.legs) - succeeded, Cause: m.cause()}
	}
}

func (m *Machine) answerReplies(succeeded int) {
	answer := &Answer{Outcome: Complete, Missing: len(m.legs) - succeeded}
	for i := range m.legs {
		if reply := m.legs[i].reply; reply != nil {
			answer.Replies = append(answer.Replies, reply)
		}
	}
	if answer.Missing > 0 {
		answer.Outcome = Partial
		answer.Cause = m.cause()
	}
	m.actions.Answer = answer
}

// reject answers a request that no target has run.
func (m *Machine) reject(cause string) {
	m.answered = true
	m.actions.Answer = &Answer{Outcome: NotRun, Missing: len(m.legs), RetryAfter: m.retryAfter(), Cause: cause}
}

// Withhold takes back the sends of the given actions, which must be the latest ones and
// not be carried out yet. Legs that have no other attempt in flight fail with the cause.
func (m *Machine) Withhold(now time.Time, actions Actions, cause string) Actions {
	m.startEvent(now)
	m.content.endTrial()
	sends := actions.Sends
	for _, b := range actions.Batches {
		m.endBatch(b.ID, health.Canceled)
		sends = append(sends, b.Sends...)
	}
	for _, send := range sends {
		a := &m.attempts[send.Attempt]
		a.ended = true
		l := &m.legs[a.leg]
		l.end(a.target.ID, false, now)
		m.shared.refund(a.target)
		m.recordEnd(a, now, health.Canceled)
		if l.running == 0 {
			m.failLeg(l, cause)
		}
	}
	if m.answered {
		return Actions{Answer: actions.Answer}
	}
	return m.finishEvent()
}

// mayHaveRun reports whether a target may have run the request or may still run it.
func (m *Machine) mayHaveRun() bool {
	for i := range m.legs {
		if m.legs[i].reply != nil || m.legs[i].mayHaveRun() || m.legs[i].running > 0 {
			return true
		}
	}
	return false
}

// cause returns why there is no reply for the first of the legs that lack one.
func (m *Machine) cause() string {
	for i := range m.legs {
		if l := &m.legs[i]; l.reply == nil && l.cause != "" {
			return l.service.Name + ": " + l.cause
		}
	}
	return "no reply in time"
}

// scheduleWake sets the next Tick to the earliest pending deadline or timer.
func (m *Machine) scheduleWake() {
	at := m.in.Deadline
	if !m.softDeadline.IsZero() && m.softDeadline.After(m.now) {
		at = earlier(at, m.softDeadline)
	}
	for i := range m.legs {
		l := &m.legs[i]
		if l.reply == nil && !l.done {
			at = earlier(earlier(at, l.hedgeAt), l.retryAt)
		}
	}
	m.actions.WakeAt = at
}

// due reports whether a timer is set and has expired.
func due(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }

// earlier returns the earlier time, ignoring b if it is zero.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
