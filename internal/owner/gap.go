package owner

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/view"
)

// gapBlockPeriod is how long dispatch stays blocked after a clock gap if package control publishes no newer
// view.
const gapBlockPeriod = time.Second

// gapDetector detects that the process was paused, from the time between periodic ticks. Work received before
// the end of a gap is never dispatched. Later work is blocked until package control publishes a newer view
// or gapBlockPeriod has passed.
type gapDetector struct {
	// threshold is the time without a tick above which a gap is detected.
	threshold time.Duration

	mu       sync.Mutex
	running  bool
	lastTick time.Time
	// gapEnd is the time at which the last gap was detected, and gapView the view at that time.
	gapEnd  time.Time
	gapView *view.View
	// count is the number of gaps detected.
	count int
}

func newGapDetector(threshold time.Duration) *gapDetector {
	return &gapDetector{threshold: threshold}
}

// start starts gap detection. From now on, tick must be called periodically.
func (g *gapDetector) start(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running, g.lastTick = true, now
}

// stop ends gap detection.
func (g *gapDetector) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = false
}

// tick records that the process is running.
func (g *gapDetector) tick(v *view.View, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detect(v, now)
	g.lastTick = now
}

// blocked reports whether work received at the given time must not be dispatched now.
func (g *gapDetector) blocked(v *view.View, received, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detect(v, now)
	if g.gapEnd.IsZero() {
		return false
	}
	if received.Before(g.gapEnd) {
		return true
	}
	return g.gapView == v && now.Sub(g.gapEnd) < gapBlockPeriod
}

// detect checks for a gap in both the monotonic clock and the wall clock, because the monotonic clock stops
// while a virtual machine is suspended. The caller must hold g.mu.
func (g *gapDetector) detect(v *view.View, now time.Time) {
	if !g.running || g.threshold <= 0 {
		return
	}
	gap := max(now.Sub(g.lastTick), now.Round(0).Sub(g.lastTick.Round(0)))
	if gap > g.threshold {
		g.gapEnd, g.gapView = now, v
		g.lastTick = now
		g.count++
	}
}

// gapCount returns the number of gaps detected so far.
func (g *gapDetector) gapCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
