package search

import (
	"strings"
	"time"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// recordDecision records a decision. Usual decisions are recorded only for Policy.Verbose
// or a request with Explain, since a search makes several per service.
func (m *Machine) recordDecision(kind pb.DecisionKind, l *leg, a *attempt, reason string) {
	if !m.in.Policy.Verbose && !m.in.Request.Explain && !decision.Unusual(kind) {
		return
	}
	d := &pb.Decision{
		Kind:      kind,
		RequestId: m.in.Request.RequestId,
		Owner:     m.env.View.Self.ID,
		Reason:    reason,
		OffsetUs:  int64(m.env.Now.Sub(m.in.Received) / time.Microsecond),
	}
	if m.pinned != nil {
		d.Snapshot = m.pinned.Version
	}
	if l != nil {
		d.Service = l.service.Name
	}
	if a != nil {
		d.Attempt = a.id
		d.Target = a.target
		d.Owner = a.owner
	}
	m.actions.Decisions = append(m.actions.Decisions, d)
	if m.in.Request.Explain {
		m.decisions = append(m.decisions, d)
	}
}

// recordDiscard counts and records a discarded reply.
func (m *Machine) recordDiscard(a *attempt, reason string) {
	m.actions.Counts.Discarded++
	m.recordDecision(pb.DecisionKind_DECISION_KIND_DISCARD, nil, a, reason)
}

func decisionKind(kind SendKind) pb.DecisionKind {
	switch kind {
	case Hedge, Probe:
		return pb.DecisionKind_DECISION_KIND_HEDGE
	case Retry, Redirect:
		return pb.DecisionKind_DECISION_KIND_RETRY
	default:
		return pb.DecisionKind_DECISION_KIND_SEND
	}
}

func missingReasonText(reason pb.MissingReason) string {
	const prefix = "MISSING_REASON_"
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(reason.String(), prefix), "_", " "))
}

// String returns the name of the kind as it is written in traces.
func (k SendKind) String() string {
	switch k {
	case First:
		return "first"
	case Retry:
		return "retry"
	case Hedge:
		return "hedge"
	case Probe:
		return "probe"
	case Redirect:
		return "redirect"
	case Restart:
		return "restart"
	default:
		return "unknown"
	}
}
