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
		Slots:     rapid.IntRange(1, 6).Draw(t, "slots"),
		Queue:     rapid.IntRange(0, 6).Draw(t, "queue"),
		InService: rapid.IntRange(0, 4).Draw(t, "in service") > 0,
	}
	limits.ColdDuration = time.Duration(rapid.IntRange(0, 3).Draw(t, "cold seconds")) * time.Second
	limits.Cold = rapid.IntRange(1, limits.Slots).Draw(t, "cold")
	guard := time.Duration(rapid.IntRange(0, 2).Draw(t, "guard")) * 500 * time.Millisecond
	w := &machineModel{
		driver: newDriver(limits, guard), t: t, limits: limits, guard: guard,
		deadlines: map[owner.JobID]time.Duration{}, unconfirmed: true,
	}
	w.onStart = w.checkStart
	if rapid.Bool().Draw(t, "warm") {
		w.serveUntilWarm()
	}
	return w
}

func (w *machineModel) checkStart(job owner.JobID) {
	limit := w.limits.Slots
	cold := w.successes < 100 || w.now-w.coldSince < w.limits.ColdDuration
	if cold || w.unconfirmed {
		limit = w.limits.Cold
	}
	switch {
	case len(w.running) > limit:
		w.t.Fatalf("%d running, at most %d allowed (cold %v, unconfirmed %v)", len(w.running), limit, cold, w.unconfirmed)
	case w.now >= w.deadlines[job]:
		w.t.Fatalf("started after the deadline")
	case !w.limits.InService, w.draining:
		w.t.Fatalf("started while leaving: in service %v, drained %v", w.limits.InService, w.draining)
	case w.released:
		w.t.Fatalf("started without ownership")
	case w.now < w.guard:
		w.t.Fatalf("started during the guard time")
	}
}

func (w *machineModel) resetToCold() {
	w.coldSince, w.successes, w.unconfirmed = w.now, 0, true
}

func (w *machineModel) submitAny(t *rapid.T) {
	w.nextJob++
	limit := time.Duration(rapid.IntRange(0, 400).Draw(t, "limit ms")) * time.Millisecond
	w.deadlines[w.nextJob] = w.now + limit
	w.step(owner.Event{
		Kind: owner.EventSubmit, Job: w.nextJob, Deadline: w.now + limit,
		Exclusive: rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	})
}

func (w *machineModel) advanceTime(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond
	w.step(owner.Event{Kind: owner.EventTick})
}

// finishAny ends a running job with a random result. The model is updated before the machine can start
// further jobs.
func (w *machineModel) finishAny(t *rapid.T) {
	if len(w.running) == 0 {
		return
	}
	job := rapid.SampledFrom(w.running).Draw(t, "job")
	results := []owner.Result{
		owner.ResultOK, owner.ResultOK, owner.ResultOK, owner.ResultOK, owner.ResultOK,
		owner.ResultOK, owner.ResultOK, owner.ResultOK, owner.ResultNotRun, owner.ResultShed,
		owner.ResultInvalid, owner.ResultBroken, owner.ResultRefused, owner.ResultWithheld,
		owner.ResultTimeout, owner.ResultCancelled, owner.ResultDraining,
	}
	w.end(job, rapid.SampledFrom(results).Draw(t, "result"))
}

func (w *machineModel) end(job owner.JobID, result owner.Result) {
	boot := ""
	if slices.Contains([]owner.Result{owner.ResultOK, owner.ResultNotRun, owner.ResultShed, owner.ResultDraining}, result) {
		boot = "boot-" + strconv.Itoa(w.boot)
		if w.lastBoot != "" && boot != w.lastBoot {
			w.resetToCold()
		}
		w.lastBoot = boot
	}
	switch result {
	case owner.ResultOK:
		w.successes++
		w.unconfirmed = false
	case owner.ResultBroken, owner.ResultRefused:
		w.resetToCold()
	case owner.ResultDraining:
		w.draining, w.drainingBoot = true, boot
	}
	w.finish(job, result, boot, 5*time.Millisecond)
}

// serveMany completes a number of jobs successfully, so that the ramp advances.
func (w *machineModel) serveMany(t *rapid.T) {
	for range rapid.IntRange(1, 120).Draw(t, "jobs") {
		w.serveOne()
	}
}

func (w *machineModel) serveUntilWarm() {
	for range 600 {
		w.serveOne()
	}
}

func (w *machineModel) serveOne() {
	w.nextJob++
	w.deadlines[w.nextJob] = w.now + time.Second
	w.step(owner.Event{Kind: owner.EventSubmit, Job: w.nextJob, Deadline: w.now + time.Second})
	w.now += 12 * time.Millisecond
	w.step(owner.Event{Kind: owner.EventTick})
	if len(w.running) > 0 {
		w.end(w.running[0], owner.ResultOK)
	}
}

func (w *machineModel) configureAny(t *rapid.T) {
	wasInService := w.limits.InService
	w.limits.InService = rapid.IntRange(0, 4).Draw(t, "in service") > 0
	w.limits.Slots = rapid.IntRange(w.limits.Cold, 6).Draw(t, "slots")
	if w.limits.InService && !wasInService {
		w.draining = false
		w.resetToCold()
	}
	w.step(owner.Event{Kind: owner.EventConfigure, Limits: w.limits})
}

func (w *machineModel) healthAny(t *rapid.T) {
	draining := rapid.Bool().Draw(t, "draining")
	boot := "boot-" + strconv.Itoa(w.boot)
	if w.draining && !draining && w.limits.InService && boot != w.drainingBoot {
		w.draining, w.lastBoot = false, boot
		w.resetToCold()
	}
	w.step(owner.Event{Kind: owner.EventHealth, BootID: boot, Draining: draining})
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
		w := newMachineModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":    w.submitAny,
			"submit 2":  w.submitAny,
			"submit 3":  w.submitAny,
			"pass":      w.advanceTime,
			"finish":    w.finishAny,
			"finish 2":  w.finishAny,
			"serve":     w.serveMany,
			"configure": occasionally(w.configureAny),
			"health":    w.healthAny,
			"cold turn": occasionally(func(*rapid.T) { w.boot++ }),
			"resume": occasionally(func(*rapid.T) {
				w.guard = w.now + 300*time.Millisecond
				w.unconfirmed = true
				w.step(owner.Event{Kind: owner.EventResume, Guard: 300 * time.Millisecond})
			}),
			"lost": occasionally(func(*rapid.T) {
				w.unconfirmed = true
				w.step(owner.Event{Kind: owner.EventLost})
			}),
			"withdraw": func(t *rapid.T) {
				w.step(owner.Event{Kind: owner.EventWithdraw, Job: owner.JobID(rapid.IntRange(0, int(w.nextJob)).Draw(t, "job"))})
			},
			"release": occasionally(occasionally(func(*rapid.T) {
				w.released = true
				w.step(owner.Event{Kind: owner.EventRelease})
			})),
			"": func(t *rapid.T) {
				if state := w.m.State(); state.Queued > w.limits.Queue {
					t.Fatalf("%d jobs wait", state.Queued)
				}
			},
		})
	})
}
