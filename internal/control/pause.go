package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// pause is the state after the start or after a gap in this process's clock:
// nothing is dispatched until what this VM believes was confirmed again.
type pause struct {
	active bool
	since  time.Time
	// ownsNothingUntil is the end of the time in which this VM claims no
	// targets, because others may have taken them over.
	ownsNothingUntil time.Time
}

// checkClock begins a pause after a gap between two ticks. It comes before any
// event is taken, so that no event is judged by beliefs from before the gap.
func (m *machine) checkClock() {
	gap := m.now.Sub(m.lastTick)
	if gap <= m.config.clockGap {
		return
	}
	m.stats.clockGaps++
	m.lastTick = m.now
	m.pause.active = true
	m.pause.since = m.now
	m.exchange.wholeWanted = true
	m.exchange.differsSince = map[string]time.Time{}
	// The domains were heard before the gap.
	m.domainHeard = map[string]time.Time{}
	m.table.Resume(m.now)
	if gap+m.config.heartbeat >= m.config.suspectAfter+m.config.deadAfter {
		m.giveUpTargets()
	}
}

// giveUpTargets makes this VM own nothing until the pause is over and the guard
// time has passed, in which the VMs that took its targets over hear of it.
func (m *machine) giveUpTargets() {
	m.pause.ownsNothingUntil = m.now.Add(m.config.guard)
}

func (m *machine) ownsNothing() bool {
	return m.now.Before(m.pause.ownsNothingUntil)
}

// confirmPause ends a pause when a peer's answer confirms the members and the
// revision: the heartbeat was sent after the gap, the peer sent its whole table
// or its digest is the same, and it knows no newer revision. The peer is one of
// the own failure domain if any is alive. VMs that were frozen together do not
// confirm one another.
func (m *machine) confirmPause(answered *pb.HeartbeatAnswered, sentAt time.Time) {
	whole := answered.Vm == m.exchange.wholeSentTo && sentAt.Equal(m.exchange.wholeSentAt)
	if whole || answered.Vm == "" {
		m.exchange.wholeWanted = false
	}
	if !m.pause.active || sentAt.Before(m.pause.since) {
		return
	}
	same := answered.Response.MembersDigest == m.table.Digest()
	if !whole && !same && answered.Vm != "" {
		return
	}
	own := answered.Response.Responder.FailureDomain == m.domain
	if _, ownPeer := m.table.HasLivePeer(); ownPeer && !own {
		return
	}
	if answered.Response.ConfigurationRevision > m.revision() {
		return
	}
	if answered.Response.Paused && !m.confirmedSincePause() {
		return
	}
	m.endPause()
}

// confirmedSincePause reports whether the word of a peer that is paused itself
// is enough: the revision was confirmed since the pause began, or nobody could
// confirm it in the time in which others would have answered.
func (m *machine) confirmedSincePause() bool {
	return !m.confirmedAt.Before(m.pause.since) || m.now.Sub(m.pause.since) > m.config.suspectAfter
}

// checkPause ends a pause where no peer can: with no other VM alive the platform
// confirms, by its store and by a list that names this VM; and with nobody in
// reach at all the VM goes on alone after the time in which others would have
// taken its targets over. A VM whose authentication is refused stays paused:
// others are alive that do not count it among them, and own its targets.
func (m *machine) checkPause() {
	if m.table.DeclaredDead() {
		m.giveUpTargets()
	}
	if !m.pause.active || m.denied {
		return
	}
	if m.ownsNothing() {
		m.giveUpTargets()
	}
	if anywhere, _ := m.table.HasLivePeer(); anywhere {
		return
	}
	confirmed := m.watch.okAt.After(m.pause.since) && m.list.okAt.After(m.pause.since) && m.listNamesSelf
	alone := m.now.Sub(m.pause.since) > m.config.suspectAfter+m.config.deadAfter+m.config.guard
	if confirmed || alone {
		m.endPause()
	}
}

func (m *machine) endPause() {
	m.pause.active = false
	if m.ownsNothing() {
		m.giveUpTargets()
	}
}
