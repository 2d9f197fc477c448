package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// soakSeeds names an environment variable with the seeds of the soak, "FIRST-LAST".
	soakSeeds = "CARAWAYREEL_SOAK_SEEDS"
	// soakTime is how long faults are injected in one run.
	soakTime = 15 * time.Second
	// soakDrain is the default of the setting routes.drain_ms, and soakLimit the limit that
	// targets name, in requests a second.
	soakDrain = 3 * time.Second
	soakLimit = 8.0
)

// Faults of VMs, targets and the store come in series and overlap, while callers keep open
// connections and repeat a request that crashes its targets. The users' promises hold.
func TestRoutesKeepTheirPromisesUnderFaults(t *testing.T) {
	first, last := uint64(1), uint64(2)
	if text, ok := os.LookupEnv(soakSeeds); ok {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := startSoak(t, seed)
			s.run()
			s.checkRequests()
			s.checkCrashes()
			s.checkAdvice()
		})
	}
}

// period is a time in which something holds.
type period struct{ from, to time.Time }

func (p period) contains(at time.Time) bool { return !at.Before(p.from) && at.Before(p.to) }

// soak is one run with its record of what was injected.
type soak struct {
	t          *testing.T
	seed       uint64
	deployment *testkit.UsersDeployment
	targets    []*users.Target

	mu      sync.Mutex
	results []callerResult
	// disturbed holds, by VM, when it was stopped, killed or frozen, until the stable window
	// after that: rules with a bound do not count its requests then.
	disturbed map[string][]period
	// behaviors holds what the targets do now; limited and leaving hold when they said so.
	behaviors map[string]users.Behavior
	limited   map[string][]period
	leaving   map[string][]period
}

func startSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		t: t, seed: seed, deployment: startUsers(t), disturbed: map[string][]period{},
		behaviors: map[string]users.Behavior{}, limited: map[string][]period{}, leaving: map[string][]period{},
	}
	for _, domain := range []string{"a", "b", "c"} {
		for i := range shardCount {
			s.targets = append(s.targets, s.deployment.Targets[fmt.Sprintf("s%d%s", i, domain)])
		}
		s.targets = append(s.targets, s.deployment.Targets["old"+domain])
	}
	for _, target := range s.targets {
		s.setBehavior(target, func(*users.Behavior) {})
		target.OnRestart(func() { s.restarted(target) })
	}
	return s
}

// setBehavior changes what a target does.
func (s *soak) setBehavior(target *users.Target, change func(*users.Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.behaviors[target.ID]
	if !ok {
		b = crashingBehavior
		b.EarlyHead = s.seed%4 > 1
	}
	b.Header = b.Header.Clone()
	if b.Header == nil {
		b.Header = http.Header{}
	}
	change(&b)
	s.behaviors[target.ID] = b
	target.SetBehavior(b)
}

// restarted makes a target forget what it said before, and registers it.
func (s *soak) restarted(target *users.Target) {
	s.setBehavior(target, func(b *users.Behavior) { b.Header, b.Shed = http.Header{}, false })
	s.mu.Lock()
	for _, periods := range []map[string][]period{s.limited, s.leaving} {
		endLast(periods[target.ID])
	}
	s.mu.Unlock()
	s.deployment.Store.Register(target, users.Ready, 1)
}

func endLast(periods []period) {
	if n := len(periods); n > 0 && periods[n-1].to.After(time.Now()) {
		periods[n-1].to = time.Now()
	}
}

func (s *soak) run() {
	stop := make(chan struct{})
	var callers, faults sync.WaitGroup
	for i := range uint64(6) {
		callers.Go(func() { s.call(rand.New(rand.NewPCG(s.seed, 100+i)), i, stop) })
	}
	time.Sleep(time.Second)
	until := time.Now().Add(soakTime)
	for i := range uint64(2) {
		faults.Go(func() { s.injectFaults(rand.New(rand.NewPCG(s.seed, i)), i, until) })
	}
	faults.Wait()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
}

// call sends requests of all kinds; one in eight repeats a request that crashes targets.
func (s *soak) call(random *rand.Rand, caller uint64, stop chan struct{}) {
	client, vm := newClient(), s.deployment.VMs[random.IntN(3)]
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if random.IntN(10) == 0 {
			vm = s.deployment.VMs[random.IntN(3)]
		}
		id := fmt.Sprintf("%s/%d-%d", vm.ID, caller, n)
		uri := []string{"/g/x", "/e/x"}[random.IntN(2)] + id
		if random.IntN(8) == 0 {
			uri = []string{"/g/", "/e/"}[random.IntN(2)] + "poison" + s.query(n)
		}
		result := sendTo(vm, client, id, uri)
		s.mu.Lock()
		s.results = append(s.results, result)
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
	}
}

