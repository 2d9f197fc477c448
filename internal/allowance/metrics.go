package allowance

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxLabels bounds the organisations that have metrics of their own: those with the greatest
// rates. The others are counted together, as otherLabel. Labels of organisations that leave stay
// until a restart, so maxLabelsEver bounds all of them.
const (
	maxLabels     = 20
	maxLabelsEver = 200
	otherLabel    = "other"
)

// counts are the metrics of a Service. Its mutex guards them.
type counts struct {
	set *metrics.Set
	// labelled are the organisations that have metrics of their own, and ever those that had.
	labelled, ever map[string]bool
	requests       map[requestLabels]*metrics.Counter

	sent, failed, received, limitations, refunded *metrics.Counter
}

// requestLabels are the labels of a counter of requests.
type requestLabels struct {
	organisation, result string
	basis                Basis
}

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set: set, labelled: map[string]bool{}, ever: map[string]bool{}, requests: map[requestLabels]*metrics.Counter{},
		sent:        set.NewCounter("carawayreel_allowance_reports_total"),
		failed:      set.NewCounter("carawayreel_allowance_reports_failed_total"),
		received:    set.NewCounter("carawayreel_allowance_reports_received_total"),
		limitations: set.NewCounter("carawayreel_allowance_limitations_total"),
		refunded:    set.NewCounter("carawayreel_allowance_requests_refunded_total"),
	}
}

// setOrganisations chooses the organisations with metrics of their own. It reports whether any
// organisation has an allowance.
func (c *counts) setOrganisations(organisations []*pb.Organisation) bool {
	limited := slices.DeleteFunc(slices.Clone(organisations), func(o *pb.Organisation) bool { return o.GetRequestsPerS() <= 0 })
	slices.SortFunc(limited, func(a, b *pb.Organisation) int {
		return cmp.Or(cmp.Compare(b.GetRequestsPerS(), a.GetRequestsPerS()), cmp.Compare(a.GetName(), b.GetName()))
	})
	clear(c.labelled)
	for _, o := range limited[:min(len(limited), maxLabels)] {
		if c.ever[o.GetName()] || len(c.ever) < maxLabelsEver {
			c.labelled[o.GetName()], c.ever[o.GetName()] = true, true
		}
	}
	return len(limited) > 0
}

// record counts a decision.
func (c *counts) record(organisation string, d Decision) {
	labels := requestLabels{organisation: otherLabel, result: "refused", basis: d.Basis}
	if c.labelled[organisation] {
		labels.organisation = organisation
	}
	if d.Admitted {
		labels.result = "admitted"
	}
	counter := c.requests[labels]
	if counter == nil {
		counter = c.set.GetOrCreateCounter(fmt.Sprintf("carawayreel_allowance_requests_total{organisation=%q,result=%q,basis=%q}",
			labels.organisation, labels.result, labels.basis))
		c.requests[labels] = counter
	}
	counter.Inc()
}
