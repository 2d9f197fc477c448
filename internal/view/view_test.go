package view_test

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

func members(n int, skip int) []view.VM {
	var vms []view.VM
	for i := range n {
		if i == skip {
			continue
		}
		vms = append(vms, view.VM{
			ID:            fmt.Sprintf("vm-%02d", i),
			FailureDomain: "a",
			State:         pb.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	return vms
}

func configuration(targets int) *pb.Configuration {
	service := &pb.Service{Name: "s"}
	for i := range targets {
		service.Targets = append(service.Targets, &pb.Target{
			Id:            fmt.Sprintf("t-%03d", i),
			FailureDomain: "a",
			State:         pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	return &pb.Configuration{
		Revision: 1,
		FailureDomains: []*pb.FailureDomain{
			{Name: "a", State: pb.ServingState_SERVING_STATE_IN_SERVICE},
		},
		Fronts: []*pb.Front{{Name: "f", Services: []*pb.Service{service}}},
	}
}

// A VM that leaves moves only the targets it owned, and an incremental build
// assigns the same owners as a build from scratch.
func TestVMRemovalMovesOnlyItsTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "vms")
		removed := rapid.IntRange(1, n-1).Draw(t, "gone")
		config := configuration(60)
		self := members(n, -1)[0]
		before := view.Build(view.Input{Self: self, VMs: members(n, -1), Configuration: config}, nil)
		after := view.Build(view.Input{Self: self, VMs: members(n, removed), Configuration: config}, before)
		fresh := view.Build(view.Input{Self: self, VMs: members(n, removed), Configuration: config}, nil)
		for i := range 60 {
			id := fmt.Sprintf("t-%03d", i)
			previousOwner, _ := before.Owner(id)
			currentOwner, ok := after.Owner(id)
			require.True(t, ok)
			if previousOwner.ID != fmt.Sprintf("vm-%02d", removed) {
				require.Equal(t, previousOwner.ID, currentOwner.ID)
			}
			freshOwner, _ := fresh.Owner(id)
			require.Equal(t, freshOwner.ID, currentOwner.ID)
		}
		require.Equal(t, fresh.OwnedTargets(), after.OwnedTargets())
	})
}

func TestTargetsInDomainWithoutVMsHaveNoOwner(t *testing.T) {
	self := view.VM{ID: "other", FailureDomain: "b", State: pb.MemberState_MEMBER_STATE_ALIVE}
	v := view.Build(view.Input{Self: self, Configuration: configuration(1)}, nil)
	_, ok := v.Owner("t-000")
	require.False(t, ok)
	require.True(t, v.InService("t-000"))
}
