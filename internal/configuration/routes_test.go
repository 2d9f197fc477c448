package configuration_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// A VM that receives any sequence of deltas must end up with the same
// registrations as the VM that follows the store.
func TestRegistrationsFromDeltasMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &pb.Configuration{Revision: 1, RouteTable: &pb.RouteTable{Revision: 1, Version: 1}}
		var follower *pb.Configuration
		for revision := uint64(2); revision < 30; revision++ {
			next := proto.Clone(source).(*pb.Configuration)
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
			next.Registrations = configuration.MergeRegistrations(source.Registrations, changed, removed)
			if rapid.IntRange(0, 9).Draw(t, "gap") == 0 {
				next.Removals, next.RemovalsSince = nil, revision
			}
			source = next
			if rapid.Bool().Draw(t, "told") {
				var err error
				follower, _, err = configuration.ApplyDelta(follower, configuration.MakeDelta(source, follower.GetRevision()))
				require.NoError(t, err)
				require.Len(t, follower.Registrations, len(source.Registrations))
				for i := range source.Registrations {
					require.True(t, proto.Equal(source.Registrations[i], follower.Registrations[i]))
				}
				require.Equal(t, source.RouteTable.Version, follower.RouteTable.Version)
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
