package standin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

// target is one fake target. It is safe for concurrent use.
type target struct {
	config  *pb.Target
	front   string
	service string
	// lagShare is the fraction, from 0 to 1, of the maximum snapshot lag after
	// which the target holds a new snapshot.
	lagShare float64
	env      *environment

	mu     sync.Mutex
	random *rand.Rand
	boot   *boot
	// bootIDCount is the number of boot IDs generated so far.
	bootIDCount  int
	down         bool
	restartDelay time.Duration
	cold         bool
	// announced is true once clients can know that the boot ID has changed: they
	// got a response with the current ID, or their connections were dropped.
	announced bool
	coldSince time.Time
	// completed is the number of tasks completed since coldSince, without rejected
	// changes.
	completed int
	// epoch is incremented when all work is dropped; running and waiting count
	// only the work of the current epoch.
	epoch    uint64
	running  int
	waiting  []chan struct{}
	held     []heldSnapshot
	faults   faults
	conns    map[*gatedConn]struct{}
	counters standinv1.TargetCounters
	health   sampled[*pb.TargetHealthResponse]
	load     sampled[*pb.TargetLoadResponse]
}

// boot is one run of a target, from its start to its crash or the end of the
// context. Its ID changes if a fault turns the target cold.
type boot struct {
	id   string
	ctx  context.Context
	stop context.CancelFunc
}

// heldSnapshot is a snapshot version and the time from which the target holds it.
type heldSnapshot struct {
	version  uint64
	heldFrom time.Time
}

// faults are the injected faults of a target.
type faults struct {
	straggle       bool
	straggleFactor float64
	// frozen is closed when the target thaws; nil while it is not frozen.
	frozen chan struct{}
	// poison maps each poisoned value to the down time of the crash that a search
	// for the value causes.
	poison map[string]time.Duration
	// dropAllAnswers, answersToDrop and hangOnDrop are the DROP_ANSWER fault.
	dropAllAnswers  bool
	answersToDrop   uint32
	hangOnDrop      bool
	refuse          bool
	draining        bool
	leavingAt       time.Time
	overrideHealth  bool
	reportedHealthy bool
	overrideLoad    bool
	reportedRunning uint32
	// changed is closed when the faults change.
	changed chan struct{}
}

func newFaults() faults {
	return faults{changed: make(chan struct{})}
}

func newTarget(env *environment, front, service string, config *pb.Target) *target {
	seed := xxhash.Sum64String(config.Id)
	random := rand.New(rand.NewPCG(env.options.Profile.Seed, seed))
	t := &target{
		config:    config,
		front:     front,
		service:   service,
		lagShare:  random.Float64(),
		env:       env,
		random:    random,
		cold:      env.options.StartCold,
		announced: true,
		coldSince: time.Now(),
		faults:    newFaults(),
		conns:     make(map[*gatedConn]struct{}),
	}
	t.counters.Target = config.Id
	return t
}

// addSnapshot makes the target hold a snapshot from the given time on.
func (t *target) addSnapshot(version uint64, from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = append(t.held, heldSnapshot{version: version, heldFrom: from})
}

// heldVersions returns the newest held snapshot versions in ascending order, at
// most HeldSnapshots of them. The caller holds the lock.
func (t *target) heldVersions() []uint64 {
	now := time.Now()
	var versions []uint64
	for _, h := range t.held {
		if !now.Before(h.heldFrom) {
			versions = append(versions, h.version)
		}
	}
	return versions[max(0, len(versions)-t.env.options.HeldSnapshots):]
}

func (t *target) holdsSnapshot(version uint64) bool {
	for _, v := range t.heldVersions() {
		if v == version {
			return true
		}
	}
	return false
}

// removeSnapshot removes a snapshot. The caller holds the lock.
func (t *target) removeSnapshot(version uint64) {
	var kept []heldSnapshot
	for _, h := range t.held {
		if h.version != version {
			kept = append(kept, h)
		}
	}
	t.held = kept
}

// turnCold makes the target cold under a new boot ID, as after a restart. The
// caller holds the lock.
func (t *target) turnCold(announced bool) {
	t.cold = true
	t.announced = announced
	t.coldSince = time.Now()
	t.completed = 0
	if t.boot != nil {
		t.boot.id = t.nextBootID()
	}
}

// dropWork closes all connections and discards all running and queued work, which
// ends without effect. The caller holds the lock.
func (t *target) dropWork() {
	t.epoch++
	t.running = 0
	t.waiting = nil
	dropped := slices.Collect(maps.Keys(t.conns))
	clear(t.conns)
	go func() {
		for _, conn := range dropped {
			_ = conn.Close()
		}
	}()
}

func (t *target) nextBootID() string {
	t.bootIDCount++
	return fmt.Sprintf("%s/%d", t.config.Id, t.bootIDCount)
}

// bootID returns the boot ID for a response and marks the boot as announced. The
// caller holds the lock.
func (t *target) bootID() string {
	t.announced = true
	return t.boot.id
}

// frozen returns a channel that is closed when the target thaws, or nil if it is
// not frozen.
func (t *target) frozen() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.frozen
}

// serviceTime draws the service time of the next task. It returns false if the
// time is infinite because of a STRAGGLE fault without a factor. The caller holds
// the lock.
func (t *target) serviceTime() (time.Duration, bool) {
	const (
		fixedShare = 0.4
		coldFactor = 2
	)
	mean := float64(t.env.options.ServiceTime)
	d := fixedShare*mean + (1-fixedShare)*mean*t.random.ExpFloat64()
	if t.random.Float64() < t.env.options.SlowShare {
		d *= t.env.options.SlowFactor
	}
	if t.cold {
		d *= coldFactor
	}
	if t.faults.straggle {
		if t.faults.straggleFactor <= 0 {
			return 0, false
		}
		d *= t.faults.straggleFactor
	}
	return time.Duration(d), true
}

// sampled caches a value and refreshes it at most once per lag.
type sampled[T any] struct {
	value     T
	sampledAt time.Time
}

func (s *sampled[T]) get(now time.Time, lag time.Duration, read func() T) T {
	if s.sampledAt.IsZero() || now.Sub(s.sampledAt) >= lag {
		s.value = read()
		s.sampledAt = now
	}
	return s.value
}
