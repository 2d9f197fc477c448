package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// task describes a search or a change for admission control.
type task struct {
	// id is the request ID of a search or the token of a change.
	id        string
	attempt   uint64
	remaining time.Duration
	// snapshot is the snapshot version that is read; zero for a change.
	snapshot uint64
	// values are the condition values of a search. A poisoned one crashes the target.
	values []string
}

// reservation is a task's slot on a target, or its place in the queue for one.
type reservation struct {
	epoch uint64
	// granted receives a value when a queued task gets its slot. It is nil for
	// a task that got a slot on admission.
	granted chan struct{}
}

// abort ends the request without a response and closes its connection.
func abort() {
	panic(http.ErrAbortHandler)
}

// perform admits the task, waits for a slot, waits for the service time and calls
// execute. It returns OK only if execute was called and returned OK.
func (t *target) perform(ctx context.Context, w task, execute func() pb.TargetStatus) pb.TargetStatus {
	ctx, cancel := context.WithTimeout(ctx, max(w.remaining, 0))
	defer cancel()
	reserved, status := t.admit(ctx, w)
	if status != pb.TargetStatus_TARGET_STATUS_OK {
		return status
	}
	if !t.awaitSlot(ctx, reserved) {
		return t.recordInterruption(ctx)
	}
	status = t.runInSlot(ctx, w, reserved, execute)
	t.maybeDropAnswer(ctx, status)
	return status
}

// admit applies admission control: it reserves a slot, queues the task or rejects
// it. It aborts a task whose connection was dropped.
func (t *target) admit(ctx context.Context, w task) (reservation, pb.TargetStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.connected(ctx) {
		abort()
	}
	reserved := reservation{epoch: t.epoch}
	t.countReceived()
	switch {
	case t.faults.draining:
		t.counters.DrainingRefused++
		return reserved, pb.TargetStatus_TARGET_STATUS_DRAINING
	case t.faults.refuse:
		t.counters.Shed++
		return reserved, pb.TargetStatus_TARGET_STATUS_SHED
	case w.remaining <= 0:
		t.counters.Expired++
		return reserved, pb.TargetStatus_TARGET_STATUS_EXPIRED
	case w.snapshot != 0 && !t.holdsSnapshot(w.snapshot):
		t.counters.SnapshotGone++
		return reserved, pb.TargetStatus_TARGET_STATUS_SNAPSHOT_GONE
	case t.cold && t.running+len(t.waiting) >= int(t.config.ColdLimit):
		t.crashOverloaded()
	case t.running < int(t.config.Slots):
		t.running++
		return reserved, pb.TargetStatus_TARGET_STATUS_OK
	case len(t.waiting) >= t.env.options.QueueLength:
		t.counters.Shed++
		return reserved, pb.TargetStatus_TARGET_STATUS_SHED
	}
	reserved.granted = make(chan struct{}, 1)
	t.waiting = append(t.waiting, reserved.granted)
	return reserved, pb.TargetStatus_TARGET_STATUS_OK
}

// crashOverloaded crashes a cold target that received more work than its cold
// limit and aborts the request. The caller holds the lock.
func (t *target) crashOverloaded() {
	if t.announced {
		t.counters.ColdViolations++
	} else {
		t.counters.UnannouncedColdViolations++
	}
	t.crash(t.env.options.DownTime)
	abort()
}

// awaitSlot waits until the task has a slot. It returns false if the context
// ends first.
func (t *target) awaitSlot(ctx context.Context, reserved reservation) bool {
	if reserved.granted == nil {
		return true
	}
	select {
	case <-reserved.granted:
		return true
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, waiting := range t.waiting {
		if waiting == reserved.granted {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			return false
		}
	}
	t.releaseLocked(reserved.epoch)
	return false
}

// runInSlot runs a task that has a slot and then releases the slot.
func (t *target) runInSlot(
	ctx context.Context, w task, reserved reservation, execute func() pb.TargetStatus,
) pb.TargetStatus {
	defer t.release(reserved.epoch)
	execution := t.recordStart(w)
	t.crashIfPoisoned(w.values)
	if !t.waitServiceTime(ctx) || t.reservationLost(reserved) {
		return t.recordInterruption(ctx)
	}
	status := execute()
	t.countFinished(status)
	t.env.executions.recordFinish(execution)
	return status
}

// recordStart counts a task that got a slot and records its execution.
func (t *target) recordStart(w task) *execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.RunningPeak = max(t.counters.RunningPeak, uint32(t.running))
	if t.cold {
		t.counters.StartedCold++
		t.counters.RunningPeakCold = max(t.counters.RunningPeakCold, uint32(t.running))
	}
	t.currentSecond().Ran++
	return t.env.executions.recordStart(w, t.config.Id, t.cold)
}

func (t *target) crashIfPoisoned(values []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, value := range values {
		if down, found := t.faults.poison[value]; found {
			t.crash(down)
			abort()
		}
	}
}

// waitServiceTime waits for the task's service time to pass. It returns false if
// the context ends first.
func (t *target) waitServiceTime(ctx context.Context) bool {
	t.mu.Lock()
	d, finite := t.serviceTime()
	t.mu.Unlock()
	for !finite {
		t.mu.Lock()
		changed := t.faults.changed
		d, finite = t.serviceTime()
		t.mu.Unlock()
		if finite {
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

// awaitThaw blocks while the target is frozen and returns early if it crashes.
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

// recordInterruption counts a task that ended before it was executed. It returns
// EXPIRED if the task's deadline has passed. Otherwise the client has disconnected or
// the target has dropped its work, and recordInterruption aborts the request.
func (t *target) recordInterruption(ctx context.Context) pb.TargetStatus {
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

// countFinished counts a task that was executed. It makes a cold target warm if the
// task completes the warm-up; a rejected change does not contribute to it.
func (t *target) countFinished(status pb.TargetStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status == pb.TargetStatus_TARGET_STATUS_REJECTED {
		t.counters.Rejected++
		return
	}
	t.completed++
	warm := t.completed >= t.env.options.WarmRequests && time.Since(t.coldSince) >= t.env.options.WarmTime
	if t.cold && warm {
		t.cold = false
	}
}

// reservationLost reports whether all work was dropped after the reservation was
// made.
func (t *target) reservationLost(reserved reservation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch != reserved.epoch
}

func (t *target) release(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseLocked(epoch)
}

// releaseLocked passes the slot to the task at the head of the queue, or frees it
// if the queue is empty. It does nothing for a slot of an earlier epoch, which is
// no longer counted. The caller holds the lock.
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

// maybeDropAnswer aborts the request of a successful task if a DROP_ANSWER fault is
// set. With the hang option it first waits until the request's context ends.
func (t *target) maybeDropAnswer(ctx context.Context, status pb.TargetStatus) {
	if status != pb.TargetStatus_TARGET_STATUS_OK {
		return
	}
	t.mu.Lock()
	drop := t.faults.dropAllAnswers || t.faults.answersToDrop > 0
	if t.faults.answersToDrop > 0 {
		t.faults.answersToDrop--
	}
	if drop {
		t.counters.AnswersDropped++
	}
	hang := t.faults.hangOnDrop
	t.mu.Unlock()
	if !drop {
		return
	}
	if hang {
		<-ctx.Done()
	}
	abort()
}
