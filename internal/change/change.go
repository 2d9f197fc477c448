// Package change runs record edits and title transfers at most once.
//
// A change runs under a token that identifies the only process that may run it: the
// token's issuer or, after a handover of the issuer's records, its successor. That
// process is said to serve the issuer. Every VM forwards submissions to it. If it is
// gone, the outcome is reported as unknown, and the change is never run elsewhere.
// This requires no calls to the platform's store. If a caller supplies its own key
// instead of a token, a claim in the store binds the key to a token.
package change

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Dispatcher runs a change on the VM that owns its target. The reply's outcome is
// NOT_RUN only if the change is known not to have reached the target.
type Dispatcher interface {
	DispatchChange(ctx context.Context, vm view.VM, r *pb.ChangeDispatch) *pb.ChangeReply
}

// Forwarder forwards submissions and outcome queries to a VM that may serve the
// token's issuer.
type Forwarder interface {
	ForwardChange(ctx context.Context, vm view.VM, r *pb.SubmitChangeRequest) (*pb.ForwardChangeResponse, error)
	ForwardOutcome(ctx context.Context, vm view.VM, r *pb.GetOutcomeRequest) (*pb.ForwardOutcomeResponse, error)
}

// ErrStopping is returned when the VM is shutting down and issues no more tokens.
var ErrStopping = errors.New("VM is stopping")

// ErrNotReady is returned when the VM cannot issue tokens yet.
var ErrNotReady = errors.New("VM is not ready")

// Options holds the dependencies and limits of a Runner.
type Options struct {
	Views      view.Source
	Dispatcher Dispatcher
	Forwarder  Forwarder
	Claims     Claims
	Limits     *pb.LimitSettings
	Decisions  decision.Recorder
}

// Runner runs changes and records their outcomes. It is safe for concurrent use.
type Runner struct {
	options Options
	self    Issuer

	mu      sync.Mutex
	records *Records
	// finished maps the token of each running change to a channel that is closed when
	// the change finishes.
	finished map[string]chan struct{}
}

// New returns a Runner that issues tokens for the current incarnation of this VM.
func New(options Options) *Runner {
	self := options.Views.Current().Self
	issuer := Issuer{VM: self.ID, FailureDomain: self.FailureDomain, Incarnation: self.Incarnation}
	validity := time.Duration(options.Limits.TokenValidMs) * time.Millisecond
	return &Runner{
		options:  options,
		self:     issuer,
		records:  NewRecords(issuer, int(options.Limits.MaxTokens), validity),
		finished: map[string]chan struct{}{},
	}
}

// Len returns the number of change records kept.
func (c *Runner) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Len()
}

// IssueToken returns a token under which only this process, or the successor that
// takes over its records, may run a change.
func (c *Runner) IssueToken() (*pb.IssueTokenResponse, error) {
	current := c.options.Views.Current()
	if current.Stopping {
		return nil, ErrStopping
	}
	token, err := c.newToken()
	if err != nil {
		return nil, err
	}
	return &pb.IssueTokenResponse{
		Token:      token.String(),
		ValidForMs: uint64(c.options.Limits.TokenValidMs),
	}, nil
}

func (c *Runner) newToken() (Token, error) {
	validity := time.Duration(c.options.Limits.TokenValidMs) * time.Millisecond
	return newToken(c.self, time.Now().Add(validity))
}

// Submit runs a change for a caller, in this process or on the VM that serves the
// token's issuer.
func (c *Runner) Submit(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	started := time.Now()
	response := c.submit(ctx, r)
	response.ElapsedMs = uint32(time.Since(started).Milliseconds())
	return response
}

func (c *Runner) submit(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	if r.Token == "" {
		return c.submitByCallerKey(ctx, r)
	}
	token, err := ParseToken(r.Token)
	if err != nil {
		return c.respond(r.Token, notRunResult("malformed token; nothing ran"))
	}
	if c.serves(token.Issuer) {
		return c.submitLocally(ctx, token, r)
	}
	return c.forward(ctx, token, r)
}

