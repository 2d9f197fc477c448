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
