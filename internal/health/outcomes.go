package health

import "time"

// outcomes counts requests that failed and all requests; older ones count less.
type outcomes struct {
	failed, all float64
	at          time.Time
}

// add counts a request; failed is 1 when it failed and 0 otherwise.
func (o *outcomes) add(failed float64, now time.Time) {
	f, a := o.faded(now)
	*o = outcomes{failed: f + failed, all: a + 1, at: now}
}

// faded returns the counts as they weigh now.
func (o outcomes) faded(now time.Time) (failed, all float64) {
	weight := faded(o.at, now, failuresFade)
	return o.failed * weight, o.all * weight
}
