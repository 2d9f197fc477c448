// Package snapshot remembers which snapshots of a front could not be served, so
// that the next search pins one that can.
package snapshot

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
)

// avoidFor is how long a snapshot is not pinned after a service was found not
// to hold it, unless the service is seen to hold it earlier.
const avoidFor = 2 * time.Second

type key struct {
	front   string
	version uint64
}

// mark states that a service was found not to hold a snapshot.
type mark struct {
	service string
	until   time.Time
}

// Memory is safe for concurrent use. Its size is bounded by the snapshots that
// the configuration names.
type Memory struct {
	replicas *replica.Table

	mu    sync.Mutex
	marks map[key]mark
}

// NewMemory returns an empty memory that consults what the replicas last said
// to hold.
func NewMemory(replicas *replica.Table) *Memory {
	return &Memory{replicas: replicas, marks: map[key]mark{}}
}

// Gone notes that no replica of the service holds the snapshot.
func (m *Memory) Gone(front string, version uint64, service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks[key{front, version}] = mark{service: service, until: now.Add(avoidFor)}
}

// Pin returns the partition map of the newest snapshot that is not known to be
// unavailable, or else of the newest. It returns nil when the front has none.
func (m *Memory) Pin(front *plan.Front, now time.Time) *plan.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetOthers(front)
	for _, candidate := range front.Maps {
		if m.available(front, candidate.Version, now) {
			return candidate
		}
	}
	if len(front.Maps) == 0 {
		return nil
	}
	return front.Maps[0]
}

func (m *Memory) available(front *plan.Front, version uint64, now time.Time) bool {
	k := key{front.Name, version}
	found, ok := m.marks[k]
	if !ok {
		return true
	}
	held := m.held(front, found.service, version, now)
	if held == unknown && now.Before(found.until) {
		return false
	}
	if held == lacking {
		return false
	}
	delete(m.marks, k)
	return true
}

// Alternative returns the newest snapshot, other than those tried, that the
// given service is known to hold and no service is known to lack. It returns nil
// when there is none.
func (m *Memory) Alternative(front *plan.Front, service string, tried func(uint64) bool, now time.Time) *plan.Map {
	for _, candidate := range front.Maps {
		if tried(candidate.Version) || m.held(front, service, candidate.Version, now) != holding {
			continue
		}
		if !m.lacked(front, candidate, now) {
			return candidate
		}
	}
	return nil
}

func (m *Memory) lacked(front *plan.Front, candidate *plan.Map, now time.Time) bool {
	for _, service := range candidate.Services {
		if m.held(front, service.Name, candidate.Version, now) == lacking {
			return true
		}
	}
	return false
}

type possession int

const (
	unknown possession = iota
	holding
	lacking
)

// held joins what the replicas of a service said: one that holds the snapshot
// is enough, and all must lack it for the service to lack it.
func (m *Memory) held(front *plan.Front, service string, version uint64, now time.Time) possession {
	group := m.replicas.Group(replica.ServiceKey{Front: front.Name, Service: service})
	candidates := front.Routes(service).Candidates
	lacks := 0
	for _, c := range candidates {
		if group.Holds(c.Target, version, now) {
			return holding
		}
		if group.Lacks(c.Target, version, now) {
			lacks++
		}
	}
	if lacks > 0 && lacks == len(candidates) {
		return lacking
	}
	return unknown
}

// forgetOthers drops the marks of snapshots that the front no longer has.
func (m *Memory) forgetOthers(front *plan.Front) {
	if len(m.marks) <= len(front.Maps) {
		return
	}
	for k := range m.marks {
		if k.front == front.Name && front.Map(k.version) == nil {
			delete(m.marks, k)
		}
	}
}

// Retain forgets the fronts that are not kept.
func (m *Memory) Retain(kept func(front string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.marks {
		if !kept(k.front) {
			delete(m.marks, k)
		}
	}
}
