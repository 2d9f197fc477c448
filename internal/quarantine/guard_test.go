package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/quarantine"
)

func newGuard() (*quarantine.Guard, *quarantine.List) {
	list := quarantine.New(quarantine.Limits{Capacity: 100, Lifetime: time.Minute})
	return quarantine.NewGuard(list), list
}

func admission(g *quarantine.Guard, after time.Duration) quarantine.Admission {
	a, _ := g.Check(content, start.Add(after))
	return a
}

func TestContentIsRefusedAfterALossOnTrial(t *testing.T) {
	g, _ := newGuard()
	require.Equal(t, quarantine.Admitted, admission(g, 0))
	g.Lost(content, targetA, false, start)
	require.Equal(t, quarantine.OnTrial, admission(g, 0))
	require.True(t, g.BeginTrial(content, start))
	require.False(t, g.BeginTrial(content, start), "one trial at a time")
	g.Lost(content, targetB, true, start.Add(10*time.Millisecond))
	g.EndTrial(content)
	a, until := g.Check(content, start.Add(20*time.Millisecond))
	require.Equal(t, quarantine.Refused, a)
	require.WithinDuration(t, start.Add(time.Second), until, 100*time.Millisecond, "the loss may still be explained")
	a, until = g.Check(content, start.Add(5*time.Second))
	require.Equal(t, quarantine.Refused, a)
	require.WithinDuration(t, start.Add(time.Minute), until, 100*time.Millisecond)
	require.Equal(t, quarantine.Admitted, admission(g, 61*time.Second), "a quarantine ages")
}

// A target that loses a reply but serves other connections has not crashed.
func TestLossIsWithdrawnByAReplyOnAnOlderConnection(t *testing.T) {
	g, list := newGuard()
	g.Lost(content, targetA, false, start)
	g.Replied(targetB, start.Add(-time.Second))
	g.Replied(targetA, time.Time{})
	require.Equal(t, quarantine.OnTrial, admission(g, 0))
	g.Replied(targetA, start.Add(-time.Second))
	require.Equal(t, quarantine.Admitted, admission(g, 0))

	g.Lost(content, targetA, false, start)
	g.Lost(content, targetB, true, start)
	g.Replied(targetB, start.Add(-time.Second))
	require.Equal(t, quarantine.OnTrial, admission(g, 0), "one crash is left")
	g.Replied(targetA, start.Add(-time.Second))
	require.Equal(t, quarantine.Admitted, admission(g, 0))
	require.Empty(t, list.Quarantined(start))
}

// A target that has restarted replies on new connections only.
func TestLossIsNotWithdrawnByAReplyAfterARestart(t *testing.T) {
	g, _ := newGuard()
	g.Lost(content, targetA, false, start)
	g.Replied(targetA, start.Add(800*time.Millisecond))
	require.Equal(t, quarantine.OnTrial, admission(g, time.Second))
}

func TestReplyToTheContentClearsIt(t *testing.T) {
	g, _ := newGuard()
	g.Lost(content, targetA, false, start)
	g.Tick(start.Add(2 * time.Second))
	g.Proved(content)
	require.Equal(t, quarantine.Admitted, admission(g, 2*time.Second))
}

// The other VMs learn of a loss once the target is known to be down, or nothing has shown
// for a second that it is up.
func TestLossIsSharedOnceItLooksLikeACrash(t *testing.T) {
	g, list := newGuard()
	other := quarantine.New(quarantine.DefaultLimits())
	shared := func(at time.Time) int {
		other.Merge(list.Updates(at), at)
		return len(other.Check(content, at).Crashed)
	}
	g.Lost(content, targetA, false, start)
	g.Tick(start.Add(500 * time.Millisecond))
	require.Zero(t, shared(start.Add(500*time.Millisecond)))
	g.Unreachable(targetB, start.Add(500*time.Millisecond))
	require.Zero(t, shared(start.Add(500*time.Millisecond)))
	g.Unreachable(targetA, start.Add(500*time.Millisecond))
	require.Equal(t, 1, shared(start.Add(500*time.Millisecond)))
	g.Lost(content, targetB, false, start)
	g.Tick(start.Add(time.Second))
	require.Equal(t, 2, shared(start.Add(time.Second)))
	require.Equal(t, []quarantine.Finding{
		{Digest: content, Ref: targetA, Admission: quarantine.OnTrial}, {Digest: content, Ref: targetB, Admission: quarantine.OnTrial},
	}, g.TakeFindings())
	require.Empty(t, g.TakeFindings())
}

// A caller that leaves in the moment of a crash must not hide it.
func TestSendThatWasGivenUpIsBlamedIfTheTargetIsDown(t *testing.T) {
	g, _ := newGuard()
	g.Unanswered(content, targetA, false, start)
	require.Equal(t, quarantine.Admitted, admission(g, 0))
	g.Unreachable(targetA, start.Add(time.Second))
	require.Equal(t, quarantine.OnTrial, admission(g, time.Second))

	g, _ = newGuard()
	g.Unanswered(content, targetA, false, start)
	g.Unreachable(targetA, start.Add(3*time.Second))
	require.Equal(t, quarantine.Admitted, admission(g, 3*time.Second), "the target may have crashed since")
}

// A VM that restarts learns from the others what is quarantined.
func TestQuarantineSurvivesARestart(t *testing.T) {
	g, list := newGuard()
	g.Lost(content, targetA, false, start)
	g.Lost(content, targetB, true, start)
	restarted, restartedList := newGuard()
	restartedList.Merge(list.Updates(start.Add(time.Second)), start.Add(time.Second))
	require.Equal(t, quarantine.Refused, admission(restarted, time.Second))
}
