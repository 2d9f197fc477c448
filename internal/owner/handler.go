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

// healthTimeout bounds one question for a target's health.
const healthTimeout = 500 * time.Millisecond

// handler is the runtime around the machine of one target.
type handler struct {
	owner   *Owner
	id      string
	front   string
	place   quarantine.Place
	address string
	client  *target.Client
	start   time.Time

	dispatched atomic.Uint64
	refused    atomic.Uint64

	mu      sync.Mutex
	machine *Machine
	nextJob JobID
	// waiting holds the jobs that were submitted and not yet decided on.
	waiting map[JobID]chan Decision
	// contents holds the contents of the running jobs.
	contents map[JobID]runningContent
	crash    crashWatch
	timer    *time.Timer
}

func newHandler(o *Owner, found view.Target, inService bool, guard time.Duration) *handler {
	h := &handler{
		owner:    o,
		id:       found.Id,
		front:    found.Front,
		place:    quarantine.Place{Service: found.Service, Target: found.Id},
		address:  found.Address,
		start:    time.Now(),
		waiting:  map[JobID]chan Decision{},
		contents: map[JobID]runningContent{},
	}
	limits := o.limitsOf(found, inService)
	h.machine = NewMachine(limits, guard)
	h.client = target.New(target.Options{
		Address:       found.Address,
		Connections:   int(found.Connections),
		Setup:         time.Duration(found.ConnectionSetupUs) * time.Microsecond,
		SourceAddress: o.source,
		MaxReplyBytes: int(o.limits.GetMaxRequestBytes()),
		OnIdleLoss:    h.lost,
	})
	h.timer = time.AfterFunc(time.Hour, h.tick)
	o.trace.begin(h.id, limits, guard)
	h.tick()
	return h
}

func (o *Owner) limitsOf(found view.Target, inService bool) Limits {
	coldDuration := time.Duration(found.ColdDurationMs) * time.Millisecond
	if coldDuration == 0 {
		coldDuration = defaultColdDuration
	}
	return Limits{
		Slots:        int(found.Slots),
		Cold:         int(min(found.ColdLimit, found.Slots)),
		ColdDuration: coldDuration,
		Queue:        int(o.limits.GetTargetQueueLength()),
		InService:    inService,
	}
}

// step passes an event to the machine and hands its decisions out.
func (h *handler) step(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(e)
}

func (h *handler) stepLocked(e Event) {
	e.At = time.Since(h.start)
	decisions := h.machine.Step(e)
	h.owner.trace.step(h.id, e, decisions)
	for _, d := range decisions {
		h.deliver(d)
	}
	h.schedule(e.At)
}

func (h *handler) deliver(d Decision) {
	if d.Kind == DecidePhase {
		phaseChanges(d.Phase).Inc()
		h.owner.logger.Debug().Str("target", h.id).Stringer("phase", d.Phase).Int("limit", d.Limit).Msg("target phase")
		return
	}
	if waiting, ok := h.waiting[d.Job]; ok {
		delete(h.waiting, d.Job)
		waiting <- d
	}
}

func (h *handler) schedule(now time.Duration) {
	if at, ok := h.machine.Wake(); ok {
		h.timer.Reset(max(at-now, 0))
		return
	}
	h.timer.Stop()
}

func (h *handler) tick() {
	h.step(Event{Kind: EventTick})
}

func (h *handler) lost() {
	h.step(Event{Kind: EventLost})
}

// submit asks to run a job. The channel receives one decision.
func (h *handler) submit(deadline time.Time, exclusive bool) (JobID, <-chan Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextJob++
	id := h.nextJob
	waiting := make(chan Decision, 1)
	h.waiting[id] = waiting
	h.stepLocked(Event{Kind: EventSubmit, Job: id, Deadline: deadline.Sub(h.start), Exclusive: exclusive})
	return id, waiting
}

// await returns the decision on a submitted job. It reports false when ctx ended
// first; the job is then dropped.
func (h *handler) await(ctx context.Context, id JobID, decided <-chan Decision) (Decision, bool) {
	select {
	case d := <-decided:
		return d, true
	case <-ctx.Done():
	}
	h.mu.Lock()
	if _, waits := h.waiting[id]; waits {
		delete(h.waiting, id)
		h.stepLocked(Event{Kind: EventWithdraw, Job: id})
		h.mu.Unlock()
		return Decision{}, false
	}
	h.mu.Unlock()
	return <-decided, true
}

// begin notes the content of a started job.
func (h *handler) begin(id JobID, content runningContent) {
	h.dispatched.Add(1)
	dispatched.Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contents[id] = content
}

// forget notes that a job ended without an answer, unless its content was made
// suspect already.
func (h *handler) forget(id JobID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if content, ok := h.contents[id]; ok {
		h.crash.unanswered(content, now)
	}
}

// end frees the slot of a started job.
func (h *handler) end(id JobID, e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.contents, id)
	e.Kind, e.Job = EventFinish, id
	h.stepLocked(e)
}

func (h *handler) configure(found view.Target, inService bool) {
	h.client.Resize(int(found.Connections), time.Duration(found.ConnectionSetupUs)*time.Microsecond)
	limits := h.owner.limitsOf(found, inService)
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

// closed reports whether nothing of the handler is left at the target.
func (h *handler) closed() bool {
	return h.state().Running == 0 && h.client.Connections() == 0
}

// askHealth asks the health endpoint, which may lag or mislead, where no work is
// at hand that would tell.
func (h *handler) askHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	settles := h.unsettledSince(time.Now())
	health, err := h.client.Health(ctx)
	if err != nil {
		return
	}
	if settles && health.BootId != "" {
		h.mu.Lock()
		h.settleBreak(health.BootId)
		h.mu.Unlock()
	}
	h.step(Event{Kind: EventHealth, BootID: health.BootId, Draining: health.Draining})
}
