package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// controlBytesPerSecond is the stated bound of one VM's control messages.
	controlBytesPerSecond = 11_000
	// inForceWithin is the stated bound for an accepted revision.
	inForceWithin = 4 * time.Second
	// storeReadsPerSecond is what the platform's store bears.
	storeReadsPerSecond = 2000
)

// manyFronts is a configuration of which one front changes with the revision.
func manyFronts(domains int, revision uint32) *pb.Configuration {
	c := testConfiguration(domains, "fronts")
	for i := range 39 {
		front, _ := proto.Clone(c.Fronts[0]).(*pb.Front)
		front.Name = fmt.Sprintf("front-%d", i)
		front.Services[0].Targets = front.Services[0].Targets[:1]
		c.Fronts = append(c.Fronts, front)
	}
	c.Fronts[5].Limits.DefaultRowLimit = revision
	return c
}

type budget struct {
	steadyBytes, busyBytes int
	messages               float64
	calls                  float64
	delays                 []time.Duration
}

// measureBudget runs a deployment with nothing to tell, and then for a time in
// which a revision is accepted every 7.2 s, as in 12,000 a day, and a VM is
// replaced, of which there is one every 37 s at the full size.
func measureBudget(s *simulation, domains int, warmUp time.Duration) budget {
	const steady, revisions, revisionEvery = 4 * time.Second, 1, 7200 * time.Millisecond
	s.write(manyFronts(domains, 1))
	s.run(warmUp)
	var b budget
	s.resetCounts()
	s.run(steady)
	b.steadyBytes = s.mostBytes() / int(steady.Seconds())
	b.messages = float64(s.vms[s.names[0]].messages) / steady.Seconds()
	b.calls = float64(s.calls) / steady.Seconds()
	s.resetCounts()
	accepted := map[uint64]time.Duration{}
	for i := range revisions {
		written := s.write(manyFronts(domains, uint32(i+2)))
		accepted[written.Revision] = s.now
		s.run(revisionEvery / 2)
		if i == 0 {
			s.kill(s.names[1])
			s.startVM(s.names[1], s.vms[s.names[1]].domain, 1000)
		}
		s.run(revisionEvery / 2)
	}
	b.busyBytes = int(float64(s.mostBytes()) / (revisions * revisionEvery).Seconds())
	for _, name := range s.names {
		for revision, at := range accepted {
			if adopted, ok := s.vms[name].adoptedAt[revision]; ok && s.vms[name].bornAt < at {
				b.delays = append(b.delays, adopted-at)
			}
		}
	}
	slices.Sort(b.delays)
	return b
}

func (s *simulation) resetCounts() {
	s.calls = 0
	for _, vm := range s.vms {
		vm.bytes, vm.remoteBytes, vm.messages = 0, 0, 0
	}
}

// mostBytes returns the bytes of the VM of the first failure domain that has
// the most, both directions. Where the other failure domains are smaller, they
// send it fewer heartbeats than they would: what it exchanges with them by its
// own heartbeats counts twice for that.
func (s *simulation) mostBytes() int {
	most := 0
	for _, vm := range s.vms {
		if vm.domain == s.vms[s.names[0]].domain {
			most = max(most, vm.bytes-vm.remoteBytes+2*vm.remoteBytes/(1+s.symmetric()))
		}
	}
	return most
}

// symmetric returns 1 when all failure domains have the same size, else 0.
func (s *simulation) symmetric() int {
	counts := map[string]int{}
	for _, vm := range s.vms {
		counts[vm.domain]++
	}
	for _, count := range counts {
		if count != counts[s.vms[s.names[0]].domain] {
			return 0
		}
	}
	return 1
}

func requireWithinBudget(t *testing.T, name string, s *simulation, domains int, warmUp time.Duration) {
	t.Helper()
	b := measureBudget(s, domains, warmUp)
	t.Logf("%s: bytes/s per VM steady %d, busy %d (most of the VMs, both directions); messages/s %.1f; platform calls/s %.1f; in force p50 %v max %v",
		name, b.steadyBytes, b.busyBytes, b.messages, b.calls, b.delays[len(b.delays)/2], b.delays[len(b.delays)-1])
	require.Less(t, b.busyBytes, controlBytesPerSecond)
	require.Less(t, b.delays[len(b.delays)-1], inForceWithin)
	s.requireAll(t, s.store.Revision)
}

// The figures that docs/CAPACITY.md quotes are logged with -v.
func TestControlTrafficStaysWithinItsBudget(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}} {
		s := deployment(size.domains, size.perDomain)
		requireWithinBudget(t, fmt.Sprintf("%d VMs", size.domains*size.perDomain), s, size.domains, 10*time.Second)
	}
}

