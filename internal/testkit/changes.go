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
	// changeLimitMs is the time limit of a change, and changeTimeout how long its
	// caller waits.
	changeLimitMs = 1000
	changeTimeout = 10 * time.Second
	// editedRecords is the number of records that changes edit in turn.
	editedRecords = 20
)

// ChangeLoad submits changes, each under a token of its own and at two VMs at
// the same time, and remembers what each caller was told.
type ChangeLoad struct {
	d        *Deployment
	balancer *Balancer
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu   sync.Mutex
	told []Told
}

// Told is what one caller of a change was told.
type Told struct {
	Token   string
	Outcome pb.Outcome
	Reason  string
}

// ChangeSummary compares what callers were told with the targets' own counts.
type ChangeSummary struct {
	// Tokens counts the changes, by the best outcome that a caller was told.
	Tokens, Success, NotRun, Unknown int
	// Doubled counts effects beyond the first, as targets saw them.
	Doubled uint64
	// FalseSuccess and FalseNotRun count answers that the targets' counts belie.
	FalseSuccess, FalseNotRun int
	// Unclear are the answers other than success, and False the untrue ones.
	Unclear, False []Told
}

// StartChanges runs workers that submit edits to the profile's second front, one
// change at a time each, until End or the end of the context.
func StartChanges(ctx context.Context, d *Deployment, workers int, pause time.Duration) *ChangeLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := &ChangeLoad{d: d, balancer: NewBalancer(ctx, d), stop: cancel}
	for worker := range workers {
		l.done.Go(func() { l.work(ctx, worker, pause) })
	}
	return l
}

func (l *ChangeLoad) work(ctx context.Context, worker int, pause time.Duration) {
	front := l.d.Profile.Configuration().Fronts[1]
	for n := 0; ctx.Err() == nil; n++ {
		l.change(&pb.Change{Front: front.Name, Kind: &pb.Change_Edit{Edit: &pb.RecordEdit{
			RecordId: profile.RecordID(front.Services[0].Name, n%editedRecords),
			Fields:   []*pb.Field{{Name: "remark", Value: fmt.Sprintf("%d/%d", worker, n)}},
		}}}, n)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// change submits one change twice at the same time at two VMs, and each third
// one once more: double clicks and re-sends. The end of the load cuts no change.
func (l *ChangeLoad) change(edit *pb.Change, n int) {
	home := l.balancer.Next()
	if home == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	token, err := home.Caller.IssueToken(ctx, connect.NewRequest(&pb.IssueTokenRequest{}))
	if err != nil {
		return
	}
	var clicks sync.WaitGroup
	for range 2 {
		if vm := l.balancer.Next(); vm != nil {
			clicks.Go(func() { l.submit(vm, token.Msg.Token, edit) })
		}
	}
	clicks.Wait()
	if vm := l.balancer.Next(); vm != nil && n%3 == 0 {
		l.submit(vm, token.Msg.Token, edit)
	}
}

func (l *ChangeLoad) submit(vm *VM, token string, edit *pb.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	response, err := vm.Caller.SubmitChange(ctx, connect.NewRequest(&pb.SubmitChangeRequest{
		Token: token, Change: edit, TimeLimitMs: changeLimitMs,
	}))
	told := Told{Token: token, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "no answer"}
	if err == nil {
		told.Outcome = response.Msg.Outcome
		told.Reason = response.Msg.Reason
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, told)
}

// Submitted returns the number of answers so far.
func (l *ChangeLoad) Submitted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.told)
}

// End stops the load and compares what the callers were told with the targets'
// own counts.
func (l *ChangeLoad) End(ctx context.Context) (ChangeSummary, error) {
	l.stop()
	l.done.Wait()
	counters, err := l.d.Counters(ctx, nil)
	if err != nil {
		return ChangeSummary{}, err
	}
	effects, err := l.d.Standin.GetEffects(ctx, connect.NewRequest(&standinv1.GetEffectsRequest{}))
	if err != nil {
		return ChangeSummary{}, errors.Wrap(err, "effects")
	}
	ran := map[string]int{}
	for _, effect := range effects.Msg.Effects {
		ran[effect.Token] += int(effect.Count)
	}
	s := ChangeSummary{Doubled: counters.ChangesDoubled}
	best := map[string]pb.Outcome{}
	for _, told := range l.told {
		s.judge(told, ran[told.Token])
		if best[told.Token] != pb.Outcome_OUTCOME_SUCCESS && best[told.Token] != pb.Outcome_OUTCOME_NOT_RUN {
			best[told.Token] = told.Outcome
		}
	}
	for _, outcome := range best {
		s.count(outcome)
	}
	return s, nil
}

// judge compares one answer with how often its change took effect.
func (s *ChangeSummary) judge(told Told, ran int) {
	switch {
	case told.Outcome == pb.Outcome_OUTCOME_SUCCESS && ran != 1:
		s.FalseSuccess++
		s.False = append(s.False, told)
	case told.Outcome == pb.Outcome_OUTCOME_NOT_RUN && ran != 0:
		s.FalseNotRun++
		s.False = append(s.False, told)
	}
	if told.Outcome != pb.Outcome_OUTCOME_SUCCESS {
		s.Unclear = append(s.Unclear, told)
	}
}

func (s *ChangeSummary) count(outcome pb.Outcome) {
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

// Add adds up the counts of two summaries.
func (s *ChangeSummary) Add(other ChangeSummary) {
	s.Tokens += other.Tokens
	s.Success += other.Success
	s.NotRun += other.NotRun
	s.Unknown += other.Unknown
	s.Doubled += other.Doubled
	s.FalseSuccess += other.FalseSuccess
	s.FalseNotRun += other.FalseNotRun
	s.Unclear = append(s.Unclear, other.Unclear...)
	s.False = append(s.False, other.False...)
}
