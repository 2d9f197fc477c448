package owner

import "time"

// submit queues a job or refuses it. A job that may start at once passes
// through the queue within the same step.
func (m *Machine) submit(e Event) {
	if reason, refused := m.refusal(e); refused {
		m.refuse(e.Job, reason)
		return
	}
	m.queue.push(waitingJob{id: e.Job, deadline: e.Deadline, exclusive: e.Exclusive})
}

func (m *Machine) refusal(e Event) (Reason, bool) {
	switch {
	case m.released:
		return ReasonReleased, true
	case e.Deadline <= e.At:
		return ReasonExpired, true
	case m.phase == PhaseLeaving:
		return ReasonLeaving, true
	case m.phase == PhaseDown && (e.At < m.nextProbe || len(m.running) > 0 || m.queue.len() > 0):
		return ReasonDown, true
	case m.phase == PhaseGuard && e.Deadline <= m.guard:
		return ReasonGuard, true
	}
	return m.overload(e)
}

// overload refuses a job that must wait and has no place or no time for it. A
// job that need not wait is never refused, so that the estimate of the service
// time is renewed even when it was too high.
func (m *Machine) overload(e Event) (Reason, bool) {
	allowed := m.allowed(e.At)
	blocked := m.exclusive || (e.Exclusive && len(m.running) > 0)
	if !blocked && m.queue.len() == 0 && len(m.running) < allowed {
		return 0, false
	}
	if m.queue.len() >= m.limits.Queue {
		return ReasonQueueFull, true
	}
	if e.At+m.estimate(allowed, e.At) > e.Deadline {
		return ReasonTooLate, true
	}
	return 0, false
}

// estimate returns the time until a job that is queued now has been served.
func (m *Machine) estimate(allowed int, now time.Duration) time.Duration {
	allowed = max(allowed, 1)
	rounds := time.Duration(m.queue.len()/allowed + 1)
	wait := rounds*m.ramp.service + m.ramp.service
	if m.phase == PhaseGuard {
		wait += max(m.guard-now, 0)
	}
	return wait
}

func (m *Machine) refuse(id JobID, reason Reason) {
	m.decisions = append(m.decisions, Decision{Kind: DecideRefuse, Job: id, Reason: reason})
}

func (m *Machine) refuseQueued(reason Reason) {
	for _, job := range m.queue.jobs {
		m.refuse(job.id, reason)
	}
	m.queue.jobs = m.queue.jobs[:0]
}

// finish frees the job's slot and draws conclusions from how it ended.
func (m *Machine) finish(e Event) {
	job, ok := m.running[e.Job]
	if !ok {
		return
	}
	delete(m.running, e.Job)
	if job.exclusive {
		m.exclusive = false
	}
	if e.BootID != "" {
		m.observeBoot(e.BootID, e.At)
	}
	switch e.Result {
	case ResultOK:
		m.answered(e.At)
		m.succeeded(e)
	case ResultNotRun, ResultInvalid:
		m.answered(e.At)
	case ResultShed:
		m.answered(e.At)
		m.shed(e.At)
	case ResultDraining:
		m.drain(e.BootID)
	case ResultRefused:
		m.down(e.At)
	case ResultTimeout:
		m.silent(e.At)
	case ResultCancelled:
		if e.Took > silenceFloor && e.Took > silenceFactor*m.ramp.service {
			m.silent(e.At)
		}
	}
}

// observeBoot turns the target cold when its boot identity changed. A late
// reply with the identity before that changes nothing.
func (m *Machine) observeBoot(bootID string, now time.Duration) {
	switch bootID {
	case m.bootID, m.previousBootID:
		return
	}
	known := m.bootID != ""
	m.previousBootID, m.bootID = m.bootID, bootID
	if known {
		m.turnColdIfServing(now)
	}
}

// answered notes that the target answers.
func (m *Machine) answered(now time.Duration) {
	m.silences, m.breaks = 0, 0
	if m.phase == PhaseDown {
		m.enter(now)
	}
}

func (m *Machine) succeeded(e Event) {
	if e.BootID != m.bootID {
		return
	}
	m.confirmed, m.confirmedAt = true, e.At
	m.backoff = 0
	if m.ramp.observe(e.Took) {
		m.turnColdIfServing(e.At)
		return
	}
	successes, least := m.limit*roundsPerRaise, growInterval
	switch m.phase {
	case PhaseCold:
		successes, least = max(successes, coldSuccesses), m.limits.ColdDuration
	case PhaseRamp:
	default:
		return
	}
	if m.ramp.roundDone(successes, least, e.At) {
		m.setLimit(raise(m.limit, m.limits.Slots))
	}
}

func (m *Machine) setLimit(limit int) {
	m.limit = limit
	m.phase = PhaseRamp
	if limit >= m.limits.Slots {
		m.phase = PhaseWarm
	}
}

