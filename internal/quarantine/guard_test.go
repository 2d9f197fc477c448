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

// request is the content of the list's tests, as that of a request without a query.
var request = quarantine.Content{Exact: content}

// noTrial is the trial of a request that needs none.
var noTrial quarantine.Trial

func admission(g *quarantine.Guard, after time.Duration) quarantine.Admission {
	return admissionOf(g, request, after)
}

func admissionOf(g *quarantine.Guard, c quarantine.Content, after time.Duration) quarantine.Admission {
	a, _ := g.Check(c, start.Add(after))
	return a
}

// beginTrial begins a trial, which must be possible.
func beginTrial(t *testing.T, g *quarantine.Guard, c quarantine.Content, after time.Duration) quarantine.Trial {
	t.Helper()
	trial, ok := g.BeginTrial(c, start.Add(after))
	require.True(t, ok)
	return trial
}

func TestContentIsRefusedAfterALossOnTrial(t *testing.T) {
	g, _ := newGuard()
	require.Equal(t, quarantine.Admitted, admission(g, 0))
	g.Lost(request, targetA, noTrial, start)
	require.Equal(t, quarantine.OnTrial, admission(g, 0))
	trial := beginTrial(t, g, request, 0)
	_, second := g.BeginTrial(request, start)
	require.False(t, second, "one trial at a time")
	g.Lost(request, targetB, trial, start.Add(10*time.Millisecond))
	g.EndTrial(trial)
	a, until := g.Check(request, start.Add(20*time.Millisecond))
	require.Equal(t, quarantine.Refused, a)
	require.WithinDuration(t, start.Add(time.Second), until, 100*time.Millisecond, "the loss may still be explained")
	a, until = g.Check(request, start.Add(5*time.Second))
	require.Equal(t, quarantine.Refused, a)
	require.WithinDuration(t, start.Add(time.Minute), until, 100*time.Millisecond)
	require.Equal(t, quarantine.Admitted, admission(g, 61*time.Second), "a quarantine ages")
}

// replied records a reply to a request that was sent after the given time, on a connection
// that was set up after the other one.
func replied(g *quarantine.Guard, ref quarantine.TargetRef, connected, sent time.Duration) {
	g.Replied(ref, start.Add(connected), start.Add(sent))
}

// A target that loses a reply but serves other connections has not crashed.
func TestLossIsWithdrawnByAReplyOnAnOlderConnection(t *testing.T) {
	g, list := newGuard()
	g.Lost(request, targetA, noTrial, start)
	replied(g, targetB, -time.Second, time.Millisecond)
	g.Replied(targetA, time.Time{}, start.Add(time.Millisecond))
	require.Equal(t, quarantine.OnTrial, admission(g, 0))
	replied(g, targetA, -time.Second, time.Millisecond)
	require.Equal(t, quarantine.Admitted, admission(g, 0))

	g.Lost(request, targetA, noTrial, start)
	g.Lost(request, targetB, beginTrial(t, g, request, 0), start)
	replied(g, targetB, -time.Second, time.Millisecond)
	require.Equal(t, quarantine.OnTrial, admission(g, 0), "one crash is left")
	replied(g, targetA, -time.Second, time.Millisecond)
	require.Equal(t, quarantine.Admitted, admission(g, 0))
	require.Empty(t, list.Quarantined(start))
}

// Guards against a reply that was on its way when its target crashed withdrawing the loss.
func TestLossIsNotWithdrawnByAReplyToAnEarlierRequest(t *testing.T) {
	g, _ := newGuard()
	g.Lost(request, targetA, noTrial, start)
	replied(g, targetA, -time.Second, -10*time.Millisecond)
	require.Equal(t, quarantine.OnTrial, admission(g, 0))
	replied(g, targetA, -time.Second, 10*time.Millisecond)
	require.Equal(t, quarantine.Admitted, admission(g, 0))
}

// A target that has restarted replies on new connections only.
func TestLossIsNotWithdrawnByAReplyAfterARestart(t *testing.T) {
	g, _ := newGuard()
	g.Lost(request, targetA, noTrial, start)
	replied(g, targetA, 800*time.Millisecond, 900*time.Millisecond)
	require.Equal(t, quarantine.OnTrial, admission(g, time.Second))
}

