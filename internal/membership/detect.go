package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Tick advances the timers and returns the VMs that must get a heartbeat now.
func (t *Table) Tick(now time.Time) []Contact {
	t.expire(now)
	if now.Before(t.nextRound) {
		return nil
	}
	t.nextRound = now.Add(t.settings.HeartbeatInterval)
	neighbours := t.neighbours()
	t.monitorNeighbours(neighbours, now)
	contacts := t.contactsFor(neighbours)
	if vm := t.randomInOwnDomain(neighbours); vm != "" {
		contacts = append(contacts, t.contact(vm))
	}
	for _, vm := range t.randomRemote() {
		contacts = append(contacts, t.contact(vm))
	}
	return contacts
}

// StartRound starts a heartbeat round ahead of schedule and returns its contacts.
func (t *Table) StartRound(now time.Time) []Contact {
	t.nextRound = now
	return t.Tick(now)
}

func (t *Table) contact(vm string) Contact {
	return Contact{VM: vm, Address: t.entries[vm].member.PeerAddress}
}

func (t *Table) contactsFor(vms []string) []Contact {
	contacts := make([]Contact, 0, len(vms)+2)
	for _, vm := range vms {
		contacts = append(contacts, t.contact(vm))
	}
	return contacts
}

// monitorNeighbours marks neighbours that have been silent for too long as suspected, or as dead if they are
// leaving. The timeout of a VM starts when it becomes a neighbour.
func (t *Table) monitorNeighbours(neighbours []string, now time.Time) {
	current := make(map[string]bool, len(neighbours))
	for _, vm := range neighbours {
		current[vm] = true
		e := t.entries[vm]
		if !e.monitored {
			e.monitored = true
			e.heardAt = now
		}
		t.checkSilence(e, now)
	}
	for vm, e := range t.entries {
		if !current[vm] {
			e.monitored = false
		}
	}
}

func (t *Table) checkSilence(e *entry, now time.Time) {
	silence := now.Sub(e.heardAt)
	switch {
	case e.member.State == pb.MemberState_MEMBER_STATE_ALIVE && silence > t.settings.SuspectAfter:
		t.stats.Suspicions++
		t.setState(e, pb.MemberState_MEMBER_STATE_SUSPECT, now)
	case e.member.State == pb.MemberState_MEMBER_STATE_LEAVING && silence > t.settings.SuspectAfter+t.settings.DeadAfter:
		t.stats.Deaths++
		t.setState(e, pb.MemberState_MEMBER_STATE_DEAD, now)
	}
}

func (t *Table) setState(e *entry, state pb.MemberState, now time.Time) {
	t.digest ^= memberDigest(e.member)
	e.member.State = state
	t.digest ^= memberDigest(e.member)
	e.changedAt = now
	t.recordChange(e.member.Vm)
}

// expire marks VMs of this VM's failure domain as dead if their suspicion was not refuted in time. It removes
// reapable VMs that the platform does not list.
func (t *Table) expire(now time.Time) {
	t.ensureIndex()
	for _, vm := range t.index.expirable {
		e := t.entries[vm]
		sameDomain := e.member.FailureDomain == t.self.FailureDomain
		since := now.Sub(e.changedAt)
		if sameDomain && e.member.State == pb.MemberState_MEMBER_STATE_SUSPECT && since > t.settings.DeadAfter {
			t.stats.Deaths++
			t.setState(e, pb.MemberState_MEMBER_STATE_DEAD, now)
			continue
		}
		if !e.listed && t.reapable(e, now) {
			t.reap(vm)
		}
	}
}

// reapable reports whether a VM that the platform does not list can be removed: it has been dead, or its
// whole failure domain unreachable, for long enough.
func (t *Table) reapable(e *entry, now time.Time) bool {
	if e.member.State == pb.MemberState_MEMBER_STATE_DEAD {
		return now.Sub(e.changedAt) > t.settings.ReapAfter
	}
	d, ok := t.reachability[e.member.FailureDomain]
	return ok && d.unreachable && now.Sub(d.answeredAt) > t.settings.ReapAfter
}

func (t *Table) reap(vm string) {
	t.digest ^= memberDigest(t.entries[vm].member)
	delete(t.entries, vm)
	delete(t.transmissions, vm)
	t.updateQueue = slices.DeleteFunc(t.updateQueue, func(queued string) bool { return queued == vm })
	t.version++
	t.indexStale = true
}

// sortedNames returns the names of the other VMs in ascending order.
func (t *Table) sortedNames() []string {
	names := make([]string, 0, len(t.entries))
	for vm := range t.entries {
		names = append(names, vm)
	}
	sort.Strings(names)
	return names
}

// neighbours returns the monitored VMs: those that follow this VM on the ring of its failure domain.
func (t *Table) neighbours() []string {
	t.ensureIndex()
	return t.index.ring[:min(t.settings.Monitored, len(t.index.ring))]
}

func (t *Table) ensureIndex() {
	if t.indexStale {
		t.rebuildIndex()
	}
}

