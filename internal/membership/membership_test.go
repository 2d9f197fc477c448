package membership_test

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/membership"
)

const (
	alive   = pb.MemberState_MEMBER_STATE_ALIVE
	suspect = pb.MemberState_MEMBER_STATE_SUSPECT
	leaving = pb.MemberState_MEMBER_STATE_LEAVING
	dead    = pb.MemberState_MEMBER_STATE_DEAD
)

var (
	settings = membership.Settings{
		HeartbeatInterval: 300 * time.Millisecond,
		SuspectAfter:      time.Second,
		DeadAfter:         time.Second,
		ReapAfter:         5 * time.Minute,
		Monitored:         3,
		UpdatesPerMessage: 8,
	}
	startTime = time.Unix(1_800_000_000, 0)
)

func member(vm, domain string) *pb.Member {
	return &pb.Member{Vm: vm, FailureDomain: domain, PeerAddress: vm, Incarnation: 1, State: alive}
}

func stateOf(table *membership.Table, vm string) pb.MemberState {
	for _, m := range table.Members() {
		if m.Vm == vm {
			return m.State
		}
	}
	return pb.MemberState_MEMBER_STATE_UNSPECIFIED
}

// cluster connects tables by heartbeats that take no time and may be lost.
type cluster struct {
	tables map[string]*membership.Table
	domain map[string]string
	names  []string
	now    time.Time
	lost   func(from, to string) bool
	frozen map[string]bool
	// digestMismatches counts the consecutive exchanges of a VM with a failure domain in which the digests
	// differed.
	digestMismatches map[string]int
}

func newCluster(domains, perDomain int) *cluster {
	c := &cluster{tables: map[string]*membership.Table{}, domain: map[string]string{}, now: startTime, frozen: map[string]bool{}, digestMismatches: map[string]int{}}
	c.lost = func(string, string) bool { return false }
	for d := range domains {
		for i := range perDomain {
			c.start(fmt.Sprintf("vm-%d-%d", d, i), fmt.Sprintf("d%d", d), 1)
		}
	}
	for _, to := range c.names {
		for _, from := range c.names {
			if from != to {
				c.tables[to].Receive(c.tables[from].Self(), nil, c.now)
			}
		}
	}
	return c
}

func (c *cluster) start(vm, domain string, incarnation uint64) {
	m := member(vm, domain)
	m.Incarnation = incarnation
	if c.tables[vm] == nil {
		c.names = append(c.names, vm)
	}
	c.tables[vm] = membership.New(settings, m, uint64(len(c.names))+incarnation, c.now)
	c.domain[vm] = domain
}

func (c *cluster) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, vm := range c.names {
			if c.frozen[vm] {
				continue
			}
			for _, contact := range c.tables[vm].Tick(c.now) {
				c.heartbeat(vm, contact.VM)
			}
		}
	}
}

func (c *cluster) heartbeat(from, to string) {
	a, b := c.tables[from], c.tables[to]
	if b == nil || c.frozen[to] || c.lost(from, to) {
		a.HeartbeatFailed(to, c.now)
		return
	}
	b.Receive(a.Self(), a.Updates(to), c.now)
	responder, updates := b.Self(), b.Updates(from)
	if c.lost(to, from) {
		a.HeartbeatFailed(to, c.now)
		return
	}
	a.ReceiveResponse(to, responder, updates, c.now)
	// As in package control, a lasting digest mismatch is repaired by chunks of the table.
	pair := from + c.domain[to]
	if a.Digest() == b.Digest() {
		c.digestMismatches[pair] = 0
	} else if c.digestMismatches[pair]++; c.digestMismatches[pair] > 8 {
		a.ReceiveResponse(to, responder, b.Chunk(64), c.now)
	}
}

func (c *cluster) requireStates(t require.TestingT, vm string, want pb.MemberState) {
	for _, from := range c.names {
		if from != vm && !c.frozen[from] {
			require.Equal(t, want.String(), stateOf(c.tables[from], vm).String(), "%s as seen by %s", vm, from)
		}
	}
}

