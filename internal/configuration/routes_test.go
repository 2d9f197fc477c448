package configuration_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/configuration"
	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// A VM that receives deltas must have the same registrations as the VM that sends
// them, whichever revisions it did not receive.
func TestRegistrationsFromDeltasMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := &pb.Configuration{Revision: 1, RouteTable: &pb.RouteTable{Revision: 1, Version: 1}}
		var receiver *pb.Configuration
		for revision := uint64(2); revision < 30; revision++ {
			next := proto.Clone(sender).(*pb.Configuration)
			next.Revision = revision
			id := fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(t, "target"))
			var changed []*pb.Registration
			var removed []*pb.Removal
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				removed = append(removed, &pb.Removal{Id: id, Revision: revision})
				next.Removals = append(next.Removals, removed...)
			case 1:
				next.RouteTable = &pb.RouteTable{Revision: revision, Version: revision}
			default:
				changed = append(changed, &pb.Registration{Id: id, Service: "s", Address: "10.0.0.1:1", Revision: revision})
			}
			next.Registrations = configuration.MergeRegistrations(sender.Registrations, changed, removed)
			if rapid.IntRange(0, 9).Draw(t, "gap") == 0 {
				next.Removals, next.RemovalsSince = nil, revision
			}
			sender = next
			if rapid.Bool().Draw(t, "told") {
				var err error
				receiver, _, err = configuration.ApplyDelta(receiver, configuration.MakeDelta(sender, receiver.GetRevision()))
				require.NoError(t, err)
				require.Len(t, receiver.Registrations, len(sender.Registrations))
				for i := range sender.Registrations {
					require.True(t, proto.Equal(sender.Registrations[i], receiver.Registrations[i]))
				}
				require.Equal(t, sender.RouteTable.Version, receiver.RouteTable.Version)
			}
		}
	})
}

func TestDeltaCarriesOnlyChangedRoutes(t *testing.T) {
	c := &pb.Configuration{
		Revision:      9,
		RouteTable:    &pb.RouteTable{Revision: 3, Version: 1},
		Registrations: []*pb.Registration{{Id: "a", Revision: 4}, {Id: "b", Revision: 8}},
		Removals:      []*pb.Removal{{Id: "c", Revision: 5}, {Id: "d", Revision: 9}},
		RemovalsSince: 2,
	}
	delta := configuration.MakeDelta(c, 6)
	require.Nil(t, delta.RouteTable)
	require.Empty(t, delta.Root.Registrations)
	require.Len(t, delta.Registrations, 1)
	require.Len(t, delta.Removals, 1)
	full := configuration.MakeDelta(c, 1)
	require.Zero(t, full.BaseRevision, "removals before revision 2 are not known")
	require.Len(t, full.Registrations, 2)
}

// Guards against an older configuration in a copy of the store that replaces a newer one, and
// against a newer one that is ignored.
func TestRouteTablesOfTwoErasAreOrderedByVersion(t *testing.T) {
	table := func(e, revision, version uint64) *pb.RouteTable {
		position, err := era.Join(e, revision)
		require.NoError(t, err)
		return &pb.RouteTable{Revision: position, Version: version}
	}
	known := table(1, 30, 9)
	for name, c := range map[string]struct {
		next  *pb.RouteTable
		newer bool
	}{
		"the same":                                   {table(1, 30, 9), false},
		"earlier in the era":                         {table(1, 29, 8), false},
		"later in the era":                           {table(1, 31, 10), true},
		"later in the era with a lower version":      {table(1, 31, 8), true},
		"the copy's":                                 {table(2, 22, 2), false},
		"written again":                              {table(2, 23, 9), true},
		"next version at a lost revision":            {table(2, 30, 10), true},
		"kept from an earlier era with a higher one": {table(0, 5, 10), true},
		"of an earlier era with the same version":    {table(0, 99, 9), false},
		"of a later era without a version":           {table(2, 22, 0), true},
		"of an earlier era without a version":        {table(0, 22, 0), false},
		"none":                                       {nil, false},
	} {
		require.Equal(t, c.newer, configuration.NewerRouteTable(known, c.next), name)
	}
	require.True(t, configuration.NewerRouteTable(nil, known))

	copied := &pb.Configuration{Revision: table(2, 23, 0).Revision, RouteTable: table(2, 22, 2), Removals: []*pb.Removal{{Id: "x"}}}
	current := &pb.Configuration{Revision: known.Revision, RouteTable: known}
	kept := configuration.KeepNewerRouteTable(current, copied)
	require.Equal(t, known, kept.RouteTable)
	require.Equal(t, copied.Revision, kept.Revision)
	require.Equal(t, copied.Removals, kept.Removals)
	require.EqualValues(t, 2, copied.RouteTable.Version, "the argument is not changed")
	require.Same(t, copied, configuration.KeepNewerRouteTable(nil, copied))
}
