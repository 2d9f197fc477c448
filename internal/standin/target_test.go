package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

func TestSearchReturnsProfileRows(t *testing.T) {
	f := startFixture(t, nil)
	r := searchRequest("q")
	r.Conditions = []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: "de "}}
	response, err := f.search(t.Context(), r)
	require.NoError(t, err)
	var rows []*pb.Row
	for _, result := range response.Results {
		require.Len(t, result.Rows, int(result.RowCount))
		rows = append(rows, result.Rows...)
	}
	want := f.options.Profile.Search("archive", &pb.Snapshot{
		Version:  profile.NewestVersion,
		Services: []*pb.ServicePartitions{{Service: "archive-01", Partitions: r.Partitions}},
	}, r.Conditions)
	require.NotEmpty(t, want)
	require.Len(t, rows, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], rows[i]))
	}
	executions, err := f.admin.GetExecutions(t.Context(), connect.NewRequest(&standinv1.GetExecutionsRequest{RequestId: "q"}))
	require.NoError(t, err)
	require.Len(t, executions.Msg.Executions, 1)
	require.True(t, executions.Msg.Executions[0].Finished)
}

// A partition result that the row limit truncates carries the total number of
// matching rows; a complete one leaves it zero.
func TestRowLimitReportsMatchCount(t *testing.T) {
	f := startFixture(t, nil)
	whole, err := f.search(t.Context(), searchRequest("whole"))
	require.NoError(t, err)
	r := searchRequest("cut")
	most := uint32(0)
	for _, result := range whole.Results {
		require.Zero(t, result.Matched)
		most = max(most, result.RowCount)
	}
	require.Greater(t, most, uint32(1))
	r.RowLimit = most - 1
	cut, err := f.search(t.Context(), r)
	require.NoError(t, err)
	require.Len(t, cut.Results, len(whole.Results))
	for i, result := range cut.Results {
		before := whole.Results[i].RowCount
		require.Equal(t, min(before, r.RowLimit), result.RowCount)
		if before > r.RowLimit {
			require.EqualValues(t, before, result.Matched)
		} else {
			require.Zero(t, result.Matched)
		}
	}
}

func TestColdTargetCrashesBeyondColdLimit(t *testing.T) {
	f := startFixture(t, nil)
	first := f.counters(archiveTarget).BootId
	f.injectFault(archiveTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true})
	f.injectFault(archiveTarget, newStuckFault())
	running := f.searchAsync(t.Context(), "q1")
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.StartedCold == 1 })
	_, err := f.search(t.Context(), searchRequest("q2"))
	require.Error(t, err)
	require.Error(t, <-running)
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return !c.Down && c.BootId != first })
	c := f.counters(archiveTarget)
	require.EqualValues(t, 1, c.ColdViolations)
	require.EqualValues(t, 1, c.Crashes)
	require.True(t, c.Cold)
	require.Zero(t, c.SearchesRan)
}

func TestUnannouncedColdViolationIsCountedSeparately(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_TURN_COLD))
	f.injectFault(archiveTarget, newStuckFault())
	running := f.searchAsync(t.Context(), "q1")
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.StartedCold == 1 })
	_, err := f.search(t.Context(), searchRequest("q2"))
	require.Error(t, err)
	require.Error(t, <-running)
	c := f.counters(archiveTarget)
	require.Zero(t, c.ColdViolations)
	require.EqualValues(t, 1, c.UnannouncedColdViolations)
}

// Work that is running or queued when a target restarts is dropped with its
// connections: it does not count toward the cold limit of the new boot and has no
// effect.
func TestRestartDropsRunningWorkImmediately(t *testing.T) {
	f := startFixture(t, nil)
	target := f.standin.targets[0]
	f.injectFault(archiveTarget, newStuckFault())
	running := []<-chan error{f.searchAsync(t.Context(), "q1"), f.searchAsync(t.Context(), "q2"), f.searchAsync(t.Context(), "q3")}
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.Received == 3 })
	target.mu.Lock()
	target.setFaultLocked(&standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true})
	require.Zero(t, target.running)
	require.Empty(t, target.waiting)
	require.Empty(t, target.conns)
	target.mu.Unlock()
	dropped := withConn(t.Context(), newGatedConn(nil, 0, nil))
	require.Panics(t, func() { target.admit(dropped, task{remaining: time.Minute}) }, "a task of a dropped connection was admitted")
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_CLEAR))
	for _, result := range running {
		require.Error(t, <-result)
	}
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q4")))
	require.EqualValues(t, 1, f.counters(archiveTarget).SearchesRan)
	require.Zero(t, f.counters(archiveTarget).ColdViolations)
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.Cancelled == 3 })
	f.awaitIdle()
}

