package owner

import "time"

const (
	// confirmationLifetime is how long a success confirms that a target is still warm. Without a more recent
	// success, the cold limit applies until the next one.
	confirmationLifetime = 250 * time.Millisecond
	// minProbeBackoff and maxProbeBackoff bound the interval between probes of a target that is down.
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = 3 * time.Second
	// unansweredToDown is the number of consecutive unanswered jobs after which a target is considered down.
	unansweredToDown = 3
	// breaksToDown is the number of consecutive broken connections after which a target is considered down.
	breaksToDown = 3
	// A cancelled job counts as unanswered if it ran for longer than unansweredFactor times the average
	// service time and for longer than unansweredFloor.
	unansweredFactor = 8
	unansweredFloor  = 50 * time.Millisecond
)

// runningJob is a job that was sent to the target.
type runningJob struct {
	started   time.Duration
	exclusive bool
}

// Machine is the state machine that decides when jobs are sent to one target. It is pure: it has no clock and
// no goroutines, and its only input and output are events and decisions. It is not safe for concurrent use.
type Machine struct {
	limits Limits
	phase  Phase
	// limit is the current maximum number of concurrent jobs.
	limit    int
	guardEnd time.Duration
	// resumeLimit is the limit from before a pause, which is restored after the guard time; zero if there is
	// none.
	resumeLimit int

	bootID         string
	previousBootID string
	// draining is true while the target's own drain state keeps it out of service, and drainingBootID is the
	// boot ID under which the target reported it.
	drainingBootID string
	draining       bool
	// confirmedAt is the time of the last success with the current boot ID, which confirms that the target is
	// still warm. It is valid only if confirmed is true.
	confirmedAt time.Duration
	confirmed   bool

	ramp      ramp
	queue     jobQueue
	running   map[JobID]runningJob
	exclusive bool // an exclusive job is running
	// unanswered and breaks count unanswered jobs and broken connections since the last reply. brokenAt is
	// the time of the last break.
	unanswered int
	breaks     int
	brokenAt   time.Duration

	nextProbe time.Duration
	backoff   time.Duration
	released  bool

	decisions []Decision
}

// NewMachine returns the machine of a target that is gained at time zero. No job starts before the guard
// time has passed, unless a hand-over ends the guard time early.
func NewMachine(limits Limits, guard time.Duration) *Machine {
	m := &Machine{limits: limits, guardEnd: guard, running: map[JobID]runningJob{}}
	if !limits.InService {
		m.phase = PhaseLeaving
		return m
	}
	m.startServing(0)
	return m
}

// Step processes an event and returns the resulting decisions. The slice is valid until the next call.
func (m *Machine) Step(e Event) []Decision {
	m.decisions = m.decisions[:0]
	phase, limit := m.phase, m.limit
	m.apply(e)
	m.advance(e.At)
	if m.phase != phase || m.limit != limit {
		m.decisions = append(m.decisions, Decision{Kind: DecidePhase, Phase: m.phase, Limit: m.limit})
	}
	m.startQueued(e.At)
	return m.decisions
}

// apply calls the method that processes the event.
func (m *Machine) apply(e Event) {
	switch e.Kind {
	case EventSubmit:
		m.submit(e)
	case EventWithdraw:
		m.queue.remove(e.Job)
	case EventFinish:
		m.finish(e)
	case EventBreak:
		m.connectionBroken(e.Job, e.At)
	case EventIdleConnectionLost:
		m.confirmed = false
	case EventConfigure:
		m.configure(e)
	case EventHandOver:
		m.handOver(e)
	case EventHealth:
		m.observeHealth(e)
	case EventResume:
		m.resume(e)
	case EventRelease:
		m.released = true
		m.refuseQueued(ReasonReleased)
	}
}

// advance ends the guard time once it has passed and refuses queued jobs whose deadline has passed.
func (m *Machine) advance(now time.Duration) {
	if m.phase == PhaseGuard && now >= m.guardEnd {
		m.startServing(now)
	}
	for _, id := range m.queue.takeExpired(now) {
		m.refuse(id, ReasonExpired)
	}
}

// startQueued starts queued jobs while the limit allows.
func (m *Machine) startQueued(now time.Duration) {
	for len(m.running) < m.allowed(now) && !m.exclusive {
		job, ok := m.queue.head()
		if !ok || (job.exclusive && len(m.running) > 0) {
			return
		}
		m.queue.pop()
		m.running[job.id] = runningJob{started: now, exclusive: job.exclusive}
		m.exclusive = job.exclusive
		if m.phase == PhaseDown {
			m.nextProbe = now + m.backoff
		}
		m.decisions = append(m.decisions, Decision{Kind: DecideStart, Job: job.id})
	}
}

// allowed returns the number of jobs that may currently run concurrently.
func (m *Machine) allowed(now time.Duration) int {
	switch {
	case m.released:
		return 0
	case m.phase == PhaseCold:
		return m.limit
	case m.phase == PhaseRamp, m.phase == PhaseWarm:
		if !m.recentlyConfirmed(now) {
			return min(m.limit, m.limits.ColdLimit)
		}
		return m.limit
	case m.phase == PhaseDown && now >= m.nextProbe:
		return 1
	default:
		return 0
	}
}

// recentlyConfirmed reports whether a recent success confirmed that the target is still warm.
func (m *Machine) recentlyConfirmed(now time.Duration) bool {
	return m.confirmed && now-m.confirmedAt <= confirmationLifetime
}

// NextTick returns the time at which the next EventTick is due, if any.
func (m *Machine) NextTick() (time.Duration, bool) {
	wake, ok := m.queue.earliestDeadline()
	consider := func(at time.Duration) {
		if !ok || at < wake {
			wake, ok = at, true
		}
	}
	if m.phase == PhaseGuard {
		consider(m.guardEnd)
	}
	if m.phase == PhaseDown && m.queue.len() > 0 && len(m.running) == 0 {
		consider(m.nextProbe)
	}
	return wake, ok
}

// State is a snapshot of a machine's state.
type State struct {
	Phase   Phase
	Limit   int
	Running int
	Queued  int
	BootID  string
	// Draining is true while the target's own drain state keeps it out of service.
	Draining bool
	// ServiceTime is the moving average of the service time; zero before the first success.
	ServiceTime time.Duration
}

// State returns a snapshot of the machine's state.
func (m *Machine) State() State {
	return State{
		Phase:       m.phase,
		Limit:       m.limit,
		Running:     len(m.running),
		Queued:      m.queue.len(),
		BootID:      m.bootID,
		Draining:    m.draining,
		ServiceTime: m.ramp.serviceTime,
	}
}
