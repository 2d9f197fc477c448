package latency_test

import (
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/coordinator/latency"
)

// Quantiles differ from the exact ones by at most the width of a bucket.
func TestQuantilesAreExactWithinABucketWidth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Minute/time.Microsecond)), 32, 200).Draw(t, "us")
		var h latency.Histogram
		for _, us := range samples {
			h.Add(time.Duration(us) * time.Microsecond)
		}
		for len(samples)%32 != 0 {
			h.Add(0)
			samples = append(samples, 0)
		}
		slices.Sort(samples)
		got := h.Summary()
		require.EqualValues(t, len(samples), got.Samples)
		requireWithinBucket(t, samples, latency.TailQuantile, got.Tail)
		requireWithinBucket(t, samples, 0.5, got.Median)
	})
}

func requireWithinBucket(t *rapid.T, sorted []int64, q float64, got time.Duration) {
	exact := time.Duration(sorted[int(q*float64(len(sorted)))]) * time.Microsecond
	require.GreaterOrEqual(t, got, exact)
	require.LessOrEqual(t, got, exact+exact/16+2*time.Microsecond)
}

func TestOldSamplesDecay(t *testing.T) {
	var h latency.Histogram
	for range 1000 {
		h.Add(time.Second)
	}
	for range 2000 {
		h.Add(time.Millisecond)
	}
	require.Less(t, h.Summary().Tail, 2*time.Millisecond)
}