func TestReplyToTheContentClearsIt(t *testing.T) {
	g, _ := newGuard()
	g.Lost(request, targetA, noTrial, start)
	g.Tick(start.Add(2 * time.Second))
	g.Proved(request)
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
	g.Lost(request, targetA, noTrial, start)
	g.Tick(start.Add(500 * time.Millisecond))
	require.Zero(t, shared(start.Add(500*time.Millisecond)))
	g.Unreachable(targetB, start.Add(500*time.Millisecond))
	require.Zero(t, shared(start.Add(500*time.Millisecond)))
	g.Unreachable(targetA, start.Add(500*time.Millisecond))
	require.Equal(t, 1, shared(start.Add(500*time.Millisecond)))
	g.Lost(request, targetB, noTrial, start)
	g.Tick(start.Add(time.Second))
	require.Equal(t, 2, shared(start.Add(time.Second)))
	require.Equal(t, []quarantine.Finding{
		{Digest: content, Scope: quarantine.ExactScope, Ref: targetA, Admission: quarantine.OnTrial, Reason: quarantine.LostReply},
		{Digest: content, Scope: quarantine.ExactScope, Ref: targetB, Admission: quarantine.OnTrial, Reason: quarantine.LostReply},
	}, g.TakeFindings())
	require.Empty(t, g.TakeFindings())
}

// A caller that leaves in the moment of a crash must not hide it.
func TestSendThatWasGivenUpIsBlamedIfTheTargetIsDown(t *testing.T) {
	g, _ := newGuard()
	g.Unanswered(request, targetA, noTrial, start)
	require.Equal(t, quarantine.Admitted, admission(g, 0))
	g.Unreachable(targetA, start.Add(time.Second))
	require.Equal(t, quarantine.OnTrial, admission(g, time.Second))

	g, _ = newGuard()
	g.Unanswered(request, targetA, noTrial, start)
	g.Unreachable(targetA, start.Add(3*time.Second))
	require.Equal(t, quarantine.Admitted, admission(g, 3*time.Second), "the target may have crashed since")
}

// A VM that restarts learns from the others what is quarantined.
func TestQuarantineSurvivesARestart(t *testing.T) {
	g, list := newGuard()
	g.Lost(request, targetA, noTrial, start)
	g.Lost(request, targetB, beginTrial(t, g, request, 0), start)
	restarted, restartedList := newGuard()
	restartedList.Merge(list.Updates(start.Add(time.Second)), start.Add(time.Second))
	require.Equal(t, quarantine.Refused, admission(restarted, time.Second))
}

// variant returns a content of a family.
func variant(n uint64) quarantine.Content { return quarantine.Content{Exact: 100 + n, Family: 7} }

// loseVariant loses the reply of the target to the n-th content of the family.
func loseVariant(g *quarantine.Guard, n int, trial quarantine.Trial, after time.Duration) {
	g.Lost(variant(uint64(n)), quarantine.TargetRef{Service: "s", Target: string(rune('a' + n))}, trial, start.Add(after))
}

// Guards against repeats that ask the same in other ways crashing one target after the other.
func TestFamilyIsRefusedAfterALossOnTrial(t *testing.T) {
	g, list := newGuard()
	loseVariant(g, 0, noTrial, 0)
	require.Equal(t, quarantine.Admitted, admissionOf(g, variant(1), 0), "one loss shows nothing about others")
	loseVariant(g, 1, noTrial, 0)
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(2), 0))
	trial := beginTrial(t, g, variant(2), 0)
	_, second := g.BeginTrial(variant(3), start)
	require.False(t, second, "one trial at a time")
	loseVariant(g, 2, trial, 10*time.Millisecond)
	g.EndTrial(trial)
	require.Equal(t, quarantine.Refused, admissionOf(g, variant(3), 50*time.Second))
	require.Equal(t, quarantine.Admitted, admissionOf(g, request, 0))

	restarted, restartedList := newGuard()
	restartedList.Merge(list.Updates(start.Add(time.Second)), start.Add(time.Second))
	require.Equal(t, quarantine.Refused, admissionOf(restarted, variant(3), 2*time.Second), "other VMs refuse it, too")
}

