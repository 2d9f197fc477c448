// Package search implements the state machine of a search. It decides which targets
// are queried for which partitions, when attempts are hedged, retried or cancelled,
// which replies are accepted, and what the answer contains.
//
// A Machine is deterministic: it does no I/O, starts no goroutines and reads no
// clock. Events go in together with the time and the newest view; actions come out.
// State that searches share is in SharedState.
package search

import (
	"sync/atomic"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	"github.com/carawayreel/carawayreel/internal/coordinator/snapshot"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Verdict is the quarantine's classification of a search's content.
type Verdict int

// Verdicts in ascending order of restriction.
const (
	// Clear content may run on any number of targets concurrently.
	Clear Verdict = iota
	// Unproven content has not been executed successfully yet: one subrequest, or
	// its hedge, has to succeed before the others are sent.
	Unproven
	// Suspect content was running on a target when that target crashed: it runs on
	// one target at a time until a subrequest succeeds, and is never hedged.
	Suspect
	// Quarantined content does not run.
	Quarantined
)

// ChoiceAlgorithm selects the load balancing algorithm for replicas.
type ChoiceAlgorithm int

// Load balancing algorithms: by in-flight work, by the load that targets report, and
// at random. The latter two are baselines for comparison.
const (
	ChooseInFlight ChoiceAlgorithm = iota
	ChooseLoadReport
	ChooseRandom
)

// Policy holds the experiment settings of a search and its decision verbosity.
type Policy struct {
	ChoiceAlgorithm ChoiceAlgorithm
	Hedging         bool
	// LoadReport returns the load that a target last reported, for
	// ChooseLoadReport.
	LoadReport func(target string, now time.Time) uint32
	// Verbose records the usual decisions too, not only the unusual ones.
	Verbose bool
}

// SharedState is the state that the searches of one VM share. It is safe for
// concurrent use.
type SharedState struct {
	Planner   *plan.Planner
	Replicas  *replica.Table
	Snapshots *snapshot.AvailabilityTracker
	Budgets   *budget.Table

	configuration atomic.Pointer[pb.Configuration]
}

// NewSharedState returns an empty SharedState.
func NewSharedState() *SharedState {
	replicas := replica.NewTable()
	return &SharedState{
		Planner:   &plan.Planner{},
		Replicas:  replicas,
		Snapshots: snapshot.NewAvailabilityTracker(replicas),
		Budgets:   budget.NewTable(),
	}
}

// Prune removes the state of fronts, services, targets and VMs that v no longer
// contains. It does nothing while the configuration is unchanged.
func (s *SharedState) Prune(v *view.View) {
	if s.configuration.Swap(v.Configuration) == v.Configuration {
		return
	}
	hasFront := func(front string) bool {
		_, ok := v.Front(front)
		return ok
	}
	s.Budgets.Retain(hasFront)
	s.Snapshots.Retain(hasFront)
	s.Replicas.Retain(replica.Keep{
		Service: func(key replica.ServiceKey) bool {
			front, ok := v.Front(key.Front)
			return ok && front.Services[key.Service] != nil
		},
		Target: func(target string) bool {
			_, ok := v.Target(target)
			return ok
		},
		VM: func(vm string) bool {
			_, ok := v.VM(vm)
			return ok
		},
	})
}

// Input holds the parameters of one search.
type Input struct {
	// Request has its request identifier and time limit set.
	Request *pb.SearchRequest
	// Digest is the digest of the request's content.
	Digest   uint64
	Received time.Time
	Deadline time.Time
	Policy   Policy
}

// Environment holds the time, the newest view and the verdict on the content at an event.
type Environment struct {
	Now     time.Time
	View    *view.View
	Verdict Verdict
}

// EventKind is the kind of an Event.
type EventKind int

// Event kinds.
const (
	// Started is the first event.
	Started EventKind = iota
	// AttemptEnded reports the end of an attempt, with a reply or an error.
	AttemptEnded
	// TimerFired is due at the last Actions.WakeAt; an early or duplicate one is
	// harmless.
	TimerFired
	// CallerGone reports that the caller has cancelled the search.
	CallerGone
)

// Event is an input to a Machine.
type Event struct {
	Kind EventKind
	// Attempt, Reply and Err belong to AttemptEnded; a non-nil Err means that no reply
	// arrived.
	Attempt uint64
	Reply   *pb.SubReply
	Err     error
}

// SendKind is the reason for which a subrequest is sent.
type SendKind int

// Send kinds. Hedges, retries and probes are extra load and take tokens of the
// budget.
const (
	// First is the first attempt for a service's partitions.
	First SendKind = iota
	// Retry replaces an attempt that failed.
	Retry
	// Hedge runs concurrently with a slow attempt.
	Hedge
	// Probe runs concurrently with a first attempt to check whether an ejected
	// replica has recovered.
	Probe
	// Redirect replaces an attempt that was not executed, for example because the
	// VM that it reached is not the owner.
	Redirect
	// Restart is a first attempt after the search has pinned another snapshot.
	Restart
)

// Extra reports whether a send of this kind is extra load on targets.
func (k SendKind) Extra() bool {
	return k == Retry || k == Hedge || k == Probe
}

// Send is a subrequest to dispatch.
type Send struct {
	Kind    SendKind
	Owner   view.VM
	Request *pb.SubRequest
}

// Actions lists what the caller of Machine.Apply must do after an event, in the order of
// the fields.
type Actions struct {
	Sends []Send
	// Cancel lists attempts whose results are no longer needed; some may be among
	// Sends.
	Cancel []uint64
	// WakeAt replaces the time of the next TimerFired event, unless it is zero.
	WakeAt time.Time
	// Decisions are decisions to record.
	Decisions []*pb.Decision
	// Counts are increments to the metrics.
	Counts Counts
	// Answer is non-nil when the search has ended; no actions follow it.
	Answer *pb.SearchResponse
}

// Counts holds the increments of the metrics for one event.
type Counts struct {
	Discarded int
	Restarts  int
	Hedges    int
	Retries   int
	Probes    int
	Firsts    int
	Redirects int
}
