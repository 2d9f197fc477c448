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
	// stragglerFactor is how much slower a straggler is.
	stragglerFactor = 10
	// oneIn is the number of targets of which one straggles.
	oneIn = 10
	// tailFactor bounds the 99th percentile with stragglers, as a multiple of
	// the one without.
	tailFactor   = 2
	wholePercent = 100
)

// tail compares the latency without stragglers, with one target in ten slower
// by a factor of ten, and with one in ten stuck, with and without hedging.
func tail(ctx context.Context, l *lab) (verdict, error) {
	product, err := l.stragglers(ctx, "product", nil)
	if err != nil {
		return verdict{}, err
	}
	baseline, err := l.stragglers(ctx, "no hedging, random choice", []testkit.Setting{
		{Section: "experiment", Key: "hedging", Value: "false"},
		{Section: "experiment", Key: "replica_choice", Value: "random"},
	})
	if err != nil {
		return verdict{}, err
	}
	bound := min(tailFactor*product.clean.Latency.P99Us, callerLimitMs*usPerMs)
	ok := true
	for _, run := range []*pb.LoadResult{product.slow, product.stuck} {
		ok = ok && run.Latency.P99Us <= bound &&
			load.CoveragePercent(run.Counts) == wholePercent && load.ExtraPercent(run.Counts) <= extraLimitPercent
	}
	return verdict{
		figures: fmt.Sprintf("p99 clean %.1f ms, 1 in 10 slow %.1f ms, stuck %.1f ms; baseline %.1f, %.1f, %.1f ms",
			ms(product.clean.Latency.P99Us), ms(product.slow.Latency.P99Us), ms(product.stuck.Latency.P99Us),
			ms(baseline.clean.Latency.P99Us), ms(baseline.slow.Latency.P99Us), ms(baseline.stuck.Latency.P99Us)),
		bound: fmt.Sprintf("p99 with stragglers <= %.1f ms, coverage 100 %%, extra <= %d %%", ms(bound), extraLimitPercent),
		ok:    ok,
	}, nil
}

type tailRuns struct {
	clean, slow, stuck *pb.LoadResult
}

func (l *lab) stragglers(ctx context.Context, label string, settings []testkit.Setting) (tailRuns, error) {
	var runs tailRuns
	d, err := l.deployment(ctx, vmsPerDomain, settings)
	if err != nil {
		return runs, err
	}
	defer d.Close()
	if _, err := l.load(ctx, d, label+", warm-up", l.Rate); err != nil {
		return runs, err
	}
	if runs.clean, err = l.load(ctx, d, label+", clean", l.Rate); err != nil {
		return runs, err
	}
	selector := &standinv1.Selector{Targets: everyTenth(front(d))}
	slow := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: stragglerFactor}
	if err := d.Fault(ctx, selector, slow); err != nil {
		return runs, err
	}
	if runs.slow, err = l.load(ctx, d, label+", slow", l.Rate); err != nil {
		return runs, err
	}
	stuck := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE}
	if err := d.Fault(ctx, selector, stuck); err != nil {
		return runs, err
	}
	runs.stuck, err = l.load(ctx, d, label+", stuck", l.Rate)
	return runs, err
}

// everyTenth returns every tenth target of a front.
func everyTenth(f *pb.Front) []string {
	var chosen []string
	n := 0
	for _, service := range f.Services {
		for _, target := range service.Targets {
			if n%oneIn == 0 {
				chosen = append(chosen, target.Id)
			}
			n++
		}
	}
	return chosen
}

// choice compares ways of choosing replicas while one target in ten is
// slower. The third way, load-report, is not measured: the daemon asks no target
// for its load.
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
		figures: fmt.Sprintf("p99 with 1 in 10 slow: in-flight %.1f ms, random %.1f ms, load-report not measured", ms(kept.Latency.P99Us), ms(other.Latency.P99Us)),
		bound:   "in-flight is not slower than random",
		ok:      kept.Latency.P99Us <= other.Latency.P99Us,
	}, nil
}
