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
	// controlBytesPerSecond is the documented limit for the control messages of one VM.
	controlBytesPerSecond = 11_000
	// maxAdoptionDelay is the documented limit for the time until an accepted revision is in force on all VMs.
	maxAdoptionDelay = 4 * time.Second
	// storeReadCapacity is the read capacity of the platform's store.
	storeReadCapacity = 2000
)

// manyFronts returns a configuration of 40 fronts, one of which depends on the revision.
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

// measurement holds the bytes per second of the busiest VM (see maxBytes), the messages per second of one VM,
// the platform calls per second of all VMs together, and the times that the VMs took to adopt the revisions.
type measurement struct {
	steadyBytes, busyBytes int
	messages               float64
	platformCalls          float64
	adoptionDelays         []time.Duration
}

// measureDeployment measures a deployment at rest, and then under change: a revision is accepted every 7.2 s,
// which is 12,000 a day, and a VM is replaced, which happens every 37 s at full size.
func measureDeployment(s *simulation, domains int, warmUp time.Duration) measurement {
	const steady, revisions, revisionEvery = 4 * time.Second, 1, 7200 * time.Millisecond
	s.write(manyFronts(domains, 1))
	s.run(warmUp)
	var b measurement
	s.resetCounts()
	s.run(steady)
	b.steadyBytes = s.maxBytes() / int(steady.Seconds())
	b.messages = float64(s.vms[s.names[0]].messages) / steady.Seconds()
	b.platformCalls = float64(s.calls) / steady.Seconds()
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
	b.busyBytes = int(float64(s.maxBytes()) / (revisions * revisionEvery).Seconds())
	for _, name := range s.names {
		for revision, at := range accepted {
			if adopted, ok := s.vms[name].adoptedAt[revision]; ok && s.vms[name].startedAt < at {
				b.adoptionDelays = append(b.adoptionDelays, adopted-at)
			}
		}
	}
	slices.Sort(b.adoptionDelays)
	return b
}

func (s *simulation) resetCounts() {
	s.calls = 0
	for _, vm := range s.vms {
		vm.bytes, vm.remoteBytes, vm.messages = 0, 0, 0
	}
}

// maxBytes returns the highest byte count, both directions, of a VM of the first failure domain. If the
// other failure domains are smaller, they send this one fewer heartbeats than domains of full size would;
// to compensate, traffic with other failure domains is counted twice in this case.
func (s *simulation) maxBytes() int {
	most := 0
	for _, vm := range s.vms {
		if vm.domain == s.vms[s.names[0]].domain {
			most = max(most, vm.bytes-vm.remoteBytes+2*vm.remoteBytes/(1+s.symmetricDomains()))
		}
	}
	return most
}

// symmetricDomains returns 1 if all failure domains have the same size, otherwise 0.
func (s *simulation) symmetricDomains() int {
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
	b := measureDeployment(s, domains, warmUp)
	t.Logf("%s: bytes/s per VM steady %d, busy %d (highest VM of the first failure domain, both directions); messages/s %.1f; platform calls/s %.1f; in force p50 %v max %v",
		name, b.steadyBytes, b.busyBytes, b.messages, b.platformCalls, b.adoptionDelays[len(b.adoptionDelays)/2], b.adoptionDelays[len(b.adoptionDelays)-1])
	require.Less(t, b.busyBytes, controlBytesPerSecond)
	require.Less(t, b.adoptionDelays[len(b.adoptionDelays)-1], maxAdoptionDelay)
	s.requireRevision(t, s.store.Revision)
}

// Run with -v to log the figures that docs/CAPACITY.md quotes.
func TestControlTrafficStaysWithinBudget(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}} {
		s := newDeployment(size.domains, size.perDomain)
		requireWithinBudget(t, fmt.Sprintf("%d VMs", size.domains*size.perDomain), s, size.domains, 10*time.Second)
	}
}

// One failure domain of full size (333 VMs), and three VMs in each of the eight others.
func TestFailureDomainOf333VMsStaysWithinBudget(t *testing.T) {
	s := newSimulation()
	for d := range 9 {
		for i := range map[bool]int{true: 333, false: 3}[d == 0] {
			s.listVM(fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d))
		}
	}
	for i, vm := range s.vmList {
		s.startVM(vm.Vm, vm.FailureDomain, uint64(i+1))
	}
	s.makeAllKnown()
	requireWithinBudget(t, "333 VMs in one of 9 failure domains", s, 9, 2*time.Second)
	oldest := time.Duration(0)
	for _, name := range s.names {
		oldest = max(oldest, s.vms[name].machine.configurationAge())
	}
	leaving := s.vms["vm-0-100"]
	s.deliver(leaving, &pb.ControlEvent{Kind: &pb.ControlEvent_Leave{Leave: &pb.LeaveRequested{}}}, nil)
	left := s.timeUntilAgreement(t, "vm-0-100", pb.MemberState_MEMBER_STATE_LEAVING)
	s.kill("vm-0-200")
	died := s.timeUntilAgreement(t, "vm-0-200", pb.MemberState_MEMBER_STATE_DEAD)
	s.startVM("vm-0-200", "domain-0", 5000)
	joined := s.timeUntilAgreement(t, "vm-0-200", pb.MemberState_MEMBER_STATE_ALIVE)
	t.Logf("333 VMs: oldest confirmation %v; known to all VMs of the failure domain: a leave after %v, a death after %v, a join after %v", oldest, left, died, joined)
	require.Less(t, joined, leaving.machine.config.guard, "a VM that joins must be known before it dispatches")
	for _, name := range s.names {
		require.Zero(t, s.vms[name].machine.table.Stats().Refuted, "no suspicion was false")
	}
}

