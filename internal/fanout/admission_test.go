package fanout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	loadShards, loadVMs = 8, 3
	troubleFrom         = 6 * time.Second
	pressureInterval    = 300 * time.Millisecond
	linger              = 250 * time.Millisecond
)

// loadRoute is a route with its requests a second in calm, and the worth of an answer.
type loadRoute struct {
	name              string
	gathers           bool
	work, goal, limit time.Duration
	priority          uint32
	rate              float64
	worth, lateWorth  float64
}

var loadRoutes = []loadRoute{
	{"quote-history", true, 15 * time.Millisecond, 150 * time.Millisecond, 1200 * time.Millisecond, 1, 130, 1.8, 0.09},
	{"phone-price", true, 5 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond, 0, 150, 1.7, 0.07},
	{"drawing-fetch", false, 120 * time.Millisecond, time.Second, 5 * time.Second, 2, 8, 0.45, 0.07},
}

// load is a load of section 3 of the requirements. Factor multiplies the rate of a route's
// requests of an organisation at a time.
type load struct {
	name    string
	length  time.Duration
	factor  func(route, organisation int, at time.Duration) float64
	slow    func(target string, at time.Duration) float64
	repeats bool
}

func during(at, length time.Duration) bool { return at >= troubleFrom && at < troubleFrom+length }

func loads() []load {
	flat := func(int, int, time.Duration) float64 { return 1 }
	even := func(string, time.Duration) float64 { return 1 }
	times := func(n float64, length time.Duration, when func(route, organisation int) bool) func(int, int, time.Duration) float64 {
		return func(route, organisation int, at time.Duration) float64 {
			if during(at, length) && when(route, organisation) {
				return n
			}
			return 1
		}
	}
	all := func(int, int) bool { return true }
	cut := func(_, _ int, at time.Duration) float64 {
		switch {
		case during(at, 3*time.Second):
			return 0
		case at >= troubleFrom+3*time.Second && at < troubleFrom+4*time.Second:
			return 4
		}
		return 1
	}
	return []load{
		{"calm", 16 * time.Second, flat, even, false},
		{"rush of one organisation", 20 * time.Second, times(7.5, 8*time.Second, func(_, o int) bool { return o == 0 }), even, false},
		{"rush of the least urgent route", 20 * time.Second, times(12, 8*time.Second, func(r, _ int) bool { return r == 2 }), even, false},
		{"an eighth of all targets slow", 20 * time.Second, flat, func(target string, at time.Duration) float64 {
			if during(at, 8*time.Second) && (target == "s1-a" || target == "s4-b" || target == "s6-c") {
				return 8
			}
			return 1
		}, false},
		{"callers repeat at once", 20 * time.Second, times(2.2, 8*time.Second, all), even, true},
		{"too little capacity for a minute", 72 * time.Second, flat, func(_ string, at time.Duration) float64 {
			if during(at, time.Minute) {
				return 3
			}
			return 1
		}, false},
		{"all callers back after a cut", 16 * time.Second, cut, even, false},
	}
}

// tally counts the requests of a route, or of an organisation.
type tally struct {
	requests, inTime, late, refused int
	worth                           float64
}

// loadSimulation runs a load against targets that have slots, a queue and rejections.
type loadSimulation struct {
	*simulation
	seed    uint64
	load    load
	queues  map[string]*targetQueue
	vms     []loadVM
	tallies [3]tally
	// organisations counts the requests of each organisation, over all routes.
	organisations [5]tally
}

type loadVM struct {
	shared    *fanout.SharedState
	admission *admission.Controller
	routes    []*routing.Route
}

// targetQueue is a target that serves requests in the order of their arrival.
type targetQueue struct {
	free    [2]time.Time
	waiting []time.Time
}

const targetQueueLimit = 20

func (q *targetQueue) serve(now time.Time, work time.Duration) (time.Duration, bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(starts time.Time) bool { return !starts.After(now) })
	if len(q.waiting) >= targetQueueLimit {
		return 0, false
	}
	slot := 0
	if q.free[1].Before(q.free[0]) {
		slot = 1
	}
	starts := now
	if q.free[slot].After(now) {
		starts = q.free[slot]
		q.waiting = append(q.waiting, starts)
	}
	q.free[slot] = starts.Add(work)
	return q.free[slot].Sub(now), true
}

