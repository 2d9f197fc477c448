package admission

import (
	"math"
	"time"
)

// rank orders requests under pressure; the lowest rank is served first.
type rank int

const (
	// priorities is the number of priorities that are told apart. Lower ones count as the
	// lowest of these.
	priorities = 4
	// slackClasses is the number of classes of time left, by whether a reply is expected before
	// the goal.
	slackClasses = 2
	// rushRank is the rank of requests beyond the usual load of their organisation.
	rushRank = rank(priorities * slackClasses)
	ranks    = int(rushRank) + 1
	// reservedShare is the share of the usual chance of admission that every rank keeps. The
	// lowest priority has to be served at a quarter of the rate of all requests; the rest is a
	// margin for requests that are lost after admission.
	reservedShare = 0.28
	// demandTime is the time constant with which offered work is forgotten.
	demandTime = 2 * time.Second
	// certain is the share of admission that counts as all, which absorbs rounding errors.
	certain = 0.999
)

// rankOf returns the rank of a request, without regard to its organisation.
func rankOf(r Request, rt *route, now time.Time) rank {
	slack := 0
	if r.Goal > 0 && r.GoalLeft < rt.expected(now) {
		slack = 1
	}
	return rank(min(int(r.Priority), priorities-1)*slackClasses + slack)
}

// demand is the work that was offered lately, by rank.
type demand struct {
	work  [ranks]float64
	total float64
	at    time.Time
}

func (d *demand) add(k rank, work float64, now time.Time) {
	d.decay(now)
	d.work[k] += work
	d.total += work
}

func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.at)
	if d.at.IsZero() || passed <= 0 {
		d.at = later(d.at, now)
		return
	}
	factor := math.Exp(-float64(passed) / float64(demandTime))
	d.total = 0
	for k := range d.work {
		d.work[k] *= factor
		d.total += d.work[k]
	}
	d.at = now
}

// share returns the share of the work of a rank that is admitted under the pressure: all
// ranks keep the reserved share, and the rest of the capacity goes to the first ranks.
func (d *demand) share(k rank, pressure float64) float64 {
	capacity := 1 - pressure
	reserved := reservedShare * capacity
	if d.work[k] <= 0 {
		return 1
	}
	left := (capacity - reserved) * d.total
	for better := range k {
		left -= (1 - reserved) * d.work[better]
	}
	return reserved + (1-reserved)*min(max(left/((1-reserved)*d.work[k]), 0), 1)
}

// pressureFor returns the highest pressure at which at least half of the requests of the rank
// are admitted.
func (d *demand) pressureFor(k rank) float64 {
	if d.total <= 0 {
		return 1
	}
	needed := d.work[k] / 2
	for better := range k {
		needed += d.work[better]
	}
	return 1 - needed/d.total
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
