package standin

import (
	"slices"
	"time"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

// minDownTime is the minimum time that a crashed target stays down. It lets the
// work of the previous boot end before the next one starts.
const minDownTime = 50 * time.Millisecond

// matches reports whether the selector selects the target.
func (t *target) matches(s *standinv1.Selector) bool {
	switch {
	case len(s.GetTargets()) > 0 && !slices.Contains(s.Targets, t.config.Id):
		return false
	case s.GetFront() != "" && s.Front != t.front:
		return false
	case s.GetService() != "" && s.Service != t.service:
		return false
	case s.GetFailureDomain() != "" && s.FailureDomain != t.config.FailureDomain:
		return false
	}
	return true
}

// crash drops all connections and work and keeps the target down for the given
// time, but at least for minDownTime. The caller holds the lock.
func (t *target) crash(down time.Duration) {
	if t.down || t.boot == nil {
		return
	}
	t.down = true
	t.restartDelay = max(down, minDownTime)
	t.counters.Crashes++
	t.thaw()
	t.dropWork()
	t.boot.stop()
}

// thaw ends a freeze. The caller holds the lock.
func (t *target) thaw() {
	if t.faults.frozen != nil {
		close(t.faults.frozen)
		t.faults.frozen = nil
	}
}

// setFault injects a fault and wakes the tasks that a STRAGGLE fault without a factor
// blocks, so that they check the faults again.
func (t *target) setFault(f *standinv1.Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setFaultLocked(f)
	close(t.faults.changed)
	t.faults.changed = make(chan struct{})
}

func (t *target) setFaultLocked(f *standinv1.Fault) {
	duration := time.Duration(f.DurationMs) * time.Millisecond
	switch f.Kind {
	case standinv1.FaultKind_FAULT_KIND_CLEAR:
		t.clearFaults()
	case standinv1.FaultKind_FAULT_KIND_STRAGGLE:
		t.faults.straggle, t.faults.straggleFactor = true, f.Factor
	case standinv1.FaultKind_FAULT_KIND_CRASH:
		t.crash(duration)
	case standinv1.FaultKind_FAULT_KIND_FREEZE:
		t.freeze(duration)
	case standinv1.FaultKind_FAULT_KIND_POISON:
		t.poison(f.Value, duration)
	case standinv1.FaultKind_FAULT_KIND_DROP_ANSWER:
		t.faults.dropAllAnswers, t.faults.answersToDrop, t.faults.hangOnDrop = f.Count == 0, f.Count, f.Hang
	case standinv1.FaultKind_FAULT_KIND_REFUSE:
		t.faults.refuse = true
	case standinv1.FaultKind_FAULT_KIND_LOSE_SNAPSHOT:
		t.removeSnapshot(f.Snapshot)
	case standinv1.FaultKind_FAULT_KIND_TURN_COLD:
		t.turnCold(f.DropConnections)
		if f.DropConnections {
			t.dropWork()
		}
	case standinv1.FaultKind_FAULT_KIND_DRAIN:
		t.faults.draining = true
		t.markLeaving()
	case standinv1.FaultKind_FAULT_KIND_MARK_LEAVING:
		t.markLeaving()
	case standinv1.FaultKind_FAULT_KIND_LIE_HEALTH:
		t.faults.overrideHealth, t.faults.reportedHealthy = true, f.Healthy
	case standinv1.FaultKind_FAULT_KIND_LIE_LOAD:
		t.faults.overrideLoad, t.faults.reportedRunning = true, f.Count
	}
}

// clearFaults clears every fault except a crash: a target that is down stays down
// until its down time has passed. The caller holds the lock.
func (t *target) clearFaults() {
	t.thaw()
	changed := t.faults.changed
	t.faults = newFaults()
	t.faults.changed = changed
}

func (t *target) freeze(duration time.Duration) {
	if t.faults.frozen != nil {
		return
	}
	frozen := make(chan struct{})
	t.faults.frozen = frozen
	if duration <= 0 {
		return
	}
	time.AfterFunc(duration, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.faults.frozen == frozen {
			t.thaw()
		}
	})
}

func (t *target) poison(value string, down time.Duration) {
	if down <= 0 {
		down = t.env.options.DownTime
	}
	if t.faults.poison == nil {
		t.faults.poison = make(map[string]time.Duration)
	}
	t.faults.poison[value] = down
}

func (t *target) markLeaving() {
	if t.faults.leavingAt.IsZero() {
		t.faults.leavingAt = time.Now()
	}
}
