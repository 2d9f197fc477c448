package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// pause is the state after the start or after a clock gap of this process: nothing is dispatched until the
// members and the configuration are confirmed again.
type pause struct {
	active bool
	since  time.Time
	// ownsNothingUntil is the time until which this VM claims no targets, because others may have taken
	// them over.
	ownsNothingUntil time.Time
}

// checkClock starts a pause after a gap between two ticks. It runs before each event is processed, so that
// no event is evaluated with the state from before the gap.
func (m *machine) checkClock() {
	gap := m.now.Sub(m.lastTick)
	if gap <= m.config.clockGap {
		return
	}
	m.stats.clockGaps++
	m.lastTick = m.now
	m.pause.active = true
	m.pause.since = m.now
	m.tableSync.needsFullTable = true
	m.tableSync.differsSince = map[string]time.Time{}
	// These confirmations predate the gap.
	m.domainConfirmedAt = map[string]time.Time{}
	m.standby.since = m.now
	m.table.Resume(m.now)
	if gap+m.config.heartbeatInterval >= m.config.suspectAfter+m.config.deadAfter {
		m.releaseTargets()
	}
}

// releaseTargets makes this VM own nothing for the guard time. During that time, the VMs that took its
// targets over learn that it is back. checkPause extends the time for as long as a pause lasts.
func (m *machine) releaseTargets() {
	m.pause.ownsNothingUntil = m.now.Add(m.config.guard)
}

func (m *machine) ownsNothing() bool {
	return m.now.Before(m.pause.ownsNothingUntil)
}

// endPauseIfConfirmed ends a pause if a response confirms the members and the revision: the heartbeat was
// sent after the gap, the peer sent its full table or has the same digest, and it knows no newer revision. If
// another VM of the same failure domain is alive, only such a VM can confirm. VMs that were frozen together
// do not confirm one another.
func (m *machine) endPauseIfConfirmed(answered *pb.HeartbeatAnswered, sentAt time.Time) {
	sentFullTable := answered.Vm == m.tableSync.fullTableFrom && sentAt.Equal(m.tableSync.fullTableSentAt)
	if sentFullTable || answered.Vm == "" {
		m.tableSync.needsFullTable = false
	}
	if !m.pause.active || sentAt.Before(m.pause.since) {
		return
	}
	digestMatches := answered.Response.MembersDigest == m.table.Digest()
	if !sentFullTable && !digestMatches && answered.Vm != "" {
		return
	}
	sameDomain := answered.Response.Responder.FailureDomain == m.domain
	if _, hasDomainPeer := m.table.HasLivePeer(); hasDomainPeer && !sameDomain {
		return
	}
	if answered.Response.ConfigurationRevision > m.revision() {
		return
	}
	if answered.Response.Paused && !m.pausedPeerSuffices() {
		return
	}
	m.endPause()
}

// pausedPeerSuffices reports whether a response from a peer that is itself paused may end the pause: the
// revision was confirmed since the pause began, or suspectAfter has elapsed, within which a peer that is not
// paused would have responded.
func (m *machine) pausedPeerSuffices() bool {
	return !m.confirmedAt.Before(m.pause.since) || m.now.Sub(m.pause.since) > m.config.suspectAfter
}

// checkPause ends a pause that no peer can end. If no other VM is alive, the platform confirms, by its
// store and by a list that contains this VM. If the platform is unreachable too, the VM resumes alone after
// the time in which others would have taken its targets over. A VM whose authentication is rejected stays
// paused: other VMs are alive that do not count it as a member and own its targets.
func (m *machine) checkPause() {
	if m.table.TakeDeclaredDead() {
		m.releaseTargets()
	}
	if !m.pause.active || m.authDenied {
		return
	}
	if m.ownsNothing() {
		m.releaseTargets()
	}
	if hasPeer, _ := m.table.HasLivePeer(); hasPeer {
		return
	}
	platformConfirmed := m.watch.succeededAt.After(m.pause.since) && m.list.succeededAt.After(m.pause.since) && m.listedSelf
	waitedForTakeover := m.now.Sub(m.pause.since) > m.config.suspectAfter+m.config.deadAfter+m.config.guard
	if platformConfirmed || waitedForTakeover {
		m.endPause()
	}
}

func (m *machine) endPause() {
	m.pause.active = false
	if m.ownsNothing() {
		m.releaseTargets()
	}
}
