package registry_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/registry"
)

// fakeStore keeps every change; beforePage runs before each page but the first.
type fakeStore struct {
	log        []registry.Entry
	kept       uint64
	pageSize   int
	beforePage func(page int)
	lists      int
	down       bool
	// deaf makes watches end without the changes that there were.
	deaf bool
	// lag is the number of changes that a listing which may lag does not have yet.
	lag int
	// fresh counts the pages that had to be current.
	fresh int
}

func (f *fakeStore) revision() uint64 { return uint64(len(f.log)) + 1 }

func (f *fakeStore) put(e registry.Entry) {
	e.Revision = f.revision() + 1
	f.log = append(f.log, e)
}

func (f *fakeStore) remove(key string) { f.put(registry.Entry{Key: key, Deleted: true}) }

func (f *fakeStore) server(id string, change func(*pb.Registration, *registry.Entry)) {
	r := &pb.Registration{Id: id, Service: "s", Address: "10.0.0.1:80", Slots: 2, State: pb.RegistrationState_REGISTRATION_STATE_READY, StartedUnixMs: 1000}
	e := registry.Entry{Key: "t/" + id, Registration: r, Sequence: 1}
	if change != nil {
		change(r, &e)
	}
	f.put(e)
}

func (f *fakeStore) routes(version uint64) {
	f.put(registry.Entry{Key: "r", RouteTable: &pb.RouteTable{Version: version}})
}

func (f *fakeStore) List(_ context.Context, after string, mayLag bool) (registry.Page, error) {
	if f.down {
		return registry.Page{}, registry.ErrUnavailable
	}
	log := f.log
	if mayLag {
		log = f.log[:len(f.log)-f.lag]
	} else {
		f.fresh++
	}
	if after != "" && f.beforePage != nil {
		f.beforePage(f.lists)
	}
	f.lists++
	present := map[string]registry.Entry{}
	for _, e := range log {
		present[e.Key] = e
	}
	page := registry.Page{Revision: uint64(len(log)) + 1}
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
	case revision < f.kept:
		return registry.Changes{}, registry.ErrHistoryGone
	}
	changes := registry.Changes{Revision: f.revision()}
	for _, e := range f.log {
		if e.Revision > revision && !f.deaf {
			changes.Entries = append(changes.Entries, e)
		}
	}
	return changes, nil
}

func watch(t *testing.T, s *registry.Source) *pb.Configuration {
	t.Helper()
	reading, err := s.Watch(context.Background(), 0)
	require.NoError(t, err)
	return reading.Configuration
}

func ids(c *pb.Configuration) []string {
	found := make([]string, 0, len(c.GetRegistrations()))
	for _, r := range c.GetRegistrations() {
		found = append(found, r.Id)
	}
	return found
}

// A key that is deleted between two pages of a listing would stay for ever if
// the changes since the first page were not taken.
func TestPagesAreNoSnapshot(t *testing.T) {
	store := &fakeStore{pageSize: 2}
	store.routes(7)
	store.server("a", nil)
	store.server("b", nil)
	store.server("c", nil)
	store.beforePage = func(int) { store.remove("t/a") }
	c := watch(t, registry.NewSource(store, zerolog.Nop()))
	require.Equal(t, []string{"b", "c"}, ids(c))
	require.EqualValues(t, 7, c.RouteTable.Version)
}

// Every VM reads the store at its start; most of what it reads may be old, since
// the changes since then follow.
func TestTheFirstListingMayLag(t *testing.T) {
	store := &fakeStore{pageSize: 2}
	store.routes(7)
	store.server("a", nil)
	store.server("b", nil)
	store.server("c", nil)
	store.remove("t/a")
	store.routes(8)
	store.lag = 2
	// The second page lags more than the first.
	store.beforePage = func(int) { store.lag = 3 }
	c := watch(t, registry.NewSource(store, zerolog.Nop()))
	require.Equal(t, []string{"b", "c"}, ids(c))
	require.EqualValues(t, 8, c.RouteTable.Version)
	require.Zero(t, store.fresh)
}

func TestAListingThatLagsBehindTheHistoryIsReadAnew(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(7)
	store.server("a", nil)
	store.remove("t/a")
	store.lag = 1
	store.kept = store.revision()
	c := watch(t, registry.NewSource(store, zerolog.Nop()))
	require.Empty(t, ids(c))
	require.Equal(t, 1, store.fresh)
}

