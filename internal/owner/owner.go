// Package owner dispatches work to the targets that this VM owns. No other VM of the deployment sends work to
// those targets, so that their slots, connections, cold start and drain state are tracked in one place.
//
// A pure Machine makes the decisions for each target. Owner runs the machines and holds their connections,
// timers and waiting calls.
package owner

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/pause"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// syncInterval is the interval between checks of the view and of the clock.
	syncInterval = 20 * time.Millisecond
	// healthInterval is the interval between health checks of a target that is draining or may have crashed.
	healthInterval = time.Second
	// handOverLifetime is how long a received hand-over is kept until its target is gained.
	handOverLifetime = 10 * time.Second
)

// Announcer sends quarantine entries immediately to the VMs that own the replicas of a service. Announce
// returns when all reachable VMs have merged the entries or ctx is done.
type Announcer interface {
	Announce(ctx context.Context, service string, entries []*pb.QuarantineEntry)
}

// Options configures an Owner.
type Options struct {
	Views     view.Source
	Limits    *pb.LimitSettings
	Decisions decision.Recorder
	Logger    zerolog.Logger
	// SourceAddress is the local IP address of connections to targets. If empty, the system chooses one.
	SourceAddress string
	// Trace receives the events and decisions of all targets as JSON lines. If nil, nothing is recorded.
	Trace io.Writer
	// Quarantine is shared with packages coordinator and control. If nil, the owner uses a private list.
	Quarantine *quarantine.List
	// Announcer sends new suspicions to other VMs. If nil, they spread only with heartbeats.
	Announcer Announcer
}

// Owner dispatches work to owned targets. It is safe for concurrent use.
type Owner struct {
	views         view.Source
	limits        *pb.LimitSettings
	decisions     decision.Recorder
	logger        zerolog.Logger
	sourceAddress string
	trace         *traceWriter
	quarantine    *quarantine.List
	announcer     Announcer
	pauses        *pause.Detector

	// syncedView is the view that the handlers were last synchronized with.
	syncedView atomic.Pointer[view.View]
	stopping   atomic.Bool

	mu sync.RWMutex
	// handlers holds the handlers of owned targets by target ID.
	handlers map[string]*handler
	// retired holds the handlers of targets that are no longer owned but still have running jobs or open
	// connections, by target ID.
	retired map[string]*handler
	// handOvers holds the states received from previous owners, by target ID.
	handOvers map[string]pendingHandOver
	// handledPauses and handledPause record which pauses of the VM the handlers have already been notified of:
	// those that this package detected and those of the view.
	handledPauses int
	handledPause  bool
}

// pendingHandOver is a hand-over of a target that is not owned yet.
type pendingHandOver struct {
	state    *pb.TargetHandOver
	received time.Time
}

// New returns an owner without targets. It synchronizes with the view once Serve runs or work arrives.
func New(options Options) *Owner {
	o := &Owner{
		views:         options.Views,
		limits:        options.Limits,
		decisions:     options.Decisions,
		logger:        options.Logger,
		sourceAddress: options.SourceAddress,
		quarantine:    options.Quarantine,
		announcer:     options.Announcer,
		pauses:        pause.NewDetector(time.Duration(options.Limits.GetClockGapMs()) * time.Millisecond),
		handlers:      map[string]*handler{},
		retired:       map[string]*handler{},
		handOvers:     map[string]pendingHandOver{},
	}
	if o.quarantine == nil {
		o.quarantine = quarantine.New(quarantine.DefaultLimits())
	}
	if o.decisions == nil {
		o.decisions = decision.Discard{}
	}
	if options.Trace != nil {
		o.trace = &traceWriter{writer: options.Trace}
	}
	return o
}

// Serve keeps the owner synchronized with the view until ctx is done, and then closes idle connections.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	health := time.NewTicker(healthInterval)
	defer health.Stop()
	o.pauses.Start(time.Now())
	o.syncView()
	for {
		select {
		case <-ctx.Done():
			o.pauses.Stop()
			o.closeIdleConnections()
			return ctx.Err()
		case <-ticker.C:
			o.pauses.Tick(o.views.Current(), time.Now())
			o.syncView()
			o.closeRetired()
		case <-health.C:
			o.checkHealth(ctx)
		}
	}
}

