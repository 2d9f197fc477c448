// Package membership implements the membership protocol of a deployment, which decides which VMs are alive,
// as a pure state machine.
//
// Within a failure domain, each VM sends heartbeats to a few neighbours on a ring and to one random VM. A
// silent VM becomes suspected, and dead if it does not refute the suspicion. Only VMs of the same failure
// domain decide on the state of a VM. For other failure domains, a VM only tracks whether any member
// answers: while none does, all members are reported as suspected, and with the first answer they are
// reported as before. Member updates are piggybacked on heartbeats.
//
// A Table is not safe for concurrent use and never reads the clock: the caller passes the time, which must
// not run backwards.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Settings configures a Table.
type Settings struct {
	// HeartbeatInterval is the time between two heartbeat rounds.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a monitored VM becomes suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time after which a suspected VM is declared dead.
	DeadAfter time.Duration
	// ReapAfter is the time after which a dead VM is removed from the table.
	ReapAfter time.Duration
	// Monitored is the number of ring neighbours that get a heartbeat in each round.
	Monitored int
	// UpdatesPerMessage limits the number of member updates piggybacked on one heartbeat.
	UpdatesPerMessage int
}

// Contact is the recipient of a heartbeat.
type Contact struct {
	VM      string
	Address string
}

// Stats counts events since the start.
type Stats struct {
	// Suspicions counts the suspicions that this VM raised, and Deaths the VMs that it declared dead.
	Suspicions uint64
	Deaths     uint64
	// Refuted counts the suspicions and deaths of other VMs that this VM later learned to be false.
	Refuted uint64
	// OwnRefutations counts how often this VM refuted an update about itself.
	OwnRefutations uint64
	// TableTransfers counts the full tables and chunks sent.
	TableTransfers uint64
}

type entry struct {
	member *pb.Member
	// listed is true if the VM is in the platform's list.
	listed bool
	// listedLeaving is true if the list shows the VM as leaving.
	listedLeaving bool
	// heardAt is when the VM last sent or answered a heartbeat, or when monitoring of it started.
	heardAt time.Time
	// changedAt is when a change of the member's state was last recorded in this table.
	changedAt time.Time
	monitored bool
}

// reachability tracks whether another failure domain answers heartbeats of this VM.
type reachability struct {
	answeredAt  time.Time
	failures    int
	unreachable bool
}

// index holds the VMs in the groups and order that contacts are chosen from.
type index struct {
	// ring holds the other VMs of this VM's failure domain that are not dead, in ring order after this VM;
	// dead holds the dead ones.
	ring []string
	dead []string
	// ownerCandidates holds the VMs of this VM's failure domain that may own targets, including this one, in
	// ascending order.
	ownerCandidates []string
	// remote holds the VMs of the other failure domains that are not dead, by domain.
	remote []remoteDomain
	// expirable holds the VMs whose entry can change by a timeout alone.
	expirable []string
}

type remoteDomain struct {
	name string
	vms  []string
}

// Table holds the membership state of all VMs as known to one VM.
type Table struct {
	settings     Settings
	self         *pb.Member
	entries      map[string]*entry
	reachability map[string]*reachability
	// transmissions counts how often the update of each VM was sent; updateQueue holds the same VMs in
	// sending order.
	transmissions map[string]int
	updateQueue   []string
	// suppressUpdates is true while members are merged that must not be gossiped further.
	suppressUpdates bool
	random          *rand.Rand
	// index is derived from the entries and rebuilt after they change.
	index      index
	indexStale bool
	nextRound  time.Time
	// remoteProbes is the number of other failure domains that get a heartbeat in each round. remoteCursor
	// is the round-robin position among them.
	remoteProbes int
	remoteCursor int
	// chunkAfter is the VM name after which the next chunk starts.
	chunkAfter string
	digest     uint64
	version    uint64
	// declaredDead is true if another VM declared this one dead since the last call of TakeDeclaredDead.
	declaredDead bool
	stats        Stats
}

// New returns a Table that contains only self, as alive.
func New(settings Settings, self *pb.Member, seed uint64, now time.Time) *Table {
	t := &Table{
		settings:      settings,
		self:          clone(self),
		entries:       map[string]*entry{},
		reachability:  map[string]*reachability{},
		transmissions: map[string]int{},
		random:        rand.New(rand.NewPCG(seed, seed)),
		indexStale:    true,
		nextRound:     now,
		remoteProbes:  1,
		version:       1,
	}
	t.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	t.digest = memberDigest(t.self)
	t.enqueueUpdate(t.self.Vm)
	return t
}

