package testkit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// FaultSchedule injects random faults drawn from a seed, one at a time, and ends each
// before the next: it kills, pauses and stops VMs, cuts links of failure domains,
// makes the store unavailable, drops the responses to changes that took effect and
// crashes targets.
type FaultSchedule struct {
	deployment *Deployment
	random     *rand.Rand
	logf       func(format string, arguments ...any)
}

// NewFaultSchedule returns a schedule that logs each fault with logf.
func NewFaultSchedule(d *Deployment, seed uint64, logf func(format string, arguments ...any)) *FaultSchedule {
	return &FaultSchedule{deployment: d, random: rand.New(rand.NewPCG(seed, seed)), logf: logf}
}

// Step injects one fault and ends it.
func (s *FaultSchedule) Step(ctx context.Context) error {
	kinds := []func(context.Context) error{
		s.killVM, s.pauseVM, s.cutLink, s.storeOutage, s.dropAnswers, s.crashTarget, s.plannedStop,
	}
	return kinds[s.random.IntN(len(kinds))](ctx)
}

func (s *FaultSchedule) randomVM() *VM {
	return s.deployment.VMs[s.random.IntN(len(s.deployment.VMs))]
}

func (s *FaultSchedule) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

func (s *FaultSchedule) killVM(context.Context) error {
	vm := s.randomVM()
	s.logf("kill %s", vm.ID)
	vm.Kill()
	time.Sleep(s.randomDuration(100*time.Millisecond, 2*time.Second))
	return s.deployment.StartVM(vm)
}

func (s *FaultSchedule) pauseVM(context.Context) error {
	vm := s.randomVM()
	s.logf("pause %s", vm.ID)
	vm.Pause()
	time.Sleep(s.randomDuration(200*time.Millisecond, 4*time.Second))
	vm.Resume()
	return nil
}

func (s *FaultSchedule) cutLink(ctx context.Context) error {
	endpoints := append([]string{"platform"}, profile.Domains()...)
	s.random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	s.logf("cut %s from %s", endpoints[0], endpoints[1])
	if err := s.deployment.SetLink(ctx, endpoints[0], endpoints[1], true); err != nil {
		return err
	}
	time.Sleep(s.randomDuration(200*time.Millisecond, 3*time.Second))
	return s.deployment.SetLink(ctx, endpoints[0], endpoints[1], false)
}

func (s *FaultSchedule) storeOutage(ctx context.Context) error {
	s.logf("store outage")
	hang := s.random.IntN(2) == 0
	if err := s.deployment.StoreFault(ctx, &standinv1.SetStoreFaultRequest{Outage: true, Hang: hang}); err != nil {
		return err
	}
	time.Sleep(s.randomDuration(200*time.Millisecond, 2*time.Second))
	return s.deployment.StoreFault(ctx, &standinv1.SetStoreFaultRequest{})
}

func (s *FaultSchedule) dropAnswers(ctx context.Context) error {
	s.logf("drop answers to changes that took effect")
	fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_DROP_ANSWER, Count: 5, Hang: s.random.IntN(2) == 0}
	if err := s.deployment.Fault(ctx, &standinv1.Selector{Front: s.deployment.Profile.Configuration().Fronts[1].Name}, fault); err != nil {
		return err
	}
	time.Sleep(s.randomDuration(200*time.Millisecond, time.Second))
	return s.deployment.Fault(ctx, &standinv1.Selector{}, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR})
}

func (s *FaultSchedule) crashTarget(ctx context.Context) error {
	s.logf("crash a target")
	services := s.deployment.Profile.Configuration().Fronts[s.random.IntN(2)].Services
	targets := services[s.random.IntN(len(services))].Targets
	selector := &standinv1.Selector{Targets: []string{targets[s.random.IntN(len(targets))].Id}}
	fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: 1000}
	if err := s.deployment.Fault(ctx, selector, fault); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

func (s *FaultSchedule) plannedStop(ctx context.Context) error {
	vm := s.randomVM()
	s.logf("planned stop of %s", vm.ID)
	if _, err := vm.Stop(ctx); err != nil {
		return errors.Wrap(err, vm.ID)
	}
	return s.deployment.StartVM(vm)
}
