package fanout_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

var start = time.Unix(1000, 0)

// target returns a target of a service in a failure domain.
func target(service, domain string) *routing.Target {
	id := service + "-" + domain
	distance := routing.Far
	if domain == "a" {
		distance = routing.Near
	}
	return &routing.Target{
		Distance: distance,
		Target:   backend.Target{ID: id, Address: "10.0.0.1:80", Connections: 10},
		Service:  service, FailureDomain: domain, Slots: 2, Health: health.New(),
	}
}

// services returns n services with one target in each of three failure domains.
func services(n int) []*routing.Service {
	all := make([]*routing.Service, 0, n)
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		service := &routing.Service{Name: name}
		for _, domain := range []string{"a", "b", "c"} {
			service.Targets = append(service.Targets, target(name, domain))
		}
		all = append(all, service)
	}
	return all
}

func gatheringRoute(shards []*routing.Service) *routing.Route {
	return &routing.Route{
		Route: &pb.Route{Name: "g", Idempotent: true, LeastCoverage: 0.75}, Shards: shards,
		TimeLimit: 400 * time.Millisecond, Goal: 80 * time.Millisecond, MaxTargets: 2,
	}
}

func singleRoute(service *routing.Service, idempotent bool) *routing.Route {
	return &routing.Route{
		Route: &pb.Route{Name: "u", Idempotent: idempotent}, WeightedServices: []routing.WeightedService{{Service: service, Weight: 1}},
		TimeLimit: time.Second, Goal: 200 * time.Millisecond, MaxTargets: 2,
	}
}

func newSharedState() *fanout.SharedState {
	s := fanout.NewSharedState(nil, advisory.NewBoard())
	s.SetLimits(fanout.Limits{Share: 0.2, Slack: 100, Window: 10 * time.Second})
	return s
}

func newMachine(shared *fanout.SharedState, route *routing.Route, received time.Time) *fanout.Machine {
	legs := route.Shards
	if !route.Gathers() {
		legs = []*routing.Service{route.WeightedServices[0].Service}
	}
	return fanout.New(shared, 1, fanout.Input{
		Route: route, Legs: legs, Received: received, Deadline: received.Add(route.TimeLimit),
	})
}

func goodReply(id string) *backend.Reply {
	return &backend.Reply{Status: 200, Header: map[string][]string{}, ReplyMetadata: backend.ReplyMetadata{Receipt: id}}
}

func failedReply() *backend.Reply {
	return &backend.Reply{Status: 500, Header: map[string][]string{}, ReplyMetadata: backend.ReplyMetadata{Receipt: "f"}}
}

func notRunReply() *backend.Reply {
	return &backend.Reply{Status: 503, Header: map[string][]string{}, ReplyMetadata: backend.ReplyMetadata{NotRun: true}}
}

// simulation runs requests against targets in virtual time. Each VM has its own
// SharedState and its own health of the targets.
type simulation struct {
	now    time.Time
	events events
	random *rand.Rand
	// serve returns how long a target takes for a request, and its result.
	serve func(s *simulation, t *routing.Target) (time.Duration, *backend.Reply, error)
	// arrivals holds the times of all sends by service; firsts only those of first
	// attempts.
	arrivals map[string][]time.Time
	firsts   map[string][]time.Time
	answers  []answered
}

type answered struct {
	at     time.Time
	took   time.Duration
	answer *fanout.Answer
}

func newSimulation(seed uint64, serve func(*simulation, *routing.Target) (time.Duration, *backend.Reply, error)) *simulation {
	return &simulation{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), serve: serve,
		arrivals: map[string][]time.Time{}, firsts: map[string][]time.Time{},
	}
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now.Add(d), seq: len(s.events) + len(s.answers)<<20, run: run})
}

// runEvents runs all events in chronological order.
func (s *simulation) runEvents() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// request simulates one request of the route.
func (s *simulation) request(shared *fanout.SharedState, route *routing.Route) {
	received := s.now
	serve := func(t *routing.Target) (time.Duration, *backend.Reply, error) { return s.serve(s, t) }
	s.run(newMachine(shared, route, received), serve, func(answer *fanout.Answer) {
		s.answers = append(s.answers, answered{at: received, took: s.now.Sub(received), answer: answer})
	})
}

// run runs the machine of a request against targets that serve as given, and calls end with
// its answer.
func (s *simulation) run(m *fanout.Machine, serve func(*routing.Target) (time.Duration, *backend.Reply, error), end func(*fanout.Answer)) {
	done := false
	var carryOut func(fanout.Actions)
	carryOut = func(actions fanout.Actions) {
		for _, send := range actions.Sends {
			service := send.Target.Service
			s.arrivals[service] = append(s.arrivals[service], s.now)
			if send.Reason == fanout.FirstAttempt {
				s.firsts[service] = append(s.firsts[service], s.now)
			}
			took, reply, err := serve(send.Target)
			s.after(took, func() { carryOut(m.Ended(s.now, send.Attempt, reply, err)) })
		}
		if actions.Answer != nil && !done {
			done = true
			end(actions.Answer)
		}
		if !done && !actions.WakeAt.IsZero() {
			s.after(actions.WakeAt.Sub(s.now), func() {
				if !done {
					carryOut(m.Tick(s.now))
				}
			})
		}
	}
	carryOut(m.Start(s.now))
}
