package fanout_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

const (
	// crashingContent is the digest of the content, or of the family, that crashes targets.
	crashingContent = 1
	// sharedFamily is that of half of the other requests.
	sharedFamily = 2
	// gossipInterval is the time between two exchanges of quarantine lists in the simulation.
	gossipInterval = 500 * time.Millisecond
	simulatedTime  = 30 * time.Second
	// wayBack is how long a reply, or the reset of a connection, is on its way.
	wayBack = 500 * time.Microsecond
	// stableWindow and maxLateSends are the bounds of the users' rule BUDGET.
	stableWindow = 4 * time.Second
	maxLateSends = 3
)

// crashSimulation runs requests of several VMs against targets that crash on one content.
type crashSimulation struct {
	*simulation
	vms     []*simulatedVM
	targets map[string]*simulatedTarget
	// refused counts requests with other contents that were refused as crashing, and delayed
	// those that had to wait for a trial.
	refused, delayed, others int
}

// crashes reports whether requests with the content crash targets.
func crashes(c quarantine.Content) bool {
	return c.Exact == crashingContent || c.Family == crashingContent
}

// simulatedVM is a VM with its own guard. Each VM sees the same targets through health of its
// own.
type simulatedVM struct {
	list     *quarantine.List
	guard    *quarantine.Guard
	shared   *fanout.SharedState
	gather   *routing.Route
	single   *routing.Route
	cutUntil time.Time
	// startedAt is when the VM last started, zero if it did before the simulation.
	startedAt time.Time
}

// inTouch reports whether the VM has been neither restarted nor cut off for the stable
// window; the rule counts only the sends of such VMs.
func (vm *simulatedVM) inTouch(now time.Time) bool {
	return now.Sub(vm.startedAt) > stableWindow && now.Sub(vm.cutUntil) > stableWindow
}

type simulatedTarget struct {
	downUntil time.Time
	boots     int
	flights   []*flight
	// crashes holds the times at which the crashing content crashed it.
	crashes []time.Time
	// sends holds the times at which it got the crashing content from VMs in touch.
	sends []time.Time
}

// flight is a send that a target has not replied to.
type flight struct {
	ended bool
	end   func(*backend.Reply, error)
}

func newCrashSimulation(seed uint64) *crashSimulation {
	c := &crashSimulation{simulation: newSimulation(seed, nil), targets: map[string]*simulatedTarget{}}
	for range 5 {
		c.vms = append(c.vms, c.newVM())
	}
	for at := time.Duration(0); at < simulatedTime; at += gossipInterval {
		c.after(at, c.gossip)
	}
	return c
}

func (c *crashSimulation) newVM() *simulatedVM {
	vm := &simulatedVM{list: quarantine.New(quarantine.DefaultLimits())}
	vm.guard = quarantine.NewGuard(vm.list)
	vm.shared = fanout.NewSharedState(vm.guard, advisory.NewBoard())
	vm.shared.SetLimits(fanout.Limits{Share: 0.2, Slack: 20, Window: 10 * time.Second})
	all := services(6)
	vm.gather = gatheringRoute(all)
	vm.single = singleRoute(all[5], true)
	for _, service := range all {
		for _, t := range service.Targets {
			t.Health = health.New()
			if c.targets[t.ID] == nil {
				c.targets[t.ID] = &simulatedTarget{}
			}
		}
	}
	return vm
}

// gossip exchanges the lists of VMs that reach each other, in a ring.
func (c *crashSimulation) gossip() {
	for i, vm := range c.vms {
		vm.guard.Tick(c.now)
		next := c.vms[(i+1)%len(c.vms)]
		if c.now.After(vm.cutUntil) && c.now.After(next.cutUntil) {
			next.list.Merge(vm.list.Updates(c.now), c.now)
			vm.list.Merge(next.list.Updates(c.now), c.now)
		}
	}
}

