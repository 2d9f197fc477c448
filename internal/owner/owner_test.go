package owner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func TestDispatchRunsWithinColdLimitAndConnectionBudget(t *testing.T) {
	fake := newFakeTarget(t)
	fake.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		time.Sleep(time.Millisecond)
		return fake.reply(r), nil
	}
	o := newDeployment(fake).owner(nil)
	var wait sync.WaitGroup
	for range 40 {
		wait.Go(func() {
			requireStatus(t, pb.SubStatus_SUB_STATUS_OK, o.Dispatch(t.Context(), subRequest("a", 10*time.Second)))
		})
	}
	wait.Wait()
	require.EqualValues(t, 40, fake.ran.Load())
	require.EqualValues(t, 1, fake.mostRunning.Load())
	require.LessOrEqual(t, fake.mostConnections, 4)
	require.EqualValues(t, 40, o.Targets()[0].Dispatched)
}

func TestChangeRuns(t *testing.T) {
	fake := newFakeTarget(t)
	o := newDeployment(fake).owner(nil)
	reply := o.DispatchChange(t.Context(), changeDispatch("a", time.Second))
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, reply.Outcome, reply.Reason)
	require.EqualValues(t, 1, fake.ran.Load())
}
