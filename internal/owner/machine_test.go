package owner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/owner"
)

// driver passes events to a machine and records its decisions for tests to check.
type driver struct {
	m       *owner.Machine
	now     time.Duration
	nextJob owner.JobID
	running []owner.JobID
	started map[owner.JobID]time.Duration
	refused map[owner.JobID]owner.Reason
	onStart func(owner.JobID)
}

func newDriver(limits owner.Limits, guard time.Duration) *driver {
	return &driver{
		m:       owner.NewMachine(limits, guard),
		started: map[owner.JobID]time.Duration{},
		refused: map[owner.JobID]owner.Reason{},
	}
}

func (d *driver) step(e owner.Event) {
	e.At = d.now
	for _, decision := range d.m.Step(e) {
		switch decision.Kind {
		case owner.DecideStart:
			d.running = append(d.running, decision.Job)
			d.started[decision.Job] = d.now
			if d.onStart != nil {
				d.onStart(decision.Job)
			}
		case owner.DecideRefuse:
			d.refused[decision.Job] = decision.Reason
		}
	}
}

func (d *driver) submit(timeout time.Duration) owner.JobID {
	d.nextJob++
	d.step(owner.Event{Kind: owner.EventSubmit, Job: d.nextJob, Deadline: d.now + timeout})
	return d.nextJob
}

func (d *driver) finish(job owner.JobID, result owner.Result, boot string, duration time.Duration) {
	if result == owner.ResultBroken {
		d.step(owner.Event{Kind: owner.EventBreak, Job: job})
	}
	for i, id := range d.running {
		if id == job {
			d.running = append(d.running[:i], d.running[i+1:]...)
			break
		}
	}
	d.step(owner.Event{Kind: owner.EventFinish, Job: job, Result: result, BootID: boot, Duration: duration})
}

// serve runs jobs sequentially until the duration has passed.
func (d *driver) serve(duration time.Duration, boot string) {
	const jobDuration = 5 * time.Millisecond
	for end := d.now + duration; d.now < end; {
		d.submit(time.Second)
		d.now += jobDuration
		for len(d.running) > 0 {
			d.finish(d.running[0], owner.ResultOK, boot, jobDuration)
		}
	}
}

var threeSlots = owner.Limits{Slots: 3, ColdLimit: 1, ColdDuration: time.Second, QueueLength: 8, InService: true}

func newWarmDriver(t *testing.T) *driver {
	d := newDriver(threeSlots, 0)
	d.serve(3*time.Second, "boot-1")
	require.Equal(t, owner.PhaseWarm, d.m.State().Phase)
	require.Equal(t, 3, d.m.State().Limit)
	return d
}

func TestGuardTimeDelaysWork(t *testing.T) {
	d := newDriver(threeSlots, time.Second)
	early := d.submit(500 * time.Millisecond)
	require.Equal(t, owner.ReasonGuard, d.refused[early])
	queued := d.submit(2 * time.Second)
	require.Empty(t, d.running)
	d.now = time.Second
	d.step(owner.Event{Kind: owner.EventTick})
	require.Equal(t, []owner.JobID{queued}, d.running)
	require.Equal(t, owner.PhaseCold, d.m.State().Phase)
}

func TestHandOverEndsTheGuardTimeAndKeepsTheLimitForTheSameBootID(t *testing.T) {
	for _, boot := range []string{"boot-1", "boot-2"} {
		d := newDriver(threeSlots, time.Second)
		d.step(owner.Event{Kind: owner.EventHandOver, BootID: "boot-1", Limit: 3})
		first := d.submit(time.Second)
		d.submit(time.Second)
		require.Equal(t, []owner.JobID{first}, d.running, "unconfirmed: cold limit")
		d.finish(first, owner.ResultOK, boot, time.Millisecond)
		d.submit(time.Second)
		d.submit(time.Second)
		want := map[string]int{"boot-1": 3, "boot-2": 1}[boot]
		require.Len(t, d.running, want, boot)
	}
}

func TestHandOverWithRunningWorkKeepsTheGuardTime(t *testing.T) {
	d := newDriver(threeSlots, time.Second)
	d.step(owner.Event{Kind: owner.EventHandOver, BootID: "boot-1", Limit: 3, Running: 1})
	d.submit(2 * time.Second)
	require.Empty(t, d.running)
}

func TestColdStartEvidenceResetsTheLimitAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		result owner.Result
		boot   string
	}{
		"new boot":          {owner.ResultOK, "boot-2"},
		"new boot on shed":  {owner.ResultShed, "boot-2"},
		"broken connection": {owner.ResultBroken, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newWarmDriver(t)
			a, b, c := d.submit(time.Second), d.submit(time.Second), d.submit(time.Second)
			next := d.submit(time.Second)
			require.Len(t, d.running, 3)
			d.finish(a, test.result, test.boot, time.Millisecond)
			require.Equal(t, owner.PhaseCold, d.m.State().Phase)
			d.finish(b, owner.ResultOK, "boot-1", time.Millisecond)
			require.Equal(t, []owner.JobID{c}, d.running, "in flight equals the cold limit")
			d.finish(c, owner.ResultOK, "boot-1", time.Millisecond)
			require.Equal(t, []owner.JobID{next}, d.running)
		})
	}
}

func TestLatencyJumpMeansCold(t *testing.T) {
	d := newWarmDriver(t)
	for range 3 {
		job := d.submit(time.Second)
		d.now += 100 * time.Millisecond
		d.finish(job, owner.ResultOK, "boot-1", 100*time.Millisecond)
	}
	require.Equal(t, owner.PhaseCold, d.m.State().Phase)
}

func TestIdleWarmTargetIsLimitedToColdUntilAReply(t *testing.T) {
	d := newWarmDriver(t)
	d.now += time.Second
	first := d.submit(time.Second)
	d.submit(time.Second)
	require.Equal(t, []owner.JobID{first}, d.running)
	d.finish(first, owner.ResultOK, "boot-1", time.Millisecond)
	d.submit(time.Second)
	d.submit(time.Second)
	require.Len(t, d.running, 3)
}

func TestUnreachableTargetIsProbedWithBackoff(t *testing.T) {
	d := newDriver(threeSlots, 0)
	probes := 0
	d.onStart = func(owner.JobID) { probes++ }
	for end := d.now + 10*time.Second; d.now < end; d.now += 10 * time.Millisecond {
		job := d.submit(time.Second)
		if _, ok := d.started[job]; ok {
			d.finish(job, owner.ResultConnectFailed, "", 0)
			continue
		}
		require.Equal(t, owner.ReasonDown, d.refused[job])
	}
	require.InDelta(t, 8, probes, 2)
	d.now += 5 * time.Second
	d.finish(d.submit(time.Second), owner.ResultOK, "boot-2", time.Millisecond)
	require.Equal(t, owner.PhaseCold, d.m.State().Phase)
}

func TestUnansweredJobsMarkTheTargetDown(t *testing.T) {
	d := newWarmDriver(t)
	for range 3 {
		d.finish(d.submit(time.Second), owner.ResultTimeout, "", time.Second)
	}
	require.Equal(t, owner.PhaseDown, d.m.State().Phase)
}

func TestQueueIsBoundedAndRefusesJobsThatCannotMeetTheirDeadline(t *testing.T) {
	d := newWarmDriver(t)
	for range 3 {
		d.submit(time.Second)
	}
	require.Equal(t, owner.ReasonTooLate, d.refused[d.submit(2*time.Millisecond)])
	expires := d.submit(100 * time.Millisecond)
	for range threeSlots.QueueLength - 1 {
		d.submit(time.Second)
	}
	require.Equal(t, owner.ReasonQueueFull, d.refused[d.submit(time.Second)])
	wake, ok := d.m.NextTick()
	require.True(t, ok)
	require.Equal(t, d.now+100*time.Millisecond, wake)
	d.now = wake
	d.step(owner.Event{Kind: owner.EventTick})
	require.Equal(t, owner.ReasonExpired, d.refused[expires])
	require.NotContains(t, d.started, expires)
}

func TestTakenOutTargetReceivesNothingAndReturnsCold(t *testing.T) {
	out := threeSlots
	out.InService = false
	d := newWarmDriver(t)
	d.step(owner.Event{Kind: owner.EventConfigure, Limits: out})
	require.Equal(t, owner.ReasonLeaving, d.refused[d.submit(time.Second)])
	d.step(owner.Event{Kind: owner.EventConfigure, Limits: threeSlots})
	require.Equal(t, owner.PhaseCold, d.m.State().Phase)
}

func TestDrainingTargetReturnsOnlyAfterARestartOrReconfiguration(t *testing.T) {
	drained := func() *driver {
		d := newWarmDriver(t)
		d.finish(d.submit(time.Second), owner.ResultDraining, "boot-1", time.Millisecond)
		require.Equal(t, owner.PhaseLeaving, d.m.State().Phase)
		d.step(owner.Event{Kind: owner.EventHealth, BootID: "boot-1"})
		require.Equal(t, owner.PhaseLeaving, d.m.State().Phase, "the boot ID is unchanged")
		return d
	}
	d := drained()
	d.step(owner.Event{Kind: owner.EventHealth, BootID: "boot-2"})
	require.Equal(t, owner.PhaseCold, d.m.State().Phase)
	d = drained()
	out := threeSlots
	out.InService = false
	d.step(owner.Event{Kind: owner.EventConfigure, Limits: out})
	d.step(owner.Event{Kind: owner.EventConfigure, Limits: threeSlots})
	require.Equal(t, owner.PhaseCold, d.m.State().Phase)
}

