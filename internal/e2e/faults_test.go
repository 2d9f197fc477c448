package e2e_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// Changes run at most once and reported outcomes match their effects while VMs
// are killed, paused and stopped, failure domains are isolated, the store fails,
// targets crash and their answers are lost after the change took effect.
func TestChangesRunAtMostOnceUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run("", func(t *testing.T) {
			d := start(t, testkit.Options{Profile: "demo", Seed: seed, VMsPerDomain: 2})
			changes := startChanges(t, d, 4, 2*time.Millisecond)
			searches := startSearches(t, d, "archive", 2, 20*time.Millisecond)
			faults := testkit.NewFaultSchedule(d, seed, t.Logf)
			for range 8 {
				require.NoError(t, faults.Step(t.Context()))
			}
			time.Sleep(time.Second)
			answers := searches.stopAndCheck(t)
			require.Positive(t, stopChanges(t, changes).Success)
			requireNoColdViolation(t, d)
			requireTerminalOutcomes(t, answers)
		})
	}
}

func requireNoColdViolation(t *testing.T, d *testkit.Deployment) {
	t.Helper()
	counters, err := d.Counters(t.Context(), nil)
	require.NoError(t, err)
	for _, target := range counters.Targets {
		require.Zero(t, target.ColdViolations, target.String())
		require.Zero(t, target.UnannouncedColdViolations, target.String())
		require.Zero(t, target.ConnectionViolations, target.String())
	}
}

func requireTerminalOutcomes(t *testing.T, answers []*pb.SearchResponse) {
	t.Helper()
	for _, answer := range answers {
		require.NotEqual(t, pb.Outcome_OUTCOME_UNSPECIFIED, answer.Outcome)
		if len(answer.Coverage.Missing) > 0 {
			require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, answer.Outcome)
		}
	}
}
