// Package routing compiles a configuration's routes and targets into the
// immutable table that requests are matched with.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
)

const (
	// defaultTimeLimit is used for routes that state none.
	defaultTimeLimit = 10 * time.Second
	// defaultTargets is used for routes that state no bound.
	defaultTargets = 1
)

// Route is a route with its times.
type Route struct {
	*pb.Route
	TimeLimit time.Duration
	// Goal is the time within which an answer is worth most; zero when the route
	// states none.
	Goal time.Duration
	// MaxTargets bounds the targets of a service that one request may be sent to.
	MaxTargets int
	// Shards and Parts hold the services in the order of the configuration.
	Shards []*Service
	Parts  []Part
}

// Gathers reports whether answers are gathered from several services.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Part is a service with its share of a route's requests.
type Part struct {
	Service *Service
	Weight  float64
}

// Service is a service with the targets that may get requests.
type Service struct {
	Name    string
	Targets []*Target
}

// Target is a target that may get requests.
type Target struct {
	backend.Target
	Service       string
	FailureDomain string
	Distance      Distance
	Slots         uint32
	// ColdUntil is when the target's cold start ends; zero when it is warm.
	ColdUntil time.Time
	// ColdPerSecond bounds the requests a second of a cold target from all VMs;
	// zero sets no limit.
	ColdPerSecond float64
	// Lapsed is true when the target's registration ended a moment ago, although
	// the target had not said that it leaves.
	Lapsed bool
	Health *health.State
}

// Distance tells how far a target is from this VM.
type Distance int

// Distances of targets.
const (
	// Near targets are in this VM's failure domain. Where a service has none there,
	// the one that this VM keeps to is near.
	Near Distance = iota
	// Beside are targets as far as the one that this VM keeps to.
	Beside
	// Far targets are in another failure domain while there are near ones.
	Far
)

// Table is what one configuration says, compiled.
type Table struct {
	// Revision is the configuration's, Version the operators' of the routes.
	Revision uint64
	Version  uint64
	Limits   *pb.CallerLimits
	hosts    map[string][]*Route
	services map[string]*Service
	targets  map[string]*Target
	names    map[string]bool
}

// Known reports whether the configuration holds routes at all.
func (t *Table) Known() bool { return t.Version > 0 || len(t.names) > 0 }

// Match returns the route with the longest prefix of the path among those of the
// host; nil when there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HasTarget reports whether the table holds this start of a target.
func (t *Table) HasTarget(id string, started int64) bool {
	target, ok := t.targets[id]
	return ok && target.Started == started
}

// Targets returns the number of targets that may get requests.
func (t *Table) Targets() int { return len(t.targets) }

// addRoutes compiles the routes; services without targets are kept empty.
func (t *Table) addRoutes(table *pb.RouteTable) {
	t.hosts = map[string][]*Route{}
	t.names = map[string]bool{}
	for _, declared := range table.GetRoutes() {
		route := &Route{
			Route:      declared,
			TimeLimit:  milliseconds(declared.TimeLimitMs),
			Goal:       milliseconds(declared.LatencyGoalMs),
			MaxTargets: max(int(declared.MaxTargets), defaultTargets),
		}
		if route.TimeLimit == 0 {
			route.TimeLimit = defaultTimeLimit
		}
		for _, shard := range declared.Shards {
			route.Shards = append(route.Shards, t.service(shard))
		}
		for _, part := range declared.Services {
			route.Parts = append(route.Parts, Part{Service: t.service(part.Service), Weight: part.Weight})
		}
		t.hosts[declared.Host] = append(t.hosts[declared.Host], route)
		t.names[declared.Name] = true
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

// HasRoute reports whether the table holds a route of that name.
func (t *Table) HasRoute(name string) bool { return t.names[name] }

// HasTargetID reports whether the table holds any start of the target.
func (t *Table) HasTargetID(id string) bool { return t.targets[id] != nil }
