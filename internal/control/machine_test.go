package control

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

func (s *simulation) view(name string) *view.View {
	m := s.vms[name].machine
	return view.Build(m.viewInput(m.published.confirmedAt, false), nil)
}

// owners returns the VMs that own a target and may dispatch to it.
func (s *simulation) owners(target string) []string {
	var owners []string
	for _, name := range s.names {
		vm := s.vms[name]
		if !vm.up || vm.frozen || vm.machine.published.paused {
			continue
		}
		if s.view(name).Owns(target) {
			owners = append(owners, name)
		}
	}
	return owners
}

func (s *simulation) requireRevision(t *testing.T, revision uint64) {
	t.Helper()
	for _, name := range s.names {
		if s.vms[name].up {
			require.Equal(t, revision, s.vms[name].machine.revision(), name)
		}
	}
}

func TestEachTargetHasOneOwnerAfterStart(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	s.requireRevision(t, 1)
	for _, name := range s.names {
		ready, reason := s.vms[name].machine.ready()
		require.True(t, ready, "%s: %s", name, reason)
		require.Less(t, s.vms[name].machine.configurationAge(), 2*time.Second)
	}
	for _, target := range []string{"t-0-0", "t-0-1", "t-1-2", "t-2-0"} {
		require.Len(t, s.owners(target), 1, target)
	}
}

func TestAcceptedRevisionIsInForceEverywhere(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	written := s.now
	s.write(testConfiguration(3, "second"))
	s.run(4 * time.Second)
	s.requireRevision(t, 2)
	for _, name := range s.names {
		require.Less(t, s.vms[name].adoptedAt[2]-written, time.Second, name)
	}
}

func TestVMStartedDuringStoreOutageLearnsFromPeers(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	s.storeDown = true
	s.kill("vm-0-000")
	s.run(4 * time.Second)
	vm := s.startVM("vm-0-000", "domain-0", 100)
	vm.machine.config.seeds = []string{"10.0.0.1:vm-1-000"}
	s.run(4 * time.Second)
	ready, reason := vm.machine.ready()
	require.True(t, ready, reason)
	require.Equal(t, uint64(1), vm.machine.revision())
	require.Less(t, vm.machine.configurationAge(), 2*time.Second, "peers of all domains confirm while the store is down")
}

func TestIsolatedVMIsNotReadyAndGivesReason(t *testing.T) {
	s := newSimulation()
	s.storeDown = true
	vm := s.startVM("vm-0-000", "domain-0", 1)
	s.run(10 * time.Second)
	ready, reason := vm.machine.ready()
	require.False(t, ready)
	require.Contains(t, reason, "no peer gave one and the platform's store failed")
}

func TestFrozenVMIsPausedUntilPeerConfirms(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	vm := s.vms["vm-0-001"]
	s.freeze("vm-0-001")
	s.run(10 * time.Second)
	takenOutConfiguration := testConfiguration(3, "second")
	takenOutConfiguration.FailureDomains[0].State = pb.ServingState_SERVING_STATE_TAKEN_OUT
	s.write(takenOutConfiguration)
	s.run(time.Second)
	paused := []bool{}
	vm.onStep = func(*pb.ControlEvent, []*pb.ControlDecision) {
		paused = append(paused, vm.machine.published.paused)
		if !vm.machine.published.paused {
			require.Equal(t, uint64(2), vm.machine.revision(), "must resume only with the revision in force")
		}
		if vm.machine.ownsNothing() || vm.machine.published.paused {
			return
		}
		require.Equal(t, 3, len(s.vms["vm-0-000"].machine.table.OwnerCandidates()), "must own targets again only after the others know that it is back")
	}
	s.thaw("vm-0-001")
	require.True(t, paused[0], "the first event after the gap must not be processed with state from before it")
	s.run(5 * time.Second)
	require.False(t, vm.machine.published.paused)
	require.False(t, vm.machine.ownsNothing())
	require.Len(t, s.owners("t-0-0"), 1)
}

func TestTargetsOfFrozenVMMoveAfterItsClockGap(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	owner := s.owners("t-0-0")[0]
	frozenAt := s.now
	s.freeze(owner)
	for len(s.owners("t-0-0")) == 0 {
		s.run(10 * time.Millisecond)
		require.Less(t, s.now-frozenAt, 5*time.Second)
	}
	config := s.vms[owner].machine.config
	require.Greater(t, s.now-frozenAt+config.guard, config.clockGap+config.heartbeatInterval)
	require.Greater(t, s.now-frozenAt, config.clockGap)
}

