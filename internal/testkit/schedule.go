package testkit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// Schedule brings about faults in an order drawn from a seed, one at a time, and
// ends each of them: VMs are killed, frozen and stopped, failure domains are cut
// off, the store fails, answers are lost after the effect and targets crash.
type Schedule struct {
	d      *Deployment
	random *rand.Rand
	logf   func(format string, arguments ...any)
}

// NewSchedule returns a schedule; logf is told of each fault.
func NewSchedule(d *Deployment, seed uint64, logf func(format string, arguments ...any)) *Schedule {
	return &Schedule{d: d, random: rand.New(rand.NewPCG(seed, seed)), logf: logf}
}

// Step brings about one fault and ends it.
func (s *Schedule) Step(ctx context.Context) error {
	kinds := []func(context.Context) error{
		s.kill, s.freeze, s.cut, s.storeOutage, s.dropAnswers, s.crashTarget, s.planned,
	}
	return kinds[s.random.IntN(len(kinds))](ctx)
}

func (s *Schedule) vm() *VM {
	return s.d.VMs[s.random.IntN(len(s.d.VMs))]
}

func (s *Schedule) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *Schedule) kill(context.Context) error {
	vm := s.vm()
	s.logf("kill %s", vm.ID)
	vm.Kill()
	time.Sleep(s.between(100*time.Millisecond, 2*time.Second))
	return s.d.StartVM(vm)
}

func (s *Schedule) freeze(context.Context) error {
	vm := s.vm()
	s.logf("freeze %s", vm.ID)
	vm.Pause()
	time.Sleep(s.between(200*time.Millisecond, 4*time.Second))
	vm.Resume()
	return nil
}

func (s *Schedule) cut(ctx context.Context) error {
	ends := append([]string{"platform"}, profile.Domains()...)
	s.random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	s.logf("cut %s from %s", ends[0], ends[1])
	if err := s.d.Cut(ctx, ends[0], ends[1], true); err != nil {
		return err
	}
	time.Sleep(s.between(200*time.Millisecond, 3*time.Second))
	return s.d.Cut(ctx, ends[0], ends[1], false)
}

func (s *Schedule) storeOutage(ctx context.Context) error {
	s.logf("store outage")
	hang := s.random.IntN(2) == 0
	if err := s.d.StoreFault(ctx, &standinv1.SetStoreFaultRequest{Outage: true, Hang: hang}); err != nil {
		return err
	}
	time.Sleep(s.between(200*time.Millisecond, 2*time.Second))
	return s.d.StoreFault(ctx, &standinv1.SetStoreFaultRequest{})
}

func (s *Schedule) dropAnswers(ctx context.Context) error {
	s.logf("answers of changes dropped after the effect")
	fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_DROP_ANSWER, Count: 5, Hang: s.random.IntN(2) == 0}
	if err := s.d.Fault(ctx, &standinv1.Selector{Front: s.d.Profile.Configuration().Fronts[1].Name}, fault); err != nil {
		return err
	}
	time.Sleep(s.between(200*time.Millisecond, time.Second))
	return s.d.Fault(ctx, &standinv1.Selector{}, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR})
}

func (s *Schedule) crashTarget(ctx context.Context) error {
	s.logf("a target crashes")
	services := s.d.Profile.Configuration().Fronts[s.random.IntN(2)].Services
	targets := services[s.random.IntN(len(services))].Targets
	selector := &standinv1.Selector{Targets: []string{targets[s.random.IntN(len(targets))].Id}}
	fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: 1000}
	if err := s.d.Fault(ctx, selector, fault); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

func (s *Schedule) planned(ctx context.Context) error {
	vm := s.vm()
	s.logf("planned stop of %s", vm.ID)
	if _, err := vm.Stop(ctx); err != nil {
		return errors.Wrap(err, vm.ID)
	}
	return s.d.StartVM(vm)
}
