// Package fanout decides how one request of a route is served: which targets it
// is sent to, when an attempt is hedged or retried, when a gathered answer
// leaves and what the caller is told when nothing can be answered.
//
// A Machine is pure: events go in with the time, actions come out. What requests
// learn from each other stands in Knowledge and in the targets' health.
package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// Input is one request.
type Input struct {
	Route *routing.Route
	// Legs are the services that are asked, one target of each: all shards of a
	// gathering route, or the one service of another.
	Legs     []*routing.Service
	Received time.Time
	// Deadline is when the caller has to have an answer.
	Deadline time.Time
}

// Reason states why an attempt is made.
type Reason string

// Reasons of attempts.
const (
	First Reason = "first"
	Retry Reason = "retry"
	Hedge Reason = "hedge"
	// Elsewhere follows an attempt that did not reach its target.
	Elsewhere Reason = "elsewhere"
)

// Send asks the runtime to send the request to a target.
type Send struct {
	Attempt int
	Leg     int
	Target  *routing.Target
	Reason  Reason
	// Left is how long the target is told that the answer is waited for.
	Left time.Duration
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of requests.
const (
	// Complete is a target's reply, or an answer gathered from all shards.
	Complete Outcome = iota
	// Partial is a gathered answer without some shards.
	Partial
	// NotRun means that no target ran the request and none will.
	NotRun
	// Failed means that targets failed, or their replies were lost.
	Failed
	// TimedOut means that the time was over before enough replies came.
	TimedOut
	// Gone means that the caller left.
	Gone
)

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	return [...]string{"complete", "partial", "not_run", "failed", "timed_out", "caller_gone"}[o]
}

// Answer is what the caller gets.
type Answer struct {
	Outcome Outcome
	// Replies are the good replies in the order of the legs; of a request that
	// one target serves, that target's reply, which may be its failure.
	Replies []*backend.Reply
	// Missing is the number of legs without a reply.
	Missing int
	// RetryAfter is when another try may succeed; only with NotRun.
	RetryAfter time.Duration
	// Cause states what decided the outcome.
	Cause string
}

// Actions are what the runtime has to do after an event.
type Actions struct {
	Sends []Send
	// WakeAt is when the next Tick is due.
	WakeAt time.Time
	// Answer ends the request; no actions follow it.
	Answer *Answer
}
