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

// leaveLimit bounds the time from taking out a target or failure domain to the
// last new work that it receives.
const leaveLimit = 3 * time.Second

// observationTime is how long tests watch for work that must not arrive.
const observationTime = leaveLimit + 2*time.Second

// takeOut takes a failure domain out of service through a VM and marks its
// targets as leaving, so that they count the work that arrives afterwards.
func takeOut(t *testing.T, d *testkit.Deployment, vm *testkit.VM, domain string) {
	t.Helper()
	response, err := vm.Admin.SetServingState(t.Context(), connect.NewRequest(&pb.SetServingStateRequest{
		FailureDomain: domain, State: pb.ServingState_SERVING_STATE_TAKEN_OUT, Author: "test",
	}))
	require.NoError(t, err)
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, response.Msg.Status, response.Msg.String())
	mark := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_MARK_LEAVING}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{FailureDomain: domain}, mark))
}

func bringBack(t *testing.T, vm *testkit.VM, domain string) {
	t.Helper()
	response, err := vm.Admin.SetServingState(t.Context(), connect.NewRequest(&pb.SetServingStateRequest{
		FailureDomain: domain, State: pb.ServingState_SERVING_STATE_IN_SERVICE, Author: "test",
	}))
	require.NoError(t, err)
	require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, response.Msg.Status, response.Msg.String())
}

func requireNoLateWork(t *testing.T, d *testkit.Deployment, domain string) {
	t.Helper()
	counters, err := d.Counters(t.Context(), &standinv1.Selector{FailureDomain: domain})
	require.NoError(t, err)
	for _, target := range counters.Targets {
		require.LessOrEqual(t, target.LastAfterLeavingMs, leaveLimit.Milliseconds(), target.Target)
	}
}

func requireFullCoverage(t *testing.T, answers []*pb.SearchResponse) {
	t.Helper()
	for _, answer := range answers {
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome, "%s %s %v", answer.Vm, answer.Reason, answer.Coverage)
	}
}

// A failure domain that is taken out receives its last new work within leaveLimit
// even if the store goes down right afterwards, health endpoints falsely report
// healthy and one VM was paused meanwhile. Searches keep full coverage from the
// other failure domains.
func TestTakenOutFailureDomainReceivesNoNewWork(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	paused := d.InDomain("c")[1]
	falseHealth := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_LIE_HEALTH, Healthy: true}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{}, falseHealth))
	searches := startSearches(t, d, "archive", 4, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	paused.Pause()
	takeOut(t, d, d.InDomain("b")[0], "a")
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{Outage: true}))
	time.Sleep(observationTime)
	paused.Resume()
	time.Sleep(observationTime)
	answers := searches.stopAndCheck(t)
	requireNoLateWork(t, d, "a")
	requireFullCoverageExcept(t, answers, paused.ID)
}

// requireFullCoverageExcept requires full coverage in the answers of all VMs but
// the one that was paused, which may refuse requests or miss their deadlines.
func requireFullCoverageExcept(t *testing.T, answers []*pb.SearchResponse, paused string) {
	t.Helper()
	var others []*pb.SearchResponse
	for _, answer := range answers {
		if answer.Vm != paused {
			others = append(others, answer)
		}
	}
	requireFullCoverage(t, others)
}

// A failure domain that is brought back receives work again, with a gradual
// ramp-up of its cold targets.
func TestReturningFailureDomainIsRampedUp(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1, StandinArguments: []string{"--start-cold"}})
	searches := startSearches(t, d, "archive", 6, time.Millisecond)
	time.Sleep(3 * time.Second)
	takeOut(t, d, d.VMs[1], "a")
	time.Sleep(leaveLimit)
	cold := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{FailureDomain: "a"}, cold))
	before, err := d.Counters(t.Context(), &standinv1.Selector{FailureDomain: "a"})
	require.NoError(t, err)
	bringBack(t, d.VMs[1], "a")
	require.NoError(t, testkit.Poll(t.Context(), 20*time.Second, func() bool { return allWarm(t, d, "a") }))
	answers := searches.stopAndCheck(t)
	after, err := d.Counters(t.Context(), &standinv1.Selector{FailureDomain: "a"})
	require.NoError(t, err)
	require.Greater(t, searchesRun(after), searchesRun(before))
	requireNoColdViolation(t, d)
	requireFullCoverage(t, answers)
}

// allWarm reports whether the owners in the failure domain consider all their
// targets of the front warm.
func allWarm(t *testing.T, d *testkit.Deployment, domain string) bool {
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

func searchesRun(counters *standinv1.GetCountersResponse) uint64 {
	var sum uint64
	for _, target := range counters.Targets {
		sum += target.SearchesRan
	}
	return sum
}

// During a network partition that isolates a failure domain from the others and
// from the platform, both sides keep serving and report their coverage correctly.
func TestIsolatedFailureDomainKeepsServing(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	for _, other := range []string{"b", "c", "platform"} {
		require.NoError(t, d.SetLink(t.Context(), "a", other, true))
	}
	time.Sleep(5 * time.Second)
	searches := startSearches(t, d, "archive", 6, 5*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, other := range []string{"b", "c", "platform"} {
		require.NoError(t, d.SetLink(t.Context(), "a", other, false))
	}
	time.Sleep(4 * time.Second)
	answers := searches.stopAndCheck(t)
	served := map[string]int{}
	for _, answer := range answers {
		served[answer.Vm[:len("vm-a")]]++
	}
	require.Positive(t, served["vm-a"], "%v", served)
	require.Positive(t, served["vm-b"], "%v", served)
	requireFullCoverage(t, answers)
	require.Empty(t, searches.failures)
}
