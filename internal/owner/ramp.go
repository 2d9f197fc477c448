package owner

import "time"

const (
	// defaultColdDuration is the least time at the cold limit when none is
	// configured, and coldSuccesses the least number of successes.
	defaultColdDuration = 5 * time.Second
	coldSuccesses       = 100
	// growInterval is the shortest time between two raises of the limit.
	growInterval = 200 * time.Millisecond
	// roundsPerRaise is the number of successes per unit of the limit that one
	// raise takes.
	roundsPerRaise = 4
	// growDivisor sets the raise: limit/growDivisor, at least one.
	growDivisor = 2
	// settledNumerator and settledDenominator give the share of the previous
	// round's mean service time below which the target still gets faster, and so
	// still warms up.
	settledNumerator, settledDenominator = 4, 5
	// smoothing is the weight divisor of the moving average of service times.
	smoothing = 8
	// jumpFactor and jumpFloor bound service times: above both, a reply counts
	// as a latency jump.
	jumpFactor = 8
	jumpFloor  = 20 * time.Millisecond
	// jumpsToCold is the number of latency jumps in a row that mean cold.
	jumpsToCold = 3
)

// ramp follows the successes of a target and decides when its limit may grow.
type ramp struct {
	// service is the moving average of service times; zero before the first.
	service time.Duration
	jumps   int

	successes int
	total     time.Duration
	// previousMean is the mean service time of the round before.
	previousMean time.Duration
	// since is when the present round began.
	since time.Duration
}

// restart begins anew, as for a cold target. The average of service times is
// kept: waits are estimated from it.
func (r *ramp) restart(now time.Duration) {
	*r = ramp{service: r.service, since: now}
}

// observe takes the service time of a success. It reports a latency jump once
// enough were seen in a row.
func (r *ramp) observe(took time.Duration) (jumped bool) {
	r.successes++
	r.total += took
	if r.service > 0 && took > jumpFactor*r.service && took > jumpFloor {
		r.jumps++
		if r.jumps < jumpsToCold {
			return false
		}
		r.service = took
		return true
	}
	r.jumps = 0
	if r.service == 0 {
		r.service = took
		return false
	}
	r.service += (took - r.service) / smoothing
	return false
}

// roundDone reports whether the limit may grow, and begins the next round when
// the present one had enough time and successes. A round whose mean service time is well
// below that of the round before shows a target that still warms up.
func (r *ramp) roundDone(successes int, least, now time.Duration) bool {
	if r.successes < successes || now-r.since < least {
		return false
	}
	mean := r.total / time.Duration(r.successes)
	settled := r.previousMean == 0 || mean*settledDenominator >= r.previousMean*settledNumerator
	r.previousMean = mean
	r.successes, r.total, r.since = 0, 0, now
	return settled
}

// raise returns the next limit.
func raise(limit, slots int) int {
	return min(slots, limit+max(1, limit/growDivisor))
}
