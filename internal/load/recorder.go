package load

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

const (
	// maxLatency is the upper bound of the histograms; longer latencies are
	// clamped to it.
	maxLatency = 2 * time.Hour
	// totalDigits and intervalDigits are the significant decimal digits of
	// recorded latencies, for the whole run and for each interval.
	totalDigits    = 3
	intervalDigits = 2
	// maxDistinctErrors bounds the error texts with a count of their own; further
	// ones count as "other errors".
	maxDistinctErrors = 20
	maxErrorBytes     = 160
	percent           = 100
)

// recorder aggregates the results of requests. It is safe for concurrent use.
type recorder struct {
	parameters *pb.LoadParameters

	mu        sync.Mutex
	total     *tally
	intervals []*tally
	missing   map[string]uint64
	failures  map[string]uint64
}

// tally holds the counts and the latency histogram of the run or one interval.
type tally struct {
	counts    *pb.LoadCounts
	histogram *hdrhistogram.Histogram
}

func newTally(digits int) *tally {
	return &tally{
		counts:    &pb.LoadCounts{},
		histogram: hdrhistogram.New(1, int64(maxLatency/microsecond), digits),
	}
}

func newRecorder(p *pb.LoadParameters) *recorder {
	r := &recorder{
		parameters: p,
		total:      newTally(totalDigits),
		missing:    map[string]uint64{},
		failures:   map[string]uint64{},
	}
	for offset := uint64(0); offset < p.DurationMs; offset += p.IntervalMs {
		r.intervals = append(r.intervals, newTally(intervalDigits))
	}
	return r
}

// update applies a function to the tallies of the run and of the interval in
// which the request was intended to start.
func (r *recorder) update(offset time.Duration, apply func(*tally)) {
	index := int(offset / (time.Duration(r.parameters.IntervalMs) * time.Millisecond))
	apply(r.total)
	apply(r.intervals[min(index, len(r.intervals)-1)])
}

func (t *tally) recordLatency(latency time.Duration) {
	value := min(max(int64(latency/microsecond), 1), int64(maxLatency/microsecond))
	// RecordValue fails only for values outside the histogram's bounds.
	_ = t.histogram.RecordValue(value)
}

func (r *recorder) addAnswer(offset, latency time.Duration, response *pb.SearchResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, missing := range response.Coverage.GetMissing() {
		r.missing[report.MissingName(missing.Reason)]++
	}
	r.update(offset, func(t *tally) {
		t.counts.Intended++
		t.countAnswer(response)
		if response.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
			t.recordLatency(latency)
		}
	})
}

func (t *tally) countAnswer(response *pb.SearchResponse) {
	c := t.counts
	switch response.Outcome {
	case pb.Outcome_OUTCOME_SUCCESS:
		c.Success++
	case pb.Outcome_OUTCOME_PARTIAL:
		c.Partial++
	case pb.Outcome_OUTCOME_NOT_RUN:
		c.NotRun++
	default:
		c.Other++
	}
	c.PartitionsCovered += uint64(response.Coverage.GetCovered())
	c.PartitionsTotal += uint64(response.Coverage.GetTotal())
	c.Subrequests += uint64(response.Subrequests)
	c.ExtraSubrequests += uint64(response.ExtraSubrequests)
	c.Rows += uint64(len(response.Rows))
}

func (r *recorder) addFailure(offset, latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countFailure(err)
	r.update(offset, func(t *tally) {
		t.counts.Intended++
		t.counts.Failed++
		t.recordLatency(latency)
	})
}

func (r *recorder) countFailure(err error) {
	text := err.Error()
	text = text[:min(len(text), maxErrorBytes)]
	if _, known := r.failures[text]; !known && len(r.failures) >= maxDistinctErrors {
		text = "other errors"
	}
	r.failures[text]++
}

// addNotSent counts a request that was never sent. If its intended start has
// passed, the time since then is recorded as latency.
func (r *recorder) addNotSent(offset, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.update(offset, func(t *tally) {
		t.counts.Intended++
		t.counts.NotSent++
		if waited > 0 {
			t.recordLatency(waited)
		}
	})
}

// progress returns a one-line summary of the run so far.
func (r *recorder) progress(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, l := r.total.counts, r.total.summary()
	return fmt.Sprintf("%5.0fs  ended %d  partial %d  refused %d  failed %d  p50 %.1f ms  p99 %.1f ms  coverage %.2f %%  extra %.2f %%",
		elapsed.Seconds(), c.Intended, c.Partial, c.NotRun, c.Failed,
		toMs(l.P50Us), toMs(l.P99Us), CoveragePercent(c), ExtraPercent(c))
}

func toMs(us uint64) float64 {
	return float64(us) / float64(time.Millisecond/microsecond)
}

// CoveragePercent returns the percentage of partitions that answers covered.
// Answers with an unknown partition map count neither as covered nor as total.
func CoveragePercent(c *pb.LoadCounts) float64 {
	return percentOf(c.GetPartitionsCovered(), c.GetPartitionsTotal())
}

// ExtraPercent returns hedges and retries as a percentage of the other
// subrequests.
func ExtraPercent(c *pb.LoadCounts) float64 {
	return percentOf(c.GetExtraSubrequests(), c.GetSubrequests()-min(c.GetExtraSubrequests(), c.GetSubrequests()))
}

func percentOf(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return percent * float64(part) / float64(whole)
}

func (t *tally) summary() *pb.LoadLatency {
	h := t.histogram
	return &pb.LoadLatency{
		Count:  uint64(h.TotalCount()),
		MeanUs: uint64(h.Mean()),
		P50Us:  uint64(h.ValueAtQuantile(50)),
		P90Us:  uint64(h.ValueAtQuantile(90)),
		P99Us:  uint64(h.ValueAtQuantile(99)),
		P999Us: uint64(h.ValueAtQuantile(99.9)),
		MaxUs:  uint64(h.Max()),
	}
}

// result returns the aggregated result. The caller adds the fields that describe
// the run, such as its start time.
func (r *recorder) result() *pb.LoadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &pb.LoadResult{
		Parameters: r.parameters,
		Counts:     r.total.counts,
		Latency:    r.total.summary(),
	}
	for i, interval := range r.intervals {
		result.Intervals = append(result.Intervals, &pb.LoadInterval{
			OffsetMs: uint64(i) * r.parameters.IntervalMs,
			Counts:   interval.counts,
			Latency:  interval.summary(),
		})
	}
	for reason, n := range r.missing {
		result.Missing = append(result.Missing, &pb.LoadMissing{Reason: reason, Partitions: n})
	}
	for text, n := range r.failures {
		result.Failures = append(result.Failures, &pb.LoadFailure{Error: text, Requests: n})
	}
	slices.SortFunc(result.Missing, func(a, b *pb.LoadMissing) int { return cmp.Compare(a.Reason, b.Reason) })
	slices.SortFunc(result.Failures, func(a, b *pb.LoadFailure) int { return cmp.Compare(a.Error, b.Error) })
	// Encoding into memory cannot fail.
	result.Histogram, _ = r.total.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return result
}
