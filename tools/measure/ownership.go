package main

import (
	"context"
	"fmt"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// The rate sweep has rateSteps steps, each at rateFactor times the previous rate.
const (
	rateFactor = 2
	rateSteps  = 4
)

// limitCounters sums the counts of a front's targets that relate to their limits;
// runningPeak is the maximum over the targets.
type limitCounters struct {
	violations  uint64
	shed        uint64
	runningPeak uint32
}

// limitsExceeded reports whether a target had more connections or work than it
// accepts.
func (c limitCounters) limitsExceeded() bool {
	return c.violations+c.shed > 0
}

// breach describes the first rate at which the baseline exceeds the targets'
// limits, with the counters of baseline and product at that rate. If found is
// false, rate is the highest rate tried.
type breach struct {
	found             bool
	rate              float64
	baseline, product limitCounters
	result            *pb.LoadResult
}

// ownership finds the rate at which VMs that each connect to every target and
// choose replicas independently exceed the targets' limits, and loads the product,
// which dispatches through owners, at the same rate.
func ownership(ctx context.Context, h *harness) (verdict, error) {
	ok := true
	var parts []string
	for _, vms := range h.VMs {
		b, err := h.findBreach(ctx, vms)
		if err != nil {
			return verdict{}, err
		}
		text := "baseline within the limits up to"
		if b.found {
			text = "baseline exceeds the limits at"
		}
		parts = append(parts, fmt.Sprintf("%d VMs: %s %.0f searches/s (connection violations %d, shed %d, running peak %d); through owners %d, %d, %d, p99 %.1f ms, coverage %.1f %%",
			vms, text, b.rate, b.baseline.violations, b.baseline.shed, b.baseline.runningPeak,
			b.product.violations, b.product.shed, b.product.runningPeak, ms(b.result.Latency.P99Us), load.CoveragePercent(b.result.Counts)))
		ok = ok && !b.product.limitsExceeded() && b.result.Latency.P99Us <= callerTimeLimitMs*usPerMs
	}
	return verdict{
		figures: strings.Join(parts, "; "),
		bound:   fmt.Sprintf("through owners 0 connection violations, 0 shed by targets, p99 <= %d ms", callerTimeLimitMs),
		ok:      ok,
	}, nil
}

func (h *harness) findBreach(ctx context.Context, vms int) (breach, error) {
	var b breach
	direct := []testkit.Setting{{Section: "experiment", Key: "direct_targets", Value: "true"}}
	err := h.withDeployment(ctx, vms, direct, func(d *testkit.Deployment) error {
		rate := h.Rate
		for range rateSteps {
			b.rate = rate
			var err error
			if _, b.baseline, err = h.loadAndCount(ctx, d, fmt.Sprintf("%d VMs, direct, %.0f/s", vms, rate), rate); err != nil {
				return err
			}
			if b.found = b.baseline.limitsExceeded(); b.found {
				return nil
			}
			rate *= rateFactor
		}
		return nil
	})
	if err != nil {
		return b, err
	}
	// The product goes through the same steps, so that both reach the final rate
	// equally warmed up.
	err = h.withDeployment(ctx, vms, nil, func(d *testkit.Deployment) error {
		for rate := h.Rate; rate <= b.rate; rate *= rateFactor {
			var err error
			if b.result, b.product, err = h.loadAndCount(ctx, d, fmt.Sprintf("%d VMs, owners, %.0f/s", vms, rate), rate); err != nil {
				return err
			}
		}
		return nil
	})
	return b, err
}

func (h *harness) withDeployment(ctx context.Context, vms int, settings []testkit.Setting, fn func(*testkit.Deployment) error) error {
	d, err := h.deployment(ctx, vms/domains, settings)
	if err != nil {
		return err
	}
	defer d.Close()
	return fn(d)
}

// loadAndCount runs load at the given rate and returns its result and the counters
// of the targets since their start.
func (h *harness) loadAndCount(ctx context.Context, d *testkit.Deployment, label string, rate float64) (*pb.LoadResult, limitCounters, error) {
	var counts limitCounters
	result, err := h.load(ctx, d, label, rate)
	if err != nil {
		return nil, counts, err
	}
	counters, err := d.Counters(ctx, &standinv1.Selector{Front: front(d).Name})
	if err != nil {
		return nil, counts, err
	}
	counts.violations = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ConnectionViolations })
	counts.shed = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.Shed })
	connections := uint32(0)
	for _, target := range counters.Targets {
		counts.runningPeak = max(counts.runningPeak, target.RunningPeak)
		connections = max(connections, target.ConnectionsPeak)
	}
	fmt.Printf("%-28s connection violations=%d shed=%d running peak=%d connections peak=%d\n",
		label, counts.violations, counts.shed, counts.runningPeak, connections)
	return result, counts, nil
}