func newLoadSimulation(seed uint64, l load, enabled bool) *loadSimulation {
	s := &loadSimulation{simulation: newSimulation(seed, nil), seed: seed, load: l, queues: map[string]*targetQueue{}}
	for range loadVMs {
		vm := loadVM{shared: fanout.NewSharedState(nil, advisory.NewBoard()), admission: admission.New()}
		vm.admission.SetEnabled(enabled)
		vm.shared.SetAdmission(vm.admission)
		vm.shared.SetLimits(fanout.Limits{Share: 0.2, Slack: 50.0 / loadVMs, Window: 10 * time.Second})
		shards := services(loadShards)
		for _, shard := range shards {
			for _, t := range shard.Targets {
				t.Health = health.New()
				s.queues[t.ID] = &targetQueue{}
			}
		}
		for _, r := range loadRoutes {
			route := &routing.Route{
				Route:     &pb.Route{Name: r.name, Idempotent: r.gathers, LeastCoverage: 0.75, Priority: r.priority},
				TimeLimit: r.limit, Goal: r.goal, MaxTargets: 2,
			}
			if r.gathers {
				route.Shards = shards
			} else {
				route.WeightedServices = []routing.WeightedService{{Service: shards[0], Weight: 1}, {Service: shards[1], Weight: 1}}
			}
			vm.routes = append(vm.routes, route)
		}
		s.vms = append(s.vms, vm)
	}
	return s
}

// run runs the load and returns the simulation.
func (s *loadSimulation) run() *loadSimulation {
	for route := range loadRoutes {
		for organisation := range s.organisations {
			s.arrive(route, organisation, rand.New(rand.NewPCG(s.seed, uint64(route*len(s.organisations)+organisation+2))))
		}
	}
	var exchange func()
	exchange = func() {
		for i, from := range s.vms {
			for j, to := range s.vms {
				if i != j {
					to.admission.Merge(fmt.Sprint(i), from.admission.Updates(s.now), s.now)
				}
			}
		}
		if s.now.Sub(start) < s.load.length {
			s.after(pressureInterval, exchange)
		}
	}
	s.after(pressureInterval, exchange)
	s.runEvents()
	return s
}

