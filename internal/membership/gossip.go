package membership

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// retransmitFactor multiplies the logarithm of the number of VMs to give the number of times that an update
// is sent.
const retransmitFactor = 3

// enqueueUpdate puts a VM at the head of the update queue.
func (t *Table) enqueueUpdate(vm string) {
	if _, ok := t.transmissions[vm]; ok {
		t.updateQueue = slices.DeleteFunc(t.updateQueue, func(queued string) bool { return queued == vm })
	}
	t.transmissions[vm] = 0
	t.updateQueue = slices.Insert(t.updateQueue, 0, vm)
}

// Updates returns the members to piggyback on a message to a VM, at most UpdatesPerMessage, and counts their
// transmission. New updates come first, the others follow in round-robin order. If this VM considers the
// receiver suspected, leaving or dead, that state is always included, so that the receiver can refute it.
func (t *Table) Updates(to string) []*pb.Member {
	var members []*pb.Member
	if e, ok := t.entries[to]; ok && e.member.Incarnation > 0 && rank(e.member.State) > rank(pb.MemberState_MEMBER_STATE_ALIVE) {
		members = append(members, clone(e.member))
	}
	limit := retransmitFactor * bits.Len(uint(len(t.entries)+1))
	for range len(t.updateQueue) {
		if len(members) >= t.settings.UpdatesPerMessage {
			break
		}
		vm := t.updateQueue[0]
		t.updateQueue = t.updateQueue[1:]
		if t.transmissions[vm]++; t.transmissions[vm] < limit {
			t.updateQueue = append(t.updateQueue, vm)
		} else {
			delete(t.transmissions, vm)
		}
		// The receiver knows its own state, and each message names its sender.
		if vm == to || vm == t.self.Vm || t.entries[vm].member.Incarnation == 0 {
			continue
		}
		members = append(members, clone(t.entries[vm].member))
	}
	return members
}

// FullTable returns all other members, without VMs known only from the platform's list.
func (t *Table) FullTable() []*pb.Member {
	t.stats.TableTransfers++
	members := make([]*pb.Member, 0, len(t.entries))
	for _, vm := range t.sortedNames() {
		if t.entries[vm].member.Incarnation > 0 {
			members = append(members, clone(t.entries[vm].member))
		}
	}
	return members
}

// Chunk returns the next part of the table, at most limit members, for a VM whose digest differs.
// Successive calls iterate over the table.
func (t *Table) Chunk(limit int) []*pb.Member {
	all := t.FullTable()
	start := sort.Search(len(all), func(i int) bool { return all[i].Vm > t.chunkAfter })
	if start == len(all) {
		start = 0
	}
	chunk := all[start:min(start+limit, len(all))]
	if len(chunk) > 0 {
		t.chunkAfter = chunk[len(chunk)-1].Vm
	}
	return chunk
}

// Digest returns an order-independent digest of all members that are not dead, including this VM. VMs known
// only from the platform's list are left out.
func (t *Table) Digest() uint64 { return t.digest }

// memberDigest returns the contribution of a member to the digest. It is zero for dead VMs, because some
// VMs remember them longer than others.
func memberDigest(m *pb.Member) uint64 {
	if m.Incarnation == 0 || m.State == pb.MemberState_MEMBER_STATE_DEAD {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Vm)
	var encoded [17]byte
	putUint64(encoded[0:8], m.Incarnation)
	putUint64(encoded[8:16], m.Refutation)
	encoded[16] = byte(m.State)
	_, _ = d.Write(encoded[:])
	return d.Sum64()
}

func putUint64(b []byte, value uint64) {
	for i := range b {
		b[i] = byte(value >> (8 * i))
	}
}
