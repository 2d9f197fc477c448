package gateway_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/gateway"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// underPressure returns a fixture with admission control, whose shards are under pressure at
// another VM.
func underPressure(t *testing.T) *fixture {
	controller := admission.New()
	f := newFixtureWith(t, func(o *gateway.Options) {
		o.Admission = controller
		o.Settings.Routes.Admission = "priority"
	})
	pressures := []*pb.ServicePressure{{Service: "g0", Pressure: 0.9, Demand: 1000}, {Service: "g1", Pressure: 0.9, Demand: 1000}}
	controller.Merge("other", pressures, time.Now())
	return f
}

// A VM that did not pass on the refusal of the gatherer would gather by itself, or ask further
// gatherers, and so send what was refused.
func TestRefusalOfTheGathererReachesTheCaller(t *testing.T) {
	f := newDelegationFixture(t)
	gatherer := underPressure(t)
	f.serve(t, gatherer.gateway.GatherHandler())
	response, _ := f.small.do(t, "GET", "/g/x?q=1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Regexp(t, `^[0-4]\.[1-9]\d\d$`, response.Header.Get("Retry-After"))
	require.Zero(t, runs(f.small)+runs(gatherer))
	var text bytes.Buffer
	f.small.metrics.WritePrometheus(&text)
	require.Contains(t, text.String(), `carawayreel_admission_refused_total{service="gatherers",reason="delegated"} 1`)
	text.Reset()
	gatherer.metrics.WritePrometheus(&text)
	require.Contains(t, text.String(), `carawayreel_admission_refused_total{service="g1",reason="pressure"} 1`)
	require.Contains(t, text.String(), `carawayreel_admission_delayed_total{service="g1",reason="pressure"} 1`)
	require.Regexp(t, `"reason":"pressure","service":"g1","pressure":0.\d+,"pressure_age_ms":\d+`, gatherer.log.String())
}
