package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	requiredChanges = 10000
	minChangeSeeds  = 5
	changeWorkers   = 12
	changePause     = time.Millisecond
	faultsPerSeed   = 8
	maxChangeSeeds  = 40
	percent         = 100
)

// changes submits changes under fault schedules of successive seeds until enough
// were submitted, and compares the outcomes reported to callers with the targets'
// own counts.
func changes(ctx context.Context, h *harness) (verdict, error) {
	var sum testkit.ChangeSummary
	seeds := 0
	for ; seeds < minChangeSeeds || sum.Tokens < requiredChanges && seeds < maxChangeSeeds; seeds++ {
		seed := h.Seed + uint64(seeds)
		run, err := h.runChanges(ctx, seed)
		if err != nil {
			return verdict{}, err
		}
		fmt.Printf("seed %d: %s\n", seed, changeFigures(run))
		sum.Add(run)
	}
	for _, change := range sum.Contradicted {
		fmt.Printf("untrue: %s %s: %s\n", change.Outcome, change.Token, change.Reason)
	}
	printReasons(sum.NotSuccessful)
	return verdict{
		figures: fmt.Sprintf("%d seeds: %s", seeds, changeFigures(sum)),
		bound:   fmt.Sprintf("at least %d changes under %d seeds, 0 doubled, 0 false \"not run\", 0 false success", requiredChanges, minChangeSeeds),
		ok:      sum.Tokens >= requiredChanges && sum.DuplicateEffects == 0 && sum.FalseNotRun == 0 && sum.FalseSuccess == 0,
	}, nil
}

func (h *harness) runChanges(ctx context.Context, seed uint64) (testkit.ChangeSummary, error) {
	d, err := h.deployment(ctx, vmsPerDomain, nil)
	if err != nil {
		return testkit.ChangeSummary{}, err
	}
	defer d.Close()
	submitted := testkit.StartChanges(ctx, d, changeWorkers, changePause)
	faults := testkit.NewFaultSchedule(d, seed, func(format string, arguments ...any) {
		fmt.Printf("seed %d: "+format+"\n", append([]any{seed}, arguments...)...)
	})
	for range faultsPerSeed {
		if err := faults.Step(ctx); err != nil {
			return testkit.ChangeSummary{}, err
		}
	}
	return submitted.End(ctx)
}

func changeFigures(s testkit.ChangeSummary) string {
	unknown := 0.0
	if s.Tokens > 0 {
		unknown = percent * float64(s.Unknown) / float64(s.Tokens)
	}
	return fmt.Sprintf("%d changes, success %d, not run %d, unknown %d (%.2f %%), doubled %d, false \"not run\" %d, false success %d",
		s.Tokens, s.Success, s.NotRun, s.Unknown, unknown, s.DuplicateEffects, s.FalseNotRun, s.FalseSuccess)
}

// printReasons prints the number of answers per outcome and reason.
func printReasons(changes []testkit.SubmissionResult) {
	counts := map[string]int{}
	for _, change := range changes {
		counts[change.Outcome.String()+": "+change.Reason]++
	}
	for reason, n := range counts {
		fmt.Printf("%6d answers %s\n", n, reason)
	}
}
