package owner_test

import (
	"flag"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/owner"
)

// machineModel drives a machine with random events and checks each started job against a simpler model that
// does not depend on the machine's phases.
type machineModel struct {
	*driver
	t        *rapid.T
	limits   owner.Limits
	guard    time.Duration
	boot     int
	lastBoot string
	draining bool
	// drainingBoot is the boot ID under which the target reported that it is draining.
	drainingBoot string
	released     bool
	unconfirmed  bool
	deadlines    map[owner.JobID]time.Duration
	// coldSince is the time of the last evidence of a cold target; successes counts the successes since.
	coldSince time.Duration
	successes int
}

func newMachineModel(t *rapid.T) *machineModel {
	limits := owner.Limits{
		Slots:       rapid.IntRange(1, 6).Draw(t, "slots"),
		QueueLength: rapid.IntRange(0, 6).Draw(t, "queue"),
		InService:   rapid.IntRange(0, 4).Draw(t, "in service") > 0,
	}
	limits.ColdDuration = time.Duration(rapid.IntRange(0, 3).Draw(t, "cold seconds")) * time.Second
	limits.ColdLimit = rapid.IntRange(1, limits.Slots).Draw(t, "cold")
	guard := time.Duration(rapid.IntRange(0, 2).Draw(t, "guard")) * 500 * time.Millisecond
	mm := &machineModel{
		driver: newDriver(limits, guard), t: t, limits: limits, guard: guard,
		deadlines: map[owner.JobID]time.Duration{}, unconfirmed: true,
	}
	mm.onStart = mm.checkStart
	if rapid.Bool().Draw(t, "warm") {
		mm.serveUntilWarm()
	}
	return mm
}

func (mm *machineModel) checkStart(job owner.JobID) {
	limit := mm.limits.Slots
	cold := mm.successes < 100 || mm.now-mm.coldSince < mm.limits.ColdDuration
	if cold || mm.unconfirmed {
		limit = mm.limits.ColdLimit
	}
	switch {
	case len(mm.running) > limit:
		mm.t.Fatalf("%d running, at most %d allowed (cold %v, unconfirmed %v)", len(mm.running), limit, cold, mm.unconfirmed)
	case mm.now >= mm.deadlines[job]:
		mm.t.Fatalf("started after the deadline")
	case !mm.limits.InService, mm.draining:
		mm.t.Fatalf("started while leaving: in service %v, drained %v", mm.limits.InService, mm.draining)
	case mm.released:
		mm.t.Fatalf("started without ownership")
	case mm.now < mm.guard:
		mm.t.Fatalf("started during the guard time")
	}
}

func (mm *machineModel) resetToCold() {
	mm.coldSince, mm.successes, mm.unconfirmed = mm.now, 0, true
}

func (mm *machineModel) submitAny(t *rapid.T) {
	mm.nextJob++
	timeout := time.Duration(rapid.IntRange(0, 400).Draw(t, "limit ms")) * time.Millisecond
	mm.deadlines[mm.nextJob] = mm.now + timeout
	mm.step(owner.Event{
		Kind: owner.EventSubmit, Job: mm.nextJob, Deadline: mm.now + timeout,
		Exclusive: rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	})
}

func (mm *machineModel) advanceTime(t *rapid.T) {
	mm.now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond
	mm.step(owner.Event{Kind: owner.EventTick})
}

// finishAny ends a running job with a random result. The model is updated before the machine can start
// further jobs.
func (mm *machineModel) finishAny(t *rapid.T) {
	if len(mm.running) == 0 {
		return
	}
	job := rapid.SampledFrom(mm.running).Draw(t, "job")
	results := []owner.Result{
		owner.ResultOK, owner.ResultOK, owner.ResultOK, owner.ResultOK, owner.ResultOK,
		owner.ResultOK, owner.ResultOK, owner.ResultOK, owner.ResultNotRun, owner.ResultShed,
		owner.ResultInvalid, owner.ResultBroken, owner.ResultConnectFailed, owner.ResultWithheld,
		owner.ResultTimeout, owner.ResultCancelled, owner.ResultDraining,
	}
	mm.end(job, rapid.SampledFrom(results).Draw(t, "result"))
}

