// Package change runs record edits and title transfers at most once.
//
// A change runs under a token that names the one process that may run it. Every
// VM forwards a submission to that process; when the process is gone the answer
// is that the outcome is unknown, and the change is never run elsewhere. This
// needs no call to the platform's store. Callers that bring a key of their own
// are bound to a token by a claim in the store.
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

// Dispatcher runs a change on the VM that owns its target. The reply's outcome
// is NOT_RUN only when the change certainly did not reach the target.
type Dispatcher interface {
	DispatchChange(ctx context.Context, vm view.VM, r *pb.ChangeDispatch) *pb.ChangeReply
}

// Forwarder passes submissions and questions to the VM that issued the token.
type Forwarder interface {
	ForwardChange(ctx context.Context, vm view.VM, r *pb.SubmitChangeRequest) (*pb.ForwardChangeResponse, error)
	ForwardOutcome(ctx context.Context, vm view.VM, r *pb.GetOutcomeRequest) (*pb.ForwardOutcomeResponse, error)
}

// ErrStopping is returned when no token can be issued any more.
var ErrStopping = errors.New("VM is stopping")

// ErrNotReady is returned when no token can be issued yet.
var ErrNotReady = errors.New("VM is not ready")

// Options configures Changes.
type Options struct {
	Views      view.Source
	Dispatcher Dispatcher
	Forwarder  Forwarder
	Claims     Claims
	Limits     *pb.LimitSettings
	Decisions  decision.Recorder
}

// Changes runs changes and keeps their outcomes. It is safe for concurrent use.
type Changes struct {
	options Options
	self    Issuer

	mu      sync.Mutex
	records *Records
	// ends holds a channel for each running change, closed at its end.
	ends map[string]chan struct{}
}

// New returns Changes that issue tokens in the name of this VM's incarnation.
func New(options Options) *Changes {
	self := options.Views.Current().Self
	issuer := Issuer{VM: self.ID, FailureDomain: self.FailureDomain, Incarnation: self.Incarnation}
	validity := time.Duration(options.Limits.TokenValidMs) * time.Millisecond
	return &Changes{
		options: options,
		self:    issuer,
		records: NewRecords(issuer, int(options.Limits.MaxTokens), validity),
		ends:    map[string]chan struct{}{},
	}
}

// Len returns the number of change records kept.
func (c *Changes) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Len()
}

// IssueToken returns a token that this process, and no other, may run a change
// under.
func (c *Changes) IssueToken() (*pb.IssueTokenResponse, error) {
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

func (c *Changes) newToken() (Token, error) {
	validity := time.Duration(c.options.Limits.TokenValidMs) * time.Millisecond
	return newToken(c.self, time.Now().Add(validity))
}

// Submit runs a change for a caller, here or on the VM that issued its token.
func (c *Changes) Submit(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	started := time.Now()
	response := c.submit(ctx, r)
	response.ElapsedMs = uint32(time.Since(started).Milliseconds())
	return response
}

func (c *Changes) submit(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	if r.Token == "" {
		return c.submitUnderKey(ctx, r)
	}
	token, err := ParseToken(r.Token)
	if err != nil {
		return c.respond(r.Token, notRun("malformed token; nothing ran"))
	}
	if c.serves(token.Issuer) {
		return c.submitHere(ctx, token, r)
	}
	return c.forward(ctx, token, r)
}

// SubmitForwarded runs a change for another VM, if this process serves the
// token's issuer; else it runs nothing and says so.
func (c *Changes) SubmitForwarded(ctx context.Context, r *pb.SubmitChangeRequest) *pb.ForwardChangeResponse {
	token, err := ParseToken(r.Token)
	if err != nil || !c.serves(token.Issuer) {
		return &pb.ForwardChangeResponse{}
	}
	return &pb.ForwardChangeResponse{Served: true, Response: c.submitHere(ctx, token, r)}
}

func (c *Changes) submitHere(ctx context.Context, token Token, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse {
	verdict, result, end := c.decide(token, Digest(r.Change))
	switch verdict {
	case VerdictRun:
		go c.execute(context.WithoutCancel(ctx), token, r, end)
		return c.await(ctx, token, end)
	case VerdictJoin:
		return c.await(ctx, token, end)
	default:
		if result.Reason == reasonStopping {
			return c.forward(ctx, token, r)
		}
		return c.respond(r.Token, result)
	}
}

// decide takes the verdict on a submission, with the channel that closes at the
// change's end.
func (c *Changes) decide(token Token, digest uint64) (Verdict, Result, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, result := c.records.Submit(token, digest, time.Now())
	if verdict == VerdictRun {
		c.ends[token.String()] = make(chan struct{})
	}
	return verdict, result, c.ends[token.String()]
}

func (c *Changes) execute(ctx context.Context, token Token, r *pb.SubmitChangeRequest, end chan struct{}) {
	attempt := attempt{changes: c, token: token, request: r}
	result := attempt.run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.Finish(token, result)
	delete(c.ends, token.String())
	close(end)
}

// await waits for the end of a running change, at most until the caller leaves.
func (c *Changes) await(ctx context.Context, token Token, end chan struct{}) *pb.SubmitChangeResponse {
	select {
	case <-end:
	case <-ctx.Done():
	}
	c.mu.Lock()
	result := c.records.Lookup(token)
	c.mu.Unlock()
	return c.respond(token.String(), result)
}

func (c *Changes) serves(issuer Issuer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Serves(issuer)
}

func (c *Changes) respond(token string, result Result) *pb.SubmitChangeResponse {
	return &pb.SubmitChangeResponse{
		Token:   token,
		Outcome: result.Outcome,
		Reason:  result.Reason,
		Target:  result.Target,
		Vm:      c.self.VM,
	}
}

// Outcome returns what is known of a change that was submitted earlier.
func (c *Changes) Outcome(ctx context.Context, r *pb.GetOutcomeRequest) *pb.GetOutcomeResponse {
	if r.Token == "" {
		return c.outcomeUnderKey(ctx, r)
	}
	token, err := ParseToken(r.Token)
	if err != nil {
		return outcome(r.Token, notRun("malformed token; nothing ran"))
	}
	if c.serves(token.Issuer) {
		return c.lookup(token)
	}
	return c.forwardOutcome(ctx, token)
}

// OutcomeForwarded returns what this process knows of a token, if it serves the
// token's issuer.
func (c *Changes) OutcomeForwarded(r *pb.GetOutcomeRequest) *pb.ForwardOutcomeResponse {
	token, err := ParseToken(r.Token)
	if err != nil || !c.serves(token.Issuer) {
		return &pb.ForwardOutcomeResponse{}
	}
	return &pb.ForwardOutcomeResponse{Served: true, Response: c.lookup(token)}
}

func (c *Changes) lookup(token Token) *pb.GetOutcomeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return outcome(token.String(), c.records.Lookup(token))
}

func outcome(token string, result Result) *pb.GetOutcomeResponse {
	return &pb.GetOutcomeResponse{
		Token:   token,
		Outcome: result.Outcome,
		Reason:  result.Reason,
		Pending: result.Pending,
	}
}

// Digest identifies the content of a change.
func Digest(change *pb.Change) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}
