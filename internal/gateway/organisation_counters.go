package gateway

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawayreel/carawayreel/internal/organisation"
)

// labelledOrganisations is the maximum number of organisations with metrics of their own. With
// the seven results of a request, a VM has at most 147 such series.
const labelledOrganisations = 20

// resultRefused is the result of a request that was refused with a 4xx status.
const resultRefused = "refused"

// organisationCounters counts the requests of organisations by result. An organisation that
// loses its label is counted with the others from then on, and from zero if it gets one again.
// It is safe for concurrent use.
type organisationCounters struct {
	set *metrics.Set

	mu     sync.Mutex
	labels *organisation.Labels
	// counters holds the registered counters by label and result.
	counters map[string]map[string]*metrics.Counter
}

func newOrganisationCounters(set *metrics.Set) *organisationCounters {
	return &organisationCounters{
		set: set, labels: organisation.NewLabels(labelledOrganisations),
		counters: map[string]map[string]*metrics.Counter{},
	}
}

// count counts a request of the organisation.
func (o *organisationCounters) count(name, result string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	label, dropped := o.labels.Count(name, now)
	for _, unused := range dropped {
		for dropped := range o.counters[unused] {
			o.set.UnregisterMetric(organisationMetric(unused, dropped))
		}
		delete(o.counters, unused)
	}
	results := o.counters[label]
	if results == nil {
		results = map[string]*metrics.Counter{}
		o.counters[label] = results
	}
	if results[result] == nil {
		results[result] = o.set.NewCounter(organisationMetric(label, result))
	}
	results[result].Inc()
}

// labelEscaper escapes the characters that end or alter the value of a label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

func organisationMetric(label, result string) string {
	return fmt.Sprintf(`carawayreel_organisation_requests_total{organisation="%s",result="%s"}`,
		labelEscaper.Replace(label), result)
}
