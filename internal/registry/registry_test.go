package registry_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/registry"
)

// fakeStore is an in-memory Store that keeps the log of all changes. beforePage
// runs before each page except the first.
type fakeStore struct {
	log               []registry.Entry
	compactedRevision uint64
	pageSize          int
	beforePage        func(page int)
	lists             int
	down              bool
	// dropChanges makes watches return without the changes that occurred.
	dropChanges bool
	// staleBy is the number of latest changes missing from a stale listing.
	staleBy int
	// currentPages counts the pages read without allowStale.
	currentPages int
	// era is zero for a store that names none.
	era uint64
}

func (f *fakeStore) revision() uint64 { return f.position(len(f.log)) }

// position returns the revision of a log of n entries, in the order of all eras.
func (f *fakeStore) position(n int) uint64 {
	position, err := era.Join(f.era, uint64(n)+1)
	if err != nil {
		panic(err)
	}
	return position
}

// goBack makes the store come back, in the next era, from a copy that holds the first n
// entries of the log.
func (f *fakeStore) goBack(n int) {
	f.era++
	f.log = slices.Clone(f.log[:n])
	for i := range f.log {
		f.log[i].Revision = f.position(i + 1)
	}
}

func (f *fakeStore) put(e registry.Entry) {
	e.Revision = f.revision() + 1
	f.log = append(f.log, e)
}

func (f *fakeStore) remove(key string) { f.put(registry.Entry{Key: key, Deleted: true}) }

func (f *fakeStore) register(id string, modify func(*pb.Registration, *registry.Entry)) {
	r := &pb.Registration{Id: id, Service: "s", Address: "10.0.0.1:80", Slots: 2, State: pb.RegistrationState_REGISTRATION_STATE_READY, StartedUnixMs: 1000}
	e := registry.Entry{Key: "t/" + id, Registration: r, Sequence: 1}
	if modify != nil {
		modify(r, &e)
	}
	f.put(e)
}

func (f *fakeStore) putRoutes(version uint64) {
	f.put(registry.Entry{Key: "r", RouteTable: &pb.RouteTable{Version: version}})
}

