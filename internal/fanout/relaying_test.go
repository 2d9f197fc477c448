package fanout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// firstTargets returns the first target of each shard.
func firstTargets(route *routing.Route) []*routing.Target {
	targets := make([]*routing.Target, 0, len(route.Shards))
	for _, shard := range route.Shards {
		targets = append(targets, shard.Targets[0])
	}
	return targets
}

// Searchers pause for 150 ms now and then, so that nearly every batch has one that does. A
// relay returns without the last few replies, and does not wait longer than for them.
func TestRelayReturnsWithoutStragglers(t *testing.T) {
	const delay = 30 * time.Millisecond
	route := gatheringRoute(services(20))
	r := fanout.NewRelaying(newSharedState(), route, quarantine.Content{}, firstTargets(route), start, delay)
	deadline := start.Add(route.TimeLimit)
	for i := range 18 {
		done, _ := r.Done(start.Add(10*time.Millisecond), deadline)
		require.False(t, done)
		r.Ended(start.Add(10*time.Millisecond), i, fanout.Result{Reply: goodReply("r")})
	}
	done, wakeAt := r.Done(start.Add(11*time.Millisecond), deadline)
	require.False(t, done)
	require.Equal(t, start.Add(delay), wakeAt)
	done, _ = r.Done(wakeAt, deadline)
	require.True(t, done)
	results := r.Results()
	require.ErrorIs(t, results[19].Err, backend.ErrUnfinished)
	require.Equal(t, 10*time.Millisecond, results[0].Reply.Took)
}

// In an overload most replies are late. Returning without them would send all of them
// once more.
func TestRelayWaitsForMostReplies(t *testing.T) {
	route := gatheringRoute(services(20))
	r := fanout.NewRelaying(newSharedState(), route, quarantine.Content{}, firstTargets(route), start, 30*time.Millisecond)
	deadline := start.Add(route.TimeLimit)
	r.Ended(start.Add(10*time.Millisecond), 0, fanout.Result{Reply: goodReply("r")})
	done, wakeAt := r.Done(start.Add(40*time.Millisecond), deadline)
	require.False(t, done)
	require.Equal(t, deadline, wakeAt)
	done, _ = r.Done(deadline, deadline)
	require.True(t, done)
}
