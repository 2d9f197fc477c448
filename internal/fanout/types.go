// Package fanout decides how one request of a route is served: which targets it is
// sent to, when an attempt is hedged or retried, when a gathered answer is sent and
// what the caller is told when there is no answer.
//
// A Machine does no I/O and reads no clock: it takes events with their time and
// returns actions. State that requests share is held in SharedState and in the
// targets' health.
package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// Input describes one request.
type Input struct {
	Route *routing.Route
	// Legs are the services that the request is sent to, one target of each: all
	// shards of a gathering route, or the single service of another route.
	Legs     []*routing.Service
	Received time.Time
	// Deadline is the time by which the caller must have an answer.
	Deadline time.Time
	// Sharers are the VMs that share the limits of the targets; nil for this VM alone.
	Sharers *advisory.Sharers
	// Organisation is the name of the caller's organisation; empty if there is none.
	Organisation string
	// Content identifies what the request asks, apart from its ID: repeats of a request have
	// the same content.
	Content quarantine.Content
	// Priority is that of the caller's organisation, or else of the route; zero is the
	// highest.
	Priority uint32
	// Stopping is true if this VM stops at the deadline, or before: the request is cut off then.
	Stopping bool
	// Relays holds the VMs that may relay the first attempts of a gathered answer, by their
	// failure domain.
	Relays map[string][]*routing.Target
}

// Reason is the reason for an attempt.
type Reason string

const (
	// FirstAttempt starts a leg.
	FirstAttempt Reason = "first"
	// Retry follows a failed or rejected attempt.
	Retry Reason = "retry"
	// Hedge is sent while a slow attempt is in flight.
	Hedge Reason = "hedge"
	// Failover follows an attempt that did not reach its target.
	Failover Reason = "elsewhere"
)

// Send is the instruction to send the request to a target.
type Send struct {
	Attempt int
	Leg     int
	Target  *routing.Target
	Reason  Reason
	// TimeLeft is the remaining time to state to the target.
	TimeLeft time.Duration
}

// Batch is the instruction to have a relay send the request to several targets. Each of
// the sends is an attempt.
type Batch struct {
	ID    int
	Relay *routing.Target
	Sends []Send
	// StragglerDelay is the time after which the relay returns without the last few replies.
	StragglerDelay time.Duration
	// TimeLeft is the remaining time to state to the relay.
	TimeLeft time.Duration
}

// Result is the result of one attempt.
type Result struct {
	Reply *backend.Reply
	Err   error
}

// Outcome is the result of a request.
type Outcome int

const (
	// Complete is a target's reply, or an answer gathered from all shards.
	Complete Outcome = iota
	// Partial is a gathered answer that lacks some shards.
	Partial
	// NotRun means that no target has run the request or will run it.
	NotRun
	// Failed means that targets failed or their replies were lost.
	Failed
	// TimedOut means that the deadline passed before enough replies arrived.
	TimedOut
	// CallerGone means that the caller disconnected.
	CallerGone
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"complete", "partial", "not_run", "failed", "timed_out", "caller_gone"}[o]
}

// Answer is the answer to the caller.
type Answer struct {
	Outcome Outcome
	// Replies are the successful replies in the order of the legs.
	Replies []*backend.Reply
	// Failure is the reply of a target that failed, to be passed on as it is; nil if there is
	// none, or the outcome is not Failed.
	Failure *backend.Reply
	// Missing is the number of legs without a reply.
	Missing int
	// RetryAfter is the delay after which a retry may succeed; set only for NotRun.
	RetryAfter time.Duration
	// ContentRefused is true if the content may crash targets; set only for NotRun.
	ContentRefused bool
	// Refusal is the decision of admission control that refused the request; nil if it did not.
	Refusal *admission.Decision
	// Cause is why the answer is not complete, for the log.
	Cause string
}

// Actions are what must be done after an event.
type Actions struct {
	Sends   []Send
	Batches []Batch
	// WakeAt is when the next Tick is due.
	WakeAt time.Time
	// Answer ends the request; no actions follow it.
	Answer *Answer
}
