package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// ownershipRun is the load's result with what the targets counted.
type ownershipRun struct {
	result      *pb.LoadResult
	violations  uint64
	shed        uint64
	runningPeak uint32
}

// ownership compares dispatch through owners with VMs that each connect to
// every target and choose alone.
func ownership(ctx context.Context, l *lab) (verdict, error) {
	owned, err := l.ownershipRun(ctx, "through owners", nil)
	if err != nil {
		return verdict{}, err
	}
	direct, err := l.ownershipRun(ctx, "each VM by itself", []testkit.Setting{
		{Section: "experiment", Key: "direct_targets", Value: "true"},
	})
	if err != nil {
		return verdict{}, err
	}
	return verdict{
		figures: fmt.Sprintf("connection violations %d, shed by targets %d, p99 %.1f ms; baseline %d, %d, %.1f ms",
			owned.violations, owned.shed, ms(owned.result.Latency.P99Us),
			direct.violations, direct.shed, ms(direct.result.Latency.P99Us)),
		bound: fmt.Sprintf("0 connection violations, p99 <= %d ms", callerLimitMs),
		ok:    owned.violations == 0 && owned.result.Latency.P99Us <= callerLimitMs*usPerMs,
	}, nil
}

func (l *lab) ownershipRun(ctx context.Context, label string, settings []testkit.Setting) (ownershipRun, error) {
	var run ownershipRun
	d, err := l.deployment(ctx, vmsPerDomain, settings)
	if err != nil {
		return run, err
	}
	defer d.Close()
	if _, err := l.load(ctx, d, label+", warm-up", l.Rate); err != nil {
		return run, err
	}
	if run.result, err = l.load(ctx, d, label, l.Rate); err != nil {
		return run, err
	}
	counters, err := d.Counters(ctx, &standinv1.Selector{Front: front(d).Name})
	if err != nil {
		return run, err
	}
	run.violations = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ConnectionViolations })
	run.shed = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.Shed })
	for _, target := range counters.Targets {
		run.runningPeak = max(run.runningPeak, target.RunningPeak)
	}
	fmt.Printf("%-28s connection violations=%d shed=%d running peak=%d\n", label, run.violations, run.shed, run.runningPeak)
	return run, nil
}

// choice compares ways of choosing replicas while a third of the targets is
// loaded by others.
func choice(ctx context.Context, l *lab) (verdict, error) {
	results := map[string]*pb.LoadResult{}
	for _, way := range []string{"in-flight", "random"} {
		runs, err := l.stragglers(ctx, way, []testkit.Setting{
			{Section: "experiment", Key: "replica_choice", Value: way},
		})
		if err != nil {
			return verdict{}, err
		}
		results[way] = runs.slow
	}
	kept, other := results["in-flight"], results["random"]
	return verdict{
		figures: fmt.Sprintf("p99 with 1 in 10 slow: in-flight %.1f ms, random %.1f ms", ms(kept.Latency.P99Us), ms(other.Latency.P99Us)),
		bound:   "in-flight is not slower than random",
		ok:      kept.Latency.P99Us <= other.Latency.P99Us,
	}, nil
}

// cold starts everything at once with all targets cold under load.
func cold(ctx context.Context, l *lab) (verdict, error) {
	d, err := l.deployment(ctx, vmsPerDomain, nil, "--start-cold")
	if err != nil {
		return verdict{}, err
	}
	defer d.Close()
	if _, err := l.load(ctx, d, "all targets cold", l.Rate); err != nil {
		return verdict{}, err
	}
	turn := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	if err := d.Fault(ctx, &standinv1.Selector{Targets: everyTenth(front(d))}, turn); err != nil {
		return verdict{}, err
	}
	if _, err := l.load(ctx, d, "1 in 10 turned cold", l.Rate); err != nil {
		return verdict{}, err
	}
	counters, err := d.Counters(ctx, &standinv1.Selector{Front: front(d).Name})
	if err != nil {
		return verdict{}, err
	}
	violations := total(counters, func(c *standinv1.TargetCounters) uint64 {
		return c.ColdViolations + c.UnannouncedColdViolations
	})
	return verdict{
		figures: fmt.Sprintf("%d cold violations, %d pieces of work started cold, warm at the end: %d of %d targets", violations,
			total(counters, func(c *standinv1.TargetCounters) uint64 { return c.StartedCold }), warmTargets(ctx, d), len(counters.Targets)),
		bound: "0 violations",
		ok:    violations == 0,
	}, nil
}

// warmTargets counts the targets of the front that their owners hold for warm.
func warmTargets(ctx context.Context, d *testkit.Deployment) int {
	status, err := d.VMs[0].Admin.GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{All: true}))
	if err != nil {
		return 0
	}
	warm := 0
	for _, target := range status.Msg.Targets {
		if target.Front == front(d).Name && target.Phase == pb.TargetPhase_TARGET_PHASE_WARM {
			warm++
		}
	}
	return warm
}
