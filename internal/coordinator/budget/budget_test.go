package budget_test

import (
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
)

// In every window the extra subrequests are at most 0.9*share*successes plus the
// burst, and at most share*successes from WindowSuccesses on.
func TestExtraLoadStaysWithinShareInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := budget.Config{
			SharePercent: uint32(rapid.SampledFrom([]int{0, 1, 5, 20, 100}).Draw(t, "percent")),
			Services:     rapid.IntRange(1, 700).Draw(t, "services"),
		}
		share := float64(config.SharePercent) / 100
		if config.SharePercent == 0 {
			share = 0.05
		}
		b := budget.New(config)
		// excess is the largest extra - 0.9*share*successes over all windows that end now.
		excess := 0.0
		for range 300 {
			for range rapid.IntRange(0, 200).Draw(t, "successes") {
				b.RecordSuccess()
				excess = max(excess-0.9*share, 0)
			}
			for range rapid.IntRange(0, 100).Draw(t, "wanted") {
				if b.Spend(budget.Purpose(rapid.IntRange(0, 2).Draw(t, "use"))) {
					excess++
				}
			}
			require.LessOrEqual(t, excess, config.Burst()+1e-6)
		}
		window := config.WindowSuccesses()
		require.LessOrEqual(t, 0.9*share*window+config.Burst(), share*window+1e-6)
	})
}

func TestRetriesSpendTokensReservedFromHedgesAndProbes(t *testing.T) {
	b := budget.New(budget.Config{})
	spendAll := func(purpose budget.Purpose) int {
		n := 0
		for b.Spend(purpose) {
			n++
		}
		return n
	}
	require.Positive(t, spendAll(budget.Probe))
	require.Positive(t, spendAll(budget.Hedge))
	require.Positive(t, spendAll(budget.Retry))
	require.Zero(t, b.Remaining())
}
