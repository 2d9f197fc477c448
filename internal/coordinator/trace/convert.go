package trace

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	choiceInFlight = "in-flight"
	choiceRandom   = "random"
	// choiceLoadReport can be recorded but not replayed, since traces do not contain
	// the load reports.
	choiceLoadReport = "load-report"
)

// errNoReply stands in for the dispatch error of an attempt in a replay, since traces do
// not contain the original error.
var errNoReply = errors.New("the owner did not answer")

func headerMessage(p search.Policy) *pb.CoordinatorTraceHeader {
	choice := choiceInFlight
	switch p.ChoiceAlgorithm {
	case search.ChooseRandom:
		choice = choiceRandom
	case search.ChooseLoadReport:
		choice = choiceLoadReport
	case search.ChooseInFlight:
	}
	return &pb.CoordinatorTraceHeader{Hedging: p.Hedging, ReplicaChoice: choice}
}

func parsePolicy(h *pb.CoordinatorTraceHeader) (search.Policy, error) {
	p := search.Policy{Hedging: h.Hedging, Verbose: true}
	switch h.ReplicaChoice {
	case choiceInFlight:
		p.ChoiceAlgorithm = search.ChooseInFlight
	case choiceRandom:
		p.ChoiceAlgorithm = search.ChooseRandom
	default:
		return p, errors.Errorf("replica choice %q cannot be replayed", h.ReplicaChoice)
	}
	return p, nil
}

// viewMessage includes only the members that may own targets, since no others are
// routed to.
func viewMessage(v *view.View) *pb.CoordinatorTraceView {
	m := &pb.CoordinatorTraceView{
		Self:          memberMessage(v.Self),
		Configuration: v.Configuration,
		Paused:        v.Paused,
		Stopping:      v.Stopping,
		Direct:        v.Direct,
	}
	if !v.ConfirmedAt.IsZero() {
		m.ConfirmedUnixNs = v.ConfirmedAt.UnixNano()
	}
	seen := map[string]bool{}
	for _, domain := range targetDomains(v.Configuration) {
		for _, vm := range v.DomainVMs(domain) {
			if !seen[vm.ID] {
				seen[vm.ID] = true
				m.Members = append(m.Members, memberMessage(vm))
			}
		}
	}
	return m
}

// targetDomains lists the failure domains of a configuration's targets.
func targetDomains(c *pb.Configuration) []string {
	var names []string
	seen := map[string]bool{}
	for _, front := range c.GetFronts() {
		for _, service := range front.Services {
			for _, target := range service.Targets {
				if !seen[target.FailureDomain] {
					seen[target.FailureDomain] = true
					names = append(names, target.FailureDomain)
				}
			}
		}
	}
	return names
}

func buildView(m *pb.CoordinatorTraceView) *view.View {
	input := view.Input{
		Self:          parseMember(m.Self),
		Configuration: m.Configuration,
		Paused:        m.Paused,
		Stopping:      m.Stopping,
		Direct:        m.Direct,
	}
	if m.ConfirmedUnixNs != 0 {
		input.ConfirmedAt = time.Unix(0, m.ConfirmedUnixNs)
	}
	for _, member := range m.Members {
		input.VMs = append(input.VMs, parseMember(member))
	}
	return view.Build(input, nil)
}

func memberMessage(vm view.VM) *pb.Member {
	return &pb.Member{
		Vm:            vm.ID,
		FailureDomain: vm.FailureDomain,
		PeerAddress:   vm.PeerAddress,
		Incarnation:   vm.Incarnation,
		State:         vm.State,
	}
}

func parseMember(m *pb.Member) view.VM {
	return view.VM{
		ID:            m.GetVm(),
		FailureDomain: m.GetFailureDomain(),
		PeerAddress:   m.GetPeerAddress(),
		Incarnation:   m.GetIncarnation(),
		State:         m.GetState(),
	}
}

func eventMessage(number uint64, in search.Input, env search.Environment, e search.Event) *pb.CoordinatorTraceEvent {
	m := &pb.CoordinatorTraceEvent{
		Search:   number,
		AtUnixNs: env.Now.UnixNano(),
		Verdict:  pb.CoordinatorTraceVerdict(env.Verdict + 1),
	}
	switch e.Kind {
	case search.Started:
		m.Kind = &pb.CoordinatorTraceEvent_Start{Start: &pb.CoordinatorTraceStart{
			Request:        in.Request,
			Digest:         in.Digest,
			ReceivedUnixNs: in.Received.UnixNano(),
			DeadlineUnixNs: in.Deadline.UnixNano(),
		}}
	case search.AttemptEnded:
		m.Kind = &pb.CoordinatorTraceEvent_Reply{Reply: &pb.CoordinatorTraceReply{
			Attempt: e.Attempt, Reply: e.Reply, Error: errorCode(e.Err),
		}}
	case search.TimerFired:
		m.Kind = &pb.CoordinatorTraceEvent_Timer{Timer: &pb.CoordinatorTraceTimer{}}
	case search.CallerGone:
		m.Kind = &pb.CoordinatorTraceEvent_CallerGone{CallerGone: &pb.CoordinatorTraceCallerGone{}}
	}
	return m
}

func errorCode(err error) pb.CoordinatorTraceError {
	switch {
	case err == nil:
		return pb.CoordinatorTraceError_COORDINATOR_TRACE_ERROR_UNSPECIFIED
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return pb.CoordinatorTraceError_COORDINATOR_TRACE_ERROR_ENDED
	default:
		return pb.CoordinatorTraceError_COORDINATOR_TRACE_ERROR_UNREACHABLE
	}
}

func parseError(code pb.CoordinatorTraceError) error {
	switch code {
	case pb.CoordinatorTraceError_COORDINATOR_TRACE_ERROR_UNSPECIFIED:
		return nil
	case pb.CoordinatorTraceError_COORDINATOR_TRACE_ERROR_ENDED:
		return context.DeadlineExceeded
	default:
		return errNoReply
	}
}

func parseEvent(m *pb.CoordinatorTraceEvent) search.Event {
	switch kind := m.Kind.(type) {
	case *pb.CoordinatorTraceEvent_Reply:
		return search.Event{
			Kind:    search.AttemptEnded,
			Attempt: kind.Reply.Attempt,
			Reply:   kind.Reply.Reply,
			Err:     parseError(kind.Reply.Error),
		}
	case *pb.CoordinatorTraceEvent_Timer:
		return search.Event{Kind: search.TimerFired}
	case *pb.CoordinatorTraceEvent_CallerGone:
		return search.Event{Kind: search.CallerGone}
	default:
		return search.Event{Kind: search.Started}
	}
}

func actionsMessage(a search.Actions) *pb.CoordinatorTraceDecided {
	m := &pb.CoordinatorTraceDecided{
		Cancel:    a.Cancel,
		Discarded: uint32(a.Counts.Discarded),
		Restarts:  uint32(a.Counts.Restarts),
	}
	if !a.WakeAt.IsZero() {
		m.WakeUnixNs = a.WakeAt.UnixNano()
	}
	for _, s := range a.Sends {
		m.Sends = append(m.Sends, &pb.CoordinatorTraceSend{
			Attempt:     s.Request.Attempt,
			Kind:        s.Kind.String(),
			Owner:       s.Owner.ID,
			Target:      s.Request.Target,
			Snapshot:    s.Request.Snapshot,
			Partitions:  s.Request.Partitions,
			RemainingUs: s.Request.RemainingUs,
		})
	}
	if a.Answer != nil {
		m.Answer = proto.CloneOf(a.Answer)
		m.Answer.Decisions = nil
	}
	return m
}
