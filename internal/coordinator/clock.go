package coordinator

import "time"

// clock returns wall clock times that advance with the monotonic clock only, so that
// steps of the system clock do not shift deadlines. The times have no monotonic
// reading, so that they survive the conversion to a trace unchanged.
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
