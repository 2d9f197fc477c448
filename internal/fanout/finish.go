package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
)

// finish ends the request when it can be answered or nothing is left to wait
// for, and sets the time of the next Tick otherwise.
func (m *Machine) finish() Actions {
	if m.answered {
		return m.actions
	}
	good, open := 0, 0
	for i := range m.legs {
		switch {
		case m.legs[i].reply != nil:
			good++
		case !m.legs[i].over:
			open++
		}
	}
	late := !m.now.Before(m.in.Deadline)
	leave := !m.leaveAt.IsZero() && !m.now.Before(m.leaveAt)
	switch {
	case open == 0, leave && m.enough(good), late, !m.enough(good + open):
		m.answer(good, late)
	default:
		m.arm()
	}
	return m.actions
}

// enough reports whether that many replies make an answer.
func (m *Machine) enough(replies int) bool {
	if replies == 0 {
		return false
	}
	share := float64(replies) / float64(len(m.legs))
	return !m.in.Route.Gathers() || share+coverageSlack >= m.in.Route.LeastCoverage
}

func (m *Machine) answer(good int, late bool) {
	m.answered = true
	switch {
	case m.enough(good):
		m.success(good)
	case !m.in.Route.Gathers() && m.legs[0].failure != nil && !m.legs[0].failure.NotRun && m.legs[0].running == 0:
		m.actions.Answer = &Answer{
			Outcome: Failed, Replies: []*backend.Reply{m.legs[0].failure}, Cause: m.cause(),
		}
	case !m.mayHaveRun():
		m.reject(m.cause())
	case late:
		m.actions.Answer = &Answer{Outcome: TimedOut, Missing: len(m.legs) - good, Cause: "the time is over"}
	default:
		m.actions.Answer = &Answer{Outcome: Failed, Missing: len(m.legs) - good, Cause: m.cause()}
	}
}

func (m *Machine) success(good int) {
	answer := &Answer{Outcome: Complete, Missing: len(m.legs) - good}
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

// reject ends a request that no target ran.
func (m *Machine) reject(cause string) {
	m.answered = true
	m.actions.Answer = &Answer{Outcome: NotRun, Missing: len(m.legs), RetryAfter: m.retryAfter(), Cause: cause}
}

// mayHaveRun reports whether a target may have run the request, or may still do.
func (m *Machine) mayHaveRun() bool {
	for i := range m.legs {
		if m.legs[i].reply != nil || m.legs[i].mayHaveRun() || m.legs[i].running > 0 {
			return true
		}
	}
	return false
}

// cause returns the first reason why a leg has no reply.
func (m *Machine) cause() string {
	for i := range m.legs {
		if l := &m.legs[i]; l.reply == nil && l.cause != "" {
			return l.service.Name + ": " + l.cause
		}
	}
	return "no reply in time"
}

// arm sets the next Tick to the earliest time at which something is due.
func (m *Machine) arm() {
	at := m.in.Deadline
	if !m.leaveAt.IsZero() && m.leaveAt.After(m.now) {
		at = earlier(at, m.leaveAt)
	}
	for i := range m.legs {
		l := &m.legs[i]
		if l.reply == nil && !l.over {
			at = earlier(earlier(at, l.hedgeAt), l.waitUntil)
		}
	}
	m.actions.WakeAt = at
}

// earlier returns the earlier time; a zero time does not count.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