// query returns the query of the n-th crashing request of a caller: another one each time
// with odd seeds.
func (s *soak) query(n int) string {
	if s.seed%2 == 0 {
		return ""
	}
	return fmt.Sprintf("?page=%d&sort=new", n)
}

// injectFaults injects one fault after the other. The two series overlap; the second one
// leaves VMs and the store alone.
func (s *soak) injectFaults(random *rand.Rand, series uint64, until time.Time) {
	for time.Now().Before(until) {
		length := time.Duration(200+random.IntN(2500)) * time.Millisecond
		target, vm := s.targets[random.IntN(len(s.targets))], s.deployment.VMs[random.IntN(3)]
		switch kind := random.IntN(4); {
		case series == 0 && kind == 0:
			s.disturb(vm, func() { s.stopAndStart(vm, syscall.SIGTERM) })
		case series == 0 && kind == 1:
			s.disturb(vm, func() { s.stopAndStart(vm, syscall.SIGKILL) })
		case series == 0 && kind == 2:
			s.disturb(vm, func() {
				vm.Process().Signal(syscall.SIGSTOP)
				time.Sleep(length)
				vm.Process().Signal(syscall.SIGCONT)
			})
		case series == 0:
			s.deployment.Store.SetFault([]users.Fault{users.Hang, users.Unavailable}[random.IntN(2)])
			time.Sleep(length)
			s.deployment.Store.SetFault(users.None)
		case kind == 0:
			target.Crash(crashedTargetDown)
			time.Sleep(length)
		case kind == 1:
			s.state(s.limited, target, "Server-Limit", strconv.FormatFloat(soakLimit, 'f', 1, 64))
			time.Sleep(length)
		case kind == 2:
			s.state(s.leaving, target, "Server-Leaving", "1")
			time.Sleep(length)
		default:
			s.setBehavior(target, func(b *users.Behavior) { b.Shed, b.Header = true, headerWith(b.Header, "Retry-After", "1") })
			time.Sleep(length)
			s.setBehavior(target, func(b *users.Behavior) { b.Shed = false; b.Header.Del("Retry-After") })
		}
	}
}

func headerWith(h http.Header, name, value string) http.Header {
	h[name] = []string{value}
	return h
}

