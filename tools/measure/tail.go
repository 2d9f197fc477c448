package main

import (
	"context"
	"fmt"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// stragglerFactor is the slowdown factor of stragglers.
	stragglerFactor = 10
	// targetsPerStraggler is the number of targets of which one is a straggler.
	targetsPerStraggler = 10
	// tailFactor bounds the 99th percentile with stragglers as a multiple of the one
	// without.
	tailFactor          = 2
	fullCoveragePercent = 100
)

// tail compares the tail latency without stragglers, with one target in ten slower
// by stragglerFactor, and with one in ten stuck. The baseline has no hedging and
// chooses replicas at random.
func tail(ctx context.Context, h *harness) (verdict, error) {
	product, err := h.measureStragglers(ctx, "product", nil)
	if err != nil {
		return verdict{}, err
	}
	baseline, err := h.measureStragglers(ctx, "no hedging, random choice", []testkit.Setting{
		{Section: "experiment", Key: "hedging", Value: "false"},
		{Section: "experiment", Key: "replica_choice", Value: "random"},
	})
	if err != nil {
		return verdict{}, err
	}
	bound := min(tailFactor*product.clean.Latency.P99Us, callerTimeLimitMs*usPerMs)
	ok := true
	for _, run := range []*pb.LoadResult{product.slow, product.stuck} {
		ok = ok && run.Latency.P99Us <= bound &&
			load.CoveragePercent(run.Counts) == fullCoveragePercent && load.ExtraPercent(run.Counts) <= maxExtraPercent
	}
	return verdict{
		figures: fmt.Sprintf("p99 clean %.1f ms, 1 in 10 slow %.1f ms, stuck %.1f ms; baseline %.1f, %.1f, %.1f ms",
			ms(product.clean.Latency.P99Us), ms(product.slow.Latency.P99Us), ms(product.stuck.Latency.P99Us),
			ms(baseline.clean.Latency.P99Us), ms(baseline.slow.Latency.P99Us), ms(baseline.stuck.Latency.P99Us)),
		bound: fmt.Sprintf("p99 with stragglers <= %.1f ms, coverage 100 %%, extra <= %d %%", ms(bound), maxExtraPercent),
		ok:    ok,
	}, nil
}

type tailRuns struct {
	clean, slow, stuck *pb.LoadResult
}

func (h *harness) measureStragglers(ctx context.Context, label string, settings []testkit.Setting) (tailRuns, error) {
	var runs tailRuns
	d, err := h.deployment(ctx, vmsPerDomain, settings)
	if err != nil {
		return runs, err
	}
	defer d.Close()
	if _, err := h.load(ctx, d, label+", warm-up", h.Rate); err != nil {
		return runs, err
	}
	if runs.clean, err = h.load(ctx, d, label+", clean", h.Rate); err != nil {
		return runs, err
	}
	selector := &standinv1.Selector{Targets: everyTenthTarget(front(d))}
	slow := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: stragglerFactor}
	if err := d.Fault(ctx, selector, slow); err != nil {
		return runs, err
	}
	if runs.slow, err = h.load(ctx, d, label+", slow", h.Rate); err != nil {
		return runs, err
	}
	stuck := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE}
	if err := d.Fault(ctx, selector, stuck); err != nil {
		return runs, err
	}
	runs.stuck, err = h.load(ctx, d, label+", stuck", h.Rate)
	return runs, err
}

// everyTenthTarget returns the IDs of every tenth target of a front.
func everyTenthTarget(f *pb.Front) []string {
	var chosen []string
	n := 0
	for _, service := range f.Services {
		for _, target := range service.Targets {
			if n%targetsPerStraggler == 0 {
				chosen = append(chosen, target.Id)
			}
			n++
		}
	}
	return chosen
}

// choice compares replica selection policies while one target in ten is slower.
// The load-report policy is not measured, because the daemon does not query
// targets for their load.
func choice(ctx context.Context, h *harness) (verdict, error) {
	results := map[string]*pb.LoadResult{}
	for _, policy := range []string{"in-flight", "random"} {
		runs, err := h.measureStragglers(ctx, policy, []testkit.Setting{
			{Section: "experiment", Key: "replica_choice", Value: policy},
		})
		if err != nil {
			return verdict{}, err
		}
		results[policy] = runs.slow
	}
	inFlight, random := results["in-flight"], results["random"]
	return verdict{
		figures: fmt.Sprintf("p99 with 1 in 10 slow: in-flight %.1f ms, random %.1f ms, load-report not measured", ms(inFlight.Latency.P99Us), ms(random.Latency.P99Us)),
		bound:   "in-flight is not slower than random",
		ok:      inFlight.Latency.P99Us <= random.Latency.P99Us,
	}, nil
}
