package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// admissionByPriority is the value of the setting routes.admission that turns admission
// control on.
const admissionByPriority = "priority"

// applySettings applies the settings of routes.
func (g *Gateway) applySettings(settings *pb.Settings) {
	g.settings.Store(settings.GetRoutes())
	g.options.Admission.SetEnabled(settings.GetRoutes().GetAdmission() == admissionByPriority)
}

// organisationName returns the name of the caller's organisation; empty if there is none.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// recordAdmission counts what admission control decided on the request.
func (r *fanoutRun) recordAdmission(answer *fanout.Answer) {
	m := r.call.gateway.admission
	if delay, ok := r.machine.Delayed(); ok {
		m.set.GetOrCreateCounter(fmt.Sprintf("carawayreel_admission_delayed_total{service=%q,reason=%q}", delay.Service, delay.Reason)).Inc()
	}
	if refusal := answer.Refusal; refusal != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf("carawayreel_admission_refused_total{service=%q,reason=%q}", refusal.Service, refusal.Reason)).Inc()
	}
}

// admissionMetrics are the metrics of admission control. Their labels are the names of
// services in the configuration, of which the controller holds a bounded number. Only Serve
// uses the published ones.
type admissionMetrics struct {
	set       *metrics.Set
	published map[string]bool
}

func newAdmissionMetrics(set *metrics.Set) *admissionMetrics {
	return &admissionMetrics{set: set, published: map[string]bool{}}
}

// publish sets the gauges of all services, and removes those of services that are gone.
func (m *admissionMetrics) publish(c *admission.Controller, now time.Time) {
	loads := c.Loads(now)
	for service, load := range loads {
		m.set.GetOrCreateGauge(pressureGauge(service), nil).Set(load.Pressure)
		m.set.GetOrCreateGauge(inFlightGauge(service), nil).Set(float64(load.InFlight))
		m.published[service] = true
	}
	for service := range m.published {
		if _, ok := loads[service]; !ok {
			m.set.UnregisterMetric(pressureGauge(service))
			m.set.UnregisterMetric(inFlightGauge(service))
			delete(m.published, service)
		}
	}
}

func pressureGauge(service string) string {
	return fmt.Sprintf("carawayreel_admission_pressure{service=%q}", service)
}

func inFlightGauge(service string) string {
	return fmt.Sprintf("carawayreel_admission_requests_in_flight{service=%q}", service)
}
