// Package gateway serves callers of routes over plain HTTP: it reads a request,
// executes the decisions of package fanout on which targets it is sent to, and writes
// the answer.
//
// The state machine of a request is used by one goroutine at a time: the request's own,
// and after the answer one that waits for the remaining attempts. Attempts run in
// goroutines of their own. The route table is compiled after the view has changed, by
// Serve or by the first request that sees the change.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/pause"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/routing"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// lapsedShare is the part of the drain time for which a lapsed target is a last resort,
	// counted from when its registration was last known. The rest is left for requests that
	// are on their way.
	lapsedShare = 0.9
	// leavingShare is the part of the drain time for which a target that says that it leaves
	// is a last resort, counted from the first reply that said so. The rest is left for
	// other VMs to learn of it.
	leavingShare = 0.6
	// idleSweepInterval is the interval between sweeps that close expired idle
	// connections.
	idleSweepInterval = 500 * time.Millisecond
	// pauseThreshold is the time without an idle sweep after which this process counts as
	// having been paused. A few sweeps may be late on a busy processor.
	pauseThreshold = 4 * idleSweepInterval
)

// Client sends requests to targets; see backend.Client, which implements it.
type Client interface {
	// Go sends a request once and calls end once with the reply or an error.
	Go(ctx context.Context, t *backend.Target, r *backend.Request, timeLeft time.Duration, end func(*backend.Reply, error))
	// Retain closes the idle connections to all targets for which keep returns false.
	Retain(keep func(id string, started int64) bool)
	// CloseIdle closes the connections whose idle timeout has expired.
	CloseIdle(now time.Time)
}

// Announcer tells other VMs that contents are quarantined or on trial.
type Announcer interface {
	// Announce sends what is known of the contents to other VMs. It does not block.
	Announce(digests []uint64)
}

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Views  view.Source
	Client Client
	// Gatherers sends requests to other VMs that gather answers. If it is nil, this VM
	// gathers all answers by itself.
	Gatherers Client
	// Targets holds the health of the targets.
	Targets *health.Tracker
	// Advice holds what targets ask of their callers; nil uses a board of the gateway's own.
	Advice *advisory.Board
	// Admission decides which requests are sent under pressure; nil uses a controller of the
	// gateway's own.
	Admission *admission.Controller
	// Guard decides on requests that may crash targets; nil uses one of the gateway's own.
	Guard *quarantine.Guard
	// Rollouts holds the orders to move services to another version; nil if there are none.
	Rollouts *rollout.Board
	// Announcer tells other VMs what the guard finds; may be nil.
	Announcer Announcer
	// Allowances decides on the requests of organisations; nil refuses none.
	Allowances Allowances
	// Pauses detects pauses of this process; nil uses a detector of the gateway's own.
	Pauses   *pause.Detector
	Dialect  backend.Dialect
	Settings *pb.Settings
	Logger   zerolog.Logger
	Metrics  *metrics.Set
}

// Gateway serves routes. It is safe for concurrent use.
type Gateway struct {
	options     Options
	fanoutState *fanout.SharedState
	// delegationState is the state that delegated requests share.
	delegationState *fanout.SharedState
	log             *requestLogger
	settings        atomic.Pointer[pb.RouteSettings]
	running         atomic.Int64
	pauses          *pause.Detector
	// unreachable is true while this VM cannot serve some gathering route.
	unreachable atomic.Bool
	// stopBy is the Unix time in nanoseconds by which requests must have ended; zero
	// while no stop is planned.
	stopBy atomic.Int64

	mu           sync.Mutex
	compiler     *routing.Compiler
	delegates    *delegates
	compiledFrom *pb.Configuration
	compiled     atomic.Pointer[compiledTable]

	counters      counters
	organisations *organisationCounters
	admission     *admissionMetrics
	// changed signals that a new configuration must be compiled.
	changed chan struct{}
}

