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
	d        *testkit.Deployment
	balancer *testkit.Balancer
	front    string
	stop     context.CancelFunc
	done     sync.WaitGroup

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
	l := &searchLoad{d: d, balancer: testkit.NewBalancer(ctx, d), front: front, stop: cancel}
	t.Cleanup(cancel)
	for worker := range workers {
		l.done.Go(func() { l.work(ctx, worker, pause) })
	}
	return l
}

func (l *searchLoad) work(ctx context.Context, worker int, pause time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		condition := prefix("name", string(rune('A'+(n+worker)%26)))
		if vm := l.balancer.Next(); vm != nil {
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

// startChanges submits changes, each under a token of its own and at two VMs at
// the same time, and remembers what each caller was told.
func startChanges(t *testing.T, d *testkit.Deployment, workers int, pause time.Duration) *testkit.ChangeLoad {
	t.Helper()
	return testkit.StartChanges(t.Context(), d, workers, pause)
}

// endChanges stops the load and checks what the callers were told against the
// targets' own counts: nothing ran twice, every success ran, every NOT_RUN did
// not.
func endChanges(t *testing.T, l *testkit.ChangeLoad) testkit.ChangeSummary {
	t.Helper()
	s, err := l.End(context.Background())
	require.NoError(t, err)
	require.Zero(t, s.Doubled)
	for _, told := range s.Unclear {
		t.Logf("told %s: %s: %s", told.Outcome, told.Token, told.Reason)
	}
	require.Empty(t, s.False, "untrue answers")
	require.Zero(t, s.FalseSuccess)
	require.Zero(t, s.FalseNotRun)
	t.Logf("changes: %d, success %d, not run %d, unknown %d", s.Tokens, s.Success, s.NotRun, s.Unknown)
	return s
}
