package search

import (
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// transportMargin is subtracted from the remaining time that a subrequest
	// carries, for the round trip between failure domains.
	transportMargin = time.Millisecond
	// transportMarginDivisor limits the margin to this fraction (1/n) of the
	// remaining time.
	transportMarginDivisor = 10
	// retryPollInterval is how often a pending retry asks the budget for a token.
	retryPollInterval = 2 * time.Millisecond
	// retryWaitDivisor is the fraction (1/n) of the remaining time that a retry
	// waits for a token.
	retryWaitDivisor = 4
	// emptyBudgetDelayFactor is the number of additional hedge delays before a
	// hedge when the budget is empty.
	emptyBudgetDelayFactor = 1.5
	// maxHedgesPerLeg is the maximum number of concurrent hedges of one leg.
	maxHedgesPerLeg = 2
	// maxFailuresPerLeg is the number of targets of one service that may fail
	// while they execute the content before the leg is given up.
	maxFailuresPerLeg = 2
)

// routes returns the routes of a leg's service under the newest view.
func (m *Machine) routes(l *leg) *plan.Routes {
	front := m.shared.Planner.Front(m.env.View, m.in.Request.Front)
	if front == nil {
		return &plan.Routes{MissingReason: pb.MissingReason_MISSING_REASON_NO_REPLICA}
	}
	return front.Routes(l.service.Name)
}

// choose picks a target that the leg has not tried yet.
func (m *Machine) choose(l *leg, routes *plan.Routes, avoidDomain string) replica.Choice {
	q := m.query(l, routes)
	q.AvoidDomain = avoidDomain
	switch m.in.Policy.ChoiceAlgorithm {
	case ChooseRandom:
		return replica.ChooseAtRandom(routes.Candidates, q)
	case ChooseLoadReport:
		return replica.ChooseByLoadReport(routes.Candidates, q, func(target string) uint32 {
			return m.in.Policy.LoadReport(target, m.env.Now)
		})
	default:
		return l.group.Choose(routes.Candidates, q, m.env.Now)
	}
}

func (m *Machine) query(l *leg, routes *plan.Routes) replica.Query {
	q := replica.Query{
		OwnDomain: m.env.View.Self.FailureDomain,
		Snapshot:  m.pinned.Version,
		Salt:      replica.Mix(m.in.Digest ^ uint64(m.in.Received.UnixNano()) + uint64(len(m.attempts))),
	}
	if len(l.tried) > 0 {
		q.Skip = func(i int) bool { return slices.Contains(l.tried, routes.Candidates[i].Target) }
	}
	return q
}

// sendFirst sends the first attempt of a leg, or holds the leg while a trial of the
// content is in progress.
func (m *Machine) sendFirst(l *leg, kind SendKind) {
	routes := m.routes(l)
	if len(routes.Candidates) == 0 {
		m.giveUp(l, routes.MissingReason)
		return
	}
	if !m.maySend() {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_DEADLINE)
		return
	}
	if !m.admit(l) {
		return
	}
	choice := m.chooseFirstTarget(l, routes)
	if choice.Index == replica.None {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_NO_REPLICA)
		return
	}
	m.send(l, routes, choice, kind)
	m.probe(l, routes)
}

// probe sends a second attempt to an ejected replica whose probe is due.
func (m *Machine) probe(l *leg, routes *plan.Routes) {
	if m.in.Policy.ChoiceAlgorithm != ChooseInFlight || m.effectiveVerdict() != Clear {
		return
	}
	choice := l.group.ClaimProbe(routes.Candidates, m.query(l, routes), m.env.Now)
	if choice.Index == replica.None {
		return
	}
	if !m.budget.Spend(budget.Probe) {
		l.group.ReleaseProbe(routes.Candidates[choice.Index].Target)
		return
	}
	m.send(l, routes, choice, Probe)
}

// hedge sends a hedge for a leg when the budget allows it.
func (m *Machine) hedge(l *leg) {
	if !m.in.Policy.Hedging || m.effectiveVerdict() > Unproven || !m.maySend() {
		return
	}
	if l.inFlight == 0 || l.inFlight > maxHedgesPerLeg || !m.mayHedgeUnproven() {
		return
	}
	routes := m.routes(l)
	choice := m.choose(l, routes, m.inFlightDomain(l))
	if choice.Index == replica.None || choice.Ejected || m.lacksPinned(l, routes, choice) {
		return
	}
	if !m.budget.Spend(m.hedgePurpose()) {
		return
	}
	choice.Reason = "slow attempt; " + choice.Reason
	m.cancelUnproven(l)
	m.send(l, routes, choice, Hedge)
}

// hedgePurpose gives a hedge the priority of a retry once half of the time limit has
// passed, since coverage of the partitions is then at risk.
func (m *Machine) hedgePurpose() budget.Purpose {
	if m.in.Deadline.Sub(m.env.Now) < m.env.Now.Sub(m.in.Received) {
		return budget.Retry
	}
	return budget.Hedge
}