// SubmitForwarded runs a change that another VM forwarded, if this process serves
// the token's issuer. Otherwise it runs nothing and leaves Served unset.
func (c *Runner) SubmitForwarded(ctx context.Context, r *pb.SubmitChangeRequest) *pb.ForwardChangeResponse {
	token, err := ParseToken(r.Token)
	if err != nil || !c.serves(token.Issuer) {
		return &pb.ForwardChangeResponse{}
	}
	return &pb.ForwardChangeResponse{Served: true, Response: c.submitLocally(ctx, token, r)}
}

func (c *Runner) submitLocally(ctx context.Context, token Token, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	verdict, result, finished := c.decideSubmission(token, Digest(r.Change))
	switch verdict {
	case VerdictRun:
		go c.execute(context.WithoutCancel(ctx), token, r, finished)
		return c.await(ctx, token, finished)
	case VerdictJoin:
		return c.await(ctx, token, finished)
	default:
		if result.Reason == reasonStopping {
			return c.forward(ctx, token, r)
		}
		return c.respond(r.Token, result)
	}
}

// decideSubmission returns the verdict on a submission, its result, and the channel
// that is closed when the change finishes (nil if it is not running).
func (c *Runner) decideSubmission(token Token, digest uint64) (Verdict, Result, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, result := c.records.Submit(token, digest, time.Now())
	if verdict == VerdictRun {
		c.finished[token.String()] = make(chan struct{})
	}
	return verdict, result, c.finished[token.String()]
}

func (c *Runner) execute(ctx context.Context, token Token, r *pb.SubmitChangeRequest, finished chan struct{}) {
	execution := execution{changes: c, token: token, request: r}
	result := execution.run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.Finish(token, result)
	delete(c.finished, token.String())
	close(finished)
}

// await waits until a running change finishes or ctx ends, and returns the state of
// the change.
func (c *Runner) await(ctx context.Context, token Token, finished chan struct{}) *pb.SubmitChangeResponse {
	select {
	case <-finished:
	case <-ctx.Done():
	}
	c.mu.Lock()
	result := c.records.Lookup(token)
	c.mu.Unlock()
	return c.respond(token.String(), result)
}

func (c *Runner) serves(issuer Issuer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Serves(issuer)
}

func (c *Runner) respond(token string, result Result) *pb.SubmitChangeResponse {
	return &pb.SubmitChangeResponse{
		Token:   token,
		Outcome: result.Outcome,
		Reason:  result.Reason,
		Target:  result.Target,
		Vm:      c.self.VM,
	}
}

// Outcome returns the known outcome of a change that was submitted earlier.
func (c *Runner) Outcome(ctx context.Context, r *pb.GetOutcomeRequest) *pb.GetOutcomeResponse {
	if r.Token == "" {
		return c.outcomeByCallerKey(ctx, r)
	}
	token, err := ParseToken(r.Token)
	if err != nil {
		return outcomeResponse(r.Token, notRunResult("malformed token; nothing ran"))
	}
	if c.serves(token.Issuer) {
		response := c.lookupOutcome(token)
		if response.Reason != reasonNoRecord || c.servesNow(token.Issuer) {
			return response
		}
		// This VM is stopping. The change may have been submitted to its successor.
	}
	return c.forwardOutcome(ctx, token)
}

// OutcomeForwarded returns the outcome recorded for a token, if this process serves
// the token's issuer. Otherwise it leaves Served unset.
func (c *Runner) OutcomeForwarded(r *pb.GetOutcomeRequest) *pb.ForwardOutcomeResponse {
	token, err := ParseToken(r.Token)
	if err != nil || !c.serves(token.Issuer) {
		return &pb.ForwardOutcomeResponse{}
	}
	return &pb.ForwardOutcomeResponse{Served: true, Response: c.lookupOutcome(token)}
}

func (c *Runner) lookupOutcome(token Token) *pb.GetOutcomeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return outcomeResponse(token.String(), c.records.Lookup(token))
}

func outcomeResponse(token string, result Result) *pb.GetOutcomeResponse {
	return &pb.GetOutcomeResponse{
		Token:   token,
		Outcome: result.Outcome,
		Reason:  result.Reason,
		Pending: result.Pending,
	}
}

// Digest returns a hash of the content of a change, or zero if it cannot be
// encoded.
func Digest(change *pb.Change) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}
