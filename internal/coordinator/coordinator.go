// Package coordinator answers searches: it sends a search's parts to the owners
// of targets and gathers one answer from one snapshot, with its coverage stated.
//
// The decisions stand in the package search and below; this package runs them:
// one goroutine per search feeds events to its machine, and one goroutine per
// subrequest waits for the dispatcher.
package coordinator

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	"github.com/carawayreel/carawayreel/internal/coordinator/trace"
	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// ErrCallerGone is returned when the caller's context was cancelled before the
// answer was complete.
var ErrCallerGone = errors.New("the caller went away before the answer was complete")

// Dispatcher sends a subrequest to the VM that owns the target. Implementations
// are safe for concurrent use. An error means that no reply arrived; the target
// may have run the subrequest.
type Dispatcher interface {
	Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error)
}

// Quarantine tells whether the content of a search may run. Implementations are
// safe for concurrent use.
type Quarantine interface {
	Check(digest uint64) search.Verdict
}

// Selector is a decision.Recorder that wants the usual decisions of some requests
// only. Unusual decisions are recorded of every request.
type Selector interface {
	Wants(requestID string) bool
}

// Options are the parts that a Coordinator works with.
type Options struct {
	Views      view.Source
	Dispatcher Dispatcher
	Decisions  decision.Recorder
	Limits     *pb.LimitSettings
	Experiment *pb.ExperimentSettings
	// Quarantine may be nil; all content is then clear.
	Quarantine Quarantine
	Logger     zerolog.Logger
	// Trace receives JSON lines for replay; it may be nil. With a trace,
	// searches decide one at a time.
	Trace io.Writer
	// LoadReport is asked for a target's reported load when the experiment
	// chooses replicas by load report.
	LoadReport func(target string, now time.Time) uint32
	// ProveUnseen sends one subrequest ahead of the others for content that was
	// not seen to run lately, so that content which crashes its targets crashes
	// two of them at most and not one of each service.
	ProveUnseen bool
}

// Coordinator answers searches. It is safe for concurrent use.
type Coordinator struct {
	options   Options
	policy    search.Policy
	knowledge *search.SharedState
	clock     clock
	trace     *trace.Writer
	seen      *seen
	running   atomic.Int64
}

// defaultRunningSearches is used when the limits state none.
const defaultRunningSearches = 2000

// New returns a Coordinator.
func New(options Options) *Coordinator {
	if options.Decisions == nil {
		options.Decisions = decision.Discard{}
	}
	c := &Coordinator{
		options:   options,
		policy:    policy(options),
		knowledge: search.NewSharedState(),
		clock:     newClock(),
		seen:      newSeen(),
	}
	if options.Trace != nil {
		c.trace = trace.NewWriter(options.Trace, c.policy, options.Logger)
	}
	return c
}

func policy(options Options) search.Policy {
	p := search.Policy{Hedging: true, Verbose: true, LoadReport: options.LoadReport}
	if p.LoadReport == nil {
		p.LoadReport = func(string, time.Time) uint32 { return 0 }
	}
	if options.Experiment == nil {
		return p
	}
	p.Hedging = options.Experiment.Hedging
	switch options.Experiment.ReplicaChoice {
	case "random":
		p.Choice = search.ChooseRandom
	default:
		p.Choice = search.ChooseInFlight
	}
	return p
}

// Search answers one search. It returns an answer by the deadline of the request
// or of ctx, whichever is earlier. The error is ErrCallerGone or nil; what went
// wrong in the search is stated in the answer.
func (c *Coordinator) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	received := c.clock.now()
	v := c.options.Views.Current()
	request := prepare(r, v)
	defer c.running.Add(-1)
	if c.running.Add(1) > c.limit() {
		answer := c.overloaded(request, v)
		observe(answer, 0)
		return answer, nil
	}
	searchesRunning.Inc()
	defer searchesRunning.Dec()

	deadline := received.Add(time.Duration(request.TimeLimitMs) * time.Millisecond)
	if callerDeadline, ok := ctx.Deadline(); ok {
		deadline = earlier(deadline, received.Add(time.Until(callerDeadline)))
	}
	run := newRun(c, search.Input{
		Request:  request,
		Digest:   Digest(request),
		Received: received,
		Deadline: deadline,
		Policy:   c.policyFor(request.RequestId),
	})
	answer, err := run.answer(ctx)
	observe(answer, c.clock.now().Sub(received))
	return answer, err
}

// policyFor leaves out the usual decisions of requests that the recorder does not
// want them of, which spares their cost.
func (c *Coordinator) policyFor(requestID string) search.Policy {
	p := c.policy
	if selector, ok := c.options.Decisions.(Selector); ok {
		p.Verbose = selector.Wants(requestID)
	}
	return p
}

// BudgetLeft returns the hedges and retries that the fullest front's budget
// allows at this moment.
func (c *Coordinator) BudgetLeft() uint64 {
	return c.knowledge.Budgets.Remaining()
}

func (c *Coordinator) limit() int64 {
	if limit := c.options.Limits.GetMaxRunningSearches(); limit > 0 {
		return int64(limit)
	}
	return defaultRunningSearches
}

// overloaded refuses a search before anything of it was sent.
func (c *Coordinator) overloaded(r *pb.SearchRequest, v *view.View) *pb.SearchResponse {
	const reason = "this VM coordinates as many searches as it may"
	c.options.Decisions.Record(&pb.Decision{
		Kind:      pb.DecisionKind_DECISION_KIND_REFUSE,
		RequestId: r.RequestId,
		Owner:     v.Self.ID,
		Reason:    reason,
	})
	return &pb.SearchResponse{
		RequestId:             r.RequestId,
		Outcome:               pb.Outcome_OUTCOME_NOT_RUN,
		Reason:                reason,
		Coverage:              &pb.Coverage{},
		ConfigurationRevision: v.Revision(),
		Vm:                    v.Self.ID,
	}
}

// Limits used when neither the request nor the front states any.
const (
	fallbackTimeLimitMs = 1000
	fallbackRowLimit    = 1000
)

// prepare returns a copy of the request with its defaults filled in.
func prepare(r *pb.SearchRequest, v *view.View) *pb.SearchRequest {
	request := &pb.SearchRequest{
		RequestId:              r.RequestId,
		Front:                  r.Front,
		Conditions:             r.Conditions,
		TimeLimitMs:            r.TimeLimitMs,
		MinimumCoveragePercent: r.MinimumCoveragePercent,
		RowLimit:               r.RowLimit,
		Explain:                r.Explain,
	}
	var limits *pb.FrontLimits
	if front, ok := v.Front(r.Front); ok {
		limits = front.GetLimits()
	}
	if request.RequestId == "" {
		request.RequestId = uuid.NewString()
	}
	request.TimeLimitMs = firstSet(request.TimeLimitMs, limits.GetDefaultTimeLimitMs(), fallbackTimeLimitMs)
	request.RowLimit = firstSet(request.RowLimit, limits.GetDefaultRowLimit(), fallbackRowLimit)
	return request
}

func firstSet(values ...uint32) uint32 {
	for _, value := range values {
		if value != 0 {
			return value
		}
	}
	return 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
