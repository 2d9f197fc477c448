package standin

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

const (
	// maxCounterSeconds is the number of latest per-second counts that a target
	// keeps.
	maxCounterSeconds = 300
	// maxTrackedRequests is the number of latest request IDs and tokens whose
	// executions are kept.
	maxTrackedRequests = 20_000
)

// countReceived counts a received request. The caller holds the lock.
func (t *target) countReceived() {
	t.counters.Received++
	t.currentSecond().Received++
	if t.faults.leavingAt.IsZero() {
		return
	}
	t.counters.ReceivedAfterLeaving++
	t.counters.LastAfterLeavingMs = time.Since(t.faults.leavingAt).Milliseconds()
}

// currentSecond returns the counts of the current second. The caller holds the
// lock.
func (t *target) currentSecond() *standinv1.SecondCount {
	now := time.Now().Unix()
	c := &t.counters
	if last := len(c.Seconds) - 1; last >= 0 && c.Seconds[last].UnixS == now {
		return c.Seconds[last]
	}
	if len(c.Seconds) >= maxCounterSeconds {
		c.Seconds = c.Seconds[1:]
	}
	count := &standinv1.SecondCount{UnixS: now}
	c.Seconds = append(c.Seconds, count)
	return count
}

// snapshotCounters returns a copy of the counters.
func (t *target) snapshotCounters() *standinv1.TargetCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := proto.Clone(&t.counters).(*standinv1.TargetCounters)
	c.Down = t.down
	c.Cold = t.cold
	c.ConnectionsOpen = uint32(len(t.conns))
	if t.boot != nil {
		c.BootId = t.boot.id
	}
	return c
}

// execution is one task that a target started.
type execution struct {
	target   string
	attempt  uint64
	cold     bool
	finished bool
}

// executions records the executions of the latest request IDs and tokens. It is
// safe for concurrent use.
type executions struct {
	mu   sync.Mutex
	byID map[string][]*execution
	// order holds the keys of byID, oldest first.
	order []string
}

func newExecutions() *executions {
	return &executions{byID: make(map[string][]*execution)}
}

func (e *executions) recordStart(w task, target string, cold bool) *execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.byID[w.id]; !known {
		e.order = append(e.order, w.id)
	}
	started := &execution{target: target, attempt: w.attempt, cold: cold}
	e.byID[w.id] = append(e.byID[w.id], started)
	if len(e.order) > maxTrackedRequests {
		delete(e.byID, e.order[0])
		e.order = e.order[1:]
	}
	return started
}

func (e *executions) recordFinish(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.finished = true
}

func (e *executions) find(id string) []*standinv1.Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := make([]*standinv1.Execution, 0, len(e.byID[id]))
	for _, x := range e.byID[id] {
		found = append(found, &standinv1.Execution{
			Target:   x.target,
			Attempt:  x.attempt,
			Finished: x.finished,
			Cold:     x.cold,
		})
	}
	return found
}
