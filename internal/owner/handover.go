package owner

import (
	"context"
	"sort"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// drainPoll is the time between looks at the work that still runs.
const drainPoll = 5 * time.Millisecond

// HandOver refuses new work from now on, waits until accepted work has ended or
// ctx ends, and returns what is known of the targets. It is called once.
func (o *Owner) HandOver(ctx context.Context) []*pb.TargetHandOver {
	o.stopping.Store(true)
	handlers := o.all()
	waitIdle(ctx, handlers)
	states := make([]*pb.TargetHandOver, 0, len(handlers))
	for _, h := range handlers {
		h.release()
		states = append(states, h.handOverState())
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Target < states[j].Target })
	o.synced.Store(nil)
	o.follow()
	return states
}

func waitIdle(ctx context.Context, handlers []*handler) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for _, h := range handlers {
		for !h.idle() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

func (h *handler) idle() bool {
	state := h.state()
	return state.Running == 0 && state.Queued == 0
}

func (h *handler) handOverState() *pb.TargetHandOver {
	state := h.state()
	return &pb.TargetHandOver{
		Target:  h.id,
		BootId:  state.BootID,
		Limit:   uint32(state.Limit),
		Running: uint32(state.Running),
	}
}

// AcceptHandOver takes the knowledge of an owner that has stopped. It counts for
// targets owned already and for those gained in the next seconds.
func (o *Owner) AcceptHandOver(targets []*pb.TargetHandOver) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for id, pending := range o.handOvers {
		if now.Sub(pending.received) >= handOverLifetime {
			delete(o.handOvers, id)
		}
	}
	for _, state := range targets {
		if h, ok := o.handlers[state.Target]; ok {
			h.handOver(state)
			continue
		}
		if _, known := o.views.Current().Target(state.Target); known {
			o.handOvers[state.Target] = pendingHandOver{state: state, received: now}
		}
	}
}

// Targets reports the state of each owned target, in the order of identifiers.
func (o *Owner) Targets() []*pb.TargetStatusReport {
	self := o.views.Current().Self.ID
	handlers := o.all()
	reports := make([]*pb.TargetStatusReport, 0, len(handlers))
	for _, h := range handlers {
		reports = append(reports, h.report(self))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Target < reports[j].Target })
	return reports
}

func (h *handler) report(owner string) *pb.TargetStatusReport {
	state := h.state()
	return &pb.TargetStatusReport{
		Target:          h.id,
		Front:           h.front,
		Service:         h.place.Service,
		Owner:           owner,
		Phase:           phaseMessage(state.Phase),
		Limit:           uint32(state.Limit),
		Running:         uint32(state.Running),
		Queued:          uint32(state.Queued),
		OpenConnections: uint32(h.client.Connections()),
		Dispatched:      h.dispatched.Load(),
		Refused:         h.refused.Load(),
		BootId:          state.BootID,
	}
}

func phaseMessage(p Phase) pb.TargetPhase {
	switch p {
	case PhaseGuard:
		return pb.TargetPhase_TARGET_PHASE_GUARD
	case PhaseCold:
		return pb.TargetPhase_TARGET_PHASE_COLD
	case PhaseRamp:
		return pb.TargetPhase_TARGET_PHASE_RAMP
	case PhaseWarm:
		return pb.TargetPhase_TARGET_PHASE_WARM
	case PhaseLeaving:
		return pb.TargetPhase_TARGET_PHASE_LEAVING
	case PhaseDown:
		return pb.TargetPhase_TARGET_PHASE_DOWN
	default:
		return pb.TargetPhase_TARGET_PHASE_UNSPECIFIED
	}
}