// retry sends a new attempt for the uncovered partitions of a leg that has no attempt
// in flight.
func (m *Machine) retry(l *leg) {
	l.retryAt = time.Time{}
	if l.closed || l.inFlight > 0 {
		return
	}
	if !m.maySend() {
		m.giveUp(l, l.reason)
		return
	}
	if l.failures >= maxFailuresPerLeg {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_FAILED)
		return
	}
	routes := m.routes(l)
	choice := m.choose(l, routes, l.lastDomain)
	if choice.Index == replica.None || m.lacksPinned(l, routes, choice) {
		m.onReplicasExhausted(l, routes)
		return
	}
	if !m.admit(l) {
		return
	}
	if l.unreached {
		m.send(l, routes, choice, Redirect)
		return
	}
	if !m.budget.Spend(budget.Retry) {
		m.awaitBudget(l, choice)
		return
	}
	m.send(l, routes, choice, Retry)
}

// onReplicasExhausted gives up a leg that has no replica left to try: each one was tried
// or is known to lack the snapshot. When the snapshot is gone, the search may restart on
// another one instead.
func (m *Machine) onReplicasExhausted(l *leg, routes *plan.Routes) {
	if l.reason == pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE {
		m.onSnapshotGone(l)
		return
	}
	if l.reason == pb.MissingReason_MISSING_REASON_UNSPECIFIED {
		l.reason = routes.MissingReason
	}
	m.giveUp(l, l.reason)
}

// awaitBudget schedules another request for a retry token. It gives the leg up when
// only ejected replicas are left or the wait has taken its share of the remaining
// time.
func (m *Machine) awaitBudget(l *leg, choice replica.Choice) {
	now := m.env.Now
	if l.reason == pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE {
		m.onSnapshotGone(l)
		return
	}
	if choice.Ejected {
		m.giveUp(l, l.reason)
		return
	}
	if l.giveUpAt.IsZero() {
		l.giveUpAt = now.Add(m.in.Deadline.Sub(now) / retryWaitDivisor)
	}
	if !now.Before(l.giveUpAt) {
		m.giveUp(l, l.reason)
		return
	}
	l.retryAt = now.Add(retryPollInterval)
	m.wakeBy(l.retryAt)
}

// lacksPinned reports whether the chosen target is known not to hold the pinned
// snapshot, so that an attempt at it would be wasted.
func (m *Machine) lacksPinned(l *leg, routes *plan.Routes, choice replica.Choice) bool {
	return l.group.Lacks(routes.Candidates[choice.Index].Target, m.pinned.Version, m.env.Now)
}

// inFlightDomain returns the failure domain of an in-flight attempt of the leg, or "".
func (m *Machine) inFlightDomain(l *leg) string {
	if l.inFlight == 0 {
		return ""
	}
	return m.attemptByID(l.inFlightIDs[0]).domain
}

// send marks the chosen target as tried and dispatches an attempt to it.
func (m *Machine) send(l *leg, routes *plan.Routes, choice replica.Choice, kind SendKind) {
	candidate := routes.Candidates[choice.Index]
	l.tried = append(l.tried, candidate.Target)
	m.dispatch(l, candidate, routes.Owners[choice.Index], kind, choice.Reason)
}

func (m *Machine) dispatch(l *leg, c replica.Candidate, owner view.VM, kind SendKind, reason string) {
	now := m.env.Now
	id := uint64(len(m.attempts) + 1)
	m.attempts = append(m.attempts, attempt{
		id: id, leg: l.index, kind: kind, target: c.Target, owner: owner.ID, domain: c.FailureDomain,
		partitions: l.uncovered, sentAt: now, verdict: m.effectiveVerdict(),
		overloaded: l.group.RecordSend(c, now),
	})
	m.shared.Replicas.Owners().RecordSend(owner.ID, now)
	l.aliased = true
	l.attemptStarted(id)
	m.inFlight++
	l.slowCheckAt = now.Add(l.group.HedgeDelay())
	m.wakeBy(l.slowCheckAt)
	m.countSend(kind)
	m.actions.Sends = append(m.actions.Sends, Send{Kind: kind, Owner: owner, Request: m.subRequest(l, c.Target, kind)})
	m.recordDecision(decisionKind(kind), l, m.attemptByID(id), reason)
}

// maySend reports whether time remains and this VM is not paused.
func (m *Machine) maySend() bool {
	return m.remaining() > 0 && !m.env.View.Paused
}

func (m *Machine) subRequest(l *leg, target string, kind SendKind) *pb.SubRequest {
	return &pb.SubRequest{
		RequestId:             m.in.Request.RequestId,
		Attempt:               uint64(len(m.attempts)),
		Front:                 m.front.Name,
		Service:               l.service.Name,
		Target:                target,
		Snapshot:              m.pinned.Version,
		Partitions:            l.uncovered,
		Conditions:            m.in.Request.Conditions,
		RowLimit:              m.in.Request.RowLimit,
		RemainingUs:           m.remaining().Microseconds(),
		ContentDigest:         m.in.Digest,
		ConfigurationRevision: m.env.View.Revision(),
		Extra:                 kind.Extra(),
		Coordinator:           m.env.View.Self.ID,
	}
}

// remaining returns the time that a subrequest may take: the time until the deadline
// less the transport margin.
func (m *Machine) remaining() time.Duration {
	left := m.in.Deadline.Sub(m.env.Now)
	return left - min(transportMargin, left/transportMarginDivisor)
}

func (m *Machine) countSend(kind SendKind) {
	m.subrequests++
	if kind.Extra() {
		m.extra++
	}
	counts := &m.actions.Counts
	switch kind {
	case Hedge:
		counts.Hedges++
	case Retry:
		counts.Retries++
	case Probe:
		counts.Probes++
	case Redirect:
		counts.Redirects++
	default:
		counts.Firsts++
	}
}
