package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Tick advances the timers and returns the VMs that shall get a heartbeat now.
func (t *Table) Tick(now time.Time) []Contact {
	t.expire(now)
	if now.Before(t.nextRound) {
		return nil
	}
	t.nextRound = now.Add(t.settings.HeartbeatInterval)
	neighbours := t.neighbours()
	t.suspect(neighbours, now)
	contacts := t.contacts(neighbours)
	if vm := t.randomOwn(neighbours); vm != "" {
		contacts = append(contacts, t.contact(vm))
	}
	for _, vm := range t.randomRemote() {
		contacts = append(contacts, t.contact(vm))
	}
	return contacts
}

// Round returns the contacts of a round out of turn.
func (t *Table) Round(now time.Time) []Contact {
	t.nextRound = now
	return t.Tick(now)
}

func (t *Table) contact(vm string) Contact {
	return Contact{VM: vm, Address: t.entries[vm].member.PeerAddress}
}

func (t *Table) contacts(vms []string) []Contact {
	contacts := make([]Contact, 0, len(vms)+2)
	for _, vm := range vms {
		contacts = append(contacts, t.contact(vm))
	}
	return contacts
}

// suspect marks neighbours that were silent for too long. A VM that has just
// become a neighbour is given the whole time.
func (t *Table) suspect(neighbours []string, now time.Time) {
	current := make(map[string]bool, len(neighbours))
	for _, vm := range neighbours {
		current[vm] = true
		e := t.entries[vm]
		if !e.monitored {
			e.monitored = true
			e.heardAt = now
		}
		t.suspectOne(e, now)
	}
	for vm, e := range t.entries {
		if !current[vm] {
			e.monitored = false
		}
	}
}

func (t *Table) suspectOne(e *entry, now time.Time) {
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
	t.changed(e.member.Vm)
}

// expire turns standing suspicions of the own failure domain into deaths and
// forgets VMs that have been gone for long.
func (t *Table) expire(now time.Time) {
	t.ensureIndex()
	for _, vm := range t.index.fading {
		e := t.entries[vm]
		own := e.member.FailureDomain == t.self.FailureDomain
		since := now.Sub(e.changedAt)
		if own && e.member.State == pb.MemberState_MEMBER_STATE_SUSPECT && since > t.settings.DeadAfter {
			t.stats.Deaths++
			t.setState(e, pb.MemberState_MEMBER_STATE_DEAD, now)
			continue
		}
		if !e.listed && t.gone(e, now) {
			t.forget(vm)
		}
	}
}

// gone reports whether a VM that is not listed can be forgotten: it has been
// dead, or its whole failure domain out of reach, for long enough.
func (t *Table) gone(e *entry, now time.Time) bool {
	if e.member.State == pb.MemberState_MEMBER_STATE_DEAD {
		return now.Sub(e.changedAt) > t.settings.ForgetAfter
	}
	d, ok := t.domains[e.member.FailureDomain]
	return ok && d.unreachable && now.Sub(d.answeredAt) > t.settings.ForgetAfter
}

func (t *Table) forget(vm string) {
	t.digest ^= memberDigest(t.entries[vm].member)
	delete(t.entries, vm)
	delete(t.news, vm)
	t.queue = slices.DeleteFunc(t.queue, func(queued string) bool { return queued == vm })
	t.version++
	t.indexStale = true
}

// names returns the other VMs in the order of their names.
func (t *Table) names() []string {
	names := make([]string, 0, len(t.entries))
	for vm := range t.entries {
		names = append(names, vm)
	}
	sort.Strings(names)
	return names
}

// neighbours returns the next VMs of the own failure domain on the ring.
func (t *Table) neighbours() []string {
	t.ensureIndex()
	return t.index.ring[:min(t.settings.Monitored, len(t.index.ring))]
}

func (t *Table) ensureIndex() {
	if t.indexStale {
		t.rebuildIndex()
	}
}

// canOwn reports whether a VM that was heard of may own targets.
func canOwn(m *pb.Member) bool {
	return m.Incarnation > 0 && rank(m.State) <= rank(pb.MemberState_MEMBER_STATE_SUSPECT)
}

