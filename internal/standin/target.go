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

// target is one fake searcher. Its methods are safe for concurrent use.
type target struct {
	config  *pb.Target
	front   string
	service string
	// lagShare is the target's share, from 0 to 1, of the longest lag.
	lagShare float64
	env      *environment

	mu      sync.Mutex
	random  *rand.Rand
	boot    *boot
	boots   int
	down    bool
	downFor time.Duration
	cold    bool
	// announced is true once an answer or a dropped connection has shown
	// callers the present boot identity or its start.
	announced bool
	coldAt    time.Time
	served    int
	// epoch counts the times that all work was lost; only work of the present
	// epoch is counted in running and waiting.
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

// boot is the time between two starts of a target.
type boot struct {
	id   string
	ctx  context.Context
	stop context.CancelFunc
}

// heldSnapshot is a snapshot that the target holds from a moment on.
type heldSnapshot struct {
	version uint64
	from    time.Time
}

// faults are the switched faults of a target.
type faults struct {
	straggle bool
	factor   float64
	// frozen is closed when the target thaws; nil while it is not frozen.
	frozen     chan struct{}
	poison     map[string]time.Duration
	dropAll    bool
	dropCount  uint32
	dropHang   bool
	refuse     bool
	draining   bool
	leavingAt  time.Time
	lieHealth  bool
	saidHealth bool
	lieLoad    bool
	saidLoad   uint32
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
		coldAt:    time.Now(),
		faults:    newFaults(),
		conns:     make(map[*gatedConn]struct{}),
	}
	t.counters.Target = config.Id
	return t
}

// hold makes the target hold a snapshot from a moment on.
func (t *target) hold(version uint64, from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = append(t.held, heldSnapshot{version: version, from: from})
}

// heldVersions returns the newest snapshots held, ascending. The caller holds
// the lock.
func (t *target) heldVersions() []uint64 {
	now := time.Now()
	var versions []uint64
	for _, h := range t.held {
		if !now.Before(h.from) {
			versions = append(versions, h.version)
		}
	}
	return versions[max(0, len(versions)-t.env.options.HeldSnapshots):]
}

func (t *target) holds(version uint64) bool {
	for _, v := range t.heldVersions() {
		if v == version {
			return true
		}
	}
	return false
}

// lose removes a snapshot.
func (t *target) lose(version uint64) {
	var kept []heldSnapshot
	for _, h := range t.held {
		if h.version != version {
			kept = append(kept, h)
		}
	}
	t.held = kept
}

// turnCold gives the target a new boot identity and a cold start. The caller
// holds the lock.
func (t *target) turnCold(announced bool) {
	t.cold = true
	t.announced = announced
	t.coldAt = time.Now()
	t.served = 0
	if t.boot != nil {
		t.boot.id = t.nextBootID()
	}
}

// loseWork drops all connections and forgets all running and waiting work,
// which ends without effect. The caller holds the lock.
func (t *target) loseWork() {
	t.epoch++
	t.running = 0
	t.waiting = nil
	lost := slices.Collect(maps.Keys(t.conns))
	clear(t.conns)
	go func() {
		for _, conn := range lost {
			_ = conn.Close()
		}
	}()
}

func (t *target) nextBootID() string {
	t.boots++
	return fmt.Sprintf("%s/%d", t.config.Id, t.boots)
}

// bootID returns the boot identity for an answer. The caller holds the lock.
func (t *target) bootID() string {
	t.announced = true
	return t.boot.id
}

// frozen returns a channel that is closed when the target thaws, or nil.
func (t *target) frozen() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.frozen
}

// serviceTime draws how long the next piece of work takes. It reports false
// for work that runs until it is cancelled. The caller holds the lock.
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
		if t.faults.factor <= 0 {
			return 0, false
		}
		d *= t.faults.factor
	}
	return time.Duration(d), true
}

// sampled is a value that is refreshed at most once in a lag.
type sampled[T any] struct {
	value T
	at    time.Time
}

func (s *sampled[T]) get(now time.Time, lag time.Duration, read func() T) T {
	if s.at.IsZero() || now.Sub(s.at) >= lag {
		s.value = read()
		s.at = now
	}
	return s.value
}