// announce sends what a VM has found to the others at once.
func (c *crashSimulation) announce(vm *simulatedVM) {
	for _, finding := range vm.guard.TakeFindings() {
		entry := vm.list.Entry(finding.Digest, c.now)
		for _, other := range c.vms {
			if entry != nil && c.now.After(vm.cutUntil) && c.now.After(other.cutUntil) {
				c.after(time.Millisecond, func() { other.list.Merge([]*pb.QuarantineEntry{entry}, c.now) })
			}
		}
	}
}

func (c *crashSimulation) crash(t *simulatedTarget) {
	t.downUntil = c.now.Add(time.Duration(500+c.random.IntN(3000)) * time.Millisecond)
	t.boots++
	flights := t.flights
	t.flights = nil
	for _, f := range flights {
		c.after(wayBack, func() { f.finish(nil, errors.Wrap(backend.ErrNoReply, "connection reset")) })
	}
}

func (f *flight) finish(reply *backend.Reply, err error) {
	if !f.ended {
		f.ended = true
		f.end(reply, err)
	}
}

// send delivers a request to a target after the way there.
func (c *crashSimulation) send(vm *simulatedVM, target *routing.Target, content quarantine.Content, end func(*backend.Reply, error)) {
	t := c.targets[target.ID]
	c.after(500*time.Microsecond, func() {
		f := &flight{end: end}
		if c.now.Before(t.downUntil) {
			f.finish(nil, errNotSent)
			return
		}
		t.flights = append(t.flights, f)
		if crashes(content) && vm.inTouch(c.now) {
			t.sends = append(t.sends, c.now)
		}
		c.after(time.Duration(1+c.random.IntN(12))*time.Millisecond, func() {
			switch {
			case f.ended:
			case crashes(content):
				t.crashes = append(t.crashes, c.now)
				c.crash(t)
			default:
				t.flights = slices.DeleteFunc(t.flights, func(other *flight) bool { return other == f })
				reply := goodReply("r")
				reply.ConnectedAt = start.Add(time.Duration(t.boots) * time.Nanosecond)
				if t.boots > 0 {
					reply.ConnectedAt = t.downUntil
				}
				// A reply may arrive after the reset of another connection that was sent later.
				c.after(wayBack+time.Duration(c.random.IntN(2000))*time.Microsecond, func() { f.finish(reply, nil) })
			}
		})
	})
}

// requestFrom simulates one request at a VM.
func (c *crashSimulation) requestFrom(vm *simulatedVM, route *routing.Route, content quarantine.Content, done func(*fanout.Answer)) {
	legs := route.Shards
	if !route.Gathers() {
		legs = []*routing.Service{route.WeightedServices[0].Service}
	}
	m := fanout.New(vm.shared, 1, fanout.Input{Route: route, Legs: legs, Received: c.now, Deadline: c.now.Add(route.TimeLimit), Content: content})
	answered := false
	var carryOut func(fanout.Actions)
	carryOut = func(actions fanout.Actions) {
		c.announce(vm)
		for _, send := range actions.Sends {
			c.send(vm, send.Target, content, func(reply *backend.Reply, err error) { carryOut(m.Ended(c.now, send.Attempt, reply, err)) })
		}
		if actions.Answer != nil && !answered {
			answered = true
			done(actions.Answer)
		}
		if !answered && !actions.WakeAt.IsZero() {
			c.after(actions.WakeAt.Sub(c.now), func() {
				if !answered {
					carryOut(m.Tick(c.now))
				}
			})
		}
	}
	carryOut(m.Start(c.now))
}

// repeatCrashing sends the crashing content again and again, now and then at several VMs.
// If varied, each repeat has another content of the same family.
func (c *crashSimulation) repeatCrashing(random *rand.Rand, varied bool) {
	for at := time.Second; at < simulatedTime; at += time.Duration(20+random.IntN(400)) * time.Millisecond {
		for range 1 + random.IntN(5)/4*2 {
			vm, gathered := random.IntN(len(c.vms)), random.IntN(2) == 0
			content := quarantine.Content{Exact: crashingContent}
			if varied {
				content = quarantine.Content{Exact: otherContent(random), Family: crashingContent}
			}
			c.after(at, func() {
				route := c.vms[vm].single
				if gathered {
					route = c.vms[vm].gather
				}
				c.requestFrom(c.vms[vm], route, content, func(*fanout.Answer) {})
			})
		}
	}
}

