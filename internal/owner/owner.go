// Package owner dispatches work to the targets that this VM owns. It is the
// only place of a deployment that talks to those targets, so that their slots,
// connections, cold start and drain state are counted in one place.
//
// Decisions are taken by a pure Machine for each target; Owner is the runtime
// around the machines that holds connections, timers and waiting calls.
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
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// syncInterval is the time between looks at the view and at the clock.
	syncInterval = 20 * time.Millisecond
	// healthInterval is the time between questions for the health of a target
	// that drains or may have crashed.
	healthInterval = time.Second
	// handOverLifetime is how long a hand-over waits for its target to become
	// owned.
	handOverLifetime = 10 * time.Second
)

// Announcer spreads suspicions against a content at once to the VMs that own
// the replicas of a service. It returns when those that can be reached have
// merged them, or when ctx ends.
type Announcer interface {
	Announce(ctx context.Context, service string, entries []*pb.QuarantineEntry)
}

// Options configures an Owner.
type Options struct {
	Views     view.Source
	Limits    *pb.LimitSettings
	Decisions decision.Recorder
	Logger    zerolog.Logger
	// SourceAddress is the local IP address of connections to targets; empty
	// lets the system choose.
	SourceAddress string
	// Trace receives the events and decisions of all targets as JSON lines; nil
	// records none.
	Trace io.Writer
	// Quarantine is shared with the coordinator and control; nil uses a list of
	// the owner's own.
	Quarantine *quarantine.List
	// Announcer spreads new suspicions; nil leaves that to heartbeats.
	Announcer Announcer
}

// Owner dispatches work to owned targets. It is safe for concurrent use.
type Owner struct {
	views      view.Source
	limits     *pb.LimitSettings
	decisions  decision.Recorder
	logger     zerolog.Logger
	source     string
	trace      *traceWriter
	quarantine *quarantine.List
	announcer  Announcer
	clock      *gapDetector

	// synced is the view that the handlers follow.
	synced   atomic.Pointer[view.View]
	stopping atomic.Bool

	mu sync.RWMutex
	// handlers holds the owned targets by identifier.
	handlers map[string]*handler
	// retired holds targets no longer owned whose connections are not all
	// closed, by identifier.
	retired map[string]*handler
	// handOvers holds the knowledge of previous owners by target.
	handOvers map[string]pendingHandOver
	// gaps and paused are what of the VM's pauses the handlers know.
	gaps   int
	paused bool
}

type pendingHandOver struct {
	state    *pb.TargetHandOver
	received time.Time
}

// New returns an owner of no targets; it follows the view once Serve runs or
// work arrives.
func New(options Options) *Owner {
	o := &Owner{
		views:      options.Views,
		limits:     options.Limits,
		decisions:  options.Decisions,
		logger:     options.Logger,
		source:     options.SourceAddress,
		quarantine: options.Quarantine,
		announcer:  options.Announcer,
		clock:      newGapDetector(time.Duration(options.Limits.GetClockGapMs()) * time.Millisecond),
		handlers:   map[string]*handler{},
		retired:    map[string]*handler{},
		handOvers:  map[string]pendingHandOver{},
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

// Serve follows the view until ctx ends, and then closes unused connections.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	health := time.NewTicker(healthInterval)
	defer health.Stop()
	o.clock.start(time.Now())
	o.follow()
	for {
		select {
		case <-ctx.Done():
			o.clock.stop()
			o.closeAll()
			return ctx.Err()
		case <-ticker.C:
			o.clock.beat(o.views.Current(), time.Now())
			o.follow()
			o.closeRetired()
		case <-health.C:
			o.askHealth(ctx)
		}
	}
}

// handler returns the handler of an owned target after following the view.
func (o *Owner) handler(v *view.View, target string) *handler {
	if o.synced.Load() != v {
		o.follow()
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.handlers[target]
}

// follow gains and releases targets and passes configuration changes on.
func (o *Owner) follow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.views.Current()
	o.resumeAfterPause(v)
	if o.synced.Load() == v && len(o.retired) == 0 {
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
	o.synced.Store(v)
}

// resumeAfterPause begins a guard time for all targets after a pause of this VM,
// in which another one may have owned them although no view showed it.
func (o *Owner) resumeAfterPause(v *view.View) {
	gaps := o.clock.count()
	if gaps == o.gaps && (v.Paused || !o.paused) {
		o.paused = v.Paused
		return
	}
	o.gaps, o.paused = gaps, v.Paused
	if v.Direct {
		return
	}
	for _, h := range o.handlers {
		h.step(Event{Kind: EventResume, Guard: o.guard()})
	}
}

func (o *Owner) guard() time.Duration {
	return time.Duration(o.limits.GetGuardMs()) * time.Millisecond
}

func (o *Owner) gainOrConfigure(v *view.View, id string) {
	found, ok := v.Target(id)
	if !ok {
		return
	}
	h, known := o.handlers[id]
	if known && h.address == found.Address {
		h.configure(found, v.InService(id))
		return
	}
	if known {
		o.retire(id, h)
	}
	o.gain(v, found)
}

// gain takes a target over. A target that this VM gave up a moment ago is taken
// again only when the work and the connections of that time are gone.
func (o *Owner) gain(v *view.View, found view.Target) {
	if old, ok := o.retired[found.Id]; ok && !old.closed() {
		return
	}
	delete(o.retired, found.Id)
	guard := o.guard()
	if v.Direct {
		guard = 0
	}
	h := newHandler(o, found, v.InService(found.Id), guard)
	o.handlers[found.Id] = h
	if pending, ok := o.handOvers[found.Id]; ok && time.Since(pending.received) < handOverLifetime {
		h.handOver(pending.state)
	}
	delete(o.handOvers, found.Id)
	o.decisions.Record(&pb.Decision{
		Kind: pb.DecisionKind_DECISION_KIND_OWN, Service: found.Service,
		Target: found.Id, Owner: v.Self.ID, Reason: "gained",
	})
}

func (o *Owner) retire(id string, h *handler) {
	delete(o.handlers, id)
	o.retired[id] = h
	h.release()
	o.decisions.Record(&pb.Decision{
		Kind: pb.DecisionKind_DECISION_KIND_OWN, Service: h.place.Service, Target: id, Reason: "released",
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

func (o *Owner) closeAll() {
	for _, h := range o.all() {
		h.client.Close()
	}
}

func (o *Owner) all() []*handler {
	o.mu.RLock()
	defer o.mu.RUnlock()
	handlers := make([]*handler, 0, len(o.handlers))
	for _, h := range o.handlers {
		handlers = append(handlers, h)
	}
	return handlers
}

// askHealth asks the targets that said they drain whether they started anew, and
// those whose connection broke whether they crashed.
func (o *Owner) askHealth(ctx context.Context) {
	for _, h := range o.all() {
		if h.state().Draining || h.unsettledSince(time.Now()) {
			go h.askHealth(ctx)
		}
	}
}
