package fanout_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// versionedService returns a service with three targets of each of two versions.
func versionedService() *routing.Service {
	service := services(1)[0]
	for _, old := range service.Targets {
		old.Version = "v1"
		next := target(service.Name, old.FailureDomain)
		next.ID, next.Version = old.ID+"-next", "v2"
		service.Targets = append(service.Targets, next)
	}
	return service
}

// sharedWithRollout returns shared state with a roll-out of service s0, confirmed at start.
func sharedWithRollout(r *pb.Rollout) (*fanout.SharedState, *rollout.Board) {
	board := rollout.NewBoard(rollout.Origin{VM: "vm-a", Incarnation: 1}, zerolog.Nop(), nil)
	board.Confirm(start)
	if r != nil {
		r.Service, r.Version, r.OrderRevision = "s0", "v2", 7
		board.Apply([]*pb.Rollout{r}, 1, start)
	}
	shared := newSharedState()
	shared.SetRollouts(board)
	return shared, board
}

// firstVersions returns how many first attempts of n requests go to each version. Each
// request ends with the result.
func firstVersions(shared *fanout.SharedState, n int, now time.Time, reply func(*routing.Target) (*backend.Reply, error)) map[string]int {
	route := singleRoute(versionedService(), true)
	counts := map[string]int{}
	for range n {
		m := newMachine(shared, route, now)
		send := m.Start(now).Sends[0]
		counts[send.Target.Version]++
		r, err := reply(send.Target)
		m.Ended(now.Add(2*time.Millisecond), send.Attempt, r, err)
	}
	return counts
}

func replyOK(*routing.Target) (*backend.Reply, error) { return goodReply("x"), nil }

const running = pb.RolloutState_ROLLOUT_STATE_RUNNING

// Guards against requests beyond the share to a version under test, and against a service
// without an order whose targets of several versions are not all used.
func TestFirstAttemptsFollowTheShare(t *testing.T) {
	shared, _ := sharedWithRollout(&pb.Rollout{State: running, Share: 0.05})
	counts := firstVersions(shared, 4000, start, replyOK)
	require.InDelta(t, 200, counts["v2"], 60)
	require.Equal(t, 4000, counts["v1"]+counts["v2"])

	shared, _ = sharedWithRollout(&pb.Rollout{State: running, Share: 1})
	require.Zero(t, firstVersions(shared, 100, start, replyOK)["v1"])
	require.Zero(t, firstVersions(shared, 100, start.Add(6*time.Second), replyOK)["v2"], "the configuration is not confirmed")

	shared, _ = sharedWithRollout(nil)
	route, used := singleRoute(versionedService(), true), map[string]bool{}
	for range 20 {
		// The requests run at the same time.
		used[newMachine(shared, route, start).Start(start).Sends[0].Target.Version] = true
	}
	require.Len(t, used, 2)
}

// Guards against a VM that goes on sending to a version that fails, and against evidence that
// is not counted or counts requests that did not run.
func TestVMStopsAfterBadReplies(t *testing.T) {
	shared, board := sharedWithRollout(&pb.Rollout{State: running, Share: 0.3})
	counts := firstVersions(shared, 2000, start, func(target *routing.Target) (*backend.Reply, error) {
		if target.Version == "v2" {
			return &backend.Reply{Status: 500}, nil
		}
		return goodReply("x"), nil
	})
	require.Equal(t, 5, counts["v2"])
	evidence, ok := board.Evidence("s0", 7)
	require.True(t, ok)
	for _, c := range evidence.Counts {
		if c.Version == "v2" {
			require.EqualValues(t, 5, c.Failures)
		} else {
			require.Zero(t, c.Failures)
		}
	}
	shared, board = sharedWithRollout(&pb.Rollout{State: running, Share: 1})
	firstVersions(shared, 1, start, func(*routing.Target) (*backend.Reply, error) { return nil, backend.ErrNotSent })
	evidence, _ = board.Evidence("s0", 7)
	require.Empty(t, evidence.Counts)
}

// Guards against a request that a bad version failed and that its next attempt sends there
// again, and against one that no version serves although a share remains.
func TestRetryUsesTheOtherVersion(t *testing.T) {
	shared, _ := sharedWithRollout(&pb.Rollout{State: running, Share: 0.5})
	route := singleRoute(versionedService(), true)
	retried := 0
	for range 400 {
		m := newMachine(shared, route, start)
		send := m.Start(start).Sends[0]
		if send.Target.Version != "v2" {
			continue
		}
		if next := m.Ended(start.Add(time.Millisecond), send.Attempt, &backend.Reply{Status: 500}, nil); len(next.Sends) > 0 {
			require.Equal(t, "v1", next.Sends[0].Target.Version)
			retried++
		}
	}
	require.Positive(t, retried)
}
