package owner

import "time"

// submit queues a job or refuses it. A job that may start immediately leaves the queue within the same step.
func (m *Machine) submit(e Event) {
	if reason, refused := m.refusalReason(e); refused {
		m.refuse(e.Job, reason)
		return
	}
	m.queue.push(queuedJob{id: e.Job, deadline: e.Deadline, exclusive: e.Exclusive})
}

// refusalReason returns the reason why a submitted job must be refused, if any.
func (m *Machine) refusalReason(e Event) (Reason, bool) {
	switch {
	case m.released:
		return ReasonReleased, true
	case e.Deadline <= e.At:
		return ReasonExpired, true
	case m.phase == PhaseLeaving:
		return ReasonLeaving, true
	case m.phase == PhaseDown && (e.At < m.nextProbe || len(m.running) > 0 || m.queue.len() > 0):
		return ReasonDown, true
	case m.phase == PhaseGuard && e.Deadline <= m.guardEnd:
		return ReasonGuard, true
	}
	return m.overloadReason(e)
}

// overloadReason refuses a job that would have to wait although the queue is full or its deadline is too
// early. A job that can start immediately is never refused, so that an estimate of the service time that is
// too high gets corrected.
func (m *Machine) overloadReason(e Event) (Reason, bool) {
	allowed := m.allowed(e.At)
	blocked := m.exclusive || (e.Exclusive && len(m.running) > 0)
	if !blocked && m.queue.len() == 0 && len(m.running) < allowed {
		return 0, false
	}
	if m.queue.len() >= m.limits.QueueLength {
		return ReasonQueueFull, true
	}
	if e.At+m.estimateCompletion(allowed, e.At) > e.Deadline {
		return ReasonTooLate, true
	}
	return 0, false
}

// estimateCompletion returns the estimated time until a job that is queued now completes.
func (m *Machine) estimateCompletion(allowed int, now time.Duration) time.Duration {
	allowed = max(allowed, 1)
	jobsPerSlot := time.Duration(m.queue.len()/allowed + 1)
	wait := jobsPerSlot*m.ramp.serviceTime + m.ramp.serviceTime
	if m.phase == PhaseGuard {
		wait += max(m.guardEnd-now, 0)
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

// finish frees the job's slot and updates the state from the job's result.
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
		m.recordReply(e.At)
		m.observeSuccess(e)
	case ResultNotRun, ResultInvalid:
		m.recordReply(e.At)
	case ResultShed:
		m.recordReply(e.At)
		m.observeShed(e.At)
	case ResultDraining:
		m.markDraining(e.BootID)
	case ResultConnectFailed:
		m.markDown(e.At)
	case ResultTimeout:
		m.countUnanswered(e.At)
	case ResultCancelled:
		if e.Duration > unansweredFloor && e.Duration > unansweredFactor*m.ramp.serviceTime {
			m.countUnanswered(e.At)
		}
	}
}

// observeBoot resets the target to cold when its boot ID has changed. A late reply with the previous boot ID
// is ignored.
func (m *Machine) observeBoot(bootID string, now time.Duration) {
	switch bootID {
	case m.bootID, m.previousBootID:
		return
	}
	known := m.bootID != ""
	m.previousBootID, m.bootID = m.bootID, bootID
	if known {
		m.resetToColdIfServing(now)
	}
}

// recordReply records that the target replied, and ends PhaseDown.
func (m *Machine) recordReply(now time.Duration) {
	m.unanswered, m.breaks = 0, 0
	if m.phase == PhaseDown {
		m.startServing(now)
	}
}

// observeSuccess records a success and raises the limit at the end of a round.
func (m *Machine) observeSuccess(e Event) {
	if e.BootID != m.bootID {
		return
	}
	m.confirmed, m.confirmedAt = true, e.At
	m.backoff = 0
	if m.ramp.observe(e.Duration) {
		m.resetToColdIfServing(e.At)
		return
	}
	successes, minDuration := m.limit*successesPerSlot, minRaiseInterval
	switch m.phase {
	case PhaseCold:
		successes, minDuration = max(successes, minColdSuccesses), m.limits.ColdDuration
	case PhaseRamp:
	default:
		return
	}
	if m.ramp.finishRound(successes, minDuration, e.At) {
		m.setLimit(raisedLimit(m.limit, m.limits.Slots))
	}
}

// setLimit sets the limit and enters PhaseRamp, or PhaseWarm once the limit reaches the number of slots.
func (m *Machine) setLimit(limit int) {
	m.limit = limit
	m.phase = PhaseRamp
	if limit >= m.limits.Slots {
		m.phase = PhaseWarm
	}
}

// observeShed lowers the limit of a target that sheds load.
func (m *Machine) observeShed(now time.Duration) {
	if m.phase != PhaseRamp && m.phase != PhaseWarm {
		m.ramp.restart(now)
		return
	}
	limit := max(min(m.limits.ColdLimit, m.limits.Slots), m.limit-max(1, m.limit/limitStepDivisor))
	m.ramp.restart(now)
	m.limit, m.phase = limit, PhaseRamp
}

