package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/view"
)

// After a clock gap nothing received before its end is dispatched, nor anything
// until control has published a newer view.
func TestGapBlocksWorkUntilControlHasLookedAgain(t *testing.T) {
	before, after := &view.View{}, &view.View{Paused: true}
	start := time.Now()
	g := newGapDetector(500 * time.Millisecond)
	require.False(t, g.blocked(before, start, start.Add(time.Hour)), "not started")
	g.start(start)
	g.beat(before, start.Add(400*time.Millisecond))
	require.False(t, g.blocked(before, start, start.Add(800*time.Millisecond)))
	woken := start.Add(10 * time.Second)
	require.True(t, g.blocked(before, start, woken), "noticed without a beat")
	require.True(t, g.blocked(before, woken, woken.Add(time.Millisecond)), "same view")
	require.False(t, g.blocked(after, woken, woken.Add(time.Millisecond)), "newer view decides")
	require.True(t, g.blocked(after, start, woken.Add(time.Millisecond)), "received before the gap ended")
	for beat := woken; beat.Before(woken.Add(gapHold)); beat = beat.Add(100 * time.Millisecond) {
		g.beat(before, beat)
		require.True(t, g.blocked(before, woken, beat))
	}
	require.False(t, g.blocked(before, woken, woken.Add(gapHold)), "control published nothing")
	require.Equal(t, 1, g.count())
}

// A suspended virtual machine's monotonic clock stands still; its wall clock
// does not.
func TestGapIsSeenInTheWallClockToo(t *testing.T) {
	v := &view.View{}
	start := time.Unix(1000, 0)
	g := newGapDetector(500 * time.Millisecond)
	g.start(start)
	require.True(t, g.blocked(v, start, start.Add(time.Second)))
}
