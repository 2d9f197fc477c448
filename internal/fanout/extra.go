package fanout

import (
	"math"
	"time"

	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// earnedShare is the part of the allowed share that requests earn; the rest
	// covers requests that the VMs count differently.
	earnedShare = 0.97
	// burstShare is the part of the slack that a bucket holds, full at the start;
	// the rest flows in over a window. A process that took another's place and
	// its predecessor together then keep the slack.
	burstShare = 0.5
	// leastBurst lets every VM send one extra request, however many there are.
	leastBurst = 1.0
	// hedgeReserve is the part of a full bucket that hedges leave for retries.
	hedgeReserve = 0.25
)

// bucket holds the extra requests that this VM may send to a service. Requests
// and time fill it, extra requests empty it, so that in each window these are at
// most the slack and the share of the requests.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

func (l Limits) burst() float64 { return max(l.Slack*burstShare, leastBurst) }

// bucket returns the bucket of a service, with what time let in.
func (k *Knowledge) bucket(service string, now time.Time) *bucket {
	b, ok := k.extra[service]
	if !ok {
		b = &bucket{tokens: k.limits.burst(), filledAt: now}
		k.extra[service] = b
	}
	if passed := now.Sub(b.filledAt); passed > 0 && k.limits.Window > 0 {
		b.add(k.limits.Slack*(1-burstShare)*float64(passed)/float64(k.limits.Window), k.limits)
		b.filledAt = now
	}
	return b
}

func (b *bucket) add(tokens float64, l Limits) { b.tokens = min(b.tokens+tokens, l.burst()) }

// earn counts one request for the service.
func (k *Knowledge) earn(service string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bucket(service, now).add(k.limits.Share*earnedShare, k.limits)
}

// spend takes a token for an extra request and reports whether there was one.
func (k *Knowledge) spend(service string, reason Reason, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.bucket(service, now)
	reserve := 0.0
	if reason == Hedge {
		reserve = math.Floor(k.limits.burst() * hedgeReserve)
	}
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// fullness returns how full the bucket of a service is, from 0 to 1.
func (k *Knowledge) fullness(service string, now time.Time) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(k.bucket(service, now).tokens/k.limits.burst(), 1)
}

// coldRate spaces the requests to a cold target.
type coldRate struct {
	next time.Time
}

// bearsCold reports whether a cold target may get a request now, and takes its
// place if so. All vms VMs share what the target bears.
func (k *Knowledge) bearsCold(t *routing.Target, vms int, now time.Time) bool {
	if t.ColdPerSecond <= 0 || !now.Before(t.ColdUntil) {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	rate, ok := k.cold[t.ID]
	if !ok {
		rate = &coldRate{}
		k.cold[t.ID] = rate
	}
	if now.Before(rate.next) {
		return false
	}
	rate.next = now.Add(time.Duration(float64(time.Second) * float64(max(vms, 1)) / t.ColdPerSecond))
	return true
}
