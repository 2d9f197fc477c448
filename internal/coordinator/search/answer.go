package search

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const percent = 100

// giveUp closes a leg and leaves its remaining partitions uncovered for a reason.
func (m *Machine) giveUp(l *leg, reason pb.MissingReason) {
	if l.closed {
		return
	}
	l.reason = reason
	m.recordDecision(pb.DecisionKind_DECISION_KIND_GIVE_UP, l, nil, missingReasonText(reason))
	m.close(l)
}

// onSnapshotGone handles a leg whose replicas all lack the pinned snapshot: it
// schedules a restart of the search on another snapshot, or gives the leg up.
func (m *Machine) onSnapshotGone(l *leg) {
	now := m.env.Now
	m.shared.Snapshots.RecordUnavailable(m.front.Name, m.pinned.Version, l.service.Name, now)
	front := m.shared.Planner.Front(m.env.View, m.front.Name)
	if front != nil && m.remaining() > l.group.HedgeDelay() && m.effectiveVerdict() != Quarantined {
		wasPinned := func(version uint64) bool { return slices.Contains(m.pinnedVersions, version) }
		m.restartOn = m.shared.Snapshots.Alternative(front, l.service.Name, wasPinned, now)
	}
	if m.restartOn == nil {
		m.giveUp(l, pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE)
	}
}

// refuse answers a search as not run, before any subrequest is sent.
func (m *Machine) refuse(reason string) {
	answer := m.newAnswer()
	answer.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	answer.Reason = reason
	answer.Coverage = &pb.Coverage{}
	m.recordDecision(pb.DecisionKind_DECISION_KIND_REFUSE, nil, nil, reason)
	m.complete(answer)
}

// finish cancels all attempts and answers with the partitions covered so far.
func (m *Machine) finish() {
	m.cancelAll()
	for i := range m.legs {
		m.expire(&m.legs[i])
	}
	answer := m.newAnswer()
	answer.Snapshot = m.pinned.Version
	answer.Coverage = m.coverage()
	m.setRows(answer)
	m.setOutcome(answer)
	m.complete(answer)
}

// expire gives up a leg that is still open when the search ends.
func (m *Machine) expire(l *leg) {
	if l.closed {
		return
	}
	reason := l.reason
	if l.held && m.effectiveVerdict() >= Suspect {
		reason = pb.MissingReason_MISSING_REASON_QUARANTINED
	}
	if reason == pb.MissingReason_MISSING_REASON_UNSPECIFIED || l.interrupted {
		reason = pb.MissingReason_MISSING_REASON_DEADLINE
	}
	m.giveUp(l, reason)
}

func (m *Machine) complete(answer *pb.SearchResponse) {
	m.finished = true
	if m.in.Request.Explain {
		answer.Decisions = m.decisions
	}
	m.actions.Answer = answer
}

func (m *Machine) newAnswer() *pb.SearchResponse {
	v := m.env.View
	return &pb.SearchResponse{
		RequestId:             m.in.Request.RequestId,
		ElapsedMs:             uint32(m.env.Now.Sub(m.in.Received) / time.Millisecond),
		ConfigurationRevision: v.Revision(),
		ConfigurationAgeMs:    uint64(v.ConfigurationAge(m.env.Now) / time.Millisecond),
		Subrequests:           m.subrequests,
		ExtraSubrequests:      m.extra,
		Vm:                    v.Self.ID,
	}
}

// coverage returns the coverage of the pinned snapshot's partition map.
func (m *Machine) coverage() *pb.Coverage {
	coverage := &pb.Coverage{Total: uint32(m.pinned.TotalPartitions), MapKnown: true}
	for i := range m.legs {
		l := &m.legs[i]
		for _, partition := range l.uncovered {
			coverage.Missing = append(coverage.Missing, &pb.MissingPartition{
				Service:   l.service.Name,
				Partition: partition,
				Reason:    l.reason,
			})
		}
	}
	coverage.Covered = coverage.Total - uint32(len(coverage.Missing))
	return coverage
}

// setRows sets the rows, sorted by record identifier and truncated to the row limit.
func (m *Machine) setRows(answer *pb.SearchResponse) {
	count := 0
	var matched uint64
	for _, result := range m.results {
		count += len(result.Rows)
		matched += max(result.Matched, uint64(len(result.Rows)))
	}
	rows := make([]*pb.Row, 0, count)
	for _, result := range m.results {
		rows = append(rows, result.Rows...)
	}
	slices.SortFunc(rows, func(a, b *pb.Row) int {
		return cmp.Or(
			cmp.Compare(a.RecordId, b.RecordId),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Partition, b.Partition),
		)
	})
	limit := int(m.in.Request.RowLimit)
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	answer.Rows = rows
	answer.RowsBeyondLimit = matched - uint64(len(rows))
}

func (m *Machine) setOutcome(answer *pb.SearchResponse) {
	covered, total := answer.Coverage.Covered, answer.Coverage.Total
	if covered == total {
		answer.Outcome = pb.Outcome_OUTCOME_SUCCESS
		return
	}
	answer.Outcome = pb.Outcome_OUTCOME_PARTIAL
	answer.Reason = fmt.Sprintf("%d of %d partitions covered", covered, total)
	if !m.mayHaveRun {
		answer.Outcome = pb.Outcome_OUTCOME_NOT_RUN
		answer.Reason = "no target ran any part of the search"
		return
	}
	minPercent := m.in.Request.MinimumCoveragePercent
	if uint64(covered)*percent < uint64(minPercent)*uint64(total) {
		answer.Rows = nil
		answer.RowsBeyondLimit = 0
		answer.Reason = fmt.Sprintf("%d of %d partitions covered, fewer than the %d %% asked for; rows withheld",
			covered, total, minPercent)
	}
}