func (mm *machineModel) end(job owner.JobID, result owner.Result) {
	boot := ""
	if slices.Contains([]owner.Result{owner.ResultOK, owner.ResultNotRun, owner.ResultShed, owner.ResultDraining}, result) {
		boot = "boot-" + strconv.Itoa(mm.boot)
		if mm.lastBoot != "" && boot != mm.lastBoot {
			mm.resetToCold()
		}
		mm.lastBoot = boot
	}
	switch result {
	case owner.ResultOK:
		mm.successes++
		mm.unconfirmed = false
	case owner.ResultBroken, owner.ResultConnectFailed:
		mm.resetToCold()
	case owner.ResultDraining:
		mm.draining, mm.drainingBoot = true, boot
	}
	mm.finish(job, result, boot, 5*time.Millisecond)
}

// serveMany completes a number of jobs successfully, so that the ramp advances.
func (mm *machineModel) serveMany(t *rapid.T) {
	for range rapid.IntRange(1, 120).Draw(t, "jobs") {
		mm.serveOne()
	}
}

func (mm *machineModel) serveUntilWarm() {
	for range 600 {
		mm.serveOne()
	}
}

func (mm *machineModel) serveOne() {
	mm.nextJob++
	mm.deadlines[mm.nextJob] = mm.now + time.Second
	mm.step(owner.Event{Kind: owner.EventSubmit, Job: mm.nextJob, Deadline: mm.now + time.Second})
	mm.now += 12 * time.Millisecond
	mm.step(owner.Event{Kind: owner.EventTick})
	if len(mm.running) > 0 {
		mm.end(mm.running[0], owner.ResultOK)
	}
}

func (mm *machineModel) configureAny(t *rapid.T) {
	wasInService := mm.limits.InService
	mm.limits.InService = rapid.IntRange(0, 4).Draw(t, "in service") > 0
	mm.limits.Slots = rapid.IntRange(mm.limits.ColdLimit, 6).Draw(t, "slots")
	if mm.limits.InService && !wasInService {
		mm.draining = false
		mm.resetToCold()
	}
	mm.step(owner.Event{Kind: owner.EventConfigure, Limits: mm.limits})
}

func (mm *machineModel) healthAny(t *rapid.T) {
	draining := rapid.Bool().Draw(t, "draining")
	boot := "boot-" + strconv.Itoa(mm.boot)
	if mm.draining && !draining && mm.limits.InService && boot != mm.drainingBoot {
		mm.draining, mm.lastBoot = false, boot
		mm.resetToCold()
	}
	mm.step(owner.Event{Kind: owner.EventHealth, BootID: boot, Draining: draining})
}

// occasionally runs the action in one of six cases, so that other actions can first bring the machine into
// more complex states.
func occasionally(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 5).Draw(t, "happens") == 0 {
			action(t)
		}
	}
}

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": "120", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// For any order of replies, crashes, unannounced restarts, configuration changes and health responses, the
// machine starts no job beyond the limits of the model.
func TestNoJobStartsBeyondTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mm := newMachineModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":    mm.submitAny,
			"submit 2":  mm.submitAny,
			"submit 3":  mm.submitAny,
			"pass":      mm.advanceTime,
			"finish":    mm.finishAny,
			"finish 2":  mm.finishAny,
			"serve":     mm.serveMany,
			"configure": occasionally(mm.configureAny),
			"health":    mm.healthAny,
			"cold turn": occasionally(func(*rapid.T) { mm.boot++ }),
			"resume": occasionally(func(*rapid.T) {
				mm.guard = mm.now + 300*time.Millisecond
				mm.unconfirmed = true
				mm.step(owner.Event{Kind: owner.EventResume, Guard: 300 * time.Millisecond})
			}),
			"lost": occasionally(func(*rapid.T) {
				mm.unconfirmed = true
				mm.step(owner.Event{Kind: owner.EventIdleConnectionLost})
			}),
			"withdraw": func(t *rapid.T) {
				mm.step(owner.Event{Kind: owner.EventWithdraw, Job: owner.JobID(rapid.IntRange(0, int(mm.nextJob)).Draw(t, "job"))})
			},
			"release": occasionally(occasionally(func(*rapid.T) {
				mm.released = true
				mm.step(owner.Event{Kind: owner.EventRelease})
			})),
			"": func(t *rapid.T) {
				if state := mm.m.State(); state.Queued > mm.limits.QueueLength {
					t.Fatalf("%d jobs wait", state.Queued)
				}
			},
		})
	})
}
