package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// gathererService is the name of the service whose targets are the gatherers of a route.
const gathererService = "gatherers"

// Delegated returns the route on which requests of a gathering route are delegated to one
// of the given gatherers. The request is sent to one gatherer only, unless that one did
// not run it: two gatherers could together exceed the route's bound on targets.
func (r *Route) Delegated(location Location, gatherers []*Target) *Route {
	location.setDistances(gatherers, false)
	location.SortByPreference(gatherers)
	return &Route{
		Route:      &pb.Route{Name: r.Name},
		TimeLimit:  r.TimeLimit,
		Goal:       r.Goal,
		MaxTargets: 1,
		// The VM gathers by itself.
		HasFallback: true,
		WeightedServices: []WeightedService{
			{Service: &Service{Name: gathererService, Targets: gatherers}, Weight: 1},
		},
	}
}

// SortByPreference sorts targets of equal cost in the order in which this VM chooses them,
// which differs between VMs.
func (l Location) SortByPreference(targets []*Target) {
	slices.SortFunc(targets, func(a, b *Target) int {
		return cmp.Compare(xxhash.Sum64String(l.VM+"\x00"+a.ID), xxhash.Sum64String(l.VM+"\x00"+b.ID))
	})
}

// GatheringRoutes calls yield for each route whose answers are gathered, in no particular
// order, until yield returns false.
func (t *Table) GatheringRoutes(yield func(*Route) bool) {
	for _, routes := range t.hosts {
		for _, route := range routes {
			if route.Gathers() && !yield(route) {
				return
			}
		}
	}
}
