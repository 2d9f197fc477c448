package owner

import "time"

const (
	// defaultColdDuration is the minimum duration of a cold start if none is configured, and minColdSuccesses
	// the minimum number of successes during it.
	defaultColdDuration = 5 * time.Second
	minColdSuccesses    = 100
	// minRaiseInterval is the minimum time between two raises of the limit.
	minRaiseInterval = 200 * time.Millisecond
	// successesPerSlot is the number of successes required for a raise, per unit of the limit.
	successesPerSlot = 4
	// limitStepDivisor determines the step by which the limit is raised or lowered: limit/limitStepDivisor, at
	// least one.
	limitStepDivisor = 2
	// A target is still warming up if its mean service time in a round is below this fraction of the mean in
	// the previous round (see ramp).
	warmingNumerator, warmingDenominator = 4, 5
	// averageDivisor is the reciprocal of the weight of a new value in the exponential moving average of
	// service times.
	averageDivisor = 8
	// A reply counts as a latency jump if its service time is above latencyJumpFactor times the average and
	// above latencyJumpFloor.
	latencyJumpFactor = 8
	latencyJumpFloor  = 20 * time.Millisecond
	// latencyJumpsToCold is the number of consecutive latency jumps after which a target is considered cold.
	latencyJumpsToCold = 3
)

// ramp tracks the successes of a target and decides when its limit may be raised. It decides at the end of each
// round; a round ends once it has had a minimum duration and a minimum number of successes.
type ramp struct {
	// serviceTime is the moving average of service times; zero before the first success.
	serviceTime time.Duration
	// latencyJumps counts consecutive latency jumps.
	latencyJumps int

	// successes and totalTime are the number of successes in the current round and the sum of their service
	// times.
	successes int
	totalTime time.Duration
	// previousMean is the mean service time of the previous round; zero if there is none.
	previousMean time.Duration
	// roundStart is the start of the current round.
	roundStart time.Duration
}

// restart discards the results of all rounds and starts a new one. It keeps only the average service time, from
// which queueing times are estimated.
func (r *ramp) restart(now time.Duration) {
	*r = ramp{serviceTime: r.serviceTime, roundStart: now}
}

// observe records the service time of a success. It returns true after latencyJumpsToCold consecutive latency
// jumps.
func (r *ramp) observe(duration time.Duration) (jumped bool) {
	r.successes++
	r.totalTime += duration
	if r.serviceTime > 0 && duration > latencyJumpFactor*r.serviceTime && duration > latencyJumpFloor {
		r.latencyJumps++
		if r.latencyJumps < latencyJumpsToCold {
			return false
		}
		r.serviceTime = duration
		return true
	}
	r.latencyJumps = 0
	if r.serviceTime == 0 {
		r.serviceTime = duration
		return false
	}
	r.serviceTime += (duration - r.serviceTime) / averageDivisor
	return false
}

// finishRound reports whether the limit may be raised. It starts the next round once the current one has
// lasted minDuration and had minSuccesses successes. The limit is not raised while the target is still
// warming up.
func (r *ramp) finishRound(minSuccesses int, minDuration, now time.Duration) bool {
	if r.successes < minSuccesses || now-r.roundStart < minDuration {
		return false
	}
	mean := r.totalTime / time.Duration(r.successes)
	steady := r.previousMean == 0 || mean*warmingDenominator >= r.previousMean*warmingNumerator
	r.previousMean = mean
	r.successes, r.totalTime, r.roundStart = 0, 0, now
	return steady
}

// raisedLimit returns the limit raised by one step, to at most slots.
func raisedLimit(limit, slots int) int {
	return min(slots, limit+max(1, limit/limitStepDivisor))
}
