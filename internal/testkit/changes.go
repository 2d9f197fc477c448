package testkit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

const (
	// changeTimeLimitMs is the time limit of a change in milliseconds, and
	// changeTimeout how long its caller waits for a response.
	changeTimeLimitMs = 1000
	changeTimeout     = 10 * time.Second
	// editedRecords is the number of records that the changes edit round-robin.
	editedRecords = 20
)

// ChangeLoad generates a load of changes. It submits each change under its own
// token through two VMs concurrently and records the result that each caller got.
type ChangeLoad struct {
	d        *Deployment
	balancer *Balancer
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	results []SubmissionResult
}

// SubmissionResult is the result that one caller of a change got.
type SubmissionResult struct {
	Token   string
	Outcome pb.Outcome
	Reason  string
}

// ChangeSummary compares the results that callers got with the effects that the
// targets counted.
type ChangeSummary struct {
	// Tokens is the number of changes. Success, NotRun and Unknown count them by
	// outcome, which is the first SUCCESS or NOT_RUN that a caller of the change got,
	// or UNKNOWN if no caller got either.
	Tokens, Success, NotRun, Unknown int
	// DuplicateEffects is the number of duplicate effects, that is those beyond the first
	// of each change, as counted by the targets.
	DuplicateEffects uint64
	// FalseSuccess counts SUCCESS results of changes that did not take effect
	// exactly once. FalseNotRun counts NOT_RUN results of changes that took effect.
	FalseSuccess, FalseNotRun int
	// NotSuccessful holds all results other than SUCCESS, and Contradicted the results
	// that the effects contradict, which FalseSuccess and FalseNotRun count.
	NotSuccessful, Contradicted []SubmissionResult
}

// StartChanges starts workers that submit edits to the profile's second front until
// End is called or the context ends. Each worker has one change in flight at a time
// and waits for pause between changes.
func StartChanges(ctx context.Context, d *Deployment, workers int, pause time.Duration) *ChangeLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := &ChangeLoad{d: d, balancer: NewBalancer(ctx, d), stop: cancel}
	for worker := range workers {
		l.done.Go(func() { l.runWorker(ctx, worker, pause) })
	}
	return l
}

func (l *ChangeLoad) runWorker(ctx context.Context, worker int, pause time.Duration) {
	front := l.d.Profile.Configuration().Fronts[1]
	for n := 0; ctx.Err() == nil; n++ {
		l.submitCopies(&pb.Change{Front: front.Name, Kind: &pb.Change_Edit{Edit: &pb.RecordEdit{
			RecordId: profile.RecordID(front.Services[0].Name, n%editedRecords),
			Fields:   []*pb.Field{{Name: "remark", Value: fmt.Sprintf("%d/%d", worker, n)}},
		}}}, n)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// submitCopies submits one change through two VMs concurrently, like a double click.
// If n is a multiple of three, it then submits the change once more, like a retry.
// It does not use the context of the load, so that the end of the load does not
// cancel a change.
func (l *ChangeLoad) submitCopies(change *pb.Change, n int) {
	issuer := l.balancer.Next()
	if issuer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	token, err := issuer.Caller.IssueToken(ctx, connect.NewRequest(&pb.IssueTokenRequest{}))
	if err != nil {
		return
	}
	var submissions sync.WaitGroup
	for range 2 {
		if vm := l.balancer.Next(); vm != nil {
			submissions.Go(func() { l.submit(vm, token.Msg.Token, change) })
		}
	}
	submissions.Wait()
	if vm := l.balancer.Next(); vm != nil && n%3 == 0 {
		l.submit(vm, token.Msg.Token, change)
	}
}

func (l *ChangeLoad) submit(vm *VM, token string, change *pb.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	response, err := vm.Caller.SubmitChange(ctx, connect.NewRequest(&pb.SubmitChangeRequest{
		Token: token, Change: change, TimeLimitMs: changeTimeLimitMs,
	}))
	result := SubmissionResult{Token: token, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "no answer"}
	if err == nil {
		result.Outcome = response.Msg.Outcome
		result.Reason = response.Msg.Reason
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// Submitted returns the number of submissions completed so far.
func (l *ChangeLoad) Submitted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// End stops the load, waits for the changes in flight and compares the results that
// callers got with the effects that the targets counted.
func (l *ChangeLoad) End(ctx context.Context) (ChangeSummary, error) {
	l.stop()
	l.done.Wait()
	counters, err := l.d.Counters(ctx, nil)
	if err != nil {
		return ChangeSummary{}, err
	}
	effects, err := l.d.Standin.GetEffects(ctx, connect.NewRequest(&standinv1.GetEffectsRequest{}))
	if err != nil {
		return ChangeSummary{}, errors.Wrap(err, "get effects")
	}
	effectCounts := map[string]int{}
	for _, effect := range effects.Msg.Effects {
		effectCounts[effect.Token] += int(effect.Count)
	}
	s := ChangeSummary{DuplicateEffects: counters.ChangesDoubled}
	outcomes := map[string]pb.Outcome{}
	for _, result := range l.results {
		s.verify(result, effectCounts[result.Token])
		if outcomes[result.Token] != pb.Outcome_OUTCOME_SUCCESS && outcomes[result.Token] != pb.Outcome_OUTCOME_NOT_RUN {
			outcomes[result.Token] = result.Outcome
		}
	}
	for _, outcome := range outcomes {
		s.countOutcome(outcome)
	}
	return s, nil
}

// verify compares one result with the number of times its change took effect.
func (s *ChangeSummary) verify(result SubmissionResult, effects int) {
	switch {
	case result.Outcome == pb.Outcome_OUTCOME_SUCCESS && effects != 1:
		s.FalseSuccess++
		s.Contradicted = append(s.Contradicted, result)
	case result.Outcome == pb.Outcome_OUTCOME_NOT_RUN && effects != 0:
		s.FalseNotRun++
		s.Contradicted = append(s.Contradicted, result)
	}
	if result.Outcome != pb.Outcome_OUTCOME_SUCCESS {
		s.NotSuccessful = append(s.NotSuccessful, result)
	}
}

func (s *ChangeSummary) countOutcome(outcome pb.Outcome) {
	s.Tokens++
	switch outcome {
	case pb.Outcome_OUTCOME_SUCCESS:
		s.Success++
	case pb.Outcome_OUTCOME_NOT_RUN:
		s.NotRun++
	default:
		s.Unknown++
	}
}

// Add adds the counts and results of another summary.
func (s *ChangeSummary) Add(other ChangeSummary) {
	s.Tokens += other.Tokens
	s.Success += other.Success
	s.NotRun += other.NotRun
	s.Unknown += other.Unknown
	s.DuplicateEffects += other.DuplicateEffects
	s.FalseSuccess += other.FalseSuccess
	s.FalseNotRun += other.FalseNotRun
	s.NotSuccessful = append(s.NotSuccessful, other.NotSuccessful...)
	s.Contradicted = append(s.Contradicted, other.Contradicted...)
}
