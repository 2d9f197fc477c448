package control

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/membership"
)

const (
	// standbyAskAfter is how long an answer of the store must be overdue before a standby asks the VMs
	// before it, ahead of the next heartbeat.
	standbyAskAfter = 100 * time.Millisecond
	// standbyAskInterval is the minimum time between two such questions.
	standbyAskInterval = 200 * time.Millisecond
	// standbyAfter is how long an answer must be overdue before the first standby watches the store, and
	// standbyStagger the additional time for each further one.
	standbyAfter   = 300 * time.Millisecond
	standbyStagger = 100 * time.Millisecond
)

// watchOrder is this VM's place in the order in which the VMs of its failure domain watch the store. The order
// is chosen by rendezvous hashing from the VMs that may own targets.
type watchOrder struct {
	// version is the version of the member table that the order was derived from.
	version uint64
	role    watchRole
	// before holds the VMs that come before this one.
	before []string
}

type watchRole int

const (
	// roleBystander relies on what other VMs forward.
	roleBystander watchRole = iota
	// roleStandby watches while none of the VMs before it is known to get answers of the store.
	roleStandby
	// roleWatcher always watches.
	roleWatcher
)

// standby is the state of a VM in roleStandby. Membership shows which VMs are alive, not which of them reach
// the store, so standbys judge the VMs before them by the answers that these report.
type standby struct {
	// since is when this VM began to rely on the VMs before it.
	since time.Time
	// answeredAt is when one of them last got an answer of the store, as far as this VM knows.
	answeredAt time.Time
	// askedAt is when this VM last asked them ahead of the next heartbeat.
	askedAt time.Time
	// acting is true while this VM watches.
	acting bool
}

// checkOrder derives the order anew if the member table has changed.
func (m *machine) checkOrder() {
	version := m.table.Version()
	if m.order.version == version {
		return
	}
	before := m.order
	m.order = m.watchOrder(version)
	if m.order.role == before.role && slices.Equal(m.order.before, before.before) {
		return
	}
	if m.order.role != before.role {
		m.standby = standby{since: m.now}
	}
	if m.order.role == roleWatcher {
		// The next read may be scheduled for a VM on which nothing depends.
		m.watch.nextAt = earlier(m.watch.nextAt, m.now)
	}
}

func (m *machine) watchOrder(version uint64) watchOrder {
	vms := m.table.OwnerCandidates()
	sortByHash(vms, "watch")
	position := slices.Index(vms, m.vm)
	order := watchOrder{version: version, role: roleBystander}
	switch {
	case len(vms) == 0, position >= 0 && position < m.config.watchers:
		// A leaving VM watches only if no VM may own targets.
		order.role = roleWatcher
	case position >= 0 && position < m.config.watchers+m.config.standbys:
		order.role, order.before = roleStandby, vms[:position]
	}
	return order
}

// Watchers returns the VMs of one failure domain, of which it gets those that may own targets, that watch the store:
// the first n in the order that all VMs derive.
func Watchers(vms []string, n int) []string {
	ordered := slices.Clone(vms)
	sortByHash(ordered, "watch")
	return ordered[:min(n, len(ordered))]
}

// isWatcher reports whether this VM is one of the watchers of its failure domain.
func (m *machine) isWatcher() bool {
	m.checkOrder()
	return m.order.role == roleWatcher
}

// watches reports whether this VM watches the store now.
func (m *machine) watches() bool { return m.isWatcher() || m.standby.acting }

// checkStandby decides whether this VM watches in place of the VMs before it.
func (m *machine) checkStandby() {
	if m.order.role != roleStandby {
		return
	}
	lastAnswer := later(m.standby.since, m.standby.answeredAt)
	overdue := m.now.Sub(lastAnswer) - m.config.watchWait
	if overdue > standbyAskAfter && m.now.Sub(m.standby.askedAt) >= standbyAskInterval {
		m.standby.askedAt = m.now
		for _, vm := range m.order.before {
			m.sendHeartbeat(membership.Contact{VM: vm, Address: m.table.Address(vm)}, updatesOnly)
		}
	}
	place := len(m.order.before) - m.config.watchers
	acting := overdue > standbyAfter+time.Duration(place)*standbyStagger
	if acting && !m.standby.acting {
		m.watch.nextAt = earlier(m.watch.nextAt, m.now)
	}
	m.standby.acting = acting
}

// recordStoreAnswer records that another VM got an answer of the store at the given time.
func (m *machine) recordStoreAnswer(vm string, at time.Time) {
	if slices.Contains(m.order.before, vm) {
		m.standby.answeredAt = later(m.standby.answeredAt, at)
	}
}

// storeAnswerAge returns the time since this VM last got an answer of the store, in milliseconds and at least
// 1, or zero if it never did.
func (m *machine) storeAnswerAge() uint64 {
	if m.config.standbys == 0 || m.watch.answeredAt.IsZero() {
		return 0
	}
	return uint64(max(m.now.Sub(m.watch.answeredAt).Milliseconds(), 1))
}

// nextWatchWait returns the wait of the next watch. It is shorter after a pause between two watches, as standbys
// expect an answer within the longest wait.
func (m *machine) nextWatchWait() time.Duration {
	idle := m.now.Sub(m.watch.answeredAt)
	if m.config.standbys == 0 || m.watch.answeredAt.IsZero() || idle < minWatchInterval {
		return m.config.watchWait
	}
	return max(m.config.watchWait-idle, min(minWatchInterval, m.config.watchWait))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
