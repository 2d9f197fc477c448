package search

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// takeReply ends an attempt by its reply or error.
func (m *Machine) takeReply(id uint64, reply *pb.SubReply, err error) {
	a := m.attemptOf(id)
	if a == nil || a.closed {
		if reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
			m.discard(a, "the attempt had ended before")
		}
		return
	}
	l := &m.legs[a.leg]
	m.endAttempt(a, l)
	m.takeEnd(a, l, reply, err)
	m.releaseHeld()
}

func (m *Machine) takeEnd(a *attempt, l *leg, reply *pb.SubReply, err error) {
	if err != nil {
		m.takeError(a, l, err)
		return
	}
	if defect := m.defect(a, l, reply); defect != "" {
		m.mayHaveRun = true
		m.discard(a, defect)
		m.observe(a, l, nil, replica.Failed)
		m.failed(a, l, pb.MissingReason_MISSING_REASON_FAILED)
		return
	}
	m.knowledge.Replicas.Owners().RecordReply(a.owner)
	m.takeStatus(a, l, reply)
}

// ErrNotSent is the cause of an attempt's error when no byte of the attempt left
// this VM.
var ErrNotSent = errors.New("the owner cannot be reached; nothing was sent")

// takeError ends an attempt that brought no reply.
func (m *Machine) takeError(a *attempt, l *leg, err error) {
	if errors.Is(err, ErrNotSent) {
		m.knowledge.Replicas.Owners().RecordUnreachable(a.owner, m.ctx.Now)
		m.observe(a, l, nil, replica.Failed)
		m.unreached(a, l)
		return
	}
	m.mayHaveRun = true
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		m.observe(a, l, nil, replica.Cancelled)
		m.failed(a, l, pb.MissingReason_MISSING_REASON_DEADLINE)
		return
	}
	m.knowledge.Replicas.Owners().RecordUnreachable(a.owner, m.ctx.Now)
	m.observe(a, l, nil, replica.Failed)
	m.failed(a, l, pb.MissingReason_MISSING_REASON_UNREACHABLE)
}

// takeStatus ends an attempt by a reply that belongs to it.
func (m *Machine) takeStatus(a *attempt, l *leg, reply *pb.SubReply) {
	switch reply.Status {
	case pb.SubStatus_SUB_STATUS_OK:
		m.accept(a, l, reply)
	case pb.SubStatus_SUB_STATUS_NOT_OWNER:
		m.observe(a, l, reply, replica.Neutral)
		m.redirect(a, l, reply)
	case pb.SubStatus_SUB_STATUS_NOT_DESIGNATED:
		m.observe(a, l, reply, replica.Neutral)
		m.sendToDesignated(a, l, reply.DesignatedTarget)
	case pb.SubStatus_SUB_STATUS_SHED:
		m.observe(a, l, reply, replica.Refused)
		m.failed(a, l, pb.MissingReason_MISSING_REASON_REFUSED)
	case pb.SubStatus_SUB_STATUS_UNAVAILABLE:
		m.observe(a, l, reply, m.unavailable())
		m.failed(a, l, pb.MissingReason_MISSING_REASON_REFUSED)
	case pb.SubStatus_SUB_STATUS_SNAPSHOT_GONE:
		m.observe(a, l, reply, replica.SnapshotGone)
		m.failed(a, l, pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE)
	case pb.SubStatus_SUB_STATUS_QUARANTINED:
		m.observe(a, l, reply, replica.Neutral)
		m.giveUp(l, pb.MissingReason_MISSING_REASON_QUARANTINED)
		m.stopContent()
	case pb.SubStatus_SUB_STATUS_DEADLINE:
		m.mayHaveRun = true
		m.observe(a, l, reply, replica.Cancelled)
		m.failed(a, l, pb.MissingReason_MISSING_REASON_DEADLINE)
	default:
		m.mayHaveRun = true
		m.observe(a, l, reply, replica.Failed)
		m.crashed(a, l)
		m.failed(a, l, pb.MissingReason_MISSING_REASON_FAILED)
	}
}

// unavailable returns what a refusal says of the target: nothing while the content
// is suspect, since owners refuse suspect content on healthy targets.
func (m *Machine) unavailable() replica.Result {
	if m.caution() >= Suspect {
		return replica.Neutral
	}
	return replica.Failed
}

// accept takes the partitions of a reply that are not covered yet.
func (m *Machine) accept(a *attempt, l *leg, reply *pb.SubReply) {
	m.mayHaveRun = true
	m.trial.proven = true
	m.observe(a, l, reply, replica.Succeeded)
	if l.closed {
		return
	}
	covered := m.cover(l, reply.Results)
	if covered > 0 {
		m.budget.RecordSuccess()
	}
	m.decide(pb.DecisionKind_DECISION_KIND_ACCEPT, l, a, "")
	if len(l.uncovered) == 0 {
		m.close(l)
		return
	}
	m.failed(a, l, pb.MissingReason_MISSING_REASON_FAILED)
}

// cover takes the results of uncovered partitions and returns their number.
func (m *Machine) cover(l *leg, results []*pb.PartitionResult) int {
	covered := 0
	for _, result := range results {
		if l.cover(result.Partition) {
			m.results = append(m.results, result)
			covered++
		}
	}
	return covered
}

// failed goes on with a leg after an attempt that left partitions uncovered.
func (m *Machine) failed(a *attempt, l *leg, reason pb.MissingReason) {
	if l.closed {
		return
	}
	l.reason = reason
	l.lastDomain = a.domain
	l.unreached = false
	m.retry(l)
}