func TestAReportThatArrivesLateChangesNothing(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(1)
	draining := func(r *pb.Registration, e *registry.Entry) {
		r.State = pb.RegistrationState_REGISTRATION_STATE_DRAINING
		e.Sequence = 5
	}
	store.server("a", draining)
	source := registry.NewSource(store, zerolog.Nop())
	before := watch(t, source)
	store.server("a", func(_ *pb.Registration, e *registry.Entry) { e.Sequence = 4 })
	require.Nil(t, watch(t, source), "an older report of the same start")
	store.server("a", func(r *pb.Registration, e *registry.Entry) { r.StartedUnixMs = 900; e.Sequence = 99 })
	require.Nil(t, watch(t, source), "a report of an earlier start")
	require.Equal(t, pb.RegistrationState_REGISTRATION_STATE_DRAINING, before.Registrations[0].State)
	store.server("a", func(r *pb.Registration, e *registry.Entry) { r.StartedUnixMs = 2000; e.Sequence = 1 })
	after := watch(t, source)
	require.Equal(t, pb.RegistrationState_REGISTRATION_STATE_READY, after.Registrations[0].State)
	require.Greater(t, after.Revision, before.Revision)
}

func TestAnUnreadableEntryNamesNoTargetAndHurtsNoOther(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(1)
	store.server("a", nil)
	store.server("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	require.Equal(t, []string{"a", "b"}, ids(watch(t, source)))
	store.put(registry.Entry{Key: "t/a", Problem: "not JSON"})
	store.put(registry.Entry{Key: "r", Problem: "not JSON"})
	c := watch(t, source)
	require.Equal(t, []string{"b"}, ids(c))
	require.EqualValues(t, 1, c.RouteTable.Version, "the routes before stay in force")
}

func TestDroppedHistoryIsListedAgainAndNeverGoesBack(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(1)
	store.server("a", nil)
	store.server("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	before := watch(t, source)
	store.remove("t/a")
	store.kept = store.revision()
	after := watch(t, source)
	require.Equal(t, []string{"b"}, ids(after))
	require.Greater(t, after.Revision, before.Revision)
	require.GreaterOrEqual(t, after.RemovalsSince, before.Revision, "what was removed in the gap is not known")
}

func TestColdStartThatCountsDownIsNoChange(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(1)
	store.server("a", func(r *pb.Registration, _ *registry.Entry) { r.ColdForMs = 3000 })
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.server("a", func(r *pb.Registration, e *registry.Entry) { r.ColdForMs = 1800; e.Sequence = 2 })
	require.Nil(t, watch(t, source))
	store.server("a", func(_ *pb.Registration, e *registry.Entry) { e.Sequence = 3 })
	require.NotNil(t, watch(t, source), "the cold start is over")
}

func TestAnOutageKeepsTheState(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(1)
	store.server("a", nil)
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.down = true
	_, err := source.Watch(context.Background(), 0)
	require.ErrorIs(t, err, registry.ErrUnavailable)
	store.down = false
	store.server("b", nil)
	require.Equal(t, []string{"a", "b"}, ids(watch(t, source)))
}

// A store may let a watch end without the changes that were made meanwhile, at
// the newest revision (casgen-reel-grown fresh-fde2: requests reached a target 5.2
// seconds after it had said that it leaves).
func TestAWatchThatLeavesChangesOutProvesNothing(t *testing.T) {
	store := &fakeStore{pageSize: 10}
	store.routes(1)
	store.server("a", nil)
	store.server("b", nil)
	source := registry.NewSource(store, zerolog.Nop())
	watch(t, source)
	store.remove("t/a")
	store.deaf = true
	require.Equal(t, []string{"b"}, ids(watch(t, source)))
	store.pageSize = 1
	store.beforePage = func(int) {
		store.beforePage = nil
		store.routes(2)
	}
	store.remove("t/none")
	require.EqualValues(t, 1, watch(t, source).RouteTable.Version, "its key was read before")
	store.deaf = false
	require.EqualValues(t, 2, watch(t, source).RouteTable.Version, "nor does one that ends a listing")
}
