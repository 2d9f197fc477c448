package e2e_test

import (
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// propagationLimit bounds the time until an accepted configuration is in force
// on every VM.
const propagationLimit = 4 * time.Second

// revision returns the revision in force on a VM.
func revision(t *testing.T, vm *testkit.VM) uint64 {
	t.Helper()
	response, err := vm.Admin.GetStatus(t.Context(), connect.NewRequest(&pb.GetStatusRequest{}))
	require.NoError(t, err)
	return response.Msg.ConfigurationRevision
}

// rowLimitChange returns a request that changes only the row limit of the
// configuration in force on a VM.
func rowLimitChange(t *testing.T, vm *testkit.VM, rowLimit uint32) *pb.ApplyConfigurationRequest {
	t.Helper()
	response, err := vm.Admin.GetConfiguration(t.Context(), connect.NewRequest(&pb.GetConfigurationRequest{}))
	require.NoError(t, err)
	next := proto.Clone(response.Msg.Configuration).(*pb.Configuration)
	next.Fronts[0].Limits.DefaultRowLimit = rowLimit
	next.Author = vm.ID
	return &pb.ApplyConfigurationRequest{Configuration: next, ExpectedRevision: next.Revision}
}

func apply(t *testing.T, vm *testkit.VM, request *pb.ApplyConfigurationRequest) *pb.ApplyConfigurationResponse {
	t.Helper()
	response, err := vm.Admin.ApplyConfiguration(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	return response.Msg
}

func requirePropagated(t *testing.T, d *testkit.Deployment, wanted uint64) {
	t.Helper()
	for _, vm := range d.VMs {
		err := testkit.Poll(t.Context(), propagationLimit, func() bool { return revision(t, vm) >= wanted })
		require.NoError(t, err, "%s is at revision %d, not %d", vm.ID, revision(t, vm), wanted)
	}
}

// Of operators that apply concurrently, exactly one wins. The others get a
// conflict response that names the winner and the difference, and nothing is
// overwritten.
func TestConcurrentOperatorsHaveOneWinner(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	for round := range uint32(5) {
		requests := make([]*pb.ApplyConfigurationRequest, 0, len(d.VMs))
		for i, vm := range d.VMs {
			requests = append(requests, rowLimitChange(t, vm, 100+10*round+uint32(i)))
		}
		responses := make([]*pb.ApplyConfigurationResponse, len(d.VMs))
		var race sync.WaitGroup
		for i, vm := range d.VMs {
			race.Go(func() { responses[i] = apply(t, vm, requests[i]) })
		}
		race.Wait()
		accepted := uint64(0)
		for _, response := range responses {
			if response.Status == pb.ApplyStatus_APPLY_STATUS_ACCEPTED {
				require.Zero(t, accepted, "more than one operator won")
				accepted = response.Revision
			}
		}
		require.NotZero(t, accepted)
		for _, response := range responses {
			if response.Status != pb.ApplyStatus_APPLY_STATUS_ACCEPTED {
				require.Equal(t, pb.ApplyStatus_APPLY_STATUS_CONFLICT, response.Status, response.String())
				require.Equal(t, accepted, response.Revision)
				require.NotEmpty(t, response.Winner)
				require.NotEmpty(t, response.Difference)
			}
		}
		requirePropagated(t, d, accepted)
		requireSameConfiguration(t, d)
	}
}

// requireSameConfiguration requires that all VMs hold the configuration that is
// in the store.
func requireSameConfiguration(t *testing.T, d *testkit.Deployment) {
	t.Helper()
	stored, err := d.VMs[0].Admin.GetConfiguration(t.Context(), connect.NewRequest(&pb.GetConfigurationRequest{FromStore: true}))
	require.NoError(t, err)
	for _, vm := range d.VMs {
		local, err := vm.Admin.GetConfiguration(t.Context(), connect.NewRequest(&pb.GetConfigurationRequest{}))
		require.NoError(t, err)
		require.True(t, proto.Equal(stored.Msg.Configuration, local.Msg.Configuration), vm.ID)
	}
}

// If the store's answer to a write is lost, the VM reads the store back to learn
// the outcome and reports it correctly: an accepted revision comes into force,
// and after a change reported as not run the store is unchanged.
func TestLostStoreWriteAnswersAreReportedCorrectly(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	expected := revision(t, d.VMs[0])
	for lost := range uint32(6) {
		require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{LosePutAnswers: lost}))
		response := apply(t, d.VMs[0], rowLimitChange(t, d.VMs[0], 200+lost))
		require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{}))
		if lost <= 1 {
			require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, response.Status, response.String())
		}
		if response.Status == pb.ApplyStatus_APPLY_STATUS_ACCEPTED {
			expected++
			require.Equal(t, expected, response.Revision)
		} else {
			require.Equal(t, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, response.Status, response.String())
		}
		stored, err := d.VMs[0].Admin.GetConfiguration(t.Context(), connect.NewRequest(&pb.GetConfigurationRequest{FromStore: true}))
		require.NoError(t, err)
		require.Equal(t, expected, stored.Msg.Configuration.Revision)
		requirePropagated(t, d, expected)
	}
}

// During a store outage, changes are refused as not run, a restarted VM gets the
// configuration from its peers, and a revision accepted right before the outage
// still reaches every VM and is never reverted.
func TestConfigurationDuringStoreOutage(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	accepted := apply(t, d.VMs[0], rowLimitChange(t, d.VMs[0], 300))
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, accepted.Status, accepted.String())
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{Outage: true}))
	requirePropagated(t, d, accepted.Revision)
	refused := apply(t, d.VMs[1], rowLimitChange(t, d.VMs[1], 301))
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, refused.Status, refused.String())
	restarted := d.VMs[2]
	restarted.Kill()
	require.NoError(t, d.StartVM(restarted))
	require.NoError(t, d.AwaitReady(t.Context()))
	requirePropagated(t, d, accepted.Revision)
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{}))
	again := apply(t, d.VMs[1], rowLimitChange(t, d.VMs[1], 302))
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, again.Status, again.String())
	requirePropagated(t, d, again.Revision)
}

// A VM that can reach neither the store nor a peer is not ready and reports why.
func TestIsolatedVMIsNotReady(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	for _, vm := range d.VMs {
		vm.Kill()
	}
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{Outage: true}))
	isolated := d.VMs[0]
	require.NoError(t, d.StartVM(isolated))
	var reason string
	require.NoError(t, testkit.Poll(t.Context(), 10*time.Second, func() bool {
		response, err := isolated.Admin.GetStatus(t.Context(), connect.NewRequest(&pb.GetStatusRequest{}))
		if err != nil {
			return false
		}
		require.False(t, response.Msg.Ready)
		reason = response.Msg.NotReadyReason
		return reason != ""
	}))
	require.Contains(t, reason, "no configuration is known")
}

// Taking out the last failure domain in service is refused unless forced.
func TestLastFailureDomainIsNotTakenOut(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	takeOut(t, d, d.VMs[0], "a")
	requirePropagated(t, d, 2)
	takeOut(t, d, d.VMs[0], "b")
	request := &pb.SetServingStateRequest{
		FailureDomain: "c", State: pb.ServingState_SERVING_STATE_TAKEN_OUT, Author: "test",
	}
	response, err := d.VMs[0].Admin.SetServingState(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_UNSAFE, response.Msg.Status, response.Msg.String())
	request.Force = true
	response, err = d.VMs[0].Admin.SetServingState(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, response.Msg.Status, response.Msg.String())
}
