package e2e_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// schedule brings about faults in an order drawn from a seed, one or two at a
// time, and ends each of them.
type schedule struct {
	t      *testing.T
	d      *testkit.Deployment
	random *rand.Rand
}

func newSchedule(t *testing.T, d *testkit.Deployment, seed uint64) *schedule {
	return &schedule{t: t, d: d, random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *schedule) vm() *testkit.VM {
	return s.d.VMs[s.random.IntN(len(s.d.VMs))]
}

func (s *schedule) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// step brings about one fault and ends it.
func (s *schedule) step() {
	kinds := []func(){s.kill, s.freeze, s.cut, s.storeOutage, s.dropAnswers, s.crashTarget, s.planned}
	kinds[s.random.IntN(len(kinds))]()
}

func (s *schedule) kill() {
	vm := s.vm()
	s.t.Logf("kill %s", vm.ID)
	vm.Kill()
	time.Sleep(s.between(100*time.Millisecond, 2*time.Second))
	require.NoError(s.t, s.d.StartVM(vm))
}

func (s *schedule) freeze() {
	vm := s.vm()
	s.t.Logf("freeze %s", vm.ID)
	vm.Pause()
	time.Sleep(s.between(200*time.Millisecond, 4*time.Second))
	vm.Resume()
}

func (s *schedule) cut() {
	ends := append([]string{"platform"}, profile.Domains()...)
	s.random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	s.t.Logf("cut %s from %s", ends[0], ends[1])
	require.NoError(s.t, s.d.Cut(s.t.Context(), ends[0], ends[1], true))
	time.Sleep(s.between(200*time.Millisecond, 3*time.Second))
	require.NoError(s.t, s.d.Cut(s.t.Context(), ends[0], ends[1], false))
}

func (s *schedule) storeOutage() {
	s.t.Log("store outage")
	hang := s.random.IntN(2) == 0
	require.NoError(s.t, s.d.StoreFault(s.t.Context(), &standinv1.SetStoreFaultRequest{Outage: true, Hang: hang}))
	time.Sleep(s.between(200*time.Millisecond, 2*time.Second))
	require.NoError(s.t, s.d.StoreFault(s.t.Context(), &standinv1.SetStoreFaultRequest{}))
}

func (s *schedule) dropAnswers() {
	s.t.Log("answers of changes dropped after the effect")
	fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_DROP_ANSWER, Count: 5, Hang: s.random.IntN(2) == 0}
	require.NoError(s.t, s.d.Fault(s.t.Context(), &standinv1.Selector{Front: s.d.Profile.Configuration().Fronts[1].Name}, fault))
	time.Sleep(s.between(200*time.Millisecond, time.Second))
	clear := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR}
	require.NoError(s.t, s.d.Fault(s.t.Context(), &standinv1.Selector{}, clear))
}

func (s *schedule) crashTarget() {
	s.t.Log("a target crashes")
	services := s.d.Profile.Configuration().Fronts[s.random.IntN(2)].Services
	targets := services[s.random.IntN(len(services))].Targets
	selector := &standinv1.Selector{Targets: []string{targets[s.random.IntN(len(targets))].Id}}
	fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: 1000}
	require.NoError(s.t, s.d.Fault(s.t.Context(), selector, fault))
	time.Sleep(time.Second)
}

func (s *schedule) planned() {
	vm := s.vm()
	s.t.Logf("planned stop of %s", vm.ID)
	_, err := vm.Stop(s.t.Context())
	require.NoError(s.t, err)
	require.NoError(s.t, s.d.StartVM(vm))
}

// Changes run at most once, and callers are told the truth, while VMs are
// killed, frozen and stopped, failure domains are cut off, the store fails,
// answers are lost after the effect and targets crash.
func TestChangesRunAtMostOnceUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run("", func(t *testing.T) {
			d := start(t, testkit.Options{Profile: "demo", Seed: seed, VMsPerDomain: 2})
			changes := startChanges(t, d, 4, 2*time.Millisecond)
			searches := startSearches(t, d, "archive", 2, 20*time.Millisecond)
			faults := newSchedule(t, d, seed)
			for range 8 {
				faults.step()
			}
			time.Sleep(time.Second)
			answers := searches.end(t)
			told := changes.end(t)
			t.Logf("changes: %+v", told)
			require.Positive(t, told.success)
			requireNoColdViolation(t, d)
			requireTerminal(t, answers)
		})
	}
}

func requireNoColdViolation(t *testing.T, d *testkit.Deployment) {
	t.Helper()
	counters, err := d.Counters(t.Context(), nil)
	require.NoError(t, err)
	for _, target := range counters.Targets {
		require.Zero(t, target.ColdViolations, target.String())
		require.Zero(t, target.UnannouncedColdViolations, target.String())
		require.Zero(t, target.ConnectionViolations, target.String())
	}
}

func requireTerminal(t *testing.T, answers []*pb.SearchResponse) {
	t.Helper()
	for _, answer := range answers {
		require.NotEqual(t, pb.Outcome_OUTCOME_UNSPECIFIED, answer.Outcome)
		if len(answer.Coverage.Missing) > 0 {
			require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, answer.Outcome)
		}
	}
}
