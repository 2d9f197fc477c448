package allowance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawayreel/carawayreel/internal/allowance"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

const step = 5 * time.Millisecond

// tickSteps is the runtime's interval between two looks at what is due.
const tickSteps = 10

// load describes the callers of one organisation.
type load struct {
	*organisation.Organisation
	// usual is the rate of requests as a part of the allowance.
	usual float64
	// rush multiplies it from rushFrom to rushTo.
	rush             float64
	rushFrom, rushTo time.Duration
	// only is the index of the only VM that gets requests from the rush on, or -1.
	only int
	// few, if not zero, is the number of VMs that the callers reach.
	few int
}

// machine is a VM of the simulation.
type machine struct {
	id         string
	side       int
	up         bool
	startedAt  time.Duration
	lag        time.Duration
	limiter    *allowance.Limiter
	accountant *allowance.Accountant
	roster     *allowance.Roster
	urgent     bool
	phase      int
	weight     float64
	live       []string
}

// simulation runs many VMs with callers, messages and faults in virtual time.
type simulation struct {
	random    *rand.Rand
	vms       []*machine
	loads     []*load
	byName    map[string]*load
	messages  map[int][]func()
	now       time.Duration
	messageN  int
	cut       bool
	retries   bool
	incarnate uint64
	// admitted and faults hold, by organisation and step, the admitted requests and the refusals
	// within the allowance; ideal is a token bucket that sees all requests at once.
	admitted      map[string][]int
	ideal         map[string]float64
	faults, asked int
	refused       int
	// needed counts the requests that a bucket at one place would have admitted, by itself.
	alone          map[string]float64
	needed, served map[string]int
	byBasis        map[string]int
	// history holds the changes of the live VMs.
	history []change
}

type change struct {
	at   time.Duration
	live [][]string
}

var epoch = time.Unix(1_000_000, 0)

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func newSimulation(seed uint64, vms int, loads []*load) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), loads: loads, messages: map[int][]func(){},
		admitted: map[string][]int{}, ideal: map[string]float64{}, alone: map[string]float64{},
		needed: map[string]int{}, served: map[string]int{}, byBasis: map[string]int{}, byName: map[string]*load{},
	}
	for i := range vms {
		vm := &machine{
			id: fmt.Sprintf("vm-%03d", i), side: i % 3 / 2, phase: s.random.IntN(tickSteps),
			// The busiest VM gets about ten times the callers of the median one.
			weight: math.Exp(s.random.NormFloat64()),
		}
		s.vms = append(s.vms, vm)
		s.start(vm)
	}
	for _, l := range loads {
		s.ideal[l.Name], s.alone[l.Name], s.byName[l.Name] = l.Burst, l.Burst, l
	}
	s.changed()
	return s
}

func (s *simulation) start(vm *machine) {
	s.incarnate++
	vm.up, vm.startedAt = true, s.now
	vm.lag = time.Duration(500+s.random.IntN(1500)) * time.Millisecond
	vm.limiter = allowance.NewLimiter(vm.id, s.incarnate, s.random.Float64)
	vm.accountant = allowance.NewAccountant(vm.id)
	vm.roster = allowance.NewRoster()
	vm.live = nil
}

// changed records the live VMs of both sides.
func (s *simulation) changed() {
	next := change{at: s.now, live: make([][]string, 2)}
	for _, vm := range s.vms {
		for side := range next.live {
			if vm.up && (!s.cut || vm.side == side) {
				next.live[side] = append(next.live[side], vm.id)
			}
		}
	}
	s.history = append(s.history, next)
}

// members returns the live VMs as a VM sees them, after its lag.
func (s *simulation) members(vm *machine) []string {
	seen := s.history[0]
	for _, c := range s.history {
		if c.at+vm.lag <= s.now || c.at <= vm.startedAt {
			seen = c
		}
	}
	return seen.live[vm.side]
}

func (s *simulation) lookup(name string) *organisation.Organisation {
	if l := s.byName[name]; l != nil {
		return l.Organisation
	}
	return nil
}

func (s *simulation) later(delay time.Duration, f func()) {
	at := int((s.now+delay)/step) + 1
	s.messages[at] = append(s.messages[at], f)
}

// delay is that of one message: 1 to 20 ms, one of a hundred 200 ms.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(100) == 0 {
		return 200 * time.Millisecond
	}
	return time.Duration(1+s.random.IntN(20)) * time.Millisecond
}

func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += step {
		index := int(s.now / step)
		for _, f := range s.messages[index] {
			f()
		}
		delete(s.messages, index)
		for _, l := range s.loads {
			s.ideal[l.Name] = math.Min(s.ideal[l.Name]+l.RequestsPerSecond*step.Seconds(), l.Burst)
			s.alone[l.Name] = math.Min(s.alone[l.Name]+l.RequestsPerSecond*step.Seconds(), l.Burst)
			s.admitted[l.Name] = append(s.admitted[l.Name], 0)
			for range s.arrivals(l) {
				s.request(l, 0)
			}
		}
		for _, vm := range s.vms {
			if vm.up && (vm.urgent || (index+vm.phase)%tickSteps == 0) {
				s.tick(vm)
			}
		}
	}
}

