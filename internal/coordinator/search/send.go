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
	// transportMargin is kept back from the remaining time that a subrequest
	// carries, for the way there and back between failure domains.
	transportMargin = time.Millisecond
	// marginShare bounds the margin of short deadlines to a share of them.
	marginShare = 10
	// retryPoll is how often a retry asks again for budget.
	retryPoll = 2 * time.Millisecond
	// retryWaitShare is the part of the remaining time that a retry waits for
	// budget.
	retryWaitShare = 4
	// scarcityFactor is how many hedge delays more an attempt is waited for when
	// the budget is empty.
	scarcityFactor = 1.5
	// hedgesPerLeg bounds the hedges of one service in one search.
	hedgesPerLeg = 2
	// failuresPerLeg is the number of targets of one service that may fail while
	// they run a content.
	failuresPerLeg = 2
)

// routes returns the targets that the newest view allows for a leg.
func (m *Machine) routes(l *leg) *plan.Routes {
	front := m.knowledge.Planner.Front(m.ctx.View, m.in.Request.Front)
	if front == nil {
		return &plan.Routes{MissingReason: pb.MissingReason_MISSING_REASON_NO_REPLICA}
	}
	return front.Routes(l.service.Name)
}

// choose picks a target that the leg has not asked yet.
func (m *Machine) choose(l *leg, routes *plan.Routes, avoidDomain string) replica.Choice {
	q := m.query(l, routes)
	q.AvoidDomain = avoidDomain
	switch m.in.Policy.Choice {
	case ChooseRandom:
		return replica.ChooseAtRandom(routes.Candidates, q)
	case ChooseLoadReport:
		return replica.ChooseByReport(routes.Candidates, q, func(target string) uint32 {
			return m.in.Policy.LoadReport(target, m.ctx.Now)
		})
	default:
		return l.group.Choose(routes.Candidates, q, m.ctx.Now)
	}
}

func (m *Machine) query(l *leg, routes *plan.Routes) replica.Query {
	q := replica.Query{
		OwnDomain: m.ctx.View.Self.FailureDomain,
		Snapshot:  m.pinned.Version,
		Salt:      replica.Mix(m.in.Digest ^ uint64(m.in.Received.UnixNano()) + uint64(len(m.attempts))),
	}
	if len(l.tried) > 0 {
		q.Skip = func(i int) bool { return slices.Contains(l.tried, routes.Candidates[i].Target) }
	}
	return q
}

// sendFirst sends the first attempt of a leg, or holds it back while the content
// is on trial.
func (m *Machine) sendFirst(l *leg, kind Kind) {
	routes := m.routes(l)
	if len(routes.Candidates) == 0 {
		m.giveUp(l, routes.MissingReason)
		return
	}
	if !m.maySend() {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_DEADLINE)
		return
	}
	if !m.mayRun(l) {
		return
	}
	choice := m.chooseFirst(l, routes)
	if choice.Index == replica.None {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_NO_REPLICA)
		return
	}
	m.send(l, routes, choice, kind)
	m.probe(l, routes)
}

// probe sends a second attempt to a replica that is set aside, when one is due.
func (m *Machine) probe(l *leg, routes *plan.Routes) {
	if m.in.Policy.Choice != ChooseInFlight || m.caution() != Clear {
		return
	}
	choice := l.group.ClaimProbe(routes.Candidates, m.query(l, routes), m.ctx.Now)
	if choice.Index == replica.None {
		return
	}
	if !m.budget.Spend(budget.Probe) {
		l.group.ReleaseProbe(routes.Candidates[choice.Index].Target)
		return
	}
	m.send(l, routes, choice, Probe)
}

// hedge sends another attempt beside the running ones when the budget allows.
func (m *Machine) hedge(l *leg) {
	if !m.in.Policy.Hedging || m.caution() > Unproven || !m.maySend() {
		return
	}
	if l.running == 0 || l.running > hedgesPerLeg || !m.mayReplace() {
		return
	}
	routes := m.routes(l)
	choice := m.choose(l, routes, m.runningDomain(l))
	if choice.Index == replica.None || choice.Ejected || m.knownToLack(l, routes, choice) {
		return
	}
	if !m.budget.Spend(m.hedgePurpose()) {
		return
	}
	choice.Reason = "slow attempt; " + choice.Reason
	m.replaceUnproven(l)
	m.send(l, routes, choice, Hedge)
}

// hedgeUse values a hedge as highly as a retry when half of the time has passed,
// since by then the partitions themselves are at stake.
func (m *Machine) hedgePurpose() budget.Purpose {
	if m.in.Deadline.Sub(m.ctx.Now) < m.ctx.Now.Sub(m.in.Received) {
		return budget.Retry
	}
	return budget.Hedge
}