func TestSilentVMIsSuspectedThenDeadAndReaped(t *testing.T) {
	c := newCluster(1, 5)
	c.run(time.Second)
	c.frozen["vm-0-1"] = true
	c.run(800 * time.Millisecond)
	c.requireStates(t, "vm-0-1", alive)
	c.run(900 * time.Millisecond)
	c.requireStates(t, "vm-0-1", suspect)
	c.run(1500 * time.Millisecond)
	c.requireStates(t, "vm-0-1", dead)
	c.run(settings.ReapAfter + time.Second)
	c.requireStates(t, "vm-0-1", pb.MemberState_MEMBER_STATE_UNSPECIFIED)
}

func TestSuspectedOrDeadVMRefutesAndBecomesAlive(t *testing.T) {
	for _, silence := range []time.Duration{1500 * time.Millisecond, 10 * time.Second} {
		c := newCluster(1, 5)
		c.run(time.Second)
		c.frozen["vm-0-1"] = true
		c.run(silence)
		c.frozen["vm-0-1"] = false
		c.tables["vm-0-1"].Resume(c.now)
		c.run(2 * time.Second)
		c.requireStates(t, "vm-0-1", alive)
		require.Equal(t, silence > 5*time.Second, c.tables["vm-0-1"].TakeDeclaredDead())
		require.Positive(t, c.tables["vm-0-1"].Stats().OwnRefutations)
		for _, vm := range c.names {
			if vm != "vm-0-1" {
				c.requireStates(t, vm, alive)
			}
		}
	}
}

func TestRestartedVMReplacesItsOldIncarnation(t *testing.T) {
	c := newCluster(1, 4)
	c.run(time.Second)
	c.tables["vm-0-0"].Leave(c.now)
	c.run(time.Second)
	c.requireStates(t, "vm-0-0", leaving)
	c.start("vm-0-0", "d0", 2)
	c.tables["vm-0-0"].MergeList([]*pb.ListedVm{{Vm: "vm-0-1", FailureDomain: "d0", PeerAddress: "vm-0-1"}}, c.now)
	c.run(2 * time.Second)
	c.requireStates(t, "vm-0-0", alive)
	outdated := member("vm-0-0", "d0")
	outdated.Refutation, outdated.State = 9, dead
	c.tables["vm-0-2"].Receive(member("vm-0-1", "d0"), []*pb.Member{outdated}, c.now)
	c.requireStates(t, "vm-0-0", alive)
}

func TestLeavingVMIsNeverSuspected(t *testing.T) {
	c := newCluster(1, 4)
	c.run(time.Second)
	c.tables["vm-0-0"].Leave(c.now)
	c.run(time.Second)
	c.frozen["vm-0-0"] = true
	for range 40 {
		c.run(100 * time.Millisecond)
		require.NotEqual(t, suspect, stateOf(c.tables["vm-0-1"], "vm-0-0"))
	}
	c.requireStates(t, "vm-0-0", dead)
}

func TestUnreachableFailureDomainIsSuspectedUntilItAnswers(t *testing.T) {
	c := newCluster(3, 3)
	c.run(2 * time.Second)
	c.lost = func(from, to string) bool { return (c.domain[from] == "d1") != (c.domain[to] == "d1") }
	c.run(time.Minute)
	for _, from := range []string{"vm-0-0", "vm-2-2"} {
		require.Equal(t, suspect, stateOf(c.tables[from], "vm-1-1"))
		require.Equal(t, alive, stateOf(c.tables[from], "vm-0-1"))
	}
	require.Equal(t, alive, stateOf(c.tables["vm-1-0"], "vm-1-1"))
	c.lost = func(string, string) bool { return false }
	c.run(700 * time.Millisecond)
	for _, vm := range c.names {
		c.requireStates(t, vm, alive)
		require.Zero(t, c.tables[vm].Stats().OwnRefutations, "no refutation is needed after a partition ends")
	}
}

