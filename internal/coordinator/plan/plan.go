// Package plan derives from a view what a search over a front has to ask: the
// partition map of each snapshot and the targets that may be asked for it.
package plan

import (
	"sync"

	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Routes is the targets of a service that may be asked, with their owners.
type Routes struct {
	// Candidates are in service and have an owner.
	Candidates []replica.Candidate
	// Owners are the candidates' owners, by the same index.
	Owners []view.VM
	// Missing states why there is no candidate.
	Missing pb.MissingReason
}

// Service is a service's part of a snapshot's partition map.
type Service struct {
	Name       string
	Partitions []string
}

// Map is the partition map of one snapshot; each partition stands in it once.
type Map struct {
	Version  uint64
	Services []Service
	// Total is the number of partitions.
	Total int
}

// Front is the plan of one front under one view. It is immutable.
type Front struct {
	*view.Front
	// Maps are the partition maps, newest first.
	Maps   []*Map
	routes map[string]*Routes
}

// Routes returns the targets of a service; for a service that the configuration
// does not have, there are none.
func (f *Front) Routes(service string) *Routes {
	if routes, ok := f.routes[service]; ok {
		return routes
	}
	return &Routes{Missing: pb.MissingReason_MISSING_REASON_NO_REPLICA}
}

// Map returns the partition map of a snapshot, or nil when it is not known.
func (f *Front) Map(version uint64) *Map {
	for _, m := range f.Maps {
		if m.Version == version {
			return m
		}
	}
	return nil
}

// Planner keeps the plans of the newest view. It is safe for concurrent use.
type Planner struct {
	mu     sync.Mutex
	view   *view.View
	fronts map[string]*Front
}

// Front returns the plan of a front, or nil when the view does not have it.
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
	front := build(v, name)
	if front != nil {
		p.fronts[name] = front
	}
	return front
}

func build(v *view.View, name string) *Front {
	found, ok := v.Front(name)
	if !ok {
		return nil
	}
	front := &Front{Front: found, routes: make(map[string]*Routes, len(found.Services))}
	for _, service := range found.Services {
		front.routes[service.Name] = routes(v, service)
	}
	for _, snapshot := range found.Snapshots {
		front.insert(partitionMap(snapshot))
	}
	return front
}

// insert keeps the maps ordered from the newest version to the oldest.
func (f *Front) insert(m *Map) {
	at := 0
	for at < len(f.Maps) && f.Maps[at].Version > m.Version {
		at++
	}
	f.Maps = append(f.Maps, nil)
	copy(f.Maps[at+1:], f.Maps[at:])
	f.Maps[at] = m
}

func routes(v *view.View, service *pb.Service) *Routes {
	r := &Routes{Missing: pb.MissingReason_MISSING_REASON_NO_REPLICA}
	for _, target := range service.Targets {
		if !v.InService(target.Id) {
			r.Missing = max(r.Missing, pb.MissingReason_MISSING_REASON_TAKEN_OUT)
			continue
		}
		owner, ok := v.Owner(target.Id)
		if !ok {
			r.Missing = max(r.Missing, pb.MissingReason_MISSING_REASON_UNREACHABLE)
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

// partitionMap joins entries of the same service and drops repeated partitions.
func partitionMap(snapshot *pb.Snapshot) *Map {
	m := &Map{Version: snapshot.Version}
	index := map[string]int{}
	seen := map[Partition]bool{}
	for _, entry := range snapshot.Services {
		at, ok := index[entry.Service]
		if !ok {
			at = len(m.Services)
			index[entry.Service] = at
			m.Services = append(m.Services, Service{Name: entry.Service})
		}
		for _, name := range entry.Partitions {
			key := Partition{Service: entry.Service, Name: name}
			if seen[key] {
				continue
			}
			seen[key] = true
			m.Services[at].Partitions = append(m.Services[at].Partitions, name)
			m.Total++
		}
	}
	return m
}

// Partition names one partition of a front.
type Partition struct {
	Service string
	Name    string
}
