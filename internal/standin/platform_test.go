package standin

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

func (f *fixture) keyValueClient(domain string) carawayreelv1connect.KeyValueServiceClient {
	return carawayreelv1connect.NewKeyValueServiceClient(httpClient(f.t, domain), "http://"+f.options.PlatformAddress)
}

func (f *fixture) setStoreFault(r *standinv1.SetStoreFaultRequest) {
	f.t.Helper()
	_, err := f.admin.SetStoreFault(f.t.Context(), connect.NewRequest(r))
	require.NoError(f.t, err)
}

func (f *fixture) setLink(first, second string, cut bool) {
	f.t.Helper()
	_, err := f.admin.SetLink(f.t.Context(), connect.NewRequest(&standinv1.SetLinkRequest{First: first, Second: second, Cut: cut}))
	require.NoError(f.t, err)
}

func putRequest(value string, expected uint64) *connect.Request[pb.KeyValuePutRequest] {
	return connect.NewRequest(&pb.KeyValuePutRequest{Key: "k", Value: []byte(value), ExpectedVersion: expected})
}

func getRequest() *connect.Request[pb.KeyValueGetRequest] {
	return connect.NewRequest(&pb.KeyValueGetRequest{Key: "k"})
}

func TestPutRequiresExpectedVersion(t *testing.T) {
	f := startFixture(t, nil)
	store := f.keyValueClient("")
	first, err := store.Put(t.Context(), putRequest("one", 0))
	require.NoError(t, err)
	require.True(t, first.Msg.Written)
	conflict, err := store.Put(t.Context(), putRequest("two", 0))
	require.NoError(t, err)
	require.False(t, conflict.Msg.Written)
	require.Equal(t, "one", string(conflict.Msg.Value))
	second, err := store.Put(t.Context(), putRequest("two", conflict.Msg.Version))
	require.NoError(t, err)
	require.True(t, second.Msg.Written)
	require.EqualValues(t, 1, f.standin.store.snapshotCounters().Conflicts)
	require.EqualValues(t, 3, f.standin.store.snapshotCounters().Puts)
}

func TestLostPutAnswerKeepsWrite(t *testing.T) {
	f := startFixture(t, nil)
	store := f.keyValueClient("")
	f.setStoreFault(&standinv1.SetStoreFaultRequest{LosePutAnswers: 1})
	_, err := store.Put(t.Context(), putRequest("one", 0))
	require.Error(t, err)
	found, err := store.Get(t.Context(), getRequest())
	require.NoError(t, err)
	require.Equal(t, "one", string(found.Msg.Value))
	second, err := store.Put(t.Context(), putRequest("two", found.Msg.Version))
	require.NoError(t, err)
	require.True(t, second.Msg.Written)
}

func TestOutageFailsCallsAndPendingWatches(t *testing.T) {
	f := startFixture(t, nil)
	store := f.keyValueClient("")
	watch := make(chan error, 1)
	go func() {
		_, err := store.Watch(t.Context(), connect.NewRequest(&pb.KeyValueWatchRequest{Key: "k", WaitMs: uint32(time.Hour.Milliseconds())}))
		watch <- err
	}()
	require.Eventually(t, func() bool { return f.standin.store.snapshotCounters().WatchesWaiting == 1 }, waitTimeout, pollInterval)
	f.setStoreFault(&standinv1.SetStoreFaultRequest{Outage: true})
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(<-watch))
	_, err := store.Get(t.Context(), getRequest())
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
	f.setStoreFault(&standinv1.SetStoreFaultRequest{})
	_, err = store.Get(t.Context(), getRequest())
	require.NoError(t, err)
	require.EqualValues(t, 1, f.standin.store.snapshotCounters().Watches)
	require.Zero(t, f.standin.store.snapshotCounters().WatchesWaiting)
}

func TestStoreEnforcesRateLimit(t *testing.T) {
	f := startFixture(t, func(o *Options) { o.WritesPerSecond = 1 })
	store := f.keyValueClient("")
	var limited int
	for range 20 {
		_, err := store.Put(t.Context(), putRequest("one", 0))
		if connect.CodeOf(err) == connect.CodeResourceExhausted && err != nil {
			limited++
		}
	}
	require.Positive(t, limited)
	require.EqualValues(t, limited, f.standin.store.snapshotCounters().RateLimited)
}

// newTestStore returns a store for tests that run without a network and, where
// they wait, in virtual time.
func newTestStore() *store {
	return newStore(1000, 1000)
}

func TestWatchReportsWriteAndExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStore()
		granted, err := s.GrantLease(t.Context(), connect.NewRequest(&pb.GrantLeaseRequest{DurationMs: 1000}))
		require.NoError(t, err)
		watch := func(after uint64) *pb.KeyValueWatchResponse {
			response, err := s.Watch(t.Context(), connect.NewRequest(&pb.KeyValueWatchRequest{Key: "k", AfterVersion: after, WaitMs: 10_000}))
			require.NoError(t, err)
			return response.Msg
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			_, _ = s.KeepAlive(t.Context(), connect.NewRequest(&pb.KeepAliveRequest{Lease: granted.Msg.Lease}))
			request := putRequest("one", 0)
			request.Msg.Lease = granted.Msg.Lease
			_, _ = s.Put(t.Context(), request)
		}()
		started := time.Now()
		written := watch(0)
		require.True(t, written.Changed)
		require.Equal(t, 500*time.Millisecond, time.Since(started))
		s.expireLease(granted.Msg.Lease)
		kept, err := s.Get(t.Context(), getRequest())
		require.NoError(t, err)
		require.Equal(t, written.Version, kept.Msg.Version, "a stale timer removed a lease that was kept alive")
		removed := watch(written.Version)
		require.True(t, removed.Changed)
		require.Zero(t, removed.Version)
		require.Equal(t, 1500*time.Millisecond, time.Since(started))
		alive, err := s.KeepAlive(t.Context(), connect.NewRequest(&pb.KeepAliveRequest{Lease: granted.Msg.Lease}))
		require.NoError(t, err)
		require.False(t, alive.Msg.Alive)
	})
}

func TestLostWatchReportsNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStore()
		s.setFaults(&standinv1.SetStoreFaultRequest{LoseWatches: true, DelayMs: 100})
		started := time.Now()
		_, err := s.Put(t.Context(), putRequest("one", 0))
		require.NoError(t, err)
		require.Equal(t, 100*time.Millisecond, time.Since(started))
		response, err := s.Watch(t.Context(), connect.NewRequest(&pb.KeyValueWatchRequest{Key: "k", WaitMs: 1000}))
		require.NoError(t, err)
		require.False(t, response.Msg.Changed)
	})
}

func TestVMListShowsChangesAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &vmList{store: newTestStore(), lag: time.Second}
		list.set([]*pb.ListedVm{{Vm: "v1"}})
		require.Empty(t, list.visible(time.Now()))
		time.Sleep(time.Second)
		require.Len(t, list.visible(time.Now()), 1)
		list.set([]*pb.ListedVm{{Vm: "v1"}, {Vm: "v2"}})
		require.Len(t, list.visible(time.Now()), 1)
		time.Sleep(time.Second)
		require.Len(t, list.visible(time.Now()), 2)
	})
}

func TestSampledValueRefreshesAfterLag(t *testing.T) {
	var reported sampled[int]
	present := 1
	read := func() int { return present }
	now := time.Now()
	require.Equal(t, 1, reported.get(now, time.Second, read))
	present = 2
	require.Equal(t, 1, reported.get(now.Add(time.Second-1), time.Second, read))
	require.Equal(t, 2, reported.get(now.Add(time.Second), time.Second, read))
}

// echoServer starts a server that echoes what it reads and returns its address.
func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func TestCutLinkStallsRelayAndRefusesConnections(t *testing.T) {
	peer := echoServer(t)
	f := startFixture(t, func(o *Options) {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listen := free.Addr().String()
		require.NoError(t, free.Close())
		o.Relays = []Relay{{FailureDomain: "b", ListenAddress: listen, PeerAddress: peer}}
	})
	relay := f.options.Relays[0].ListenAddress
	dial := func(domain string) net.Conn {
		conn, err := dialer(domain).Dial("tcp", relay)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	echoes := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	fromA := dial("a")
	require.NoError(t, echoes(fromA))
	f.setLink("a", "b", true)
	_, err := fromA.Write([]byte("y"))
	require.NoError(t, err)
	require.NoError(t, fromA.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = fromA.Read(make([]byte, 1))
	require.ErrorContains(t, err, "timeout")
	requireReset(t, dialer("a"), relay)
	require.NoError(t, echoes(dial("c")))
	f.setLink("b", "a", false)
	require.NoError(t, fromA.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(fromA, make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, echoes(dial("a")))
	counters := f.standin.relays[0].snapshotCounters()
	require.EqualValues(t, 1, counters.Refused)
	require.EqualValues(t, 3, counters.Accepted)
}

func TestCutLinkBlocksPlatformAndTargets(t *testing.T) {
	f := startFixture(t, nil)
	f.setLink("b", Platform, true)
	_, err := f.keyValueClient("b").Get(t.Context(), getRequest())
	require.Error(t, err)
	_, err = f.keyValueClient("a").Get(t.Context(), getRequest())
	require.NoError(t, err)
	f.setLink("a", "b", true)
	searchFrom := func(domain string) error {
		client := carawayreelv1connect.NewTargetServiceClient(httpClient(t, domain), "http://"+f.targetAddress(archiveTarget))
		_, err := client.Search(t.Context(), connect.NewRequest(searchRequest("q")))
		return err
	}
	require.Error(t, searchFrom("b"))
	require.NoError(t, searchFrom("a"))
	f.setLink("a", "b", false)
	require.NoError(t, searchFrom("b"))
}

func TestParseRelayRequiresThreeParts(t *testing.T) {
	relay, err := ParseRelay("a=127.0.0.1:1=127.0.0.1:2")
	require.NoError(t, err)
	require.Equal(t, Relay{FailureDomain: "a", ListenAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}, relay)
	_, err = ParseRelay("a=127.0.0.1:1")
	require.ErrorIs(t, err, ErrBadRelay)
}

func TestStartFailsWhenAddressInUse(t *testing.T) {
	f := startFixture(t, nil)
	require.ErrorIs(t, New(f.options).Start(t.Context()), ErrListen)
}