// rebuildIndex sorts the VMs. The ring is ordered by the hash of the names and
// begins after this VM.
func (t *Table) rebuildIndex() {
	t.indexStale = false
	t.index = index{}
	remote := map[string][]string{}
	for _, vm := range t.names() {
		m := t.entries[vm].member
		if m.FailureDomain == t.self.FailureDomain && canOwn(m) {
			t.index.own = append(t.index.own, vm)
		}
		if m.State != pb.MemberState_MEMBER_STATE_ALIVE || !t.Reachable(m.FailureDomain) {
			t.index.fading = append(t.index.fading, vm)
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
		t.index.own = append(t.index.own, t.self.Vm)
		sort.Strings(t.index.own)
	}
	here := xxhash.Sum64String(t.self.Vm)
	ring := t.index.ring
	distance := func(i int) uint64 { return xxhash.Sum64String(ring[i]) - here }
	sort.SliceStable(ring, func(i, j int) bool { return distance(i) < distance(j) })
	for name, vms := range remote {
		t.index.remote = append(t.index.remote, remoteDomain{name: name, vms: vms})
	}
	sort.Slice(t.index.remote, func(i, j int) bool { return t.index.remote[i].name < t.index.remote[j].name })
}

// deadProbe is the number of rounds, on average, between two heartbeats to a VM
// of the own failure domain that counts as dead.
const deadProbe = 8

// randomOwn returns a VM of the own failure domain beyond the neighbours, and
// now and then one that counts as dead, by which a healed cut is found.
func (t *Table) randomOwn(neighbours []string) string {
	if dead := t.index.dead; len(dead) > 0 && t.random.IntN(deadProbe) == 0 {
		return dead[t.random.IntN(len(dead))]
	}
	rest := t.index.ring[len(neighbours):]
	if len(rest) == 0 {
		return ""
	}
	return rest[t.random.IntN(len(rest))]
}

// ProbeRemote sets how many other failure domains get a heartbeat each round;
// it is 1 at first.
func (t *Table) ProbeRemote(domains int) { t.remoteProbes = domains }

// randomRemote returns a VM of each of some other failure domains: first of
// those that did not answer last time and do not count as unreachable yet, then
// the others in turn.
func (t *Table) randomRemote() []string {
	remote := t.index.remote
	if t.remoteProbes == 1 && t.leavesRemoteToOthers() {
		return nil
	}
	var chosen []string
	choose := func(from remoteDomain) {
		chosen = append(chosen, from.vms[t.random.IntN(len(from.vms))])
	}
	for _, candidate := range remote {
		if len(chosen) < t.remoteProbes && t.doubtful(candidate.name) {
			choose(candidate)
		}
	}
	for range remote {
		if len(chosen) >= t.remoteProbes {
			break
		}
		t.remoteTurn++
		if candidate := remote[t.remoteTurn%len(remote)]; !t.doubtful(candidate.name) {
			choose(candidate)
		}
	}
	return chosen
}

// remoteSharers is the number of VMs of a failure domain that together send a
// heartbeat to another one each round, where there are more: what one of them
// hears, it tells the others.
const remoteSharers = 6

// leavesRemoteToOthers reports whether the other VMs of the own failure domain are
// enough for this round. A failure domain in doubt is asked all the same.
func (t *Table) leavesRemoteToOthers() bool {
	for _, candidate := range t.index.remote {
		if t.doubtful(candidate.name) {
			return false
		}
	}
	rounds := len(t.index.own) / remoteSharers
	return rounds > 1 && t.random.IntN(rounds) != 0
}

// doubtful reports whether a failure domain failed to answer and is not known to
// be unreachable.
func (t *Table) doubtful(name string) bool {
	d, ok := t.domains[name]
	return ok && d.failures > 0 && !d.unreachable
}

// OwnDomain returns the VMs of the own failure domain that were heard of and may
// own targets, itself included, in the order of their names. The caller may
// change the slice.
func (t *Table) OwnDomain() []string {
	t.ensureIndex()
	return slices.Clone(t.index.own)
}

// OtherDomains returns the names of the other failure domains that have VMs
// that are not dead.
func (t *Table) OtherDomains() []string {
	t.ensureIndex()
	names := make([]string, 0, len(t.index.remote))
	for _, remote := range t.index.remote {
		names = append(names, remote.name)
	}
	return names
}
