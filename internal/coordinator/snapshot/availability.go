// Package snapshot tracks which snapshots of a front cannot be served, so that
// searches pin an available one.
package snapshot

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
)

// unavailableTTL is how long searches avoid pinning a snapshot after a service was found
// not to hold it. It ends early when a replica of the service reports that it holds the
// snapshot.
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

// NewAvailabilityTracker returns an empty tracker that reads from the table which
// snapshots each replica last reported as held.
func NewAvailabilityTracker(replicas *replica.Table) *AvailabilityTracker {
	return &AvailabilityTracker{replicas: replicas, unavailable: map[snapshotKey]unavailability{}}
}

// RecordUnavailable records that no replica of the service holds the snapshot.
func (t *AvailabilityTracker) RecordUnavailable(front string, version uint64, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable[snapshotKey{front, version}] = unavailability{service: service, until: now.Add(unavailableTTL)}
}

// Pin returns the partition map of the newest snapshot that is not known to be
// unavailable, or of the newest one when all are. It returns nil when the front has no
// snapshot.
func (t *AvailabilityTracker) Pin(front *plan.Front, now time.Time) *plan.PartitionMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropStale(front)
	for _, candidate := range front.Maps {
		if t.available(front, candidate.Version, now) {
			return candidate
		}
	}
	if len(front.Maps) == 0 {
		return nil
	}
	return front.Maps[0]
}

func (t *AvailabilityTracker) available(front *plan.Front, version uint64, now time.Time) bool {
	k := snapshotKey{front.Name, version}
	u, ok := t.unavailable[k]
	if !ok {
		return true
	}
	status := t.serviceStatus(front, u.service, version, now)
	if status == unknown && now.Before(u.until) {
		return false
	}
	if status == lacking {
		return false
	}
	delete(t.unavailable, k)
	return true
}

// Alternative returns the partition map of the newest snapshot, other than those
// already pinned, that the given service is known to hold and no service is known to
// lack. It returns nil when there is none.
func (t *AvailabilityTracker) Alternative(front *plan.Front, service string, pinned func(uint64) bool, now time.Time) *plan.PartitionMap {
	for _, candidate := range front.Maps {
		if pinned(candidate.Version) || t.serviceStatus(front, service, candidate.Version, now) != holding {
			continue
		}
		if !t.lackedByAny(front, candidate, now) {
			return candidate
		}
	}
	return nil
}

func (t *AvailabilityTracker) lackedByAny(front *plan.Front, candidate *plan.PartitionMap, now time.Time) bool {
	for _, service := range candidate.Services {
		if t.serviceStatus(front, service.Name, candidate.Version, now) == lacking {
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
// snapshot when any replica holds it, and lacks it when every replica lacks it.
func (t *AvailabilityTracker) serviceStatus(front *plan.Front, service string, version uint64, now time.Time) holdStatus {
	group := t.replicas.Group(replica.ServiceKey{Front: front.Name, Service: service})
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
func (t *AvailabilityTracker) dropStale(front *plan.Front) {
	if len(t.unavailable) <= len(front.Maps) {
		return
	}
	for k := range t.unavailable {
		if k.front == front.Name && front.Map(k.version) == nil {
			delete(t.unavailable, k)
		}
	}
}

// Retain removes the entries of fronts for which keep returns false.
func (t *AvailabilityTracker) Retain(keep func(front string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.unavailable {
		if !keep(k.front) {
			delete(t.unavailable, k)
		}
	}
}
