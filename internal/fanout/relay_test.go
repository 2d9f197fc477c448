package fanout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// relayedRoute returns a gathering route with n shards whose targets are in the failure
// domains b and c, which have a relay each.
func relayedRoute(n int) (*routing.Route, map[string][]*routing.Target) {
	shards := services(n)
	for _, shard := range shards {
		shard.Targets = shard.Targets[1:]
		shard.Targets[0].Distance, shard.Targets[1].Distance = routing.Near, routing.Equidistant
	}
	return gatheringRoute(shards), map[string][]*routing.Target{"b": {target("relay", "b")}, "c": {target("relay", "c")}}
}

func startRelayed(t *testing.T, n int) (*fanout.Machine, fanout.Actions, *routing.Route) {
	t.Helper()
	route, relays := relayedRoute(n)
	m := fanout.New(newSharedState(), 1, fanout.Input{
		Route: route, Legs: route.Shards, Received: start, Deadline: start.Add(route.TimeLimit), Relays: relays,
	})
	return m, m.Start(start), route
}

func relayedReplies(n int) []fanout.Result {
	results := make([]fanout.Result, n)
	for i := range results {
		reply := goodReply(fmt.Sprintf("relayed-%d", i))
		reply.Took = 5 * time.Millisecond
		results[i] = fanout.Result{Reply: reply}
	}
	return results
}

func TestFirstAttemptsInAnotherDomainAreSentInOneBatch(t *testing.T) {
	m, actions, _ := startRelayed(t, 10)
	require.Empty(t, actions.Sends)
	require.Len(t, actions.Batches, 1)
	batch := actions.Batches[0]
	require.Equal(t, "relay-b", batch.Relay.ID)
	require.Len(t, batch.Sends, 10)
	actions = m.EndedBatch(start.Add(10*time.Millisecond), batch.ID, relayedReplies(10), nil)
	require.Equal(t, fanout.Complete, actions.Answer.Outcome)
	require.Len(t, actions.Answer.Replies, 10)
}

// While targets turn requests away (the fault srv_grey, variant shed), each rejection must
// be known at once, so that the retry is in time.
func TestTargetsThatRejectAreSentToDirectly(t *testing.T) {
	route, relays := relayedRoute(12)
	for _, shard := range route.Shards[:2] {
		for _, target := range shard.Targets {
			for range 4 {
				target.Health.Begin(start)
				target.Health.End(start, start, health.Rejected, time.Millisecond)
			}
		}
	}
	now := start.Add(time.Second)
	m := fanout.New(newSharedState(), 1, fanout.Input{
		Route: route, Legs: route.Shards, Received: now, Deadline: now.Add(route.TimeLimit), Relays: relays,
	})
	actions := m.Start(now)
	require.Len(t, actions.Sends, 2)
	require.Len(t, actions.Batches, 1)
	require.Len(t, actions.Batches[0].Sends, 10)
}

// A relay that was killed, has another version of the routes or is cut off costs the time
// until that is known. Where it did not run the batch, no budget of retries is used.
func TestBatchThatIsNotRelayedIsSentDirectly(t *testing.T) {
	for _, err := range []error{fanout.ErrNotRelayed, backend.ErrNotSent, backend.ErrBusy, backend.ErrConnectTimeout} {
		m, actions, _ := startRelayed(t, 10)
		actions = m.EndedBatch(start.Add(time.Millisecond), actions.Batches[0].ID, nil, errors.Wrap(err, "relay-b"))
		require.Len(t, actions.Sends, 10)
		for _, send := range actions.Sends {
			require.Equal(t, fanout.Failover, send.Reason)
			require.Equal(t, "b", send.Target.FailureDomain, "the loss of the relay shows nothing about the targets")
		}
	}
}

func TestLostBatchIsRetriedDirectly(t *testing.T) {
	m, actions, route := startRelayed(t, 10)
	actions = m.EndedBatch(start.Add(time.Millisecond), actions.Batches[0].ID, nil, backend.ErrLost)
	require.Len(t, actions.Sends, 10)
	for _, send := range actions.Sends {
		require.Equal(t, fanout.Retry, send.Reason)
		require.Equal(t, "c", send.Target.FailureDomain, "the first target may still be running the request")
	}
	for _, shard := range route.Shards {
		ejected, _ := shard.Targets[0].Health.Ejected(start.Add(2 * time.Millisecond))
		require.False(t, ejected)
	}
}

