package health

import "time"

const (
	// slowRatio is how many times longer than usual a slow reply takes, and
	// quickRatio what a reply takes at most that shows a target to be in order.
	slowRatio  = 3.0
	quickRatio = 2.0
	// streakSpan is the time between the first and the last slow request that
	// confirms that a target turned slow. It is above the pauses that targets make
	// now and then, after which replies are quick again.
	streakSpan = 200 * time.Millisecond
	// streakGap is the longest time between two slow requests of one streak.
	streakGap = 1200 * time.Millisecond
	// suspectHold is how long a target is spared after a slow reply: about the
	// rest of a pause. slowHold is how long it is spared once it is confirmed to be
	// slow; then a request tries it again.
	suspectHold = 200 * time.Millisecond
	slowHold    = 2 * time.Second
)

// streak is a row of requests that got slow replies, with no quick one between,
// as far as this VM was told.
type streak struct {
	// first and last are when the first and the last slow request were sent.
	first, last time.Time
	// quick is when the last request was sent that got a quick reply.
	quick time.Time
	// suspectedUntil and heldUntil are until when the target is spared.
	suspectedUntil time.Time
	heldUntil      time.Time
}

// slow adds slow requests, the first and the last of which were sent at the given
// times; now is when that became known.
func (s *streak) slow(first, last, now time.Time) {
	if !last.After(s.quick) {
		return
	}
	if !first.After(s.quick) {
		first = last
	}
	if s.last.IsZero() || first.Sub(s.last) > streakGap && now.After(s.heldUntil.Add(streakGap)) {
		s.first, s.last = first, last
	}
	if first.Before(s.first) && s.first.Sub(last) <= streakGap {
		s.first = first
	}
	s.last = later(s.last, last)
	s.suspectedUntil = later(s.suspectedUntil, now.Add(suspectHold))
	if s.last.Sub(s.first) >= streakSpan {
		s.heldUntil = later(s.heldUntil, s.last.Add(slowHold))
	}
}

// answered ends the streak unless it is newer: a request that was sent at the
// given time got a quick reply.
func (s *streak) answered(sent time.Time) {
	s.quick = later(s.quick, sent)
	if !s.last.IsZero() && s.quick.After(s.last) {
		*s = streak{quick: s.quick}
	}
}

// speed returns what is believed of the target.
func (s *streak) speed(now time.Time) Speed {
	switch {
	case now.Before(s.heldUntil):
		return Slow
	case now.Before(s.suspectedUntil):
		return Suspect
	default:
		return Usual
	}
}

// Speed is what is believed of how fast a target is.
type Speed int

// Speeds of targets.
const (
	Usual Speed = iota
	// Suspect targets gave a slow reply a moment ago.
	Suspect
	// Slow targets gave slow replies at moments apart.
	Slow
)
