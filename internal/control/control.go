// Package control maintains the control state of a VM: the configuration in force and the members of the
// deployment, which together determine the owner of each target.
//
// A single goroutine owns the state and drives a pure state machine. Heartbeats, responses from peers and
// the platform, revisions from operators and ticks are the machine's input events; its decisions are the
// calls to make and the views to publish. Request goroutines read the published views without locks.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// maxBatch limits the number of events processed before a view is published.
	maxBatch = 256
	// queueCapacity is the capacity of the control goroutine's event queue.
	queueCapacity = 1024
	// ticksPerGap is the minimum number of ticks per clockGap, the shortest gap that must be detected.
	ticksPerGap = 5
	// transferTimeout is the timeout for sending a revision to one VM, or for fetching one. A
	// configuration of 6 MB, as large as keys in a store value of 1 MiB make it, takes 2.4 s
	// over a link of 20 Mbit/s.
	transferTimeout = 5 * time.Second
	// pushTimeout is the timeout for sending a revision to one VM while an operator waits.
	pushTimeout = time.Second
)

// queuedEvent is an event that waits for the control goroutine.
type queuedEvent struct {
	event *pb.ControlEvent
	// done receives the response to the event's heartbeat, or nil, after the event was processed and its
	// effect was published.
	done chan *pb.HeartbeatResponse
}

// Control maintains the control state of one VM. All methods are safe for concurrent use. Serve must be
// called only once.
type Control struct {
	options Options
	config  config
	store   *configstore.Store
	source  Source
	// storeUnavailable is true if the last call to the store failed.
	storeUnavailable atomic.Bool
	startedAt        time.Time
	queue            chan queuedEvent
	// stopped is closed when Serve returns.
	stopped chan struct{}

	current  atomic.Pointer[view.View]
	status   atomic.Pointer[status]
	lastTick atomic.Int64
	traffic  traffic
	trace    *recorder
	machine  *machine
	// builtFrom is the state of the machine that the current view was built from.
	builtFrom  viewState
	rebuildDue bool
	viewsBuilt atomic.Uint64
	// offerFailures and fetchFailures count the transfers of configurations that failed.
	offerFailures, fetchFailures atomic.Uint64
	// processedTick is the offset from startedAt of the last tick processed. It is copied to lastTick only
	// after the view is published.
	processedTick        time.Duration
	statusMembersVersion uint64
}

// status is the state besides the view that other goroutines read.
type status struct {
	ready             bool
	readyForRoutes    bool
	routesReason      string
	reason            string
	leaveAcknowledged bool
	watchesStore      bool
	members           []*pb.Member
	counts            counts
}

// New returns a Control for the VM that options describe. It returns ErrSettings if the settings contradict
// one another.
func New(options Options) (*Control, error) {
	startedAt := time.Now()
	header := headerOf(options, startedAt)
	c := &Control{
		options:   options,
		config:    configOf(header),
		store:     configstore.New(options.Store),
		startedAt: startedAt,
		queue:     make(chan queuedEvent, queueCapacity),
		stopped:   make(chan struct{}),
		machine:   newMachine(header),
		trace:     newRecorder(options.Trace, header, options.Logger),
	}
	c.source = options.Source
	if c.source == nil {
		c.source = c.store
	}
	if err := checkSettings(c.config); err != nil {
		return nil, err
	}
	c.rebuild()
	c.setStatus()
	return c, nil
}

func headerOf(options Options, startedAt time.Time) *pb.ControlTraceHeader {
	return &pb.ControlTraceHeader{
		Self: &pb.Member{
			Vm:                  options.Self.ID,
			FailureDomain:       options.Self.FailureDomain,
			PeerAddress:         options.Self.PeerAddress,
			GatherPort:          options.Self.GatherPort,
			ProcessorMillicores: options.Self.ProcessorMillicores,
			Incarnation:         options.Self.Incarnation,
			State:               pb.MemberState_MEMBER_STATE_ALIVE,
		},
		Platform:    options.Settings.GetPlatform(),
		Peers:       options.Settings.GetPeers(),
		Limits:      options.Settings.GetLimits(),
		Routes:      options.Settings.GetRoutes(),
		Seed:        options.Self.Incarnation,
		StartUnixUs: startedAt.UnixMicro(),
	}
}