// canOwn reports whether a VM may own targets. A VM known only from the platform's list may not.
func canOwn(m *pb.Member) bool {
	return m.Incarnation > 0 && rank(m.State) <= rank(pb.MemberState_MEMBER_STATE_SUSPECT)
}

// rebuildIndex derives the index from the entries. The ring is ordered by the hash of the VM names and
// starts after this VM.
func (t *Table) rebuildIndex() {
	t.indexStale = false
	t.index = index{}
	remote := map[string][]string{}
	for _, vm := range t.sortedNames() {
		m := t.entries[vm].member
		if m.FailureDomain == t.self.FailureDomain && canOwn(m) {
			t.index.ownerCandidates = append(t.index.ownerCandidates, vm)
		}
		if m.State != pb.MemberState_MEMBER_STATE_ALIVE || !t.Reachable(m.FailureDomain) {
			t.index.expirable = append(t.index.expirable, vm)
		}
		dead := m.State == pb.MemberState_MEMBER_STATE_DEAD
		switch {
		case m.FailureDomain == t.self.FailureDomain && dead:
			t.index.dead = append(t.index.dead, vm)
		case m.FailureDomain == t.self.FailureDomain:
			t.index.ring = append(t.index.ring, vm)
		case !dead:
			remote[m.FailureDomain] = append(remote[m.FailureDomain], vm)
		}
	}
	if canOwn(t.self) {
		t.index.ownerCandidates = append(t.index.ownerCandidates, t.self.Vm)
		sort.Strings(t.index.ownerCandidates)
	}
	origin := xxhash.Sum64String(t.self.Vm)
	ring := t.index.ring
	distance := func(i int) uint64 { return xxhash.Sum64String(ring[i]) - origin }
	sort.SliceStable(ring, func(i, j int) bool { return distance(i) < distance(j) })
	for name, vms := range remote {
		t.index.remote = append(t.index.remote, remoteDomain{name: name, vms: vms})
	}
	sort.Slice(t.index.remote, func(i, j int) bool { return t.index.remote[i].name < t.index.remote[j].name })
}

// deadProbeRounds is the average number of rounds between two heartbeats to a dead VM of this VM's failure
// domain.
const deadProbeRounds = 8

// randomInOwnDomain returns a random VM of this VM's failure domain that is not a neighbour. Occasionally it
// returns a dead one, which detects the end of a partition.
func (t *Table) randomInOwnDomain(neighbours []string) string {
	if dead := t.index.dead; len(dead) > 0 && t.random.IntN(deadProbeRounds) == 0 {
		return dead[t.random.IntN(len(dead))]
	}
	others := t.index.ring[len(neighbours):]
	if len(others) == 0 {
		return ""
	}
	return others[t.random.IntN(len(others))]
}

// SetRemoteProbes sets the number of other failure domains that get a heartbeat in each round. The initial
// value is 1.
func (t *Table) SetRemoteProbes(domains int) { t.remoteProbes = domains }

// randomRemote returns one random VM of each failure domain to probe: first the domains that did not answer
// last time and are not yet unreachable, then the others in round-robin order.
func (t *Table) randomRemote() []string {
	remote := t.index.remote
	if t.remoteProbes == 1 && t.skipRemoteProbe() {
		return nil
	}
	var chosen []string
	choose := func(from remoteDomain) {
		chosen = append(chosen, from.vms[t.random.IntN(len(from.vms))])
	}
	for _, candidate := range remote {
		if len(chosen) < t.remoteProbes && t.failing(candidate.name) {
			choose(candidate)
		}
	}
	for range remote {
		if len(chosen) >= t.remoteProbes {
			break
		}
		t.remoteCursor++
		if candidate := remote[t.remoteCursor%len(remote)]; !t.failing(candidate.name) {
			choose(candidate)
		}
	}
	return chosen
}

// remoteProbers is the approximate number of VMs of a failure domain that probe other failure domains in a
// round, if the domain has at least twice that many VMs. They share what they learn with the others.
const remoteProbers = 6

// skipRemoteProbe reports whether this VM leaves remote probes to the other VMs of its failure domain in
// this round. A failing domain is always probed.
func (t *Table) skipRemoteProbe() bool {
	for _, candidate := range t.index.remote {
		if t.failing(candidate.name) {
			return false
		}
	}
	rounds := len(t.index.ownerCandidates) / remoteProbers
	return rounds > 1 && t.random.IntN(rounds) != 0
}

// failing reports whether a failure domain did not answer the last heartbeat but is not yet unreachable.
func (t *Table) failing(name string) bool {
	d, ok := t.reachability[name]
	return ok && d.failures > 0 && !d.unreachable
}

// OwnerCandidates returns the names of the VMs of this VM's failure domain that may own targets, including
// this one, in ascending order. The caller may modify the slice.
func (t *Table) OwnerCandidates() []string {
	t.ensureIndex()
	return slices.Clone(t.index.ownerCandidates)
}

// OtherDomains returns the names of the other failure domains with at least one VM that is not dead.
func (t *Table) OtherDomains() []string {
	t.ensureIndex()
	names := make([]string, 0, len(t.index.remote))
	for _, remote := range t.index.remote {
		names = append(names, remote.name)
	}
	return names
}
