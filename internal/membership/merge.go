package membership

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// rank orders the states of a VM with the same incarnation and refutation number: the state with the higher
// rank wins. LEAVING ranks above SUSPECT, because a suspected VM may own targets: a leaving VM that falls
// silent must not regain its targets by becoming suspected.
func rank(state pb.MemberState) int {
	switch state {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		return 1
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		return 2
	case pb.MemberState_MEMBER_STATE_LEAVING:
		return 3
	case pb.MemberState_MEMBER_STATE_DEAD:
		return 4
	default:
		return 0
	}
}

// supersedes reports whether an update of a VM is newer than its known state.
func supersedes(update, known *pb.Member) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	if update.Refutation != known.Refutation {
		return update.Refutation > known.Refutation
	}
	return rank(update.State) > rank(known.State)
}

// Receive merges the sender of a heartbeat or response and the member updates that it carried. If there
// are more of them than one call of Updates returns, they are a full table or a chunk of one. Other VMs
// already know these members, so they are not gossiped further.
func (t *Table) Receive(sender *pb.Member, updates []*pb.Member, now time.Time) {
	t.merge(sender, now)
	t.suppressUpdates = len(updates) > t.settings.UpdatesPerMessage+1
	for _, m := range updates {
		t.merge(m, now)
	}
	t.suppressUpdates = false
	if e, ok := t.entries[sender.GetVm()]; ok && e.member.Incarnation == sender.GetIncarnation() {
		e.heardAt = now
	}
}

// ReceiveResponse processes the response to a heartbeat of this VM. vm is the VM that the heartbeat was
// addressed to, or empty for a seed address.
func (t *Table) ReceiveResponse(vm string, responder *pb.Member, updates []*pb.Member, now time.Time) {
	t.Receive(responder, updates, now)
	if vm != "" && vm != responder.GetVm() {
		return
	}
	failureDomain := responder.GetFailureDomain()
	if failureDomain == t.self.FailureDomain {
		return
	}
	d := t.reachabilityOf(failureDomain, now)
	d.answeredAt = now
	d.failures = 0
	if d.unreachable {
		d.unreachable = false
		t.indexStale = true
		t.version++
	}
}

// HeartbeatFailed records the failure of a heartbeat of this VM to vm.
func (t *Table) HeartbeatFailed(vm string, now time.Time) {
	failureDomain := t.FailureDomain(vm)
	if failureDomain == "" || failureDomain == t.self.FailureDomain {
		return
	}
	d := t.reachabilityOf(failureDomain, now)
	d.failures++
	silent := now.Sub(d.answeredAt) > t.settings.SuspectAfter
	if d.failures >= unreachableFailures && silent && !d.unreachable {
		d.unreachable = true
		t.indexStale = true
		t.version++
	}
}

// unreachableFailures is the number of consecutive failed heartbeats to a failure domain before it counts
// as unreachable.
const unreachableFailures = 3

func (t *Table) reachabilityOf(name string, now time.Time) *reachability {
	d, ok := t.reachability[name]
	if !ok {
		d = &reachability{answeredAt: now}
		t.reachability[name] = d
	}
	return d
}

// merge merges one member update. A malformed update is ignored.
func (t *Table) merge(m *pb.Member, now time.Time) {
	if m.GetVm() == "" || m.GetFailureDomain() == "" || m.GetIncarnation() == 0 || rank(m.GetState()) == 0 {
		return
	}
	if m.Vm == t.self.Vm {
		t.mergeSelf(m)
		return
	}
	known, ok := t.entries[m.Vm]
	if !ok {
		t.add(m, now)
		return
	}
	if supersedes(m, known.member) {
		t.update(known, m, now)
	}
}

// mergeSelf refutes an update that declares this VM suspected or dead.
func (t *Table) mergeSelf(m *pb.Member) {
	if m.Incarnation != t.self.Incarnation || m.Refutation < t.self.Refutation {
		return
	}
	if m.State == pb.MemberState_MEMBER_STATE_DEAD {
		t.declaredDead = true
	}
	if m.Refutation == t.self.Refutation && rank(m.State) <= rank(t.self.State) {
		return
	}
	t.stats.OwnRefutations++
	t.setSelf(m.Refutation+1, t.self.State)
}

func (t *Table) add(m *pb.Member, now time.Time) {
	if m.State == pb.MemberState_MEMBER_STATE_DEAD {
		return
	}
	t.entries[m.Vm] = &entry{member: clone(m), heardAt: now, changedAt: now}
	t.digest ^= memberDigest(m)
	t.recordChange(m.Vm)
}

func (t *Table) update(known *entry, m *pb.Member, now time.Time) {
	previous := known.member
	restarted := previous.Incarnation != m.Incarnation
	if !restarted && m.State == pb.MemberState_MEMBER_STATE_ALIVE && rank(previous.State) > rank(m.State) {
		t.stats.Refuted++
	}
	t.digest ^= memberDigest(previous)
	known.member = clone(m)
	t.digest ^= memberDigest(m)
	known.changedAt = now
	if restarted || rank(previous.State) >= rank(pb.MemberState_MEMBER_STATE_DEAD) {
		known.heardAt = now
		known.monitored = false
	}
	t.recordChange(m.Vm)
}

// MergeList merges the platform's VM list. The list introduces new VMs and keeps dead VMs from being
// reaped. It never decides which VMs are alive, because it lags behind.
func (t *Table) MergeList(vms []*pb.ListedVm, now time.Time) {
	for _, e := range t.entries {
		e.listed = false
		e.listedLeaving = false
	}
	for _, vm := range vms {
		if vm.GetVm() == "" || vm.GetVm() == t.self.Vm || vm.GetFailureDomain() == "" {
			continue
		}
		e, ok := t.entries[vm.Vm]
		if !ok {
			e = &entry{member: listedMember(vm), heardAt: now, changedAt: now}
			t.entries[vm.Vm] = e
			t.version++
			t.indexStale = true
		}
		e.listed = true
		e.listedLeaving = vm.State == pb.VmState_VM_STATE_LEAVING
	}
}

// listedMember returns the member for a VM known only from the platform's list. Its incarnation is zero.
func listedMember(vm *pb.ListedVm) *pb.Member {
	return &pb.Member{
		Vm:            vm.Vm,
		FailureDomain: vm.FailureDomain,
		PeerAddress:   vm.PeerAddress,
		State:         pb.MemberState_MEMBER_STATE_ALIVE,
	}
}
