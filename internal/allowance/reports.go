package allowance

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxReported bounds the organisations in one report; the others are in the next.
const maxReported = 1024

// contact is what a VM knows of an accountant.
type contact struct {
	// answeredAt is when the accountant last answered; zero if it never did.
	answeredAt time.Time
	sentAt     time.Time
	inFlight   bool
	// pending is a report of which it is not known whether it was counted. It is sent again
	// with the same sequence number. Its counts begin at pendingFrom.
	pending     *pb.ReportUsageRequest
	pendingFrom time.Time
}

// Report is a report to send to an accountant.
type Report struct {
	Accountant string
	Request    *pb.ReportUsageRequest
}

// Reports returns the reports that are due. Each must be followed by a call of Answered.
func (l *Limiter) Reports(lookup Lookup, routeVersion uint64, now time.Time) []Report {
	l.expire(now)
	l.dropContacts(now)
	due := map[string]*pb.ReportUsageRequest{}
	urgent := map[string]bool{}
	from := map[string]time.Time{}
	for name, u := range l.usages {
		// A VM with recent requests of a limited organisation asks for its rate.
		asks := u.limited && now.Sub(u.lastRequest) < activeTime
		if u.admitted == 0 && u.refused == 0 && !asks {
			continue
		}
		o := lookup(name)
		if o == nil || o.RequestsPerSecond <= 0 {
			u.admitted, u.refused = 0, 0
			continue
		}
		l.assign(u, name)
		u.dropOutdated(now)
		if u.accountant == "" {
			continue
		}
		urgent[u.accountant] = urgent[u.accountant] || u.urgent(o)
		report := due[u.accountant]
		if report == nil {
			report = &pb.ReportUsageRequest{Vm: l.self, Incarnation: l.incarnation, RouteVersion: routeVersion}
			due[u.accountant], from[u.accountant] = report, now
		}
		if len(report.Usage) < maxReported {
			report.Usage = append(report.Usage, &pb.OrganisationUsage{Organisation: name, Admitted: u.admitted, Refused: u.refused})
		}
		if (u.admitted != 0 || u.refused != 0) && u.reportFrom.Before(from[u.accountant]) {
			from[u.accountant] = u.reportFrom
		}
	}
	l.addPolls(due, from, routeVersion, now)
	return l.send(due, urgent, from, now)
}

// addPolls adds reports without usage to accountants that this VM has not heard of for a while, or
// that did not answer the last report.
func (l *Limiter) addPolls(due map[string]*pb.ReportUsageRequest, from map[string]time.Time, routeVersion uint64, now time.Time) {
	if l.lastRequest.IsZero() || now.Sub(l.lastRequest) > activeTime {
		return
	}
	for _, vm := range l.tenures.current() {
		if c := l.contacts[vm]; due[vm] == nil && (c == nil || c.pending != nil || now.Sub(c.sentAt) >= pollInterval) {
			due[vm] = &pb.ReportUsageRequest{Vm: l.self, Incarnation: l.incarnation, RouteVersion: routeVersion}
			from[vm] = now
		}
	}
}

// send returns the due reports whose accountants may be sent one now, and takes their counts.
func (l *Limiter) send(due map[string]*pb.ReportUsageRequest, urgent map[string]bool, from map[string]time.Time, now time.Time) []Report {
	var reports []Report
	for vm, report := range due {
		c := l.contacts[vm]
		if c == nil {
			c = &contact{}
			l.contacts[vm] = c
		}
		interval := reportInterval
		if urgent[vm] {
			interval = urgentInterval
		}
		if c.inFlight || now.Sub(c.sentAt) < interval {
			continue
		}
		c.inFlight, c.sentAt = true, now
		if c.pending == nil {
			l.sequence++
			report.Sequence = l.sequence
			l.takeCounts(report)
			c.pending, c.pendingFrom = report, from[vm]
		}
		reports = append(reports, Report{Accountant: vm, Request: c.pending})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Accountant, b.Accountant) })
	return reports
}

