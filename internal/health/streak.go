package health

import "time"

const (
	// A reply is slow if its latency ratio is at least slowRatio, and quick if it is at
	// most quickRatio. A quick reply shows that the target is normal.
	slowRatio  = 3.0
	quickRatio = 2.0
	// minStreakDuration is the minimum time between the first and the last slow request
	// of a streak for the target to count as slow. It exceeds the occasional pauses of
	// targets, after which replies are quick again.
	minStreakDuration = 200 * time.Millisecond
	// maxStreakGap is the longest time between two slow requests of one streak.
	maxStreakGap = 1200 * time.Millisecond
	// suspectTTL is how long a target is avoided after a slow reply: about as long as
	// the target may still be pausing. slowTTL is how long a target that is confirmed
	// to be slow is avoided before requests try it again.
	suspectTTL = 200 * time.Millisecond
	slowTTL    = 2 * time.Second
)

// streak is a sequence of requests with slow replies and no quick reply in between, by
// the evidence of this VM and its peers.
type streak struct {
	// firstSlow and lastSlow are when the first and the last slow request were sent.
	firstSlow, lastSlow time.Time
	// lastQuick is when the last request with a quick reply was sent.
	lastQuick time.Time
	// suspectUntil and slowUntil are the times until which the target is avoided.
	suspectUntil time.Time
	slowUntil    time.Time
}

// addSlow adds slow requests, the first and the last of which were sent at the given
// times; now is when the evidence became available.
func (s *streak) addSlow(first, last, now time.Time) {
	if !last.After(s.lastQuick) {
		return
	}
	if !first.After(s.lastQuick) {
		first = last
	}
	if s.lastSlow.IsZero() || first.Sub(s.lastSlow) > maxStreakGap && now.After(s.slowUntil.Add(maxStreakGap)) {
		s.firstSlow, s.lastSlow = first, last
	}
	if first.Before(s.firstSlow) && s.firstSlow.Sub(last) <= maxStreakGap {
		s.firstSlow = first
	}
	s.lastSlow = later(s.lastSlow, last)
	s.suspectUntil = later(s.suspectUntil, now.Add(suspectTTL))
	if s.lastSlow.Sub(s.firstSlow) >= minStreakDuration {
		s.slowUntil = later(s.slowUntil, s.lastSlow.Add(slowTTL))
	}
}

// addQuick records a quick reply to a request sent at the given time. It ends the
// streak unless the streak has later slow requests.
func (s *streak) addQuick(sent time.Time) {
	s.lastQuick = later(s.lastQuick, sent)
	if !s.lastSlow.IsZero() && s.lastQuick.After(s.lastSlow) {
		*s = streak{lastQuick: s.lastQuick}
	}
}

// speed returns the current speed class of the target.
func (s *streak) speed(now time.Time) Speed {
	switch {
	case now.Before(s.slowUntil):
		return Slow
	case now.Before(s.suspectUntil):
		return Suspect
	default:
		return Normal
	}
}

// Speed is the speed class of a target.
type Speed int

const (
	// Normal targets have no recent evidence of slow replies.
	Normal Speed = iota
	// Suspect targets had a slow reply recently.
	Suspect
	// Slow targets had slow replies for at least minStreakDuration.
	Slow
)
