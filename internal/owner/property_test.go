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

// world drives a machine at random and checks each start against books of its
// own, which know nothing of the machine's phases.
type world struct {
	*driver
	t        *rapid.T
	limits   owner.Limits
	guard    time.Duration
	boot     int
	seenBoot string
	drained  bool
	// drainedBoot is the boot identity that said it drains.
	drainedBoot string
	released    bool
	unvouched   bool
	deadlines   map[owner.JobID]time.Duration
	// coldSince and successes count since the last evidence of cold.
	coldSince time.Duration
	successes int
}

func newWorld(t *rapid.T) *world {
	limits := owner.Limits{
		Slots:     rapid.IntRange(1, 6).Draw(t, "slots"),
		Queue:     rapid.IntRange(0, 6).Draw(t, "queue"),
		InService: rapid.IntRange(0, 4).Draw(t, "in service") > 0,
	}
	limits.ColdDuration = time.Duration(rapid.IntRange(0, 3).Draw(t, "cold seconds")) * time.Second
	limits.Cold = rapid.IntRange(1, limits.Slots).Draw(t, "cold")
	guard := time.Duration(rapid.IntRange(0, 2).Draw(t, "guard")) * 500 * time.Millisecond
	w := &world{
		driver: newDriver(limits, guard), t: t, limits: limits, guard: guard,
		deadlines: map[owner.JobID]time.Duration{}, unvouched: true,
	}
	w.onStart = w.checkStart
	if rapid.Bool().Draw(t, "warm") {
		w.serveUntilWarm()
	}
	return w
}

func (w *world) checkStart(job owner.JobID) {
	most := w.limits.Slots
	cold := w.successes < 100 || w.now-w.coldSince < w.limits.ColdDuration
	if cold || w.unvouched {
		most = w.limits.Cold
	}
	switch {
	case len(w.running) > most:
		w.t.Fatalf("%d running, at most %d allowed (cold %v, unvouched %v)", len(w.running), most, cold, w.unvouched)
	case w.now >= w.deadlines[job]:
		w.t.Fatalf("started after the deadline")
	case !w.limits.InService, w.drained:
		w.t.Fatalf("started while leaving: in service %v, drained %v", w.limits.InService, w.drained)
	case w.released:
		w.t.Fatalf("started without ownership")
	case w.now < w.guard:
		w.t.Fatalf("started during the guard time")
	}
}

func (w *world) evidenceOfCold() {
	w.coldSince, w.successes, w.unvouched = w.now, 0, true
}

func (w *world) submitAny(t *rapid.T) {
	w.nextJob++
	limit := time.Duration(rapid.IntRange(0, 400).Draw(t, "limit ms")) * time.Millisecond
	w.deadlines[w.nextJob] = w.now + limit
	w.step(owner.Event{
		Kind: owner.EventSubmit, Job: w.nextJob, Deadline: w.now + limit,
		Exclusive: rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	})
}

func (w *world) pass(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond
	w.step(owner.Event{Kind: owner.EventTick})
}

// finishAny ends a running job in some way; the books draw their conclusions
// before the machine starts further work.
func (w *world) finishAny(t *rapid.T) {
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

func (w *world) end(job owner.JobID, result owner.Result) {
	boot := ""
	if slices.Contains([]owner.Result{owner.ResultOK, owner.ResultNotRun, owner.ResultShed, owner.ResultDraining}, result) {
		boot = "boot-" + strconv.Itoa(w.boot)
		if w.seenBoot != "" && boot != w.seenBoot {
			w.evidenceOfCold()
		}
		w.seenBoot = boot
	}
	switch result {
	case owner.ResultOK:
		w.successes++
		w.unvouched = false
	case owner.ResultBroken, owner.ResultRefused:
		w.evidenceOfCold()
	case owner.ResultDraining:
		w.drained, w.drainedBoot = true, boot
	}
	w.finish(job, result, boot, 5*time.Millisecond)
}

// serveMany lets the target do well for a while, so that the ramp moves.
func (w *world) serveMany(t *rapid.T) {
	for range rapid.IntRange(1, 120).Draw(t, "jobs") {
		w.serveOne()
	}
}

func (w *world) serveUntilWarm() {
	for range 600 {
		w.serveOne()
	}
}

func (w *world) serveOne() {
	w.nextJob++
	w.deadlines[w.nextJob] = w.now + time.Second
	w.step(owner.Event{Kind: owner.EventSubmit, Job: w.nextJob, Deadline: w.now + time.Second})
	w.now += 12 * time.Millisecond
	w.step(owner.Event{Kind: owner.EventTick})
	if len(w.running) > 0 {
		w.end(w.running[0], owner.ResultOK)
	}
}

func (w *world) configureAny(t *rapid.T) {
	was := w.limits.InService
	w.limits.InService = rapid.IntRange(0, 4).Draw(t, "in service") > 0
	w.limits.Slots = rapid.IntRange(w.limits.Cold, 6).Draw(t, "slots")
	if w.limits.InService && !was {
		w.drained = false
		w.evidenceOfCold()
	}
	w.step(owner.Event{Kind: owner.EventConfigure, Limits: w.limits})
}

func (w *world) healthAny(t *rapid.T) {
	draining := rapid.Bool().Draw(t, "draining")
	boot := "boot-" + strconv.Itoa(w.boot)
	if w.drained && !draining && w.limits.InService && boot != w.drainedBoot {
		w.drained, w.seenBoot = false, boot
		w.evidenceOfCold()
	}
	w.step(owner.Event{Kind: owner.EventHealth, BootID: boot, Draining: draining})
}

// seldom lets an action happen in one of six cases, so that the others have time
// to bring the machine to an interesting state.
func seldom(action func(*rapid.T)) func(*rapid.T) {
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

// Whatever replies, crashes, silent cold turns, configuration changes and health
// answers come in whatever order, no job is started beyond the limits that the
// evidence allows.
func TestNothingStartsBeyondWhatTheEvidenceAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":    w.submitAny,
			"submit 2":  w.submitAny,
			"submit 3":  w.submitAny,
			"pass":      w.pass,
			"finish":    w.finishAny,
			"finish 2":  w.finishAny,
			"serve":     w.serveMany,
			"configure": seldom(w.configureAny),
			"health":    w.healthAny,
			"cold turn": seldom(func(*rapid.T) { w.boot++ }),
			"resume": seldom(func(*rapid.T) {
				w.guard = w.now + 300*time.Millisecond
				w.unvouched = true
				w.step(owner.Event{Kind: owner.EventResume, Guard: 300 * time.Millisecond})
			}),
			"lost": seldom(func(*rapid.T) {
				w.unvouched = true
				w.step(owner.Event{Kind: owner.EventLost})
			}),
			"withdraw": func(t *rapid.T) {
				w.step(owner.Event{Kind: owner.EventWithdraw, Job: owner.JobID(rapid.IntRange(0, int(w.nextJob)).Draw(t, "job"))})
			},
			"release": seldom(seldom(func(*rapid.T) {
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
