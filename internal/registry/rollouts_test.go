package registry_test

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/registry"
)

// Guards against a status that is taken for that of another order, and against a version that
// was refused and gets requests under a later order.
func TestOrderIsJoinedWithItsStatus(t *testing.T) {
	store := &fakeStore{pageSize: 2}
	store.putRoutes(1)
	source := registry.NewSource(store, zerolog.Nop())
	order := func(version string) uint64 {
		store.put(registry.Entry{Key: "o/s", Rollout: &pb.Rollout{Service: "s", Version: version, RampMs: 12000}})
		return store.revision()
	}
	status := func(of uint64, version string, state pb.RolloutState) {
		store.put(registry.Entry{Key: "st/s", RolloutStatus: &pb.Rollout{Service: "s", Version: version, StatusOrderRevision: of, State: state, Share: 0.05}})
	}
	read := func() []*pb.Rollout {
		result, err := source.Watch(context.Background(), 0)
		require.NoError(t, err)
		return result.Configuration.GetRollouts()
	}
	first := order("v2")
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_RUNNING, read()[0].State)
	status(first, "v2", pb.RolloutState_ROLLOUT_STATE_RUNNING)
	r := read()[0]
	require.Equal(t, first, r.OrderRevision)
	require.InDelta(t, 0.05, r.Share, 1e-9)
	status(first, "v2", pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK)
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, read()[0].State)

	second := order("v3")
	r = read()[0]
	require.Equal(t, second, r.OrderRevision)
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_RUNNING, r.State)
	require.Zero(t, r.Share)
	require.Equal(t, []string{"v2"}, r.RefusedVersions)
	require.Equal(t, first, r.StatusOrderRevision)
	status(second, "v3", pb.RolloutState_ROLLOUT_STATE_COMPLETED)
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_COMPLETED, read()[0].State)
	order("v3")
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_COMPLETED, read()[0].State, "a repeated order leaves only its version")
	store.remove("o/s")
	require.Empty(t, read(), "a service without an order uses all its targets")
}

// Guards against an outage because an operator orders the version that is in use: there is no
// other version that may serve while the share is low.
func TestOrderForTheVersionInUseIsCompleted(t *testing.T) {
	store := &fakeStore{pageSize: 2}
	store.putRoutes(1)
	version := func(v string) func(*pb.Registration, *registry.Entry) {
		return func(r *pb.Registration, _ *registry.Entry) { r.SoftwareVersion = v }
	}
	order := func(v string) uint64 {
		store.put(registry.Entry{Key: "o/s", Rollout: &pb.Rollout{Service: "s", Version: v, RampMs: 12000}})
		return store.revision()
	}
	source := registry.NewSource(store, zerolog.Nop())
	state := func() pb.RolloutState {
		result, err := source.Watch(context.Background(), 0)
		require.NoError(t, err)
		return result.Configuration.GetRollouts()[0].State
	}
	store.register("one", version("v1"))
	order("v1")
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_COMPLETED, state(), "it is the only version")

	second := order("v2")
	store.register("two", version("v2"))
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_RUNNING, state())
	store.put(registry.Entry{Key: "st/s", RolloutStatus: &pb.Rollout{
		Service: "s", Version: "v2", StatusOrderRevision: second, State: pb.RolloutState_ROLLOUT_STATE_RUNNING, BaseVersions: []string{"v1"},
	}})
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_RUNNING, state())
	order("v1")
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_COMPLETED, state(), "the operator goes back")
	order("v3")
	require.Equal(t, pb.RolloutState_ROLLOUT_STATE_RUNNING, state(), "v3 has never been in use")
}
