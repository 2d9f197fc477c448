package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/health"
)

const typical = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func reply(s *health.State, at, took time.Duration) {
	began := start.Add(at)
	s.Begin(began)
	s.End(began, began.Add(took), health.Succeeded, typical)
}

// Targets pause for about 100 ms now and then: all requests sent before the end of the
// pause are late, those sent after it are not.
func TestPauseDoesNotMarkTargetSlow(t *testing.T) {
	s := health.New()
	for sent := time.Duration(0); sent < 70*time.Millisecond; sent += 10 * time.Millisecond {
		reply(s, sent, 105*time.Millisecond-sent)
	}
	require.Equal(t, health.Suspect, s.Speed(start.Add(110*time.Millisecond)))
	reply(s, 110*time.Millisecond, typical)
	require.Equal(t, health.Normal, s.Speed(start.Add(125*time.Millisecond)))
}

func TestRepeatedSlowRepliesMarkTargetSlow(t *testing.T) {
	s := health.New()
	reply(s, 0, 80*time.Millisecond)
	reply(s, 300*time.Millisecond, 80*time.Millisecond)
	require.Equal(t, health.Slow, s.Speed(start.Add(400*time.Millisecond)))
	require.Equal(t, health.Slow, s.Speed(start.Add(2*time.Second)))
	require.Equal(t, health.Normal, s.Speed(start.Add(3*time.Second)), "it is tried again")
	reply(s, 3*time.Second, 80*time.Millisecond)
	require.Equal(t, health.Slow, s.Speed(start.Add(3100*time.Millisecond)), "one more slow reply is enough then")
	reply(s, 3200*time.Millisecond, typical)
	require.Equal(t, health.Normal, s.Speed(start.Add(3300*time.Millisecond)))
}

// On a large deployment a single VM sends too few requests to a target to notice that
// it became slow (seen with the fault srv_slow on casgen-reel-grown).
func TestVMsDetectSlowTargetByPooledEvidence(t *testing.T) {
	a, b := health.NewTracker(), health.NewTracker()
	atA, atB := a.Start("x", "a"), b.Start("x", "a")
	reply(atA, 0, 80*time.Millisecond)
	reply(atB, 300*time.Millisecond, 80*time.Millisecond)
	now := start.Add(500 * time.Millisecond)
	require.NotEqual(t, health.Slow, atB.Speed(now))
	b.Merge("a", a.Updates(now), now)
	require.Equal(t, health.Slow, atB.Speed(now))
	a.Merge("b", b.Updates(now), now)
	require.Equal(t, health.Slow, atA.Speed(now))
}

func TestQuickReplyOnAnotherVMClearsSlowTarget(t *testing.T) {
	a, b := health.NewTracker(), health.NewTracker()
	atA, atB := a.Start("x", "a"), b.Start("x", "a")
	reply(atA, 0, 80*time.Millisecond)
	reply(atA, 300*time.Millisecond, 80*time.Millisecond)
	now := start.Add(400 * time.Millisecond)
	b.Merge("a", a.Updates(now), now)
	require.Equal(t, health.Slow, atB.Speed(now))
	reply(atA, 500*time.Millisecond, typical)
	now = start.Add(600 * time.Millisecond)
	b.Merge("a", a.Updates(now), now)
	require.Equal(t, health.Normal, atB.Speed(now))
}

func TestHealthyTargetsAreNotReported(t *testing.T) {
	b := health.NewTracker()
	reply(b.Start("x", "a"), 0, typical)
	require.Empty(t, b.Updates(start.Add(time.Second)))
}

func TestUnreachableTargetIsEjectedAndProbedByOneRequest(t *testing.T) {
	s := health.New()
	s.Begin(start)
	s.End(start, start.Add(time.Millisecond), health.Unreachable, typical)
	ejected, down := s.Ejected(start.Add(10 * time.Millisecond))
	require.True(t, ejected)
	require.True(t, down)
	end := s.EjectedUntil()
	ejected, _ = s.Ejected(end)
	require.False(t, ejected)
	s.Begin(end)
	ejected, _ = s.Ejected(end)
	require.True(t, ejected, "a probe is in flight")
	s.End(end, end.Add(typical), health.Succeeded, typical)
	ejected, _ = s.Ejected(end.Add(typical))
	require.False(t, ejected)
}

