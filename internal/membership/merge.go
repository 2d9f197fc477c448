package membership

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// rank orders the states of one incarnation and refutation: the higher one
// holds. A leaving VM that is silent must not count as merely suspected, since
// suspected VMs keep their targets.
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

// supersedes reports whether news of a VM is newer than what is known.
func supersedes(news, known *pb.Member) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	if news.Refutation != known.Refutation {
		return news.Refutation > known.Refutation
	}
	return rank(news.State) > rank(known.State)
}

// Heard takes the sender of a heartbeat or of an answer, with the news it
// carried. More members than news may have are a table, or a part of one, which
// other VMs know already: it is not passed on.
func (t *Table) Heard(sender *pb.Member, news []*pb.Member, now time.Time) {
	t.merge(sender, now)
	t.quiet = len(news) > t.settings.NewsPerMessage+1
	for _, m := range news {
		t.merge(m, now)
	}
	t.quiet = false
	if e, ok := t.entries[sender.GetVm()]; ok && e.member.Incarnation == sender.GetIncarnation() {
		e.heardAt = now
	}
}

// Answered takes the answer to a heartbeat of this VM. VM is the name that the
// heartbeat was meant for, empty for a seed address.
func (t *Table) Answered(vm string, responder *pb.Member, news []*pb.Member, now time.Time) {
	t.Heard(responder, news, now)
	if vm != "" && vm != responder.GetVm() {
		return
	}
	failureDomain := responder.GetFailureDomain()
	if failureDomain == t.self.FailureDomain {
		return
	}
	d := t.domain(failureDomain, now)
	d.answeredAt = now
	d.failures = 0
	if d.unreachable {
		d.unreachable = false
		t.indexStale = true
		t.version++
	}
}

// Failed takes the failure of a heartbeat of this VM.
func (t *Table) Failed(vm string, now time.Time) {
	failureDomain := t.FailureDomain(vm)
	if failureDomain == "" || failureDomain == t.self.FailureDomain {
		return
	}
	d := t.domain(failureDomain, now)
	d.failures++
	silent := now.Sub(d.answeredAt) > t.settings.SuspectAfter
	if d.failures >= unreachableFailures && silent && !d.unreachable {
		d.unreachable = true
		t.indexStale = true
		t.version++
	}
}

// unreachableFailures is the number of heartbeats to a failure domain that must
// fail one after another before it counts as unreachable.
const unreachableFailures = 3

func (t *Table) domain(name string, now time.Time) *domain {
	d, ok := t.domains[name]
	if !ok {
		d = &domain{answeredAt: now}
		t.domains[name] = d
	}
	return d
}

// merge takes one piece of news; malformed news changes nothing.
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
		t.learn(m, now)
		return
	}
	if supersedes(m, known.member) {
		t.replace(known, m, now)
	}
}

// mergeSelf refutes news that this VM is suspected or dead.
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

func (t *Table) learn(m *pb.Member, now time.Time) {
	if m.State == pb.MemberState_MEMBER_STATE_DEAD {
		return
	}
	t.entries[m.Vm] = &entry{member: clone(m), heardAt: now, changedAt: now}
	t.digest ^= memberDigest(m)
	t.changed(m.Vm)
}

func (t *Table) replace(known *entry, m *pb.Member, now time.Time) {
	was := known.member
	restarted := was.Incarnation != m.Incarnation
	if !restarted && m.State == pb.MemberState_MEMBER_STATE_ALIVE && rank(was.State) > rank(m.State) {
		t.stats.Refuted++
	}
	t.digest ^= memberDigest(was)
	known.member = clone(m)
	t.digest ^= memberDigest(m)
	known.changedAt = now
	if restarted || rank(was.State) >= rank(pb.MemberState_MEMBER_STATE_DEAD) {
		known.heardAt = now
		known.monitored = false
	}
	t.changed(m.Vm)
}

// List takes the platform's list. The list introduces VMs and keeps dead ones
// from being forgotten; it never decides who is alive, because it lags.
func (t *Table) List(vms []*pb.ListedVm, now time.Time) {
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

// listedMember is a VM that nobody was heard of yet: its incarnation is zero.
func listedMember(vm *pb.ListedVm) *pb.Member {
	return &pb.Member{
		Vm:            vm.Vm,
		FailureDomain: vm.FailureDomain,
		PeerAddress:   vm.PeerAddress,
		State:         pb.MemberState_MEMBER_STATE_ALIVE,
	}
}
