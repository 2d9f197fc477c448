package rollout

import (
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	simTick       = 20 * time.Millisecond
	simRamp       = 12 * time.Second
	simVMs        = 9
	simOld        = 6
	simNew        = 6
	simCandidates = 3
	simOrdered    = "v2"
)

// behavior is what a version does with a request: whether it fails, and how many times the
// usual time it takes. Load is the load of its targets in parts of that after the roll-out.
type behavior func(s *simulation, at time.Duration, route int, load float64) (fails bool, slower float64)

func usual(*simulation, time.Duration, int, float64) (bool, float64) { return false, 1 }

// simulation plays one order in virtual time: requests at VMs of unequal load, evidence and
// configurations that arrive late, a store that loses answers, and deciders that restart.
type simulation struct {
	random    *rand.Rand
	rate      float64
	part      float64
	begins    time.Duration
	ordered   behavior
	both      behavior
	restart   time.Duration // interval between restarts of the first two candidates in turn; zero for none
	lostShare float64       // share of the store's calls whose answer is lost
	downFrom  time.Duration // when the store is down, until downTo
	downTo    time.Duration

	start    time.Time
	order    Order
	newCount int
	oldCount int
	gates    []*Gate
	counts   []map[Group]Counts
	deciders []*Decider
	store    Status
	history  []Status
	// arrivals at VMs and deciders in the future.
	later []event

	newRecent float64
	total     int
	exposed   int
	bads      int
	badAt     time.Duration
	lateSends int
	finalAt   time.Duration
}

type event struct {
	at time.Duration
	do func()
}

func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		random: random, rate: 150 + random.Float64()*600, part: 0.2 + random.Float64()*0.6,
		begins:  time.Duration((0.15 + 0.4*random.Float64()) * float64(simRamp)),
		ordered: usual, both: usual, newCount: simNew, oldCount: simOld,
		start: time.Unix(1000, 0), order: Order{Service: "s", Version: simOrdered, Ramp: simRamp, Revision: 7},
	}
	for range simVMs {
		s.gates = append(s.gates, NewGate(s.published(Status{}), simVMs))
		s.counts = append(s.counts, map[Group]Counts{})
	}
	s.deciders = make([]*Decider, simCandidates)
	for rank := range s.deciders {
		s.restartDecider(rank, 0)
	}
	return s
}

func (s *simulation) published(status Status) *pb.Rollout {
	r := &pb.Rollout{OrderRevision: 7, Version: simOrdered, State: pb.RolloutState_ROLLOUT_STATE_RUNNING}
	if status.Revision > 0 {
		r.State, r.Share, r.Answer, r.StatusRevision = status.State, status.Share, status.Answer, status.Revision
	}
	return r
}

// restartDecider replaces the decider of a rank by one that has read the status only.
func (s *simulation) restartDecider(rank int, at time.Duration) {
	d := NewDecider(s.order, s.start.Add(at))
	d.SetRank(rank)
	if s.store.Revision > 0 {
		d.Observe(s.store, Targets{Ordered: s.newCount, Others: s.oldCount}, s.start.Add(at))
	}
	s.deciders[rank] = d
}

func (s *simulation) after(at, delay time.Duration, do func()) {
	s.later = append(s.later, event{at + delay, do})
}

// between returns a random time of a range in milliseconds.
func (s *simulation) between(from, to int) time.Duration {
	return time.Duration(from+s.random.IntN(to-from)) * time.Millisecond
}

func (s *simulation) run() {
	for at := time.Duration(0); at < simRamp+6*time.Second; at += simTick {
		due := s.later
		s.later = nil
		for _, e := range due {
			if e.at <= at {
				e.do()
			} else {
				s.later = append(s.later, e)
			}
		}
		s.requests(at)
		if at%(300*time.Millisecond) == 0 {
			s.report(at)
		}
		if s.restart > 0 && at > 0 && at%s.restart == 0 {
			s.restartDecider(int(at/s.restart)%2, at)
		}
		if at >= 400*time.Millisecond {
			for _, d := range s.deciders {
				s.drive(d, at)
			}
		}
	}
}

// requests sends the requests of one tick.
func (s *simulation) requests(at time.Duration) {
	mean := s.rate * simTick.Seconds()
	n := int(mean)
	if s.random.Float64() < mean-float64(n) {
		n++
	}
	s.newRecent *= 1 - simTick.Seconds()/0.3
	for range n {
		// The load balancer gives the first VMs more.
		vm := int(float64(simVMs) * math.Pow(s.random.Float64(), 1.6))
		gate := s.gates[vm]
		use := gate.Draw(0, s.random.Float64())
		if gate.rollout.State == pb.RolloutState_ROLLOUT_STATE_COMPLETED {
			use = UseOrdered
		}
		if s.newCount == 0 || use == UseOthers && s.oldCount == 0 && !gate.Substitute(0) {
			use = UseAll
		}
		s.send(at, vm, use == UseOrdered || use == UseOrderedFreely, gate)
	}
}

