// Package latency estimates quantiles of recent reply times in bounded memory.
package latency

import (
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of buckets in each power of two; a quantile is
	// off by at most one part in subBuckets.
	subBuckets    = 16
	subBucketBits = 4
	// octaves covers times up to 2^26 microseconds, about 67 s.
	octaves = 23
	buckets = subBuckets * octaves
	// halveAfter is the number of samples after which all counts are halved, so
	// that old samples lose their weight.
	halveAfter = 256
	// refreshAfter is the number of samples after which cached quantiles are
	// computed again.
	refreshAfter = 32
)

// Histogram holds reply times; recent ones weigh more. It is not safe for
// concurrent use.
type Histogram struct {
	counts [buckets]uint16
	total  uint32
	since  uint32
	stale  uint32
	cached Summary
}

// Summary holds the quantiles that hedging needs.
type Summary struct {
	// Samples is the weighted number of samples behind the quantiles.
	Samples uint32
	Median  time.Duration
	// Tail is the reply time that TailQuantile of the replies stay below.
	Tail time.Duration
}

// TailQuantile is the quantile that Summary.Tail gives.
const TailQuantile = 0.98

const medianQuantile = 0.5

// Add records one reply time.
func (h *Histogram) Add(d time.Duration) {
	h.counts[index(d)]++
	h.total++
	h.since++
	h.stale++
	if h.since >= halveAfter {
		h.halve()
	}
}

// Summary returns the quantiles, which may lag by refreshAfter samples.
func (h *Histogram) Summary() Summary {
	if h.stale >= refreshAfter || h.cached.Samples < refreshAfter && h.stale > 0 {
		h.cached = Summary{
			Samples: h.total,
			Median:  h.quantile(medianQuantile),
			Tail:    h.quantile(TailQuantile),
		}
		h.stale = 0
	}
	return h.cached
}

func (h *Histogram) quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := uint32(q * float64(h.total))
	var seen uint32
	for i, count := range h.counts {
		seen += uint32(count)
		if seen > rank {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

func (h *Histogram) halve() {
	h.total = 0
	h.since = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint32(h.counts[i])
	}
}

// index returns the bucket of a time: linear below subBuckets microseconds and
// logarithmic above.
func index(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < subBuckets {
		return int(us)
	}
	octave := bits.Len64(us) - subBucketBits
	return min(octave*subBuckets+int(us>>(octave-1))-subBuckets, buckets-1)
}

// upperBound returns the end of a bucket.
func upperBound(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i+1) * time.Microsecond
	}
	octave := i / subBuckets
	offset := i%subBuckets + subBuckets
	return time.Duration((offset+1)<<(octave-1)) * time.Microsecond
}