func TestLeavingVMReleasesItsTargetsAtOnce(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	owner := s.owners("t-0-0")[0]
	vm := s.vms[owner]
	s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}, nil)
	require.False(t, vm.machine.leaveAcknowledged)
	s.run(5 * time.Millisecond)
	require.True(t, vm.machine.leaveAcknowledged)
	s.run(400 * time.Millisecond)
	owners := s.owners("t-0-0")
	require.Len(t, owners, 1)
	require.NotEqual(t, owner, owners[0])
	s.run(10 * time.Second)
	require.Equal(t, pb.MemberState_MEMBER_STATE_LEAVING, vm.machine.table.Self().State)
}

// Guards against a leaving VM that waits for an acknowledgement from a VM that has stopped: when all VMs
// are stopped one after the other, the last one may still consider the previous one alive.
func TestLastVMLeavesWithoutAcknowledgement(t *testing.T) {
	s := newDeployment(1, 2)
	s.write(testConfiguration(1, "first"))
	s.run(3 * time.Second)
	vm := s.vms["vm-0-001"]
	s.kill("vm-0-000")
	s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}, nil)
	require.False(t, vm.machine.leaveAcknowledged)
	s.run(4 * time.Second)
	require.True(t, vm.machine.leaveAcknowledged, "no other VM is alive to acknowledge")
}

// isolate partitions one failure domain from the others and from the platform.
func isolate(domain string) func(a, b string) bool {
	return func(a, b string) bool { return a != b && (a == domain || b == domain) }
}

func TestPartitionedFailureDomainKeepsServingAndReconnects(t *testing.T) {
	s := newDeployment(3, 3)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	before := s.owners("t-1-0")
	s.partitioned = isolate("domain-1")
	s.write(testConfiguration(3, "second"))
	s.run(20 * time.Second)
	require.Equal(t, before, s.owners("t-1-0"), "ownership inside the failure domain does not change")
	ready, reason := s.vms["vm-1-000"].machine.ready()
	require.True(t, ready, reason)
	require.Greater(t, s.vms["vm-1-000"].machine.configurationAge(), 15*time.Second, "the age of the configuration must grow during the partition")
	require.Less(t, s.vms["vm-0-000"].machine.configurationAge(), 2*time.Second)
	seen, _ := s.view("vm-0-000").VM("vm-1-000")
	require.Equal(t, pb.MemberState_MEMBER_STATE_SUSPECT, seen.State)
	s.partitioned = func(_, _ string) bool { return false }
	s.run(2 * time.Second)
	s.requireRevision(t, 2)
	for _, name := range []string{"vm-0-000", "vm-2-001"} {
		seen, _ = s.view(name).VM("vm-1-000")
		require.Equal(t, pb.MemberState_MEMBER_STATE_ALIVE, seen.State, name)
	}
	require.Equal(t, before, s.owners("t-1-0"))
}

// Guards against a stale configuration: a leaving VM does not watch the store, so the configuration of a
// failure domain grew stale when its only remaining VM was leaving.
func TestLastVMOfDomainWatchesWhileLeaving(t *testing.T) {
	s := newDeployment(1, 2)
	s.write(testConfiguration(1, "first"))
	s.run(4 * time.Second)
	s.kill("vm-0-000")
	vm := s.vms["vm-0-001"]
	s.deliver(vm, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}, nil)
	s.run(15 * time.Second)
	require.Less(t, vm.machine.configurationAge(), 2*time.Second)
}

// A VM that the VM list does not contain yet cannot conclude from the list that it is alone.
func TestListWithoutSelfConfirmsNothing(t *testing.T) {
	s := newSimulation()
	s.write(testConfiguration(1, "first"))
	a := s.startVM("vm-0-000", "domain-0", 1)
	b := s.startVM("vm-0-001", "domain-0", 2)
	s.run(2 * time.Second)
	require.True(t, a.machine.published.paused)
	require.True(t, b.machine.published.paused)
	s.listVM("vm-0-000", "domain-0")
	s.listVM("vm-0-001", "domain-0")
	s.run(10 * time.Second)
	require.False(t, a.machine.published.paused)
	require.Len(t, s.owners("t-0-0"), 1)
}

// heartbeatAnswer returns the event for a response from peer to a heartbeat that was sent at the given
// time.
func heartbeatAnswer(peer *machine, vm string, sent, now time.Duration) *pb.ControlEvent {
	return &pb.ControlEvent{OffsetUs: now.Microseconds(), Kind: &pb.ControlEvent_HeartbeatAnswered{HeartbeatAnswered: &pb.HeartbeatAnswered{
		Vm: vm, SentOffsetUs: sent.Microseconds(),
		Response: &pb.HeartbeatResponse{Responder: peer.table.Self(), MembersDigest: peer.table.Digest(), ConfigurationRevision: peer.revision()},
	}}}
}

