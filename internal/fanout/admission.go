package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/health"
)

// SetAdmission sets the controller that decides which requests are sent under pressure. It
// must be called before the state is used. Without one, all requests are sent.
func (s *SharedState) SetAdmission(c *admission.Controller) { s.admission = c }

// admissionRequest describes the request to the admission controller.
func (m *Machine) admissionRequest() admission.Request {
	r := admission.Request{
		Route: m.in.Route.Name, Organisation: m.in.Organisation, Priority: m.in.Priority,
		TimeLeft: m.in.Deadline.Sub(m.now), Goal: m.in.Route.Goal, Delayed: m.delayed,
		// A caller that states less time than the route allows has spent the rest already, mostly
		// on an attempt that was refused.
		GoalLeft: m.in.Route.Goal - (m.in.Route.TimeLimit - m.in.Deadline.Sub(m.now)),
		Services: make([]string, len(m.legs)),
	}
	for i := range m.legs {
		r.Services[i] = m.legs[i].service.Name
	}
	for m.coverageMet(len(m.legs) - r.Spare - 1) {
		r.Spare++
	}
	return r
}

// admitted decides whether the request is sent now. If not, it is delayed or refused.
func (m *Machine) admitted() bool {
	m.delayedUntil = time.Time{}
	if !m.shared.admission.Enabled() {
		return true
	}
	decision := m.shared.admission.Decide(m.admissionRequest(), m.now)
	switch decision.Verdict {
	case admission.Delay:
		m.delayed, m.delay = decision.Reason, decision
		m.delayedUntil = m.now.Add(decision.Wait)
		m.actions.WakeAt = m.delayedUntil
		return false
	case admission.Refuse:
		m.answered = true
		m.actions.Answer = &Answer{
			Outcome: NotRun, Missing: len(m.legs), RetryAfter: decision.RetryAfter, Refusal: &decision,
			Cause: decision.Service + ": too little capacity: " + string(decision.Reason),
		}
		return false
	case admission.Admit:
	}
	return true
}

// refuseAs refuses a request that the VM it was delegated to has refused. Other gatherers of the
// service would decide alike, and asking all of them would raise the chance of a repeated request.
func (m *Machine) refuseAs(retryAfter time.Duration) {
	m.answered = true
	m.actions.Answer = &Answer{
		Outcome: NotRun, Missing: len(m.legs), RetryAfter: retryAfter, Cause: "the gatherer refused: too little capacity",
		Refusal: &admission.Decision{
			Verdict: admission.Refuse, Reason: admission.Delegated, RetryAfter: retryAfter, Service: m.legs[0].service.Name,
		},
	}
}

// Delayed returns the decision that delayed the request, and whether there was one.
func (m *Machine) Delayed() (admission.Decision, bool) { return m.delay, m.delayed != "" }

// beginAttempt records that the attempt was sent.
func (m *Machine) beginAttempt(a *attempt) {
	a.target.Health.Begin(m.now)
	m.shared.admission.Began(a.target.Service, m.now)
}

// recordEnd records at the target and its service how the attempt ended. At is when its
// target replied.
func (m *Machine) recordEnd(a *attempt, at time.Time, outcome health.Outcome) {
	a.target.Health.End(a.sentAt, at, outcome, m.latencies.typical)
	m.shared.admission.Ended(m.in.Route.Name, a.target.Service, resultOf(outcome), at.Sub(a.sentAt), m.in.Route.Goal, m.now)
}

func resultOf(outcome health.Outcome) admission.Result {
	switch outcome {
	case health.Succeeded, health.Failed:
		return admission.Replied
	case health.Rejected:
		return admission.Rejected
	case health.Abandoned:
		return admission.Unanswered
	default:
		return admission.Other
	}
}