// arrivals draws the number of requests in one step from a Poisson distribution.
func (s *simulation) arrivals(l *load) int {
	rate := l.RequestsPerSecond * l.usual
	if s.now >= l.rushFrom && s.now < l.rushTo {
		rate *= l.rush
	}
	n, left := 0, math.Exp(-rate*step.Seconds())
	for p := s.random.Float64(); p > left; p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) request(l *load, attempt int) {
	vm := s.pick()
	if l.rush > 0 && l.only >= 0 && s.now >= l.rushFrom {
		vm = s.vms[l.only]
	}
	if l.few > 0 {
		vm = s.vms[(len(l.Name)+int(l.RequestsPerSecond)*7+s.random.IntN(l.few))%len(s.vms)]
	}
	if vm == nil || !vm.up {
		return
	}
	if s.alone[l.Name] >= 1 {
		s.alone[l.Name]--
		s.needed[l.Name]++
	}
	s.asked++
	decision := vm.limiter.Admit(l.Organisation, s.time())
	vm.urgent = vm.urgent || vm.limiter.Urgent(l.Organisation)
	if decision.Admitted {
		s.ideal[l.Name]--
		s.served[l.Name]++
		s.admitted[l.Name][len(s.admitted[l.Name])-1]++
		return
	}
	s.refused++
	if s.ideal[l.Name] >= 1 {
		s.faults++
		s.byBasis[decision.Basis.String()]++
	}
	if s.retries && attempt < 3 {
		s.later(decision.RetryAfter, func() { s.request(l, attempt+1) })
	}
}

func (s *simulation) pick() *machine {
	total := 0.0
	for _, vm := range s.vms {
		if vm.up {
			total += vm.weight
		}
	}
	drawn := s.random.Float64() * total
	for _, vm := range s.vms {
		if vm.up {
			if drawn -= vm.weight; drawn < 0 {
				return vm
			}
		}
	}
	return nil
}

func (s *simulation) tick(vm *machine) {
	vm.urgent = false
	live := s.members(vm)
	if len(live) != len(vm.live) || len(live) > 0 && &live[0] != &vm.live[0] {
		vm.live = live
		s.setMembers(vm)
	}
	for _, report := range vm.limiter.Reports(s.lookup, 1, s.time()) {
		s.messageN++
		s.send(vm, report)
	}
}

func (s *simulation) setMembers(vm *machine) {
	live := vm.live
	vm.roster.Update(allowance.Members{Live: live}, s.time())
	vm.limiter.SetMembers(live, vm.roster.Known(), s.time())
	vm.accountant.SetMembers(allowance.Members{Candidates: live, Live: live}, vm.roster.LiveShare(), s.time())
}

func (s *simulation) send(from *machine, report allowance.Report) {
	limiter := from.limiter
	var to *machine
	for _, vm := range s.vms {
		if vm.id == report.Accountant {
			to = vm
		}
	}
	answer := func(r *pb.ReportUsageResponse) {
		if from.up && from.limiter == limiter {
			limiter.Answered(report.Accountant, report.Request.Sequence, r, s.time())
		}
	}
	reachable := func() bool { return to.up && (!s.cut || to.side == from.side) }
	s.later(s.delay(), func() {
		if !reachable() {
			s.later(500*time.Millisecond, func() { answer(nil) })
			return
		}
		response, _ := to.accountant.Report(report.Request, s.lookup, s.time())
		s.later(s.delay(), func() {
			if !reachable() {
				s.later(500*time.Millisecond, func() { answer(nil) })
				return
			}
			answer(response)
		})
	})
}

// resetCounts forgets the counts of a warm-up.
func (s *simulation) resetCounts() {
	s.asked, s.refused, s.faults = 0, 0, 0
	clear(s.needed)
	clear(s.served)
	clear(s.byBasis)
}

// shortfall returns the requests that a bucket at one place would have admitted beyond those that
// were, as a share of all.
func (s *simulation) shortfall() float64 {
	missing := 0
	for name, needed := range s.needed {
		missing += max(needed-s.served[name], 0)
	}
	return float64(missing) / float64(s.asked)
}

// excess returns the largest ratio of the requests in any window of 5 s to their bound, among all
// organisations, from the time on, and the organisation.
func (s *simulation) excess(from time.Duration) (worst float64, name string) {
	for _, l := range s.loads {
		bound := (l.RequestsPerSecond*5+l.Burst)*1.1 + 20
		sum, window := 0, int(5*time.Second/step)
		for i, n := range s.admitted[l.Name] {
			sum += n
			if i >= window {
				sum -= s.admitted[l.Name][i-window]
			}
			if ratio := float64(sum) / bound; time.Duration(i)*step >= from && ratio > worst {
				worst, name = ratio, l.Name
			}
		}
	}
	return worst, name
}
