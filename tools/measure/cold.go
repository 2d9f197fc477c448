package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// cold starts a whole deployment with all targets cold under load, turns every
// tenth target cold again later, and counts work beyond the targets' cold limits.
func cold(ctx context.Context, h *harness) (verdict, error) {
	d, err := h.start(ctx, vmsPerDomain, nil, "--start-cold")
	if err != nil {
		return verdict{}, err
	}
	defer d.Close()
	if _, err := h.load(ctx, d, "all targets cold", h.Rate); err != nil {
		return verdict{}, err
	}
	turnCold := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	if err := d.Fault(ctx, &standinv1.Selector{Targets: everyTenthTarget(front(d))}, turnCold); err != nil {
		return verdict{}, err
	}
	if _, err := h.load(ctx, d, "1 in 10 turned cold", h.Rate); err != nil {
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

// warmTargets counts the targets of the front that their owners consider warm. It
// returns 0 if the status is not available.
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