// timeUntilAgreement runs until all other VMs of the first failure domain see a VM in the given state, and
// returns how long that took.
func (s *simulation) timeUntilAgreement(t *testing.T, vm string, state pb.MemberState) time.Duration {
	t.Helper()
	start := s.now
	for s.now-start < 20*time.Second {
		s.run(50 * time.Millisecond)
		agreed := true
		for _, name := range s.names {
			if other := s.vms[name]; other.up && name != vm && other.domain == "domain-0" {
				agreed = agreed && other.machine.table.State(vm) == state
			}
		}
		if agreed {
			return s.now - start
		}
	}
	require.Fail(t, "VMs do not agree in time", "%s should be %v", vm, state)
	return 0
}

// makeAllKnown makes all VMs known to one another and drains the pending member updates, as in a deployment
// that has been running for a long time.
func (s *simulation) makeAllKnown() {
	for _, name := range s.names {
		table := s.vms[name].machine.table
		for _, other := range s.names {
			if other != name {
				table.Receive(s.vms[other].header.Self, nil, simulationStart)
			}
		}
		for len(table.Updates("")) > 0 {
			continue
		}
	}
}

// With 2 % of the heartbeats lost for a minute, false suspicions may occur but no VM is declared dead.
func TestLostHeartbeatsCauseNoFalseDeaths(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}} {
		s := newDeployment(size.domains, size.perDomain)
		random := rand.New(rand.NewPCG(1, 1))
		s.dropHeartbeat = func() bool { return random.IntN(50) == 0 }
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

// If every VM watches the store, which is the baseline, the store calls grow with the number of VMs. With a
// fixed number of watchers per failure domain, they must grow only with the number of failure domains.
func TestStoreCallsScaleWithFailureDomains(t *testing.T) {
	storeCallsPerSecond := func(domains, perDomain int, watchers uint32) float64 {
		s := newSimulation()
		for d := range domains {
			for i := range perDomain {
				s.listVM(fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d))
			}
		}
		for i, vm := range s.vmList {
			s.startVM(vm.Vm, vm.FailureDomain, uint64(i+1)).machine.config.watchers = int(watchers)
		}
		s.write(manyFronts(domains, 1))
		s.run(5 * time.Second)
		s.calls = 0
		s.run(15 * time.Second)
		return float64(s.calls) / 15
	}
	for _, size := range []struct{ domains, perDomain int }{{3, 3}, {3, 10}, {9, 10}} {
		withWatchers := storeCallsPerSecond(size.domains, size.perDomain, 2)
		withAllWatching := storeCallsPerSecond(size.domains, size.perDomain, 1000)
		vms := size.domains * size.perDomain
		t.Logf("%d VMs: platform calls/s %.1f with 2 watchers per failure domain, %.1f with each VM watching", vms, withWatchers, withAllWatching)
		listReads := float64(vms) / 60
		require.LessOrEqual(t, withWatchers, float64(size.domains)*2*(4+0.2)+listReads)
		require.Less(t, 9*2*(4+0.2)+3000.0/60, float64(storeReadCapacity), "at 3,000 VMs")
	}
}

// startSeeded starts VMs with the settings of the users' deployments: they find each other by seeds, and the
// watchers may wait for 2 s.
func startSeeded(domains, perDomain int) *simulation {
	s := newSimulation()
	const seed = "10.0.0.1:vm-0-000"
	for d := range domains {
		for i := range perDomain {
			name, domain := fmt.Sprintf("vm-%d-%03d", d, i), fmt.Sprintf("domain-%d", d)
			s.listVM(name, domain)
			machine := s.startVM(name, domain, uint64(len(s.vmList))).machine
			machine.config.watchWait, machine.config.listInterval = 2*time.Second, 30*time.Second
			machine.config.seeds = []string{seed}
		}
	}
	return s
}

// Starts, health and configurations of targets change the store many times a second on a large deployment
// (the impairments release and config_storm). Each watcher reads it less than once a second, and together they
// keep all VMs current.
func TestWatchersShareTheReadingOfAStoreThatChangesOften(t *testing.T) {
	const domains, perDomain = 6, 4
	s := startSeeded(domains, perDomain)
	s.write(manyFronts(domains, 1))
	s.run(5 * time.Second)
	s.calls = 0
	written := map[uint64]time.Duration{}
	for range 150 {
		written[s.write(manyFronts(domains, 1)).Revision] = s.now
		s.run(100 * time.Millisecond)
	}
	const watchers = 2 * domains
	require.Less(t, float64(s.calls)/15, float64(watchers))
	for _, name := range s.names {
		last := time.Duration(0)
		for revision, adopted := range s.vms[name].adoptedAt {
			if at, ok := written[revision]; ok {
				last = max(last, adopted-at)
			}
		}
		require.Less(t, last, time.Second, name)
	}
}

// A failure domain that is cut off from the others has its own watchers.
func TestDomainThatIsCutOffReadsTheStoreItself(t *testing.T) {
	s := startSeeded(6, 4)
	s.write(manyFronts(6, 1))
	s.run(5 * time.Second)
	s.partitioned = func(a, b string) bool {
		return (a == "domain-0") != (b == "domain-0") && a != "platform" && b != "platform"
	}
	for range 50 {
		written := s.write(manyFronts(6, 1)).Revision
		at := s.now
		s.run(2500 * time.Millisecond)
		for _, name := range s.names {
			require.GreaterOrEqual(t, s.vms[name].machine.revision(), written, "%s, %s after the write", name, s.now-at)
		}
	}
}

// Most VMs need no list of the others at their start: a seed names them.
func TestVMsThatFindASeedDoNotReadTheList(t *testing.T) {
	const vms = 24
	s := startSeeded(6, 4)
	s.run(5 * time.Second)
	listReads := s.listReads
	require.LessOrEqual(t, listReads, vms/4)
}
