package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/owner"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// replicaSet is a service with one replica in each failure domain, each owned by a VM in that domain.
type replicaSet struct {
	fakes  []*fakeTarget
	owners []*owner.Owner
	lists  []*quarantine.List
	// isolated marks the VMs that neither send nor receive announcements.
	isolated []bool
}

const (
	poison   = 666
	harmless = 7
)

// announcer delivers the announcements of one VM to the others.
type announcer struct {
	set  *replicaSet
	from int
}

func (a *announcer) Announce(_ context.Context, _ string, entries []*pb.QuarantineEntry) {
	for i, list := range a.set.lists {
		if i != a.from && !a.set.isolated[i] && !a.set.isolated[a.from] {
			list.Merge(entries, time.Now())
		}
	}
}

func newReplicaSet(t *testing.T, n int) *replicaSet {
	set := &replicaSet{isolated: make([]bool, n)}
	config := &pb.Configuration{Revision: 1}
	service := &pb.Service{Name: "service"}
	vms := make([]view.VM, 0, n)
	for i := range n {
		fake := newFakeTarget(t)
		set.fakes = append(set.fakes, fake)
		domain := fmt.Sprintf("d%d", i)
		config.FailureDomains = append(config.FailureDomains, &pb.FailureDomain{
			Name: domain, State: pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
		service.Targets = append(service.Targets, &pb.Target{
			Id: targetName(i), Address: fake.address(), FailureDomain: domain, Slots: 3, ColdLimit: 3,
			Connections: 6, State: pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
		vms = append(vms, view.VM{ID: "vm-" + domain, FailureDomain: domain, State: pb.MemberState_MEMBER_STATE_ALIVE})
		set.lists = append(set.lists, quarantine.New(quarantine.DefaultLimits()))
	}
	config.Fronts = []*pb.Front{{Name: "front", Services: []*pb.Service{service}}}
	for i := range n {
		views := &viewSource{}
		views.current.Store(view.Build(view.Input{Self: vms[i], VMs: vms, Configuration: config}, nil))
		set.owners = append(set.owners, owner.New(owner.Options{
			Views: views, Limits: &pb.LimitSettings{TargetQueueLength: 64, MaxRequestBytes: 1 << 20},
			Quarantine: set.lists[i], Announcer: &announcer{set, i},
		}))
	}
	return set
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

func (s *replicaSet) send(t *testing.T, i int, digest uint64) *pb.SubReply {
	r := subRequest(targetName(i), 10*time.Second)
	r.ContentDigest = digest
	r.RequestId = fmt.Sprint(digest)
	return s.owners[i].Dispatch(t.Context(), r)
}

// crashOnPoison makes every target crash when it runs the poison content, once at least the given number of
// jobs run on it together. The returned function counts the crashed targets.
func (s *replicaSet) crashOnPoison(together int64) (crashes func() int) {
	for _, fake := range s.fakes {
		fake.search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
			switch {
			case r.RequestId == fmt.Sprint(poison):
				for fake.running.Load() < together && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				fake.crash()
				<-ctx.Done()
			case fake.running.Load() < together && r.RequestId == fmt.Sprint(harmless):
				<-ctx.Done()
			}
			return fake.reply(r), nil
		}
	}
	return func() int {
		n := 0
		for _, fake := range s.fakes {
			if fake.crashed.Load() {
				n++
			}
		}
		return n
	}
}

func TestPoisonSentThroughEveryOwnerCrashesAtMostTwoTargets(t *testing.T) {
	set := newReplicaSet(t, 5)
	crashes := set.crashOnPoison(1)
	for range 4 {
		for i := range set.owners {
			set.send(t, i, poison)
		}
	}
	require.Equal(t, 2, crashes())
	alive := 0
	for i := range set.owners {
		requireNotOK(t, set.send(t, i, poison))
		if set.send(t, i, harmless+1).Status == pb.SubStatus_SUB_STATUS_OK {
			alive++
		}
	}
	require.Equal(t, 3, alive, "clean requests run on the others")
}

// After a known crash, concurrent retries through all owners must crash only one more target, not one per
// owner.
func TestConcurrentPoisonAfterTheFirstCrashCrashesOneMore(t *testing.T) {
	set := newReplicaSet(t, 6)
	crashes := set.crashOnPoison(1)
	set.send(t, 0, poison)
	require.Equal(t, 1, crashes())
	var wait sync.WaitGroup
	for range 3 {
		for i := 1; i < len(set.owners); i++ {
			wait.Go(func() { set.send(t, i, poison) })
		}
	}
	wait.Wait()
	require.Equal(t, 2, crashes())
	for _, list := range set.lists {
		require.True(t, list.Check(poison, time.Now().Add(2*time.Minute)).Quarantined, "it crashed a target that ran it alone")
	}
}

// An isolated VM receives no announcements, so up to two targets may crash on each side of the partition.
// Here the isolated side has only one target.
func TestPoisonAcrossAPartitionCrashesAtMostTwoTargetsInEachGroup(t *testing.T) {
	set := newReplicaSet(t, 5)
	set.isolated[4] = true
	crashes := set.crashOnPoison(1)
	for range 4 {
		for i := range set.owners {
			set.send(t, i, poison)
		}
	}
	require.LessOrEqual(t, crashes(), 3)
}

func TestHarmlessContentRunningAtACrashIsCleared(t *testing.T) {
	set := newReplicaSet(t, 3)
	crashes := set.crashOnPoison(2)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, harmless+1))
	done := make(chan *pb.SubReply)
	go func() { done <- set.send(t, 0, harmless) }()
	eventually(t, func() bool { return set.fakes[0].running.Load() == 1 })
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, poison))
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, <-done)
	require.Equal(t, 1, crashes())
	set.fakes[1].search, set.fakes[2].search = nil, nil
	ran := 0
	for i := 1; i < 3; i++ {
		if set.send(t, i, harmless).Status == pb.SubStatus_SUB_STATUS_OK {
			ran++
		}
	}
	require.Positive(t, ran, "runs on the designated target after one coincidence")
	for i := 1; i < 3; i++ {
		requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, i, harmless))
	}
}

