package e2e_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// A rolling replacement of every VM under load interrupts no request, loses no
// change record and leaves every search with full coverage.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	awaitGuardTime()
	searches := startSearches(t, d, "archive", 4, 5*time.Millisecond)
	changes := startChanges(t, d, 2, 5*time.Millisecond)
	for _, vm := range d.VMs {
		time.Sleep(300 * time.Millisecond)
		code, err := vm.Stop(t.Context())
		require.NoError(t, err)
		require.Zero(t, code)
		require.NoError(t, d.StartVM(vm))
		require.NoError(t, d.AwaitReady(t.Context()))
	}
	answers := searches.stopAndCheck(t)
	logTargetFaults(t, d)
	require.Empty(t, searches.failures)
	incomplete := 0
	for _, answer := range answers {
		if answer.Outcome != pb.Outcome_OUTCOME_SUCCESS {
			incomplete++
			t.Logf("%s: %s %s %v", answer.RequestId, answer.Outcome, answer.Reason, answer.Coverage)
		}
	}
	require.Zero(t, incomplete, "of %d searches", len(answers))
	summary := stopChanges(t, changes)
	t.Logf("%d searches", len(answers))
	require.Equal(t, summary.Tokens, summary.Success)
}

// logTargetFaults logs the targets that crashed or had to reset connections.
func logTargetFaults(t *testing.T, d *testkit.Deployment) {
	t.Helper()
	counters, err := d.Counters(t.Context(), nil)
	require.NoError(t, err)
	for _, target := range counters.Targets {
		if target.ConnectionViolations+target.Crashes > 0 {
			t.Logf("%s: %d connections over the limit reset, %d crashes", target.Target, target.ConnectionViolations, target.Crashes)
		}
	}
}
