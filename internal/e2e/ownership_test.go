package e2e_test

import (
	"testing"
	"time"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
	"github.com/stretchr/testify/require"
)

// No target receives more work than its cold limit or more connections than it
// accepts while the whole deployment starts, one owner is killed and restarted,
// another is paused for 10 s and resumes, and targets turn cold unannounced.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	d := start(t, testkit.Options{
		Profile: "demo", VMsPerDomain: 2, StandinArguments: []string{"--start-cold", "--warm-requests", "60", "--warm-time", "3s"},
	})
	searches := startSearches(t, d, "archive", 12, time.Millisecond)
	time.Sleep(time.Second)
	killed, paused := d.InDomain("a")[0], d.InDomain("b")[1]
	turnCold(t, d)
	killed.Kill()
	paused.Pause()
	const pauseDuration = 10 * time.Second
	resumeTimer := time.AfterFunc(pauseDuration, paused.Resume)
	defer resumeTimer.Stop()
	time.Sleep(pauseDuration / 2)
	require.NoError(t, d.StartVM(killed))
	turnCold(t, d)
	time.Sleep(pauseDuration/2 + 200*time.Millisecond)
	turnCold(t, d)
	time.Sleep(3 * time.Second)
	searches.stopAndCheck(t)
	requireNoColdViolation(t, d)
}

// turnCold simulates a restart of every target of the front: their connections
// drop and their boot identities change.
func turnCold(t *testing.T, d *testkit.Deployment) {
	t.Helper()
	cold := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_TURN_COLD, DropConnections: true}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{Front: "archive"}, cold))
}