// A relay whose process is paused returns nothing. The legs are hedged before the goal,
// and the next requests use no relay that is ejected.
func TestSilentRelayCostsHedges(t *testing.T) {
	m, actions, route := startRelayed(t, 10)
	id := actions.Batches[0].ID
	for len(actions.Sends) == 0 {
		require.Less(t, actions.WakeAt.Sub(start), route.Goal)
		actions = m.Tick(actions.WakeAt)
	}
	require.Len(t, actions.Sends, 10)
	now := start.Add(route.Goal / 2)
	for i, send := range actions.Sends {
		ended := m.Ended(now, send.Attempt, goodReply(fmt.Sprintf("hedge-%d", i)), nil)
		if i == len(actions.Sends)-1 {
			require.Equal(t, fanout.Complete, ended.Answer.Outcome)
		}
	}
	m.AbandonBatch(now.Add(250*time.Millisecond), id, health.Abandoned)
}

// The replies of a batch hold the greatest records of all of them, so that they are used
// together, also where a hedge has replied.
func TestRepliesOfABatchAreUsedTogether(t *testing.T) {
	m, actions, _ := startRelayed(t, 8)
	id := actions.Batches[0].ID
	for len(actions.Sends) == 0 {
		actions = m.Tick(actions.WakeAt)
	}
	m.Ended(start.Add(30*time.Millisecond), actions.Sends[0].Attempt, goodReply("hedge"), nil)
	results := relayedReplies(8)
	results[7] = fanout.Result{Err: backend.ErrUnfinished}
	actions = m.EndedBatch(start.Add(31*time.Millisecond), id, results, nil)
	require.Nil(t, actions.Answer)
	last := m.Tick(start.Add(79 * time.Millisecond))
	require.NotNil(t, last.Answer)
	receipts := make([]string, 0, len(last.Answer.Replies))
	for _, reply := range last.Answer.Replies {
		receipts = append(receipts, reply.Receipt)
	}
	require.Equal(t, []string{"relayed-0", "relayed-1", "relayed-2", "relayed-3", "relayed-4", "relayed-5", "relayed-6"}, receipts)
}

// Each shard has at most MaxTargets targets that may run the request, whatever happens to
// batches, sends and timers, and an answer holds one reply of a shard.
func TestRelayedRequestsKeepTheBoundOnTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route, relays := relayedRoute(rapid.IntRange(6, 12).Draw(t, "shards"))
		m := fanout.New(newSharedState(), 1, fanout.Input{
			Route: route, Legs: route.Shards, Received: start, Deadline: start.Add(route.TimeLimit), Relays: relays,
		})
		now := start
		targets := map[string]map[string]bool{}
		var sends []fanout.Send
		var batches []fanout.Batch
		reached := func(send fanout.Send) {
			service := send.Target.Service
			if targets[service] == nil {
				targets[service] = map[string]bool{}
			}
			targets[service][send.Target.ID] = true
		}
		draw := func(send fanout.Send) fanout.Result {
			switch rapid.IntRange(0, 4).Draw(t, "result") {
			case 0:
				return fanout.Result{Err: backend.ErrNotSent}
			case 1:
				return fanout.Result{Reply: notRunReply()}
			case 2:
				reached(send)
				return fanout.Result{Err: backend.ErrUnfinished}
			case 3:
				reached(send)
				return fanout.Result{Reply: failedReply()}
			default:
				reached(send)
				return fanout.Result{Reply: goodReply(send.Target.ID)}
			}
		}
		actions := m.Start(now)
		for actions.Answer == nil {
			sends, batches = append(sends, actions.Sends...), append(batches, actions.Batches...)
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch choice := rapid.IntRange(0, 2).Draw(t, "event"); {
			case choice == 0 && len(sends) > 0:
				i := rapid.IntRange(0, len(sends)-1).Draw(t, "send")
				send := sends[i]
				sends = slices.Delete(sends, i, i+1)
				result := draw(send)
				actions = m.Ended(now, send.Attempt, result.Reply, result.Err)
			case choice == 1 && len(batches) > 0:
				batch := batches[0]
				batches = batches[1:]
				actions = endBatch(t, m, now, batch, draw, reached)
			default:
				now = now.Add(5 * time.Millisecond)
				actions = m.Tick(now)
			}
		}
		for service, reached := range targets {
			require.LessOrEqual(t, len(reached), route.MaxTargets, service)
		}
		require.LessOrEqual(t, len(actions.Answer.Replies)+actions.Answer.Missing, len(route.Shards))
	})
}

func endBatch(t *rapid.T, m *fanout.Machine, now time.Time, batch fanout.Batch, draw func(fanout.Send) fanout.Result, reached func(fanout.Send)) fanout.Actions {
	switch rapid.IntRange(0, 3).Draw(t, "batch") {
	case 0:
		return m.EndedBatch(now, batch.ID, nil, fanout.ErrNotRelayed)
	case 1:
		for _, send := range batch.Sends {
			reached(send)
		}
		return m.EndedBatch(now, batch.ID, nil, backend.ErrLost)
	default:
		results := make([]fanout.Result, 0, len(batch.Sends))
		for _, send := range batch.Sends {
			results = append(results, draw(send))
		}
		return m.EndedBatch(now, batch.ID, results, nil)
	}
}
