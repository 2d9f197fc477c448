package registry_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/registry"
)

// newReturningStore returns a store of the first era with a route table of version 1 and the
// target a.
func newReturningStore() *fakeStore {
	store := &fakeStore{pageSize: 10, era: 1}
	store.putRoutes(1)
	store.register("a", nil)
	return store
}

// copyOf returns the number of entries that a copy of the store holds now.
func copyOf(store *fakeStore) int { return len(store.log) }

func states(c *pb.Configuration) map[string]pb.RegistrationState {
	states := map[string]pb.RegistrationState{}
	for _, r := range c.GetRegistrations() {
		states[r.Id] = r.State
	}
	return states
}

const (
	ready    = pb.RegistrationState_REGISTRATION_STATE_READY
	draining = pb.RegistrationState_REGISTRATION_STATE_DRAINING
)

func withReport(state pb.RegistrationState, sequence uint64) func(*pb.Registration, *registry.Entry) {
	return func(r *pb.Registration, e *registry.Entry) { r.State, e.Sequence = state, sequence }
}

// Guards against changes that are ignored or missed as their revisions were given out before.
func TestChangesAfterAReturnAreTakenOver(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprintf("%d writes lost", lost), func(t *testing.T) {
			store := newReturningStore()
			copied := copyOf(store)
			source := registry.NewSource(store, zerolog.Nop())
			watch(t, source)
			for i := range lost {
				store.register("a", withReport(ready, uint64(2+i)))
			}
			before, err := source.Watch(context.Background(), 0)
			require.NoError(t, err)
			store.goBack(copied)
			store.putRoutes(2)
			store.register("b", nil)
			after := watch(t, source)
			require.EqualValues(t, 2, after.RouteTable.Version)
			require.Equal(t, []string{"a", "b"}, ids(after))
			require.Greater(t, after.Revision, before.Version)
			require.GreaterOrEqual(t, after.RemovalsSince, before.Version, "what the copy lacks is not known to others")
			store.putRoutes(3)
			require.EqualValues(t, 3, watch(t, source).RouteTable.Version)
		})
	}
}

// Guards against entries that stay although the store does not have them any more.
func TestEntriesThatTheCopyLacksAreGone(t *testing.T) {
	store := newReturningStore()
	copied := copyOf(store)
	store.register("b", nil)
	store.put(registry.Entry{Key: "d", DomainTakenOut: "x"})
	source := registry.NewSource(store, zerolog.Nop())
	before := watch(t, source)
	require.Equal(t, []string{"a", "b"}, ids(before))
	require.Len(t, before.FailureDomains, 1)
	store.goBack(copied)
	after := watch(t, source)
	require.Equal(t, []string{"a"}, ids(after))
	require.Empty(t, after.FailureDomains)
}

// Guards against an older configuration in the copy that replaces the one in force, also when the
// operator writes several versions again.
func TestOlderRoutesOfTheCopyAreIgnored(t *testing.T) {
	store := newReturningStore()
	copied := copyOf(store)
	source := registry.NewSource(store, zerolog.Nop())
	for version := uint64(2); version <= 5; version++ {
		store.putRoutes(version)
	}
	watch(t, source)
	store.goBack(copied)
	require.EqualValues(t, 5, watch(t, source).RouteTable.Version)
	for version := uint64(1); version < 5; version++ {
		store.putRoutes(version)
		require.Nil(t, watch(t, source), "version %d is older", version)
	}
	for version := uint64(5); version <= 6; version++ {
		store.putRoutes(version)
		require.EqualValues(t, version, watch(t, source).RouteTable.Version)
	}
}

// Guards against a target that left or drains and is ready again by its entry in the copy, and
// against one that stays away although it has started or reported again.
func TestOlderReportsOfTheCopyAreIgnored(t *testing.T) {
	store := newReturningStore()
	store.register("b", nil)
	store.register("c", nil)
	copied := copyOf(store)
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.register("a", withReport(draining, 2))
	store.remove("t/b")
	watch(t, source)
	for range 2 {
		store.goBack(copied)
		require.Equal(t, map[string]pb.RegistrationState{"a": draining, "c": ready}, states(watch(t, source)))
	}
	store.register("a", withReport(draining, 3))
	store.register("b", func(r *pb.Registration, _ *registry.Entry) { r.StartedUnixMs = 2000 })
	require.Equal(t, map[string]pb.RegistrationState{"a": draining, "b": ready, "c": ready}, states(watch(t, source)))
	store.remove("t/a")
	store.register("a", func(r *pb.Registration, _ *registry.Entry) { r.StartedUnixMs = 0 })
	require.Equal(t, ready, states(watch(t, source))["a"], "what comes after a removal is no copy")
}

// Guards against targets without a start time that count as older after a restart.
func TestReportsWithoutStartAreNotComparedAcrossEras(t *testing.T) {
	store := newReturningStore()
	copied := copyOf(store)
	without := func(sequence uint64, address string) func(*pb.Registration, *registry.Entry) {
		return func(r *pb.Registration, e *registry.Entry) {
			r.StartedUnixMs, r.Address, e.Sequence = 0, address, sequence
		}
	}
	store.register("b", without(50, "10.0.0.1:80"))
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.goBack(copied)
	store.register("b", without(1, "10.0.0.2:80"))
	require.Equal(t, "10.0.0.2:80", watch(t, source).Registrations[1].Address)
}

// Guards against a listing whose pages are of two eras.
func TestReturnDuringAListing(t *testing.T) {
	store := newReturningStore()
	store.pageSize = 1
	copied := copyOf(store)
	store.register("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	store.beforePage = func(int) {
		store.beforePage = nil
		store.goBack(copied)
	}
	require.Equal(t, []string{"a"}, ids(watch(t, source)), "the first listing is repeated at once")
	store.register("c", nil)
	watch(t, source)
	store.goBack(copied)
	store.beforePage = func(int) {
		store.beforePage = nil
		store.goBack(copied)
	}
	_, err := source.Watch(context.Background(), 0)
	require.ErrorIs(t, err, registry.ErrEraEnded)
	require.Equal(t, []string{"a"}, ids(watch(t, source)))
}

// Guards against changes for callers when a store begins to name eras, or a new era begins
// without a loss.
func TestEraThatBeginsWithoutALoss(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(4)
	store.register("a", withReport(draining, 7))
	store.register("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	before := watch(t, source)
	for range 3 {
		store.goBack(copyOf(store))
		after := watch(t, source)
		require.Equal(t, store.era, era.Of(after.Revision))
		require.Equal(t, states(before), states(after))
		require.EqualValues(t, 4, after.RouteTable.Version)
		require.Equal(t, store.era, era.Of(after.RouteTable.Revision))
	}
}
