package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/target"
	"github.com/carawayreel/carawayreel/internal/view"
)

// healthTimeout is the timeout of one health check.
const healthTimeout = 500 * time.Millisecond

// handler runs the machine of one target and holds the target's client, timer and waiting calls.
type handler struct {
	owner     *Owner
	id        string
	front     string
	ref       quarantine.TargetRef
	address   string
	client    *target.Client
	createdAt time.Time

	dispatched atomic.Uint64
	refused    atomic.Uint64

	mu      sync.Mutex
	machine *Machine
	nextJob JobID
	// undecided holds the submitted jobs for which no decision was made yet.
	undecided map[JobID]chan Decision
	// contents holds the contents of running jobs, for crash tracking.
	contents map[JobID]jobContent
	crashes  crashTracker
	timer    *time.Timer
}

func newHandler(o *Owner, cfg view.Target, inService bool, guard time.Duration) *handler {
	h := &handler{
		owner:     o,
		id:        cfg.Id,
		front:     cfg.Front,
		ref:       quarantine.TargetRef{Service: cfg.Service, Target: cfg.Id},
		address:   cfg.Address,
		createdAt: time.Now(),
		undecided: map[JobID]chan Decision{},
		contents:  map[JobID]jobContent{},
	}
	limits := o.limitsOf(cfg, inService)
	h.machine = NewMachine(limits, guard)
	h.client = target.New(target.Options{
		Address:       cfg.Address,
		Connections:   int(cfg.Connections),
		Setup:         time.Duration(cfg.ConnectionSetupUs) * time.Microsecond,
		SourceAddress: o.sourceAddress,
		MaxReplyBytes: int(o.limits.GetMaxRequestBytes()),
		OnIdleLoss:    h.idleConnLost,
	})
	h.timer = time.AfterFunc(time.Hour, h.tick)
	o.trace.begin(h.id, limits, guard)
	h.tick()
	return h
}

func (o *Owner) limitsOf(cfg view.Target, inService bool) Limits {
	coldDuration := time.Duration(cfg.ColdDurationMs) * time.Millisecond
	if coldDuration == 0 {
		coldDuration = defaultColdDuration
	}
	return Limits{
		Slots:        int(cfg.Slots),
		ColdLimit:    int(min(cfg.ColdLimit, cfg.Slots)),
		ColdDuration: coldDuration,
		QueueLength:  int(o.limits.GetTargetQueueLength()),
		InService:    inService,
	}
}

// step passes an event to the machine and delivers its decisions.
func (h *handler) step(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(e)
}

func (h *handler) stepLocked(e Event) {
	e.At = time.Since(h.createdAt)
	decisions := h.machine.Step(e)
	h.owner.trace.step(h.id, e, decisions)
	for _, d := range decisions {
		h.deliver(d)
	}
	h.schedule(e.At)
}

// deliver sends a decision to the waiting call, or logs a change of phase.
func (h *handler) deliver(d Decision) {
	if d.Kind == DecidePhase {
		phaseChanges(d.Phase).Inc()
		h.owner.logger.Debug().Str("target", h.id).Stringer("phase", d.Phase).Int("limit", d.Limit).Msg("target phase")
		return
	}
	if waiting, ok := h.undecided[d.Job]; ok {
		delete(h.undecided, d.Job)
		waiting <- d
	}
}

// schedule sets the timer for the machine's next tick.
func (h *handler) schedule(now time.Duration) {
	if at, ok := h.machine.NextTick(); ok {
		h.timer.Reset(max(at-now, 0))
		return
	}
	h.timer.Stop()
}

func (h *handler) tick() {
	h.step(Event{Kind: EventTick})
}

func (h *handler) idleConnLost() {
	h.step(Event{Kind: EventIdleConnectionLost})
}

// submit submits a job. The returned channel receives one decision.
func (h *handler) submit(deadline time.Time, exclusive bool) (JobID, <-chan Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextJob++
	id := h.nextJob
	waiting := make(chan Decision, 1)
	h.undecided[id] = waiting
	h.stepLocked(Event{Kind: EventSubmit, Job: id, Deadline: deadline.Sub(h.createdAt), Exclusive: exclusive})
	return id, waiting
}

// await returns the decision on a submitted job. It returns false if ctx is done first, in which case the job
// is withdrawn.
func (h *handler) await(ctx context.Context, id JobID, decided <-chan Decision) (Decision, bool) {
	select {
	case d := <-decided:
		return d, true
	case <-ctx.Done():
	}
	h.mu.Lock()
	if _, pending := h.undecided[id]; pending {
		delete(h.undecided, id)
		h.stepLocked(Event{Kind: EventWithdraw, Job: id})
		h.mu.Unlock()
		return Decision{}, false
	}
	h.mu.Unlock()
	return <-decided, true
}

// recordStart counts a started job and records its content.
func (h *handler) recordStart(id JobID, content jobContent) {
	h.dispatched.Add(1)
	dispatched.Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents[id] = content
}

// recordUnanswered records that a job ended without a reply, unless its content is already suspect.
func (h *handler) recordUnanswered(id JobID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if content, ok := h.contents[id]; ok {
		h.crashes.recordUnanswered(content, now)
	}
}

// finish reports the end of a started job to the machine, which frees its slot.
func (h *handler) finish(id JobID, e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.contents, id)
	e.Kind, e.Job = EventFinish, id
	h.stepLocked(e)
}

func (h *handler) configure(cfg view.Target, inService bool) {
	h.client.Resize(int(cfg.Connections), time.Duration(cfg.ConnectionSetupUs)*time.Microsecond)
	limits := h.owner.limitsOf(cfg, inService)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.machine.limits != limits {
		h.stepLocked(Event{Kind: EventConfigure, Limits: limits})
	}
}

func (h *handler) handOver(state *pb.TargetHandOver) {
	h.step(Event{
		Kind: EventHandOver, BootID: state.BootId, Limit: int(state.Limit), Running: int(state.Running),
	})
}

func (h *handler) release() {
	h.step(Event{Kind: EventRelease})
	h.client.Close()
}

func (h *handler) state() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.State()
}

// closed reports whether the handler has no running jobs and no connections left.
func (h *handler) closed() bool {
	return h.state().Running == 0 && h.client.Connections() == 0
}

// checkHealth queries the health endpoint. Its response may be stale or wrong, so it is used only to detect the
// restart of a draining target and to resolve a broken connection that no reply has resolved.
func (h *handler) checkHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	resolveBreak := h.needsHealthCheck(time.Now())
	health, err := h.client.Health(ctx)
	if err != nil {
		return
	}
	if resolveBreak && health.BootId != "" {
		h.mu.Lock()
		h.resolveBreakLocked(health.BootId)
		h.mu.Unlock()
	}
	h.step(Event{Kind: EventHealth, BootID: health.BootId, Draining: health.Draining})
}