// shed lowers the limit of a target that refuses for load.
func (m *Machine) shed(now time.Duration) {
	if m.phase != PhaseRamp && m.phase != PhaseWarm {
		m.ramp.restart(now)
		return
	}
	limit := max(min(m.limits.Cold, m.limits.Slots), m.limit-max(1, m.limit/growDivisor))
	m.ramp.restart(now)
	m.limit, m.phase = limit, PhaseRamp
}

// broken turns the target cold, and down when it breaks again and again. Jobs
// that break together count once.
func (m *Machine) broken(id JobID, now time.Duration) {
	job, ok := m.running[id]
	if !ok || (m.breaks > 0 && job.started <= m.brokenAt) {
		return
	}
	m.breaks, m.brokenAt = m.breaks+1, now
	if m.breaks >= breaksToDown {
		m.down(now)
		return
	}
	m.turnColdIfServing(now)
}

// silent counts an unanswered job.
func (m *Machine) silent(now time.Duration) {
	m.silences++
	if m.silences >= silencesToDown {
		m.down(now)
	}
}

// down stops all work but probes, which come ever more rarely.
func (m *Machine) down(now time.Duration) {
	m.resumeLimit = 0
	if m.phase == PhaseLeaving || m.phase == PhaseGuard {
		return
	}
	m.backoff = min(max(2*m.backoff, probeBackoffLeast), probeBackoffMost)
	m.phase, m.limit = PhaseDown, 0
	m.confirmed = false
	m.nextProbe = max(now+m.backoff, m.guard)
	m.refuseQueued(ReasonDown)
}

func (m *Machine) turnColdIfServing(now time.Duration) {
	m.resumeLimit = 0
	if m.phase == PhaseLeaving || m.phase == PhaseGuard {
		return
	}
	m.enter(now)
}

// enter begins to serve: first the guard time, as far as it is not over, then
// cold.
func (m *Machine) enter(now time.Duration) {
	if now < m.guard {
		m.phase, m.limit = PhaseGuard, 0
		m.confirmed = false
		return
	}
	limit := m.resumeLimit
	m.turnCold(now)
	if limit > m.limit {
		m.setLimit(min(limit, m.limits.Slots))
	}
}

// resume begins a guard time, in which the work of a VM that may have owned the
// target meanwhile ends. The limit of before counts again once a reply shows the
// same boot identity.
func (m *Machine) resume(e Event) {
	m.guard = e.At + e.Guard
	m.nextProbe = max(m.nextProbe, m.guard)
	if m.phase == PhaseLeaving || m.phase == PhaseDown {
		return
	}
	if m.phase == PhaseRamp || m.phase == PhaseWarm {
		m.resumeLimit = m.limit
	}
	m.enter(e.At)
}

// turnCold begins the ramp at the cold limit.
func (m *Machine) turnCold(now time.Duration) {
	m.phase, m.limit = PhaseCold, min(m.limits.Cold, m.limits.Slots)
	m.confirmed, m.resumeLimit = false, 0
	m.silences = 0
	m.ramp.restart(now)
}

// drain keeps the target out on its own word.
func (m *Machine) drain(bootID string) {
	m.draining, m.drainedBootID = true, bootID
	m.leave()
}

func (m *Machine) leave() {
	m.phase, m.limit = PhaseLeaving, 0
	m.confirmed, m.resumeLimit = false, 0
	m.refuseQueued(ReasonLeaving)
}

// configure takes new limits. A target that comes back into service has the
// configuration's word for it, also against its own drain state.
func (m *Machine) configure(e Event) {
	returns := e.Limits.InService && !m.limits.InService
	m.limits = e.Limits
	switch {
	case !e.Limits.InService:
		m.leave()
	case returns:
		m.draining = false
		m.enter(e.At)
	case m.phase == PhaseCold:
		m.limit = min(m.limits.Cold, m.limits.Slots)
	case m.phase == PhaseRamp || m.phase == PhaseWarm:
		m.setLimit(min(m.limit, m.limits.Slots))
	}
}

// handOver takes over the knowledge of an owner that has stopped. The limit
// counts only once a reply confirms the boot identity.
func (m *Machine) handOver(e Event) {
	if m.phase != PhaseGuard && m.phase != PhaseCold || m.bootID != "" || e.Running > 0 {
		return
	}
	m.guard = 0
	m.turnCold(e.At)
	if e.BootID == "" || e.Limit <= 0 {
		return
	}
	m.bootID = e.BootID
	m.setLimit(min(e.Limit, m.limits.Slots))
}

// health lets a drained target return once it has started anew. The drain flag
// alone may lag or mislead; a new boot identity does not.
func (m *Machine) health(e Event) {
	restarted := e.BootID != "" && e.BootID != m.drainedBootID
	if !m.draining || e.Draining || !restarted || !m.limits.InService {
		return
	}
	m.draining = false
	m.bootID = e.BootID
	m.enter(e.At)
}
