// Package snapshot tracks which snapshots of a front cannot be served, so that
// searches pin an available one.
package snapshot

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
)

// unavailableTTL is how long a snapshot is not pinned after a service was found not
// to hold it, unless a replica of the service reports to hold it earlier.
const unavailableTTL = 2 * time.Second

type snapshotKey struct {
	front   string
	version uint64
}

// unavailability records that a service was found not to hold a snapshot.
type unavailability struct {
	service string
	until   time.Time
}

// AvailabilityTracker tracks unavailable snapshots. Its size is bounded by the
// configured snapshots. It is safe for concurrent use.
type AvailabilityTracker struct {
	replicas *replica.Table

	mu          sync.Mutex
	unavailable map[snapshotKey]unavailability
}

// NewAvailabilityTracker returns an empty tracker that consults the snapshots that
// the replicas last reported to hold.
func NewAvailabilityTracker(replicas *replica.Table) *AvailabilityTracker {
	return &AvailabilityTracker{replicas: replicas, unavailable: map[snapshotKey]unavailability{}}
}

// RecordGone records that no replica of the service holds the snapshot.
func (m *AvailabilityTracker) RecordGone(front string, version uint64, service string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable[snapshotKey{front, version}] = unavailability{service: service, until: now.Add(unavailableTTL)}
}

// Pin returns the partition map of the newest snapshot that is not known to be
// unavailable, or of the newest one when all are. It returns nil when the front has no
// snapshot.
func (m *AvailabilityTracker) Pin(front *plan.Front, now time.Time) *plan.PartitionMap {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropStale(front)
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

func (m *AvailabilityTracker) available(front *plan.Front, version uint64, now time.Time) bool {
	k := snapshotKey{front.Name, version}
	u, ok := m.unavailable[k]
	if !ok {
		return true
	}
	status := m.serviceStatus(front, u.service, version, now)
	if status == unknown && now.Before(u.until) {
		return false
	}
	if status == lacking {
		return false
	}
	delete(m.unavailable, k)
	return true
}

// Alternative returns the partition map of the newest snapshot, other than those
// already pinned, that the given service is known to hold and no service is known to
// lack. It returns nil when there is none.
func (m *AvailabilityTracker) Alternative(front *plan.Front, service string, pinned func(uint64) bool, now time.Time) *plan.PartitionMap {
	for _, candidate := range front.Maps {
		if pinned(candidate.Version) || m.serviceStatus(front, service, candidate.Version, now) != holding {
			continue
		}
		if !m.lackedByAny(front, candidate, now) {
			return candidate
		}
	}
	return nil
}

func (m *AvailabilityTracker) lackedByAny(front *plan.Front, candidate *plan.PartitionMap, now time.Time) bool {
	for _, service := range candidate.Services {
		if m.serviceStatus(front, service.Name, candidate.Version, now) == lacking {
			return true
		}
	}
	return false
}

type holdStatus int

const (
	unknown holdStatus = iota
	holding
	lacking
)

// serviceStatus combines the reports of a service's replicas: the service holds the
// snapshot when one replica does, and lacks it when all replicas do.
func (m *AvailabilityTracker) serviceStatus(front *plan.Front, service string, version uint64, now time.Time) holdStatus {
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

// dropStale removes the entries of snapshots that the front no longer has.
func (m *AvailabilityTracker) dropStale(front *plan.Front) {
	if len(m.unavailable) <= len(front.Maps) {
		return
	}
	for k := range m.unavailable {
		if k.front == front.Name && front.Map(k.version) == nil {
			delete(m.unavailable, k)
		}
	}
}

// Retain removes the entries of fronts for which keep returns false.
func (m *AvailabilityTracker) Retain(keep func(front string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.unavailable {
		if !keep(k.front) {
			delete(m.unavailable, k)
		}
	}
}
