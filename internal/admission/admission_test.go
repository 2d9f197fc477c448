package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

var start = time.Unix(1000, 0)

func urgent() Request {
	return Request{Route: "u", Services: []string{"s"}, TimeLeft: time.Second, Goal: 100 * time.Millisecond, GoalLeft: 100 * time.Millisecond}
}

// pressed returns a Controller to which another VM told the pressure of service s.
func pressed(pressure float64) *Controller {
	c := New()
	c.SetEnabled(true)
	c.Merge("other", []*pb.ServicePressure{{Service: "s", Pressure: pressure, Demand: 1000}}, start)
	return c
}

// Controllers that are off must neither decide nor keep anything.
func TestOffAdmitsAllAndLearnsNothing(t *testing.T) {
	c := New()
	c.Merge("other", []*pb.ServicePressure{{Service: "s", Pressure: 0.9, Demand: 1000}}, start)
	require.Equal(t, Decision{}, c.Decide(urgent(), start))
	require.Empty(t, c.services)
	require.Nil(t, c.Updates(start))
	require.False(t, (*Controller)(nil).Enabled())
}

// The work admitted must match the capacity, whatever the ranks offer, and no rank is starved.
func TestCapacityGoesToTheFirstRanksButAReservedShare(t *testing.T) {
	var d demand
	for k, work := range map[rank]float64{0: 30, 2: 50, rushRank: 20} {
		d.add(k, work, start)
	}
	for _, pressure := range []float64{0.1, 0.3, 0.6, 0.9} {
		admitted := 30*d.share(0, pressure) + 50*d.share(2, pressure) + 20*d.share(rushRank, pressure)
		require.InDelta(t, 100*(1-pressure), admitted, 1e-9)
		require.GreaterOrEqual(t, d.share(0, pressure), d.share(2, pressure))
		require.GreaterOrEqual(t, d.share(2, pressure), d.share(rushRank, pressure))
		require.Greater(t, d.share(rushRank, pressure), (1-pressure)/4)
	}
}

// A pressure that another VM told must not outlast the overload, also if that VM has died.
func TestPressureOfAnotherVMAges(t *testing.T) {
	c := pressed(0.9)
	first := c.Decide(urgent(), start)
	require.Equal(t, Delay, first.Verdict)
	again := urgent()
	again.Delayed = first.Reason
	require.Equal(t, Refuse, c.Decide(again, start.Add(first.Wait)).Verdict)
	require.Equal(t, Admit, c.Decide(urgent(), start.Add(pressureTTL)).Verdict)
}

// Values from other VMs that cannot be pressures must not stop all requests of a service.
func TestPressuresOutOfRangeAreLeftOut(t *testing.T) {
	require.Equal(t, Admit, pressed(1.5).Decide(urgent(), start).Verdict)
}

// results reports n results of s, one a millisecond, and returns the time after them.
func results(c *Controller, n int, result Result, took time.Duration, now time.Time) time.Time {
	for range n {
		now = now.Add(time.Millisecond)
		c.Decide(urgent(), now)
		c.Ended("u", "s", result, took, 100*time.Millisecond, now)
	}
	return now
}

// Rejections raise the pressure, and callers that come back after the delay they were told are
// admitted if the targets have recovered.
func TestRetryAfterIsTrue(t *testing.T) {
	c := New()
	c.SetEnabled(true)
	now := results(c, 100, Replied, 10*time.Millisecond, start)
	now = results(c, 1000, Rejected, time.Millisecond, now)
	refused := Decision{}
	for range 20 {
		if d := c.Decide(urgent(), now); d.Verdict == Delay {
			again := urgent()
			again.Delayed = d.Reason
			refused = c.Decide(again, now)
		}
	}
	require.Equal(t, Refuse, refused.Verdict)
	require.LessOrEqual(t, refused.RetryAfter, maxRetryAfter)
	now = results(c, int(refused.RetryAfter/time.Millisecond), Replied, 10*time.Millisecond, now)
	require.Equal(t, Admit, c.Decide(urgent(), now).Verdict)
}

// A request that cannot end in time must not take a slot.
func TestRequestThatCannotEndInTimeIsRefused(t *testing.T) {
	c := pressed(0.9)
	results(c, 100, Replied, 10*time.Millisecond, start)
	late := urgent()
	late.TimeLeft = 5 * time.Millisecond
	d := c.Decide(late, start.Add(100*time.Millisecond))
	require.Equal(t, Refuse, d.Verdict)
	require.Equal(t, Late, d.Reason)
}

// If targets have become slower, shedding cannot make them faster: the pressure has to end.
func TestSlowerTargetsDoNotKeepThePressure(t *testing.T) {
	c := New()
	c.SetEnabled(true)
	now := results(c, 200, Replied, 10*time.Millisecond, start)
	now = results(c, 1000, Replied, 40*time.Millisecond, now)
	require.True(t, c.Overloaded("u", "s", now))
	now = results(c, 20000, Replied, 40*time.Millisecond, now)
	require.False(t, c.Overloaded("u", "s", now))
}

// The rush of an organisation is told from its usual load, and not from a slow rise.
func TestRushOfAnOrganisation(t *testing.T) {
	o, now := organisation{since: start, at: start}, start
	rushing := func(n int, every time.Duration) (count int) {
		for range n {
			now = now.Add(every)
			if o.add(now) {
				count++
			}
		}
		return count
	}
	require.Zero(t, rushing(600, 50*time.Millisecond))
	require.Greater(t, rushing(600, 50*time.Millisecond/6), 200, "a third")
}
