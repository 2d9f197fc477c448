// Package gateway serves callers of routes over plain HTTP: it reads a request,
// executes the decisions of package fanout on which targets it is sent to, and writes
// the answer.
//
// Each request has one goroutine, which alone uses the request's state machine;
// attempts run in goroutines of their own. The route table is compiled after the view
// has changed, by Serve or by the first request that sees the change.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// lapseShare is the part of the drain time for which a target may still get
	// requests after its registration ended without notice. A target that is gone must
	// get none after the drain time; the rest is left for the end of its registration
	// to become known.
	lapseShare = 0.6
	// idleSweepInterval is the interval between sweeps that close expired idle
	// connections.
	idleSweepInterval = 500 * time.Millisecond
	// unknownVMs is the number of VMs that are assumed to share the limits while the
	// other VMs are unknown.
	unknownVMs = 12
)

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Views  view.Source
	Client *backend.Client
	// Targets holds the health of the targets.
	Targets  *health.Board
	Dialect  backend.Dialect
	Settings *pb.Settings
	Logger   zerolog.Logger
	Metrics  *metrics.Set
}

// Gateway serves routes. It is safe for concurrent use.
type Gateway struct {
	options     Options
	fanoutState *fanout.SharedState
	journal     *journal
	settings    atomic.Pointer[pb.RouteSettings]
	running     atomic.Int64
	// unreachable is true while this VM cannot serve some gathering route.
	unreachable atomic.Bool
	// stopBy is the Unix time in nanoseconds by which requests must have ended; zero
	// while no stop is planned.
	stopBy atomic.Int64

	mu           sync.Mutex
	compiler     *routing.Compiler
	compiledFrom *pb.Configuration
	compiled     atomic.Pointer[compiled]

	counters counters
	// changed signals that a configuration is to be compiled.
	changed chan struct{}
}

// compiled is a table with the inputs it was compiled from.
type compiled struct {
	table      *routing.Table
	view       *view.View
	vms        int
	validUntil time.Time
}

// New returns a Gateway that has not compiled a table yet.
func New(options Options) *Gateway {
	g := &Gateway{
		options:     options,
		fanoutState: fanout.NewSharedState(),
		journal:     newJournal(options.Logger, options.Settings.GetLog(), options.Metrics),
		counters:    newCounters(options.Metrics),
		changed:     make(chan struct{}, 1),
	}
	lapse := time.Duration(float64(options.Settings.GetRoutes().GetDrainMs())*lapseShare) * time.Millisecond
	self := options.Views.Current().Self
	g.compiler = routing.NewCompiler(options.Targets, routing.Location{VM: self.ID, FailureDomain: self.FailureDomain}, lapse)
	options.Targets.Observe(g.journal)
	g.settings.Store(options.Settings.GetRoutes())
	options.Metrics.NewGauge("carawayreel_route_requests_running", func() float64 { return float64(g.running.Load()) })
	return g
}

// Notify signals that a new configuration is in force. It does not block.
func (g *Gateway) Notify() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Serve compiles each configuration as soon as it is in force, until the context ends.
// Requests would compile it, too, but the time since a registration ended without
// notice counts from its compilation, also on a VM that gets no requests for a while.
func (g *Gateway) Serve(ctx context.Context) error {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.changed:
			g.table(time.Now())
		case now := <-ticker.C:
			g.options.Client.CloseIdle(now)
		}
	}
}

// Reload applies new settings.
func (g *Gateway) Reload(settings *pb.Settings) {
	g.settings.Store(settings.GetRoutes())
	g.compiled.Store(nil)
}

// Stop makes answers close their connections, and makes requests end by the given
// time.
func (g *Gateway) Stop(by time.Time) { g.stopBy.Store(by.UnixNano()) }

// Reaches reports whether this VM reaches enough targets for all gathering routes. If
// not, VMs elsewhere should serve its callers.
func (g *Gateway) Reaches(now time.Time) bool {
	route := g.table(now).table.UnreachableRoute(now)
	if g.unreachable.Swap(route != "") != (route != "") {
		g.journal.reach(route)
	}
	return route == ""
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// table returns the compiled table of the current view.
func (g *Gateway) table(now time.Time) *compiled {
	current := g.options.Views.Current()
	cached := g.compiled.Load()
	if cached != nil && cached.view == current && (cached.validUntil.IsZero() || now.Before(cached.validUntil)) {
		return cached
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	vms := sharers(current)
	if cached = g.compiled.Load(); cached != nil && cached.table.Revision == current.Revision() &&
		g.compiledFrom == current.Configuration && cached.vms == vms && (cached.validUntil.IsZero() || now.Before(cached.validUntil)) {
		next := &compiled{table: cached.table, view: current, vms: vms, validUntil: cached.validUntil}
		g.compiled.Store(next)
		return next
	}
	table := g.compiler.Compile(current.Configuration, vms, now)
	next := &compiled{table: table, view: current, vms: vms, validUntil: g.compiler.NextChange()}
	g.compiledFrom = current.Configuration
	g.compiled.Store(next)
	g.fanoutState.SetLimits(limitsOf(g.settings.Load(), vms))
	g.fanoutState.Retain(table)
	g.options.Client.Retain(table.HasTarget)
	g.journal.table(table, vms, current.ConfigurationAge(now))
	return next
}

func limitsOf(settings *pb.RouteSettings, vms int) fanout.Limits {
	return fanout.Limits{
		Share:  settings.GetExtraLoadShare(),
		Slack:  settings.GetExtraLoadSlack() / float64(vms),
		Window: time.Duration(settings.GetExtraLoadWindowMs()) * time.Millisecond,
	}
}

// sharers returns the number of VMs that share the limits.
func sharers(v *view.View) int {
	vms := v.Sharers()
	if v.Paused {
		return max(vms, unknownVMs)
	}
	return max(vms, 1)
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.stopBy.Load() != 0 || g.unreachable.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gateway: g, writer: w, http: r, received: time.Now()}
	c.serve()
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
	// deadlineMargin is subtracted from a caller's time limit for the way back.
	deadlineMargin = 10 * time.Millisecond
	// marginDivisor bounds the margin of short limits to a tenth of the limit.
	marginDivisor = 10
	// lingerTime is how long attempts that are no longer needed may still end by
	// themselves, so that their connections can be reused. It exceeds the usual pauses
	// of targets.
	lingerTime = 250 * time.Millisecond
)

// detached returns a context for attempts, which may outlive their request.
func detached() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}
