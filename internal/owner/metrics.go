package owner

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

var (
	dispatched = metrics.NewCounter("carawayreel_owner_dispatched_total")
	discarded  = metrics.NewCounter("carawayreel_owner_discarded_replies_total")
)

// refusals returns the counter of work that was not run for the given reason.
func refusals(reason string) *metrics.Counter {
	if strings.HasPrefix(reason, reasonSuspect) {
		reason = "suspect"
	}
	return metrics.GetOrCreateCounter(fmt.Sprintf("carawayreel_owner_refused_total{reason=%q}", reason))
}

// phaseChanges returns the counter of changes of phase or limit that led to the given phase.
func phaseChanges(phase Phase) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("carawayreel_owner_phase_changes_total{phase=%q}", phase))
}