func (s *simulation) send(at time.Duration, vm int, toNew bool, gate *Gate) {
	route := 0
	if s.random.Float64() < 0.3 {
		route = 1
	}
	group := Group{Route: [...]string{"r0", "r1"}[route], Version: "v1"}
	inUse := max(1, math.Ceil(gate.Share()*simNew))
	load := (s.newRecent / 0.3) / inUse / (s.rate / simNew)
	fails, slower := s.both(s, at, route, 0)
	if toNew {
		group.Version = simOrdered
		s.newRecent++
		alsoFails, factor := s.ordered(s, at, route, load)
		fails, slower = fails || alsoFails, slower*factor
	}
	if at < simRamp {
		s.total++
		if toNew {
			s.exposed++
		}
	}
	if toNew && s.bads >= 50 && at > s.badAt+5*time.Second {
		s.lateSends++
	}
	// Usual failures and pauses.
	fails = fails || s.random.Float64() < 0.003
	if s.random.Float64() < 0.02 {
		slower *= 4
	}
	took := slower * math.Exp(s.random.NormFloat64()*0.3)
	s.after(at, time.Duration(took*20*float64(time.Millisecond)), func() { s.replied(at, vm, group, fails, took) })
}

func (s *simulation) replied(at time.Duration, vm int, group Group, fails bool, took float64) {
	counts := s.counts[vm][group]
	counts.Replies++
	class := ClassOf(time.Duration(took*float64(time.Second)), time.Second)
	if fails {
		counts.Failures++
	} else {
		counts.Times[class]++
	}
	s.counts[vm][group] = counts
	bad := fails || class >= SlowClass
	if group.Version != simOrdered {
		return
	}
	if bad {
		if s.bads++; s.bads == 50 {
			s.badAt = at
		}
	}
	others := s.counts[vm][Group{Route: group.Route, Version: "v1"}]
	s.gates[vm].Reply(bad, others.badRate())
}

// report sends the evidence of all VMs to the deciders, over several heartbeats.
func (s *simulation) report(at time.Duration) {
	for vm := range s.counts {
		sent := maps.Clone(s.counts[vm])
		age, delay := max(at-300*time.Millisecond, 0), s.between(50, 1200)
		arrival := at + delay
		s.after(at, delay, func() {
			for _, d := range s.deciders {
				d.SeenBefore(age, s.start.Add(arrival))
				for group, counts := range sent {
					d.Evidence(Origin{VM: strconv.Itoa(vm)}, group, counts)
				}
			}
		})
	}
}

func (s *simulation) down(at time.Duration) bool { return at >= s.downFrom && at < s.downTo }

// drive carries out what a decider decides.
func (s *simulation) drive(d *Decider, at time.Duration) {
	now := s.start.Add(at)
	d.Observe(Status{}, Targets{Ordered: s.newCount, Others: s.oldCount}, now)
	action, status := d.Next(now)
	if action == Nothing || s.down(at) {
		if action == Write {
			d.NotWritten()
		}
		return
	}
	delay := s.between(10, 200)
	lost := s.random.Float64() < s.lostShare
	s.after(at, delay, func() {
		now := s.start.Add(at + delay)
		if action == ReadBack {
			if !lost {
				d.Stored(s.store, now)
			}
			return
		}
		if s.store.Revision == status.Revision && (!lost || s.random.IntN(2) == 0) {
			status.Revision = uint64(len(s.history)) + 10
			s.commit(status, at+delay)
		}
		if !lost {
			d.Stored(s.store, now)
		}
	})
}

// commit stores a status and distributes it.
func (s *simulation) commit(status Status, at time.Duration) {
	s.store = status
	s.history = append(s.history, status)
	if final(status.State) {
		s.finalAt = at
	}
	for _, gate := range s.gates {
		s.after(at, s.between(100, 1000), func() {
			if status.Revision > gate.rollout.StatusRevision {
				gate.Update(s.published(status), 0)
			}
		})
	}
	for _, d := range s.deciders {
		delay := s.between(100, 1000)
		s.after(at, delay, func() {
			d.Observe(status, Targets{Ordered: s.newCount, Others: s.oldCount}, s.start.Add(at+delay))
		})
	}
}
