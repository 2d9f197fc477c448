package fanout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	loadShards, loadVMs, loadOrganisations = 8, 3, 5
	targetSlots, targetQueue               = 2, 20
	troubleFrom, recoveryTime              = 6 * time.Second, 6 * time.Second
	pressureInterval                       = 300 * time.Millisecond
	// urgentTolerance is for differences by chance: a few answers of one seed.
	urgentTolerance = 0.998
)

// loadRoutes are the routes of the first deployment with their requests a second in calm and
// the worth of an answer. Requests for drawings go to targets of the first two shards.
var loadRoutes = []struct {
	name              string
	gathers           bool
	work, goal, limit time.Duration
	priority          uint32
	rate              float64
	worth, lateWorth  float64
}{
	{"quote-history", true, 15 * time.Millisecond, 150 * time.Millisecond, 1200 * time.Millisecond, 1, 130, 1.8, 0.09},
	{"phone-price", true, 5 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond, 0, 150, 1.7, 0.07},
	{"drawing-fetch", false, 120 * time.Millisecond, time.Second, 5 * time.Second, 2, 8, 0.45, 0.07},
}

// load is a load of section 3 of the requirements. During the trouble, factor multiplies the
// rate of requests and slow the time that a target takes; back is the factor for a second after it.
type load struct {
	name    string
	trouble time.Duration
	factor  func(route, organisation int) float64
	slow    func(target string) float64
	back    float64
	repeats bool
}

func loads() []load {
	flat := func(int, int) float64 { return 1 }
	fast := func(string) float64 { return 1 }
	when := func(condition bool, factor float64) float64 {
		if condition {
			return factor
		}
		return 1
	}
	const s = time.Second
	return []load{
		{"calm", 10 * s, flat, fast, 1, false},
		{"rush of one organisation", 8 * s, func(_, o int) float64 { return when(o == 0, 7.5) }, fast, 1, false},
		{"rush of the least urgent route", 8 * s, func(r, _ int) float64 { return when(r == 2, 12) }, fast, 1, false},
		{"an eighth of all targets slow", 8 * s, flat, func(t string) float64 { return when(t == "s1-a" || t == "s4-b" || t == "s6-c", 8) }, 1, false},
		{"callers repeat at once", 8 * s, func(int, int) float64 { return 2.2 }, fast, 1, true},
		{"too little capacity for a minute", 60 * s, flat, func(string) float64 { return 3 }, 1, false},
		{"all callers back after a cut", 3 * s, func(int, int) float64 { return 0 }, fast, 4, false},
	}
}

// tally counts requests. The late ones were served after their goal.
type tally struct {
	requests, inTime, late, refused int
	worth                           float64
}

func (c *tally) add(other tally) {
	c.requests += other.requests
	c.inTime += other.inTime
	c.late += other.late
	c.refused += other.refused
	c.worth += other.worth
}

func (c tally) served() float64 { return float64(c.inTime+c.late) / float64(max(c.requests, 1)) }

func (c tally) String() string {
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(c.requests, 1)) }
	return fmt.Sprintf("n %6d in time %5.1f%% late %5.1f%% refused %5.1f%% worth %8.1f",
		c.requests, percent(c.inTime), percent(c.late), percent(c.refused), c.worth)
}

// loadSimulation runs a load against targets that have slots, a queue and rejections.
type loadSimulation struct {
	*simulation
	load load
	// starts holds, by target, the times at which the slots become free, and those at which
	// queued requests start.
	slots, queued map[string][]time.Time
	vms           [loadVMs]struct {
		shared    *fanout.SharedState
		admission *admission.Controller
		routes    []*routing.Route
	}
	tallies [3][loadOrganisations]tally
}

func newLoadSimulation(seed uint64, l load, enabled bool) *loadSimulation {
	s := &loadSimulation{simulation: newSimulation(seed, nil), load: l, slots: map[string][]time.Time{}, queued: map[string][]time.Time{}}
	for i := range s.vms {
		vm := &s.vms[i]
		vm.shared, vm.admission = fanout.NewSharedState(nil, advisory.NewBoard()), admission.New()
		vm.admission.SetEnabled(enabled)
		vm.shared.SetAdmission(vm.admission)
		vm.shared.SetLimits(fanout.Limits{Share: 0.2, Slack: 50.0 / loadVMs, Window: 10 * time.Second})
		shards := services(loadShards)
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
	}
	for route := range loadRoutes {
		for organisation := range loadOrganisations {
			s.arrive(route, organisation, rand.New(rand.NewPCG(seed, uint64(2+route*loadOrganisations+organisation))))
		}
	}
	s.exchange()
	return s
}

func (s *loadSimulation) over() bool {
	return s.now.Sub(start) >= troubleFrom+s.load.trouble+recoveryTime
}

func (s *loadSimulation) troubled() bool {
	at := s.now.Sub(start)
	return at >= troubleFrom && at < troubleFrom+s.load.trouble
}

// exchange exchanges the pressures, as heartbeats do.
func (s *loadSimulation) exchange() {
	for i := range s.vms {
		for j := range s.vms {
			if i != j {
				s.vms[j].admission.Merge(fmt.Sprint(i), s.vms[i].admission.Updates(s.now), s.now)
			}
		}
	}
	if !s.over() {
		s.after(pressureInterval, s.exchange)
	}
}

