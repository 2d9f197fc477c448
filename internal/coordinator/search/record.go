package search

import (
	"strings"
	"time"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// decide records a decision. Usual decisions are recorded only on request, since
// a search takes several for each service.
func (m *Machine) decide(kind pb.DecisionKind, l *leg, a *attempt, reason string) {
	if !m.in.Policy.Verbose && !m.in.Request.Explain && !decision.Unusual(kind) {
		return
	}
	d := &pb.Decision{
		Kind:      kind,
		RequestId: m.in.Request.RequestId,
		Owner:     m.ctx.View.Self.ID,
		Reason:    reason,
		OffsetUs:  int64(m.ctx.Now.Sub(m.in.Received) / time.Microsecond),
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

// discard records a reply that is not taken.
func (m *Machine) discard(a *attempt, reason string) {
	m.actions.Counts.Discarded++
	m.decide(pb.DecisionKind_DECISION_KIND_DISCARD, nil, a, reason)
}

func decisionOf(kind Kind) pb.DecisionKind {
	switch kind {
	case Hedge, Probe:
		return pb.DecisionKind_DECISION_KIND_HEDGE
	case Retry, Redirect:
		return pb.DecisionKind_DECISION_KIND_RETRY
	default:
		return pb.DecisionKind_DECISION_KIND_SEND
	}
}

func missingName(reason pb.MissingReason) string {
	const prefix = "MISSING_REASON_"
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(reason.String(), prefix), "_", " "))
}

// String returns the name of a kind, as it stands in traces.
func (k Kind) String() string {
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