func TestOverdueRequestRaisesCost(t *testing.T) {
	s := health.New()
	s.Begin(start)
	early := s.Cost(start.Add(typical), typical, 2)
	require.Greater(t, s.Cost(start.Add(10*typical), typical, 2), 4*early)
}

// A connection that breaks is often the first sign of a process that ends.
func TestTargetWithABrokenConnectionIsALastResortForAMoment(t *testing.T) {
	s := health.New()
	s.Begin(start)
	s.End(start, start.Add(time.Millisecond), health.Lost, typical)
	ejected, down := s.Ejected(start.Add(10 * time.Millisecond))
	require.True(t, ejected)
	require.False(t, down, "its other connections may work")
	ejected, _ = s.Ejected(start.Add(100 * time.Millisecond))
	require.False(t, ejected)
}

func TestFailuresRaiseCostAndEjectTarget(t *testing.T) {
	s := health.New()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		s.Begin(at)
		s.End(at, at.Add(time.Millisecond), health.Failed, typical)
	}
	require.Greater(t, s.Cost(start.Add(10*time.Millisecond), typical, 2), 5.0)
	ejected, down := s.Ejected(start.Add(10 * time.Millisecond))
	require.True(t, ejected)
	require.False(t, down, "it replies, so that it stays a last resort")
}

// Half of the targets lose 4 in 10 replies (the fault answer_lost on sv-zoek-grown). A
// single VM sees at most one failure of a target in a second or two.
func TestVMsDetectFailingTargetByPooledEvidence(t *testing.T) {
	local := health.NewTracker()
	failing, healthy := local.Start("x", "a"), local.Start("y", "a")
	now := start.Add(time.Second)
	for _, vm := range []string{"b", "c", "d", "e", "f"} {
		remote := health.NewTracker()
		s := remote.Start("x", "a")
		for i, outcome := range []health.Outcome{health.Failed, health.Succeeded} {
			at := start.Add(time.Duration(i) * 300 * time.Millisecond)
			s.Begin(at)
			s.End(at, at.Add(typical), outcome, typical)
		}
		local.Merge(vm, remote.Updates(now), now)
		local.Merge(vm, remote.Updates(now), now)
	}
	require.Greater(t, failing.Cost(now, typical, 2), 3*healthy.Cost(now, typical, 2))
	require.Less(t, failing.Cost(now.Add(20*time.Second), typical, 2), 1.2, "old evidence decays")
}

// A VM that learns of a failing target only from other VMs avoids it, too, and passes
// the report on.
func TestFailingReportIsForwarded(t *testing.T) {
	a, b, c := health.NewTracker(), health.NewTracker(), health.NewTracker()
	atA, atC := a.Start("x", "a"), c.Start("x", "a")
	b.Start("x", "a")
	for i := range 3 {
		at := start.Add(time.Duration(i) * 300 * time.Millisecond)
		atA.Begin(at)
		atA.End(at, at.Add(typical), health.Failed, typical)
	}
	now := start.Add(time.Second)
	require.True(t, atA.Failing(now))
	b.Merge("a", a.Updates(now), now)
	c.Merge("b", b.Updates(now), now)
	require.True(t, atC.Failing(now))
	require.False(t, atC.Failing(now.Add(4*time.Second)), "it is tried again")
}

func TestRareFailuresDoNotMarkTargetFailing(t *testing.T) {
	s := health.New()
	for i := range 200 {
		at := start.Add(time.Duration(i) * 20 * time.Millisecond)
		s.Begin(at)
		outcome := health.Succeeded
		if i%12 == 0 {
			outcome = health.Failed
		}
		s.End(at, at.Add(typical), outcome, typical)
		require.False(t, s.Failing(at.Add(typical)))
	}
}

// A failure domain becomes unreachable (the fault zone_cut): its targets are not probed
// one by one, and all are used again once one of them replies.
func TestUnreachableFailureDomainIsDetectedByFewTargets(t *testing.T) {
	tracker := health.NewTracker()
	ids := []string{"u", "v", "w", "x", "y", "z"}
	states := make([]*health.State, 0, len(ids))
	for _, id := range ids {
		states = append(states, tracker.Start(id, "b"))
	}
	other := tracker.Start("o", "c")
	now := start
	for _, s := range states[:4] {
		require.False(t, ejected(states[5], now))
		s.Begin(start)
		now = start.Add(100 * time.Millisecond)
		s.End(start, now, health.Unresponsive, typical)
	}
	require.True(t, ejected(states[5], now), "its failure domain is unreachable")
	require.False(t, ejected(other, now))
	later := now.Add(300 * time.Millisecond)
	require.False(t, ejected(states[5], later), "the domain is due for a probe")
	states[5].Begin(later)
	require.True(t, ejected(states[4], later))
	states[5].End(later, later.Add(typical), health.Succeeded, typical)
	for _, s := range states {
		require.False(t, ejected(s, later.Add(typical)))
	}
}