// arrive schedules the requests of an organisation on a route, as a Poisson process.
func (s *loadSimulation) arrive(route, organisation int, random *rand.Rand) {
	const finest = 5 * time.Millisecond
	rate := loadRoutes[route].rate / float64(len(s.organisations)) * s.load.factor(route, organisation, s.now.Sub(start))
	if s.now.Sub(start) >= s.load.length {
		return
	}
	wait := finest
	if rate > 0 {
		wait = time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	// The rate changes at whole seconds; the exponential distribution has no memory.
	if left := time.Second - s.now.Sub(start)%time.Second; rate == 0 || wait >= left {
		s.after(left, func() { s.arrive(route, organisation, random) })
		return
	}
	s.after(wait, func() {
		s.tallies[route].requests++
		s.organisations[organisation].requests++
		s.send(route, organisation, s.now, 0)
		s.arrive(route, organisation, random)
	})
}

// send sends a request to a VM, for the given time after the first one.
func (s *loadSimulation) send(route, organisation int, first time.Time, repeats int) {
	r, vm := loadRoutes[route], s.vms[s.random.IntN(loadVMs)]
	compiled := vm.routes[route]
	legs := compiled.Shards
	if !r.gathers {
		legs = []*routing.Service{compiled.WeightedServices[s.random.IntN(2)].Service}
	}
	m := fanout.New(vm.shared, loadVMs, fanout.Input{
		Route: compiled, Legs: legs, Received: s.now, Deadline: first.Add(r.limit), Organisation: fmt.Sprint(organisation),
	})
	done, ended := false, map[int]bool{}
	var carryOut func(fanout.Actions)
	end := func(id int, reply *backend.Reply) {
		if !ended[id] {
			ended[id] = true
			carryOut(m.Ended(s.now, id, reply, nil))
		}
	}
	carryOut = func(actions fanout.Actions) {
		for _, send := range actions.Sends {
			s.attempt(send.Target, r.work, func(reply *backend.Reply) { end(send.Attempt, reply) })
			ended[send.Attempt] = false
		}
		if actions.Answer != nil && !done {
			done = true
			s.answered(route, organisation, first, repeats, actions.Answer)
			s.after(linger, func() {
				for id := range len(ended) {
					if !ended[id] {
						ended[id] = true
						m.Abandon(s.now, id, health.Abandoned)
					}
				}
			})
		}
		if wake := actions.WakeAt; !done && !wake.IsZero() {
			s.after(wake.Sub(s.now), func() {
				if !done {
					carryOut(m.Tick(s.now))
				}
			})
		}
	}
	carryOut(m.Start(s.now))
}

// attempt sends an attempt to a target, which takes a lognormal time and a way of 1 to 2 ms.
func (s *loadSimulation) attempt(t *routing.Target, work time.Duration, end func(*backend.Reply)) {
	way := time.Millisecond + time.Duration(s.random.Float64()*float64(time.Millisecond))
	factor := math.Exp(0.3*s.random.NormFloat64()) * s.load.slow(t.ID, s.now.Sub(start))
	took, ok := s.queues[t.ID].serve(s.now, time.Duration(factor*float64(work)))
	reply := goodReply(t.ID)
	if !ok {
		reply = notRunReply()
	}
	s.after(took+way, func() { end(reply) })
}

// answered counts an answer. Refused callers repeat twice after the delay that they are told,
// or five times at once, while there is time.
func (s *loadSimulation) answered(route, organisation int, first time.Time, repeats int, answer *fanout.Answer) {
	r := loadRoutes[route]
	took := s.now.Sub(first)
	switch answer.Outcome {
	case fanout.Complete, fanout.Partial:
		share := float64(len(answer.Replies)) / float64(len(answer.Replies)+answer.Missing)
		for _, counted := range []*tally{&s.tallies[route], &s.organisations[organisation]} {
			if took < r.goal {
				counted.inTime++
				counted.worth += r.worth * share * share
			} else {
				counted.late++
				counted.worth += r.lateWorth * share * share
			}
		}
	case fanout.NotRun:
		wait, most := answer.RetryAfter, 2
		if s.load.repeats {
			wait, most = 2*time.Millisecond, 5
		}
		if repeats < most && took+wait < r.limit {
			s.after(wait, func() { s.send(route, organisation, first, repeats+1) })
			return
		}
		s.tallies[route].refused++
		s.organisations[organisation].refused++
	}
}

// sum adds the tallies of the load over all seeds.
func sum(l load, seeds uint64, enabled bool) (routes [3]tally, organisations [5]tally) {
	for seed := range seeds {
		s := newLoadSimulation(seed, l, enabled).run()
		for i := range routes {
			routes[i].add(s.tallies[i])
		}
		for i := range organisations {
			organisations[i].add(s.organisations[i])
		}
	}
	return routes, organisations
}

func (c *tally) add(other tally) {
	c.requests += other.requests
	c.inTime += other.inTime
	c.late += other.late
	c.refused += other.refused
	c.worth += other.worth
}

func TestAdmissionUnderEachLoad(t *testing.T) {
	const defaultSeeds = 1
	seeds := uint64(defaultSeeds)
	if _, ok := os.LookupEnv(seedsVariable); ok {
		seeds = seedCount(t)
	}
	for _, l := range loads() {
		t.Run(strings.ReplaceAll(l.name, " ", "-"), func(t *testing.T) {
			var worth [2]float64
			for enabled := range 2 {
				routes, organisations := sum(l, seeds, enabled == 1)
				for i, r := range loadRoutes {
					c := routes[i]
					worth[enabled] += c.worth
					t.Logf("%-34s %d %-14s n %6d in time %5.1f%% late %5.1f%% refused %5.1f%% worth %8.1f", l.name, enabled, r.name, c.requests,
						percent(c.inTime, c.requests), percent(c.late, c.requests), percent(c.refused, c.requests), c.worth)
				}
				for i, c := range organisations {
					t.Logf("      org %d n %d in time %.1f served %.1f", i, c.requests, percent(c.inTime, c.requests), percent(c.inTime+c.late, c.requests))
				}
			}
			t.Logf("%s worth off %.0f on %.0f", l.name, worth[0], worth[1])
			assert.GreaterOrEqual(t, worth[1], worth[0])
		})
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
