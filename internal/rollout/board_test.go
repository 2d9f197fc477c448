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

// Guards against evidence that counts twice on its ways through several VMs, that an older
// message replaces, or that belongs to another order.
func TestEvidenceSpreadsOverOtherVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := newTestBoard("a", 7, now), newTestBoard("b", 7, now), newTestBoard("c", 7, now.Add(2*time.Second))
	a.Record(Reply{Service: "s", Route: "r", Version: "v2", Failed: true}, now)
	first := a.Updates(now.Add(time.Second))
	a.Record(Reply{Service: "s", Route: "r", Version: "v2", Class: SlowClass}, now)
	second := a.Updates(now.Add(time.Second))
	for range 2 {
		b.Merge(second, now.Add(2*time.Second))
		b.Merge(first, now.Add(2*time.Second))
	}
	c.Merge(b.Updates(now.Add(2*time.Second)), now.Add(2*time.Second))
	evidence, ok := c.Evidence("s", 7)
	require.True(t, ok)
	require.Len(t, evidence.Counts, 1)
	require.EqualValues(t, 2, evidence.Counts[0].Replies)
	require.EqualValues(t, 2, evidence.Counts[0].Bad())
	require.Equal(t, now.Add(time.Second), evidence.SeenAt, "another VM knew the order for a second when it counted")

	other := newTestBoard("d", 8, now)
	other.Merge(second, now)
	evidence, _ = other.Evidence("s", 8)
	require.Empty(t, evidence.Counts)
	require.Empty(t, b.Updates(now.Add(time.Minute)), "old evidence is not sent on")
}
