package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// awaitGuard waits until the guard time of a deployment that has just started is
// over: until then owners refuse work, truthfully, as not run.
func awaitGuard() {
	const guard = 1000 * time.Millisecond
	time.Sleep(2 * guard)
}

// searchLoad keeps some searches running and remembers every answer.
type searchLoad struct {
	d     *testkit.Deployment
	front string
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu       sync.Mutex
	answers  []*pb.SearchResponse
	wanted   []*pb.Condition
	failures []string
}

// startSearches runs workers that search, one request at a time each, at the
// VMs that the balancer would choose: those that say they are ready.
func startSearches(t *testing.T, d *testkit.Deployment, front string, workers int, pause time.Duration) *searchLoad {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &searchLoad{d: d, front: front, stop: cancel}
	t.Cleanup(cancel)
	for worker := range workers {
		l.done.Go(func() { l.work(ctx, worker, pause) })
	}
	return l
}

func (l *searchLoad) work(ctx context.Context, worker int, pause time.Duration) {
	balancer := newBalancer(l.d, worker)
	for n := 0; ctx.Err() == nil; n++ {
		condition := prefix("name", string(rune('A'+(n+worker)%26)))
		if vm := balancer.next(); vm != nil {
			l.search(vm, condition, fmt.Sprintf("load-%d-%d", worker, n))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (l *searchLoad) search(vm *testkit.VM, condition *pb.Condition, id string) {
	// The end of the load must not cut a running search.
	response, err := vm.Caller.Search(context.Background(), connect.NewRequest(&pb.SearchRequest{
		RequestId: id, Front: l.front, Conditions: []*pb.Condition{condition}, TimeLimitMs: timeLimitMs, RowLimit: 10000,
	}))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failures = append(l.failures, vm.ID+": "+err.Error())
		return
	}
	l.answers = append(l.answers, response.Msg)
	l.wanted = append(l.wanted, condition)
}

// end stops the load and checks every answer against the seeded data.
func (l *searchLoad) end(t *testing.T) []*pb.SearchResponse {
	t.Helper()
	l.stop()
	l.done.Wait()
	for i, answer := range l.answers {
		if answer.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
			requireTrue(t, l.d, l.front, answer, l.wanted[i])
		}
	}
	require.NotEmpty(t, l.answers)
	return l.answers
}

// balancer stands for the platform's balancer: it asks each VM for its
// readiness every 100 ms and uses those that are ready in turn.
type balancer struct {
	d       *testkit.Deployment
	turn    int
	ready   []*testkit.VM
	checked time.Time
}

func newBalancer(d *testkit.Deployment, turn int) *balancer {
	return &balancer{d: d, turn: turn}
}

func (b *balancer) next() *testkit.VM {
	const checkInterval = 100 * time.Millisecond
	if time.Since(b.checked) > checkInterval {
		b.checked = time.Now()
		b.ready = nil
		for _, vm := range b.d.VMs {
			if b.d.Ready(vm) {
				b.ready = append(b.ready, vm)
			}
		}
	}
	if len(b.ready) == 0 {
		return nil
	}
	b.turn++
	return b.ready[b.turn%len(b.ready)]
}

// changeLoad submits changes, each under a token of its own, and remembers what
// each caller was told.
type changeLoad struct {
	d    *testkit.Deployment
	stop context.CancelFunc
	done sync.WaitGroup

	mu   sync.Mutex
	told []toldOutcome
}

type toldOutcome struct {
	token   string
	outcome pb.Outcome
	reason  string
}

func startChanges(t *testing.T, d *testkit.Deployment, workers int, pause time.Duration) *changeLoad {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &changeLoad{d: d, stop: cancel}
	t.Cleanup(cancel)
	for worker := range workers {
		l.done.Go(func() { l.work(ctx, worker, pause) })
	}
	return l
}

func (l *changeLoad) work(ctx context.Context, worker int, pause time.Duration) {
	balancer := newBalancer(l.d, worker)
	service := l.d.Profile.Configuration().Fronts[1].Services[0].Name
	for n := 0; ctx.Err() == nil; n++ {
		edit := &pb.Change{Front: l.d.Profile.Configuration().Fronts[1].Name, Kind: &pb.Change_Edit{Edit: &pb.RecordEdit{
			RecordId: profile.RecordID(service, n%20),
			Fields:   []*pb.Field{{Name: "remark", Value: fmt.Sprintf("%d/%d", worker, n)}},
		}}}
		l.change(balancer, edit, n)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// change submits one change twice at the same time at two VMs, and once more
// when the outcome was not a success: double clicks and re-sends.
func (l *changeLoad) change(b *balancer, edit *pb.Change, n int) {
	home := b.next()
	if home == nil {
		return
	}
	token, err := home.Caller.IssueToken(context.Background(), connect.NewRequest(&pb.IssueTokenRequest{}))
	if err != nil {
		return
	}
	var clicks sync.WaitGroup
	for range 2 {
		vm := b.next()
		if vm == nil {
			continue
		}
		clicks.Go(func() { l.submit(vm, token.Msg.Token, edit) })
	}
	clicks.Wait()
	if vm := b.next(); vm != nil && n%3 == 0 {
		l.submit(vm, token.Msg.Token, edit)
	}
}

func (l *changeLoad) submit(vm *testkit.VM, token string, edit *pb.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeLimitMs*time.Millisecond)
	defer cancel()
	response, err := vm.Caller.SubmitChange(ctx, connect.NewRequest(&pb.SubmitChangeRequest{
		Token: token, Change: edit, TimeLimitMs: 1000,
	}))
	told := toldOutcome{token: token, outcome: pb.Outcome_OUTCOME_UNKNOWN, reason: "no answer"}
	if err == nil {
		told.outcome = response.Msg.Outcome
		told.reason = response.Msg.Reason
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, told)
}

// summary counts what the callers of changes were told.
type summary struct {
	tokens, success, notRun, unknown int
}

// end stops the load and checks what the callers were told against the targets'
// own counts: nothing ran twice, every success ran, every NOT_RUN did not.
func (l *changeLoad) end(t *testing.T) summary {
	t.Helper()
	l.stop()
	l.done.Wait()
	counters, err := l.d.Counters(context.Background(), nil)
	require.NoError(t, err)
	require.Zero(t, counters.ChangesDoubled)
	ran := effects(t, l.d)
	var s summary
	best := map[string]pb.Outcome{}
	for _, told := range l.told {
		switch told.outcome {
		case pb.Outcome_OUTCOME_SUCCESS:
			require.Equal(t, 1, ran[told.token], "told success, but it did not run: %s", told.token)
		case pb.Outcome_OUTCOME_NOT_RUN:
			require.Zero(t, ran[told.token], "told not run (%s), but it ran: %s", told.reason, told.token)
		}
		if told.outcome != pb.Outcome_OUTCOME_SUCCESS {
			t.Logf("told %s: %s: %s", told.outcome, told.token, told.reason)
		}
		if best[told.token] != pb.Outcome_OUTCOME_SUCCESS && best[told.token] != pb.Outcome_OUTCOME_NOT_RUN {
			best[told.token] = told.outcome
		}
	}
	s.tokens = len(best)
	for _, outcome := range best {
		switch outcome {
		case pb.Outcome_OUTCOME_SUCCESS:
			s.success++
		case pb.Outcome_OUTCOME_NOT_RUN:
			s.notRun++
		default:
			s.unknown++
		}
	}
	return s
}
