package coordinator

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

var (
	searchesRunning  = metrics.NewGauge("carawayreel_searches_running", nil)
	searchSeconds    = metrics.NewHistogram("carawayreel_search_duration_seconds")
	searchCoverage   = metrics.NewHistogram("carawayreel_search_coverage_ratio")
	repliesDiscarded = metrics.NewCounter("carawayreel_replies_discarded_total")
	snapshotRestarts = metrics.NewCounter("carawayreel_search_snapshot_restarts_total")

	searchOutcomes = [...]*metrics.Counter{
		pb.Outcome_OUTCOME_SUCCESS: outcomeCounter(pb.Outcome_OUTCOME_SUCCESS),
		pb.Outcome_OUTCOME_PARTIAL: outcomeCounter(pb.Outcome_OUTCOME_PARTIAL),
		pb.Outcome_OUTCOME_NOT_RUN: outcomeCounter(pb.Outcome_OUTCOME_NOT_RUN),
	}

	firstSubrequests    = subrequestCounter("first")
	hedgeSubrequests    = subrequestCounter("hedge")
	retrySubrequests    = subrequestCounter("retry")
	probeSubrequests    = subrequestCounter("probe")
	redirectSubrequests = subrequestCounter("redirect")
)

func outcomeCounter(outcome pb.Outcome) *metrics.Counter {
	name := strings.ToLower(strings.TrimPrefix(outcome.String(), "OUTCOME_"))
	return metrics.NewCounter(fmt.Sprintf(`carawayreel_searches_total{outcome=%q}`, name))
}

func subrequestCounter(kind string) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf(`carawayreel_subrequests_total{kind=%q}`, kind))
}

// observeAnswer adds an answer to the metrics.
func observeAnswer(answer *pb.SearchResponse, elapsed time.Duration) {
	if answer == nil {
		return
	}
	searchOutcomes[answer.Outcome].Inc()
	if answer.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	searchSeconds.Update(elapsed.Seconds())
	if total := answer.Coverage.GetTotal(); total > 0 {
		searchCoverage.Update(float64(answer.Coverage.Covered) / float64(total))
	}
}

// addCounts adds the counts of one event to the metrics.
func addCounts(c search.Counts) {
	addPositive(firstSubrequests, c.Firsts)
	addPositive(hedgeSubrequests, c.Hedges)
	addPositive(retrySubrequests, c.Retries)
	addPositive(probeSubrequests, c.Probes)
	addPositive(redirectSubrequests, c.Redirects)
	addPositive(repliesDiscarded, c.Discarded)
	addPositive(snapshotRestarts, c.Restarts)
}

func addPositive(counter *metrics.Counter, n int) {
	if n > 0 {
		counter.Add(n)
	}
}