// A family may hold requests that crash no target, so that it is tried again before its
// suspicions expire.
func TestFamilyIsTriedAgain(t *testing.T) {
	g := quarantine.NewGuard(quarantine.New(quarantine.DefaultLimits()))
	for n := range 3 {
		trial := noTrial
		if n == 2 {
			trial = beginTrial(t, g, variant(2), 0)
		}
		loseVariant(g, n, trial, 0)
		g.EndTrial(trial)
	}
	require.Equal(t, quarantine.Refused, admissionOf(g, variant(9), 59*time.Second))
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(9), 61*time.Second))
	loseVariant(g, 3, beginTrial(t, g, variant(3), 61*time.Second), 61*time.Second)
	require.Equal(t, quarantine.Refused, admissionOf(g, variant(9), 180*time.Second), "the next refusal is longer")
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(9), 182*time.Second))
	g.Proved(variant(9))
	require.Equal(t, quarantine.Admitted, admissionOf(g, variant(10), 182*time.Second))
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(3), 182*time.Second), "the content itself stays suspect")
}

// Targets that crash for other reasons while they run requests of a family that is served
// must not restrict it.
func TestServedFamilyNeedsMoreCrashes(t *testing.T) {
	g, _ := newGuard()
	g.Proved(variant(99))
	for n := range 3 {
		loseVariant(g, n, noTrial, 0)
	}
	g.Tick(start.Add(time.Second))
	require.Equal(t, quarantine.Admitted, admissionOf(g, variant(9), time.Second))
	loseVariant(g, 3, noTrial, time.Second)
	g.Tick(start.Add(2 * time.Second))
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(9), 2*time.Second))
	g.Proved(variant(98))
	require.Equal(t, quarantine.Admitted, admissionOf(g, variant(9), 2*time.Second))
}

// Guards against a service with one target, which keeps its ID when it starts again, being
// crashed without end, and against one crash counting for each request that it ended.
func TestCrashesOfOneTargetCountOnceEach(t *testing.T) {
	g, _ := newGuard()
	g.Lost(variant(0), targetA, noTrial, start)
	g.Lost(variant(1), targetA, noTrial, start.Add(2*time.Millisecond))
	g.Tick(start.Add(1100 * time.Millisecond))
	require.Equal(t, quarantine.Admitted, admissionOf(g, variant(9), 1100*time.Millisecond))
	g.Lost(variant(2), targetA, noTrial, start.Add(2*time.Second))
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(9), 2*time.Second))
}

// Guards against a gathered request that runs beside a crashing one, and so loses the replies
// of all its shards, condemning all requests of its family.
func TestOneContentDoesNotPutAServedFamilyOnTrial(t *testing.T) {
	g, list := newGuard()
	g.Proved(variant(99))
	loseAllShards := func(c quarantine.Content, after time.Duration) {
		for _, target := range []string{"a", "b", "c", "d", "e"} {
			g.Lost(c, quarantine.TargetRef{Service: target, Target: target}, noTrial, start.Add(after))
		}
	}
	loseAllShards(variant(0), 0)
	require.Equal(t, quarantine.OneTargetFirst, admissionOf(g, variant(9), 0))
	trial := beginTrial(t, g, variant(0), 0)
	g.Lost(variant(0), targetB, trial, start.Add(10*time.Millisecond))
	g.EndTrial(trial)
	require.Equal(t, quarantine.Refused, admissionOf(g, variant(0), time.Second), "the content itself")
	require.Equal(t, quarantine.OneTargetFirst, admissionOf(g, variant(9), time.Second))

	other, otherList := newGuard()
	other.Proved(variant(99))
	otherList.Merge(list.Updates(start.Add(time.Second)), start.Add(time.Second))
	require.Equal(t, quarantine.OneTargetFirst, admissionOf(other, variant(9), time.Second))

	loseAllShards(variant(1), 2*time.Second)
	require.Equal(t, quarantine.OnTrial, admissionOf(g, variant(9), 2*time.Second), "a second content crashed targets")
}
