// Package allowance keeps the request rates of organisations over all VMs.
//
// Each VM has a Limiter, which admits or refuses requests at once, from what it knows, and
// reports its counts to the accountant of the organisation. An Accountant, on a few VMs, keeps
// a token bucket for each of its organisations and tells the VMs that report to it whether the
// organisation is limited, and what rate each of them may admit. Limiter, Accountant and Roster
// are pure state machines; Service does the I/O.
package allowance

import (
	"math"
	"time"

	"github.com/carawayreel/carawayreel/internal/organisation"
)

const (
	// window is the period over which the requirements bound the requests of an organisation
	// (quota_window_s).
	window = 5 * time.Second
	// overage and slack are the share, and the number of requests, by which all VMs together
	// may exceed the allowance in a window (quota_overage, quota_slack).
	overage = 0.1
	slack   = 20.0
	// reportInterval is the interval of a VM's reports to an accountant while there is
	// something to report. It is part of the delay with which a rush is seen.
	reportInterval = 200 * time.Millisecond
	// urgentInterval is the minimum interval of reports that do not wait for the report
	// interval, so that one VM sends at most 50 a second to an accountant.
	urgentInterval = 20 * time.Millisecond
	// pollInterval is the interval of reports without usage, by which a VM with callers learns
	// of limited organisations before their requests arrive.
	pollInterval = time.Second
	// activeTime is how long after its last request of an organisation a VM polls.
	activeTime = 10 * time.Second
	// grantValidity is the time for which a rate that an accountant granted holds.
	grantValidity = time.Second
	// contactValidity is the time for which an organisation that the accountant did not name
	// as limited counts as not limited. It covers a poll interval and a slow answer.
	contactValidity = 1500 * time.Millisecond
	// adoptionTime is the time after a change of accountants for which a new one only counts.
	// The members that VMs see differ for a second or two; two accountants that granted the
	// whole rate meanwhile would together grant twice the allowance.
	adoptionTime = 2 * time.Second
	// startAdoptionTime is the same for an accountant that has just started, from the last change
	// of accountants on. It is shorter because provisional grants cover a part of the rate. With
	// 1 s, a restart of all VMs in a rush reached 1.14 of the bound, with 1.3 s 0.89.
	startAdoptionTime = 1300 * time.Millisecond
	// holdTime is how long a VM without a valid answer continues at its last rate before it
	// falls back on an equal share: failure detection and adoption, 2 s each.
	holdTime = 4 * time.Second
	// demandTime is the time constant with which demand decays.
	demandTime = 2 * time.Second
	// rushTime is the time constant of the demand that shows a rush. It covers two report
	// intervals, so that the reports of one VM give a steady value.
	rushTime = 400 * time.Millisecond
	// feedbackTime is the time from an admission until all VMs act on it: a report interval
	// until it is reported, another until the last VM asks.
	feedbackTime = 400 * time.Millisecond
	// levelTime is the time in which a limited organisation uses up, or pays back, the
	// level of its bucket.
	levelTime = time.Second
	// limitedShare is the part of the burst below which an organisation is limited.
	limitedShare = 0.25
	// burstReserve is the part of the slack by which each bucket exceeds the burst, in
	// requests. Without it, the usual variation of a small organisation's requests empties
	// its bucket.
	burstReserve = 0.25 * slack
	// provisionalShare is the part of the rate that an accountant that has just started grants to
	// VMs that have just started, too. It rises to provisionalEnd within provisionalTime. While
	// the members become known, several accountants may share the VMs of an organisation; after
	// that time, all VMs see the same members.
	provisionalShare = 0.1
	provisionalEnd   = 0.5
	provisionalTime  = 4 * time.Second
	// startShare is the part of a second's requests that all VMs together may admit at once when
	// they start, beyond a quarter of the slack. None ran while the VMs were down.
	startShare = 0.1
	// minStartVMs is the minimum number of VMs that are assumed to share these requests: the
	// first VMs to start know few others.
	minStartVMs = 24
	// floorPerSecond is the minimum rate of all VMs without a valid answer together, so that a
	// small organisation is not shut out. It takes half of the slack in a window.
	floorPerSecond = 0.5 * slack / 5
)

// bucketSize returns the capacity of an organisation's bucket in requests.
func bucketSize(o *organisation.Organisation) float64 {
	return math.Max(o.Burst, 1) + burstReserve
}

// tolerated returns the number of requests by which the organisation may exceed its allowance in
// a window.
func tolerated(o *organisation.Organisation) float64 {
	return overage*(o.RequestsPerSecond*window.Seconds()+o.Burst) + slack
}

// startTokens returns the number of requests that all VMs together may admit at once when they
// start, in expectation.
func startTokens(o *organisation.Organisation) float64 {
	return startShare*o.RequestsPerSecond + slack/4
}

// decaying is a count that decays exponentially.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(count float64, constant time.Duration, now time.Time) {
	d.value = d.perSecond(constant, now)*constant.Seconds() + count
	d.at = now
}

// perSecond returns the rate that the count stands for.
func (d *decaying) perSecond(constant time.Duration, now time.Time) float64 {
	elapsed := max(now.Sub(d.at), 0)
	return d.value * math.Exp(-elapsed.Seconds()/constant.Seconds()) / constant.Seconds()
}
