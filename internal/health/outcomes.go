package health

import "time"

// outcomes counts failed requests and all requests with exponential decay.
type outcomes struct {
	failed, all float64
	at          time.Time
}

// add counts a request; failed is 1 if it failed and 0 otherwise.
func (o *outcomes) add(failed float64, now time.Time) {
	f, a := o.decayed(now)
	*o = outcomes{failed: f + failed, all: a + 1, at: now}
}

// decayed returns the counts decayed to the given time.
func (o outcomes) decayed(now time.Time) (failed, all float64) {
	factor := decay(o.at, now, outcomeHalfLife)
	return o.failed * factor, o.all * factor
}
