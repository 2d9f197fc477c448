package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/view"
)

// After a clock gap, work received before the end of the gap is never dispatched, and later work is blocked
// until package control publishes a newer view or gapBlockPeriod has passed.
func TestGapBlocksWorkUntilNewView(t *testing.T) {
	before, after := &view.View{}, &view.View{Paused: true}
	start := time.Now()
	g := newGapDetector(500 * time.Millisecond)
	require.False(t, g.blocked(before, start, start.Add(time.Hour)), "not started")
	g.start(start)
	g.tick(before, start.Add(400*time.Millisecond))
	require.False(t, g.blocked(before, start, start.Add(800*time.Millisecond)))
	resumed := start.Add(10 * time.Second)
	require.True(t, g.blocked(before, start, resumed), "noticed without a beat")
	require.True(t, g.blocked(before, resumed, resumed.Add(time.Millisecond)), "same view")
	require.False(t, g.blocked(after, resumed, resumed.Add(time.Millisecond)), "newer view decides")
	require.True(t, g.blocked(after, start, resumed.Add(time.Millisecond)), "received before the gap ended")
	for tick := resumed; tick.Before(resumed.Add(gapBlockPeriod)); tick = tick.Add(100 * time.Millisecond) {
		g.tick(before, tick)
		require.True(t, g.blocked(before, resumed, tick))
	}
	require.False(t, g.blocked(before, resumed, resumed.Add(gapBlockPeriod)), "control published nothing")
	require.Equal(t, 1, g.gapCount())
}

// The monotonic clock of a virtual machine stops while it is suspended, so only the wall clock shows the gap.
func TestGapIsDetectedByTheWallClock(t *testing.T) {
	v := &view.View{}
	start := time.Unix(1000, 0)
	g := newGapDetector(500 * time.Millisecond)
	g.start(start)
	require.True(t, g.blocked(v, start, start.Add(time.Second)))
}
