package e2e_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// leaveLimit is the time in which a target or failure domain that was taken out
// receives its last new work.
const leaveLimit = 3 * time.Second

// settle is waited for work that must not come.
const settle = leaveLimit + 2*time.Second

// takeOut takes a failure domain out at a VM and marks its targets, so that they
// count what arrives later.
func takeOut(t *testing.T, d *testkit.Deployment, at *testkit.VM, domain string) {
	t.Helper()
	response, err := at.Admin.SetServingState(t.Context(), connect.NewRequest(&pb.SetServingStateRequest{
		FailureDomain: domain, State: pb.ServingState_SERVING_STATE_TAKEN_OUT, Author: "test",
	}))
	require.NoError(t, err)
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, response.Msg.Status, response.Msg.String())
	mark := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_MARK_LEAVING}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{FailureDomain: domain}, mark))
}

func bringBack(t *testing.T, at *testkit.VM, domain string) {
	t.Helper()
	response, err := at.Admin.SetServingState(t.Context(), connect.NewRequest(&pb.SetServingStateRequest{
		FailureDomain: domain, State: pb.ServingState_SERVING_STATE_IN_SERVICE, Author: "test",
	}))
	require.NoError(t, err)
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, response.Msg.Status, response.Msg.String())
}

func requireLeft(t *testing.T, d *testkit.Deployment, domain string) {
	t.Helper()
	counters, err := d.Counters(t.Context(), &standinv1.Selector{FailureDomain: domain})
	require.NoError(t, err)
	for _, target := range counters.Targets {
		require.LessOrEqual(t, target.LastAfterLeavingMs, leaveLimit.Milliseconds(), target.Target)
	}
}

func requireWhole(t *testing.T, answers []*pb.SearchResponse) {
	t.Helper()
	for _, answer := range answers {
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome, "%s %s %v", answer.Vm, answer.Reason, answer.Coverage)
	}
}

// A failure domain that is taken out gets its last new work within the limit
// although the store goes down right after, health endpoints lie and one VM was
// frozen meanwhile; searches stay whole from the other failure domains.
func TestTakenOutFailureDomainReceivesNoNewWork(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	frozen := d.InDomain("c")[1]
	lie := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_LIE_HEALTH, Healthy: true}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{}, lie))
	searches := startSearches(t, d, "archive", 4, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	frozen.Pause()
	takeOut(t, d, d.InDomain("b")[0], "a")
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{Outage: true}))
	time.Sleep(settle)
	frozen.Resume()
	time.Sleep(settle)
	answers := searches.end(t)
	requireLeft(t, d, "a")
	requireWholeBut(t, answers, frozen.ID)
}

// requireWholeBut requires whole answers of all VMs but the one that was frozen,
// which may refuse or miss its deadline.
func requireWholeBut(t *testing.T, answers []*pb.SearchResponse, frozen string) {
	t.Helper()
	var others []*pb.SearchResponse
	for _, answer := range answers {
		if answer.Vm != frozen {
			others = append(others, answer)
		}
	}
	requireWhole(t, others)
}

// A failure domain that comes back gets work again, through the ramp.
func TestFailureDomainComesBackThroughTheRamp(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1, Standin: []string{"--start-cold"}})
	searches := startSearches(t, d, "archive", 6, time.Millisecond)
	time.Sleep(3 * time.Second)
	takeOut(t, d, d.VMs[1], "a")
	time.Sleep(leaveLimit)
	cold := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{FailureDomain: "a"}, cold))
	before, err := d.Counters(t.Context(), &standinv1.Selector{FailureDomain: "a"})
	require.NoError(t, err)
	bringBack(t, d.VMs[1], "a")
	require.NoError(t, testkit.Poll(t.Context(), 20*time.Second, func() bool { return warm(t, d, "a") }))
	answers := searches.end(t)
	after, err := d.Counters(t.Context(), &standinv1.Selector{FailureDomain: "a"})
	require.NoError(t, err)
	require.Greater(t, ran(after), ran(before))
	requireNoColdViolation(t, d)
	requireWhole(t, answers)
}

// warm reports whether the owners hold every target of the front's services in
// the failure domain for warm.
func warm(t *testing.T, d *testkit.Deployment, domain string) bool {
	t.Helper()
	status, err := d.InDomain(domain)[0].Admin.GetStatus(t.Context(), connect.NewRequest(&pb.GetStatusRequest{}))
	require.NoError(t, err)
	for _, target := range status.Msg.Targets {
		if target.Front == "archive" && target.Phase != pb.TargetPhase_TARGET_PHASE_WARM {
			return false
		}
	}
	return true
}

func ran(counters *standinv1.GetCountersResponse) uint64 {
	var sum uint64
	for _, target := range counters.Targets {
		sum += target.SearchesRan
	}
	return sum
}

// A failure domain that is cut off from the others and from the platform goes on
// serving what it can and states its coverage truly; so do the others.
func TestCutOffFailureDomainServesWhatItCan(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	for _, other := range []string{"b", "c", "platform"} {
		require.NoError(t, d.Cut(t.Context(), "a", other, true))
	}
	time.Sleep(5 * time.Second)
	searches := startSearches(t, d, "archive", 6, 5*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, other := range []string{"b", "c", "platform"} {
		require.NoError(t, d.Cut(t.Context(), "a", other, false))
	}
	time.Sleep(4 * time.Second)
	answers := searches.end(t)
	served := map[string]int{}
	for _, answer := range answers {
		served[answer.Vm[:len("vm-a")]]++
	}
	require.Positive(t, served["vm-a"], "%v", served)
	require.Positive(t, served["vm-b"], "%v", served)
	requireWhole(t, answers)
	require.Empty(t, searches.failures)
}