func (f *fakeStore) List(_ context.Context, after string, allowStale bool) (registry.Page, error) {
	if f.down {
		return registry.Page{}, registry.ErrUnavailable
	}
	log := f.log
	if allowStale {
		log = f.log[:len(f.log)-f.staleBy]
	} else {
		f.currentPages++
	}
	if after != "" && f.beforePage != nil {
		f.beforePage(f.lists)
	}
	f.lists++
	present := map[string]registry.Entry{}
	for _, e := range log {
		present[e.Key] = e
	}
	page := registry.Page{Revision: f.position(len(log))}
	for _, key := range sortedKeys(present) {
		if e := present[key]; key > after && !e.Deleted {
			if len(page.Entries) == f.pageSize {
				page.More = true
				break
			}
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

func sortedKeys(m map[string]registry.Entry) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		i := 0
		for i < len(keys) && strings.Compare(keys[i], key) < 0 {
			i++
		}
		keys = append(keys[:i], append([]string{key}, keys[i:]...)...)
	}
	return keys
}

func (f *fakeStore) Changes(_ context.Context, revision uint64, _ time.Duration) (registry.Changes, error) {
	switch {
	case f.down:
		return registry.Changes{}, errors.Wrap(registry.ErrUnavailable, "down")
	case era.Of(revision) != f.era:
		return registry.Changes{}, registry.ErrEraEnded
	case revision < f.compactedRevision:
		return registry.Changes{}, registry.ErrCompacted
	}
	changes := registry.Changes{Revision: f.revision()}
	for _, e := range f.log {
		if e.Revision > revision && !f.dropChanges {
			changes.Entries = append(changes.Entries, e)
		}
	}
	return changes, nil
}

func watch(t *testing.T, s *registry.Source) *pb.Configuration {
	t.Helper()
	result, err := s.Watch(context.Background(), 0)
	require.NoError(t, err)
	return result.Configuration
}

func ids(c *pb.Configuration) []string {
	found := make([]string, 0, len(c.GetRegistrations()))
	for _, r := range c.GetRegistrations() {
		found = append(found, r.Id)
	}
	return found
}

// A key deleted between two pages of a listing would remain forever if the changes
// since the first page were not applied.
func TestKeyDeletedBetweenPagesIsRemoved(t *testing.T) {
	store := &fakeStore{pageSize: 2}
	store.putRoutes(7)
	store.register("a", nil)
	store.register("b", nil)
	store.register("c", nil)
	store.beforePage = func(int) { store.remove("t/a") }
	c := watch(t, registry.NewSource(store, zerolog.Nop()))
	require.Equal(t, []string{"b", "c"}, ids(c))
	require.EqualValues(t, 7, c.RouteTable.Version)
}

// The listing at startup may use stale reads, since the changes since the oldest
// page are applied afterwards.
func TestFirstListingMayBeStale(t *testing.T) {
	store := &fakeStore{pageSize: 2}
	store.putRoutes(7)
	store.register("a", nil)
	store.register("b", nil)
	store.register("c", nil)
	store.remove("t/a")
	store.putRoutes(8)
	store.staleBy = 2
	// The second page is staler than the first.
	store.beforePage = func(int) { store.staleBy = 3 }
	c := watch(t, registry.NewSource(store, zerolog.Nop()))
	require.Equal(t, []string{"b", "c"}, ids(c))
	require.EqualValues(t, 8, c.RouteTable.Version)
	require.Zero(t, store.currentPages)
}

func TestListingOlderThanHistoryIsRepeated(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(7)
	store.register("a", nil)
	store.remove("t/a")
	store.staleBy = 1
	store.compactedRevision = store.revision()
	c := watch(t, registry.NewSource(store, zerolog.Nop()))
	require.Empty(t, ids(c))
	require.Equal(t, 1, store.currentPages)
}

// After a restart of the process, a stale listing still holds a target that has left. If
// the watch omits the change, the target must not be used until the next watch.
func TestTargetThatLeftIsNotUsedAfterARestart(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	store.register("a", nil)
	store.register("b", nil)
	store.remove("t/a")
	store.staleBy = 1
	store.dropChanges = true
	s := registry.NewSource(store, zerolog.Nop())
	require.Equal(t, []string{"b"}, ids(watch(t, s)))
}

func TestOutdatedReportIsIgnored(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	draining := func(r *pb.Registration, e *registry.Entry) {
		r.State = pb.RegistrationState_REGISTRATION_STATE_DRAINING
		e.Sequence = 5
	}
	store.register("a", draining)
	source := registry.NewSource(store, zerolog.Nop())
	before := watch(t, source)
	store.register("a", func(_ *pb.Registration, e *registry.Entry) { e.Sequence = 4 })
	require.Nil(t, watch(t, source), "an older report of the same start")
	store.register("a", func(r *pb.Registration, e *registry.Entry) { r.StartedUnixMs = 900; e.Sequence = 99 })
	require.Nil(t, watch(t, source), "a report of an earlier start")
	require.Equal(t, pb.RegistrationState_REGISTRATION_STATE_DRAINING, before.Registrations[0].State)
	store.register("a", func(r *pb.Registration, e *registry.Entry) { r.StartedUnixMs = 2000; e.Sequence = 1 })
	after := watch(t, source)
	require.Equal(t, pb.RegistrationState_REGISTRATION_STATE_READY, after.Registrations[0].State)
	require.Greater(t, after.Revision, before.Revision)
}

func TestUnreadableEntryAffectsOnlyItsTarget(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	store.register("a", nil)
	store.register("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	require.Equal(t, []string{"a", "b"}, ids(watch(t, source)))
	store.put(registry.Entry{Key: "t/a", Problem: "not JSON"})
	store.put(registry.Entry{Key: "r", Problem: "not JSON"})
	c := watch(t, source)
	require.Equal(t, []string{"b"}, ids(c))
	require.EqualValues(t, 1, c.RouteTable.Version, "the previous routes must remain active")
}

func TestDroppedHistoryIsListedAgainAtLaterRevision(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	store.register("a", nil)
	store.register("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	before := watch(t, source)
	store.remove("t/a")
	store.compactedRevision = store.revision()
	after := watch(t, source)
	require.Equal(t, []string{"b"}, ids(after))
	require.Greater(t, after.Revision, before.Revision)
	require.GreaterOrEqual(t, after.RemovalsSince, before.Revision, "removals in the gap are unknown")
}

func TestColdStartCountdownIsNoChange(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	store.register("a", func(r *pb.Registration, _ *registry.Entry) { r.ColdForMs = 3000 })
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.register("a", func(r *pb.Registration, e *registry.Entry) { r.ColdForMs = 1800; e.Sequence = 2 })
	require.Nil(t, watch(t, source))
	store.register("a", func(_ *pb.Registration, e *registry.Entry) { e.Sequence = 3 })
	require.NotNil(t, watch(t, source), "the cold start is over")
}

func TestOutageKeepsState(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	store.register("a", nil)
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.down = true
	_, err := source.Watch(context.Background(), 0)
	require.ErrorIs(t, err, registry.ErrUnavailable)
	store.down = false
	store.register("b", nil)
	require.Equal(t, []string{"a", "b"}, ids(watch(t, source)))
}

// A store may end a watch at the latest revision without returning the changes
// made meanwhile. Without a new listing, requests reached a target 5.2 seconds
// after it had announced its departure (run fresh-fde2 on casgen-reel-grown).
func TestWatchThatOmitsChangesIsDetected(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.putRoutes(1)
	store.register("a", nil)
	store.register("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.remove("t/a")
	store.dropChanges = true
	require.Equal(t, []string{"b"}, ids(watch(t, source)))
	store.pageSize = 1
	store.beforePage = func(int) {
		store.beforePage = nil
		store.putRoutes(2)
	}
	store.remove("t/none")
	require.EqualValues(t, 1, watch(t, source).RouteTable.Version, "the route table was listed before it changed")
	store.dropChanges = false
	require.EqualValues(t, 2, watch(t, source).RouteTable.Version, "changes left out by the watch at the end of a listing must be read later")
}
