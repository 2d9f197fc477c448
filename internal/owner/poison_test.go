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

// replicaSet is one service with a replica, and a VM that owns it, in each
// failure domain.
type replicaSet struct {
	fakes  []*fakeTarget
	owners []*owner.Owner
	lists  []*quarantine.List
	// cut keeps a VM from hearing the others.
	cut []bool
}

const (
	poison   = 666
	innocent = 7
)

// announcer spreads the news of one VM to the others.
type announcer struct {
	set  *replicaSet
	from int
}

func (a *announcer) Announce(_ context.Context, _ string, entries []*pb.QuarantineEntry) {
	for i, list := range a.set.lists {
		if i != a.from && !a.set.cut[i] && !a.set.cut[a.from] {
			list.Merge(entries, time.Now())
		}
	}
}

func newReplicaSet(t *testing.T, n int) *replicaSet {
	set := &replicaSet{cut: make([]bool, n)}
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

// crashOnPoison makes every target crash when it runs the poison, once the
// number of jobs that run on it has reached together.
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
			case fake.running.Load() < together && r.RequestId == fmt.Sprint(innocent):
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
		if set.send(t, i, innocent+1).Status == pb.SubStatus_SUB_STATUS_OK {
			alive++
		}
	}
	require.Equal(t, 3, alive, "clean requests run on the others")
}

// Once a crash is known, re-sends through all owners at the same time crash one
// further target, not one each.
func TestPoisonSentAtOnceAfterTheFirstCrashCrashesOneMore(t *testing.T) {
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

// A VM that is cut off cannot hear of crashes elsewhere, and so adds up to two
// of its own group; here its group has one target.
func TestPoisonAcrossACutCrashesAtMostTwoTargetsInEachGroup(t *testing.T) {
	set := newReplicaSet(t, 5)
	set.cut[4] = true
	crashes := set.crashOnPoison(1)
	for range 4 {
		for i := range set.owners {
			set.send(t, i, poison)
		}
	}
	require.LessOrEqual(t, crashes(), 3)
}

func TestInnocentContentOfACrashRunsAndIsCleared(t *testing.T) {
	set := newReplicaSet(t, 3)
	crashes := set.crashOnPoison(2)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, innocent+1))
	done := make(chan *pb.SubReply)
	go func() { done <- set.send(t, 0, innocent) }()
	eventually(t, func() bool { return set.fakes[0].running.Load() == 1 })
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, poison))
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, <-done)
	require.Equal(t, 1, crashes())
	set.fakes[1].search, set.fakes[2].search = nil, nil
	ran := 0
	for i := 1; i < 3; i++ {
		if set.send(t, i, innocent).Status == pb.SubStatus_SUB_STATUS_OK {
			ran++
		}
	}
	require.Positive(t, ran, "runs on the designated target after one coincidence")
	for i := 1; i < 3; i++ {
		requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, i, innocent))
	}
}

// A connection that breaks while the target lives on is no crash: the next reply
// with the same boot identity takes the suspicion back.
func TestBrokenConnectionToALivingTargetIsNoCrash(t *testing.T) {
	set := newReplicaSet(t, 3)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, innocent+1))
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		if r.RequestId == fmt.Sprint(innocent) {
			set.fakes[0].server.CloseClientConnections()
			<-ctx.Done()
		}
		return set.fakes[0].reply(r), nil
	}
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, innocent))
	require.NotEmpty(t, set.lists[0].Check(innocent, time.Now()).Crashed)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, innocent+1))
	require.Empty(t, set.lists[0].Check(innocent, time.Now()).Crashed)
}

// A caller that gives up before the target crashes does not hide the poison.
func TestPoisonGivenUpBeforeTheCrashIsSuspect(t *testing.T) {
	set := newReplicaSet(t, 2)
	givenUp := make(chan struct{})
	set.fakes[0].search = func(_ context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		<-givenUp
		return set.fakes[0].reply(r), nil
	}
	r := subRequest(targetName(0), 20*time.Millisecond)
	r.ContentDigest = poison
	requireStatus(t, pb.SubStatus_SUB_STATUS_DEADLINE, set.owners[0].Dispatch(t.Context(), r))
	close(givenUp)
	eventually(t, func() bool { return set.owners[0].Targets()[0].Running == 0 })
	set.fakes[0].crash()
	requireStatus(t, pb.SubStatus_SUB_STATUS_UNAVAILABLE, set.send(t, 0, innocent))
	verdict := set.lists[1].Check(poison, time.Now())
	require.Equal(t, []string{targetName(0)}, verdict.CrashedTargets("service"))
	require.Empty(t, set.lists[1].Check(innocent, time.Now()).Crashed)
}

