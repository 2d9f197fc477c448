package search

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// handleReply closes an attempt with its reply or error.
func (m *Machine) handleReply(id uint64, reply *pb.SubReply, err error) {
	a := m.attemptByID(id)
	if a == nil || a.closed {
		if reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
			m.recordDiscard(a, "the attempt had ended before")
		}
		return
	}
	l := &m.legs[a.leg]
	m.closeAttempt(a, l)
	m.handleResult(a, l, reply, err)
	m.resumeHeldLegs()
}

func (m *Machine) handleResult(a *attempt, l *leg, reply *pb.SubReply, err error) {
	if err != nil {
		m.handleError(a, l, err)
		return
	}
	if defect := m.replyDefect(a, l, reply); defect != "" {
		m.mayHaveRun = true
		m.recordDiscard(a, defect)
		m.recordResult(a, l, nil, replica.Failed)
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_FAILED)
		return
	}
	m.shared.Replicas.Owners().RecordReply(a.owner)
	m.handleStatus(a, l, reply)
}

// ErrNotSent is the cause of a dispatch error when no byte of the subrequest left
// this VM.
var ErrNotSent = errors.New("the owner cannot be reached; nothing was sent")

// handleError handles an attempt that ended without a reply.
func (m *Machine) handleError(a *attempt, l *leg, err error) {
	if errors.Is(err, ErrNotSent) {
		m.shared.Replicas.Owners().RecordUnreachable(a.owner, m.env.Now)
		m.recordResult(a, l, nil, replica.Failed)
		m.onTargetUnreached(a, l)
		return
	}
	m.mayHaveRun = true
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		m.recordResult(a, l, nil, replica.Cancelled)
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_DEADLINE)
		return
	}
	m.shared.Replicas.Owners().RecordUnreachable(a.owner, m.env.Now)
	m.recordResult(a, l, nil, replica.Failed)
	m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_UNREACHABLE)
}

// handleStatus handles a valid reply by its status.
func (m *Machine) handleStatus(a *attempt, l *leg, reply *pb.SubReply) {
	switch reply.Status {
	case pb.SubStatus_SUB_STATUS_OK:
		m.accept(a, l, reply)
	case pb.SubStatus_SUB_STATUS_NOT_OWNER:
		m.recordResult(a, l, reply, replica.Neutral)
		m.redirect(a, l, reply)
	case pb.SubStatus_SUB_STATUS_NOT_DESIGNATED:
		m.recordResult(a, l, reply, replica.Neutral)
		m.sendToDesignated(a, l, reply.DesignatedTarget)
	case pb.SubStatus_SUB_STATUS_SHED:
		m.recordResult(a, l, reply, replica.Refused)
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_REFUSED)
	case pb.SubStatus_SUB_STATUS_UNAVAILABLE:
		m.recordResult(a, l, reply, m.unavailableResult())
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_REFUSED)
	case pb.SubStatus_SUB_STATUS_SNAPSHOT_GONE:
		m.recordResult(a, l, reply, replica.SnapshotGone)
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE)
	case pb.SubStatus_SUB_STATUS_QUARANTINED:
		m.recordResult(a, l, reply, replica.Neutral)
		m.giveUp(l, pb.MissingReason_MISSING_REASON_QUARANTINED)
		m.blockContent()
	case pb.SubStatus_SUB_STATUS_DEADLINE:
		m.mayHaveRun = true
		m.recordResult(a, l, reply, replica.Cancelled)
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_DEADLINE)
	default:
		m.mayHaveRun = true
		m.recordResult(a, l, reply, replica.Failed)
		m.recordCrash(a, l)
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_FAILED)
	}
}

// unavailableResult returns what an UNAVAILABLE reply implies for the target: nothing
// while the content is suspect, since owners refuse suspect content for healthy
// targets too.
func (m *Machine) unavailableResult() replica.Result {
	if m.effectiveVerdict() >= Suspect {
		return replica.Neutral
	}
	return replica.Failed
}

// accept merges the results of a successful reply for partitions not yet covered, and
// retries what the reply left out.
func (m *Machine) accept(a *attempt, l *leg, reply *pb.SubReply) {
	m.mayHaveRun = true
	m.trial.proven = true
	m.recordResult(a, l, reply, replica.Succeeded)
	if l.closed {
		return
	}
	covered := m.cover(l, reply.Results)
	if covered > 0 {
		m.budget.RecordSuccess()
	}
	m.recordDecision(pb.DecisionKind_DECISION_KIND_ACCEPT, l, a, "")
	if len(l.uncovered) == 0 {
		m.close(l)
		return
	}
	m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_FAILED)
}

// cover keeps the results of partitions not yet covered and returns their number.
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

// onAttemptFailed retries a leg after an attempt that left partitions uncovered.
func (m *Machine) onAttemptFailed(a *attempt, l *leg, reason pb.MissingReason) {
	if l.closed {
		return
	}
	l.reason = reason
	l.lastDomain = a.domain
	l.unreached = false
	m.retry(l)
}

