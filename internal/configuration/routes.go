package configuration

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// addRoutingData clears the route table and registrations in the delta's root. It
// adds those that changed since the delta's base to the delta itself, together with
// the removals since then.
func addRoutingData(delta *pb.ConfigurationDelta, c *pb.Configuration) {
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

// mergeRoutingData sets the routing data of next (route table, registrations and
// removals) by applying the delta to that of current. A delta with base zero
// replaces all of it.
func mergeRoutingData(next, current *pb.Configuration, delta *pb.ConfigurationDelta) {
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
	next.Registrations = MergeRegistrations(current.GetRegistrations(), delta.Registrations, delta.Removals)
	next.Removals = mergeRemovals(current.GetRemovals(), delta)
}

// NewerRouteTable reports whether next replaces known, which may be nil. Within an era of the
// store, its revisions order route tables. A later era may begin with an older table, from the
// store's copy, so that tables of two eras are ordered by the operator's version; the later
// era's comes first if that is equal or missing.
func NewerRouteTable(known, next *pb.RouteTable) bool {
	switch {
	case known == nil || next == nil:
		return next != nil
	case era.Of(known.Revision) != era.Of(next.Revision) && known.Version != next.Version && known.Version > 0 && next.Version > 0:
		return next.Version > known.Version
	default:
		return next.Revision > known.Revision
	}
}

// KeepNewerRouteTable returns next, or a copy of it with the route table of current if both
// have one and that of current is newer, as NewerRouteTable has it. Both may be nil.
func KeepNewerRouteTable(current, next *pb.Configuration) *pb.Configuration {
	if next.GetRouteTable() == nil || !NewerRouteTable(next.RouteTable, current.GetRouteTable()) {
		return next
	}
	return WithRouteTable(next, current.RouteTable)
}

// WithRouteTable returns a copy of c with another route table.
func WithRouteTable(c *pb.Configuration, table *pb.RouteTable) *pb.Configuration {
	copied := Assemble(Root(c, Keys{}), c.Fronts)
	copied.Removals = c.Removals
	copied.RouteTable = table
	return copied
}

// MergeRegistrations applies changed registrations and removals to before and
// returns the result in ascending order of ID. Of several entries for a target,
// the one with the highest revision wins.
func MergeRegistrations(before, changed []*pb.Registration, removals []*pb.Removal) []*pb.Registration {
	known := make(map[string]*pb.Registration, len(before)+len(changed))
	for _, list := range [][]*pb.Registration{before, changed} {
		for _, registration := range list {
			if previous := known[registration.Id]; previous == nil || previous.Revision <= registration.Revision {
				known[registration.Id] = registration
			}
		}
	}
	for _, removal := range removals {
		if previous := known[removal.Id]; previous != nil && previous.Revision < removal.Revision {
			delete(known, removal.Id)
		}
	}
	merged := make([]*pb.Registration, 0, len(known))
	for _, registration := range known {
		merged = append(merged, registration)
	}
	slices.SortFunc(merged, func(a, b *pb.Registration) int { return strings.Compare(a.Id, b.Id) })
	return merged
}

// mergeRemovals returns the removals of the delta, preceded by those of before up to
// the delta's base. It drops removals up to delta.RemovalsSince, since the sender's
// list is complete only after that revision.
func mergeRemovals(before []*pb.Removal, delta *pb.ConfigurationDelta) []*pb.Removal {
	merged := make([]*pb.Removal, 0, len(before)+len(delta.Removals))
	for _, removal := range before {
		if removal.Revision > delta.RemovalsSince && removal.Revision <= delta.BaseRevision {
			merged = append(merged, removal)
		}
	}
	return append(merged, delta.Removals...)
}

// stampRoutingData sets the revision of the route table and of each registration: the
// new configuration's revision where it changed, the previous one otherwise.
func stampRoutingData(previous, next *pb.Configuration) {
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
		// Revisions applied by operators carry no removals, so VMs must load them
		// in full rather than as a delta.
		next.RemovalsSince = next.Revision
	}
}
