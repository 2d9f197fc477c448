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

// refusals counts work that was not run, by reason.
func refusals(reason string) *metrics.Counter {
	if strings.HasPrefix(reason, reasonSuspect) {
		reason = "suspect"
	}
	return metrics.GetOrCreateCounter(fmt.Sprintf("carawayreel_owner_refused_total{reason=%q}", reason))
}

// phaseChanges counts changes of phase or limit, by the phase entered.
func phaseChanges(phase Phase) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("carawayreel_owner_phase_changes_total{phase=%q}", phase))
}
