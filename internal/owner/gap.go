package owner

import (
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/view"
)

// gapHold is how long work is held after a clock gap when control publishes no
// newer view.
const gapHold = time.Second

// gapDetector notices that the process was paused: its beats stop. Work that
// was received before the end of a gap is not dispatched, nor is any until
// control has published a newer view.
type gapDetector struct {
	limit time.Duration

	mu      sync.Mutex
	running bool
	last    time.Time
	// gapEnd is when the last gap was noticed; during is the view at that time.
	gapEnd time.Time
	during *view.View
	// gaps counts the gaps noticed.
	gaps int
}

func newGapDetector(limit time.Duration) *gapDetector {
	return &gapDetector{limit: limit}
}

// start begins to expect beats.
func (g *gapDetector) start(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running, g.last = true, now
}

func (g *gapDetector) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = false
}

// beat shows that the process runs.
func (g *gapDetector) beat(v *view.View, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notice(v, now)
	g.last = now
}

// blocked reports whether work received at that time must not be dispatched.
func (g *gapDetector) blocked(v *view.View, received, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notice(v, now)
	if g.gapEnd.IsZero() {
		return false
	}
	if received.Before(g.gapEnd) {
		return true
	}
	return g.during == v && now.Sub(g.gapEnd) < gapHold
}

// notice looks for a gap in both the monotonic clock and the wall clock: the
// first stands still while a virtual machine is suspended.
func (g *gapDetector) notice(v *view.View, now time.Time) {
	if !g.running || g.limit <= 0 {
		return
	}
	gap := max(now.Sub(g.last), now.Round(0).Sub(g.last.Round(0)))
	if gap > g.limit {
		g.gapEnd, g.during = now, v
		g.last = now
		g.gaps++
	}
}

// count returns the number of gaps noticed so far.
func (g *gapDetector) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gaps
}
