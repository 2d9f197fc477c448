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
	// leaveLimit is the time from the command to the last new work.
	leaveLimit = 3 * time.Second
	// leaveWatch is how long work that must not come is waited for.
	leaveWatch = leaveLimit + 2*time.Second
	// returnLimit is waited for full load after a return.
	returnLimit = 60 * time.Second
	pollPause   = 50 * time.Millisecond
	leavingFrom = "a"
	commandedAt = "b"
	frozenIn    = "c"
)

// leavingRun is what one failure domain's leaving and return came to.
type leavingRun struct {
	lastWork   time.Duration
	after      uint64
	searches   uint64
	notWhole   map[pb.Outcome]int
	toFullLoad time.Duration
	cold       uint64
}

// leaving takes a failure domain out while a VM of another is frozen, with the
// store going down right after the command, and brings it back with all its
// targets cold. The baseline is the same with every VM dispatching by itself.
func leaving(ctx context.Context, l *lab) (verdict, error) {
	product, err := l.leavingRun(ctx, "through owners", nil)
	if err != nil {
		return verdict{}, err
	}
	direct, err := l.leavingRun(ctx, "each VM by itself", []testkit.Setting{
		{Section: "experiment", Key: "direct_targets", Value: "true"},
	})
	if err != nil {
		return verdict{}, err
	}
	return verdict{
		figures: fmt.Sprintf("last new work %d ms after the command, not whole %v of %d searches, full load %.1f s after the return, cold violations %d; baseline %d ms, %v of %d, %.1f s, %d",
			product.lastWork.Milliseconds(), product.notWhole, product.searches, product.toFullLoad.Seconds(), product.cold,
			direct.lastWork.Milliseconds(), direct.notWhole, direct.searches, direct.toFullLoad.Seconds(), direct.cold),
		bound: fmt.Sprintf("last new work <= %d ms, 0 searches not whole but at the frozen VM, 0 cold violations", leaveLimit.Milliseconds()),
		ok:    product.lastWork <= leaveLimit && len(product.notWhole) == 0 && product.cold == 0,
	}, nil
}

func (l *lab) leavingRun(ctx context.Context, label string, settings []testkit.Setting) (leavingRun, error) {
	var run leavingRun
	d, err := l.deployment(ctx, vmsPerDomain, settings)
	if err != nil {
		return run, err
	}
	defer d.Close()
	frozen := d.InDomain(frozenIn)[1]
	loading, stop := context.WithCancel(ctx)
	defer stop()
	acted := make(chan error, 1)
	go func() {
		acted <- run.act(ctx, d, frozen)
		stop()
	}()
	result, through, err := l.loadReady(loading, d, label)
	if err != nil {
		return run, err
	}
	if err := <-acted; err != nil {
		return run, err
	}
	run.searches = sent(result)
	run.notWhole = through.notWhole(frozen.ID)
	fmt.Printf("%-28s %s; received after leaving=%d last after %d ms; at the frozen VM: %v; missing: %s\n",
		label, figures(result), run.after, run.lastWork.Milliseconds(), through.byVM[frozen.ID], missing(result))
	return run, nil
}

// act freezes a VM, takes the failure domain out, lets the store fail and brings
// everything back.
func (r *leavingRun) act(ctx context.Context, d *testkit.Deployment, frozen *testkit.VM) error {
	time.Sleep(leaveLimit)
	frozen.Pause()
	defer frozen.Resume()
	selector := &standinv1.Selector{FailureDomain: leavingFrom}
	// Targets count from before the command, so that nothing after it is missed.
	if err := d.Fault(ctx, selector, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_MARK_LEAVING}); err != nil {
		return err
	}
	at := d.InDomain(commandedAt)[0]
	if err := setServing(ctx, at, pb.ServingState_SERVING_STATE_TAKEN_OUT); err != nil {
		return err
	}
	if err := d.StoreFault(ctx, &standinv1.SetStoreFaultRequest{Outage: true}); err != nil {
		return err
	}
	time.Sleep(leaveWatch)
	frozen.Resume()
	time.Sleep(leaveWatch)
	if err := r.countAfter(ctx, d, selector); err != nil {
		return err
	}
	if err := d.StoreFault(ctx, &standinv1.SetStoreFaultRequest{}); err != nil {
		return err
	}
	return r.comeBack(ctx, d, at, selector)
}

// countAfter reads what the targets received after the command.
func (r *leavingRun) countAfter(ctx context.Context, d *testkit.Deployment, selector *standinv1.Selector) error {
	counters, err := d.Counters(ctx, selector)
	if err != nil {
		return err
	}
	for _, target := range counters.Targets {
		r.lastWork = max(r.lastWork, time.Duration(target.LastAfterLeavingMs)*time.Millisecond)
	}
	r.after = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ReceivedAfterLeaving })
	return nil
}

// comeBack returns the failure domain with its targets cold and measures the
// time until the front's targets there are warm by their own count.
func (r *leavingRun) comeBack(ctx context.Context, d *testkit.Deployment, at *testkit.VM, selector *standinv1.Selector) error {
	turn := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	if err := d.Fault(ctx, selector, turn); err != nil {
		return err
	}
	began := time.Now()
	if err := setServing(ctx, at, pb.ServingState_SERVING_STATE_IN_SERVICE); err != nil {
		return err
	}
	searched := &standinv1.Selector{FailureDomain: leavingFrom, Front: front(d).Name}
	err := testkit.Poll(ctx, returnLimit, func() bool {
		time.Sleep(pollPause)
		counters, err := d.Counters(ctx, searched)
		return err == nil && allWarm(counters)
	})
	if err != nil {
		return errors.Wrap(err, "not every target got warm")
	}
	r.toFullLoad = time.Since(began)
	counters, err := d.Counters(ctx, nil)
	if err != nil {
		return err
	}
	r.cold = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ColdViolations + c.UnannouncedColdViolations })
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

// setServing takes the leaving failure domain out or brings it back; while the
// store has just come back the command is sent again.
func setServing(ctx context.Context, at *testkit.VM, state pb.ServingState) error {
	var last *pb.ApplyConfigurationResponse
	err := testkit.Poll(ctx, leaveWatch, func() bool {
		response, err := at.Admin.SetServingState(ctx, connect.NewRequest(&pb.SetServingStateRequest{
			FailureDomain: leavingFrom, State: state, Author: "measure",
		}))
		if err != nil {
			return false
		}
		last = response.Msg
		return last.Status == pb.ApplyStatus_APPLY_STATUS_ACCEPTED
	})
	return errors.Wrapf(err, "command: %v", last)
}
