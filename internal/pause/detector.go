// Package pause detects that this process did not run for a while: it was stopped, or its
// machine was suspended. What the process believed before may no longer be allowed, so
// work waits until package control has confirmed its state.
package pause

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carawayreel/carawayreel/internal/view"
)

// BlockPeriod is how long work stays blocked after a pause if package control publishes
// no newer view.
const BlockPeriod = time.Second

// Detector detects a pause from the time between periodic ticks. Work received before the
// end of a pause stays blocked. Later work is blocked until package control publishes a
// newer view or BlockPeriod has passed. It is safe for concurrent use.
type Detector struct {
	// threshold is the time without a tick above which a pause is detected.
	threshold time.Duration
	// bootTime returns the time since the machine started, suspensions included.
	bootTime func() (time.Duration, error)

	mu           sync.Mutex
	running      bool
	lastTick     time.Time
	lastBootTime time.Duration
	// pauseEnd is the time at which the last pause was detected, and pauseView the view
	// at that time.
	pauseEnd  time.Time
	pauseView *view.View
	// count is the number of pauses detected.
	count int
}

// NewDetector returns a Detector that is not running yet.
func NewDetector(threshold time.Duration) *Detector {
	return &Detector{threshold: threshold, bootTime: bootTime}
}

// bootTime reads CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

// Start starts the detection. From now on, Tick must be called periodically.
func (d *Detector) Start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = true
	d.recordTick(now)
}

// Stop ends the detection.
func (d *Detector) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = false
}

// Tick records that the process is running.
func (d *Detector) Tick(v *view.View, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detect(v, now)
	d.recordTick(now)
}

// Blocks reports whether work received at the given time must not be sent now.
func (d *Detector) Blocks(v *view.View, received, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detect(v, now)
	if d.pauseEnd.IsZero() {
		return false
	}
	if received.Before(d.pauseEnd) {
		return true
	}
	return d.pauseView == v && now.Sub(d.pauseEnd) < BlockPeriod
}

// Count returns the number of pauses detected so far.
func (d *Detector) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// recordTick must be called with d.mu held.
func (d *Detector) recordTick(now time.Time) {
	d.lastTick = now
	if boot, err := d.bootTime(); err == nil {
		d.lastBootTime = boot
	}
}

// detect checks for a pause. The caller must hold d.mu.
func (d *Detector) detect(v *view.View, now time.Time) {
	if !d.running || d.threshold <= 0 {
		return
	}
	if now.Sub(d.lastTick) > d.threshold || d.wasSuspended(now) {
		d.pauseEnd, d.pauseView = now, v
		d.recordTick(now)
		d.count++
	}
}

// wasSuspended reports whether the machine was suspended since the last tick. The
// monotonic clock does not count such a time; the wall clock does, but it is also set by
// hand, so the boot time decides. It is read only if the wall clock shows a gap, since
// detect runs for each request.
func (d *Detector) wasSuspended(now time.Time) bool {
	if now.Round(0).Sub(d.lastTick.Round(0)) <= d.threshold {
		return false
	}
	boot, err := d.bootTime()
	return err != nil || boot-d.lastBootTime > d.threshold
}