// onTargetUnreached retries a leg after an attempt that is known to have reached no
// target. The next attempt is no extra load on targets, so it takes no token of the
// budget. This is bounded, since a leg tries each replica once.
func (m *Machine) onTargetUnreached(a *attempt, l *leg) {
	if l.closed {
		return
	}
	l.reason = pb.MissingReason_MISSING_REASON_UNREACHABLE
	l.lastDomain = a.domain
	l.unreached = true
	m.retry(l)
}

// redirect handles a reply from a VM that is not the owner of the target. It resends the
// attempt to the owner that the reply names, or else to the owner in the current view.
// Nothing was executed, so this is no extra load on the target. An attempt is redirected
// once only.
func (m *Machine) redirect(a *attempt, l *leg, reply *pb.SubReply) {
	owner, ok := m.env.View.VM(reply.OwnerHint)
	valid := ok && owner.ID != a.owner && owner.CanOwn() && owner.FailureDomain == a.domain
	if !valid {
		owner, ok = m.env.View.Owner(a.target)
		valid = ok && owner.ID != a.owner
	}
	valid = valid && a.kind != Redirect && !l.closed && m.env.View.InService(a.target)
	if !valid || !m.maySend() || !m.admit(l) {
		m.onTargetUnreached(a, l)
		return
	}
	target := replica.Candidate{Target: a.target, FailureDomain: a.domain, Owner: owner.ID}
	m.dispatch(l, target, owner, Redirect, "the VM asked before is not the owner")
}

// sendToDesignated resends suspect content to the one target that may execute it.
// Nothing was executed before, so this is no extra load.
func (m *Machine) sendToDesignated(a *attempt, l *leg, target string) {
	m.trial.suspected = true
	routes := m.routes(l)
	at := slices.IndexFunc(routes.Candidates, func(c replica.Candidate) bool { return c.Target == target })
	if at < 0 || l.closed || a.kind == Redirect || slices.Contains(l.tried, target) || !m.maySend() || !m.admit(l) {
		m.onAttemptFailed(a, l, pb.MissingReason_MISSING_REASON_QUARANTINED)
		return
	}
	m.send(l, routes, replica.Choice{Index: at, Reason: "the one target that may run the suspect content"}, Redirect)
}

// replyDefect returns why a reply is invalid: it does not belong to the attempt or is
// incomplete. It returns "" for a valid reply.
func (m *Machine) replyDefect(a *attempt, l *leg, reply *pb.SubReply) string {
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

func (m *Machine) resultDefect(a *attempt, l *leg, result *pb.PartitionResult, previous []*pb.PartitionResult) string {
	if result == nil || !slices.Contains(a.partitions, result.Partition) {
		return "the reply holds a partition that was not asked for"
	}
	if int(result.RowCount) != len(result.Rows) {
		return "the reply is truncated"
	}
	if result.Matched != 0 && result.Matched < uint64(len(result.Rows)) {
		return "the reply holds more rows than matched"
	}
	for _, other := range previous {
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

// closeAttempt marks an attempt as no longer in flight.
func (m *Machine) closeAttempt(a *attempt, l *leg) {
	a.closed = true
	m.inFlight--
	l.attemptEnded(a.id)
}

// recordResult reports the end of an attempt to the replica group.
func (m *Machine) recordResult(a *attempt, l *leg, reply *pb.SubReply, result replica.Result) {
	l.group.RecordResult(replica.Observation{
		Target:         a.target,
		Result:         result,
		Elapsed:        m.env.Now.Sub(a.sentAt),
		InFlight:       reply.GetInFlight(),
		Snapshot:       m.pinned.Version,
		HeldSnapshots:  reply.GetHeldSnapshots(),
		IgnoreSlowness: a.slow || a.overloaded,
	}, m.env.Now)
}

// cancelLosers cancels the in-flight attempts of a closed leg, except probes.
func (m *Machine) cancelLosers(l *leg) {
	for i := l.inFlight - 1; i >= 0; i-- {
		id := l.inFlightIDs[i]
		if m.attemptByID(id).kind != Probe {
			m.cancel(id, "another attempt answered")
		}
	}
}

func (m *Machine) cancelAll() {
	for i := range m.legs {
		l := &m.legs[i]
		l.interrupted = l.inFlight > 0
		for l.inFlight > 0 {
			m.cancel(l.inFlightIDs[l.inFlight-1], "the search no longer needs it")
		}
	}
}

func (m *Machine) cancel(id uint64, reason string) {
	a := m.attemptByID(id)
	l := &m.legs[a.leg]
	m.mayHaveRun = true
	m.closeAttempt(a, l)
	m.recordResult(a, l, nil, replica.Cancelled)
	m.actions.Cancel = append(m.actions.Cancel, id)
	m.recordDecision(pb.DecisionKind_DECISION_KIND_CANCEL, l, a, reason)
}
