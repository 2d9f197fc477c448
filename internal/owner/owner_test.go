package owner_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/owner"
	"github.com/carawayreel/carawayreel/internal/view"
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
	require.EqualValues(t, 1, fake.maxRunning.Load())
	require.LessOrEqual(t, fake.maxConnections, 4)
	require.EqualValues(t, 40, o.Targets()[0].Dispatched)
}

func TestChangeRuns(t *testing.T) {
	fake := newFakeTarget(t)
	o := newDeployment(fake).owner(nil)
	reply := o.DispatchChange(t.Context(), changeDispatch("a", time.Second))
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, reply.Outcome, reply.Reason)
	require.EqualValues(t, 1, fake.ran.Load())
}

func TestNothingIsSentWhenPausedNotOwnerTakenOutOrExpired(t *testing.T) {
	fake := newFakeTarget(t)
	d := newDeployment(fake)
	o := d.owner(nil)
	other := view.VM{ID: "vm-2", FailureDomain: "d1", State: pb.MemberState_MEMBER_STATE_ALIVE}
	for name, test := range map[string]struct {
		modify  func()
		timeout time.Duration
		want    pb.SubStatus
	}{
		"paused":       {func() { d.input.Paused = true }, time.Second, pb.SubStatus_SUB_STATUS_SHED},
		"not owner":    {func() { d.input.Self.State, d.input.VMs = pb.MemberState_MEMBER_STATE_LEAVING, []view.VM{other} }, time.Second, pb.SubStatus_SUB_STATUS_NOT_OWNER},
		"taken out":    {func() { d.targets[0].State = pb.ServingState_SERVING_STATE_TAKEN_OUT }, time.Second, pb.SubStatus_SUB_STATUS_UNAVAILABLE},
		"no target":    {func() { d.targets[0].Id = "other" }, time.Second, pb.SubStatus_SUB_STATUS_NOT_OWNER},
		"expired":      {func() {}, 0, pb.SubStatus_SUB_STATUS_SHED},
		"long expired": {func() {}, -time.Second, pb.SubStatus_SUB_STATUS_SHED},
	} {
		t.Run(name, func(t *testing.T) {
			before, target := d.input, proto.CloneOf(d.targets[0])
			test.modify()
			d.configure(2)
			reply := o.Dispatch(t.Context(), subRequest("a", test.timeout))
			requireStatus(t, test.want, reply)
			if name == "not owner" {
				require.Equal(t, "vm-2", reply.OwnerHint)
			}
			change := o.DispatchChange(t.Context(), changeDispatch("a", test.timeout))
			require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, change.Outcome, change.Reason)
			d.input = before
			d.targets[0] = target
			d.configure(3)
		})
	}
	require.Zero(t, fake.ran.Load())
}

// Queued work is refused, not sent, if meanwhile the VM is paused or loses ownership of the target, or the
// target is taken out of service.
func TestQueuedWorkIsRefusedAfterAViewChange(t *testing.T) {
	for name, test := range map[string]struct {
		modify func(*deployment)
		want   pb.SubStatus
	}{
		"paused":    {func(d *deployment) { d.input.Paused = true }, pb.SubStatus_SUB_STATUS_SHED},
		"taken out": {func(d *deployment) { d.targets[0].State = pb.ServingState_SERVING_STATE_TAKEN_OUT }, pb.SubStatus_SUB_STATUS_UNAVAILABLE},
		"lost":      {func(d *deployment) { d.input.Self.State = pb.MemberState_MEMBER_STATE_LEAVING }, pb.SubStatus_SUB_STATUS_NOT_OWNER},
	} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeTarget(t)
			release := make(chan struct{})
			fake.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
				<-release
				return fake.reply(r), nil
			}
			d := newDeployment(fake)
			o := d.owner(nil)
			replies := make(chan *pb.SubReply, 2)
			for range 2 {
				go func() { replies <- o.Dispatch(t.Context(), subRequest("a", 10*time.Second)) }()
			}
			eventually(t, func() bool { return fake.running.Load() == 1 && o.Targets()[0].Queued == 1 })
			test.modify(d)
			d.configure(2)
			close(release)
			first, second := <-replies, <-replies
			if first.Status != pb.SubStatus_SUB_STATUS_OK {
				first, second = second, first
			}
			requireStatus(t, pb.SubStatus_SUB_STATUS_OK, first)
			requireStatus(t, test.want, second)
			require.EqualValues(t, 1, fake.ran.Load())
		})
	}
}

