package coordinator_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	"github.com/carawayreel/carawayreel/internal/view"
)

// simulation runs the machines of all VMs against simulated targets in virtual time.
// Its outcome depends on the seed only.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	order   int
	targets map[string]*simTarget
	views   []*view.View
	shared  []*search.SharedState
	policy  search.Policy
	limit   time.Duration
	// measureFrom is the start of the measurement; earlier searches do not count.
	measureFrom time.Time

	latencies    []time.Duration
	covered      int
	total        int
	firsts       int
	extra        int
	dispatched   map[string]int
	longestQueue int
	reports      map[string]uint32
}

// simTarget is a simulated target with its owner's queue.
type simTarget struct {
	id      string
	domain  string
	slots   int
	running int
	waiting []*simJob
	// mean is the mean service time of one subrequest; factor multiplies it.
	mean     time.Duration
	factor   float64
	stuck    bool
	shedding bool
}

const simQueueLength = 64

type simJob struct {
	run       *simRun
	request   *pb.SubRequest
	target    *simTarget
	deadline  time.Time
	running   bool
	ended     bool
	cancelled bool
}

type simRun struct {
	vm              int
	machine         *search.Machine
	in              search.Input
	jobs            map[uint64]*simJob
	timerGeneration int
	done            bool
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var simStart = time.Unix(1_800_000_000, 0)

func newSimulation(t *testing.T, seed uint64, s shape, policy search.Policy) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, policy: policy,
		targets: map[string]*simTarget{}, limit: 140 * time.Millisecond,
		dispatched: map[string]int{}, reports: map[string]uint32{},
	}
	config := configuration(s)
	for i := range vms() {
		sim.views = append(sim.views, viewOf(config, i))
		sim.shared = append(sim.shared, search.NewSharedState())
	}
	for i := range s.services {
		for r := range s.replicas {
			id := targetName(i, r)
			sim.targets[id] = &simTarget{
				id: id, domain: domainName(r), slots: int(s.slots), mean: 5 * time.Millisecond, factor: 1,
			}
		}
	}
	return sim
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.order, do: do})
}

