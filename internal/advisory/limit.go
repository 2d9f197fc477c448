package advisory

import (
	"math"
	"time"
)

const (
	// minRate is the lowest rate, in requests per second from all VMs, at which a limited
	// target is asked: without any request, the end of its limit would not be noticed.
	minRate = 0.2
	// burstSeconds and burstRequests are the requests beyond the limit that all VMs together
	// may send at once: those of a time at the limit, and a fixed number. Arrivals are not
	// evenly spaced, and a share without a burst would be wasted.
	burstSeconds  = 1.0
	burstRequests = 2.5
	// sharersPerBurst bounds the VMs that send to a limited target, in burst requests: each of
	// them may have one request in flight at any time.
	sharersPerBurst = 1.5
)

// limit is the rate that a target has named and this VM's token bucket under it.
type limit struct {
	// active is false if the target has shown that the limit has ended.
	active bool
	rate   float64
	// seenAt is when the latest reply that named the limit, or showed its end, was received.
	seenAt   time.Time
	tokens   float64
	filledAt time.Time
}

// set records that a reply named the limit.
func (l *limit) set(rate float64, at time.Time) {
	if !l.active {
		l.tokens, l.filledAt = math.Inf(1), at
	}
	l.active, l.rate, l.seenAt = true, max(rate, minRate), at
}

func (l *limit) holds(now time.Time) bool { return l.active && now.Sub(l.seenAt) < limitTTL }

// outdated reports whether neither the limit nor its end needs to be remembered.
func (l *limit) outdated(now time.Time) bool {
	ttl := limitEndTTL
	if l.active {
		ttl = limitTTL
	}
	return now.Sub(l.seenAt) >= ttl
}

// burst returns the number of requests beyond the limit that all VMs together may send.
func (l *limit) burst() float64 { return burstSeconds*l.rate + burstRequests }

// share returns this VM's rate and burst, or zeros if other VMs use up the limit: if many VMs
// sent a request each at once, they would exceed a low limit.
func (l *limit) share(t Target, sharers *Sharers) (rate, burst float64) {
	most := max(int(sharersPerBurst*l.burst()), 1)
	n := min(sharers.Count(), most)
	if sharers.rank(t.ID, most) >= n {
		return 0, 0
	}
	return l.rate / float64(n), max(l.burst()/float64(n), 1)
}

// fill adds the tokens of the elapsed time and returns the rate at which they are added.
func (l *limit) fill(t Target, sharers *Sharers, now time.Time) float64 {
	rate, burst := l.share(t, sharers)
	l.tokens = min(l.tokens+rate*max(now.Sub(l.filledAt).Seconds(), 0), burst)
	l.filledAt = now
	return rate
}

// take takes a token and reports whether there was one.
func (l *limit) take(t Target, sharers *Sharers, now time.Time) bool {
	if !l.holds(now) {
		return true
	}
	if l.fill(t, sharers, now); l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// nextAt returns when there will be a token.
func (l *limit) nextAt(t Target, sharers *Sharers, now time.Time) time.Time {
	if !l.holds(now) {
		return now
	}
	rate := l.fill(t, sharers, now)
	end := l.seenAt.Add(limitTTL)
	if l.tokens >= 1 {
		return now
	}
	if rate == 0 {
		return end
	}
	next := now.Add(time.Duration((1 - l.tokens) / rate * float64(time.Second)))
	if next.After(end) {
		return end
	}
	return next
}