func TestExclusiveJobRunsAlone(t *testing.T) {
	d := newWarmDriver(t)
	first := d.submit(time.Second)
	d.nextJob++
	exclusive := d.nextJob
	d.step(owner.Event{Kind: owner.EventSubmit, Job: exclusive, Deadline: d.now + time.Second, Exclusive: true})
	d.submit(time.Second)
	require.Equal(t, []owner.JobID{first}, d.running)
	d.finish(first, owner.ResultOK, "boot-1", time.Millisecond)
	require.Equal(t, []owner.JobID{exclusive}, d.running)
	d.finish(exclusive, owner.ResultOK, "boot-1", time.Millisecond)
	require.Len(t, d.running, 1)
}

// The cold limit is not raised after ColdDuration alone: at a low request rate it also takes minColdSuccesses
// successes.
func TestColdLimitIsRaisedOnlyAfterEnoughSuccesses(t *testing.T) {
	d := newDriver(threeSlots, 0)
	for i := range 100 {
		require.Equal(t, owner.PhaseCold, d.m.State().Phase, "after %d successes", i)
		job := d.submit(time.Second)
		d.now += 100 * time.Millisecond
		d.finish(job, owner.ResultOK, "boot-1", 5*time.Millisecond)
	}
	require.Equal(t, owner.PhaseRamp, d.m.State().Phase)
}

// Jobs queued behind an exclusive job count towards the queue limit even while slots are free.
func TestJobsQueuedBehindAnExclusiveJobAreBounded(t *testing.T) {
	d := newWarmDriver(t)
	d.submit(time.Second)
	d.nextJob++
	d.step(owner.Event{Kind: owner.EventSubmit, Job: d.nextJob, Deadline: d.now + time.Second, Exclusive: true})
	for range threeSlots.QueueLength - 1 {
		d.submit(time.Second)
	}
	require.Equal(t, threeSlots.QueueLength, d.m.State().Queued)
	require.Equal(t, owner.ReasonQueueFull, d.refused[d.submit(time.Second)])
}

func TestBrokenJobKeepsItsSlotUntilItFinishes(t *testing.T) {
	d := newDriver(threeSlots, 0)
	first := d.submit(time.Second)
	d.step(owner.Event{Kind: owner.EventBreak, Job: first})
	second := d.submit(time.Second)
	require.NotContains(t, d.started, second)
	d.finish(first, owner.ResultBroken, "", time.Millisecond)
	require.Contains(t, d.started, second)
}

// Another VM may have owned the target during a pause, so no job starts during the guard time that follows,
// and the previous limit is restored only if the boot ID is unchanged.
func TestPauseIsFollowedByAGuardTime(t *testing.T) {
	for _, boot := range []string{"boot-1", "boot-2"} {
		d := newWarmDriver(t)
		d.now += 10 * time.Second
		d.step(owner.Event{Kind: owner.EventResume, Guard: time.Second})
		first := d.submit(2 * time.Second)
		require.Empty(t, d.running)
		d.now += time.Second
		d.step(owner.Event{Kind: owner.EventTick})
		d.submit(time.Second)
		require.Equal(t, []owner.JobID{first}, d.running)
		d.finish(first, owner.ResultOK, boot, time.Millisecond)
		d.submit(time.Second)
		d.submit(time.Second)
		want := map[string]int{"boot-1": 3, "boot-2": 1}[boot]
		require.Len(t, d.running, want, boot)
	}
}

// A probe that fails during the guard time must not schedule the next probe within the guard time.
func TestNoProbeDuringTheGuardTime(t *testing.T) {
	d := newDriver(threeSlots, 0)
	d.finish(d.submit(time.Second), owner.ResultConnectFailed, "", 0)
	d.now += 100 * time.Millisecond
	probe := d.submit(time.Second)
	d.step(owner.Event{Kind: owner.EventResume, Guard: time.Second})
	d.finish(probe, owner.ResultConnectFailed, "", 0)
	d.now += 900 * time.Millisecond
	require.Equal(t, owner.ReasonDown, d.refused[d.submit(time.Second)])
	d.now += 100 * time.Millisecond
	require.Contains(t, d.started, d.submit(time.Second))
}
