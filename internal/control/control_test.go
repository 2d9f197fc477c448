package control

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	accepted = pb.ApplyStatus_APPLY_STATUS_ACCEPTED
	takenOut = pb.ServingState_SERVING_STATE_TAKEN_OUT
)

func (s *cluster) apply(c *Control, comment string, expected uint64) *pb.ApplyConfigurationResponse {
	return c.Apply(s.ctx, &pb.ApplyConfigurationRequest{Configuration: testConfiguration(2, comment), ExpectedRevision: expected})
}

func (s *cluster) requireRevision(revision uint64) {
	s.t.Helper()
	for _, c := range s.controls {
		require.Equal(s.t, revision, c.Current().Revision(), c.options.Self.ID)
	}
}

func TestRevisionIsPushedBeforeOperatorGetsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "0b", "1a", "1b")
		time.Sleep(3 * time.Second)
		for _, c := range s.controls {
			ready, reason := c.Ready()
			require.False(t, ready)
			require.Contains(t, reason, "no configuration")
		}
		response := s.apply(s.controls[0], "first", 0)
		require.Equal(t, accepted, response.Status, response.Reason)
		require.Equal(t, uint32(4), response.ConfirmedVms)
		require.Empty(t, response.UnconfirmedVms)
		s.requireRevision(1)
		var exposed bytes.Buffer
		s.controls[0].Metrics().WritePrometheus(&exposed)
		require.Contains(t, exposed.String(), "carawayreel_configuration_revision 1\n")
		require.Contains(t, exposed.String(), `carawayreel_members{state="alive"} 4`)
		// The store becomes unavailable once the command is accepted, and one VM is partitioned.
		s.network.setPartitioned("1b", true)
		takeOut := s.controls[1].SetServingState(s.ctx, &pb.SetServingStateRequest{FailureDomain: "domain-0", State: takenOut, Author: "bert"})
		s.platform.set(func(f *fakePlatform) { f.down = true })
		require.Equal(t, accepted, takeOut.Status, takeOut.Reason)
		require.Equal(t, []string{"1b"}, takeOut.UnconfirmedVms)
		require.Equal(t, uint32(3), takeOut.ConfirmedVms)
		require.False(t, s.controls[2].Current().InService("t-0-0"))
		require.True(t, s.controls[3].Current().InService("t-0-0"))
		later := s.apply(s.controls[0], "later", 2)
		require.Equal(t, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, later.Status)
		s.network.setPartitioned("1b", false)
		time.Sleep(time.Second)
		s.requireRevision(2)
		time.Sleep(20 * time.Second)
		require.Less(t, s.controls[3].Current().ConfigurationAge(time.Now()), 2*time.Second)
	})
}

func TestRevisionArrivesDespiteLostWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "1a")
		time.Sleep(3 * time.Second)
		s.apply(s.controls[0], "first", 0)
		s.platform.set(func(f *fakePlatform) { f.watchesLost = true })
		s.network.setPartitioned("1a", true)
		s.apply(s.controls[0], "second", 1)
		require.Equal(t, uint64(1), s.controls[1].Current().Revision())
		time.Sleep(time.Second)
		s.requireRevision(2)
	})
}

func TestApplyReportsOutcomeDespiteLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "1a")
		time.Sleep(3 * time.Second)
		s.platform.set(func(f *fakePlatform) { f.dropPutResponses = true })
		require.Equal(t, accepted, s.apply(s.controls[0], "first", 0).Status)
		conflict := s.apply(s.controls[1], "other", 0)
		require.Equal(t, pb.ApplyStatus_APPLY_STATUS_CONFLICT, conflict.Status)
		require.Equal(t, "test", conflict.Winner)
		history, err := s.controls[1].History(s.ctx, &pb.ListHistoryRequest{})
		require.NoError(t, err)
		require.Len(t, history.Entries, 1)
		got, err := s.controls[1].Get(s.ctx, &pb.GetConfigurationRequest{FromStore: true})
		require.NoError(t, err)
		require.Equal(t, "first", got.Configuration.Comment)
		_, err = s.controls[1].Get(s.ctx, &pb.GetConfigurationRequest{Revision: 7})
		require.ErrorIs(t, err, ErrRevisionUnavailable)
	})
}

// While the control goroutine is blocked, other goroutines must see at once that nothing may be dispatched.
func TestMayDispatchIsFalseWhileControlGoroutineIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "0b")
		time.Sleep(3 * time.Second)
		s.apply(s.controls[0], "first", 0)
		frozen := s.controls[0]
		require.True(t, frozen.MayDispatch(time.Now()))
		require.NotEmpty(t, frozen.Current().OwnedTargets())
		s.freezers[0].freeze()
		time.Sleep(time.Second)
		require.False(t, frozen.Current().Paused, "the view is still from before the gap")
		require.False(t, frozen.MayDispatch(time.Now()))
		time.Sleep(5 * time.Second)
		s.freezers[0].thaw()
		synctest.Wait()
		require.True(t, frozen.Current().Paused)
		require.False(t, frozen.MayDispatch(time.Now()))
		require.Empty(t, frozen.Current().OwnedTargets(), "other VMs have taken its targets over")
		time.Sleep(100 * time.Millisecond)
		require.True(t, frozen.MayDispatch(time.Now()), "a peer has confirmed")
		require.Empty(t, frozen.Current().OwnedTargets(), "the guard time is not over")
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, frozen.Current().OwnedTargets())
	})
}

func TestPushReachesPartitionedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "1a")
		time.Sleep(3 * time.Second)
		s.apply(s.controls[0], "first", 0)
		s.network.setPartitioned("1a", true)
		s.platform.set(func(f *fakePlatform) { f.watchesLost = true })
		takeOut := s.controls[0].SetServingState(s.ctx, &pb.SetServingStateRequest{FailureDomain: "domain-1", State: takenOut})
		require.Equal(t, []string{"1a"}, takeOut.UnconfirmedVms)
		got, err := s.controls[0].Get(s.ctx, &pb.GetConfigurationRequest{})
		require.NoError(t, err)
		bad := cloneOf(got.Configuration)
		bad.WriteId = ""
		_, err = s.controls[1].Push(s.ctx, &pb.PushConfigurationRequest{Configuration: bad})
		require.ErrorIs(t, err, ErrNotAccepted)
		_, err = s.controls[1].Push(s.ctx, &pb.PushConfigurationRequest{})
		require.ErrorIs(t, err, ErrNotAccepted)
		pushed, err := s.controls[1].Push(s.ctx, &pb.PushConfigurationRequest{Configuration: cloneOf(got.Configuration)})
		require.NoError(t, err)
		require.Equal(t, uint64(2), pushed.Revision)
		require.False(t, s.controls[1].Current().InService("t-1-0"))
		old := cloneOf(got.Configuration)
		old.Revision = 1
		_, err = s.controls[1].Push(s.ctx, &pb.PushConfigurationRequest{Configuration: old})
		require.ErrorIs(t, err, ErrNotAccepted)
		other := cloneOf(got.Configuration)
		other.WriteId = "other"
		_, err = s.controls[1].Push(s.ctx, &pb.PushConfigurationRequest{Configuration: other})
		require.ErrorIs(t, err, ErrNotAccepted)
	})
}

func TestLeaveWaitsForPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "0b", "1a")
		time.Sleep(3 * time.Second)
		s.apply(s.controls[0], "first", 0)
		start := time.Now()
		require.NoError(t, s.controls[0].Leave(s.ctx))
		require.Less(t, time.Since(start), 100*time.Millisecond)
		require.True(t, s.controls[0].Current().Stopping)
		require.Empty(t, s.controls[0].Current().OwnedTargets())
		require.Len(t, s.controls[1].Current().OwnedTargets(), 8, "the other VM of the failure domain owns all targets at once")
		ready, reason := s.controls[0].Ready()
		require.False(t, ready)
		require.Equal(t, "the VM is leaving", reason)
	})
}

func TestMalformedOffersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a")
		time.Sleep(5 * time.Second)
		s.apply(s.controls[0], "first", 0)
		for _, delta := range []*pb.ConfigurationDelta{nil, {}, {Revision: 9, Root: &pb.ConfigurationRoot{Revision: 8}}, {Revision: 9, BaseRevision: 8, Root: &pb.ConfigurationRoot{Revision: 9}}} {
			response := s.controls[0].OfferConfiguration(s.ctx, &pb.OfferConfigurationRequest{Delta: delta})
			require.Equal(t, uint64(1), response.Revision)
		}
	})
}

func TestSettingsWithUndetectableClockGapAreRejected(t *testing.T) {
	settings := testSettings()
	settings.Limits.ClockGapMs = 3000
	_, err := New(Options{Settings: settings, Self: view.VM{ID: "x", FailureDomain: "x", Incarnation: 1}, Logger: zerolog.Nop()})
	require.ErrorIs(t, err, ErrSettings)
	settings = testSettings()
	settings.Peers.SuspectAfterMs = 400
	_, err = New(Options{Settings: settings, Self: view.VM{ID: "x", FailureDomain: "x", Incarnation: 1}, Logger: zerolog.Nop()})
	require.ErrorIs(t, err, ErrSettings)
}

// A trace recorded by the running Control replays to the same decisions.
func TestRecordedTraceReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "0b", "1a")
		time.Sleep(2 * time.Second)
		s.apply(s.controls[0], "first", 0)
		s.freezers[0].freeze()
		time.Sleep(4 * time.Second)
		s.freezers[0].thaw()
		time.Sleep(2 * time.Second)
		s.stop()
		events, err := Replay(bytes.NewReader(s.freezers[0].out), nil)
		require.NoError(t, err)
		require.Greater(t, events, 50)
	})
}

// Guards against building a view for each member when many VMs join at once.
func TestBurstOfChangesIsPublishedInFewViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a")
		time.Sleep(5 * time.Second)
		s.apply(s.controls[0], "first", 0)
		c := s.controls[0]
		before := c.viewsBuilt.Load()
		s.freezers[0].freeze()
		const joining = 200
		for i := range joining {
			member := simulatedHeader(fmt.Sprintf("vm-%d", i), "domain-1", 0, 1).Self
			go c.Heartbeat(s.ctx, &pb.HeartbeatRequest{Sender: member})
		}
		time.Sleep(200 * time.Millisecond)
		s.freezers[0].thaw()
		synctest.Wait()
		require.Len(t, c.Members(), joining+1)
		require.Less(t, c.viewsBuilt.Load()-before, uint64(5))
	})
}
