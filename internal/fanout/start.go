package fanout

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// Start sends the first attempts, or rejects the request when too few services are
// reachable.
func (m *Machine) Start(now time.Time) Actions {
	m.startEvent(now)
	if left := m.in.Deadline.Sub(now); left <= minTimeLeft {
		m.reject("no time is left for an attempt")
		return m.actions
	} else if m.in.Stopping && float64(left) < stopReserve*float64(m.latencies.tail) {
		m.reject("this VM stops before a reply can be expected")
		return m.actions
	}
	return m.startAdmitted()
}

// startAdmitted sends the first attempts of a request for which time is left, once its content
// and admission control allow it.
func (m *Machine) startAdmitted() Actions {
	allowed, until := m.content.check(m.now)
	if allowed != quarantine.Refused && !m.admitted() {
		return m.actions
	}
	if allowed == quarantine.Refused || allowed == quarantine.OnTrial && !m.content.beginTrial(m.now) {
		m.refuseContent(allowed, until)
		return m.actions
	}
	chosen := make([]*routing.Target, len(m.legs))
	reachable := 0
	for i := range m.legs {
		chosen[i] = m.chooseTarget(&m.legs[i])
		if chosen[i] != nil {
			reachable++
		}
	}
	if !m.coverageMet(reachable) {
		m.refund(chosen)
		m.content.endTrial()
		m.reject("too few services have a target that can be reached")
		return m.actions
	}
	for i := range m.legs {
		m.shared.deposit(m.legs[i].service.Name, m.now)
	}
	if allowed != quarantine.Admitted {
		m.startTrial(chosen)
		return m.finishEvent()
	}
	m.sendFirst(chosen)
	return m.finishEvent()
}

// refund takes back the requests that were counted for chosen targets.
func (m *Machine) refund(chosen []*routing.Target) {
	for _, target := range chosen {
		if target != nil {
			m.shared.refund(target)
		}
	}
}

// sendFirst sends the first attempts to the chosen targets. Legs without one fail.
func (m *Machine) sendFirst(chosen []*routing.Target) {
	m.sendBatches(chosen)
	for i := range m.legs {
		switch {
		case m.legs[i].running > 0:
		case chosen[i] == nil:
			m.failLeg(&m.legs[i], "no target can be reached")
		default:
			m.send(i, chosen[i], FirstAttempt)
		}
	}
}