// Guards against late detection: the only VM of a failure domain was reported as alive for more than two
// seconds after it was gone.
func TestFailedFailureDomainIsSuspectedInTime(t *testing.T) {
	for _, domains := range []int{3, 9} {
		c := newCluster(domains, 1)
		c.run(2 * time.Second)
		c.frozen["vm-2-0"] = true
		probeCycle := time.Duration(domains-1) * settings.HeartbeatInterval
		c.run(probeCycle + settings.SuspectAfter)
		c.requireStates(t, "vm-2-0", suspect)
	}
}

func TestListIntroducesVMsWithoutChangingStates(t *testing.T) {
	table := membership.New(settings, member("a", "d0"), 1, startTime)
	listed := []*pb.ListedVm{
		{Vm: "a", FailureDomain: "d0", PeerAddress: "a", State: pb.VmState_VM_STATE_LEAVING},
		{Vm: "b", FailureDomain: "d0", PeerAddress: "b", State: pb.VmState_VM_STATE_LIVE},
	}
	table.MergeList(listed, startTime)
	require.Equal(t, alive, table.Self().State)
	require.Len(t, table.Members(), 1, "a VM known only from the list must not be a member")
	require.Equal(t, []membership.Contact{{VM: "b", Address: "b"}}, table.Tick(startTime))
	table.Receive(member("b", "d0"), nil, startTime)
	require.Equal(t, []string{"a", "b"}, table.OwnerCandidates())
	table.MergeList(nil, startTime)
	require.Equal(t, alive, stateOf(table, "b"), "the list lags behind and must not remove a VM")
	listed[1].State = pb.VmState_VM_STATE_LEAVING
	table.MergeList(listed, startTime)
	require.Equal(t, alive, stateOf(table, "b"))
}

func TestMalformedUpdatesAreIgnored(t *testing.T) {
	table := membership.New(settings, member("a", "d0"), 1, startTime)
	version := table.Version()
	for _, m := range []*pb.Member{nil, {}, {Vm: "b"}, {Vm: "b", FailureDomain: "d0"}, {Vm: "b", FailureDomain: "d0", Incarnation: 1}, {Vm: "b", FailureDomain: "d0", Incarnation: 1, State: 77}} {
		table.Receive(m, []*pb.Member{m}, startTime)
		table.ReceiveResponse("x", m, nil, startTime)
	}
	require.Equal(t, version, table.Version())
}

// After random losses, freezes and partitions have ended, all VMs must agree that all are alive, and their
// digests must match.
func TestMembershipConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(2, 5).Draw(t, "vms"))
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			faulty := rapid.SampledFrom(c.names).Draw(t, "vm")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				c.frozen[faulty] = true
			case 1:
				c.lost = func(from, to string) bool {
					return c.domain[from] == c.domain[faulty] && c.domain[to] != c.domain[faulty]
				}
			case 2:
				c.lost = func(_, to string) bool { return to == faulty }
			}
			c.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
			if c.frozen[faulty] {
				c.frozen[faulty] = false
				c.tables[faulty].Resume(c.now)
			}
			if rapid.Bool().Draw(t, "heal") {
				c.lost = func(string, string) bool { return false }
			}
		}
		c.lost = func(string, string) bool { return false }
		c.run(15 * time.Second)
		for _, vm := range c.names {
			c.requireStates(t, vm, alive)
			require.Equal(t, c.tables[c.names[0]].Digest(), c.tables[vm].Digest())
		}
	})
}

// The result of merging member updates must not depend on their order.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *pb.Member {
			m := member("b", "d1")
			m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			m.Refutation = rapid.Uint64Range(0, 2).Draw(t, "refutation")
			m.State = rapid.SampledFrom([]pb.MemberState{alive, suspect, leaving, dead}).Draw(t, "state")
			return m
		}), 1, 8).Draw(t, "news")
		first := membership.New(settings, member("a", "d0"), 1, startTime)
		second := membership.New(settings, member("a", "d0"), 1, startTime)
		known := member("b", "d1")
		first.Receive(known, updates, startTime)
		shuffled := rapid.Permutation(updates).Draw(t, "order")
		second.Receive(known, shuffled, startTime)
		require.Equal(t, first.Digest(), second.Digest())
		require.Equal(t, stateOf(first, "b"), stateOf(second, "b"))
	})
}