// recorder is an Observer that records the notifications.
type recorder []string

func (r *recorder) DomainUnreachable(domain string, unresponsive int) {
	*r = append(*r, fmt.Sprint("cut ", domain, " ", unresponsive))
}
func (r *recorder) DomainReachable(domain string) { *r = append(*r, "reached "+domain) }
func (r *recorder) TargetFailing(target string, _, _ float64) {
	*r = append(*r, "failing "+target)
}

func TestObserverIsNotifiedOnce(t *testing.T) {
	tracker := health.NewTracker()
	var notifications recorder
	tracker.Observe(&notifications)
	at := start
	for _, id := range []string{"u", "v", "w", "x", "y"} {
		s := tracker.Start(id, "b")
		s.Begin(at)
		s.End(at, at.Add(100*time.Millisecond), health.Unresponsive, typical)
	}
	failing := tracker.Start("f", "b")
	for range 4 {
		at = at.Add(200 * time.Millisecond)
		failing.Begin(at)
		failing.End(at, at.Add(typical), health.Failed, typical)
	}
	reply(failing, 2*time.Second, typical)
	require.Equal(t, recorder{"cut b 4", "failing f", "reached b"}, notifications)
}

func ejected(s *health.State, now time.Time) bool {
	ejected, _ := s.Ejected(now)
	return ejected
}

// Individual targets that become unresponsive (the fault replace_with_reuse, variant
// dark) don't affect the others in their domain, which still reply.
func TestUnresponsiveTargetsDoNotMarkRespondingDomainUnreachable(t *testing.T) {
	tracker := health.NewTracker()
	healthy := tracker.Start("s", "b")
	for i, id := range []string{"u", "v", "w", "x", "y"} {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		unresponsive := tracker.Start(id, "b")
		unresponsive.Begin(at)
		unresponsive.End(at, at.Add(100*time.Millisecond), health.Unresponsive, typical)
		reply(healthy, time.Duration(i)*50*time.Millisecond+time.Millisecond, typical)
	}
	require.False(t, ejected(healthy, start.Add(400*time.Millisecond)))
}

// startTargets starts five targets in the failure domain b.
func startTargets(tracker *health.Tracker) []*health.State {
	ids := []string{"u", "v", "w", "x", "y"}
	states := make([]*health.State, len(ids))
	for i, id := range ids {
		states[i] = tracker.Start(id, "b")
	}
	return states
}

// A cut failure domain refuses connections (the fault zone_cut, variant reset).
func TestRefusedConnectionsShowAnUnreachableFailureDomain(t *testing.T) {
	tracker := health.NewTracker()
	states := startTargets(tracker)
	refuse := func(at time.Time) {
		for _, s := range states[:4] {
			s.Begin(at)
			s.End(at, at.Add(time.Millisecond), health.Unreachable, typical)
		}
	}
	refuse(start)
	require.False(t, states[4].DomainUnreachable(start.Add(time.Millisecond)), "the other targets may still reply")
	refuse(start.Add(150 * time.Millisecond))
	require.True(t, states[4].DomainUnreachable(start.Add(151*time.Millisecond)))
}

// Several targets of a domain crash at once (the fault srv_crash, variant dark), while
// others reply: requests find them refusing at any moment.
func TestCrashedTargetsDoNotMarkRespondingDomainUnreachable(t *testing.T) {
	tracker := health.NewTracker()
	healthy := tracker.Start("s", "b")
	crashed := startTargets(tracker)
	for at := time.Duration(0); at < 2*time.Second; at += 30 * time.Millisecond {
		sent := start.Add(at)
		healthy.Begin(sent)
		for _, s := range crashed {
			s.Begin(sent)
			s.End(sent, sent.Add(time.Millisecond), health.Unreachable, typical)
		}
		require.False(t, healthy.DomainUnreachable(sent.Add(time.Millisecond)))
		healthy.End(sent, sent.Add(typical), health.Succeeded, typical)
	}
}
