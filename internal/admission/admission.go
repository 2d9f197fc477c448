// Package admission decides which requests are sent while the targets of a service have too
// little capacity. It learns the pressure of each service from replies and rejections, and
// admits, delays or refuses requests by rank, so that what is not served costs callers least.
//
// The package reads no clock and does no I/O. A Controller is safe for concurrent use.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// delayGoalShare is the longest delay of a request, as a share of its response-time goal.
	delayGoalShare = 0.1
	// maxDelay bounds the delay of requests: two control steps show whether pressure falls.
	maxDelay = 2 * stepInterval
	// delayReserve is the time that must be left after a delay, in expected reply times.
	delayReserve = 3
	// minRetryAfter and maxRetryAfter bound the retry delay that callers are told. Beyond the
	// longest, the pressure cannot be predicted.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retrySpread is the part of the retry delay over which callers are spread, so that those
	// who were refused together do not return together.
	retrySpread = 0.5
	// goldenRatio generates an evenly spread sequence of numbers from 0 to 1.
	goldenRatio = 0.6180339887498949
	// maxServices and maxRoutes bound the state. Routes and services beyond them are admitted.
	maxServices = 1024
	maxRoutes   = 1024
)

// Request describes a request for a decision.
type Request struct {
	Route string
	// Organisation is the name of the caller's organisation; empty if there is none.
	Organisation string
	// Priority is the priority, of which 0 is the highest.
	Priority uint32
	// Services are the services that the request needs, a unit of work at each.
	Services []string
	// Spare is the number of services that the answer can lack.
	Spare int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Goal is the response-time goal; zero if there is none.
	Goal time.Duration
	// GoalLeft is the time until the goal; negative if it has passed.
	GoalLeft time.Duration
	// Delayed is the reason of an earlier delay; empty if the request was not delayed yet.
	Delayed Reason
}

// Verdict states what is to be done with a request.
type Verdict int

const (
	// Admit means that the request is sent now.
	Admit Verdict = iota
	// Delay means that the request is decided on again after Decision.Wait.
	Delay
	// Refuse means that the request is not sent.
	Refuse
)

// Reason states why a request is refused. It is a label of metrics.
type Reason string

const (
	// Pressure means that the capacity goes to requests of a higher rank.
	Pressure Reason = "pressure"
	// Rush means that the request exceeds the usual load of its organisation.
	Rush Reason = "rush"
	// Delegated means that a gatherer refused the request, for one of the other reasons.
	Delegated Reason = "delegated"
	// Late means that the request cannot end in time.
	Late Reason = "late"
)

// Decision is the decision on one request.
type Decision struct {
	Verdict Verdict
	// Wait is the length of a delay.
	Wait time.Duration
	// RetryAfter is when a request of this rank is expected to be admitted; set for Refuse.
	RetryAfter time.Duration
	// Reason is set for Delay and Refuse.
	Reason Reason
	// Service is the service, or the group of services, whose pressure decided, and Pressure its pressure, which is the
	// share of the work that has to be shed.
	Service  string
	Pressure float64
	// PressureAge is the time since a reply last contributed to the pressure.
	PressureAge time.Duration
}

// Controller holds what one VM knows of the load of services.
type Controller struct {
	enabled atomic.Bool

	mu            sync.Mutex
	services      map[string]*service
	routes        map[string]*route
	organisations map[string]*organisation
	refusals      uint64
}

// New returns a Controller that admits all requests until it is enabled.
func New() *Controller {
	return &Controller{services: map[string]*service{}, routes: map[string]*route{}, organisations: map[string]*organisation{}}
}

// SetEnabled turns admission control on or off. What was learned is dropped when it is off.
func (c *Controller) SetEnabled(enabled bool) {
	if c.enabled.Swap(enabled) == enabled || enabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services, c.routes, c.organisations = map[string]*service{}, map[string]*route{}, map[string]*organisation{}
}

// Enabled reports whether admission control is on. A nil Controller is off.
func (c *Controller) Enabled() bool { return c != nil && c.enabled.Load() }

// Decide decides on a request that has not been sent yet.
func (c *Controller) Decide(r Request, now time.Time) Decision {
	if !c.Enabled() {
		return Decision{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rt := c.route(r.Route)
	if rt == nil {
		return Decision{}
	}
	first := r.Delayed == ""
	s, pressure := c.decisive(r, rt, now)
	if s == nil {
		return Decision{}
	}
	k := rankOf(r, rt, now)
	if r.Delayed == Rush || first && c.rushing(r.Organisation, now) {
		k = rushRank
	}
	if first {
		for _, name := range r.Services {
			if other := c.service(name, now); other != nil {
				other.demand.add(k, rt.work(), now)
			}
		}
		if g, ok := c.services[rt.group]; ok {
			g.demand.add(k, rt.work(), now)
		}
	}
	decision := Decision{Service: s.name, Pressure: pressure, PressureAge: s.age(now)}
	if pressure < minPressure {
		return decision
	}
	if expected := rt.expected(now); r.TimeLeft < expected {
		return c.refuse(decision, s, k, Late, now)
	}
	if s.admits(k, pressure, first, now) {
		return decision
	}
	decision.Reason = Pressure
	if k == rushRank {
		decision.Reason = Rush
	}
	wait := min(maxDelay, time.Duration(delayGoalShare*float64(r.Goal)))
	if r.Goal == 0 {
		wait = maxDelay
	}
	if first && r.TimeLeft > wait+delayReserve*rt.expected(now) {
		decision.Verdict, decision.Wait = Delay, wait
		return decision
	}
	return c.refuse(decision, s, k, decision.Reason, now)
}

// refuse completes a decision to refuse a request of a rank. c.mu must be held.
func (c *Controller) refuse(d Decision, s *service, k rank, reason Reason, now time.Time) Decision {
	c.refusals++
	_, spread := math.Modf(float64(c.refusals) * goldenRatio)
	wait := float64(s.admittedIn(k, d.Pressure, now)) * (1 + retrySpread*spread)
	d.Verdict, d.Reason = Refuse, reason
	d.RetryAfter = min(max(time.Duration(wait), minRetryAfter), maxRetryAfter)
	return d
}