func TestColdTargetWarmsUp(t *testing.T) {
	f := startFixture(t, func(o *Options) {
		o.StartCold = true
		o.WarmRequests = 2
		o.WarmTime = 0
	})
	require.True(t, f.counters(archiveTarget).Cold)
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q1")))
	require.True(t, f.counters(archiveTarget).Cold)
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q2")))
	require.False(t, f.counters(archiveTarget).Cold)
	require.EqualValues(t, 2, f.counters(archiveTarget).StartedCold)
}

func TestSlotsQueueAndShedding(t *testing.T) {
	f := startFixture(t, func(o *Options) { o.QueueLength = 1 })
	f.injectFault(archiveTarget, newStuckFault())
	results := []<-chan error{f.searchAsync(t.Context(), "q1"), f.searchAsync(t.Context(), "q2"), f.searchAsync(t.Context(), "q3")}
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.Received == 3 })
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_SHED, f.searchStatus(searchRequest("q4")))
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_CLEAR))
	for _, result := range results {
		require.NoError(t, <-result)
	}
	c := f.counters(archiveTarget)
	require.EqualValues(t, 1, c.Shed)
	require.EqualValues(t, 3, c.SearchesRan)
	require.EqualValues(t, 2, c.RunningPeak)
}

func TestCancelledWorkFreesItsSlot(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, newStuckFault())
	ctx, cancel := context.WithCancel(t.Context())
	running := []<-chan error{f.searchAsync(ctx, "q1"), f.searchAsync(ctx, "q2")}
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.RunningPeak == 2 })
	waitingCtx, cancelWaiting := context.WithCancel(t.Context())
	waiting := f.searchAsync(waitingCtx, "q3")
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.Received == 3 })
	cancelWaiting()
	require.Error(t, <-waiting)
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.Cancelled == 1 })
	cancel()
	for _, result := range running {
		require.Error(t, <-result)
	}
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.Cancelled == 3 })
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_CLEAR))
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q4")))
	require.EqualValues(t, 1, f.counters(archiveTarget).SearchesRan)
	f.awaitIdle()
}

// awaitIdle waits until the first target has no running or queued work.
func (f *fixture) awaitIdle() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		target := f.standin.targets[0]
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.running == 0 && len(target.waiting) == 0
	}, waitTimeout, pollInterval)
}

func TestExpiredWorkDoesNotRun(t *testing.T) {
	f := startFixture(t, nil)
	r := searchRequest("q1")
	r.RemainingUs = 0
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_EXPIRED, f.searchStatus(r))
	executions, err := f.admin.GetExecutions(t.Context(), connect.NewRequest(&standinv1.GetExecutionsRequest{RequestId: "q1"}))
	require.NoError(t, err)
	require.Empty(t, executions.Msg.Executions)
	f.injectFault(archiveTarget, newStuckFault())
	r.RemainingUs = 1000
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_EXPIRED, f.searchStatus(r))
	c := f.counters(archiveTarget)
	require.EqualValues(t, 2, c.Expired)
	require.Zero(t, c.SearchesRan)
}

func TestConnectionsBeyondLimitAreReset(t *testing.T) {
	f := startFixture(t, nil)
	limit := int(f.standin.targets[0].config.Connections)
	for range limit {
		conn, err := net.Dial("tcp", f.targetAddress(archiveTarget))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return int(c.ConnectionsOpen) == limit })
	requireReset(t, dialer(""), f.targetAddress(archiveTarget))
	c := f.counters(archiveTarget)
	require.EqualValues(t, 1, c.ConnectionViolations)
	require.EqualValues(t, limit, c.ConnectionsPeak)
}

