// Package plan derives search plans from a view: the partition map of each
// snapshot of a front and the eligible targets of each service.
package plan

import (
	"sync"

	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Routes holds the eligible targets of a service and their owners.
type Routes struct {
	// Candidates are the targets that are in service and have an owner.
	Candidates []replica.Candidate
	// Owners holds the owner of each candidate, by the same index.
	Owners []view.VM
	// MissingReason is why Candidates is empty.
	MissingReason pb.MissingReason
}

// Service lists the partitions of one service in a partition map.
type Service struct {
	Name       string
	Partitions []string
}

// PartitionMap is the partition map of one snapshot. Each partition occurs once.
type PartitionMap struct {
	Version  uint64
	Services []Service
	// TotalPartitions counts the partitions of all services.
	TotalPartitions int
}

// Front is the plan of one front under one view. It is immutable.
type Front struct {
	*view.Front
	// Maps are the partition maps, newest first.
	Maps   []*PartitionMap
	routes map[string]*Routes
}

// Routes returns the routes of a service. They have no candidates when the service
// is not configured.
func (f *Front) Routes(service string) *Routes {
	if routes, ok := f.routes[service]; ok {
		return routes
	}
	return &Routes{MissingReason: pb.MissingReason_MISSING_REASON_NO_REPLICA}
}

// Map returns the partition map of a snapshot version, or nil when there is none.
func (f *Front) Map(version uint64) *PartitionMap {
	for _, m := range f.Maps {
		if m.Version == version {
			return m
		}
	}
	return nil
}

// Planner caches the plans of the view that was last asked for. It is safe for
// concurrent use.
type Planner struct {
	mu     sync.Mutex
	view   *view.View
	fronts map[string]*Front
}

// Front returns the plan of a front under v, or nil when v has no such front.
func (p *Planner) Front(v *view.View, name string) *Front {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view != v {
		p.view = v
		p.fronts = map[string]*Front{}
	}
	if front, ok := p.fronts[name]; ok {
		return front
	}
	front := buildFront(v, name)
	if front != nil {
		p.fronts[name] = front
	}
	return front
}

func buildFront(v *view.View, name string) *Front {
	viewFront, ok := v.Front(name)
	if !ok {
		return nil
	}
	front := &Front{Front: viewFront, routes: make(map[string]*Routes, len(viewFront.Services))}
	for _, service := range viewFront.Services {
		front.routes[service.Name] = buildRoutes(v, service)
	}
	for _, snapshot := range viewFront.Snapshots {
		front.insertMap(buildMap(snapshot))
	}
	return front
}

// insertMap inserts m into Maps, which is ordered from the newest version to the
// oldest.
func (f *Front) insertMap(m *PartitionMap) {
	i := 0
	for i < len(f.Maps) && f.Maps[i].Version > m.Version {
		i++
	}
	f.Maps = append(f.Maps, nil)
	copy(f.Maps[i+1:], f.Maps[i:])
	f.Maps[i] = m
}

func buildRoutes(v *view.View, service *pb.Service) *Routes {
	r := &Routes{MissingReason: pb.MissingReason_MISSING_REASON_NO_REPLICA}
	for _, target := range service.Targets {
		if !v.InService(target.Id) {
			r.MissingReason = max(r.MissingReason, pb.MissingReason_MISSING_REASON_TAKEN_OUT)
			continue
		}
		owner, ok := v.Owner(target.Id)
		if !ok {
			r.MissingReason = max(r.MissingReason, pb.MissingReason_MISSING_REASON_UNREACHABLE)
			continue
		}
		r.Candidates = append(r.Candidates, replica.Candidate{
			Target:        target.Id,
			FailureDomain: target.FailureDomain,
			Owner:         owner.ID,
			Slots:         target.Slots,
		})
		r.Owners = append(r.Owners, owner)
	}
	return r
}

// buildMap merges entries of the same service and drops duplicate partitions.
func buildMap(snapshot *pb.Snapshot) *PartitionMap {
	m := &PartitionMap{Version: snapshot.Version}
	serviceIndex := map[string]int{}
	seen := map[Partition]bool{}
	for _, entry := range snapshot.Services {
		i, ok := serviceIndex[entry.Service]
		if !ok {
			i = len(m.Services)
			serviceIndex[entry.Service] = i
			m.Services = append(m.Services, Service{Name: entry.Service})
		}
		for _, name := range entry.Partitions {
			key := Partition{Service: entry.Service, Name: name}
			if seen[key] {
				continue
			}
			seen[key] = true
			m.Services[i].Partitions = append(m.Services[i].Partitions, name)
			m.TotalPartitions++
		}
	}
	return m
}

// Partition identifies one partition of a front.
type Partition struct {
	Service string
	Name    string
}
