// Package search decides one search: which targets are asked for which
// partitions, when attempts are hedged, retried or cancelled, which replies are
// taken, and what the answer states.
//
// A Machine is pure: it does no I/O, starts no goroutines and reads no clock.
// Events go in with the time and the newest view, actions come out. Everything
// that searches learn from each other stands in Knowledge.
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

// Verdict is what the quarantine says of a search's content.
type Verdict int

// Verdicts in ascending order of caution.
const (
	// Clear content may run on any number of targets at once.
	Clear Verdict = iota
	// Unproven content was not seen to run yet: one subrequest, or its hedge, has
	// to succeed before the others are sent.
	Unproven
	// Suspect content coincided with the crash of a target: it runs on one
	// target at a time until a subrequest succeeds, and is never hedged.
	Suspect
	// Quarantined content does not run.
	Quarantined
)

// Choice selects how replicas are chosen.
type Choice int

// Ways of choosing replicas.
const (
	ChooseInFlight Choice = iota
	ChooseLoadReport
	ChooseRandom
)

// Policy holds the switches of the experiments.
type Policy struct {
	Choice  Choice
	Hedging bool
	// LoadReport returns the load that a target last reported, for
	// ChooseLoadReport.
	LoadReport func(target string, now time.Time) uint32
	// Verbose asks for the usual decisions too, not only for unusual ones.
	Verbose bool
}

// Knowledge is what the searches of one VM share. It is safe for concurrent use.
type Knowledge struct {
	Planner   *plan.Planner
	Replicas  *replica.Table
	Snapshots *snapshot.Memory
	Budgets   *budget.Table

	configuration atomic.Pointer[pb.Configuration]
}

// NewKnowledge returns empty knowledge.
func NewKnowledge() *Knowledge {
	replicas := replica.NewTable()
	return &Knowledge{
		Planner:   &plan.Planner{},
		Replicas:  replicas,
		Snapshots: snapshot.NewMemory(replicas),
		Budgets:   budget.NewTable(),
	}
}

// Refresh forgets what belongs to a configuration that is no longer in force.
func (k *Knowledge) Refresh(v *view.View) {
	if k.configuration.Swap(v.Configuration) == v.Configuration {
		return
	}
	hasFront := func(front string) bool {
		_, ok := v.Front(front)
		return ok
	}
	k.Budgets.Retain(hasFront)
	k.Snapshots.Retain(hasFront)
	k.Replicas.Retain(replica.Keep{
		Service: func(place replica.ServiceKey) bool {
			front, ok := v.Front(place.Front)
			return ok && front.Services[place.Service] != nil
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

// Input is one search.
type Input struct {
	// Request has its request identifier and time limit set.
	Request *pb.SearchRequest
	// Digest is the digest of the request's content.
	Digest   uint64
	Received time.Time
	Deadline time.Time
	Policy   Policy
}

// Context is the state of the world at an event.
type Context struct {
	Now     time.Time
	View    *view.View
	Verdict Verdict
}

// EventKind names what happened to a search.
type EventKind int

// Kinds of events.
const (
	// Started is the first event.
	Started EventKind = iota
	// Replied is the end of an attempt.
	Replied
	// TimerFired comes at the time of the last Actions.WakeAt; at other times it
	// does no harm.
	TimerFired
	// CallerGone states that nobody waits for the answer any more.
	CallerGone
)

// Event is what happened to a search.
type Event struct {
	Kind EventKind
	// Attempt, Reply and Err belong to Replied; Err states that no reply came.
	Attempt uint64
	Reply   *pb.SubReply
	Err     error
}

// Kind states why a subrequest is sent.
type Kind int

// Kinds of sends. Hedges, retries and probes are extra load and paid from the
// budget.
const (
	// First is the first attempt for a service's partitions.
	First Kind = iota
	// Retry follows attempts that failed.
	Retry
	// Hedge runs beside an attempt that is slow.
	Hedge
	// Probe runs beside a first attempt to see whether a replica is well again.
	Probe
	// Redirect follows an attempt that reached a VM that is not the owner and
	// so did not run.
	Redirect
	// Restart is a first attempt after another snapshot was pinned.
	Restart
)

// Extra reports whether sends of the kind are extra load on targets.
func (k Kind) Extra() bool {
	return k == Retry || k == Hedge || k == Probe
}

// Send asks the runtime to dispatch a subrequest.
type Send struct {
	Kind    Kind
	Owner   view.VM
	Request *pb.SubRequest
}

// Actions is what the runtime has to do after an event, in the order of the
// fields.
type Actions struct {
	Sends []Send
	// Cancel lists attempts whose results are no longer wanted; one of them may
	// stand among Sends.
	Cancel []uint64
	// WakeAt replaces the time of the next Timer event, unless it is zero.
	WakeAt time.Time
	// Decisions are to be recorded.
	Decisions []*pb.Decision
	// Counts are to be added to the metrics.
	Counts Counts
	// Answer ends the search; no actions follow it.
	Answer *pb.SearchResponse
}

// Counts is what an event adds to the metrics.
type Counts struct {
	Discarded int
	Restarts  int
	Hedges    int
	Retries   int
	Probes    int
	Firsts    int
	Redirects int
}