// New returns a Gateway that has not compiled a table yet.
func New(options Options) *Gateway {
	if options.Advice == nil {
		options.Advice = advisory.NewBoard()
	}
	if options.Admission == nil {
		options.Admission = admission.New()
	}
	if options.Guard == nil {
		options.Guard = quarantine.NewGuard(quarantine.New(quarantine.DefaultLimits()))
	}
	g := &Gateway{
		options:         options,
		fanoutState:     fanout.NewSharedState(options.Guard, options.Advice),
		delegationState: fanout.NewSharedState(nil, advisory.NewBoard()),
		delegates:       newDelegates(),
		log:             newRequestLogger(options.Logger, options.Settings.GetLog(), options.Metrics),
		counters:        newCounters(options.Metrics),
		organisations:   newOrganisationCounters(options.Metrics),
		admission:       newAdmissionMetrics(options.Metrics),
		changed:         make(chan struct{}, 1),
		pauses:          options.Pauses,
	}
	if g.pauses == nil {
		g.pauses = pause.NewDetector(pauseThreshold)
	}
	g.fanoutState.SetRollouts(options.Rollouts)
	drain := time.Duration(options.Settings.GetRoutes().GetDrainMs()) * time.Millisecond
	options.Advice.SetGrace(time.Duration(leavingShare * float64(drain)))
	self := options.Views.Current().Self
	location := routing.Location{VM: self.ID, FailureDomain: self.FailureDomain}
	g.compiler = routing.NewCompiler(options.Targets, location, time.Duration(lapsedShare*float64(drain)))
	options.Targets.Observe(g.log)
	g.fanoutState.SetAdmission(options.Admission)
	g.applySettings(options.Settings)
	options.Metrics.NewGauge("carawayreel_route_requests_running", func() float64 { return float64(g.running.Load()) })
	options.Metrics.NewGauge("carawayreel_route_targets_leaving", func() float64 { return float64(options.Advice.Counts(time.Now()).Leaving) })
	options.Metrics.NewGauge("carawayreel_route_targets_paused", func() float64 { return float64(options.Advice.Counts(time.Now()).Paused) })
	options.Metrics.NewGauge("carawayreel_route_targets_limited", func() float64 { return float64(options.Advice.Counts(time.Now()).Limited) })
	return g
}

// Notify signals that a new configuration is in effect. It does not block.
func (g *Gateway) Notify() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Serve compiles each configuration as soon as it is in effect, until the context ends.
// Requests compile it, too, but the connections to targets that have left must not stay
// open until the next request. Serve also closes connections whose idle timeout has
// expired.
func (g *Gateway) Serve(ctx context.Context) error {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	g.pauses.Start(time.Now())
	defer g.pauses.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.changed:
			g.table(time.Now())
		case <-ticker.C:
			now := time.Now()
			g.pauses.Tick(g.options.Views.Current(), now)
			g.options.Guard.Tick(now)
			g.options.Advice.Expire(now)
			g.admission.publish(g.options.Admission, now)
			g.reportFindings()
			g.options.Client.CloseIdle(now)
			if g.options.Gatherers != nil {
				g.options.Gatherers.CloseIdle(now)
			}
		}
	}
}

// Reload applies new settings.
func (g *Gateway) Reload(settings *pb.Settings) {
	g.applySettings(settings)
	g.compiled.Store(nil)
}

// Stop makes the gateway close each caller's connection after the next answer, and
// answer all requests by the given time.
func (g *Gateway) Stop(by time.Time) { g.stopBy.Store(by.UnixNano()) }

// ReachesTargets reports whether this VM reaches enough targets for all gathering routes. If
// not, callers should use VMs in other failure domains.
func (g *Gateway) ReachesTargets(now time.Time) bool {
	route := g.table(now).table.UnreachableRoute(now)
	if g.unreachable.Swap(route != "") != (route != "") {
		g.log.routeReachability(route)
	}
	return route == ""
}

// Running returns the number of requests that hold a place: those that have arrived whole and are not
// answered yet.
func (g *Gateway) Running() int64 { return g.running.Load() }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopBy.Load() != 0 || g.unreachable.Load() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	c := &call{gateway: g, writer: w, http: r, arrived: now, received: now}
	c.serve()
}

// paused reports whether a request received at the given time must not be sent to targets
// now, because this process was paused since and its configuration may be outdated.
func (g *Gateway) paused(received time.Time) bool {
	return g.pauses.Blocks(g.options.Views.Current(), received, time.Now())
}

// deadline returns the time by which a request must be answered.
func (g *Gateway) deadline(received time.Time, limit time.Duration) time.Time {
	deadline := received.Add(limit - min(deadlineMargin, limit/marginDivisor))
	if by := g.stopBy.Load(); by != 0 {
		if stop := time.Unix(0, by); stop.Before(deadline) {
			return stop
		}
	}
	return deadline
}

const (
	// deadlineMargin is subtracted from a caller's time limit, so that the answer
	// reaches the caller in time.
	deadlineMargin = 10 * time.Millisecond
	// marginDivisor bounds the margin of short limits to a tenth of the limit.
	marginDivisor = 10
	// lingerTime is how long attempts that are no longer needed may take to complete
	// before they are abandoned. A completed attempt leaves its connection reusable.
	// The time exceeds the usual pauses of targets.
	lingerTime = 250 * time.Millisecond
)

// detachedContext returns a context for attempts, which may outlive their request.
func detachedContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}