func (s *simulation) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// arrivals starts searches as a Poisson process with rate searches per second over all
// VMs.
func (s *simulation) arrivals(rate float64, until time.Time) {
	n := 0
	var next func()
	next = func() {
		if s.now.After(until) {
			return
		}
		n++
		s.search(s.rng.IntN(len(s.views)), fmt.Sprintf("r%d", n))
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *simulation) search(vm int, id string) {
	r := request(id)
	r.Conditions[0].Value = id
	in := search.Input{
		Request: r, Digest: coordinator.Digest(r), Received: s.now, Deadline: s.now.Add(s.limit), Policy: s.policy,
	}
	run := &simRun{vm: vm, in: in, machine: search.New(s.shared[vm], in), jobs: map[uint64]*simJob{}}
	s.apply(run, search.Event{Kind: search.Started})
}

func (s *simulation) apply(run *simRun, e search.Event) {
	if run.done {
		return
	}
	actions := run.machine.Apply(search.Environment{Now: s.now, View: s.views[run.vm]}, e)
	for _, send := range actions.Sends {
		s.dispatch(run, send)
	}
	for _, id := range actions.Cancel {
		job := run.jobs[id]
		s.after(s.delay(run.vm, job.target.domain), func() { s.cancel(job) })
	}
	if !actions.WakeAt.IsZero() {
		run.timerGeneration++
		generation := run.timerGeneration
		s.after(actions.WakeAt.Sub(s.now), func() {
			if run.timerGeneration == generation {
				s.apply(run, search.Event{Kind: search.TimerFired})
			}
		})
	}
	if actions.Answer != nil {
		run.done = true
		s.record(run, actions.Answer)
	}
}

func (s *simulation) record(run *simRun, answer *pb.SearchResponse) {
	if run.in.Received.Before(s.measureFrom) {
		return
	}
	require.LessOrEqual(s.t, s.now.Sub(run.in.Received), s.limit, "the answer is late")
	s.latencies = append(s.latencies, s.now.Sub(run.in.Received))
	s.covered += int(answer.Coverage.Covered)
	s.total += int(answer.Coverage.Total)
	s.extra += int(answer.ExtraSubrequests)
	s.firsts += int(answer.Subrequests - answer.ExtraSubrequests)
}

// delay returns the one-way network latency between a VM and an owner.
func (s *simulation) delay(vm int, domain string) time.Duration {
	if s.views[vm].Self.FailureDomain == domain {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}

func (s *simulation) dispatch(run *simRun, send search.Send) {
	target := s.targets[send.Request.Target]
	job := &simJob{run: run, request: send.Request, target: target, deadline: run.in.Deadline}
	run.jobs[send.Request.Attempt] = job
	s.dispatched[target.id]++
	s.after(s.delay(run.vm, target.domain), func() { s.arrive(job) })
}

func (s *simulation) arrive(job *simJob) {
	target := job.target
	if job.cancelled {
		return
	}
	if target.shedding || len(target.waiting) >= simQueueLength {
		s.reply(job, statusReply(job.request, pb.SubStatus_SUB_STATUS_SHED))
		return
	}
	target.waiting = append(target.waiting, job)
	s.longestQueue = max(s.longestQueue, len(target.waiting))
	s.startNext(target)
}

func (s *simulation) startNext(target *simTarget) {
	for target.running < target.slots && len(target.waiting) > 0 {
		job := target.waiting[0]
		target.waiting = target.waiting[1:]
		if job.cancelled || s.now.After(job.deadline) {
			continue
		}
		target.running++
		job.running = true
		if target.stuck {
			continue
		}
		s.after(s.serviceTime(target), func() { s.complete(job) })
	}
}

// serviceTime draws a log-normal service time with a relative standard deviation of
// about 0.3.
func (s *simulation) serviceTime(target *simTarget) time.Duration {
	const sigma = 0.3
	spread := math.Exp(sigma*s.rng.NormFloat64() - sigma*sigma/2)
	return time.Duration(float64(target.mean) * target.factor * spread)
}

func (s *simulation) complete(job *simJob) {
	if job.ended {
		return
	}
	s.release(job)
	s.reply(job, emptyReply(job.request, resultsWithoutRows(job.request.Partitions)))
}

// resultsWithoutRows returns empty results, which keeps the simulation fast.
func resultsWithoutRows(partitions []string) []*pb.PartitionResult {
	results := make([]*pb.PartitionResult, len(partitions))
	for i, partition := range partitions {
		results[i] = &pb.PartitionResult{Partition: partition}
	}
	return results
}

func (s *simulation) release(job *simJob) {
	job.ended = true
	job.target.running--
	s.startNext(job.target)
}

func (s *simulation) cancel(job *simJob) {
	job.cancelled = true
	if job.running && !job.ended {
		s.release(job)
	}
}

func (s *simulation) reply(job *simJob, reply *pb.SubReply) {
	reply.InFlight = uint32(job.target.running + len(job.target.waiting))
	s.after(s.delay(job.run.vm, job.target.domain), func() {
		s.apply(job.run, search.Event{Kind: search.AttemptEnded, Attempt: job.request.Attempt, Reply: reply})
	})
}

// reportLoads refreshes the reported loads of all targets every lag.
func (s *simulation) reportLoads(lag time.Duration) {
	var tick func()
	tick = func() {
		for id, target := range s.targets {
			s.reports[id] = uint32(target.running + len(target.waiting))
		}
		s.after(lag, tick)
	}
	s.after(0, tick)
}

func (s *simulation) quantile(q float64) time.Duration {
	require.NotEmpty(s.t, s.latencies)
	sorted := slices.Sorted(slices.Values(s.latencies))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (s *simulation) formatResults() string {
	return fmt.Sprintf("searches=%d p50=%v p99=%v p99.9=%v coverage=%.4f%% extra=%.2f%% longest_queue=%d",
		len(s.latencies), s.quantile(0.5).Round(10*time.Microsecond), s.quantile(0.99).Round(10*time.Microsecond),
		s.quantile(0.999).Round(10*time.Microsecond), 100*float64(s.covered)/float64(s.total),
		100*float64(s.extra)/float64(s.firsts), s.longestQueue)
}
