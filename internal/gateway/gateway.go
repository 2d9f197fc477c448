// Package gateway serves callers of routes over plain HTTP: it reads a request,
// has package fanout decide which targets it is sent to, carries the decisions
// out and writes the answer.
//
// Each request has one goroutine, which alone uses the request's machine, and
// one for each attempt. The table of routes is compiled when the view changed, by
// Serve or by the first request that finds it so.
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
	// lapseShare is the part of the time in which a target has to get no more
	// requests after it is gone, for which one that gave no notice may still get
	// some. The rest is for the news of its end.
	lapseShare = 0.6
	// idleSweep is the time between two looks for connections that were unused for
	// their time.
	idleSweep = 500 * time.Millisecond
	// unknownVMs is the number of VMs that limits are shared by while the others
	// are not known.
	unknownVMs = 12
)

// Options are what a Gateway works with.
type Options struct {
	Views  view.Source
	Client *backend.Client
	// Targets holds what is known of targets.
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
	// unreachable is true while a route cannot be served from here.
	unreachable atomic.Bool
	// stopBy is when requests must have ended, in Unix nanoseconds; zero while no
	// stop is planned.
	stopBy atomic.Int64

	mu       sync.Mutex
	compiler *routing.Compiler
	from     *pb.Configuration
	compiled atomic.Pointer[compiled]

	counters counters
	// changed holds an element when a configuration waits to be compiled.
	changed chan struct{}
}

// compiled is a table with what it was made from.
type compiled struct {
	table *routing.Table
	view  *view.View
	vms   int
	until time.Time
}

// New returns a Gateway.
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
	g.compiler = routing.NewCompiler(options.Targets, routing.Place{VM: self.ID, FailureDomain: self.FailureDomain}, lapse)
	options.Targets.Observe(g.journal)
	g.settings.Store(options.Settings.GetRoutes())
	options.Metrics.NewGauge("carawayreel_route_requests_running", func() float64 { return float64(g.running.Load()) })
	return g
}

// Notify tells that a configuration was put in force. It does not wait.
func (g *Gateway) Notify() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Serve compiles each configuration when it is put in force, until the context
// ends. Requests would do so too, but a VM that gets none for a while has to
// count from now on the time that a target whose registration ended has left.
func (g *Gateway) Serve(ctx context.Context) error {
	ticker := time.NewTicker(idleSweep)
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

// Reload puts new limits in force.
func (g *Gateway) Reload(settings *pb.Settings) {
	g.settings.Store(settings.GetRoutes())
	g.compiled.Store(nil)
}

// Stop makes answers close their connections, and requests end by the given
// time.
func (g *Gateway) Stop(by time.Time) { g.stopBy.Store(by.UnixNano()) }

// Reaches reports whether this VM reaches enough targets for all gathering routes.
// One that is cut off from them leaves callers to VMs elsewhere.
func (g *Gateway) Reaches(now time.Time) bool {
	route := g.table(now).table.Unreachable(now)
	if g.unreachable.Swap(route != "") != (route != "") {
		g.journal.reach(route)
	}
	return route == ""
}

// Running returns the number of requests that are being served.
func (g *Gateway) Running() int64 { return g.running.Load() }

// table returns the table of the newest view.
func (g *Gateway) table(now time.Time) *compiled {
	current := g.options.Views.Current()
	known := g.compiled.Load()
	if known != nil && known.view == current && (known.until.IsZero() || now.Before(known.until)) {
		return known
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	vms := sharers(current)
	if known = g.compiled.Load(); known != nil && known.table.Revision == current.Revision() &&
		g.from == current.Configuration && known.vms == vms && (known.until.IsZero() || now.Before(known.until)) {
		next := &compiled{table: known.table, view: current, vms: vms, until: known.until}
		g.compiled.Store(next)
		return next
	}
	table := g.compiler.Compile(current.Configuration, vms, now)
	next := &compiled{table: table, view: current, vms: vms, until: g.compiler.NextChange()}
	g.from = current.Configuration
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

// sharers returns the number of VMs that limits are shared by.
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

// deadline returns when a request must have been answered.
func (g *Gateway) deadline(received time.Time, limit time.Duration) time.Time {
	deadline := received.Add(limit - min(deadlineMargin, limit/marginShare))
	if by := g.stopBy.Load(); by != 0 {
		if stop := time.Unix(0, by); stop.Before(deadline) {
			return stop
		}
	}
	return deadline
}

const (
	// deadlineMargin is kept from a caller's time limit for the way back.
	deadlineMargin = 10 * time.Millisecond
	// marginShare bounds the margin of short limits to a part of them.
	marginShare = 10
	// linger is how long attempts that lost against another one may still end,
	// so that their connections can be used again. It is above the usual pauses
	// of targets.
	linger = 250 * time.Millisecond
)

// detached returns a context for attempts, which may outlive their request.
func detached() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}