func TestCancellationReachesTheTargetAndFreesTheSlot(t *testing.T) {
	fake := newFakeTarget(t)
	fake.search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		if r.Attempt == 1 {
			<-ctx.Done()
		}
		return fake.reply(r), nil
	}
	o := newDeployment(fake).owner(nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *pb.SubReply)
	go func() { done <- o.Dispatch(ctx, subRequest("a", 10*time.Second)) }()
	eventually(t, func() bool { return fake.running.Load() == 1 })
	cancel()
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, <-done)
	second := subRequest("a", 10*time.Second)
	second.Attempt = 2
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, o.Dispatch(t.Context(), second))
	require.EqualValues(t, 1, fake.maxRunning.Load())
}

func TestQueueIsBounded(t *testing.T) {
	fake := newFakeTarget(t)
	fake.search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		<-ctx.Done()
		return fake.reply(r), nil
	}
	o := newDeployment(fake).owner(func(options *owner.Options) { options.Limits.TargetQueueLength = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() { o.Dispatch(ctx, subRequest("a", 10*time.Second)) })
	}
	eventually(t, func() bool { return fake.running.Load() == 1 && o.Targets()[0].Queued == 1 })
	reply := o.Dispatch(t.Context(), subRequest("a", 10*time.Second))
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, reply)
	require.Equal(t, "queue_full", reply.Reason)
	cancel()
	wait.Wait()
	require.EqualValues(t, 1, fake.ran.Load())
}

// endedContext is a context that has ended while the contexts derived from it have not
// been told yet.
type endedContext struct{ context.Context }

func (endedContext) Err() error { return context.Canceled }

// The end of a caller's context reaches derived contexts one after the other. The slot
// that the first one frees must not go to other work of the same caller.
func TestWorkWhoseCallerHasLeftIsNotSent(t *testing.T) {
	fake := newFakeTarget(t)
	fake.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		return fake.reply(r), nil
	}
	o := newDeployment(fake).owner(nil)
	reply := o.Dispatch(endedContext{t.Context()}, subRequest("a", 10*time.Second))
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, reply)
	require.Equal(t, "caller_left", reply.Reason)
	require.Zero(t, fake.ran.Load())
}

func TestMismatchedRepliesAreDiscarded(t *testing.T) {
	fake := newFakeTarget(t)
	fake.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		reply := fake.reply(r)
		reply.RequestId = "somebody else's"
		reply.Results = []*pb.PartitionResult{{Partition: "p"}}
		return reply, nil
	}
	o := newDeployment(fake).owner(nil)
	reply := o.Dispatch(t.Context(), subRequest("a", time.Second))
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, reply)
	require.Empty(t, reply.Results)
	require.Equal(t, "r", reply.RequestId)
}

