package routing

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/organisation"
	"github.com/carawayreel/carawayreel/internal/rollout"
)

// Compiler compiles successive configurations into tables. The health of a target is
// kept from one table to the next. It is not safe for concurrent use.
type Compiler struct {
	tracker  *health.Tracker
	location Location
	// gracePeriod is how long a lapsed target may still get requests that no other
	// target can take.
	gracePeriod time.Duration
	// gatherers is the number of VMs that gather answers for others if this VM is one of
	// them, and 0 otherwise.
	gatherers int

	entries map[string]*entry
	// nextChange is when the first lapsed target must be removed.
	nextChange time.Time
}

// entry is the state that the Compiler keeps for a target.
type entry struct {
	registration *pb.Registration
	health       *health.State
	coldUntil    time.Time
	// lapsedUntil is when the target must not be used any more; zero while it is registered.
	lapsedUntil time.Time
	// withdrawn is shared with the targets of all tables.
	withdrawn *atomic.Bool
}

// NewCompiler returns a Compiler without any targets. A target whose registration ends
// although it was not draining is kept as a last resort until the grace period has passed
// since the registration was last known: the target may still be alive, since a store that
// was unavailable loses registrations.
func NewCompiler(tracker *health.Tracker, location Location, gracePeriod time.Duration) *Compiler {
	return &Compiler{tracker: tracker, location: location, gracePeriod: gracePeriod, entries: map[string]*entry{}}
}

// NextChange returns when the table must be compiled again even if the configuration
// does not change, or zero if that is not necessary.
func (c *Compiler) NextChange() time.Time { return c.nextChange }

// SetGatherers states that this VM is one of n that gather answers for others, or that it
// is not if n is 0. Gatherers share most of the connections that the targets of shards
// allow.
func (c *Compiler) SetGatherers(n int) { c.gatherers = n }

// Compile returns the table of a configuration. The connections that each target
// allows are shared by vms VMs. replacedAt is the latest time at which the configuration of
// the previous table was known to be in force; zero if that is not known.
func (c *Compiler) Compile(configuration *pb.Configuration, vms int, replacedAt, now time.Time) *Table {
	routes := configuration.GetRouteTable()
	table := &Table{
		Revision:      configuration.GetRevision(),
		Version:       routes.GetVersion(),
		Limits:        routes.GetLimits(),
		Organisations: organisation.DirectoryOf(routes),
		services:      map[string]*Service{},
		targets:       map[string]*Target{},
	}
	table.addRoutes(routes)
	c.updateEntries(configuration.GetRegistrations(), replacedAt, now)
	takenOut := takenOutDomains(configuration)
	declared := servicesByName(routes)
	rollouts := rolloutsByService(configuration)
	for id, e := range c.entries {
		withdrawn := !ready(e.registration) || takenOut[e.registration.FailureDomain] ||
			rollout.Excludes(rollouts[e.registration.Service], e.registration.SoftwareVersion)
		e.withdrawn.Store(withdrawn)
		service, used := table.services[e.registration.Service]
		if !used || withdrawn {
			continue
		}
		target := c.target(e, declared[e.registration.Service], vms, now)
		if c.gatherers > 0 && service.shard {
			target.Connections = connectionShare(declared[service.Name].GetMaxConnections()/gatherersPart, c.gatherers)
		}
		service.Targets = append(service.Targets, target)
		table.targets[id] = target
	}
	for _, service := range table.services {
		slices.SortFunc(service.Targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
		c.location.setDistances(service.Targets, c.gatherers > 0 && service.shard)
	}
	return table
}

// updateEntries adds and updates the entries of registered targets and expires the
// others.
func (c *Compiler) updateEntries(registrations []*pb.Registration, replacedAt, now time.Time) {
	present := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.Id] = true
		c.register(registration, now)
	}
	c.nextChange = time.Time{}
	for id, e := range c.entries {
		if present[id] {
			e.lapsedUntil = time.Time{}
			continue
		}
		if e.lapsedUntil.IsZero() {
			// The registration may have ended at any time since the previous configuration was last in force.
			e.lapsedUntil = replacedAt.Add(c.gracePeriod)
		}
		if !now.Before(e.lapsedUntil) || !ready(e.registration) {
			e.withdrawn.Store(true)
			delete(c.entries, id)
			c.tracker.Forget(id)
			continue
		}
		if c.nextChange.IsZero() || e.lapsedUntil.Before(c.nextChange) {
			c.nextChange = e.lapsedUntil
		}
	}
}

func (c *Compiler) register(registration *pb.Registration, now time.Time) {
	e, ok := c.entries[registration.Id]
	same := ok && e.registration.StartedUnixMs == registration.StartedUnixMs &&
		e.registration.Address == registration.Address
	if !same {
		if ok {
			e.withdrawn.Store(true)
		}
		e = &entry{withdrawn: &atomic.Bool{}, health: c.tracker.Start(registration.Id, registration.FailureDomain)}
		c.entries[registration.Id] = e
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
			Connections: connectionShare(service.GetMaxConnections(), vms),
		},
		Service: r.Service, FailureDomain: r.FailureDomain, Version: r.SoftwareVersion, Slots: r.Slots,
		ColdPerSecond: service.GetColdRequestsPerS(),
		LapsedUntil:   e.lapsedUntil, withdrawn: e.withdrawn, Health: e.health,
	}
	if e.coldUntil.After(now) {
		target.ColdUntil = e.coldUntil
	}
	return target
}

// gatherersPart is the part (1/n) of the connections to a shard's targets that the
// gatherers share. The other VMs use the rest when they can't reach a gatherer.
const gatherersPart = 2

// minConnections is the number of connections that a VM may always open to a target,
// however many VMs there are.
const minConnections = 1

// connectionShare returns this VM's part of the connection limit that all VMs share, at
// least minConnections. A total of 0 means that no limit is configured.
func connectionShare(total uint32, vms int) int {
	const defaultConnections = 64
	if total == 0 {
		return defaultConnections
	}
	return max(int(total)/max(vms, 1), minConnections)
}

func ready(r *pb.Registration) bool {
	return r.State == pb.RegistrationState_REGISTRATION_STATE_READY
}

func takenOutDomains(c *pb.Configuration) map[string]bool {
	domains := map[string]bool{}
	for _, domain := range c.GetFailureDomains() {
		if domain.State == pb.ServingState_SERVING_STATE_TAKEN_OUT {
			domains[domain.Name] = true
		}
	}
	return domains
}

func rolloutsByService(c *pb.Configuration) map[string]*pb.Rollout {
	rollouts := make(map[string]*pb.Rollout, len(c.GetRollouts()))
	for _, r := range c.GetRollouts() {
		rollouts[r.Service] = r
	}
	return rollouts
}

func servicesByName(table *pb.RouteTable) map[string]*pb.RouteService {
	services := make(map[string]*pb.RouteService, len(table.GetServices()))
	for _, service := range table.GetServices() {
		services[service.Name] = service
	}
	return services
}
