package fanout

import (
	"math"
	"time"

	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// earnedShare is the part of the allowed share that requests earn; the rest
	// covers requests that the VMs count differently.
	earnedShare = 0.85
	// burstShare is the part of the slack that a bucket may hold.
	burstShare = 0.8
	// firstTokens is the part of a full bucket that a VM begins with: the process
	// before it may have spent the window's slack.
	firstTokens = 0.25
	// hedgeReserve is the part of a full bucket that hedges leave for retries.
	hedgeReserve = 0.25
)

// bucket holds the extra requests that this VM may send to a service. Requests
// fill it and extra requests empty it, so that in each window these are at most
// the bucket's size and the share of the requests.
type bucket struct {
	tokens float64
}

func (l Limits) size() float64 { return l.Slack * burstShare }

func (k *Knowledge) bucket(service string) *bucket {
	b, ok := k.extra[service]
	if !ok {
		b = &bucket{tokens: k.limits.size() * firstTokens}
		k.extra[service] = b
	}
	return b
}

// earn counts one request for the service.
func (k *Knowledge) earn(service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.bucket(service)
	b.tokens = min(b.tokens+k.limits.Share*earnedShare, max(k.limits.size(), 1))
}

// spend takes a token for an extra request and reports whether there was one.
func (k *Knowledge) spend(service string, reason Reason) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.bucket(service)
	reserve := 0.0
	if reason == Hedge {
		reserve = math.Floor(k.limits.size() * hedgeReserve)
	}
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Left returns the extra requests that may be sent to a service now.
func (k *Knowledge) Left(service string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bucket(service).tokens
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