func (l *Limiter) takeCounts(report *pb.ReportUsageRequest) {
	slices.SortFunc(report.Usage, func(a, b *pb.OrganisationUsage) int { return cmp.Compare(a.Organisation, b.Organisation) })
	for _, reported := range report.Usage {
		u := l.usages[reported.Organisation]
		u.admitted, u.refused, u.prompt = 0, 0, false
	}
}

// Answered takes an accountant's answer to the report with the sequence number, or nil if none
// came. An answer to an earlier report is ignored.
func (l *Limiter) Answered(accountant string, sequence uint64, answer *pb.ReportUsageResponse, now time.Time) {
	c := l.contacts[accountant]
	if c == nil || c.pending == nil || c.pending.Sequence != sequence {
		return
	}
	c.inFlight = false
	if answer == nil {
		return
	}
	report := c.pending
	c.pending = nil
	if !answer.Accepted {
		l.restore(report, nil, c.pendingFrom)
		return
	}
	c.answeredAt = now
	counted := make(map[string]bool, len(answer.Grants))
	for _, grant := range answer.Grants {
		counted[grant.Organisation] = true
		l.take(accountant, grant, now)
	}
	l.restore(report, counted, c.pendingFrom)
	for name, u := range l.usages {
		// Each answer names the limited organisations.
		if u.accountant == accountant && u.limited && !counted[name] {
			u.limited, u.answeredAt = false, now
		}
	}
}

// take puts a grant in force.
func (l *Limiter) take(accountant string, grant *pb.OrganisationGrant, now time.Time) {
	u := l.usages[grant.Organisation]
	if u == nil {
		if !grant.Limited {
			return
		}
		u = &usage{basis: Unlimited, tokensAt: now, recent: decaying{at: now}, lastRequest: now.Add(-activeTime)}
		l.usages[grant.Organisation] = u
	}
	l.assign(u, grant.Organisation)
	if u.accountant != accountant {
		return
	}
	u.adoptingUntil = time.Time{}
	if grant.ValidMs == 0 {
		u.adoptingUntil, u.provisional = now.Add(adoptionTime), grant.RequestsPerS
		return
	}
	l.answered = true
	if u.basis == Granted {
		u.refill(u.rate, max(u.rate*bucketTime.Seconds(), 1), now)
	}
	u.limited, u.rate, u.answeredAt = grant.Limited, grant.RequestsPerS, now
	u.freeUsed = float64(max(u.admitted, 0))
}

// restore adds the counts of a report that were not counted to the next one.
func (l *Limiter) restore(report *pb.ReportUsageRequest, counted map[string]bool, from time.Time) {
	for _, reported := range report.Usage {
		u := l.usages[reported.Organisation]
		if u == nil || counted[reported.Organisation] {
			continue
		}
		if u.admitted == 0 && u.refused == 0 || from.Before(u.reportFrom) {
			u.reportFrom = from
		}
		u.admitted += reported.Admitted
		u.refused += reported.Refused
	}
}

// dropOutdated drops counts that have left the window. Charging them late would only refuse
// requests that are within the allowance.
func (u *usage) dropOutdated(now time.Time) {
	if now.Sub(u.reportFrom) > window {
		u.admitted, u.refused, u.reportFrom = 0, 0, now
	}
}

// dropContacts forgets VMs that are no accountants any more, and pending reports that have left
// the window.
func (l *Limiter) dropContacts(now time.Time) {
	for vm, c := range l.contacts {
		gone := !l.tenures.has(vm)
		if c.pending != nil && !c.inFlight && (gone || now.Sub(c.pendingFrom) > window) {
			if now.Sub(c.pendingFrom) <= window {
				l.restore(c.pending, nil, c.pendingFrom)
			}
			c.pending = nil
		}
		if gone && c.pending == nil {
			delete(l.contacts, vm)
		}
	}
}
