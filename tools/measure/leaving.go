package main

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// leaveLimit bounds the time from taking a failure domain out to the last new
	// work that its targets receive.
	leaveLimit = 3 * time.Second
	// observationTime is how long targets are watched for work that must not
	// arrive.
	observationTime = leaveLimit + 2*time.Second
	// warmUpTimeout is the timeout for all targets to become warm after the failure
	// domain is brought back.
	warmUpTimeout = 60 * time.Second
	pollInterval  = 50 * time.Millisecond
	// Failure domains that are taken out, receive the commands and hold the frozen
	// VM.
	leavingDomain = "a"
	commandDomain = "b"
	frozenDomain  = "c"
)

// leavingRun holds the measurements of taking one failure domain out and bringing
// it back.
type leavingRun struct {
	lastWork       time.Duration
	lateWork       uint64
	searches       uint64
	incomplete     map[pb.Outcome]int
	toFullLoad     time.Duration
	coldViolations uint64
}

// leaving takes a failure domain out while a VM of another one is frozen and the
// store fails right after the command, and brings it back with all its targets
// cold. In the baseline every VM sends work to targets directly.
func leaving(ctx context.Context, h *harness) (verdict, error) {
	product, err := h.measureLeaving(ctx, "through owners", nil)
	if err != nil {
		return verdict{}, err
	}
	direct, err := h.measureLeaving(ctx, "each VM by itself", []testkit.Setting{
		{Section: "experiment", Key: "direct_targets", Value: "true"},
	})
	if err != nil {
		return verdict{}, err
	}
	return verdict{
		figures: fmt.Sprintf("last new work %d ms after the command, not whole %v of %d searches, full load %.1f s after the return, cold violations %d; baseline %d ms, %v of %d, %.1f s, %d",
			product.lastWork.Milliseconds(), product.incomplete, product.searches, product.toFullLoad.Seconds(), product.coldViolations,
			direct.lastWork.Milliseconds(), direct.incomplete, direct.searches, direct.toFullLoad.Seconds(), direct.coldViolations),
		bound: fmt.Sprintf("last new work <= %d ms, 0 searches not whole but at the frozen VM, 0 cold violations", leaveLimit.Milliseconds()),
		ok:    product.lastWork <= leaveLimit && len(product.incomplete) == 0 && product.coldViolations == 0,
	}, nil
}

func (h *harness) measureLeaving(ctx context.Context, label string, settings []testkit.Setting) (leavingRun, error) {
	var run leavingRun
	d, err := h.deployment(ctx, vmsPerDomain, settings)
	if err != nil {
		return run, err
	}
	defer d.Close()
	frozen := d.InDomain(frozenDomain)[1]
	loading, stop := context.WithCancel(ctx)
	defer stop()
	scenarioDone := make(chan error, 1)
	go func() {
		scenarioDone <- run.runScenario(ctx, d, frozen)
		stop()
	}()
	result, balanced, err := h.loadThroughBalancer(loading, d, label)
	if err != nil {
		return run, err
	}
	if err := <-scenarioDone; err != nil {
		return run, err
	}
	run.searches = sent(result)
	run.incomplete = balanced.incompleteOutcomes(frozen.ID)
	fmt.Printf("%-28s %s; received after leaving=%d last after %d ms; at the frozen VM: %v; missing: %s\n",
		label, figures(result), run.lateWork, run.lastWork.Milliseconds(), balanced.byVM[frozen.ID], missing(result))
	return run, nil
}

// runScenario freezes a VM, takes the failure domain out, fails the store, and
// then resumes the VM, restores the store and brings the failure domain back.
func (r *leavingRun) runScenario(ctx context.Context, d *testkit.Deployment, frozen *testkit.VM) error {
	time.Sleep(leaveLimit)
	frozen.Pause()
	defer frozen.Resume()
	selector := &standinv1.Selector{FailureDomain: leavingDomain}
	// Targets start counting before the command, so that no work after it is missed.
	if err := d.Fault(ctx, selector, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_MARK_LEAVING}); err != nil {
		return err
	}
	vm := d.InDomain(commandDomain)[0]
	if err := setServingState(ctx, vm, pb.ServingState_SERVING_STATE_TAKEN_OUT); err != nil {
		return err
	}
	if err := d.StoreFault(ctx, &standinv1.SetStoreFaultRequest{Outage: true}); err != nil {
		return err
	}
	time.Sleep(observationTime)
	frozen.Resume()
	time.Sleep(observationTime)
	if err := r.countLateWork(ctx, d, selector); err != nil {
		return err
	}
	if err := d.StoreFault(ctx, &standinv1.SetStoreFaultRequest{}); err != nil {
		return err
	}
	return r.bringBack(ctx, d, vm, selector)
}

// countLateWork reads the amount and the last time of work that targets received
// after the command.
func (r *leavingRun) countLateWork(ctx context.Context, d *testkit.Deployment, selector *standinv1.Selector) error {
	counters, err := d.Counters(ctx, selector)
	if err != nil {
		return err
	}
	for _, target := range counters.Targets {
		r.lastWork = max(r.lastWork, time.Duration(target.LastAfterLeavingMs)*time.Millisecond)
	}
	r.lateWork = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ReceivedAfterLeaving })
	return nil
}

// bringBack brings the failure domain back with cold targets and measures the time
// until the targets of the front report themselves warm.
func (r *leavingRun) bringBack(ctx context.Context, d *testkit.Deployment, vm *testkit.VM, selector *standinv1.Selector) error {
	turnCold := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	if err := d.Fault(ctx, selector, turnCold); err != nil {
		return err
	}
	began := time.Now()
	if err := setServingState(ctx, vm, pb.ServingState_SERVING_STATE_IN_SERVICE); err != nil {
		return err
	}
	frontSelector := &standinv1.Selector{FailureDomain: leavingDomain, Front: front(d).Name}
	err := testkit.Poll(ctx, warmUpTimeout, func() bool {
		time.Sleep(pollInterval)
		counters, err := d.Counters(ctx, frontSelector)
		return err == nil && allWarm(counters)
	})
	if err != nil {
		return errors.Wrap(err, "not every target became warm")
	}
	r.toFullLoad = time.Since(began)
	counters, err := d.Counters(ctx, nil)
	if err != nil {
		return err
	}
	r.coldViolations = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ColdViolations + c.UnannouncedColdViolations })
	return nil
}

func allWarm(counters *standinv1.GetCountersResponse) bool {
	for _, target := range counters.Targets {
		if target.Cold || target.Down {
			return false
		}
	}
	return true
}

// setServingState takes leavingDomain out or brings it back. It retries until the
// command is accepted, because the store may just be recovering from an outage.
func setServingState(ctx context.Context, vm *testkit.VM, state pb.ServingState) error {
	var lastResponse *pb.ApplyConfigurationResponse
	err := testkit.Poll(ctx, observationTime, func() bool {
		response, err := vm.Admin.SetServingState(ctx, connect.NewRequest(&pb.SetServingStateRequest{
			FailureDomain: leavingDomain, State: state, Author: "measure",
		}))
		if err != nil {
			return false
		}
		lastResponse = response.Msg
		return lastResponse.Status == pb.ApplyStatus_APPLY_STATUS_ACCEPTED
	})
	return errors.Wrapf(err, "serving state not set, last response: %v", lastResponse)
}
