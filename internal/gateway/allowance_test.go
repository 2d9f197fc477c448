package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/carawayreel/carawayreel/internal/allowance"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/organisation"
	"github.com/carawayreel/carawayreel/internal/routing"
	"github.com/carawayreel/carawayreel/internal/view"
)

type fixedView struct{ *view.View }

func (v fixedView) Current() *view.View { return v.View }

// fakeAllowances admits a number of requests.
type fakeAllowances struct{ left, asked, refunded int }

func (f *fakeAllowances) Admit(*organisation.Organisation, time.Time) allowance.Decision {
	f.asked++
	f.left--
	return allowance.Decision{Admitted: f.left >= 0, RetryAfter: 1234 * time.Millisecond}
}

func (f *fakeAllowances) Refund(*organisation.Organisation, time.Time) { f.refunded++ }

func newAllowanceCall(f Allowances, o *organisation.Organisation) (*call, *httptest.ResponseRecorder) {
	g := New(Options{
		Views: fixedView{view.Build(view.Input{Self: view.VM{ID: "a"}}, nil)}, Targets: health.NewTracker(), Settings: &pb.Settings{},
		Logger: zerolog.Nop(), Metrics: metrics.NewSet(), Allowances: f,
	})
	writer := httptest.NewRecorder()
	return &call{
		gateway: g, writer: writer, http: httptest.NewRequest(http.MethodGet, "/", http.NoBody), organisation: o,
		compiled: &compiledTable{table: &routing.Table{}},
	}, writer
}

// A refusal must tell callers when to return, and one that no target ran must be given back, once.
func TestRequestsBeyondTheAllowanceAreRefused(t *testing.T) {
	f := &fakeAllowances{left: 1}
	o := &organisation.Organisation{Name: "org", RequestsPerSecond: 1}
	admitted, _ := newAllowanceCall(f, o)
	assert.True(t, admitted.withinAllowance())
	admitted.notRun("test", time.Second)
	admitted.refund()
	assert.Equal(t, 1, f.refunded)

	refused, writer := newAllowanceCall(f, o)
	assert.False(t, refused.withinAllowance())
	refused.refund()
	assert.Equal(t, http.StatusTooManyRequests, writer.Code)
	assert.Equal(t, "1.234", writer.Header().Get("Retry-After"))
	assert.Equal(t, 1, f.refunded)
}

// Only the VM that the caller reached counts a request, and only if it has an organisation.
func TestDelegatedAndUnknownRequestsAreNotCounted(t *testing.T) {
	f := &fakeAllowances{}
	delegated, _ := newAllowanceCall(f, &organisation.Organisation{Name: "org", RequestsPerSecond: 1})
	delegated.delegated = true
	unknown, _ := newAllowanceCall(f, nil)
	assert.True(t, delegated.withinAllowance())
	assert.True(t, unknown.withinAllowance())
	assert.Zero(t, f.asked)
}
