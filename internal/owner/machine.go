package owner

import "time"

const (
	// evidenceLifetime is how long a reply vouches for a warm target. Without a
	// newer one, no more than the cold limit is sent until a reply arrives.
	evidenceLifetime = 250 * time.Millisecond
	// probeBackoffLeast and probeBackoffMost bound the time between probes of a
	// target that is down.
	probeBackoffLeast = 100 * time.Millisecond
	probeBackoffMost  = 3 * time.Second
	// silencesToDown is the number of unanswered jobs in a row that mean down.
	silencesToDown = 3
	// breaksToDown is the number of broken connections in a row that mean down.
	breaksToDown = 3
	// silenceFactor and silenceFloor tell from which running time on a cancelled
	// job counts as unanswered: above both.
	silenceFactor = 8
	silenceFloor  = 50 * time.Millisecond
)

// runningJob is a job that was sent to the target.
type runningJob struct {
	started   time.Duration
	exclusive bool
}

// Machine decides for one target when work is sent to it. It is pure: it has no
// clock, no goroutines and no input or output but events and decisions. It is
// not safe for concurrent use.
type Machine struct {
	limits Limits
	phase  Phase
	limit  int
	guard  time.Duration
	// resumeLimit is the limit of before a pause, to be taken up after the guard
	// time; zero when there is none.
	resumeLimit int

	bootID         string
	previousBootID string
	// drainedBootID is the boot identity that said it drains; draining tells
	// whether one did.
	drainedBootID string
	draining      bool
	// confirmedAt is when a reply last vouched for the limit; confirmed is false
	// when none does.
	confirmedAt time.Duration
	confirmed   bool

	ramp      ramp
	queue     jobQueue
	running   map[JobID]runningJob
	exclusive bool // a job runs alone
	// silences and breaks count unanswered and broken jobs since the last
	// answer; brokenAt is the time of the last break.
	silences int
	breaks   int
	brokenAt time.Duration

	nextProbe time.Duration
	backoff   time.Duration
	released  bool

	decisions []Decision
}

// NewMachine returns the machine of a target taken over at time zero. Nothing is
// sent before guard has passed, unless a hand-over ends the wait.
func NewMachine(limits Limits, guard time.Duration) *Machine {
	m := &Machine{limits: limits, guard: guard, running: map[JobID]runningJob{}}
	if !limits.InService {
		m.phase = PhaseLeaving
		return m
	}
	m.enter(0)
	return m
}

// Step takes an event and returns the decisions it leads to. The returned slice
// is valid until the next call.
func (m *Machine) Step(e Event) []Decision {
	m.decisions = m.decisions[:0]
	phase, limit := m.phase, m.limit
	m.apply(e)
	m.advance(e.At)
	if m.phase != phase || m.limit != limit {
		m.decisions = append(m.decisions, Decision{Kind: DecidePhase, Phase: m.phase, Limit: m.limit})
	}
	m.pump(e.At)
	return m.decisions
}

func (m *Machine) apply(e Event) {
	switch e.Kind {
	case EventSubmit:
		m.submit(e)
	case EventWithdraw:
		m.queue.remove(e.Job)
	case EventFinish:
		m.finish(e)
	case EventBreak:
		m.broken(e.Job, e.At)
	case EventLost:
		m.confirmed = false
	case EventConfigure:
		m.configure(e)
	case EventHandOver:
		m.handOver(e)
	case EventHealth:
		m.health(e)
	case EventResume:
		m.resume(e)
	case EventRelease:
		m.released = true
		m.refuseQueued(ReasonReleased)
	}
}

// advance applies what the passing of time changes.
func (m *Machine) advance(now time.Duration) {
	if m.phase == PhaseGuard && now >= m.guard {
		m.enter(now)
	}
	for _, id := range m.queue.takeExpired(now) {
		m.refuse(id, ReasonExpired)
	}
}

// pump starts waiting jobs while the limit allows.
func (m *Machine) pump(now time.Duration) {
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

// allowed returns the number of jobs that may run at once now.
func (m *Machine) allowed(now time.Duration) int {
	switch {
	case m.released:
		return 0
	case m.phase == PhaseCold:
		return m.limit
	case m.phase == PhaseRamp, m.phase == PhaseWarm:
		if !m.vouched(now) {
			return min(m.limit, m.limits.Cold)
		}
		return m.limit
	case m.phase == PhaseDown && now >= m.nextProbe:
		return 1
	default:
		return 0
	}
}

// vouched reports whether a recent reply showed the target as it is believed.
func (m *Machine) vouched(now time.Duration) bool {
	return m.confirmed && now-m.confirmedAt <= evidenceLifetime
}

// Wake returns when the next EventTick is due, if any.
func (m *Machine) Wake() (time.Duration, bool) {
	wake, ok := m.queue.earliestDeadline()
	consider := func(at time.Duration) {
		if !ok || at < wake {
			wake, ok = at, true
		}
	}
	if m.phase == PhaseGuard {
		consider(m.guard)
	}
	if m.phase == PhaseDown && m.queue.len() > 0 && len(m.running) == 0 {
		consider(m.nextProbe)
	}
	return wake, ok
}

// State is a picture of a machine.
type State struct {
	Phase   Phase
	Limit   int
	Running int
	Queued  int
	BootID  string
	// Draining is true while the target's own drain state keeps it out.
	Draining bool
	// Service is the smoothed service time.
	Service time.Duration
}

// State returns the machine's present state.
func (m *Machine) State() State {
	return State{
		Phase:    m.phase,
		Limit:    m.limit,
		Running:  len(m.running),
		Queued:   m.queue.len(),
		BootID:   m.bootID,
		Draining: m.draining,
		Service:  m.ramp.service,
	}
}
