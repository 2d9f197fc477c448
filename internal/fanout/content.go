package fanout

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// trialRetryAfter is the retry delay told to callers while another request with the same
// content is on trial: about as long as the trial takes.
const trialRetryAfter = 100 * time.Millisecond

// content is what a request's state machine knows about whether its content crashes
// targets.
type content struct {
	// guard is nil if the targets are VMs.
	guard    *quarantine.Guard
	identity quarantine.Content
	// proven is true once a target has run this request and replied.
	proven bool
	// trial is the one that this request holds, if any.
	trial quarantine.Trial
}

// check returns how the request may be sent now.
func (c *content) check(now time.Time) (quarantine.Admission, time.Time) {
	if c.guard == nil || c.proven {
		return quarantine.Admitted, time.Time{}
	}
	return c.guard.Check(c.identity, now)
}

// restricted reports whether no target may get the request beside the one that runs it.
func (c *content) restricted(now time.Time) bool {
	admission, _ := c.check(now)
	return admission != quarantine.Admitted
}

// unproven reports whether no target has shown yet that it survives this request.
func (c *content) unproven() bool { return c.guard != nil && !c.proven }

func (c *content) beginTrial(now time.Time) bool {
	trial, ok := c.guard.BeginTrial(c.identity, now)
	c.trial = trial
	return ok
}

func (c *content) endTrial() {
	if c.trial.Scope != quarantine.NoScope {
		c.guard.EndTrial(c.trial)
		c.trial = quarantine.Trial{}
	}
}

// ended records what the end of an attempt shows about the content and the target.
func (c *content) ended(a *attempt, reply *backend.Reply, err error, now time.Time) {
	if c.guard == nil {
		return
	}
	ref := a.ref()
	if reply != nil && !reply.OtherTarget {
		c.guard.Replied(ref, reply.ConnectedAt, a.sentAt)
	}
	switch {
	case reply != nil && proves(reply):
		c.proven = true
		c.guard.Proved(c.identity)
	case !c.proven && mayBeCrash(reply, err):
		c.guard.Lost(c.identity, ref, a.trial, now)
	case errors.Is(err, backend.ErrNotSent):
		c.guard.Unreachable(ref, now)
	}
	if a.trial.Scope != quarantine.NoScope {
		c.endTrial()
	}
}

// proves reports whether the reply shows that the target has run the content without
// crashing. A failure may come from a target that gave up before it would have crashed.
func proves(r *backend.Reply) bool {
	return !r.NotRun && r.Receipt != "" && r.Status < http.StatusInternalServerError
}

// mayBeCrash reports whether the target ended the connection before a whole reply.
func mayBeCrash(reply *backend.Reply, err error) bool {
	if reply != nil {
		return reply.EndsWithConnection && reply.Receipt == "" && !reply.NotRun
	}
	return errors.Is(err, backend.ErrNoReply) || errors.Is(err, backend.ErrIncomplete)
}

// abandoned records that an attempt was given up.
func (c *content) abandoned(a *attempt, now time.Time) {
	if c.guard == nil || c.proven {
		return
	}
	c.guard.Unanswered(c.identity, a.ref(), a.trial, now)
	if a.trial.Scope != quarantine.NoScope {
		c.endTrial()
	}
}

// refuseContent rejects a request whose content crashes targets, or may do so while another
// request shows whether it does.
func (m *Machine) refuseContent(admission quarantine.Admission, until time.Time) {
	cause, wait := "another request with this content is on trial", trialRetryAfter
	if admission == quarantine.Refused {
		cause, wait = "targets crashed while they ran requests with this content", until.Sub(m.now)
	}
	m.answered = true
	m.actions.Answer = &Answer{Outcome: NotRun, Missing: len(m.legs), RetryAfter: wait, ContentRefused: true, Cause: cause}
}

// startTrial sends the request to the first of the chosen targets only. The other legs are
// held until it replies.
func (m *Machine) startTrial(chosen []*routing.Target) {
	for i := range m.legs {
		switch {
		case chosen[i] == nil:
			m.failLeg(&m.legs[i], "no target can be reached")
		case len(m.actions.Sends) == 0:
			m.send(i, chosen[i], FirstAttempt)
		default:
			m.shared.refund(chosen[i])
			m.hold(&m.legs[i], FirstAttempt)
		}
	}
}

// hold schedules an attempt of the leg that waits until the content may be sent.
func (m *Machine) hold(l *leg, reason Reason) {
	l.held = true
	l.cause = "a target may have crashed while it ran this request"
	l.retryAt, l.retryReason = m.now.Add(retryBackoff), reason
}

// releaseHeld makes the legs due that were held until a target replied.
func (m *Machine) releaseHeld() {
	for i := range m.legs {
		if l := &m.legs[i]; l.held {
			l.held = false
			l.retryAt = m.now
		}
	}
}

// heldBack reports whether an attempt of the leg must not be sent now because the content
// may crash targets. The leg then waits, or fails if the content is refused.
func (m *Machine) heldBack(l *leg, reason Reason) bool {
	admission, _ := m.content.check(m.now)
	switch admission {
	case quarantine.Refused:
		m.failLeg(l, "targets crashed while they ran this request")
		return true
	case quarantine.OnTrial:
		if m.runsAttempts() || !m.content.beginTrial(m.now) {
			m.hold(l, reason)
			return true
		}
	case quarantine.OneTargetFirst:
		if m.runsAttempts() {
			m.hold(l, reason)
			return true
		}
	case quarantine.Admitted:
	}
	return false
}

func (m *Machine) runsAttempts() bool {
	for i := range m.legs {
		if m.legs[i].running > 0 {
			return true
		}
	}
	return false
}