// handler synchronizes with the view and returns the handler of a target, or nil if it has none.
func (o *Owner) handler(v *view.View, target string) *handler {
	if o.syncedView.Load() != v {
		o.syncView()
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.handlers[target]
}

// syncView gains and releases targets according to the current view and passes on configuration changes.
func (o *Owner) syncView() {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.views.Current()
	o.resumeAfterPause(v)
	if o.syncedView.Load() == v && len(o.retired) == 0 {
		return
	}
	owned := v.OwnedTargets()
	if o.stopping.Load() {
		owned = nil
	}
	wanted := make(map[string]bool, len(owned))
	for _, id := range owned {
		wanted[id] = true
	}
	for id, h := range o.handlers {
		if !wanted[id] {
			o.retire(id, h)
		}
	}
	for _, id := range owned {
		o.gainOrConfigure(v, id)
	}
	o.syncedView.Store(v)
}

// resumeAfterPause starts a guard time for all targets after a pause of this VM. During the pause another VM
// may have owned them although no view showed it.
func (o *Owner) resumeAfterPause(v *view.View) {
	pauses := o.pauses.Count()
	if pauses == o.handledPauses && (v.Paused || !o.handledPause) {
		o.handledPause = v.Paused
		return
	}
	o.handledPauses, o.handledPause = pauses, v.Paused
	if v.Direct {
		return
	}
	for _, h := range o.handlers {
		h.step(Event{Kind: EventResume, Guard: o.guardTime()})
	}
}

func (o *Owner) guardTime() time.Duration {
	return time.Duration(o.limits.GetGuardMs()) * time.Millisecond
}

func (o *Owner) gainOrConfigure(v *view.View, id string) {
	cfg, ok := v.Target(id)
	if !ok {
		return
	}
	h, known := o.handlers[id]
	if known && h.address == cfg.Address {
		h.configure(cfg, v.InService(id))
		return
	}
	if known {
		o.retire(id, h)
	}
	o.gain(v, cfg)
}

// gain creates the handler of a target that this VM now owns. A target that this VM released earlier is gained
// again only when its earlier jobs have ended and its earlier connections are closed.
func (o *Owner) gain(v *view.View, cfg view.Target) {
	if old, ok := o.retired[cfg.Id]; ok && !old.closed() {
		return
	}
	delete(o.retired, cfg.Id)
	guard := o.guardTime()
	if v.Direct {
		guard = 0
	}
	h := newHandler(o, cfg, v.InService(cfg.Id), guard)
	o.handlers[cfg.Id] = h
	if pending, ok := o.handOvers[cfg.Id]; ok && time.Since(pending.received) < handOverLifetime {
		h.handOver(pending.state)
	}
	delete(o.handOvers, cfg.Id)
	o.decisions.Record(&pb.Decision{
		Kind: pb.DecisionKind_DECISION_KIND_OWN, Service: cfg.Service,
		Target: cfg.Id, Owner: v.Self.ID, Reason: "gained",
	})
}

// retire releases a target and keeps its handler until its jobs and connections are gone.
func (o *Owner) retire(id string, h *handler) {
	delete(o.handlers, id)
	o.retired[id] = h
	h.release()
	o.decisions.Record(&pb.Decision{
		Kind: pb.DecisionKind_DECISION_KIND_OWN, Service: h.ref.Service, Target: id, Reason: "released",
	})
}

func (o *Owner) closeRetired() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, h := range o.retired {
		h.client.Close()
		if h.closed() {
			delete(o.retired, id)
		}
	}
}

func (o *Owner) closeIdleConnections() {
	for _, h := range o.ownedHandlers() {
		h.client.Close()
	}
}

func (o *Owner) ownedHandlers() []*handler {
	o.mu.RLock()
	defer o.mu.RUnlock()
	handlers := make([]*handler, 0, len(o.handlers))
	for _, h := range o.handlers {
		handlers = append(handlers, h)
	}
	return handlers
}

// checkHealth queries the health endpoints of draining targets, to detect a restart, and of targets with an
// unresolved broken connection, to detect a crash.
func (o *Owner) checkHealth(ctx context.Context) {
	for _, h := range o.ownedHandlers() {
		if h.state().Draining || h.needsHealthCheck(time.Now()) {
			go h.checkHealth(ctx)
		}
	}
}
