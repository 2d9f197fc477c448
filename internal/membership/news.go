package membership

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// retransmitFactor times the logarithm of the number of VMs is how often a
// piece of news is passed on.
const retransmitFactor = 3

// announce puts a VM at the head of the news.
func (t *Table) announce(vm string) {
	if _, ok := t.news[vm]; ok {
		t.queue = slices.DeleteFunc(t.queue, func(queued string) bool { return queued == vm })
	}
	t.news[vm] = 0
	t.queue = slices.Insert(t.queue, 0, vm)
}

// News returns the members that a message to a VM shall carry, at most
// NewsPerMessage, newest news first and then in turn. What is believed of the VM
// itself is always among them when it is bad, so that the VM can refute it.
func (t *Table) News(to string) []*pb.Member {
	var members []*pb.Member
	if e, ok := t.entries[to]; ok && e.member.Incarnation > 0 && rank(e.member.State) > rank(pb.MemberState_MEMBER_STATE_ALIVE) {
		members = append(members, clone(e.member))
	}
	limit := retransmitFactor * bits.Len(uint(len(t.entries)+1))
	for range len(t.queue) {
		if len(members) >= t.settings.NewsPerMessage {
			break
		}
		vm := t.queue[0]
		t.queue = t.queue[1:]
		if t.news[vm]++; t.news[vm] < limit {
			t.queue = append(t.queue, vm)
		} else {
			delete(t.news, vm)
		}
		// The receiver knows itself, and the sender stands in each message.
		if vm == to || vm == t.self.Vm || t.entries[vm].member.Incarnation == 0 {
			continue
		}
		members = append(members, clone(t.entries[vm].member))
	}
	return members
}

// Whole returns all members that were heard of, itself left out.
func (t *Table) Whole() []*pb.Member {
	t.stats.Exchanges++
	members := make([]*pb.Member, 0, len(t.entries))
	for _, vm := range t.names() {
		if t.entries[vm].member.Incarnation > 0 {
			members = append(members, clone(t.entries[vm].member))
		}
	}
	return members
}

// Chunk returns the next part of the table, of at most limit members, for a VM
// whose digest differs.
func (t *Table) Chunk(limit int) []*pb.Member {
	all := t.Whole()
	start := sort.Search(len(all), func(i int) bool { return all[i].Vm > t.chunk })
	if start == len(all) {
		start = 0
	}
	part := all[start:min(start+limit, len(all))]
	if len(part) > 0 {
		t.chunk = part[len(part)-1].Vm
	}
	return part
}

// Digest returns a digest over the members that were heard of and are not dead;
// it does not depend on their order.
func (t *Table) Digest() uint64 { return t.digest }

// memberDigest returns a member's part of the digest. Dead VMs have none, as
// some VMs remember them longer than others.
func memberDigest(m *pb.Member) uint64 {
	if m.Incarnation == 0 || m.State == pb.MemberState_MEMBER_STATE_DEAD {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Vm)
	var words [17]byte
	putWord(words[0:8], m.Incarnation)
	putWord(words[8:16], m.Refutation)
	words[16] = byte(m.State)
	_, _ = d.Write(words[:])
	return d.Sum64()
}

func putWord(b []byte, word uint64) {
	for i := range b {
		b[i] = byte(word >> (8 * i))
	}
}