// retry replaces attempts that failed, once none of the leg is running.
func (m *Machine) retry(l *leg) {
	l.retryAt = time.Time{}
	if l.closed || l.running > 0 {
		return
	}
	if !m.maySend() {
		m.giveUp(l, l.reason)
		return
	}
	if l.failures >= failuresPerLeg {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_FAILED)
		return
	}
	routes := m.routes(l)
	choice := m.choose(l, routes, l.lastDomain)
	if choice.Index == replica.None || m.knownToLack(l, routes, choice) {
		m.exhausted(l, routes)
		return
	}
	if !m.mayRun(l) {
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

// exhausted ends a leg whose replicas were all asked. When the snapshot is gone
// another one may be pinned instead.
func (m *Machine) exhausted(l *leg, routes *plan.Routes) {
	if l.reason == pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE {
		m.snapshotGone(l)
		return
	}
	if l.reason == pb.MissingReason_MISSING_REASON_UNSPECIFIED {
		l.reason = routes.MissingReason
	}
	m.giveUp(l, l.reason)
}

// awaitBudget asks again for budget for a part of the remaining time, when a
// replica that is in order is left to ask.
func (m *Machine) awaitBudget(l *leg, choice replica.Choice) {
	now := m.ctx.Now
	if l.reason == pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE {
		m.snapshotGone(l)
		return
	}
	if choice.Ejected {
		m.giveUp(l, l.reason)
		return
	}
	if l.giveUpAt.IsZero() {
		l.giveUpAt = now.Add(m.in.Deadline.Sub(now) / retryWaitShare)
	}
	if !now.Before(l.giveUpAt) {
		m.giveUp(l, l.reason)
		return
	}
	l.retryAt = now.Add(retryPoll)
	m.wakeBy(l.retryAt)
}

// knownToLack reports whether the chosen target is known not to hold the
// snapshot, so that another attempt would be wasted.
func (m *Machine) knownToLack(l *leg, routes *plan.Routes, choice replica.Choice) bool {
	return l.group.Lacks(routes.Candidates[choice.Index].Target, m.pinned.Version, m.ctx.Now)
}

// runningDomain returns the failure domain of a running attempt of the leg.
func (m *Machine) runningDomain(l *leg) string {
	if l.running == 0 {
		return ""
	}
	return m.attemptOf(l.runningIDs[0]).domain
}

// send records an attempt and asks the runtime to dispatch it.
func (m *Machine) send(l *leg, routes *plan.Routes, choice replica.Choice, kind Kind) {
	candidate := routes.Candidates[choice.Index]
	l.tried = append(l.tried, candidate.Target)
	m.dispatch(l, candidate, routes.Owners[choice.Index], kind, choice.Reason)
}

func (m *Machine) dispatch(l *leg, c replica.Candidate, owner view.VM, kind Kind, reason string) {
	now := m.ctx.Now
	id := uint64(len(m.attempts) + 1)
	m.attempts = append(m.attempts, attempt{
		id: id, leg: l.index, kind: kind, target: c.Target, owner: owner.ID, domain: c.FailureDomain,
		asked: l.uncovered, sentAt: now, caution: m.caution(),
		overloaded: l.group.RecordSend(c, now),
	})
	m.knowledge.Replicas.Owners().RecordSend(owner.ID, now)
	l.shared = true
	l.started(id)
	m.running++
	l.hedgeAt = now.Add(l.group.HedgeDelay())
	m.wakeBy(l.hedgeAt)
	m.count(kind)
	m.actions.Sends = append(m.actions.Sends, Send{Kind: kind, Owner: owner, Request: m.subRequest(l, c.Target, kind)})
	m.decide(decisionOf(kind), l, m.attemptOf(id), reason)
}

// maySend reports whether the deadline and this VM's state allow a send.
func (m *Machine) maySend() bool {
	return m.remaining() > 0 && !m.ctx.View.Paused
}

func (m *Machine) subRequest(l *leg, target string, kind Kind) *pb.SubRequest {
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
		ConfigurationRevision: m.ctx.View.Revision(),
		Extra:                 kind.Extra(),
		Coordinator:           m.ctx.View.Self.ID,
	}
}

// remaining returns the time that a subrequest may take.
func (m *Machine) remaining() time.Duration {
	left := m.in.Deadline.Sub(m.ctx.Now)
	return left - min(transportMargin, left/marginShare)
}

func (m *Machine) count(kind Kind) {
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
