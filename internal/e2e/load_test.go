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

// awaitGuardTime waits until the guard time of a newly started deployment is
// over. Until then owners refuse work with the outcome NOT_RUN.
func awaitGuardTime() {
	const guardTime = 1000 * time.Millisecond
	time.Sleep(2 * guardTime)
}

// searchLoad is closed-loop search load that records every answer with the
// condition of its search.
type searchLoad struct {
	d        *testkit.Deployment
	balancer *testkit.Balancer
	front    string
	stop     context.CancelFunc
	workers  sync.WaitGroup

	mu         sync.Mutex
	answers    []*pb.SearchResponse
	conditions []*pb.Condition
	failures   []string
}

// startSearches starts workers that each send one search at a time. Searches go
// to VMs that report ready, as a load balancer would route them.
func startSearches(t *testing.T, d *testkit.Deployment, front string, workers int, pause time.Duration) *searchLoad {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &searchLoad{d: d, balancer: testkit.NewBalancer(ctx, d), front: front, stop: cancel}
	t.Cleanup(cancel)
	for worker := range workers {
		l.workers.Go(func() { l.runWorker(ctx, worker, pause) })
	}
	return l
}

func (l *searchLoad) runWorker(ctx context.Context, worker int, pause time.Duration) {
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
	// Stopping the load must not cancel a search in flight.
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
	l.conditions = append(l.conditions, condition)
}

// stopAndCheck stops the load and checks the answer of every search that ran
// against the seeded data.
func (l *searchLoad) stopAndCheck(t *testing.T) []*pb.SearchResponse {
	t.Helper()
	l.stop()
	l.workers.Wait()
	for i, answer := range l.answers {
		if answer.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
			requireSeededRows(t, l.d, l.front, answer, l.conditions[i])
		}
	}
	require.NotEmpty(t, l.answers)
	return l.answers
}

// startChanges submits changes, each with its own token and to two VMs
// concurrently, and records the outcomes reported to the callers.
func startChanges(t *testing.T, d *testkit.Deployment, workers int, pause time.Duration) *testkit.ChangeLoad {
	t.Helper()
	return testkit.StartChanges(t.Context(), d, workers, pause)
}

// stopChanges stops the load and checks the reported outcomes against the
// targets' own counts: no change ran twice, every SUCCESS ran and no NOT_RUN did.
func stopChanges(t *testing.T, l *testkit.ChangeLoad) testkit.ChangeSummary {
	t.Helper()
	s, err := l.End(context.Background())
	require.NoError(t, err)
	require.Zero(t, s.DuplicateEffects)
	for _, change := range s.NotSuccessful {
		t.Logf("reported %s: %s: %s", change.Outcome, change.Token, change.Reason)
	}
	require.Empty(t, s.Contradicted, "outcomes that contradict the targets' counts")
	require.Zero(t, s.FalseSuccess)
	require.Zero(t, s.FalseNotRun)
	t.Logf("changes: %d, success %d, not run %d, unknown %d", s.Tokens, s.Success, s.NotRun, s.Unknown)
	return s
}