func TestChangeOutcomeMatchesWhetherTheChangeRan(t *testing.T) {
	status := func(s pb.TargetStatus) func(context.Context, *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
		return func(_ context.Context, r *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
			return &pb.TargetApplyResponse{Token: r.Token, Status: s, BootId: "boot-1"}, nil
		}
	}
	for name, test := range map[string]struct {
		apply func(context.Context, *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error)
		want  pb.Outcome
	}{
		"ok":       {status(pb.TargetStatus_TARGET_STATUS_OK), pb.Outcome_OUTCOME_SUCCESS},
		"shed":     {status(pb.TargetStatus_TARGET_STATUS_SHED), pb.Outcome_OUTCOME_NOT_RUN},
		"draining": {status(pb.TargetStatus_TARGET_STATUS_DRAINING), pb.Outcome_OUTCOME_NOT_RUN},
		"expired":  {status(pb.TargetStatus_TARGET_STATUS_EXPIRED), pb.Outcome_OUTCOME_NOT_RUN},
		"rejected": {status(pb.TargetStatus_TARGET_STATUS_REJECTED), pb.Outcome_OUTCOME_NOT_RUN},
		"answer lost after the effect": {func(context.Context, *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
			panic(http.ErrAbortHandler)
		}, pb.Outcome_OUTCOME_UNKNOWN},
		"no answer in time": {func(ctx context.Context, _ *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
			<-ctx.Done()
			panic(http.ErrAbortHandler)
		}, pb.Outcome_OUTCOME_UNKNOWN},
		"answer to another token": {func(context.Context, *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
			return &pb.TargetApplyResponse{Token: "other", Status: pb.TargetStatus_TARGET_STATUS_SHED}, nil
		}, pb.Outcome_OUTCOME_UNKNOWN},
		"error": {func(context.Context, *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
			return nil, connect.NewError(connect.CodeUnavailable, nil)
		}, pb.Outcome_OUTCOME_UNKNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeTarget(t)
			o := newDeployment(fake).owner(nil)
			searchReply := o.Dispatch(t.Context(), subRequest("a", time.Second))
			requireStatus(t, pb.SubStatus_SUB_STATUS_OK, searchReply)
			fake.apply = test.apply
			reply := o.DispatchChange(t.Context(), changeDispatch("a", 200*time.Millisecond))
			require.Equal(t, test.want, reply.Outcome, reply.Reason)
			require.EqualValues(t, 2, fake.ran.Load(), "the search and one attempt")
		})
	}
}

// A change that is still queued shortly before its deadline is refused with NOT_RUN. Sending it would risk an
// unknown outcome when the deadline interrupts it.
func TestChangeIsNotSentShortlyBeforeItsDeadline(t *testing.T) {
	fake := newFakeTarget(t)
	fake.apply = func(ctx context.Context, _ *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	guarded := func(options *owner.Options) { options.Limits.GuardMs = 380 }
	o := newDeployment(fake).owner(guarded)
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, o.Dispatch(t.Context(), subRequest("a", time.Millisecond)))
	reply := o.DispatchChange(t.Context(), changeDispatch("a", 400*time.Millisecond))
	require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, reply.Outcome, reply.Reason)
	require.Zero(t, fake.ran.Load())
}

// A search that waits until shortly before its deadline is refused: it would use its target in vain, and if it
// crashed it, the deadline would come before the broken connection.
func TestSearchIsNotSentShortlyBeforeItsDeadline(t *testing.T) {
	fake := newFakeTarget(t)
	guarded := func(options *owner.Options) { options.Limits.GuardMs = 390 }
	o := newDeployment(fake).owner(guarded)
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, o.Dispatch(t.Context(), subRequest("a", time.Millisecond)))
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, o.Dispatch(t.Context(), subRequest("a", 400*time.Millisecond)))
	require.Zero(t, fake.ran.Load())
}

func TestChangeToADownTargetIsNotRun(t *testing.T) {
	fake := newFakeTarget(t)
	o := newDeployment(fake).owner(nil)
	fake.crash()
	reply := o.DispatchChange(t.Context(), changeDispatch("a", time.Second))
	require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, reply.Outcome, reply.Reason)
	require.Equal(t, pb.TargetPhase_TARGET_PHASE_DOWN, o.Targets()[0].Phase)
}

