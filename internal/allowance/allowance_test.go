package allowance_test

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/organisation"
)

// powerLaw returns the loads of organisations whose rates follow a power law with the exponent
// 1.2 below the greatest rate, at 0.6 of them.
func powerLaw(count int, greatest float64) []*load {
	loads := make([]*load, 0, count)
	for i := range count {
		rate := math.Max(math.Round(greatest/math.Pow(float64(i+1), 1.2)), 1)
		loads = append(loads, &load{
			Organisation: &organisation.Organisation{Name: fmt.Sprintf("org-%02d", i), RequestsPerSecond: rate, Burst: rate},
			usual:        0.6, only: -1,
		})
	}
	return loads
}

// scenario is a load with faults; the bound is checked from the given time on.
type scenario struct {
	name  string
	loads func() []*load
	run   func(s *simulation)
	from  time.Duration
	// maxFaults bounds the refusals while a bucket that sees all requests holds a token, and
	// maxShortfall the requests that were not served although such a bucket alone would have
	// admitted as many, both as a share of all requests. Zero means no bound and 0.01.
	maxFaults, maxShortfall float64
}

func rushOf(index, only int) func() []*load {
	return func() []*load {
		loads := usual()
		l := loads[index]
		l.rush, l.rushFrom, l.rushTo, l.only = 7.5, 10*time.Second, 18*time.Second, only
		return loads
	}
}

func usual() []*load { return powerLaw(76, 300) }

// fewVMs has the callers of each organisation reach only a number of VMs.
func fewVMs(loads func() []*load, number int) func() []*load {
	return func() []*load {
		changed := loads()
		for _, l := range changed {
			l.few = number
		}
		return changed
	}
}

func calm(s *simulation) { s.run(30 * time.Second) }

// scenarios are the loads and faults that the requirements name. The rushes send 7.5 times the
// usual load for 8 s.
var scenarios = []scenario{
	{name: "calm", loads: usual, run: calm, maxFaults: 0.01},
	{name: "small", loads: func() []*load { return powerLaw(76, 3) }, run: calm, maxFaults: 0.01},
	{name: "rush-large", loads: rushOf(0, -1), run: calm},
	{name: "rush-medium", loads: rushOf(5, -1), run: calm},
	{name: "rush-small", loads: rushOf(50, -1), run: calm},
	{name: "rush-one-vm", loads: rushOf(1, 3), run: calm},
	{name: "rush-retries", loads: rushOf(0, -1), run: func(s *simulation) { s.retries = true; calm(s) }},
	{name: "lowered", loads: usual, from: 15 * time.Second, run: func(s *simulation) {
		s.run(10 * time.Second)
		for _, l := range s.loads[:10] {
			rate := l.RequestsPerSecond / 10
			l.usual *= 10
			l.Organisation = &organisation.Organisation{Name: l.Name, RequestsPerSecond: rate, Burst: rate}
		}
		calm(s)
	}},
	{name: "kill-in-calm", loads: usual, run: func(s *simulation) { killAccountant(s, 10*time.Second, 15*time.Second); calm(s) }, maxShortfall: 0.03},
	{name: "kill-in-rush", loads: rushOf(0, -1), maxShortfall: 0.15, run: func(s *simulation) {
		for at := 8 * time.Second; at < 20*time.Second; at += 2 * time.Second {
			killAccountant(s, at, at+time.Second)
		}
		calm(s)
	}},
	{name: "cut-in-calm", loads: usual, run: func(s *simulation) { cut(s, 10*time.Second, 20*time.Second) }, maxShortfall: 0.15},
	{name: "cut-before-rush", loads: rushOf(0, -1), run: func(s *simulation) { cut(s, 9*time.Second, 22*time.Second) }, maxShortfall: 0.1},
	{name: "cut-in-rush", loads: rushOf(0, -1), run: func(s *simulation) { cut(s, 12*time.Second, 25*time.Second) }, maxShortfall: 0.1},
	{name: "restart-calm", loads: usual, run: restartAll, maxShortfall: 0.13},
	{name: "restart-few", loads: fewVMs(usual, 3), run: restartAll, maxShortfall: 0.13},
	{name: "restart-few-rush", loads: fewVMs(rushOf(0, -1), 10), run: restartAll, maxShortfall: 0.13},
	{name: "calm-few", loads: fewVMs(usual, 3), run: calm, maxFaults: 0.01},
	{name: "restart-all", loads: rushOf(0, -1), run: restartAll, maxShortfall: 0.12},
}

// killAccountant kills the VM that accounts for the busiest organisation, and starts it again.
func killAccountant(s *simulation, at, until time.Duration) {
	s.run(at)
	killed := s.vms[0]
	for _, vm := range s.vms {
		if vm.up && vm.accountant.Accounts("org-00") {
			killed = vm
		}
	}
	killed.up = false
	s.changed()
	s.run(until)
	s.start(killed)
	s.changed()
}

// cut separates a third of the VMs from the others for a time.
func cut(s *simulation, from, until time.Duration) {
	s.run(from)
	s.cut = true
	s.changed()
	s.run(until)
	s.cut = false
	s.changed()
	calm(s)
}

// restartAll stops all VMs in a rush and starts them within 0.5 to 2 s.
func restartAll(s *simulation) {
	s.run(12 * time.Second)
	for _, vm := range s.vms {
		vm.up = false
		s.later(time.Duration(500+s.random.IntN(1500))*time.Millisecond, func() { s.start(vm); s.changed() })
	}
	s.changed()
	calm(s)
}

// TestAllowanceHoldsOverAllVMs guards against more requests in any 5 s than the allowance with its
// tolerance, and against refusals of requests that a token bucket at one place would admit. Seeds
// beyond the first are for trials: CARAWAYREEL_SEEDS is their number.
func TestAllowanceHoldsOverAllVMs(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("CARAWAYREEL_SEEDS"), "1"), 10, 32)
	require.NoError(t, err)
	for _, scenario := range scenarios {
		for _, vms := range []int{9, 68, 295} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%s/%d/%d", scenario.name, vms, seed), func(t *testing.T) {
					t.Parallel()
					scenario.check(t, newSimulation(seed, vms, scenario.loads()))
				})
			}
		}
	}
}

func (c scenario) check(t *testing.T, s *simulation) {
	s.run(5 * time.Second)
	s.resetCounts()
	c.run(s)
	worst, name := s.excess(c.from)
	faults := float64(s.faults) / float64(s.asked)
	t.Logf("%s/%d asked %d, refused %d, within the allowance %.4f, shortfall %.4f, worst window %.2f of the bound (%s), %.0f reports/s",
		c.name, len(s.vms), s.asked, s.refused, faults, s.shortfall(), worst, name, float64(s.messageN)/s.now.Seconds())
	assert.LessOrEqual(t, worst, 1.0)
	assert.LessOrEqual(t, s.shortfall(), cmp.Or(c.maxShortfall, 0.01))
	if c.maxFaults > 0 {
		assert.LessOrEqual(t, faults, c.maxFaults)
	}
}
