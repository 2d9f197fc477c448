// Package coordinator runs searches: it fans a search out as subrequests to the owners
// of targets and merges the replies into one answer from one snapshot, with its
// coverage.
//
// Package search makes the decisions; this package executes them: one goroutine per
// search feeds events to its machine, and one goroutine per subrequest waits for the
// dispatcher.
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
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// ErrCallerGone is returned when the caller's context was cancelled before the
// answer was complete.
var ErrCallerGone = errors.New("the caller went away before the answer was complete")

// Dispatcher sends a subrequest to the VM that owns the target. Implementations must
// be safe for concurrent use. An error means that no reply arrived; the target may
// have executed the subrequest unless the error wraps search.ErrNotSent.
type Dispatcher interface {
	Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error)
}

// Quarantine returns the verdict on the content with the given digest. Implementations
// must be safe for concurrent use.
type Quarantine interface {
	Check(digest uint64) search.Verdict
}

// Selector is implemented by a decision.Recorder that records the usual decisions of
// some requests only. Unusual decisions are recorded for every request.
type Selector interface {
	Sampled(requestID string) bool
}

// Options holds the dependencies and settings of a Coordinator.
type Options struct {
	Views      view.Source
	Dispatcher Dispatcher
	Decisions  decision.Recorder
	Limits     *pb.LimitSettings
	Experiment *pb.ExperimentSettings
	// Quarantine may be nil; all content is clear then.
	Quarantine Quarantine
	Logger     zerolog.Logger
	// Trace receives a trace of all searches as JSON lines; it may be nil. With a
	// trace, the events of all searches are handled one at a time.
	Trace io.Writer
	// LoadReport returns a target's reported load, for experiments that choose
	// replicas by load report; it may be nil.
	LoadReport func(target string, now time.Time) uint32
	// TrialUnproven gives content the verdict search.Unproven unless a subrequest for it
	// has recently succeeded through this VM: one subrequest is sent ahead of the
	// others, so that content which crashes its targets crashes at most two of them
	// and not one of each service.
	TrialUnproven bool
}

// Coordinator runs searches. It is safe for concurrent use.
type Coordinator struct {
	options       Options
	policy        search.Policy
	shared        *search.SharedState
	clock         clock
	trace         *trace.Writer
	provenDigests *quarantine.DigestSet
	running       atomic.Int64
}

// provenDigestCapacity is the number of contents that are remembered as proven.
const provenDigestCapacity = 32768

// defaultMaxRunningSearches is used when Options.Limits sets no maximum.
const defaultMaxRunningSearches = 2000

// New returns a Coordinator. Options.Views and Options.Dispatcher are required.
func New(options Options) *Coordinator {
	if options.Decisions == nil {
		options.Decisions = decision.Discard{}
	}
	c := &Coordinator{
		options:       options,
		policy:        policy(options),
		shared:        search.NewSharedState(),
		clock:         newClock(),
		provenDigests: quarantine.NewDigestSet(provenDigestCapacity),
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
		p.ChoiceAlgorithm = search.ChooseRandom
	default:
		p.ChoiceAlgorithm = search.ChooseInFlight
	}
	return p
}

// Search runs one search. It returns an answer by the deadline of the request or of
// ctx, whichever is earlier. The error is ErrCallerGone or nil; failures of the search
// are reported in the answer.
func (c *Coordinator) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	received := c.clock.now()
	v := c.options.Views.Current()
	request := withDefaults(r, v)
	defer c.running.Add(-1)
	if c.running.Add(1) > c.maxRunningSearches() {
		answer := c.refuseOverloaded(request, v)
		observeAnswer(answer, 0)
		return answer, nil
	}
	searchesRunning.Inc()
	defer searchesRunning.Dec()

	deadline := received.Add(time.Duration(request.TimeLimitMs) * time.Millisecond)
	if callerDeadline, ok := ctx.Deadline(); ok {
		deadline = earlier(deadline, received.Add(time.Until(callerDeadline)))
	}
	run := newSearchRun(c, search.Input{
		Request:  request,
		Digest:   Digest(request),
		Received: received,
		Deadline: deadline,
		Policy:   c.policyFor(request.RequestId),
	})
	answer, err := run.runToAnswer(ctx)
	observeAnswer(answer, c.clock.now().Sub(received))
	return answer, err
}

// policyFor returns the policy of a request. It turns Verbose off when the recorder
// would drop the usual decisions of the request, which saves the cost of building them.
func (c *Coordinator) policyFor(requestID string) search.Policy {
	p := c.policy
	if selector, ok := c.options.Decisions.(Selector); ok {
		p.Verbose = selector.Sampled(requestID)
	}
	return p
}

// RemainingBudget returns the number of extra subrequests that are currently allowed for the
// front whose budget has the most tokens.
func (c *Coordinator) RemainingBudget() uint64 {
	return c.shared.Budgets.Remaining()
}

func (c *Coordinator) maxRunningSearches() int64 {
	if limit := c.options.Limits.GetMaxRunningSearches(); limit > 0 {
		return int64(limit)
	}
	return defaultMaxRunningSearches
}

// refuseOverloaded refuses a search before any subrequest is sent, because the maximum
// number of searches is running.
func (c *Coordinator) refuseOverloaded(r *pb.SearchRequest, v *view.View) *pb.SearchResponse {
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

// Limits used when neither the request nor the front sets any.
const (
	defaultTimeLimitMs = 1000
	defaultRowLimit    = 1000
)

// withDefaults returns a copy of the request with its defaults filled in.
func withDefaults(r *pb.SearchRequest, v *view.View) *pb.SearchRequest {
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
	request.TimeLimitMs = firstNonZero(request.TimeLimitMs, limits.GetDefaultTimeLimitMs(), defaultTimeLimitMs)
	request.RowLimit = firstNonZero(request.RowLimit, limits.GetDefaultRowLimit(), defaultRowLimit)
	return request
}

func firstNonZero(values ...uint32) uint32 {
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