func TestDrainingTargetRefusesWork(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_DRAIN))
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_DRAINING, f.searchStatus(searchRequest("q1")))
	health, err := f.targetClient(archiveTarget).Health(t.Context(), connect.NewRequest(&pb.TargetHealthRequest{}))
	require.NoError(t, err)
	require.True(t, health.Msg.Draining)
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_CLEAR))
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_MARK_LEAVING))
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q2")))
	c := f.counters(archiveTarget)
	require.EqualValues(t, 1, c.DrainingRefused)
	require.EqualValues(t, 2, c.ReceivedAfterLeaving)
}

func TestHealthAndLoadReportOverrides(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_REFUSE))
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_SHED, f.searchStatus(searchRequest("q1")))
	f.injectFault(archiveTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_LIE_HEALTH, Healthy: true})
	f.injectFault(archiveTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_LIE_LOAD, Count: 9})
	health, err := f.targetClient(archiveTarget).Health(t.Context(), connect.NewRequest(&pb.TargetHealthRequest{}))
	require.NoError(t, err)
	require.True(t, health.Msg.Healthy)
	load, err := f.targetClient(archiveTarget).Load(t.Context(), connect.NewRequest(&pb.TargetLoadRequest{}))
	require.NoError(t, err)
	require.EqualValues(t, 9, load.Msg.Running)
}

func TestAdvanceAndLoseSnapshots(t *testing.T) {
	f := startFixture(t, nil)
	r := searchRequest("q")
	for range profile.SplitVersion - profile.NewestVersion {
		_, err := f.admin.AdvanceSnapshot(t.Context(), connect.NewRequest(&standinv1.AdvanceSnapshotRequest{Front: "archive"}))
		require.NoError(t, err)
	}
	response, err := f.search(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, []uint64{3, 4, 5}, response.HeldSnapshots)
	f.injectFault(archiveTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_LOSE_SNAPSHOT, Snapshot: 3})
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_SNAPSHOT_GONE, f.searchStatus(r))
	configuration, err := f.admin.GetConfiguration(t.Context(), connect.NewRequest(&standinv1.GetConfigurationRequest{}))
	require.NoError(t, err)
	snapshots := configuration.Msg.Configuration.Fronts[0].Snapshots
	require.Equal(t, []string{"p0a", "p0b", "p1"}, snapshots[len(snapshots)-1].Services[0].Partitions)
}

func TestPoisonedRequestCrashesTarget(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_POISON, Value: "crash me"})
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q1")))
	r := searchRequest("q2")
	r.Conditions = []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_EQUAL, Value: "crash me"}}
	_, err := f.search(t.Context(), r)
	require.Error(t, err)
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return !c.Down && c.Crashes == 1 })
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, f.searchStatus(searchRequest("q3")))
}

func TestCrashedTargetRefusesConnections(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: uint32(time.Hour.Milliseconds())})
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", f.targetAddress(archiveTarget))
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, waitTimeout, pollInterval)
	require.True(t, f.counters(archiveTarget).Down)
}

func TestFrozenTargetResumesAfterThaw(t *testing.T) {
	f := startFixture(t, nil)
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_FREEZE))
	running := f.searchAsync(t.Context(), "q1")
	f.awaitCounters(archiveTarget, func(c *standinv1.TargetCounters) bool { return c.ConnectionsOpen == 1 })
	require.Zero(t, f.counters(archiveTarget).SearchesRan)
	f.injectFault(archiveTarget, newFault(standinv1.FaultKind_FAULT_KIND_CLEAR))
	require.NoError(t, <-running)
	require.EqualValues(t, 1, f.counters(archiveTarget).SearchesRan)
}

func TestRandomFaultsDependOnSeed(t *testing.T) {
	f := startFixture(t, nil)
	draw := func(seed uint64) []string {
		random := rand.New(rand.NewPCG(seed, randomFaultStream))
		const draws = 20
		drawn := make([]string, 0, draws)
		for range draws {
			target, fault, _ := randomFault(random, f.standin.targets)
			drawn = append(drawn, target.config.Id+" "+fault.Kind.String())
		}
		return drawn
	}
	require.Equal(t, draw(1), draw(1))
	require.NotEqual(t, draw(1), draw(2))
}

func BenchmarkSearch(b *testing.B) {
	f := startFixture(b, func(o *Options) { o.QueueLength = 1000 })
	b.RunParallel(func(p *testing.PB) {
		client := f.targetClient(archiveTarget)
		for p.Next() {
			if _, err := client.Search(b.Context(), connect.NewRequest(searchRequest("q"))); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
