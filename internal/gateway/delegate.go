package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// gathererConnections bounds the connections of one VM to a gatherer.
	gathererConnections = 16
	// gathererSlots is the number of requests that a gatherer is expected to gather
	// concurrently without delay.
	gathererSlots = 8
	// delegationDivisor bounds the time that a gatherer may take to this part (1/n) of the
	// request's time limit. The rest is left for the caller to try another VM: the request
	// may have run and is not sent again by this one.
	delegationDivisor = 2
	// delegationMargin is the time that an answer takes from the gatherer through the
	// delegating VM.
	delegationMargin = 10 * time.Millisecond
)

// delegates holds the routes on which requests are delegated to gatherers. The gateway's
// mutex guards it.
type delegates struct {
	tracker *health.Tracker
	// states holds the health of each gatherer by its ID.
	states map[string]gathererState
}

type gathererState struct {
	incarnation uint64
	health      *health.State
}

func newDelegates() *delegates {
	return &delegates{tracker: health.NewTracker(), states: map[string]gathererState{}}
}

// compile returns the delegated route of each gathering route, or nil if this VM gathers
// by itself.
func (d *delegates) compile(v *view.View, table *routing.Table, gatherers []view.VM) map[*routing.Route]*routing.Route {
	d.retain(gatherers)
	compiled := map[*routing.Route]*routing.Route{}
	location := routing.Location{VM: v.Self.ID, FailureDomain: v.Self.FailureDomain}
	for route := range table.GatheringRoutes {
		next := delegation.NextTo(route, gatherers)
		if len(next) == 0 || containsVM(next, v.Self.ID) {
			continue
		}
		targets := make([]*routing.Target, 0, len(next))
		for _, vm := range next {
			targets = append(targets, d.target(vm))
		}
		compiled[route] = route.Delegated(location, targets)
	}
	return compiled
}

func (d *delegates) target(vm view.VM) *routing.Target {
	state, ok := d.states[vm.ID]
	if !ok || state.incarnation != vm.Incarnation {
		state = gathererState{incarnation: vm.Incarnation, health: d.tracker.Start(vm.ID, vm.FailureDomain)}
		d.states[vm.ID] = state
	}
	return &routing.Target{
		Target: backend.Target{
			ID: vm.ID, Started: int64(vm.Incarnation), Address: vm.GatherAddress(), Connections: gathererConnections,
		},
		FailureDomain: vm.FailureDomain, Slots: gathererSlots, Health: state.health,
	}
}

// relays returns the VMs that relay to the targets in their failure domains, without those
// in the domain of the given VM.
func (d *delegates) relays(self view.VM, gatherers []view.VM) map[string][]*routing.Target {
	relays := map[string][]*routing.Target{}
	for _, vm := range gatherers {
		if vm.FailureDomain != self.FailureDomain {
			relays[vm.FailureDomain] = append(relays[vm.FailureDomain], d.target(vm))
		}
	}
	for _, targets := range relays {
		routing.Location{VM: self.ID, FailureDomain: self.FailureDomain}.SortByPreference(targets)
	}
	return relays
}

// has reports whether the VM with the incarnation is a gatherer.
func (d *delegates) has(id string, incarnation int64) bool {
	state, ok := d.states[id]
	return ok && int64(state.incarnation) == incarnation
}

// retain drops the state of VMs that are no gatherers any more.
func (d *delegates) retain(gatherers []view.VM) {
	for id := range d.states {
		if !containsVM(gatherers, id) {
			d.tracker.Forget(id)
			delete(d.states, id)
		}
	}
}

func containsVM(vms []view.VM, id string) bool {
	return slices.ContainsFunc(vms, func(vm view.VM) bool { return vm.ID == id })
}

// runDelegated passes the request on to a gatherer and reports whether the caller has been
// answered. If not, no gatherer has run the request.
func (c *call) runDelegated() bool {
	route := c.compiled.delegated[c.route]
	if route == nil || c.delegated {
		return false
	}
	c.memory().Take(c.cloneBytes())
	request := c.request.Clone()
	delegation.Request{
		RouteVersion: c.compiled.table.Version, Elapsed: time.Since(c.received), Authenticated: c.requiresKeys(),
	}.SetHeaders(request.Header)
	limit := c.timeLimit() / delegationDivisor
	r := c.newRun(runOptions{
		client: c.gateway.options.Gatherers, state: c.gateway.delegationState, request: request,
		input: fanout.Input{
			Route: route, Legs: []*routing.Service{route.WeightedServices[0].Service},
			Received: c.received, Deadline: c.gateway.deadline(c.arrived, limit),
			Priority: c.priority(),
		},
	})
	answer := r.runMachine()
	if answer != nil && answer.Outcome == fanout.NotRun && answer.Refusal == nil && time.Since(c.received) < limit {
		c.gateway.counters.undelegated.Inc()
		c.gateway.log.undelegated(c, &r.trace, answer.Cause)
		r.cancel()
		return false
	}
	c.gateway.counters.delegated.Inc()
	r.conclude(answer)
	return true
}

// GatherHandler serves the requests that other VMs delegate to this one, and relays their
// batches.
func (g *Gateway) GatherHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stated, ok := delegation.TakeRequest(r.Header)
		if !ok {
			http.Error(w, "the request is not a delegated one", http.StatusBadRequest)
			return
		}
		delegation.SetAnswerHeaders(w.Header(), g.options.Dialect.RequestID(r.Header))
		if g.stopBy.Load() != 0 {
			w.Header().Set("Connection", "close")
		}
		now := time.Now()
		c := &call{
			gateway: g, writer: w, http: r, arrived: now, received: now.Add(-stated.Elapsed - delegationMargin), delegated: true,
		}
		if len(stated.Targets) > 0 {
			c.relay = &stated
		}
		table := g.table(now).table
		if table.Version != stated.RouteVersion || !stated.Authenticated && !table.Organisations.Empty() {
			g.counters.otherVersion.Inc()
			w.WriteHeader(http.StatusConflict)
			return
		}
		c.serve()
	})
}
