package health

import "time"

// counts holds decayed numbers of requests.
type counts struct {
	// failed counts the requests that failed or were lost.
	failed float64
	// all counts the requests that the target did not reject, failed ones included.
	all float64
	// rejected counts the requests that the target rejected without running them.
	rejected float64
}

func (c counts) plus(other counts) counts {
	return counts{failed: c.failed + other.failed, all: c.all + other.all, rejected: c.rejected + other.rejected}
}

// outcomes counts requests by their outcome, with exponential decay.
type outcomes struct {
	counts
	at time.Time
}

// add counts requests.
func (o *outcomes) add(c counts, now time.Time) {
	*o = outcomes{counts: o.decayed(now).plus(c), at: now}
}

// decayed returns the counts decayed to the given time.
func (o outcomes) decayed(now time.Time) counts {
	factor := decay(o.at, now, outcomeHalfLife)
	return counts{failed: o.failed * factor, all: o.all * factor, rejected: o.rejected * factor}
}