// A broken connection to a target that keeps running is not a crash: the next reply with the same boot ID
// retracts the suspicion.
func TestBrokenConnectionWithoutRestartIsNotACrash(t *testing.T) {
	set := newReplicaSet(t, 3)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, harmless+1))
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		if r.RequestId == fmt.Sprint(harmless) {
			set.fakes[0].server.CloseClientConnections()
			<-ctx.Done()
		}
		return set.fakes[0].reply(r), nil
	}
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, harmless))
	require.NotEmpty(t, set.lists[0].Check(harmless, time.Now()).Crashed)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, harmless+1))
	require.Empty(t, set.lists[0].Check(harmless, time.Now()).Crashed)
}

// Content becomes suspect even if its deadline passed before the target crashed.
func TestPoisonTimedOutBeforeTheCrashIsSuspect(t *testing.T) {
	set := newReplicaSet(t, 2)
	timedOut := make(chan struct{})
	set.fakes[0].search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		<-timedOut
		return set.fakes[0].reply(r), nil
	}
	r := subRequest(targetName(0), 20*time.Millisecond)
	r.ContentDigest = poison
	requireStatus(t, pb.SubStatus_SUB_STATUS_DEADLINE, set.owners[0].Dispatch(t.Context(), r))
	close(timedOut)
	eventually(t, func() bool { return set.owners[0].Targets()[0].Running == 0 })
	set.fakes[0].crash()
	requireStatus(t, pb.SubStatus_SUB_STATUS_UNAVAILABLE, set.send(t, 0, harmless))
	verdict := set.lists[1].Check(poison, time.Now())
	require.Equal(t, []string{targetName(0)}, verdict.CrashedTargets("service"))
	require.Empty(t, set.lists[1].Check(harmless, time.Now()).Crashed)
}

// Without further work for the target, the health endpoint determines after healthResolveDelay whether a
// broken connection was a crash.
func TestHealthEndpointResolvesABreakWithoutOtherWork(t *testing.T) {
	set := newReplicaSet(t, 2)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, harmless+1))
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		set.fakes[0].server.CloseClientConnections()
		<-ctx.Done()
		return set.fakes[0].reply(r), nil
	}
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, harmless))
	go func() { _ = set.owners[0].Serve(t.Context()) }()
	eventually(t, func() bool { return len(set.lists[0].Check(harmless, time.Now()).Crashed) == 0 })
}

