package pause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/view"
)

const threshold = 500 * time.Millisecond

// newTestDetector returns a detector whose boot time the test sets.
func newTestDetector() (*Detector, *time.Duration) {
	boot := new(time.Duration)
	d := NewDetector(threshold)
	d.bootTime = func() (time.Duration, error) { return *boot, nil }
	return d, boot
}

// After a pause, work received before its end stays blocked, and later work is blocked
// until package control publishes a newer view or BlockPeriod has passed.
func TestPauseBlocksWorkUntilNewView(t *testing.T) {
	before, after := &view.View{}, &view.View{Paused: true}
	start := time.Now()
	d, _ := newTestDetector()
	require.False(t, d.Blocks(before, start, start.Add(time.Hour)), "not started")
	d.Start(start)
	d.Tick(before, start.Add(400*time.Millisecond))
	require.False(t, d.Blocks(before, start, start.Add(800*time.Millisecond)))
	resumed := start.Add(10 * time.Second)
	require.True(t, d.Blocks(before, start, resumed), "noticed without a tick")
	require.True(t, d.Blocks(before, resumed, resumed.Add(time.Millisecond)), "same view")
	require.False(t, d.Blocks(after, resumed, resumed.Add(time.Millisecond)), "newer view decides")
	require.True(t, d.Blocks(after, start, resumed.Add(time.Millisecond)), "received before the pause ended")
	for tick := resumed; tick.Before(resumed.Add(BlockPeriod)); tick = tick.Add(100 * time.Millisecond) {
		d.Tick(before, tick)
		require.True(t, d.Blocks(before, resumed, tick))
	}
	require.False(t, d.Blocks(before, resumed, resumed.Add(BlockPeriod)), "control published nothing")
	require.Equal(t, 1, d.Count())
}

// The monotonic clock stops while the machine is suspended.
func TestSuspensionIsDetectedByTheBootTime(t *testing.T) {
	v := &view.View{}
	start := time.Unix(1000, 0)
	d, boot := newTestDetector()
	d.Start(start)
	*boot += time.Second
	require.True(t, d.Blocks(v, start, start.Add(time.Second)))
}

// A wall clock that is set forward is no pause.
func TestClockStepIsNoPause(t *testing.T) {
	v := &view.View{}
	start := time.Now()
	d, boot := newTestDetector()
	d.Start(start)
	*boot += 10 * time.Millisecond
	stepped := start.Add(10 * time.Millisecond)
	// Round(0) strips the monotonic reading, which the step does not change.
	require.False(t, d.wasSuspended(stepped.Round(0).Add(time.Hour)))
	require.False(t, d.Blocks(v, start, stepped))
}

func TestBootTimeAdvances(t *testing.T) {
	first, err := bootTime()
	require.NoError(t, err)
	second, err := bootTime()
	require.NoError(t, err)
	require.GreaterOrEqual(t, second, first)
}