// otherContent returns a digest that no other request has.
func otherContent(random *rand.Rand) uint64 { return 3 + random.Uint64()>>1 }

// serveOthers sends requests with contents of their own, half of them of one family.
func (c *crashSimulation) serveOthers(random *rand.Rand) {
	for at := time.Duration(0); at < simulatedTime; at += time.Duration(1+random.IntN(20)) * time.Millisecond {
		vm, content := random.IntN(len(c.vms)), quarantine.Content{Exact: otherContent(random)}
		if random.IntN(2) == 0 {
			content.Family = sharedFamily
		}
		c.after(at, func() {
			c.others++
			c.requestFrom(c.vms[vm], c.vms[vm].gather, content, func(answer *fanout.Answer) {
				switch {
				case answer.ContentRefused && answer.RetryAfter > time.Second:
					c.refused++
				case answer.ContentRefused:
					c.delayed++
				}
			})
		})
	}
}

// disturb crashes targets for other reasons, restarts VMs and cuts them off.
func (c *crashSimulation) disturb(random *rand.Rand) {
	ids := make([]string, 0, len(c.targets))
	for id := range c.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for at := 500 * time.Millisecond; at < simulatedTime; at += time.Duration(200+random.IntN(2000)) * time.Millisecond {
		target, vm, kind := ids[random.IntN(len(ids))], random.IntN(len(c.vms)), random.IntN(4)
		c.after(at, func() {
			switch kind {
			case 0:
				c.vms[vm] = c.newVM()
				c.vms[vm].startedAt = c.now
			case 1:
				c.vms[vm].cutUntil = c.now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			default:
				c.crash(c.targets[target])
			}
		})
	}
}

// countSends returns the number of sends of the crashing content, and of those that came
// later than the stable window after the third one had crashed its target.
func (c *crashSimulation) countSends() (all, late int) {
	var crashes, sends []time.Time
	for _, target := range c.targets {
		crashes, sends = append(crashes, target.crashes...), append(sends, target.sends...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	for _, at := range sends {
		if len(crashes) > 2 && at.After(crashes[2].Add(stableWindow)) {
			late++
		}
	}
	return len(sends), late
}

// seedsVariable names an environment variable with the number of seeds for simulations.
const seedsVariable = "CARAWAYREEL_SEEDS"

// seedCount returns the number of seeds to simulate.
func seedCount(t *testing.T) uint64 {
	t.Helper()
	const defaultSeeds = 12
	text, ok := os.LookupEnv(seedsVariable)
	if !ok {
		return defaultSeeds
	}
	seeds, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	return seeds
}

// Guards against a request that crashes its targets being sent on without end by all VMs,
// while targets crash for other reasons, VMs restart and cuts come and go.
func TestCrashingContentReachesFewTargets(t *testing.T) {
	requireFewTargetsCrashed(t, false)
}

// Guards against the same if each repeat has another content of the same family, beside
// requests that share a family and crash no target.
func TestCrashingFamilyReachesFewTargets(t *testing.T) {
	requireFewTargetsCrashed(t, true)
}

func requireFewTargetsCrashed(t *testing.T, varied bool) {
	t.Helper()
	for seed := range seedCount(t) {
		c := newCrashSimulation(seed)
		random := rand.New(rand.NewPCG(seed, 2))
		c.repeatCrashing(random, varied)
		c.serveOthers(random)
		if seed%2 == 1 {
			c.disturb(random)
		}
		c.runEvents()
		sends, late := c.countSends()
		t.Logf("seed %d: %d sends, %d late; of %d others, %d refused and %d delayed", seed, sends, late, c.others, c.refused, c.delayed)
		require.LessOrEqual(t, late, maxLateSends, "seed %d", seed)
		require.Less(t, c.refused+c.delayed, c.others/1000+1, "seed %d", seed)
	}
}