func requireNotOK(t *testing.T, reply *pb.SubReply) {
	t.Helper()
	require.NotEqual(t, pb.SubStatus_SUB_STATUS_OK, reply.Status)
}

// Harmless contents that were running on several targets when these crashed at once must not be refused,
// because the crashes do not show which content caused them. A success clears the contents.
func TestContentRunningAtSimultaneousCrashesIsNotRefused(t *testing.T) {
	set := newReplicaSet(t, 4)
	for _, fake := range set.fakes {
		fake.search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
			<-ctx.Done()
			return fake.reply(r), nil
		}
	}
	var wait sync.WaitGroup
	for i := range 3 {
		wait.Go(func() { set.send(t, i, harmless) })
		wait.Go(func() { set.send(t, i, harmless+1) })
	}
	eventually(t, func() bool {
		return set.fakes[0].running.Load()+set.fakes[1].running.Load()+set.fakes[2].running.Load() == 6
	})
	for i := range 3 {
		set.fakes[i].crash()
	}
	wait.Wait()
	set.fakes[3].search = nil
	require.Len(t, set.lists[3].Check(harmless, time.Now()).Crashed, 3)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 3, harmless))
	for _, list := range set.lists {
		require.Empty(t, list.Check(harmless, time.Now()).Crashed)
	}
}

// Suspect content whose deadline passed must not count as having crashed the target alone if other work ran
// on the target afterwards.
func TestTimedOutContentFollowedByOtherWorkIsNotQuarantined(t *testing.T) {
	set := newReplicaSet(t, 2)
	timedOut := make(chan struct{})
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		if r.RequestId == fmt.Sprint(poison) {
			set.fakes[0].crash()
			<-ctx.Done()
		}
		<-timedOut
		return set.fakes[0].reply(r), nil
	}
	ref := quarantine.TargetRef{Service: "service", Target: targetName(1)}
	set.lists[0].RecordCrash(harmless, ref, time.Now())
	r := subRequest(targetName(0), 20*time.Millisecond)
	r.ContentDigest = harmless
	requireStatus(t, pb.SubStatus_SUB_STATUS_DEADLINE, set.owners[0].Dispatch(t.Context(), r))
	close(timedOut)
	eventually(t, func() bool { return set.owners[0].Targets()[0].Running == 0 })
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, poison))
	verdict := set.lists[0].Check(harmless, time.Now())
	require.Contains(t, verdict.CrashedTargets("service"), targetName(0))
	require.False(t, verdict.Quarantined)
}

// The other replicas refuse suspect content and name the one target that may run it.
func TestSuspectContentIsRedirectedToTheDesignatedTarget(t *testing.T) {
	set := newReplicaSet(t, 4)
	for i := range set.lists {
		set.lists[i].RecordCrash(harmless, quarantine.TargetRef{Service: "service", Target: targetName(0)}, time.Now())
	}
	names := map[string]bool{}
	for i := 1; i < 4; i++ {
		reply := set.send(t, i, harmless+2)
		requireStatus(t, pb.SubStatus_SUB_STATUS_OK, reply)
		require.Empty(t, reply.DesignatedTarget)
	}
	for i := range 4 {
		verdict := set.lists[i].Check(harmless, time.Now())
		designated := quarantine.Designate(harmless, []string{"t0", "t1", "t2", "t3"}, []string{"t0"}, verdict.SinceLastCrash)
		if designated == targetName(i) {
			continue
		}
		reply := set.send(t, i, harmless)
		requireStatus(t, pb.SubStatus_SUB_STATUS_NOT_DESIGNATED, reply)
		names[reply.DesignatedTarget] = true
		require.Equal(t, designated, reply.DesignatedTarget)
	}
	require.Len(t, names, 1)
}

// Content that was running at a crash in one service runs exclusively in other services too, so that a second
// crash can be attributed to it.
func TestContentSuspectInAnotherServiceRunsAlone(t *testing.T) {
	set := newReplicaSet(t, 2)
	elsewhere := quarantine.TargetRef{Service: "other", Target: "o1"}
	set.lists[0].RecordCrash(poison, elsewhere, time.Now())
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		set.fakes[0].server.CloseClientConnections()
		<-ctx.Done()
		return set.fakes[0].reply(r), nil
	}
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, poison))
	require.True(t, set.lists[0].Check(poison, time.Now()).Quarantined)
}
