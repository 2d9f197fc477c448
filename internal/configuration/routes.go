package configuration

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// addRoutes moves the routes and registrations that changed since the delta's
// base from its root to the delta itself.
func addRoutes(delta *pb.ConfigurationDelta, c *pb.Configuration) {
	base := delta.BaseRevision
	delta.Root.RouteTable, delta.Root.Registrations = nil, nil
	if c.RouteTable.GetRevision() > base || base == 0 {
		delta.RouteTable = c.RouteTable
	}
	for _, registration := range c.Registrations {
		if registration.Revision > base || base == 0 {
			delta.Registrations = append(delta.Registrations, registration)
		}
	}
	for _, removal := range c.Removals {
		if removal.Revision > base {
			delta.Removals = append(delta.Removals, removal)
		}
	}
	delta.RemovalsSince = c.RemovalsSince
}

// joinRoutes completes next with the routes and registrations that current and
// the delta lead to. A delta without a base replaces them all.
func joinRoutes(next, current *pb.Configuration, delta *pb.ConfigurationDelta) {
	next.RouteTable = delta.RouteTable
	next.RemovalsSince = delta.RemovalsSince
	if delta.BaseRevision == 0 {
		next.Registrations = delta.Registrations
		next.Removals = delta.Removals
		return
	}
	if next.RouteTable == nil {
		next.RouteTable = current.GetRouteTable()
	}
	next.Registrations = JoinRegistrations(current.GetRegistrations(), delta.Registrations, delta.Removals)
	next.Removals = joinRemovals(current.GetRemovals(), delta)
}

// JoinRegistrations returns the registrations after the changes, in ascending
// order of their identifiers. Of several entries about a target the one with the
// highest revision counts.
func JoinRegistrations(before, changed []*pb.Registration, removals []*pb.Removal) []*pb.Registration {
	known := make(map[string]*pb.Registration, len(before)+len(changed))
	for _, list := range [][]*pb.Registration{before, changed} {
		for _, registration := range list {
			if had := known[registration.Id]; had == nil || had.Revision <= registration.Revision {
				known[registration.Id] = registration
			}
		}
	}
	for _, removal := range removals {
		if had := known[removal.Id]; had != nil && had.Revision < removal.Revision {
			delete(known, removal.Id)
		}
	}
	joined := make([]*pb.Registration, 0, len(known))
	for _, registration := range known {
		joined = append(joined, registration)
	}
	slices.SortFunc(joined, func(a, b *pb.Registration) int { return strings.Compare(a.Id, b.Id) })
	return joined
}

// joinRemovals returns the removals that both sides know, as far back as the
// sender of the delta knows them without a gap.
func joinRemovals(before []*pb.Removal, delta *pb.ConfigurationDelta) []*pb.Removal {
	joined := make([]*pb.Removal, 0, len(before)+len(delta.Removals))
	for _, removal := range before {
		if removal.Revision > delta.RemovalsSince && removal.Revision <= delta.BaseRevision {
			joined = append(joined, removal)
		}
	}
	return append(joined, delta.Removals...)
}

// stampRoutes gives what changed in the routes and registrations the revision of
// the configuration.
func stampRoutes(previous, next *pb.Configuration) {
	if table := next.RouteTable; table != nil {
		stamped, _ := proto.Clone(table).(*pb.RouteTable)
		stamped.Revision = previous.GetRouteTable().GetRevision()
		if !proto.Equal(stamped, previous.GetRouteTable()) {
			stamped.Revision = next.Revision
		}
		next.RouteTable = stamped
	}
	known := map[string]*pb.Registration{}
	for _, registration := range previous.GetRegistrations() {
		known[registration.Id] = registration
	}
	registrations := make([]*pb.Registration, 0, len(next.Registrations))
	for _, registration := range next.Registrations {
		stamped, _ := proto.Clone(registration).(*pb.Registration)
		stamped.Revision = known[registration.Id].GetRevision()
		if !proto.Equal(stamped, known[registration.Id]) {
			stamped.Revision = next.Revision
		}
		registrations = append(registrations, stamped)
	}
	next.Registrations = registrations
	next.RemovalsSince = previous.GetRemovalsSince()
	if len(known)+len(registrations) > 0 {
		// Operators' revisions carry no removals; VMs take them whole.
		next.RemovalsSince = next.Revision
	}
}
