// Package control owns the control state of a VM: the configuration in force,
// the members of the deployment and so the owner of each target.
//
// One goroutine owns the state. It drives a pure state machine: heartbeats,
// answers of peers and of the platform, operators' revisions and ticks go in as
// events, calls to make and views to publish come out as decisions. Traffic
// reads the published views without locks.
package control

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platform"
	"github.com/carawayreel/carawayreel/internal/view"
)

// ErrDenied is the cause of a Peers error when the other VM refused this one's
// authentication.
var ErrDenied = errors.New("authentication refused")

// Peers calls other VMs. Implementations are safe for concurrent use.
type Peers interface {
	Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)
	FetchConfiguration(ctx context.Context, address string, r *pb.FetchConfigurationRequest) (*pb.FetchConfigurationResponse, error)
	OfferConfiguration(ctx context.Context, address string, r *pb.OfferConfigurationRequest) (*pb.OfferConfigurationResponse, error)
}

// Quarantine exchanges news of quarantined request contents with other VMs.
// Implementations are safe for concurrent use.
type Quarantine interface {
	News(now time.Time) []*pb.QuarantineEntry
	Merge(entries []*pb.QuarantineEntry, now time.Time)
}

// Source is where configurations are read from. Implementations are safe for
// concurrent use.
type Source interface {
	// Watch waits until the configuration's version is above after, at most for
	// the given time. Known is the configuration in force.
	Watch(ctx context.Context, after uint64, wait time.Duration, known *pb.Configuration) (configstore.Reading, error)
}

// Targets exchanges news of slow and failing targets with the other VMs of the
// failure domain, which use the same targets.
// Implementations are safe for concurrent use.
type Targets interface {
	News(now time.Time) []*pb.TargetReport
	Merge(from string, reports []*pb.TargetReport, now time.Time)
}

// Options are what a Control works with.
type Options struct {
	Settings *pb.Settings
	// Self is this VM; its incarnation must be above that of any earlier process
	// of the same name.
	Self  view.VM
	Store platform.Store
	// Source is where configurations are read from; nil reads those that
	// operators wrote to Store through this product.
	Source     Source
	VMList     platform.VMList
	Peers      Peers
	Quarantine Quarantine // may be nil
	Targets    Targets    // may be nil
	// Published is called after a configuration was put in force; it must not
	// wait. It may be nil.
	Published func()
	Logger    zerolog.Logger
	// Trace receives events and decisions as JSON lines for replay; may be nil.
	Trace io.Writer
}

const (
	// maxBatch bounds the events that are taken before a view is published.
	maxBatch = 256
	// inboxLength bounds the events that wait for the control goroutine.
	inboxLength = 1024
	// ticksPerGap is the number of ticks in the shortest clock gap that must be
	// noticed.
	ticksPerGap = 5
	// offerTimeout bounds the handing of a revision to one VM.
	offerTimeout = time.Second
	// fetchTimeout bounds the reading of a revision from another VM.
	fetchTimeout = 2 * time.Second
)

// input is one event for the control goroutine.
type input struct {
	event *pb.ControlEvent
	// done receives the heartbeat's answer, or nil, once the event was taken.
	done chan *pb.HeartbeatResponse
}

// Control is the control state of one VM. All methods are safe for concurrent
// use; Serve runs once.
type Control struct {
	options Options
	config  config
	store   *configstore.Store
	source  Source
	// storeLost is true since a call to the store failed.
	storeLost atomic.Bool
	base      time.Time
	inbox     chan input
	// stopped is closed when Serve returned.
	stopped chan struct{}

	current  atomic.Pointer[view.View]
	status   atomic.Pointer[status]
	lastTick atomic.Int64
	traffic  traffic
	trace    *recorder
	machine  *machine
	// built is what the newest view was built from, and membersShown the version
	// of the members in the status.
	built      publication
	rebuildDue bool
	viewsBuilt atomic.Uint64
	// tickedAt is the time of the newest tick since the start.
	tickedAt     time.Duration
	membersShown uint64
}