// Current returns the current view. It is never nil.
func (c *Control) Current() *view.View { return c.current.Load() }

// MayDispatch reports whether this VM may dispatch work now: it is not paused, and the control goroutine has
// processed a tick within the clock gap. In a process that was frozen, it returns false as soon as the
// process resumes, even before the control goroutine runs.
func (c *Control) MayDispatch(now time.Time) bool {
	since := now.Sub(c.startedAt) - time.Duration(c.lastTick.Load())
	return since <= c.config.clockGap && !c.Current().Paused
}

// Ready reports whether this VM can serve callers and, if not, the reason.
func (c *Control) Ready() (bool, string) {
	s := c.status.Load()
	return s.ready, s.reason
}

// ReadyForRoutes reports whether this VM can serve callers of routes and, if not, the
// reason.
func (c *Control) ReadyForRoutes() (bool, string) {
	s := c.status.Load()
	return s.readyForRoutes, s.routesReason
}

// WatchesStore reports whether this VM watches the store for its failure domain.
func (c *Control) WatchesStore() bool { return c.status.Load().watchesStore }

// Members returns the known state of every VM. The caller must not modify the result.
func (c *Control) Members() []*pb.Member { return c.status.Load().members }

// Serve runs the control goroutine until ctx ends and returns its error.
func (c *Control) Serve(ctx context.Context) error {
	defer close(c.stopped)
	ticker := time.NewTicker(min(c.config.heartbeatInterval, c.config.clockGap/ticksPerGap))
	defer ticker.Stop()
	c.processBatch(ctx, queuedEvent{event: tickEvent()})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.processBatch(ctx, queuedEvent{event: tickEvent()})
		case in := <-c.queue:
			c.processBatch(ctx, in)
		}
	}
}

func tickEvent() *pb.ControlEvent {
	return &pb.ControlEvent{Kind: &pb.ControlEvent_Tick{Tick: &pb.ControlTick{}}}
}

// processBatch processes an event and those queued behind it, and then publishes one view for all of them,
// since many members may change at once. A call of post returns only after the view that reflects its event
// has been published.
func (c *Control) processBatch(ctx context.Context, first queuedEvent) {
	replies := []reply{c.process(ctx, first)}
	for len(replies) < maxBatch {
		in, ok := c.nextQueued()
		if !ok {
			break
		}
		replies = append(replies, c.process(ctx, in))
	}
	if c.rebuildDue {
		c.rebuild()
	}
	c.setStatus()
	if c.processedTick > 0 {
		// Stored after the view, so that a reader that sees a recent tick also sees the pause that the tick
		// may have started.
		c.lastTick.Store(int64(c.processedTick))
	}
	for _, r := range replies {
		if r.done != nil {
			r.done <- r.response
		}
	}
}

// reply is the response to an event and the channel on which a call of post waits for it. The channel is nil
// if no call waits.
type reply struct {
	done     chan *pb.HeartbeatResponse
	response *pb.HeartbeatResponse
}

// nextQueued returns the next event without blocking.
func (c *Control) nextQueued() (queuedEvent, bool) {
	select {
	case in := <-c.queue:
		return in, true
	default:
		return queuedEvent{}, false
	}
}

// process runs one event through the machine and executes its decisions.
func (c *Control) process(ctx context.Context, in queuedEvent) reply {
	elapsed := time.Since(c.startedAt)
	in.event.OffsetUs = elapsed.Microseconds()
	decisions := c.machine.step(in.event)
	c.trace.record(in.event, decisions)
	r := reply{done: in.done}
	for _, decision := range decisions {
		if response := c.execute(ctx, decision); response != nil {
			r.response = response
		}
	}
	if in.event.GetTick() != nil {
		c.processedTick = elapsed
	}
	return r
}