// With no other work to tell, the health endpoint settles after a while whether
// a broken connection was a crash.
func TestHealthSettlesABreakWhenNoWorkDoes(t *testing.T) {
	set := newReplicaSet(t, 2)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 0, innocent+1))
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		set.fakes[0].server.CloseClientConnections()
		<-ctx.Done()
		return set.fakes[0].reply(r), nil
	}
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, innocent))
	go func() { _ = set.owners[0].Serve(t.Context()) }()
	eventually(t, func() bool { return len(set.lists[0].Check(innocent, time.Now()).Crashed) == 0 })
}

func requireNotOK(t *testing.T, reply *pb.SubReply) {
	t.Helper()
	require.NotEqual(t, pb.SubStatus_SUB_STATUS_OK, reply.Status)
}

// Clean content that runs on all targets of a service while they drop their
// connections together is refused by none of them for that, and is cleared by a
// success.
func TestContentOfManyCrashesAtOnceIsNotRefused(t *testing.T) {
	set := newReplicaSet(t, 4)
	for _, fake := range set.fakes {
		fake.search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
			<-ctx.Done()
			return fake.reply(r), nil
		}
	}
	var wait sync.WaitGroup
	for i := range 3 {
		wait.Go(func() { set.send(t, i, innocent) })
		wait.Go(func() { set.send(t, i, innocent+1) })
	}
	eventually(t, func() bool {
		return set.fakes[0].running.Load()+set.fakes[1].running.Load()+set.fakes[2].running.Load() == 6
	})
	for i := range 3 {
		set.fakes[i].crash()
	}
	wait.Wait()
	set.fakes[3].search = nil
	require.Len(t, set.lists[3].Check(innocent, time.Now()).Crashed, 3)
	requireStatus(t, pb.SubStatus_SUB_STATUS_OK, set.send(t, 3, innocent))
	for _, list := range set.lists {
		require.Empty(t, list.Check(innocent, time.Now()).Crashed)
	}
}

// Suspect content that a caller gave up is not what crashed the target alone,
// when other work ran there after it.
func TestContentGivenUpBeforeOtherWorkDidNotCrashAlone(t *testing.T) {
	set := newReplicaSet(t, 2)
	givenUp := make(chan struct{})
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		if r.RequestId == fmt.Sprint(poison) {
			set.fakes[0].crash()
			<-ctx.Done()
		}
		<-givenUp
		return set.fakes[0].reply(r), nil
	}
	place := quarantine.Place{Service: "service", Target: targetName(1)}
	set.lists[0].Suspect(innocent, place, time.Now())
	r := subRequest(targetName(0), 20*time.Millisecond)
	r.ContentDigest = innocent
	requireStatus(t, pb.SubStatus_SUB_STATUS_DEADLINE, set.owners[0].Dispatch(t.Context(), r))
	close(givenUp)
	eventually(t, func() bool { return set.owners[0].Targets()[0].Running == 0 })
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, poison))
	verdict := set.lists[0].Check(innocent, time.Now())
	require.Contains(t, verdict.CrashedTargets("service"), targetName(0))
	require.False(t, verdict.Quarantined)
}

// Suspect content goes to the one replica that the refusal names.
func TestSuspectContentIsSentOnToTheDesignatedTarget(t *testing.T) {
	set := newReplicaSet(t, 4)
	for i := range set.lists {
		set.lists[i].Suspect(innocent, quarantine.Place{Service: "service", Target: targetName(0)}, time.Now())
	}
	names := map[string]bool{}
	for i := 1; i < 4; i++ {
		reply := set.send(t, i, innocent+2)
		requireStatus(t, pb.SubStatus_SUB_STATUS_OK, reply)
		require.Empty(t, reply.DesignatedTarget)
	}
	for i := range 4 {
		verdict := set.lists[i].Check(innocent, time.Now())
		designated := quarantine.Designate(innocent, []string{"t0", "t1", "t2", "t3"}, []string{"t0"}, verdict.Age)
		if designated == targetName(i) {
			continue
		}
		reply := set.send(t, i, innocent)
		requireStatus(t, pb.SubStatus_SUB_STATUS_NOT_DESIGNATED, reply)
		names[reply.DesignatedTarget] = true
		require.Equal(t, designated, reply.DesignatedTarget)
	}
	require.Len(t, names, 1)
}

// Content that coincided with a crash in another service runs alone here too, so
// that a second crash is known to be its own.
func TestSuspicionInAnotherServiceMakesACrashCountAlone(t *testing.T) {
	set := newReplicaSet(t, 2)
	elsewhere := quarantine.Place{Service: "other", Target: "o1"}
	set.lists[0].Suspect(poison, elsewhere, time.Now())
	set.fakes[0].search = func(ctx context.Context, r *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error) {
		set.fakes[0].server.CloseClientConnections()
		<-ctx.Done()
		return set.fakes[0].reply(r), nil
	}
	requireStatus(t, pb.SubStatus_SUB_STATUS_FAILED, set.send(t, 0, poison))
	require.True(t, set.lists[0].Check(poison, time.Now()).Quarantined)
}
