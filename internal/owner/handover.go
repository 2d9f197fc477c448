package owner

import (
	"context"
	"sort"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// handOverPollInterval is the interval between checks for running and queued jobs during a hand-over.
const handOverPollInterval = 5 * time.Millisecond

// HandOver stops accepting work, waits until accepted work has ended or ctx is done, releases all targets and
// returns their states, ordered by target ID. It must be called only once.
func (o *Owner) HandOver(ctx context.Context) []*pb.TargetHandOver {
	o.stopping.Store(true)
	handlers := o.ownedHandlers()
	waitIdle(ctx, handlers)
	states := make([]*pb.TargetHandOver, 0, len(handlers))
	for _, h := range handlers {
		h.release()
		states = append(states, h.handOverState())
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Target < states[j].Target })
	o.syncedView.Store(nil)
	o.syncView()
	return states
}

// waitIdle waits until no handler has running or queued jobs, or until ctx is done.
func waitIdle(ctx context.Context, handlers []*handler) {
	ticker := time.NewTicker(handOverPollInterval)
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

// AcceptHandOver accepts the target states of an owner that has stopped. They apply to targets that are
// already owned and to those gained within handOverLifetime.
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

// Targets returns a status report for each owned target, ordered by target ID.
func (o *Owner) Targets() []*pb.TargetStatusReport {
	self := o.views.Current().Self.ID
	handlers := o.ownedHandlers()
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
		Service:         h.ref.Service,
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
