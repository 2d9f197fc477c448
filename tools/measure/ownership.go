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

// Rates of the sweep: each step doubles the rate.
const (
	rateFactor = 2
	rateSteps  = 4
)

// targetLimits is what the targets of a front counted against their limits.
type targetLimits struct {
	violations  uint64
	shed        uint64
	runningPeak uint32
}

// exceeded reports whether a target had more connections or work than it takes.
func (t targetLimits) exceeded() bool {
	return t.violations+t.shed > 0
}

// breach is the first rate at which the baseline exceeds the targets' limits,
// and what the product does at the same rate.
type breach struct {
	found             bool
	rate              float64
	baseline, product targetLimits
	result            *pb.LoadResult
}

// ownership looks for the rate at which VMs that each connect to every target
// and choose alone exceed the targets' limits, and loads the product, which
// dispatches through owners, with the same rate.
func ownership(ctx context.Context, l *lab) (verdict, error) {
	ok := true
	var parts []string
	for _, vms := range l.VMs {
		b, err := l.breach(ctx, vms)
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
		ok = ok && !b.product.exceeded() && b.result.Latency.P99Us <= callerLimitMs*usPerMs
	}
	return verdict{
		figures: strings.Join(parts, "; "),
		bound:   fmt.Sprintf("through owners 0 connection violations, 0 shed by targets, p99 <= %d ms", callerLimitMs),
		ok:      ok,
	}, nil
}

func (l *lab) breach(ctx context.Context, vms int) (breach, error) {
	var b breach
	direct := []testkit.Setting{{Section: "experiment", Key: "direct_targets", Value: "true"}}
	err := l.withDeployment(ctx, vms, direct, func(d *testkit.Deployment) error {
		rate := l.Rate
		for range rateSteps {
			b.rate = rate
			var err error
			if _, b.baseline, err = l.limitsAt(ctx, d, fmt.Sprintf("%d VMs, direct, %.0f/s", vms, rate), rate); err != nil {
				return err
			}
			if b.found = b.baseline.exceeded(); b.found {
				return nil
			}
			rate *= rateFactor
		}
		return nil
	})
	if err != nil {
		return b, err
	}
	// The product takes the same steps, so that neither meets a rate unprepared.
	err = l.withDeployment(ctx, vms, nil, func(d *testkit.Deployment) error {
		for rate := l.Rate; rate <= b.rate; rate *= rateFactor {
			var err error
			if b.result, b.product, err = l.limitsAt(ctx, d, fmt.Sprintf("%d VMs, owners, %.0f/s", vms, rate), rate); err != nil {
				return err
			}
		}
		return nil
	})
	return b, err
}

func (l *lab) withDeployment(ctx context.Context, vms int, settings []testkit.Setting, use func(*testkit.Deployment) error) error {
	d, err := l.deployment(ctx, vms/domains, settings)
	if err != nil {
		return err
	}
	defer d.Close()
	return use(d)
}

// limitsAt loads the deployment and returns what its targets have counted since
// they started.
func (l *lab) limitsAt(ctx context.Context, d *testkit.Deployment, label string, rate float64) (*pb.LoadResult, targetLimits, error) {
	var limits targetLimits
	result, err := l.load(ctx, d, label, rate)
	if err != nil {
		return nil, limits, err
	}
	counters, err := d.Counters(ctx, &standinv1.Selector{Front: front(d).Name})
	if err != nil {
		return nil, limits, err
	}
	limits.violations = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.ConnectionViolations })
	limits.shed = total(counters, func(c *standinv1.TargetCounters) uint64 { return c.Shed })
	connections := uint32(0)
	for _, target := range counters.Targets {
		limits.runningPeak = max(limits.runningPeak, target.RunningPeak)
		connections = max(connections, target.ConnectionsPeak)
	}
	fmt.Printf("%-28s connection violations=%d shed=%d running peak=%d connections peak=%d\n",
		label, limits.violations, limits.shed, limits.runningPeak, connections)
	return result, limits, nil
}
