package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawayreel/carawayreel/internal/fanout"
)

// counters are the metrics of the gateway.
type counters struct {
	requests  [fanout.CallerGone + 1]*metrics.Counter
	seconds   [fanout.CallerGone + 1]*metrics.Histogram
	refused   *metrics.Counter
	unwritten *metrics.Counter
	// unheld counts the answers that were replaced by 502 for lack of memory to hold them.
	unheld *metrics.Counter
	// delegated counts the requests that a gatherer answered, undelegated those that none
	// would run, and otherVersion those that this VM did not gather because the delegating
	// VM has another version of the routes.
	delegated    *metrics.Counter
	undelegated  *metrics.Counter
	otherVersion *metrics.Counter
	// batches counts the batches that this VM had relayed, lostBatches those of them that
	// were not relayed or whose replies were lost, and relayedBatches those that it relayed.
	batches        *metrics.Counter
	lostBatches    *metrics.Counter
	relayedBatches *metrics.Counter
	// contentsOnTrial counts the contents that this VM put on trial because a target seems to
	// have crashed while it ran them, contentsQuarantined those for which that happened on
	// trial, and contentsCleared the suspicions that it withdrew.
	contentsOnTrial     *metrics.Counter
	contentsQuarantined *metrics.Counter
	contentsCleared     *metrics.Counter
	// requestsHeldBack counts the requests that were rejected because their content, or its
	// family, may crash targets.
	requestsHeldBack *metrics.Counter
	// keysAbsent, keysUnknown and keysRevoked count the requests without a valid key on routes
	// that need one. refusalsUnconfirmed counts the requests that were answered 503 since a
	// newer configuration may allow them.
	keysAbsent          *metrics.Counter
	keysUnknown         *metrics.Counter
	keysRevoked         *metrics.Counter
	refusalsUnconfirmed *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := counters{
		refused:   set.NewCounter("carawayreel_route_requests_refused_total"),
		unwritten: set.NewCounter("carawayreel_route_answers_unwritten_total"),
		unheld:    set.NewCounter("carawayreel_route_answers_unheld_total"),

		delegated:    set.NewCounter("carawayreel_delegation_requests_total"),
		undelegated:  set.NewCounter("carawayreel_delegation_requests_not_run_total"),
		otherVersion: set.NewCounter("carawayreel_delegation_other_version_total"),

		batches:        set.NewCounter("carawayreel_delegation_batches_total"),
		lostBatches:    set.NewCounter("carawayreel_delegation_batches_lost_total"),
		relayedBatches: set.NewCounter("carawayreel_delegation_batches_relayed_total"),

		contentsOnTrial:     set.NewCounter("carawayreel_route_contents_on_trial_total"),
		contentsQuarantined: set.NewCounter("carawayreel_route_contents_quarantined_total"),
		contentsCleared:     set.NewCounter("carawayreel_route_contents_cleared_total"),
		requestsHeldBack:    set.NewCounter("carawayreel_route_requests_held_back_total"),

		keysAbsent:          set.NewCounter(`carawayreel_route_keys_invalid_total{reason="absent"}`),
		keysUnknown:         set.NewCounter(`carawayreel_route_keys_invalid_total{reason="unknown"}`),
		keysRevoked:         set.NewCounter(`carawayreel_route_keys_invalid_total{reason="revoked"}`),
		refusalsUnconfirmed: set.NewCounter("carawayreel_route_refusals_unconfirmed_total"),
	}
	for outcome := range c.requests {
		label := fanout.Outcome(outcome).String()
		c.requests[outcome] = set.NewCounter(fmt.Sprintf("carawayreel_route_requests_total{outcome=%q}", label))
		c.seconds[outcome] = set.NewHistogram(fmt.Sprintf("carawayreel_route_request_seconds{outcome=%q}", label))
	}
	return c
}

// recordOutcome counts a finished request and records its duration.
func (c *counters) recordOutcome(o fanout.Outcome, took time.Duration) {
	c.requests[o].Inc()
	c.seconds[o].Update(took.Seconds())
}
