package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// task is a search or a change as the target's admission sees it.
type task struct {
	// id is the request identity or the token.
	id        string
	attempt   uint64
	remaining time.Duration
	// snapshot is zero for work that reads none.
	snapshot uint64
	// values are compared with the contents that crash the target.
	values []string
}

// admission is a place that a task has on a target.
type admission struct {
	epoch uint64
	// turn receives a value when the task gets its slot; nil when it has one.
	turn chan struct{}
}

// abort ends the request without an answer; its connection closes.
func abort() {
	panic(http.ErrAbortHandler)
}

// perform admits the task, waits for a slot, takes the service time and calls
// effect. It returns OK when effect was called and returned OK.
func (t *target) perform(ctx context.Context, w task, effect func() pb.TargetStatus) pb.TargetStatus {
	ctx, cancel := context.WithTimeout(ctx, max(w.remaining, 0))
	defer cancel()
	place, status := t.admit(ctx, w)
	if status != pb.TargetStatus_TARGET_STATUS_OK {
		return status
	}
	if !t.awaitSlot(ctx, place) {
		return t.interrupted(ctx)
	}
	status = t.runInSlot(ctx, w, place, effect)
	t.maybeDropAnswer(ctx, status)
	return status
}

// admit decides whether a task may run. It aborts a task whose connection was
// dropped.
func (t *target) admit(ctx context.Context, w task) (admission, pb.TargetStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.connected(ctx) {
		abort()
	}
	place := admission{epoch: t.epoch}
	t.countReceived()
	switch {
	case t.faults.draining:
		t.counters.DrainingRefused++
		return place, pb.TargetStatus_TARGET_STATUS_DRAINING
	case t.faults.refuse:
		t.counters.Shed++
		return place, pb.TargetStatus_TARGET_STATUS_SHED
	case w.remaining <= 0:
		t.counters.Expired++
		return place, pb.TargetStatus_TARGET_STATUS_EXPIRED
	case w.snapshot != 0 && !t.holds(w.snapshot):
		t.counters.SnapshotGone++
		return place, pb.TargetStatus_TARGET_STATUS_SNAPSHOT_GONE
	case t.cold && t.running+len(t.waiting) >= int(t.config.ColdLimit):
		t.fallOver()
	case t.running < int(t.config.Slots):
		t.running++
		return place, pb.TargetStatus_TARGET_STATUS_OK
	case len(t.waiting) >= t.env.options.QueueLength:
		t.counters.Shed++
		return place, pb.TargetStatus_TARGET_STATUS_SHED
	}
	place.turn = make(chan struct{}, 1)
	t.waiting = append(t.waiting, place.turn)
	return place, pb.TargetStatus_TARGET_STATUS_OK
}

// fallOver crashes a target that got more work than it bears in cold start.
// The caller holds the lock.
func (t *target) fallOver() {
	if t.announced {
		t.counters.ColdViolations++
	} else {
		t.counters.UnannouncedColdViolations++
	}
	t.crash(t.env.options.DownTime)
	abort()
}

// awaitSlot waits until the task has a slot. It reports false when the context
// ended first.
func (t *target) awaitSlot(ctx context.Context, place admission) bool {
	if place.turn == nil {
		return true
	}
	select {
	case <-place.turn:
		return true
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, waiting := range t.waiting {
		if waiting == place.turn {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			return false
		}
	}
	t.releaseLocked(place.epoch)
	return false
}

// runInSlot runs a task that has a slot, and frees the slot.
func (t *target) runInSlot(
	ctx context.Context, w task, place admission, effect func() pb.TargetStatus,
) pb.TargetStatus {
	defer t.release(place.epoch)
	execution := t.start(w)
	t.crashOnContent(w.values)
	if !t.spend(ctx) || t.lost(place) {
		return t.interrupted(ctx)
	}
	status := effect()
	t.finish(status)
	t.env.executions.finished(execution)
	return status
}

// start counts that a task got a slot.
func (t *target) start(w task) *execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.RunningPeak = max(t.counters.RunningPeak, uint32(t.running))
	if t.cold {
		t.counters.StartedCold++
		t.counters.RunningPeakCold = max(t.counters.RunningPeakCold, uint32(t.running))
	}
	t.second().Ran++
	return t.env.executions.started(w, t.config.Id, t.cold)
}

func (t *target) crashOnContent(values []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, value := range values {
		if down, found := t.faults.poison[value]; found {
			t.crash(down)
			abort()
		}
	}
}

// spend lets the service time pass. It reports false when the context ended
// before.
func (t *target) spend(ctx context.Context) bool {
	t.mu.Lock()
	d, ends := t.serviceTime()
	t.mu.Unlock()
	for !ends {
		t.mu.Lock()
		changed := t.faults.changed
		d, ends = t.serviceTime()
		t.mu.Unlock()
		if ends {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	t.awaitThaw()
	return ctx.Err() == nil
}

// awaitThaw waits while the target is frozen, or until it crashes.
func (t *target) awaitThaw() {
	t.mu.Lock()
	crashed := t.boot.ctx.Done()
	t.mu.Unlock()
	for thawed := t.frozen(); thawed != nil; thawed = t.frozen() {
		select {
		case <-thawed:
		case <-crashed:
			return
		}
	}
}

// interrupted states why work that has not run ended early. Without a caller
// to answer it aborts.
func (t *target) interrupted(ctx context.Context) pb.TargetStatus {
	t.mu.Lock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.counters.Expired++
		t.mu.Unlock()
		return pb.TargetStatus_TARGET_STATUS_EXPIRED
	}
	t.counters.Cancelled++
	t.mu.Unlock()
	abort()
	return pb.TargetStatus_TARGET_STATUS_UNSPECIFIED
}

func (t *target) finish(status pb.TargetStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status == pb.TargetStatus_TARGET_STATUS_REJECTED {
		t.counters.Rejected++
		return
	}
	t.served++
	warm := t.served >= t.env.options.WarmRequests && time.Since(t.coldAt) >= t.env.options.WarmTime
	if t.cold && warm {
		t.cold = false
	}
}

// lost reports whether the task's place went with all other work.
func (t *target) lost(place admission) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch != place.epoch
}

func (t *target) release(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseLocked(epoch)
}

// releaseLocked gives the slot to the task that waits longest, if any. A slot
// of an earlier epoch is gone.
func (t *target) releaseLocked(epoch uint64) {
	if epoch != t.epoch {
		return
	}
	if len(t.waiting) == 0 {
		t.running--
		return
	}
	next := t.waiting[0]
	t.waiting = t.waiting[1:]
	next <- struct{}{}
}

// maybeDropAnswer aborts the answer of work that ran, if that is switched on.
func (t *target) maybeDropAnswer(ctx context.Context, status pb.TargetStatus) {
	if status != pb.TargetStatus_TARGET_STATUS_OK {
		return
	}
	t.mu.Lock()
	drop := t.faults.dropAll || t.faults.dropCount > 0
	if t.faults.dropCount > 0 {
		t.faults.dropCount--
	}
	if drop {
		t.counters.AnswersDropped++
	}
	hang := t.faults.dropHang
	t.mu.Unlock()
	if !drop {
		return
	}
	if hang {
		<-ctx.Done()
	}
	abort()
}