// connectionBroken resets the target to cold, or marks it down after breaksToDown consecutive breaks. A
// broken connection does not count if its job started before the previous break, so that connections that break
// together count once.
func (m *Machine) connectionBroken(id JobID, now time.Duration) {
	job, ok := m.running[id]
	if !ok || (m.breaks > 0 && job.started <= m.brokenAt) {
		return
	}
	m.breaks, m.brokenAt = m.breaks+1, now
	if m.breaks >= breaksToDown {
		m.markDown(now)
		return
	}
	m.resetToColdIfServing(now)
}

// countUnanswered counts an unanswered job and marks the target down after unansweredToDown consecutive ones.
func (m *Machine) countUnanswered(now time.Duration) {
	m.unanswered++
	if m.unanswered >= unansweredToDown {
		m.markDown(now)
	}
}

// markDown stops all work except probes, which use exponential backoff.
func (m *Machine) markDown(now time.Duration) {
	m.resumeLimit = 0
	if m.phase == PhaseLeaving || m.phase == PhaseGuard {
		return
	}
	m.backoff = min(max(2*m.backoff, minProbeBackoff), maxProbeBackoff)
	m.phase, m.limit = PhaseDown, 0
	m.confirmed = false
	m.nextProbe = max(now+m.backoff, m.guardEnd)
	m.refuseQueued(ReasonDown)
}

// resetToColdIfServing restarts serving from the cold limit unless the target is leaving or in its guard
// time.
func (m *Machine) resetToColdIfServing(now time.Duration) {
	m.resumeLimit = 0
	if m.phase == PhaseLeaving || m.phase == PhaseGuard {
		return
	}
	m.startServing(now)
}

// startServing enters PhaseGuard if the guard time has not passed. Otherwise it restores the limit from before
// a pause, if there is one, or enters PhaseCold.
func (m *Machine) startServing(now time.Duration) {
	if now < m.guardEnd {
		m.phase, m.limit = PhaseGuard, 0
		m.confirmed = false
		return
	}
	limit := m.resumeLimit
	m.resetToCold(now)
	if limit > m.limit {
		m.setLimit(min(limit, m.limits.Slots))
	}
}

// resume starts a guard time after a pause. Another VM may have owned the target during the pause; its work
// ends within the guard time. The previous limit takes effect again after a success with an unchanged boot
// ID.
func (m *Machine) resume(e Event) {
	m.guardEnd = e.At + e.Guard
	m.nextProbe = max(m.nextProbe, m.guardEnd)
	if m.phase == PhaseLeaving || m.phase == PhaseDown {
		return
	}
	if m.phase == PhaseRamp || m.phase == PhaseWarm {
		m.resumeLimit = m.limit
	}
	m.startServing(e.At)
}

// resetToCold restarts the ramp at the cold limit.
func (m *Machine) resetToCold(now time.Duration) {
	m.phase, m.limit = PhaseCold, min(m.limits.ColdLimit, m.limits.Slots)
	m.confirmed, m.resumeLimit = false, 0
	m.unanswered = 0
	m.ramp.restart(now)
}

// markDraining takes the target out of service because it reported that it is draining.
func (m *Machine) markDraining(bootID string) {
	m.draining, m.drainingBootID = true, bootID
	m.markLeaving()
}

// markLeaving enters PhaseLeaving and refuses all queued jobs.
func (m *Machine) markLeaving() {
	m.phase, m.limit = PhaseLeaving, 0
	m.confirmed, m.resumeLimit = false, 0
	m.refuseQueued(ReasonLeaving)
}

// configure applies new limits. When the configuration returns a target to service, it overrides the target's
// own drain state.
func (m *Machine) configure(e Event) {
	backInService := e.Limits.InService && !m.limits.InService
	m.limits = e.Limits
	switch {
	case !e.Limits.InService:
		m.markLeaving()
	case backInService:
		m.draining = false
		m.startServing(e.At)
	case m.phase == PhaseCold:
		m.limit = min(m.limits.ColdLimit, m.limits.Slots)
	case m.phase == PhaseRamp || m.phase == PhaseWarm:
		m.setLimit(min(m.limit, m.limits.Slots))
	}
}

// handOver applies the state handed over by an owner that has stopped. The limit takes effect only after
// a success with the same boot ID.
func (m *Machine) handOver(e Event) {
	if m.phase != PhaseGuard && m.phase != PhaseCold || m.bootID != "" || e.Running > 0 {
		return
	}
	m.guardEnd = 0
	m.resetToCold(e.At)
	if e.BootID == "" || e.Limit <= 0 {
		return
	}
	m.bootID = e.BootID
	m.setLimit(min(e.Limit, m.limits.Slots))
}

// observeHealth returns a draining target to service once it has restarted. A new boot ID proves the restart;
// the drain flag alone may be stale or wrong.
func (m *Machine) observeHealth(e Event) {
	restarted := e.BootID != "" && e.BootID != m.drainingBootID
	if !m.draining || e.Draining || !restarted || !m.limits.InService {
		return
	}
	m.draining = false
	m.bootID = e.BootID
	m.startServing(e.At)
}