func (c *Control) setStatus() {
	next := &status{leaveAcknowledged: c.machine.leaveAcknowledged, watchesStore: c.machine.watches()}
	next.ready, next.reason = c.machine.ready()
	next.readyForRoutes, next.routesReason = c.machine.readyForRoutes()
	next.counts = counts{machine: c.machine.stats, table: c.machine.table.Stats()}
	before := c.status.Load()
	if before != nil {
		next.members = before.members
	}
	if version := c.machine.table.Version(); before == nil || c.statusMembersVersion != version {
		next.members = c.machine.table.Members()
		c.statusMembersVersion = version
	}
	if before == nil || before.ready != next.ready || before.readyForRoutes != next.readyForRoutes || before.reason != next.reason {
		c.options.Logger.Info().Bool("ready", next.ready).Bool("ready_for_routes", next.readyForRoutes).Str("reason", next.reason).Msg("readiness")
	}
	c.status.Store(next)
}

// rebuild publishes a view of the machine's state. If only times and flags changed, the new view shares
// everything else with the previous one.
func (c *Control) rebuild() {
	m := c.machine
	published := m.published
	confirmedAt := c.clock(m.confirmedAt)
	before := c.current.Load()
	unchanged := before != nil && c.builtFrom.configuration == published.configuration &&
		c.builtFrom.membersVersion == published.membersVersion && c.builtFrom.ownsNothing == published.ownsNothing
	var next *view.View
	if unchanged {
		copied := *before
		copied.ConfirmedAt = confirmedAt
		copied.Paused = published.paused
		copied.Stopping = published.stopping
		next = &copied
	} else {
		direct := c.options.Settings.GetExperiment().GetDirectTargets()
		input := m.viewInput(confirmedAt, direct)
		for _, r := range m.replaced {
			input.Replaced = append(input.Replaced, view.Replaced{Revision: r.Revision, InForceAt: c.clock(r.InForceAt)})
		}
		next = view.Build(input, before)
		c.viewsBuilt.Add(1)
	}
	c.rebuildDue = false
	c.current.Store(next)
	c.logChange(before, next)
	if c.options.OnPublish != nil && c.builtFrom.configuration != published.configuration {
		c.options.OnPublish()
	}
	c.builtFrom = published
}

func (c *Control) logChange(before, next *view.View) {
	routes := next.Configuration.GetRouteTable()
	if before == nil || before.Revision() != next.Revision() || before.Configuration.GetRouteTable().GetRevision() != routes.GetRevision() {
		c.options.Logger.Info().Uint64("revision", next.Revision()).Uint64("routes_version", routes.GetVersion()).
			Uint64("routes_revision", routes.GetRevision()).Str("author", next.Configuration.GetAuthor()).Msg("configuration in force")
	}
	if before != nil && before.Paused != next.Paused {
		c.options.Logger.Info().Bool("paused", next.Paused).Msg("pause")
	}
}

// post queues an event for the control goroutine and waits until it is processed. It returns false if ctx
// ends or Serve returns before that.
func (c *Control) post(ctx context.Context, event *pb.ControlEvent) (*pb.HeartbeatResponse, bool) {
	in := queuedEvent{event: event, done: make(chan *pb.HeartbeatResponse, 1)}
	select {
	case c.queue <- in:
	case <-ctx.Done():
		return nil, false
	case <-c.stopped:
		return nil, false
	}
	select {
	case response := <-in.done:
		return response, true
	case <-ctx.Done():
		return nil, false
	case <-c.stopped:
		return nil, false
	}
}

// Heartbeat processes a heartbeat from another VM and returns the response.
func (c *Control) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) *pb.HeartbeatResponse {
	now := time.Now()
	c.mergeGossip(r.GetSender(), r, now)
	// The trace records the event without quarantine entries and target reports.
	stripped, _ := proto.Clone(r).(*pb.HeartbeatRequest)
	stripped.Quarantine, stripped.TargetReports, stripped.TargetAdvice, stripped.VersionEvidence = nil, nil, nil, nil
	stripped.ServicePressures = nil
	response, ok := c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatReceived{HeartbeatReceived: stripped}})
	if !ok || response == nil {
		return &pb.HeartbeatResponse{}
	}
	response, _ = proto.Clone(response).(*pb.HeartbeatResponse)
	gossip := c.gossipFor(r.GetSender().GetFailureDomain(), now)
	response.Quarantine, response.TargetReports, response.TargetAdvice = gossip.quarantine, gossip.reports, gossip.advice
	response.VersionEvidence = gossip.evidence
	response.ServicePressures = gossip.pressures
	c.traffic.count(response, r)
	return response
}
