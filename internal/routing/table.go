// Package routing compiles a configuration's routes and targets into an immutable
// table that requests are matched against.
package routing

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

const (
	// defaultTimeLimit applies to routes without a time limit.
	defaultTimeLimit = 10 * time.Second
	// defaultMaxTargets applies to routes without a bound on targets.
	defaultMaxTargets = 1
)

// Route is a configured route with its services resolved.
type Route struct {
	*pb.Route
	TimeLimit time.Duration
	// Goal is the response-time goal, within which an answer has its full value; zero
	// if the route has none.
	Goal time.Duration
	// MaxTargets bounds the targets of one service that may run a request.
	MaxTargets int
	// HasFallback is true if a request that is not run is served in another way, which
	// is better than an ejected target.
	HasFallback bool
	// Shards are the services of a gathering route, and WeightedServices those of any
	// other route, in the order of the configuration.
	Shards           []*Service
	WeightedServices []WeightedService
}

// Gathers reports whether answers are gathered from several services.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// WeightedService is a service with its weight, which determines its share of a route's
// requests.
type WeightedService struct {
	Service *Service
	Weight  float64
}

// Service is a service with the targets that may receive requests.
type Service struct {
	Name    string
	Targets []*Target
	// shard is true if a gathering route uses the service.
	shard bool
}

// Target is a target that may receive requests.
type Target struct {
	backend.Target
	Service       string
	FailureDomain string
	// Version is the version of the target's software; empty if it is not known.
	Version  string
	Distance Distance
	Slots    uint32
	// ColdUntil is when the target's cold start ends; zero if it is warm.
	ColdUntil time.Time
	// ColdPerSecond bounds the requests per second from all VMs to the target while it
	// is cold; zero means no limit.
	ColdPerSecond float64
	// LapsedUntil is set if the target's registration has ended although the target did
	// not announce that it stops, by draining. It must not be used from then on.
	LapsedUntil time.Time
	// withdrawn is true once a later table leaves the target out; nil if no table does. The
	// tables share it, since a request goes on with the table of its arrival.
	withdrawn *atomic.Bool
	Health    *health.State
}

// Lapsed reports whether the target's registration has ended, so that it is a last resort.
func (t *Target) Lapsed() bool { return !t.LapsedUntil.IsZero() }

// Usable reports whether requests may be sent to the target now. It also knows what has
// changed since the target's table was compiled.
func (t *Target) Usable(now time.Time) bool {
	if t.withdrawn != nil && t.withdrawn.Load() {
		return false
	}
	return !t.Lapsed() || now.Before(t.LapsedUntil)
}

// Distance is the distance class of a target as seen from this VM.
type Distance int

const (
	// Near targets are in this VM's failure domain. If a service has none there, the
	// target that this VM prefers counts as near.
	Near Distance = iota
	// Equidistant targets are as far away as the target that this VM prefers.
	Equidistant
	// Far targets are in another failure domain while the service has near ones.
	Far
)

// Table is a compiled configuration.
type Table struct {
	// Revision is the revision of the configuration, and Version the operators'
	// version of the routes.
	Revision uint64
	Version  uint64
	Limits   *pb.CallerLimits
	// Organisations are the organisations of callers.
	Organisations *organisation.Directory
	hosts         map[string][]*Route
	services      map[string]*Service
	targets       map[string]*Target
	routeNames    map[string]bool
}

// HasRouteTable reports whether the configuration holds any route table.
func (t *Table) HasRouteTable() bool { return t.Version > 0 || len(t.routeNames) > 0 }

// Match returns the host's route with the longest prefix of the path, or nil if there
// is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HasTarget reports whether the table holds the incarnation of a target that started at
// the given time, in Unix milliseconds.
func (t *Table) HasTarget(id string, started int64) bool {
	target, ok := t.targets[id]
	return ok && target.Started == started
}

// Target returns the target with the ID, or nil if there is none.
func (t *Table) Target(id string) *Target { return t.targets[id] }

// TargetCount returns the number of targets that may receive requests.
func (t *Table) TargetCount() int { return len(t.targets) }

// addRoutes compiles the routes; services without targets are kept with an empty list.
func (t *Table) addRoutes(table *pb.RouteTable) {
	t.hosts = map[string][]*Route{}
	t.routeNames = map[string]bool{}
	for _, declared := range table.GetRoutes() {
		route := &Route{
			Route:      declared,
			TimeLimit:  milliseconds(declared.TimeLimitMs),
			Goal:       milliseconds(declared.LatencyGoalMs),
			MaxTargets: max(int(declared.MaxTargets), defaultMaxTargets),
		}
		if route.TimeLimit == 0 {
			route.TimeLimit = defaultTimeLimit
		}
		for _, shard := range declared.Shards {
			service := t.service(shard)
			service.shard = true
			route.Shards = append(route.Shards, service)
		}
		for _, weighted := range declared.Services {
			route.WeightedServices = append(route.WeightedServices, WeightedService{Service: t.service(weighted.Service), Weight: weighted.Weight})
		}
		t.hosts[declared.Host] = append(t.hosts[declared.Host], route)
		t.routeNames[declared.Name] = true
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

func (t *Table) service(name string) *Service {
	service, ok := t.services[name]
	if !ok {
		service = &Service{Name: name}
		t.services[name] = service
	}
	return service
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// HasService reports whether a route uses the service.
func (t *Table) HasService(name string) bool { return t.services[name] != nil }

// HasRoute reports whether the table holds a route with that name.
func (t *Table) HasRoute(name string) bool { return t.routeNames[name] }

// HasTargetID reports whether the table holds any incarnation of the target.
func (t *Table) HasTargetID(id string) bool { return t.targets[id] != nil }
