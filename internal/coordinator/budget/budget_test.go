package budget_test

import (
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
)

// In every window the extra subrequests are at most nine tenths of the share of
// the successes plus the burst, and at most the share itself from
// WindowSuccesses on.
func TestEveryWindowKeepsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := budget.Terms{
			Percent:  uint32(rapid.SampledFrom([]int{0, 1, 5, 20, 100}).Draw(t, "percent")),
			Services: rapid.IntRange(1, 700).Draw(t, "services"),
		}
		share := float64(terms.Percent) / 100
		if terms.Percent == 0 {
			share = 0.05
		}
		b := budget.New(terms)
		// excess is the largest extra - 0.9*share*successes of windows that end now.
		excess := 0.0
		for range 300 {
			for range rapid.IntRange(0, 200).Draw(t, "successes") {
				b.Succeeded()
				excess = max(excess-0.9*share, 0)
			}
			for range rapid.IntRange(0, 100).Draw(t, "wanted") {
				if b.Spend(budget.Use(rapid.IntRange(0, 2).Draw(t, "use"))) {
					excess++
				}
			}
			require.LessOrEqual(t, excess, terms.Burst()+1e-6)
		}
		window := terms.WindowSuccesses()
		require.LessOrEqual(t, 0.9*share*window+terms.Burst(), share*window+1e-6)
	})
}

func TestRetriesMayUseWhatHedgesAndProbesLeave(t *testing.T) {
	b := budget.New(budget.Terms{})
	count := func(use budget.Use) int {
		n := 0
		for b.Spend(use) {
			n++
		}
		return n
	}
	require.Positive(t, count(budget.Probe))
	require.Positive(t, count(budget.Hedge))
	require.Positive(t, count(budget.Retry))
	require.Zero(t, b.Left())
}