// status is what others than the control goroutine read besides the view.
type status struct {
	ready    bool
	reason   string
	leftTold bool
	watches  bool
	members  []*pb.Member
	counts   counts
}

// New returns the Control of a VM. It fails with ErrSettings when the settings
// contradict one another.
func New(options Options) (*Control, error) {
	base := time.Now()
	header := headerOf(options, base)
	c := &Control{
		options: options,
		config:  configOf(header),
		store:   configstore.New(options.Store),
		base:    base,
		inbox:   make(chan input, inboxLength),
		stopped: make(chan struct{}),
		machine: newMachine(header),
		trace:   newRecorder(options.Trace, header, options.Logger),
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

func headerOf(options Options, base time.Time) *pb.ControlTraceHeader {
	return &pb.ControlTraceHeader{
		Self: &pb.Member{
			Vm:            options.Self.ID,
			FailureDomain: options.Self.FailureDomain,
			PeerAddress:   options.Self.PeerAddress,
			Incarnation:   options.Self.Incarnation,
			State:         pb.MemberState_MEMBER_STATE_ALIVE,
		},
		Platform:    options.Settings.GetPlatform(),
		Peers:       options.Settings.GetPeers(),
		Limits:      options.Settings.GetLimits(),
		Seed:        options.Self.Incarnation,
		StartUnixUs: base.UnixMicro(),
	}
}

// Current returns the newest view; it is never nil.
func (c *Control) Current() *view.View { return c.current.Load() }

// Running reports whether this VM may dispatch work now: it is not paused, and
// the control goroutine has run within the clock gap that must be noticed. A
// process that was frozen reports false from its first instruction on, before
// the control goroutine has run again.
func (c *Control) Running(now time.Time) bool {
	since := now.Sub(c.base) - time.Duration(c.lastTick.Load())
	return since <= c.config.clockGap && !c.Current().Paused
}

// Ready reports whether this VM can serve callers, and if not, why.
func (c *Control) Ready() (bool, string) {
	s := c.status.Load()
	return s.ready, s.reason
}

// WatchesStore reports whether this VM is one of those of its failure domain that
// follow the store.
func (c *Control) WatchesStore() bool { return c.status.Load().watches }

// Members returns what is believed of every VM. The caller must not change it.
func (c *Control) Members() []*pb.Member { return c.status.Load().members }

// Serve runs the control goroutine until the context ends.
func (c *Control) Serve(ctx context.Context) error {
	defer close(c.stopped)
	ticker := time.NewTicker(min(c.config.heartbeat, c.config.clockGap/ticksPerGap))
	defer ticker.Stop()
	c.takeAll(ctx, input{event: tickEvent()})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.takeAll(ctx, input{event: tickEvent()})
		case in := <-c.inbox:
			c.takeAll(ctx, in)
		}
	}
}

func tickEvent() *pb.ControlEvent {
	return &pb.ControlEvent{Kind: &pb.ControlEvent_Tick{Tick: &pb.ControlTick{}}}
}

// takeAll takes an event and those that wait behind it, and then publishes once
// for all of them: many members may change at once. Whoever posted an event goes
// on after the view with its effect.
func (c *Control) takeAll(ctx context.Context, first input) {
	taken := []reply{c.take(ctx, first)}
	for len(taken) < maxBatch {
		in, ok := c.waiting()
		if !ok {
			break
		}
		taken = append(taken, c.take(ctx, in))
	}
	if c.rebuildDue {
		c.rebuild()
	}
	c.setStatus()
	if c.tickedAt > 0 {
		// After the view, so that a reader that finds the tick fresh also finds
		// the pause that the tick may have begun.
		c.lastTick.Store(int64(c.tickedAt))
	}
	for _, r := range taken {
		if r.done != nil {
			r.done <- r.answer
		}
	}
}

// reply is what the poster of an event gets.
type reply struct {
	done   chan *pb.HeartbeatResponse
	answer *pb.HeartbeatResponse
}

// waiting returns the next event if there is one already.
func (c *Control) waiting() (input, bool) {
	select {
	case in := <-c.inbox:
		return in, true
	default:
		return input{}, false
	}
}