// unreached goes on with a leg after an attempt that certainly reached no
// target. Asking another replica then brings no extra load on targets, so that
// the budget is spared; since a leg asks each replica once, this is bounded.
func (m *Machine) unreached(a *attempt, l *leg) {
	if l.closed {
		return
	}
	l.reason = pb.MissingReason_MISSING_REASON_UNREACHABLE
	l.lastDomain = a.domain
	l.unreached = true
	m.retry(l)
}

// redirect sends an attempt that reached the wrong VM to the owner that it
// named. Nothing ran, so this is no extra load on the target; one redirect has
// to be enough.
func (m *Machine) redirect(a *attempt, l *leg, reply *pb.SubReply) {
	owner, ok := m.ctx.View.VM(reply.OwnerHint)
	usable := ok && owner.ID != a.owner && owner.CanOwn() && owner.FailureDomain == a.domain
	if !usable {
		owner, ok = m.ctx.View.Owner(a.target)
		usable = ok && owner.ID != a.owner
	}
	usable = usable && a.kind != Redirect && !l.closed && m.ctx.View.InService(a.target)
	if !usable || !m.maySend() || !m.mayRun(l) {
		m.unreached(a, l)
		return
	}
	target := replica.Candidate{Target: a.target, FailureDomain: a.domain, Owner: owner.ID}
	m.dispatch(l, target, owner, Redirect, "the VM asked before is not the owner")
}

// sendToDesignated sends a suspect content to the one target that may run it.
// Nothing ran before, so this is no extra load.
func (m *Machine) sendToDesignated(a *attempt, l *leg, target string) {
	m.trial.suspected = true
	routes := m.routes(l)
	at := slices.IndexFunc(routes.Candidates, func(c replica.Candidate) bool { return c.Target == target })
	if at < 0 || l.closed || a.kind == Redirect || slices.Contains(l.tried, target) || !m.maySend() || !m.mayRun(l) {
		m.failed(a, l, pb.MissingReason_MISSING_REASON_QUARANTINED)
		return
	}
	m.send(l, routes, replica.Choice{Index: at, Reason: "the one target that may run the suspect content"}, Redirect)
}

// defect returns why a reply does not belong to the attempt or is not whole, or
// nothing.
func (m *Machine) defect(a *attempt, l *leg, reply *pb.SubReply) string {
	switch {
	case reply == nil:
		return "the reply is empty"
	case reply.RequestId != m.in.Request.RequestId:
		return "the reply names another request"
	case reply.Attempt != a.id:
		return "the reply names another attempt"
	case reply.Target != a.target:
		return "the reply names another target"
	case reply.Status != pb.SubStatus_SUB_STATUS_OK:
		return ""
	case reply.Snapshot != m.pinned.Version:
		return "the reply names another snapshot"
	}
	for i, result := range reply.Results {
		if defect := m.resultDefect(a, l, result, reply.Results[:i]); defect != "" {
			return defect
		}
	}
	return ""
}

func (m *Machine) resultDefect(a *attempt, l *leg, result *pb.PartitionResult, before []*pb.PartitionResult) string {
	if result == nil || !slices.Contains(a.asked, result.Partition) {
		return "the reply holds a partition that was not asked for"
	}
	if int(result.RowCount) != len(result.Rows) {
		return "the reply is truncated"
	}
	if result.Matched != 0 && result.Matched < uint64(len(result.Rows)) {
		return "the reply holds more rows than matched"
	}
	for _, other := range before {
		if other.Partition == result.Partition {
			return "the reply holds a partition twice"
		}
	}
	for _, row := range result.Rows {
		if row.GetSnapshot() != m.pinned.Version {
			return "a row names another snapshot"
		}
		if row.Service != l.service.Name || row.Partition != result.Partition {
			return "a row names another partition"
		}
	}
	return ""
}

// endAttempt notes that an attempt no longer runs.
func (m *Machine) endAttempt(a *attempt, l *leg) {
	a.closed = true
	m.running--
	l.ended(a.id)
}

// observe tells the replica's group how an attempt ended.
func (m *Machine) observe(a *attempt, l *leg, reply *pb.SubReply, result replica.Result) {
	l.group.RecordResult(replica.Observation{
		Target:         a.target,
		Result:         result,
		Elapsed:        m.ctx.Now.Sub(a.sentAt),
		InFlight:       reply.GetInFlight(),
		Snapshot:       m.pinned.Version,
		HeldSnapshots:  reply.GetHeldSnapshots(),
		IgnoreSlowness: a.slow || a.overloaded,
	}, m.ctx.Now)
}

// cancelLosers cancels the running attempts of a closed leg, except probes.
func (m *Machine) cancelLosers(l *leg) {
	for i := l.running - 1; i >= 0; i-- {
		id := l.runningIDs[i]
		if m.attemptOf(id).kind != Probe {
			m.cancel(id, "another attempt answered")
		}
	}
}

func (m *Machine) cancelAll() {
	for i := range m.legs {
		l := &m.legs[i]
		l.cut = l.running > 0
		for l.running > 0 {
			m.cancel(l.runningIDs[l.running-1], "the search no longer needs it")
		}
	}
}

func (m *Machine) cancel(id uint64, reason string) {
	a := m.attemptOf(id)
	l := &m.legs[a.leg]
	m.mayHaveRun = true
	m.endAttempt(a, l)
	m.observe(a, l, nil, replica.Cancelled)
	m.actions.Cancel = append(m.actions.Cancel, id)
	m.decide(pb.DecisionKind_DECISION_KIND_CANCEL, l, a, reason)
}
