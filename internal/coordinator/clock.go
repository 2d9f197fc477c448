package coordinator

import "time"

// clock tells a time that moves with the monotonic clock only, so that steps of
// the system's wall clock change no deadline, and that is whole in a trace.
type clock struct {
	base  time.Time
	start time.Time
}

func newClock() clock {
	start := time.Now()
	return clock{base: start.Round(0), start: start}
}

func (c clock) now() time.Time {
	return c.base.Add(time.Since(c.start))
}
