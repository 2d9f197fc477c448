package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
)

// Compiler turns successive configurations into tables. What was learned of a
// target lasts from one table to the next. It is not safe for concurrent use.
type Compiler struct {
	board *health.Board
	place Place
	// lapse is how long a target whose registration ended may still get
	// requests that no other can take.
	lapse time.Duration

	known map[string]*entry
	// next is when the first of the lapsed targets has to go.
	next time.Time
}

// entry is what the compiler remembers of a target.
type entry struct {
	registration *pb.Registration
	health       *health.State
	coldUntil    time.Time
	lapsedAt     time.Time
}

// NewCompiler returns a Compiler that knows no targets. A target whose
// registration ends without notice is kept as a last resort for the time lapse:
// a store that was away loses the registrations of targets that live on.
func NewCompiler(board *health.Board, place Place, lapse time.Duration) *Compiler {
	return &Compiler{board: board, place: place, lapse: lapse, known: map[string]*entry{}}
}

// NextChange returns when the table has to be compiled again although the
// configuration stays; zero when it need not be.
func (c *Compiler) NextChange() time.Time { return c.next }

// Compile returns the table of a configuration, with connections of each target
// shared by vms VMs.
func (c *Compiler) Compile(configuration *pb.Configuration, vms int, now time.Time) *Table {
	routes := configuration.GetRouteTable()
	table := &Table{
		Revision: configuration.GetRevision(),
		Version:  routes.GetVersion(),
		Limits:   routes.GetLimits(),
		services: map[string]*Service{},
		targets:  map[string]*Target{},
	}
	table.addRoutes(routes)
	c.learn(configuration.GetRegistrations(), now)
	takenOut := domainsTakenOut(configuration)
	declared := servicesByName(routes)
	for id, e := range c.known {
		service, used := table.services[e.registration.Service]
		if !used || !usable(e.registration) || takenOut[e.registration.FailureDomain] {
			continue
		}
		target := c.target(e, declared[e.registration.Service], vms, now)
		service.Targets = append(service.Targets, target)
		table.targets[id] = target
	}
	for _, service := range table.services {
		slices.SortFunc(service.Targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
		c.place.measure(service.Targets)
	}
	return table
}

// learn takes the registrations over and notes those that ended.
func (c *Compiler) learn(registrations []*pb.Registration, now time.Time) {
	present := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.Id] = true
		c.register(registration, now)
	}
	c.next = time.Time{}
	for id, e := range c.known {
		if present[id] {
			e.lapsedAt = time.Time{}
			continue
		}
		if e.lapsedAt.IsZero() {
			e.lapsedAt = now
		}
		end := e.lapsedAt.Add(c.lapse)
		if !now.Before(end) || !usable(e.registration) {
			delete(c.known, id)
			c.board.Forget(id)
			continue
		}
		if c.next.IsZero() || end.Before(c.next) {
			c.next = end
		}
	}
}

func (c *Compiler) register(registration *pb.Registration, now time.Time) {
	e, ok := c.known[registration.Id]
	same := ok && e.registration.StartedUnixMs == registration.StartedUnixMs &&
		e.registration.Address == registration.Address
	if !same {
		e = &entry{health: c.board.Start(registration.Id, registration.FailureDomain)}
		c.known[registration.Id] = e
	}
	if cold := milliseconds(registration.ColdForMs); !same || e.registration.ColdForMs != registration.ColdForMs {
		e.coldUntil = time.Time{}
		if cold > 0 {
			e.coldUntil = now.Add(cold)
		}
	}
	e.registration = registration
}

func (c *Compiler) target(e *entry, service *pb.RouteService, vms int, now time.Time) *Target {
	r := e.registration
	target := &Target{
		Target: backend.Target{
			ID: r.Id, Started: r.StartedUnixMs, Address: r.Address,
			Connections: share(service.GetMaxConnections(), vms),
		},
		Service: r.Service, FailureDomain: r.FailureDomain, Slots: r.Slots,
		ColdPerSecond: service.GetColdRequestsPerS(),
		Lapsed:        !e.lapsedAt.IsZero(), Health: e.health,
	}
	if e.coldUntil.After(now) {
		target.ColdUntil = e.coldUntil
	}
	return target
}

// leastConnections is what a VM may open to a target, however many VMs there are.
const leastConnections = 1

// share returns this VM's part of a number that all VMs share, at least one.
func share(total uint32, vms int) int {
	const unlimited = 64
	if total == 0 {
		return unlimited
	}
	return max(int(total)/max(vms, 1), leastConnections)
}

func usable(r *pb.Registration) bool {
	return r.State == pb.RegistrationState_REGISTRATION_STATE_READY
}

func domainsTakenOut(c *pb.Configuration) map[string]bool {
	domains := map[string]bool{}
	for _, domain := range c.GetFailureDomains() {
		if domain.State == pb.ServingState_SERVING_STATE_TAKEN_OUT {
			domains[domain.Name] = true
		}
	}
	return domains
}

func servicesByName(table *pb.RouteTable) map[string]*pb.RouteService {
	services := make(map[string]*pb.RouteService, len(table.GetServices()))
	for _, service := range table.GetServices() {
		services[service.Name] = service
	}
	return services
}