// state makes a target state a header from now on, until it restarts.
func (s *soak) state(periods map[string][]period, target *users.Target, name, value string) {
	s.setBehavior(target, func(b *users.Behavior) { b.Header = headerWith(b.Header, name, value) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(periods[target.ID]); n > 0 && periods[target.ID][n-1].to.After(time.Now()) {
		return
	}
	periods[target.ID] = append(periods[target.ID], period{from: time.Now(), to: time.Now().Add(time.Hour)})
}

// disturb records that a VM is disturbed while the fault lasts, and for the stable window
// after it is ready again.
func (s *soak) disturb(vm *testkit.UsersVM, fault func()) {
	from := time.Now()
	s.mu.Lock()
	s.disturbed[vm.ID] = append(s.disturbed[vm.ID], period{from: from, to: from.Add(time.Hour)})
	index := len(s.disturbed[vm.ID]) - 1
	s.mu.Unlock()
	fault()
	_ = testkit.Poll(s.t.Context(), 10*time.Second, vm.Ready)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed[vm.ID][index].to = time.Now().Add(crashStableWindow)
}

func (s *soak) stopAndStart(vm *testkit.UsersVM, signal syscall.Signal) {
	vm.Process().Signal(signal)
	if _, err := vm.Process().Wait(s.t.Context()); err != nil {
		s.t.Errorf("%s did not end: %v", vm.ID, err)
	}
	if err := s.deployment.StartVM(vm); err != nil {
		s.t.Errorf("%s did not start: %v", vm.ID, err)
	}
}

// counts reports whether a rule with a bound counts a request that reached a target.
func (s *soak) counts(id string, at time.Time) bool {
	vm, _, _ := strings.Cut(id, "/")
	for _, p := range s.disturbed[vm] {
		if p.contains(at) {
			return false
		}
	}
	return true
}

// checkRequests checks that no request that may not repeat ran twice, that what was said not
// to have run was not run, and that most requests were served.
func (s *soak) checkRequests() {
	edits := map[string]int{}
	for _, target := range s.targets {
		for _, run := range target.Runs() {
			if strings.HasPrefix(run.URI, "/e/") {
				edits[run.ID]++
			}
		}
	}
	statuses := map[int]int{}
	for _, result := range s.results {
		statuses[result.status]++
		require.LessOrEqual(s.t, edits[result.id], 1, "%s ran more than once", result.id)
		if result.status == http.StatusServiceUnavailable {
			require.Zero(s.t, edits[result.id], "%s ran, its caller was told that it had not", result.id)
		}
	}
	s.t.Logf("requests by status: %v", statuses)
	require.Greater(s.t, statuses[http.StatusOK], len(s.results)/3)
}

// checkCrashes checks the rule BUDGET for the requests that crash their targets.
func (s *soak) checkCrashes() {
	for _, path := range []string{"/g/poison", "/e/poison"} {
		var crashes []time.Time
		late := 0
		for _, target := range s.targets {
			for _, run := range target.Runs() {
				if pathOf(run.URI) == path {
					crashes = append(crashes, run.At)
				}
			}
		}
		sortTimes(crashes)
		for _, target := range s.targets {
			for _, run := range target.Runs() {
				if pathOf(run.URI) == path && len(crashes) > 2 && run.At.After(crashes[2].Add(crashStableWindow)) && s.counts(run.ID, run.At) {
					late++
				}
			}
		}
		s.t.Logf("%s: %d runs, %d late", path, len(crashes), late)
		require.LessOrEqual(s.t, late, maxSendsAfterCrashes, path)
	}
}

// checkLeaving checks the rule DRAIN for a time in which a target says that it leaves: the
// drain time runs from the first answer that a VM got, or that another one got and had the
// time to share.
func (s *soak) checkLeaving(target string, p period, arrivals []users.Arrival) {
	const sharing = 1500 * time.Millisecond
	known := map[string]time.Time{}
	var first time.Time
	for _, arrival := range arrivals {
		if !arrival.Leaving || !p.contains(arrival.At) {
			continue
		}
		vm, _, _ := strings.Cut(arrival.ID, "/")
		if _, ok := known[vm]; !ok {
			known[vm] = arrival.At
			s.t.Logf("%s was told by %s at %s", vm, target, arrival.At.Sub(p.from))
		}
		if first.IsZero() {
			first = arrival.At
		}
		require.Less(s.t, arrival.At.Sub(known[vm]), soakDrain, "%s reached %s after its VM was told", arrival.ID, target)
		require.Less(s.t, arrival.At.Sub(first), soakDrain+sharing, "%s reached %s after another VM was told", arrival.ID, target)
	}
}

// checkAdvice checks the rules LIMIT and DRAIN.
func (s *soak) checkAdvice() {
	const window = 4 * time.Second
	for _, target := range s.targets {
		var counted []users.Arrival
		for _, arrival := range target.Arrivals() {
			if s.counts(arrival.ID, arrival.At) {
				counted = append(counted, arrival)
			}
		}
		for _, p := range s.leaving[target.ID] {
			s.checkLeaving(target.ID, p, counted)
		}
		for _, p := range s.limited[target.ID] {
			var within []users.Arrival
			for _, arrival := range counted {
				if p.contains(arrival.At) {
					within = append(within, arrival)
				}
			}
			most := mostInWindow(within, p.from.Add(window), window)
			require.LessOrEqual(s.t, most, int(1.5*soakLimit*window.Seconds())+5, target.ID)
		}
	}
}
