package allowance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawayreel/carawayreel/internal/organisation"
)

// vmCounts are the sizes of the deployments.
var vmCounts = []int{9, 68, 295}

// powerLaw returns the loads of organisations whose rates follow a power law with the exponent
// 1.2 below the greatest rate, at 0.6 of them.
func powerLaw(count int, greatest float64) []*load {
	var loads []*load
	for i := range count {
		rate := math.Max(math.Round(greatest/math.Pow(float64(i+1), 1.2)), 1)
		loads = append(loads, &load{
			Organisation: &organisation.Organisation{Name: fmt.Sprintf("org-%02d", i), RequestsPerSecond: rate, Burst: rate},
			usual:        0.6, only: -1,
		})
	}
	return loads
}

// scenario is a load with faults; run returns the time from which the bound is checked.
type scenario struct {
	name  string
	loads func() []*load
	run   func(s *simulation)
	from  time.Duration
	// maxFaults bounds the refusals within the allowance as a share of all requests.
	maxFaults float64
}

func rushOf(index int, times float64, only int) func() []*load {
	return func() []*load {
		loads := powerLaw(76, 300)
		l := loads[index]
		l.rush, l.rushFrom, l.rushTo, l.only = times, 10*time.Second, 18*time.Second, only
		return loads
	}
}

func calm(s *simulation) { s.run(30 * time.Second) }

var scenarios = []scenario{
	{name: "calm", loads: func() []*load { return powerLaw(76, 300) }, run: calm, maxFaults: 0.01},
	{name: "small", loads: func() []*load { return powerLaw(76, 3) }, run: calm, maxFaults: 0.01},
	{name: "rush-large", loads: rushOf(0, 7.5, -1), run: calm, maxFaults: 0.01},
	{name: "rush-medium", loads: rushOf(5, 7.5, -1), run: calm, maxFaults: 0.01},
	{name: "rush-small", loads: rushOf(50, 7.5, -1), run: calm, maxFaults: 0.01},
	{name: "rush-one-vm", loads: rushOf(1, 7.5, 3), run: calm, maxFaults: 0.01},
	{name: "rush-retries", loads: rushOf(0, 7.5, -1), run: func(s *simulation) { s.retries = true; calm(s) }, maxFaults: 0.01},
	{name: "lowered", loads: func() []*load { return powerLaw(76, 300) }, from: 15 * time.Second, maxFaults: 0.01, run: func(s *simulation) {
		s.run(10 * time.Second)
		for _, l := range s.loads[:10] {
			rate := l.RequestsPerSecond / 10
			l.usual *= 10
			l.Organisation = &organisation.Organisation{Name: l.Name, RequestsPerSecond: rate, Burst: rate}
		}
		calm(s)
	}},
	{name: "kill-accountants", loads: rushOf(0, 7.5, -1), maxFaults: 0.02, run: func(s *simulation) {
		for at := 8 * time.Second; at < 20*time.Second; at += 2 * time.Second {
			s.run(at)
			accountant := s.accountantOf("org-00")
			accountant.up = false
			s.changed()
			s.run(at + time.Second)
			s.start(accountant)
			s.changed()
		}
		calm(s)
	}},
	{name: "kill-in-calm", loads: func() []*load { return powerLaw(76, 300) }, maxFaults: 0.01, run: func(s *simulation) {
		s.run(10 * time.Second)
		accountant := s.accountantOf("org-00")
		accountant.up = false
		s.changed()
		s.run(15 * time.Second)
		s.start(accountant)
		s.changed()
		calm(s)
	}},
	{name: "cut-in-calm", loads: func() []*load { return powerLaw(76, 300) }, maxFaults: 0.1, run: func(s *simulation) {
		s.run(10 * time.Second)
		s.cut = true
		s.changed()
		s.run(20 * time.Second)
		s.cut = false
		s.changed()
		calm(s)
	}},
	{name: "cut", loads: rushOf(0, 7.5, -1), maxFaults: 0.2, run: func(s *simulation) {
		s.run(9 * time.Second)
		s.cut = true
		s.changed()
		s.run(22 * time.Second)
		s.cut = false
		s.changed()
		calm(s)
	}},
	{name: "cut-in-rush", loads: rushOf(0, 7.5, -1), maxFaults: 0.2, run: func(s *simulation) {
		s.run(12 * time.Second)
		s.cut = true
		s.changed()
		calm(s)
	}},
	{name: "restart-all", loads: rushOf(0, 7.5, -1), maxFaults: 0.2, run: func(s *simulation) {
		s.run(12 * time.Second)
		for _, vm := range s.vms {
			vm.up = false
			s.later(time.Duration(500+s.random.IntN(1500))*time.Millisecond, func() { s.start(vm); s.changed() })
		}
		s.changed()
		calm(s)
	}},
}

// accountantOf returns the VM that the first VM reports the organisation to.
func (s *simulation) accountantOf(string) *machine {
	for _, vm := range s.vms {
		if vm.up && vm.accountant.Accounts("org-00") {
			return vm
		}
	}
	return s.vms[0]
}

// TestAllowanceHoldsOverAllVMs guards against more requests in any 5 s than the allowance with its
// tolerance, and against refusals of requests that a token bucket at one place would admit.
func TestAllowanceHoldsOverAllVMs(t *testing.T) {
	for _, scenario := range scenarios {
		for _, vms := range vmCounts {
			t.Run(fmt.Sprintf("%s/%d", scenario.name, vms), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(uint64(vms), vms, scenario.loads())
				s.run(5 * time.Second)
				s.resetCounts()
				scenario.run(s)
				worst, name := s.excess(scenario.from)
				faults := float64(s.faults) / float64(s.asked)
				t.Logf("%s/%d asked %d, refused %d, within the allowance %.4f, shortfall %.4f, worst window %.2f of the bound (%s), %.0f reports/s %v",
					scenario.name, vms, s.asked, s.refused, faults, s.shortfall(), worst, name, float64(s.messageN)/s.now.Seconds(), s.byBasis)
				assert.LessOrEqual(t, worst, 1.0)
				assert.LessOrEqual(t, faults, scenario.maxFaults)
			})
		}
	}
}
