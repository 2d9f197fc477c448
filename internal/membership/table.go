// Package membership is the pure state machine that decides which VMs of the
// deployment are alive.
//
// Inside a failure domain each VM sends heartbeats to a few neighbours on a
// ring and to one random VM; silence makes a VM suspected, and a suspicion that
// the VM does not refute makes it dead. Only VMs of a failure domain judge its
// members. Towards other failure domains a VM only judges whether any member
// answers: while none does, they are all shown as suspected, and are shown as
// before as soon as one answers. News is piggybacked on heartbeats.
//
// A Table is not safe for concurrent use and never reads a clock: the caller
// passes the time, which must not run backwards.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Settings are the intervals and bounds of a Table.
type Settings struct {
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a monitored VM is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspicion stands before the VM counts as dead.
	DeadAfter time.Duration
	// ForgetAfter is how long a dead VM is remembered.
	ForgetAfter time.Duration
	// Monitored is the number of ring neighbours that get heartbeats.
	Monitored int
	// NewsPerMessage bounds the members that one heartbeat carries as news.
	NewsPerMessage int
}

// Contact is a VM that shall get a heartbeat.
type Contact struct {
	VM      string
	Address string
}

// Stats counts what happened since the start.
type Stats struct {
	// Suspicions counts the suspicions that this VM raised, Deaths the VMs that
	// it declared dead.
	Suspicions uint64
	Deaths     uint64
	// Refuted counts the suspicions and deaths of other VMs that turned out
	// false, as far as this VM learned of them.
	Refuted uint64
	// OwnRefutations counts how often this VM refuted news of itself.
	OwnRefutations uint64
	// Exchanges counts the whole tables sent.
	Exchanges uint64
}

type entry struct {
	member *pb.Member
	// listed is true while the platform's list names the VM.
	listed bool
	// listedLeaving is true while the list shows it as leaving.
	listedLeaving bool
	// heardAt is when the VM last sent or answered a heartbeat, or when it was
	// first monitored.
	heardAt time.Time
	// changedAt is when the state last changed here.
	changedAt time.Time
	monitored bool
}

// domain is what is known of the way to another failure domain.
type domain struct {
	answeredAt  time.Time
	failures    int
	unreachable bool
}

// index orders the other VMs for the choice of contacts.
type index struct {
	// ring holds the VMs of the own failure domain that are not dead, in ring
	// order after this VM; dead holds the dead ones.
	ring []string
	dead []string
	// own holds the VMs of the own failure domain that were heard of and may own
	// targets, this VM included, in the order of their names.
	own []string
	// remote holds the VMs of the other failure domains that are not dead.
	remote []remoteDomain
	// fading holds the VMs that time alone can change.
	fading []string
}

type remoteDomain struct {
	name string
	vms  []string
}

// Table holds what one VM believes of all VMs.
type Table struct {
	settings Settings
	self     *pb.Member
	entries  map[string]*entry
	domains  map[string]*domain
	// news counts how often each VM's news was passed on; queue holds the same
	// VMs in the order in which they are passed on next.
	news  map[string]int
	queue []string
	// quiet is true while a table is taken whose members are no news.
	quiet  bool
	random *rand.Rand
	// index is derived from the entries; it is rebuilt after changes.
	index      index
	indexStale bool
	nextRound  time.Time
	// remoteProbes is the number of other failure domains that get a heartbeat
	// each round, remoteTurn selects the failure domain that is probed next.
	remoteProbes int
	remoteTurn   int
	// chunk is the name after which the next part of the table is sent.
	chunk   string
	digest  uint64
	version uint64
	// declaredDead is true since another VM held this one for dead.
	declaredDead bool
	stats        Stats
}

// New returns a Table that knows only the VM itself, which must be alive.
func New(settings Settings, self *pb.Member, seed uint64, now time.Time) *Table {
	t := &Table{
		settings:     settings,
		self:         clone(self),
		entries:      map[string]*entry{},
		domains:      map[string]*domain{},
		news:         map[string]int{},
		random:       rand.New(rand.NewPCG(seed, seed)),
		indexStale:   true,
		nextRound:    now,
		remoteProbes: 1,
		version:      1,
	}
	t.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	t.digest = memberDigest(t.self)
	t.announce(t.self.Vm)
	return t
}

// Self returns this VM as other VMs shall see it.
func (t *Table) Self() *pb.Member { return clone(t.self) }

// Version changes whenever Members may have changed.
func (t *Table) Version() uint64 { return t.version }

// Stats returns the counts since the start.
func (t *Table) Stats() Stats { return t.stats }

// DeclaredDead reports whether another VM has held this one for dead since the
// last call: its targets may have been taken over.
func (t *Table) DeclaredDead() bool {
	was := t.declaredDead
	t.declaredDead = false
	return was
}

// Members returns all VMs that were heard of, itself included, in the order of
// their names. Members of unreachable failure domains are shown as suspected.
// VMs that only the platform's list names are left out.
func (t *Table) Members() []*pb.Member {
	members := []*pb.Member{clone(t.self)}
	for _, e := range t.entries {
		if e.member.Incarnation == 0 {
			continue
		}
		shown := clone(e.member)
		if shown.State == pb.MemberState_MEMBER_STATE_ALIVE && !t.Reachable(shown.FailureDomain) {
			shown.State = pb.MemberState_MEMBER_STATE_SUSPECT
		}
		members = append(members, shown)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Vm < members[j].Vm })
	return members
}

// Reachable reports whether members of a failure domain answer this VM.
func (t *Table) Reachable(failureDomain string) bool {
	d, ok := t.domains[failureDomain]
	return !ok || !d.unreachable
}

// Address returns the address of a VM; empty when the VM is unknown.
func (t *Table) Address(vm string) string {
	if e, ok := t.entries[vm]; ok {
		return e.member.PeerAddress
	}
	return ""
}

// State returns what is believed of another VM.
func (t *Table) State(vm string) pb.MemberState {
	if e, ok := t.entries[vm]; ok {
		return e.member.State
	}
	return pb.MemberState_MEMBER_STATE_UNSPECIFIED
}

// FailureDomain returns the failure domain of a VM; empty when it is unknown.
func (t *Table) FailureDomain(vm string) string {
	if vm == t.self.Vm {
		return t.self.FailureDomain
	}
	if e, ok := t.entries[vm]; ok {
		return e.member.FailureDomain
	}
	return ""
}

// HasLivePeer reports whether another VM is not dead, and whether one of the own
// failure domain is. VMs that only the list names count.
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

// Leave declares that this VM is leaving.
func (t *Table) Leave(time.Time) {
	if t.self.State == pb.MemberState_MEMBER_STATE_LEAVING {
		return
	}
	t.setSelf(t.self.Refutation+1, pb.MemberState_MEMBER_STATE_LEAVING)
}

// Resume forgets how long other VMs have been silent, after this VM itself did
// not run for a while.
func (t *Table) Resume(now time.Time) {
	for _, e := range t.entries {
		e.heardAt = now
		if e.member.State == pb.MemberState_MEMBER_STATE_SUSPECT {
			e.changedAt = now
		}
	}
	for _, d := range t.domains {
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
	t.changed(t.self.Vm)
}

// changed notes a change that other VMs have to hear of.
func (t *Table) changed(vm string) {
	t.version++
	t.indexStale = true
	if !t.quiet || vm == t.self.Vm {
		t.announce(vm)
	}
}

func clone(m *pb.Member) *pb.Member {
	copied, _ := proto.Clone(m).(*pb.Member)
	return copied
}
