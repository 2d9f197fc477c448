package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// depositFactor is the part of Limits.Share that each request deposits. The rest is
	// a margin for differences in how the VMs count requests.
	depositFactor = 0.97
	// burstShare is the part of the slack that a bucket holds; the bucket starts full.
	// The rest refills over one window, so that a restarted process and its
	// predecessor together stay within the slack.
	burstShare = 0.5
	// minBurst lets every VM send one extra request, however many VMs there are.
	minBurst = 1.0
	// optionalReserve is the part of a full bucket that is reserved for retries without
	// which the request fails.
	optionalReserve = 0.25
)

// priority is the priority of an extra request in the use of the budget.
type priority int

const (
	// optionalPriority is that of a hedge, whose leg may still succeed, and of a retry
	// without which the answer is only less complete.
	optionalPriority priority = iota
	// requiredPriority is that of a retry without which the request fails.
	requiredPriority
)

// reserve returns the number of tokens that extra requests of the priority must leave.
func (p priority) reserve(burst float64) float64 {
	if p == requiredPriority {
		return 0
	}
	return burst * optionalReserve
}

// tokenBucket is the budget of extra requests that this VM sends to a service. Requests and
// elapsed time add tokens, and each extra request takes one, so that the extra
// requests in any window stay within the slack plus the share of the requests.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

func (l Limits) burst() float64 { return max(l.Slack*burstShare, minBurst) }

// bucket returns the token bucket of a service, refilled for the elapsed time. s.mu
// must be held.
func (s *SharedState) bucket(service string, now time.Time) *tokenBucket {
	b, ok := s.buckets[service]
	if !ok {
		b = &tokenBucket{tokens: s.limits.burst(), filledAt: now}
		s.buckets[service] = b
	}
	if passed := now.Sub(b.filledAt); passed > 0 && s.limits.Window > 0 {
		b.add(s.limits.Slack*(1-burstShare)*float64(passed)/float64(s.limits.Window), s.limits)
		b.filledAt = now
	}
	return b
}

func (b *tokenBucket) add(tokens float64, l Limits) { b.tokens = min(b.tokens+tokens, l.burst()) }

// deposit adds the tokens of one regular request to the bucket of the service.
func (s *SharedState) deposit(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(service, now).add(s.limits.Share*depositFactor, s.limits)
}

// withdraw takes a token for an extra request and reports whether one was available.
func (s *SharedState) withdraw(service string, p priority, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(service, now)
	// A small bucket could otherwise never hold enough for an optional request.
	if b.tokens < min(1+p.reserve(s.limits.burst()), s.limits.burst()) {
		return false
	}
	b.tokens--
	return true
}

// fillLevel returns the fill level of a service's bucket, from 0 to 1.
func (s *SharedState) fillLevel(service string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.bucket(service, now).tokens/s.limits.burst(), 1)
}

// coldLimiter spaces the requests to a cold target.
type coldLimiter struct {
	next time.Time
}

// admitCold reports whether a target may get a request now, and reserves the slot if
// so. Targets that are not cold are always admitted; vms VMs share the rate limit of a
// cold target.
func (s *SharedState) admitCold(t *routing.Target, vms int, now time.Time) bool {
	if t.ColdPerSecond <= 0 || !now.Before(t.ColdUntil) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, ok := s.coldLimiters[t.ID]
	if !ok {
		limiter = &coldLimiter{}
		s.coldLimiters[t.ID] = limiter
	}
	if now.Before(limiter.next) {
		return false
	}
	limiter.next = now.Add(time.Duration(float64(time.Second) * float64(max(vms, 1)) / t.ColdPerSecond))
	return true
}