// arrive schedules the requests of an organisation on a route, as a Poisson process whose
// rate changes at whole seconds.
func (s *loadSimulation) arrive(route, organisation int, random *rand.Rand) {
	rate := loadRoutes[route].rate / loadOrganisations
	if end := start.Add(troubleFrom + s.load.trouble); s.troubled() {
		rate *= s.load.factor(route, organisation)
	} else if !s.now.Before(end) && s.now.Before(end.Add(time.Second)) {
		rate *= s.load.back
	}
	if s.over() {
		return
	}
	wait := time.Duration(min(random.ExpFloat64()/rate, 10) * float64(time.Second))
	if left := time.Second - s.now.Sub(start)%time.Second; wait >= left {
		s.after(left, func() { s.arrive(route, organisation, random) })
		return
	}
	s.after(wait, func() {
		s.tallies[route][organisation].requests++
		// Each request has its own random numbers, so that a decision on one changes no other.
		s.send(route, organisation, s.now, 0, rand.New(rand.NewPCG(random.Uint64(), 0)))
		s.arrive(route, organisation, random)
	})
}

// send sends a request, for the given time after the first one, to any VM.
func (s *loadSimulation) send(route, organisation int, first time.Time, repeats int, random *rand.Rand) {
	r, vm := loadRoutes[route], s.vms[random.IntN(loadVMs)]
	compiled := vm.routes[route]
	legs := compiled.Shards
	if !r.gathers {
		legs = []*routing.Service{compiled.WeightedServices[random.IntN(2)].Service}
	}
	m := fanout.New(vm.shared, loadVMs, fanout.Input{
		Route: compiled, Priority: compiled.Priority, Legs: legs, Received: s.now, Deadline: first.Add(r.limit), Organisation: fmt.Sprint(organisation),
	})
	serve := func(t *routing.Target) (time.Duration, *backend.Reply, error) {
		return s.serveQueued(t.ID, r.work, random)
	}
	s.run(m, serve, func(answer *fanout.Answer) { s.answered(route, organisation, first, repeats, answer, random) })
}

// serveQueued returns the reply of a target, which takes a lognormal time for the work and 1 to
// 2 ms for the way, and its queue before that.
func (s *loadSimulation) serveQueued(target string, work time.Duration, random *rand.Rand) (time.Duration, *backend.Reply, error) {
	way := time.Millisecond + time.Duration(random.Float64()*float64(time.Millisecond))
	took := math.Exp(0.3*random.NormFloat64()) * float64(work)
	if s.troubled() {
		took *= s.load.slow(target)
	}
	queued := slices.DeleteFunc(s.queued[target], func(starts time.Time) bool { return !starts.After(s.now) })
	if len(queued) >= targetQueue {
		return way, notRunReply(), nil
	}
	if s.slots[target] == nil {
		s.slots[target] = make([]time.Time, targetSlots)
	}
	slots := s.slots[target]
	slices.SortFunc(slots, time.Time.Compare)
	starts := s.now
	if slots[0].After(s.now) {
		starts = slots[0]
		queued = append(queued, starts)
	}
	s.queued[target] = queued
	slots[0] = starts.Add(time.Duration(took))
	return slots[0].Sub(s.now) + way, goodReply(target), nil
}

// answered counts an answer. Refused callers repeat twice after the delay that they are told,
// or five times at once, while there is time.
func (s *loadSimulation) answered(route, organisation int, first time.Time, repeats int, answer *fanout.Answer, random *rand.Rand) {
	r, counted, took := loadRoutes[route], &s.tallies[route][organisation], s.now.Sub(first)
	if answer.Outcome == fanout.Complete || answer.Outcome == fanout.Partial {
		share := float64(len(answer.Replies)) / float64(len(answer.Replies)+answer.Missing)
		if took < r.goal {
			counted.add(tally{inTime: 1, worth: r.worth * share * share})
		} else {
			counted.add(tally{late: 1, worth: r.lateWorth * share * share})
		}
	}
	if answer.Outcome != fanout.NotRun {
		return
	}
	wait, most := answer.RetryAfter, 2
	if s.load.repeats {
		wait, most = 2*time.Millisecond, 5
	}
	if repeats < most && took+wait < r.limit {
		s.after(wait, func() { s.send(route, organisation, first, repeats+1, random) })
		return
	}
	counted.refused++
}

// Admission by priority must not cost worth under any load, nor make the urgent routes worse, nor
// starve a route or the organisations that do not rush. -v prints the table of the design note;
// CARAWAYREEL_SEEDS sets the number of seeds.
func TestAdmissionUnderEachLoad(t *testing.T) {
	seeds := uint64(1)
	if _, ok := os.LookupEnv(seedsVariable); ok {
		seeds = seedCount(t)
	}
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			var routes [2][3]tally
			var all, rushing, others [2]tally
			for on := range 2 {
				for seed := range seeds {
					s := newLoadSimulation(seed, l, on == 1)
					s.runEvents()
					for i := range routes[on] {
						for organisation, c := range s.tallies[i] {
							routes[on][i].add(c)
							all[on].add(c)
							if organisation == 0 {
								rushing[on].add(c)
							} else {
								others[on].add(c)
							}
						}
					}
				}
				for i, r := range loadRoutes {
					t.Logf("%-34s %d %-14s %s", l.name, on, r.name, routes[on][i])
				}
				t.Logf("%-34s %d organisation 0: %s; the others: %s", l.name, on, rushing[on], others[on])
			}
			require.GreaterOrEqual(t, all[1].worth, all[0].worth)
			for i, r := range loadRoutes {
				if r.priority < 2 {
					require.GreaterOrEqual(t, routes[1][i].worth, urgentTolerance*routes[0][i].worth, r.name)
				}
				require.Greater(t, routes[1][i].served(), all[1].served()/4, r.name)
			}
			require.Greater(t, min(others[1].served(), rushing[1].served()), all[1].served()/4)
			if l.name == "rush of one organisation" {
				require.Greater(t, others[1].served(), rushing[1].served())
			}
		})
	}
}
