package gateway

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/routing"
	"github.com/carawayreel/carawayreel/internal/view"
)

// compiledTable is a table with the inputs that it was compiled from.
type compiledTable struct {
	table     *routing.Table
	view      *view.View
	vms       int
	gatherers int
	// gathers is true if this VM is one of the gatherers.
	gathers    bool
	validUntil time.Time
	// sharers are the VMs that share the limits of targets, and shardSharers those that share
	// the limits of the targets of shards.
	sharers, shardSharers *advisory.Sharers
	// delegated holds, for each route whose requests this VM delegates, the route on which
	// it does so.
	delegated map[*routing.Route]*routing.Route
	// relays holds the VMs that relay to targets in other failure domains, by domain.
	relays map[string][]*routing.Target
}

// table returns the compiled table of the current view.
func (g *Gateway) table(now time.Time) *compiledTable {
	current := g.options.Views.Current()
	cached := g.compiled.Load()
	if cached != nil && cached.view == current && (cached.validUntil.IsZero() || now.Before(cached.validUntil)) {
		return cached
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Rollouts.Confirm(current.ConfirmedAt)
	next := &compiledTable{view: current, vms: sharingVMs(current)}
	gatherers := g.gatherers(current)
	next.gatherers, next.gathers = len(gatherers), containsVM(gatherers, current.Self.ID)
	next.setSharers(current, gatherers)
	cached = g.compiled.Load()
	if cached.fits(next, g.compiledFrom, now) {
		next.table, next.validUntil = cached.table, cached.validUntil
	} else {
		g.compile(next, now)
	}
	next.delegated = g.delegates.compile(current, next.table, gatherers)
	next.relays = g.delegates.relays(current.Self, gatherers)
	if g.options.Gatherers != nil {
		g.options.Gatherers.Retain(g.delegates.has)
	}
	g.compiled.Store(next)
	return next
}

// CallerLimits returns the limits of the configuration in force; nil if there is none.
func (g *Gateway) CallerLimits() *pb.CallerLimits { return g.table(time.Now()).table.Limits }

// setSharers sets the VMs that share the limits of targets. Nearly all requests to shards are
// the gatherers', where there are any.
func (c *compiledTable) setSharers(v *view.View, gatherers []view.VM) {
	var ids []string
	for vm := range v.VMs {
		if vm.CanOwn() {
			ids = append(ids, vm.ID)
		}
	}
	c.sharers = advisory.NewSharers(v.Self.ID, ids, c.vms)
	c.shardSharers = c.sharers
	if len(gatherers) > 0 {
		ids = ids[:0]
		for _, vm := range gatherers {
			ids = append(ids, vm.ID)
		}
		c.shardSharers = advisory.NewSharers(v.Self.ID, ids, 0)
	}
}

// sharersOf returns the VMs that share the limits of the targets of a route.
func (c *compiledTable) sharersOf(r *routing.Route) *advisory.Sharers {
	if r.Gathers() {
		return c.shardSharers
	}
	return c.sharers
}

// fits reports whether the table may be used for next, if it was compiled from the given
// configuration.
func (c *compiledTable) fits(next *compiledTable, from *pb.Configuration, now time.Time) bool {
	return c != nil && c.table.Revision == next.view.Revision() && from == next.view.Configuration &&
		c.vms == next.vms && c.gatherers == next.gatherers && c.gathers == next.gathers && (c.validUntil.IsZero() || now.Before(c.validUntil))
}

// gatherers returns the VMs that gather answers for others. There are none while the
// members are not confirmed: VMs that know only some of the gatherers would together take
// more than the slack of extra requests and the connections of targets.
func (g *Gateway) gatherers(v *view.View) []view.VM {
	if g.options.Gatherers == nil || v.Paused {
		return nil
	}
	return delegation.Gatherers(v)
}

// compile compiles the table of the view and applies it. g.mu must be held.
func (g *Gateway) compile(next *compiledTable, now time.Time) {
	current := next.view
	g.compiler.SetGatherers(0)
	if next.gathers {
		g.compiler.SetGatherers(next.gatherers)
	}
	replacedAt := current.LastInForce(g.compiledFrom.GetRevision())
	next.table = g.compiler.Compile(current.Configuration, next.vms, replacedAt, now)
	next.validUntil = g.compiler.NextChange()
	g.options.Rollouts.Apply(current.Configuration.GetRollouts(), next.vms, now)
	g.compiledFrom = current.Configuration
	g.fanoutState.SetLimits(next.limits(g.settings.Load()))
	g.fanoutState.Retain(next.table)
	g.delegationState.SetLimits(next.limits(g.settings.Load()))
	g.delegationState.Retain(next.table)
	g.options.Admission.Retain(next.table.HasService, next.table.HasRoute, now)
	g.options.Client.Retain(next.table.HasTarget)
	g.log.newTable(next, current.ConfigurationAge(now))
}

// gatherersSlackShare is the gatherers' part of the slack of extra requests: nearly all
// requests to shards are theirs.
const gatherersSlackShare = 0.7

// limits returns this VM's limits of extra requests.
func (c *compiledTable) limits(settings *pb.RouteSettings) fanout.Limits {
	slack := settings.GetExtraLoadSlack() / float64(c.vms)
	if c.gatherers > 0 {
		slack *= 1 - gatherersSlackShare
	}
	if c.gathers {
		slack += settings.GetExtraLoadSlack() * gatherersSlackShare / float64(c.gatherers)
	}
	return fanout.Limits{
		Share:  settings.GetExtraLoadShare(),
		Slack:  slack,
		Window: time.Duration(settings.GetExtraLoadWindowMs()) * time.Millisecond,
	}
}

// minAssumedVMs is the minimum number of VMs that are assumed to share the limits while it
// is not known which other VMs run.
const minAssumedVMs = 12

// sharingVMs returns the number of VMs that share the limits, at least 1.
func sharingVMs(v *view.View) int {
	vms := v.ActiveVMCount()
	if v.Paused {
		return max(vms, minAssumedVMs)
	}
	return max(vms, 1)
}
