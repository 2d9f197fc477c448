package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/health"
)

const usual = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func reply(s *health.State, at, took time.Duration) {
	began := start.Add(at)
	s.Begin(began)
	s.End(began, began.Add(took), health.Answered, usual)
}

// Targets pause for some 100 ms now and then: all requests sent before the end of
// the pause are late, those after it are not.
func TestAPauseDoesNotMakeATargetSlow(t *testing.T) {
	s := health.New()
	for sent := time.Duration(0); sent < 70*time.Millisecond; sent += 10 * time.Millisecond {
		reply(s, sent, 105*time.Millisecond-sent)
	}
	require.Equal(t, health.Suspect, s.Speed(start.Add(110*time.Millisecond)))
	reply(s, 110*time.Millisecond, usual)
	require.Equal(t, health.Usual, s.Speed(start.Add(125*time.Millisecond)))
}

func TestSlowRepliesAtMomentsApartShowASlowTarget(t *testing.T) {
	s := health.New()
	reply(s, 0, 80*time.Millisecond)
	reply(s, 300*time.Millisecond, 80*time.Millisecond)
	require.Equal(t, health.Slow, s.Speed(start.Add(400*time.Millisecond)))
	require.Equal(t, health.Slow, s.Speed(start.Add(2*time.Second)))
	require.Equal(t, health.Usual, s.Speed(start.Add(3*time.Second)), "it is tried again")
	reply(s, 3*time.Second, 80*time.Millisecond)
	require.Equal(t, health.Slow, s.Speed(start.Add(3100*time.Millisecond)), "one more slow reply is enough then")
	reply(s, 3200*time.Millisecond, usual)
	require.Equal(t, health.Usual, s.Speed(start.Add(3300*time.Millisecond)))
}

// On a large deployment each VM alone meets a target too seldom to see that it
// turned slow (casgen-reel-grown, srv_slow across).
func TestVMsSeeTogetherWhatNoneSeesAlone(t *testing.T) {
	a, b := health.NewBoard(), health.NewBoard()
	atA, atB := a.Start("x"), b.Start("x")
	reply(atA, 0, 80*time.Millisecond)
	reply(atB, 300*time.Millisecond, 80*time.Millisecond)
	now := start.Add(500 * time.Millisecond)
	require.NotEqual(t, health.Slow, atB.Speed(now))
	b.Merge("a", a.News(now), now)
	require.Equal(t, health.Slow, atB.Speed(now))
	a.Merge("b", b.News(now), now)
	require.Equal(t, health.Slow, atA.Speed(now))
}

func TestAQuickReplyElsewhereEndsTheSuspicion(t *testing.T) {
	a, b := health.NewBoard(), health.NewBoard()
	atA, atB := a.Start("x"), b.Start("x")
	reply(atA, 0, 80*time.Millisecond)
	reply(atA, 300*time.Millisecond, 80*time.Millisecond)
	now := start.Add(400 * time.Millisecond)
	b.Merge("a", a.News(now), now)
	require.Equal(t, health.Slow, atB.Speed(now))
	reply(atA, 500*time.Millisecond, usual)
	now = start.Add(600 * time.Millisecond)
	b.Merge("a", a.News(now), now)
	require.Equal(t, health.Usual, atB.Speed(now))
}

func TestNewsOfTargetsInOrderIsNotSent(t *testing.T) {
	b := health.NewBoard()
	reply(b.Start("x"), 0, usual)
	require.Empty(t, b.News(start.Add(time.Second)))
}

func TestATargetThatNothingReachesIsSetAsideAndTriedByOneRequest(t *testing.T) {
	s := health.New()
	s.Begin(start)
	s.End(start, start.Add(time.Millisecond), health.Unreachable, usual)
	aside, down := s.Aside(start.Add(10 * time.Millisecond))
	require.True(t, aside)
	require.True(t, down)
	back := s.BackAt()
	aside, _ = s.Aside(back)
	require.False(t, aside)
	s.Begin(back)
	aside, _ = s.Aside(back)
	require.True(t, aside, "one request tries it")
	s.End(back, back.Add(usual), health.Answered, usual)
	aside, _ = s.Aside(back.Add(usual))
	require.False(t, aside)
}

func TestAStuckRequestMakesItsTargetDear(t *testing.T) {
	s := health.New()
	s.Begin(start)
	early := s.Cost(start.Add(usual), usual, 2)
	require.Greater(t, s.Cost(start.Add(10*usual), usual, 2), 4*early)
}

func TestATargetThatFailsCostsMoreThanASlowOne(t *testing.T) {
	s := health.New()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		s.Begin(at)
		s.End(at, at.Add(time.Millisecond), health.Failed, usual)
	}
	require.Greater(t, s.Cost(start.Add(10*time.Millisecond), usual, 2), 5.0)
	aside, down := s.Aside(start.Add(10 * time.Millisecond))
	require.True(t, aside)
	require.False(t, down, "it answers, so that it is a last resort")
}

// Half of the targets lose 4 in 10 replies (answer_lost across on
// sv-zoek-grown); a VM alone sees one failure at most in a second or two.
func TestVMsSeeTogetherThatATargetFailsOften(t *testing.T) {
	here := health.NewBoard()
	failing, sound := here.Start("x"), here.Start("y")
	now := start.Add(time.Second)
	for _, vm := range []string{"b", "c", "d", "e", "f"} {
		there := health.NewBoard()
		s := there.Start("x")
		for i, outcome := range []health.Outcome{health.Failed, health.Answered} {
			at := start.Add(time.Duration(i) * 300 * time.Millisecond)
			s.Begin(at)
			s.End(at, at.Add(usual), outcome, usual)
		}
		here.Merge(vm, there.News(now), now)
		here.Merge(vm, there.News(now), now)
	}
	require.Greater(t, failing.Cost(now, usual, 2), 3*sound.Cost(now, usual, 2))
	require.Less(t, failing.Cost(now.Add(20*time.Second), usual, 2), 1.2, "old news fades")
}
