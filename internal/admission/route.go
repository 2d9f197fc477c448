package admission

import (
	"math"
	"time"
)

const (
	// firstSamples is the number of replies after which the usual reply time is known.
	firstSamples = 30
	// firstStep is the relative change of the usual reply time by each of the first replies.
	firstStep = 0.1
	// driftTime is the time constant with which the usual reply time follows the median. It
	// exceeds the time in which the pressure of an overload rises, so that queues do not become
	// usual. Under pressure the usual reply time falls pressureFall times faster than it rises,
	// so that it follows a low quantile: if targets have become slower, shedding cannot make
	// them as fast as before.
	driftTime    = 10 * time.Second
	pressureFall = 10
	// maxUsualShare bounds the usual reply time to a share of the goal, so that replies from
	// full queues do not count as usual after a start under overload.
	maxUsualShare = 0.4
	// queuedFactor is the wait, in usual reply times, from which a reply counts as queued, and
	// queuedGoalShare the share of the goal that it must take as well: shorter waits cost nothing.
	queuedFactor    = 1.5
	queuedGoalShare = 0.25
	// recentWeight is the weight of one reply in the recent reply time, and recentTime the time
	// after which the recent reply time is forgotten.
	recentWeight = 0.1
	recentTime   = 2 * time.Second
	// minReplyTime is the shortest usual reply time; shorter ones are noise.
	minReplyTime = 500 * time.Microsecond
)

// route is what is known of the reply times of one route's requests at targets.
type route struct {
	// group is the name of the services of a gathering route as a group; empty for other routes.
	group   string
	samples int
	// usual is the reply time without queueing, and recent the mean of late.
	usual, recent float64
	seenAt        time.Time
}

// route returns the state of a route, or nil if there are too many. c.mu must be held.
func (c *Controller) route(name string) *route {
	rt, ok := c.routes[name]
	if !ok {
		if len(c.routes) >= maxRoutes {
			return nil
		}
		rt = &route{}
		c.routes[name] = rt
	}
	return rt
}

// add records a reply time. The usual reply time is the median, and a low quantile under pressure.
func (rt *route) add(took, goal time.Duration, calm bool, now time.Time) {
	ns := float64(took)
	rt.recent += recentWeight * (ns - rt.recent)
	passed := min(max(now.Sub(rt.seenAt), 0), stepInterval)
	rt.seenAt = now
	rt.samples++
	rise := float64(passed) / float64(driftTime)
	fall := rise
	switch {
	case rt.samples == 1:
		rt.usual, rt.recent = ns, ns
	case rt.samples <= firstSamples:
		rise, fall = firstStep, firstStep
	case !calm:
		fall *= pressureFall
	}
	if ns < rt.usual {
		rt.usual /= 1 + fall
	} else {
		rt.usual *= 1 + rise
	}
	if goal > 0 {
		rt.usual = min(rt.usual, maxUsualShare*float64(goal))
	}
	rt.usual = max(rt.usual, float64(minReplyTime))
}

// queued reports whether a reply time shows that the request waited in a queue.
func (rt *route) queued(took, goal time.Duration) bool {
	wait := float64(took) - rt.usual
	return rt.samples >= firstSamples && wait > max(queuedFactor*rt.usual, queuedGoalShare*float64(goal))
}

// work returns the work of one request at a service: the usual reply time in milliseconds.
func (rt *route) work() float64 {
	if rt.samples == 0 {
		return 1
	}
	return rt.usual / float64(time.Millisecond)
}

// expected returns the expected reply time. What late replies showed is forgotten soon, since
// there may be no more of them.
func (rt *route) expected(now time.Time) time.Duration {
	if rt.samples < firstSamples {
		return 0
	}
	weight := math.Exp(-float64(now.Sub(rt.seenAt)) / float64(recentTime))
	return time.Duration(rt.usual + weight*max(rt.recent-rt.usual, 0))
}