func TestOnlyConfirmingResponseEndsPause(t *testing.T) {
	s := newDeployment(1, 2)
	s.run(3 * time.Second)
	m, peer := s.vms["vm-0-000"].machine, s.vms["vm-0-001"].machine
	require.False(t, m.published.paused)
	beforeGap, afterGap := 3*time.Second, 4500*time.Millisecond
	m.step(heartbeatAnswer(peer, "vm-0-001", beforeGap, afterGap))
	require.True(t, m.published.paused, "the heartbeat was sent before the gap")
	other := newMachine(simulatedHeader("vm-0-001", "domain-0", 0, 1))
	m.step(heartbeatAnswer(other, "vm-0-001", afterGap, afterGap+time.Millisecond))
	require.True(t, m.published.paused, "the peer's digest differs and it did not send its table")
	m.step(heartbeatAnswer(peer, "vm-0-001", afterGap, afterGap+2*time.Millisecond))
	require.False(t, m.published.paused)
}

// timeOutBacklog updates the backlog of a frozen VM as if all calls timed out: it drops the requests, whose
// senders have given up, and turns store reads into failures.
func (vm *simulatedVM) timeOutBacklog() {
	var kept []*pb.ControlEvent
	var done []func([]*pb.ControlDecision)
	for i, event := range vm.backlog {
		if read := event.GetStoreRead(); read != nil {
			read.Failed, read.Configuration = true, nil
		}
		if event.GetHeartbeatReceived() == nil && event.GetDeltaReceived() == nil {
			kept, done = append(kept, event), append(done, vm.backlogDone[i])
		}
	}
	vm.backlog, vm.backlogDone = kept, done
}

// Guards against VMs that resume with outdated state because they confirm one another after their whole
// failure domain was frozen, for example by a host or switch failure.
func TestVMsFrozenTogetherDoNotConfirmOneAnother(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		s := newDeployment(2, 3)
		s.write(testConfiguration(2, "first"))
		s.run(3 * time.Second)
		frozen := []string{"vm-0-000", "vm-0-001", "vm-0-002"}
		for _, name := range frozen {
			s.freeze(name)
		}
		s.run(10 * time.Second)
		takenOutConfiguration := testConfiguration(2, "second")
		takenOutConfiguration.FailureDomains[0].State = pb.ServingState_SERVING_STATE_TAKEN_OUT
		s.write(takenOutConfiguration)
		s.run(time.Second)
		s.storeDown = storeDown
		for _, name := range frozen {
			vm := s.vms[name]
			vm.onStep = func(*pb.ControlEvent, []*pb.ControlDecision) {
				require.True(t, vm.machine.published.paused || vm.machine.revision() == 2, name)
			}
		}
		for _, name := range frozen {
			s.vms[name].timeOutBacklog()
		}
		for _, name := range frozen {
			s.thaw(name)
		}
		s.run(5 * time.Second)
		for _, name := range frozen {
			require.False(t, s.vms[name].machine.published.paused)
		}
	}
}

// While the store is down, the VMs of nine failure domains keep the configuration confirmed among
// themselves.
func TestPeersConfirmDuringStoreOutage(t *testing.T) {
	s := newDeployment(9, 2)
	s.write(testConfiguration(9, "first"))
	s.run(3 * time.Second)
	s.storeDown = true
	s.run(5 * time.Second)
	for range 100 {
		s.run(100 * time.Millisecond)
		for _, name := range s.names {
			require.Less(t, s.vms[name].machine.configurationAge(), 2*time.Second, name)
		}
	}
}

// After all VMs were down at the same time (the fault kill_all), each of them can serve
// routes as soon as it has read the store. The members confirm one another later.
func TestVMsServeRoutesOnceTheStoreIsReadAfterAllWereDown(t *testing.T) {
	s := newDeployment(3, 2)
	s.write(testConfiguration(3, "first"))
	s.run(3 * time.Second)
	for _, name := range s.names {
		s.kill(name)
	}
	s.run(time.Second)
	for i, name := range slices.Clone(s.names) {
		s.startVM(name, s.vms[name].domain, uint64(200+i))
	}
	s.run(100 * time.Millisecond)
	for _, name := range s.names {
		ready, reason := s.vms[name].machine.readyForRoutes()
		require.True(t, ready, "%s: %s", name, reason)
		paused, _ := s.vms[name].machine.ready()
		require.False(t, paused, "targets are owned only once the members are confirmed")
	}
}
