package rollout

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func newTestBoard(vm string, order uint64, now time.Time) *Board {
	b := NewBoard(Origin{VM: vm, Incarnation: 1}, zerolog.Nop(), nil)
	b.Confirm(now)
	b.Apply([]*pb.Rollout{{
		Service: "s", Version: "v2", RampMs: 12000, OrderRevision: order, State: pb.RolloutState_ROLLOUT_STATE_RUNNING, Share: 0.1,
	}}, 3, now)
	return b
}

// usualReply records a reply of the other version on route r that takes 20 ms.
func (b *Board) usualReply(now time.Time) {
	b.Record(Reply{Service: "s", Route: "r", Version: "v1", Took: 20 * time.Millisecond}, now)
}

// Guards against times that are compared with those of other services of the route, of near
// targets, or of cold ones. In a process test with shards of unequal times, a version that was
// slow in 0.4 of its replies was completed.
func TestSlowRepliesAreThoseSlowerThanTheOtherVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBoard("a", 7, now)
	slow := func(r Reply) uint64 {
		before := b.services["s"].own[Group{Route: "r", Version: "v2"}]
		was := Counts{}
		if before != nil {
			was = before.Counts
		}
		r.Service, r.Route, r.Version = "s", "r", "v2"
		b.Record(r, now)
		return b.services["s"].own[Group{Route: "r", Version: "v2"}].Slow() - was.Slow()
	}
	require.Zero(t, slow(Reply{Took: time.Second}), "the usual time is not known")
	for range minUsualSamples {
		b.usualReply(now)
	}
	require.EqualValues(t, 1, slow(Reply{Took: 60 * time.Millisecond}))
	require.Zero(t, slow(Reply{Took: 40 * time.Millisecond}))
	require.Zero(t, slow(Reply{Took: 57 * time.Millisecond, Far: true}), "a far target has an allowance")
	require.EqualValues(t, 1, slow(Reply{Took: 70 * time.Millisecond, Far: true}))
	require.Zero(t, slow(Reply{Took: 60 * time.Millisecond, Cold: true}))
}

// Guards against evidence that counts twice on its ways through several VMs, that an older
// message replaces, or that belongs to another order.
func TestEvidenceSpreadsOverOtherVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := newTestBoard("a", 7, now), newTestBoard("b", 7, now), newTestBoard("c", 7, now.Add(2*time.Second))
	a.Record(Reply{Service: "s", Route: "r", Version: "v2", Failed: true}, now)
	first := a.Updates(now.Add(time.Second))
	for range minUsualSamples {
		a.usualReply(now)
	}
	a.Record(Reply{Service: "s", Route: "r", Version: "v2", Took: 60 * time.Millisecond, Abandoned: true}, now)
	second := a.Updates(now.Add(time.Second))
	for range 2 {
		b.Merge(second, now.Add(2*time.Second))
		b.Merge(first, now.Add(2*time.Second))
	}
	c.Merge(b.Updates(now.Add(2*time.Second)), now.Add(2*time.Second))
	evidence, ok := c.Evidence("s", 7)
	require.True(t, ok)
	for _, counts := range evidence.Counts {
		if counts.Version == "v2" {
			require.EqualValues(t, 2, counts.Replies)
			require.EqualValues(t, 2, counts.Bad())
		} else {
			require.EqualValues(t, minUsualSamples, counts.Replies)
			require.Zero(t, counts.Bad())
		}
	}
	require.Len(t, evidence.Counts, 2)
	require.Equal(t, now.Add(time.Second), evidence.SeenAt, "another VM knew the order for a second when it counted")

	other := newTestBoard("d", 8, now)
	other.Merge(second, now)
	evidence, _ = other.Evidence("s", 8)
	require.Empty(t, evidence.Counts)
	require.Empty(t, b.Updates(now.Add(time.Minute)), "old evidence is not sent on")
}