// take runs one event through the machine and carries its decisions out.
func (c *Control) take(ctx context.Context, in input) reply {
	elapsed := time.Since(c.base)
	in.event.OffsetUs = elapsed.Microseconds()
	decisions := c.machine.step(in.event)
	c.trace.record(in.event, decisions)
	r := reply{done: in.done}
	for _, decision := range decisions {
		if response := c.carryOut(ctx, decision); response != nil {
			r.answer = response
		}
	}
	if in.event.GetTick() != nil {
		c.tickedAt = elapsed
	}
	return r
}

func (c *Control) setStatus() {
	next := &status{leftTold: c.machine.leftTold, watches: c.machine.watches()}
	next.ready, next.reason = c.machine.ready()
	next.counts = counts{machine: c.machine.stats, table: c.machine.table.Stats()}
	before := c.status.Load()
	if before != nil {
		next.members = before.members
	}
	if version := c.machine.table.Version(); before == nil || c.membersShown != version {
		next.members = c.machine.table.Members()
		c.membersShown = version
	}
	if before == nil || before.ready != next.ready || before.reason != next.reason {
		c.options.Logger.Info().Bool("ready", next.ready).Str("reason", next.reason).Msg("readiness")
	}
	c.status.Store(next)
}

// rebuild publishes a view of the machine's state. A view that differs in times
// and switches only shares all else with the one before.
func (c *Control) rebuild() {
	m := c.machine
	published := m.published
	confirmedAt := c.base.Add(m.confirmedAt.Sub(m.start))
	before := c.current.Load()
	same := before != nil && c.built.configuration == published.configuration &&
		c.built.members == published.members && c.built.ownsNothing == published.ownsNothing
	var next *view.View
	if same {
		copied := *before
		copied.ConfirmedAt = confirmedAt
		copied.Paused = published.paused
		copied.Stopping = published.stopping
		next = &copied
	} else {
		direct := c.options.Settings.GetExperiment().GetDirectTargets()
		next = view.Build(m.input(confirmedAt, direct), before)
		c.viewsBuilt.Add(1)
	}
	c.rebuildDue = false
	c.current.Store(next)
	c.logChange(before, next)
	if c.options.Published != nil && c.built.configuration != published.configuration {
		c.options.Published()
	}
	c.built = published
}

func (c *Control) logChange(before, next *view.View) {
	if before == nil || before.Revision() != next.Revision() {
		c.options.Logger.Info().Uint64("revision", next.Revision()).Str("author", next.Configuration.GetAuthor()).Msg("configuration in force")
	}
	if before != nil && before.Paused != next.Paused {
		c.options.Logger.Info().Bool("paused", next.Paused).Msg("pause")
	}
}

// post hands an event to the control goroutine and waits until it was taken. It
// reports false when the context or the Control ended first.
func (c *Control) post(ctx context.Context, event *pb.ControlEvent) (*pb.HeartbeatResponse, bool) {
	in := input{event: event, done: make(chan *pb.HeartbeatResponse, 1)}
	select {
	case c.inbox <- in:
	case <-ctx.Done():
		return nil, false
	case <-c.stopped:
		return nil, false
	}
	select {
	case answer := <-in.done:
		return answer, true
	case <-ctx.Done():
		return nil, false
	case <-c.stopped:
		return nil, false
	}
}

// Heartbeat answers a heartbeat of another VM.
func (c *Control) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) *pb.HeartbeatResponse {
	now := time.Now()
	c.mergeNews(r.GetSender(), r.GetQuarantine(), r.GetTargetReports(), now)
	// The event is kept for the trace, where the news has no place.
	stripped, _ := proto.Clone(r).(*pb.HeartbeatRequest)
	stripped.Quarantine, stripped.TargetReports = nil, nil
	answer, ok := c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatReceived{HeartbeatReceived: stripped}})
	if !ok || answer == nil {
		return &pb.HeartbeatResponse{}
	}
	answer, _ = proto.Clone(answer).(*pb.HeartbeatResponse)
	answer.Quarantine, answer.TargetReports = c.news(r.GetSender().GetFailureDomain(), now)
	c.traffic.count(answer, r)
	return answer
}