// Self returns this VM's own member entry.
func (t *Table) Self() *pb.Member { return clone(t.self) }

// Version returns a number that changes whenever the result of Members may have changed.
func (t *Table) Version() uint64 { return t.version }

// Stats returns the counters.
func (t *Table) Stats() Stats { return t.stats }

// TakeDeclaredDead reports whether another VM has declared this one dead since the last call, so that its
// targets may have been taken over.
func (t *Table) TakeDeclaredDead() bool {
	declared := t.declaredDead
	t.declaredDead = false
	return declared
}

// Members returns all members, including this VM, sorted by name. Members of unreachable failure domains
// are reported as suspected. VMs known only from the platform's list are left out.
func (t *Table) Members() []*pb.Member {
	members := []*pb.Member{clone(t.self)}
	for _, e := range t.entries {
		if e.member.Incarnation == 0 {
			continue
		}
		reported := clone(e.member)
		if reported.State == pb.MemberState_MEMBER_STATE_ALIVE && !t.Reachable(reported.FailureDomain) {
			reported.State = pb.MemberState_MEMBER_STATE_SUSPECT
		}
		members = append(members, reported)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Vm < members[j].Vm })
	return members
}

// Reachable reports whether members of a failure domain answer heartbeats of this VM.
func (t *Table) Reachable(failureDomain string) bool {
	d, ok := t.reachability[failureDomain]
	return !ok || !d.unreachable
}

// Address returns the peer address of another VM, or "" if the VM is unknown.
func (t *Table) Address(vm string) string {
	if e, ok := t.entries[vm]; ok {
		return e.member.PeerAddress
	}
	return ""
}

// State returns the known state of another VM, or MEMBER_STATE_UNSPECIFIED if the VM is unknown.
func (t *Table) State(vm string) pb.MemberState {
	if e, ok := t.entries[vm]; ok {
		return e.member.State
	}
	return pb.MemberState_MEMBER_STATE_UNSPECIFIED
}

// FailureDomain returns the failure domain of a VM, or "" if the VM is unknown.
func (t *Table) FailureDomain(vm string) string {
	if vm == t.self.Vm {
		return t.self.FailureDomain
	}
	if e, ok := t.entries[vm]; ok {
		return e.member.FailureDomain
	}
	return ""
}

// HasLivePeer reports whether another VM that is not dead exists in this VM's or a reachable failure domain,
// and whether one exists in this VM's failure domain. VMs known only from the platform's list count.
func (t *Table) HasLivePeer() (anywhere, ownDomain bool) {
	t.ensureIndex()
	if len(t.index.ring) > 0 {
		return true, true
	}
	for _, remote := range t.index.remote {
		if t.Reachable(remote.name) {
			return true, false
		}
	}
	return false, false
}

// Leave marks this VM as leaving.
func (t *Table) Leave(time.Time) {
	if t.self.State == pb.MemberState_MEMBER_STATE_LEAVING {
		return
	}
	t.setSelf(t.self.Refutation+1, pb.MemberState_MEMBER_STATE_LEAVING)
}

// Resume restarts the silence timeouts of all other VMs after this VM did not run for some time.
func (t *Table) Resume(now time.Time) {
	for _, e := range t.entries {
		e.heardAt = now
		if e.member.State == pb.MemberState_MEMBER_STATE_SUSPECT {
			e.changedAt = now
		}
	}
	for _, d := range t.reachability {
		d.answeredAt = now
		d.failures = 0
	}
	t.nextRound = now
}

func (t *Table) setSelf(refutation uint64, state pb.MemberState) {
	t.digest ^= memberDigest(t.self)
	t.self.Refutation = refutation
	t.self.State = state
	t.digest ^= memberDigest(t.self)
	t.recordChange(t.self.Vm)
}

// recordChange marks derived state as stale and, unless updates are suppressed, queues the change of the VM
// for gossip. Changes of this VM itself are always queued.
func (t *Table) recordChange(vm string) {
	t.version++
	t.indexStale = true
	if !t.suppressUpdates || vm == t.self.Vm {
		t.enqueueUpdate(vm)
	}
}

func clone(m *pb.Member) *pb.Member {
	copied, _ := proto.Clone(m).(*pb.Member)
	return copied
}