func TestHandOverFinishesWorkAndPassesOnTheLimit(t *testing.T) {
	fake := newFakeTarget(t)
	release := make(chan struct{})
	fake.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		<-release
		return fake.reply(r), nil
	}
	d := newDeployment(fake)
	d.targets[0].ColdLimit = 2
	d.configure(2)
	guarded := func(options *owner.Options) { options.Limits.GuardMs = 60000 }
	old, next := d.owner(nil), d.owner(guarded)
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, next.Dispatch(t.Context(), subRequest("a", time.Second)))
	done := make(chan *pb.SubReply)
	go func() { done <- old.Dispatch(t.Context(), subRequest("a", 10*time.Second)) }()
	eventually(t, func() bool { return fake.running.Load() == 1 })
	states := make(chan []*pb.TargetHandOver)
	go func() { states <- old.HandOver(t.Context()) }()
	eventually(t, func() bool {
		return old.Dispatch(t.Context(), subRequest("a", time.Millisecond)).Status == pb.SubStatus_SUB_STATUS_NOT_OWNER
	})
	close(release)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, <-done)
	handOvers := <-states
	require.Len(t, handOvers, 1)
	require.Equal(t, "boot-1", handOvers[0].BootId)
	require.EqualValues(t, 2, handOvers[0].Limit)
	require.Zero(t, handOvers[0].Running)
	require.Empty(t, old.Targets())
	next.AcceptHandOver(handOvers)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, next.Dispatch(t.Context(), subRequest("a", 10*time.Second)))
}

func eventually(t testing.TB, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond)
}

func TestDirectModeServesWithoutOwnershipOrGuard(t *testing.T) {
	fake := newFakeTarget(t)
	d := newDeployment(fake)
	d.input.Self.FailureDomain, d.input.Direct = "elsewhere", true
	d.publish()
	o := d.owner(func(options *owner.Options) { options.Limits.GuardMs = 60000 })
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, o.Dispatch(t.Context(), subRequest("a", 10*time.Second)))
}

// A target that is released and gained again receives no new work until the work sent before the release has
// ended.
func TestRegainedTargetWaitsForEarlierWork(t *testing.T) {
	fake := newFakeTarget(t)
	release := make(chan struct{})
	fake.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		if r.Attempt == 1 {
			<-release
		}
		return fake.reply(r), nil
	}
	d := newDeployment(fake)
	o := d.owner(nil)
	go func() { _ = o.Serve(t.Context()) }()
	done := make(chan *pb.SubReply)
	go func() { done <- o.Dispatch(t.Context(), subRequest("a", 10*time.Second)) }()
	eventually(t, func() bool { return fake.running.Load() == 1 })
	self := d.input.Self
	d.input.Self.State = pb.MemberState_MEMBER_STATE_LEAVING
	d.publish()
	eventually(t, func() bool { return len(o.Targets()) == 0 })
	d.input.Self = self
	d.publish()
	second := subRequest("a", 10*time.Second)
	second.Attempt = 2
	requireStatus(t, pb.SubStatus_SUB_STATUS_SHED, o.Dispatch(t.Context(), second))
	close(release)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, <-done)
	eventually(t, func() bool {
		return o.Dispatch(t.Context(), second).Status == pb.SubStatus_SUB_STATUS_OK
	})
	require.EqualValues(t, 1, fake.maxRunning.Load())
}

func TestMatchedRowsAreForwarded(t *testing.T) {
	f := newFakeTarget(t)
	want := &pb.PartitionResult{Partition: "p", RowCount: 1, Rows: []*pb.Row{{RecordId: "s:1"}}, Matched: 9}
	f.search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		reply := f.reply(r)
		reply.Results = []*pb.PartitionResult{want}
		return reply, nil
	}
	r := subRequest("a", time.Second)
	r.Partitions, r.RowLimit = []string{"p"}, 1
	reply := newDeployment(f).owner(nil).Dispatch(t.Context(), r)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, reply)
	require.Len(t, reply.Results, 1)
	require.True(t, proto.Equal(want, reply.Results[0]))
}
