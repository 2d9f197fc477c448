package coordinator_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/trace"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// dispatcherFunc adapts a function to a Dispatcher.
type dispatcherFunc func(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error)

func (f dispatcherFunc) Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
	return f(ctx, vm, r)
}

func replyAfter(ctx context.Context, delay time.Duration, r *pb.SubRequest) (*pb.SubReply, error) {
	select {
	case <-time.After(delay):
		return goodReply(r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func TestSearchCoversEveryPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := coordinator.New(coordinator.Options{
			Views: &source{v: viewOf(configuration(typicalShape()), 0)},
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				return replyAfter(ctx, 5*time.Millisecond, r)
			}),
		})
		answer, err := c.Search(t.Context(), request("r1"))
		require.NoError(t, err)
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome)
		require.EqualValues(t, 20, answer.Coverage.Covered)
		require.EqualValues(t, 20, answer.Coverage.Total)
		require.Len(t, answer.Rows, 40)
		require.IsIncreasing(t, recordIDs(answer))
		require.EqualValues(t, 10, answer.Subrequests)
		require.EqualValues(t, 1, answer.Snapshot)
	})
}

func recordIDs(answer *pb.SearchResponse) []string {
	ids := make([]string, 0, len(answer.Rows))
	for _, row := range answer.Rows {
		ids = append(ids, row.RecordId)
	}
	return ids
}

func TestPartialAnswerAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := coordinator.New(coordinator.Options{
			Views: &source{v: viewOf(configuration(typicalShape()), 0)},
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				if r.Service == "s3" {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return replyAfter(ctx, 5*time.Millisecond, r)
			}),
		})
		start := time.Now()
		answer, err := c.Search(t.Context(), request("r1"))
		require.NoError(t, err)
		require.Equal(t, 140*time.Millisecond, time.Since(start))
		require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, answer.Outcome)
		require.EqualValues(t, 18, answer.Coverage.Covered)
		require.Len(t, answer.Coverage.Missing, 2)
		for _, missing := range answer.Coverage.Missing {
			require.Equal(t, "s3", missing.Service)
			require.Equal(t, pb.MissingReason_MISSING_REASON_DEADLINE, missing.Reason)
		}
	})
}

func TestCallerGoneCancelsEverySubrequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		cancelled := 0
		c := coordinator.New(coordinator.Options{
			Views: &source{v: viewOf(configuration(typicalShape()), 0)},
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, _ *pb.SubRequest) (*pb.SubReply, error) {
				<-ctx.Done()
				mu.Lock()
				defer mu.Unlock()
				cancelled++
				return nil, ctx.Err()
			}),
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(3*time.Millisecond, cancel)
		_, err := c.Search(ctx, request("r1"))
		require.ErrorIs(t, err, coordinator.ErrCallerGone)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, 10, cancelled)
	})
}

func TestOverloadRefusesBeforeAnythingIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		sent := map[string]int{}
		c := coordinator.New(coordinator.Options{
			Views:  &source{v: viewOf(configuration(typicalShape()), 0)},
			Limits: &pb.LimitSettings{MaxRunningSearches: 2},
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				mu.Lock()
				sent[r.RequestId]++
				mu.Unlock()
				return replyAfter(ctx, 5*time.Millisecond, r)
			}),
		})
		outcomes := make([]pb.Outcome, 4)
		var group sync.WaitGroup
		for i := range outcomes {
			group.Go(func() {
				answer, err := c.Search(t.Context(), request(fmt.Sprint(i)))
				if err == nil {
					outcomes[i] = answer.Outcome
				}
			})
		}
		group.Wait()
		refused := 0
		for i, outcome := range outcomes {
			if outcome == pb.Outcome_OUTCOME_NOT_RUN {
				refused++
				require.Zero(t, sent[fmt.Sprint(i)])
			}
		}
		require.Equal(t, 2, refused)
	})
}

// A recorded trace replays to the same actions, and a modified one diverges.
func TestTraceOfARunReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		c := coordinator.New(coordinator.Options{
			Views: &source{v: viewOf(configuration(typicalShape()), 0)},
			Trace: &out,
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				switch {
				case r.Target == "s1-r0":
					return nil, errors.New("connection refused")
				case r.Target == "s2-r0":
					return replyAfter(ctx, time.Second, r)
				case r.Service == "s4":
					return statusReply(r, pb.SubStatus_SUB_STATUS_SHED), nil
				}
				return replyAfter(ctx, 5*time.Millisecond, r)
			}),
		})
		for i := range 40 {
			_, err := c.Search(t.Context(), request(fmt.Sprint(i)))
			require.NoError(t, err)
		}
		summary, divergence, err := trace.Replay(bytes.NewReader(out.Bytes()))
		require.NoError(t, err)
		require.Nil(t, divergence, "%s", divergence)
		require.Equal(t, 40, summary.Answers)

		changed := bytes.Replace(out.Bytes(), []byte(`"s4-r0"`), []byte(`"s4-r9"`), 1)
		_, divergence, err = trace.Replay(bytes.NewReader(changed))
		require.NoError(t, err)
		require.NotNil(t, divergence)
	})
}

// When a replica is stuck, a hedge in another failure domain answers, and the stuck
// attempt is cancelled.
func TestLoserOfAHedgeIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var cancelled, hedges []string
		c := coordinator.New(coordinator.Options{
			Views: &source{v: viewOf(configuration(typicalShape()), 0)},
			Dispatcher: dispatcherFunc(func(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				if r.Extra {
					mu.Lock()
					hedges = append(hedges, vm.FailureDomain)
					mu.Unlock()
				}
				if r.Target != "s5-r0" {
					return replyAfter(ctx, 5*time.Millisecond, r)
				}
				<-ctx.Done()
				mu.Lock()
				defer mu.Unlock()
				cancelled = append(cancelled, r.Target)
				return nil, ctx.Err()
			}),
		})
		answer, err := c.Search(t.Context(), request("r1"))
		require.NoError(t, err)
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome)
		require.EqualValues(t, 1, answer.ExtraSubrequests)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, []string{"s5-r0"}, cancelled)
		require.Len(t, hedges, 1)
		require.NotEqual(t, "a", hedges[0])
	})
}

// The deadline of the caller's context applies when it is earlier than the time limit.
func TestCallersEarlierDeadlineApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := coordinator.New(coordinator.Options{
			Views: &source{v: viewOf(configuration(typicalShape()), 0)},
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				return replyAfter(ctx, time.Second, r)
			}),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		start := time.Now()
		answer, err := c.Search(ctx, request("r1"))
		require.NoError(t, err)
		require.Equal(t, 30*time.Millisecond, time.Since(start))
		require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, answer.Outcome)
		require.Zero(t, answer.Coverage.Covered)
	})
}
