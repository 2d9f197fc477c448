// Package latency estimates quantiles of recent reply latencies in bounded memory.
package latency

import (
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of buckets per power of two; the relative error
	// of a quantile is at most 1/subBuckets.
	subBuckets    = 16
	subBucketBits = 4
	// octaves covers latencies up to 2^26 microseconds, about 67 s.
	octaves = 23
	buckets = subBuckets * octaves
	// halveAfter is the number of samples after which all counts are halved, so
	// that old samples decay.
	halveAfter = 256
	// refreshAfter is the number of samples after which cached quantiles are
	// recomputed.
	refreshAfter = 32
)

// Histogram is a log-linear histogram of reply latencies in which older samples
// decay. It is not safe for concurrent use.
type Histogram struct {
	counts       [buckets]uint16
	total        uint32
	sinceHalving uint32
	sinceRefresh uint32
	cached       Summary
}

// Summary holds the latency quantiles from which hedge delays are derived.
type Summary struct {
	// Samples is the number of samples behind the quantiles, after decay.
	Samples uint32
	Median  time.Duration
	// Tail is the TailQuantile of the latencies.
	Tail time.Duration
}

// TailQuantile is the quantile of Summary.Tail.
const TailQuantile = 0.98

const medianQuantile = 0.5

// Add records one latency.
func (h *Histogram) Add(d time.Duration) {
	h.counts[bucketIndex(d)]++
	h.total++
	h.sinceHalving++
	h.sinceRefresh++
	if h.sinceHalving >= halveAfter {
		h.halve()
	}
}

// Summary returns the cached quantiles, which lag by less than refreshAfter samples.
func (h *Histogram) Summary() Summary {
	if h.sinceRefresh >= refreshAfter || h.cached.Samples < refreshAfter && h.sinceRefresh > 0 {
		h.cached = Summary{
			Samples: h.total,
			Median:  h.quantile(medianQuantile),
			Tail:    h.quantile(TailQuantile),
		}
		h.sinceRefresh = 0
	}
	return h.cached
}

func (h *Histogram) quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := uint32(q * float64(h.total))
	var cumulative uint32
	for i, count := range h.counts {
		cumulative += uint32(count)
		if cumulative > rank {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

func (h *Histogram) halve() {
	h.total = 0
	h.sinceHalving = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint32(h.counts[i])
	}
}

// bucketIndex returns the bucket of a latency: linear below subBuckets microseconds
// and logarithmic above.
func bucketIndex(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < subBuckets {
		return int(us)
	}
	octave := bits.Len64(us) - subBucketBits
	return min(octave*subBuckets+int(us>>(octave-1))-subBuckets, buckets-1)
}

// upperBound returns the exclusive upper bound of bucket i.
func upperBound(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i+1) * time.Microsecond
	}
	octave := i / subBuckets
	offset := i%subBuckets + subBuckets
	return time.Duration((offset+1)<<(octave-1)) * time.Microsecond
}