// One failure domain of the full size, with three VMs in each of eight others.
func TestAFailureDomainOf333VMsStaysWithinItsBudget(t *testing.T) {
	s := newSimulation()
	for d := range 9 {
		for i := range map[bool]int{true: 333, false: 3}[d == 0] {
			s.listVM(fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d))
		}
	}
	for i, vm := range s.list {
		s.startVM(vm.Vm, vm.FailureDomain, uint64(i+1))
	}
	s.introduceAll()
	requireWithinBudget(t, "333 VMs in one of 9 failure domains", s, 9, 2*time.Second)
	oldest := time.Duration(0)
	for _, name := range s.names {
		oldest = max(oldest, s.vms[name].machine.age())
	}
	leaving := s.vms["vm-0-100"]
	s.give(leaving, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}, nil)
	left := s.untilAll(t, "vm-0-100", pb.MemberState_MEMBER_STATE_LEAVING)
	s.kill("vm-0-200")
	died := s.untilAll(t, "vm-0-200", pb.MemberState_MEMBER_STATE_DEAD)
	s.startVM("vm-0-200", "domain-0", 5000)
	joined := s.untilAll(t, "vm-0-200", pb.MemberState_MEMBER_STATE_ALIVE)
	t.Logf("333 VMs: oldest confirmation %v; known to all VMs of the failure domain: a leave after %v, a death after %v, a join after %v", oldest, left, died, joined)
	require.Less(t, joined, leaving.machine.config.guard, "a VM that joins is known before it dispatches")
	for _, name := range s.names {
		require.Zero(t, s.vms[name].machine.table.Stats().Refuted, "no suspicion was false")
	}
}

// untilAll runs until all VMs of the first failure domain hold a VM for being in
// a state, and returns how long that took.
func (s *simulation) untilAll(t *testing.T, vm string, state pb.MemberState) time.Duration {
	t.Helper()
	begun := s.now
	for s.now-begun < 20*time.Second {
		s.run(50 * time.Millisecond)
		agreed := true
		for _, name := range s.names {
			if other := s.vms[name]; other.up && name != vm && other.domain == "domain-0" {
				agreed = agreed && other.machine.table.State(vm) == state
			}
		}
		if agreed {
			return s.now - begun
		}
	}
	require.Fail(t, "VMs do not agree", "%s should be %v", vm, state)
	return 0
}

// introduceAll lets every VM know every other, with no news left to tell, as
// long after a start.
func (s *simulation) introduceAll() {
	for _, name := range s.names {
		table := s.vms[name].machine.table
		for _, other := range s.names {
			if other != name {
				table.Heard(s.vms[other].header.Self, nil, simulationStart)
			}
		}
		for len(table.News("")) > 0 {
			continue
		}
	}
}

// One heartbeat in fifty is lost, for a minute: suspicions are rare, and none
// becomes a death.
func TestLostHeartbeatsKillNobody(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}} {
		s := deployment(size.domains, size.perDomain)
		random := rand.New(rand.NewPCG(1, 1))
		s.lost = func() bool { return random.IntN(50) == 0 }
		s.write(manyFronts(size.domains, 1))
		s.run(time.Minute)
		suspicions, deaths := uint64(0), uint64(0)
		for _, name := range s.names {
			suspicions += s.vms[name].machine.table.Stats().Suspicions
			deaths += s.vms[name].machine.table.Stats().Deaths
		}
		t.Logf("%d VMs, 2 %% of heartbeats lost, 60 s: %d false suspicions, %d false deaths", len(s.names), suspicions, deaths)
		require.Zero(t, deaths)
	}
}

// Each VM that watches for itself is the baseline: its calls grow with the
// fleet, those of a few watchers do not.
func TestStoreCallsGrowWithFailureDomainsNotWithVMs(t *testing.T) {
	perSecond := func(domains, perDomain int, watchers uint32) float64 {
		s := newSimulation()
		for d := range domains {
			for i := range perDomain {
				s.listVM(fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d))
			}
		}
		for i, vm := range s.list {
			s.startVM(vm.Vm, vm.FailureDomain, uint64(i+1)).machine.config.watchers = int(watchers)
		}
		s.write(manyFronts(domains, 1))
		s.run(5 * time.Second)
		s.calls = 0
		s.run(15 * time.Second)
		return float64(s.calls) / 15
	}
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}} {
		few := perSecond(size.domains, size.perDomain, 2)
		each := perSecond(size.domains, size.perDomain, 1000)
		vms := size.domains * size.perDomain
		t.Logf("%d VMs: platform calls/s %.1f with 2 watchers per failure domain, %.1f with each VM watching", vms, few, each)
		lists := float64(vms) / 60
		require.LessOrEqual(t, few, float64(size.domains)*2*(4+0.2)+lists)
		require.Less(t, 9*2*(4+0.2)+3000.0/60, float64(storeReadsPerSecond), "at 3,000 VMs")
	}
}
