package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/allowance"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
)

var org = &organisation.Organisation{Name: "org", RequestsPerSecond: 10, Burst: 10}

func lookupOrg(string) *organisation.Organisation { return org }

// steadyAccountant returns an accountant that has adopted its organisations.
func steadyAccountant() (*allowance.Accountant, time.Time) {
	a := allowance.NewAccountant("a")
	a.SetMembers(allowance.Members{Candidates: []string{"a"}, Live: []string{"a", "b"}}, 1, epoch)
	return a, epoch.Add(time.Minute)
}

func usageReport(incarnation, sequence uint64, admitted int64) *pb.ReportUsageRequest {
	return &pb.ReportUsageRequest{
		Vm: "b", Incarnation: incarnation, Sequence: sequence,
		Usage: []*pb.OrganisationUsage{{Organisation: "org", Admitted: admitted}},
	}
}

// A report whose answer was lost is sent again. Charged twice, it would limit an organisation that
// is within its allowance.
func TestRepeatedReportIsChargedOnce(t *testing.T) {
	a, now := steadyAccountant()
	for range 3 {
		answer, _ := a.Report(usageReport(1, 1, 9), lookupOrg, now)
		require.False(t, answer.Grants[0].Limited)
	}
	answer, transitions := a.Report(usageReport(1, 2, 9), lookupOrg, now)
	require.True(t, answer.Grants[0].Limited)
	require.Len(t, transitions, 1)
	answer, _ = a.Report(usageReport(0, 9, 9), lookupOrg, now)
	assert.False(t, answer.Accepted, "report of an earlier incarnation")
}

// Requests that no target ran must not count.
func TestRefundedRequestsAreNotCharged(t *testing.T) {
	a, now := steadyAccountant()
	l := allowance.NewLimiter("b", 1, func() float64 { return 0 })
	l.SetMembers([]string{"a"}, 2, epoch)
	for range 100 {
		decision := l.Admit(org, now)
		require.True(t, decision.Admitted, decision.Basis.String())
		l.Refund(org, now)
		for _, report := range l.Reports(lookupOrg, 1, now) {
			for _, usage := range report.Request.Usage {
				require.LessOrEqual(t, usage.Admitted, int64(0))
			}
			answer, _ := a.Report(report.Request, lookupOrg, now)
			l.Answered("a", report.Request.Sequence, answer, now)
		}
		now = now.Add(20 * time.Millisecond)
	}
}

// Callers that are refused together must be told different times, which end within the window.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	l := allowance.NewLimiter("b", 1, func() float64 { return 0.5 })
	l.SetMembers([]string{"a"}, 1, epoch)
	now, last, refused := epoch.Add(time.Minute), time.Duration(0), 0
	for range 40 {
		decision := l.Admit(org, now)
		if decision.Admitted {
			continue
		}
		if refused++; refused < 20 {
			assert.Greater(t, decision.RetryAfter, last)
		}
		assert.Less(t, decision.RetryAfter, 7*time.Second)
		last = decision.RetryAfter
	}
	assert.Greater(t, refused, 20)
}

// An organisation without an allowance is neither refused nor reported.
func TestOrganisationWithoutAllowanceIsNotLimited(t *testing.T) {
	unlimited := &organisation.Organisation{Name: "free"}
	l := allowance.NewLimiter("b", 1, func() float64 { return 0 })
	for range 1000 {
		require.True(t, l.Admit(unlimited, epoch).Admitted)
	}
	assert.Empty(t, l.Reports(lookupOrg, 1, epoch))
}
