package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/membership"
)

const (
	// differingRounds is how long digests must differ, in heartbeat intervals,
	// before a part of the table is asked for.
	differingRounds = 8
	// exchangeInterval is the least time between two such requests.
	exchangeInterval = time.Second
)

// exchange decides when more than the news is asked for.
type exchange struct {
	// wholeWanted is true until the whole table was received once after the
	// start or a pause.
	wholeWanted bool
	// wholeSentTo and wholeSentAt name the heartbeat that asks for it.
	wholeSentTo string
	wholeSentAt time.Time
	// differsSince is when the digests of a failure domain's VMs began to differ
	// from this VM's; it has no entry while they agree. The VMs of one failure
	// domain can agree for long on what those of another do not know.
	differsSince map[string]time.Time
	lastPartAt   time.Time
}

const (
	// agingAfter is the age of the configuration above which more of the other
	// failure domains are asked, since the store does not confirm it.
	agingAfter = time.Second
	// agingProbes is their number in each round.
	agingProbes = 3
)

// remoteProbes returns how many other failure domains get a heartbeat in a round.
func (m *machine) remoteProbes() int {
	// A longer watch confirms later, and the word of it travels on.
	usual := agingAfter + 2*max(m.config.watchWait-confirmInterval, 0)
	if m.age() > usual {
		return agingProbes
	}
	return 1
}

func (m *machine) sendHeartbeats(contacts []membership.Contact) {
	// The first one may be asked for the whole table; it is another one each
	// round, as it may be dead.
	m.round++
	for i := range contacts {
		contact := contacts[(i+m.round)%len(contacts)]
		m.sendHeartbeat(contact, m.fullWanted(contact.VM))
	}
	m.sendToSeeds(len(contacts))
}

// sendToSeeds asks the seed addresses while no other VM is known.
func (m *machine) sendToSeeds(contacts int) {
	anywhere, _ := m.table.HasLivePeer()
	if contacts > 0 || anywhere || m.watchTooSoon() {
		return
	}
	for _, address := range m.config.seeds {
		m.sendHeartbeat(membership.Contact{Address: address}, wholeTable)
	}
	m.exchange.lastPartAt = m.now
}

// watchTooSoon spaces the heartbeats to seeds.
func (m *machine) watchTooSoon() bool {
	return m.now.Sub(m.exchange.lastPartAt) < m.config.heartbeat
}

// tableRequest is how much of the table a heartbeat asks for.
type tableRequest int

const (
	newsOnly tableRequest = iota
	partOfTable
	wholeTable
)

// fullWanted decides how much of the table to ask a VM for.
func (m *machine) fullWanted(vm string) tableRequest {
	x := &m.exchange
	domain := m.table.FailureDomain(vm)
	own := domain == m.domain
	_, ownPeer := m.table.HasLivePeer()
	if x.wholeWanted && (own || !ownPeer) && m.now.After(x.wholeSentAt) {
		x.wholeSentTo = vm
		x.wholeSentAt = m.now
		return wholeTable
	}
	since, differs := x.differsSince[domain]
	if differs && m.now.Sub(since) > differingRounds*m.config.heartbeat && m.now.Sub(x.lastPartAt) > exchangeInterval {
		x.lastPartAt = m.now
		return partOfTable
	}
	return newsOnly
}

func (m *machine) sendHeartbeat(contact membership.Contact, wanted tableRequest) {
	request := &pb.HeartbeatRequest{
		Sender:                m.table.Self(),
		ConfigurationRevision: m.revision(),
		ConfigurationAgeMs:    uint64(m.age().Milliseconds()),
		Members:               m.table.News(contact.VM),
		MembersDigest:         m.table.Digest(),
		Full:                  wanted != newsOnly,
	}
	if wanted == wholeTable {
		request.MembersDigest = 0
	}
	m.stats.heartbeatsSent++
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_SendHeartbeat{SendHeartbeat: &pb.SendHeartbeat{
		Vm: contact.VM, Address: contact.Address, Request: request,
	}}})
}

func (m *machine) heartbeatReceived(request *pb.HeartbeatRequest) {
	m.stats.heartbeatsReceived++
	sender := request.GetSender()
	m.table.Heard(sender, request.Members, m.now)
	m.noteRevision(sender.GetVm(), request.ConfigurationRevision)
	response := &pb.HeartbeatResponse{
		Responder:             m.table.Self(),
		ConfigurationRevision: m.revision(),
		ConfigurationAgeMs:    uint64(m.age().Milliseconds()),
		Members:               m.table.News(sender.GetVm()),
		MembersDigest:         m.table.Digest(),
		Paused:                m.pause.active,
	}
	switch {
	case request.Full && request.MembersDigest == 0:
		response.Members = append(response.Members, m.table.Whole()...)
	case request.Full:
		response.Members = append(response.Members, m.table.Chunk(exchangeMembers)...)
	}
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_Respond{Respond: response}})
}

func (m *machine) heartbeatAnswered(answered *pb.HeartbeatAnswered) {
	response := answered.Response
	responder := response.GetResponder()
	if responder.GetVm() == "" {
		m.table.Failed(answered.Vm, m.now)
		return
	}
	if responder.Vm == m.table.Self().Vm {
		// A seed that leads back to this VM; its own word confirms nothing.
		return
	}
	m.denied = false
	sentAt := m.at(answered.SentOffsetUs)
	m.table.Answered(answered.Vm, responder, response.Members, m.now)
	m.noteRevision(responder.Vm, response.ConfigurationRevision)
	m.noteConfirmation(responder, response, sentAt)
	m.noteDigest(responder.FailureDomain, response.MembersDigest)
	m.confirmPause(answered, sentAt)
	m.confirmLeave(responder, sentAt)
}

// noteRevision fetches a revision that another VM holds and this one does not.
func (m *machine) noteRevision(vm string, revision uint64) {
	if vm == "" {
		return
	}
	m.revisions[vm] = revision
	address := m.table.Address(vm)
	if revision <= m.revision() || m.fetching != "" || address == "" {
		return
	}
	m.fetching = vm
	since := m.revision()
	if m.fetchWhole {
		since = 0
	}
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_Fetch{Fetch: &pb.FetchFrom{
		Vm: vm, Address: address, SinceRevision: since,
	}}})
}

// noteConfirmation takes another VM's word on how long ago the revision was
// confirmed. Only answers count: a request may have waited unread, so that its
// age is not known. The time of sending is a safe bound for the answer's.
func (m *machine) noteConfirmation(responder *pb.Member, response *pb.HeartbeatResponse, sentAt time.Time) {
	if response.ConfigurationRevision > m.revision() {
		return
	}
	if responder.FailureDomain != m.domain {
		m.domainHeard[responder.FailureDomain] = sentAt
		m.confirmByDomains()
	}
	if response.ConfigurationRevision == m.revision() && m.revision() > 0 {
		age := time.Duration(min(response.ConfigurationAgeMs, uint64(neverConfirmed.Milliseconds()))) * time.Millisecond
		m.confirm(sentAt.Add(-age))
	}
}

// confirmByDomains confirms the revision when VMs of every other failure domain
// answered and none knows a newer one. A VM that accepts a revision hands it to
// every failure domain that it can reach before it answers the operator, so
// that one of those answers would have shown it. This keeps configurations
// confirmed while the store is down.
func (m *machine) confirmByDomains() {
	if m.revision() == 0 {
		return
	}
	oldest := m.now
	others := 0
	for _, domain := range m.table.OtherDomains() {
		others++
		heard, ok := m.domainHeard[domain]
		if !ok {
			return
		}
		if heard.Before(oldest) {
			oldest = heard
		}
	}
	if others > 0 {
		m.confirm(oldest)
	}
}

func (m *machine) noteDigest(failureDomain string, digest uint64) {
	if digest == m.table.Digest() {
		delete(m.exchange.differsSince, failureDomain)
		return
	}
	if _, ok := m.exchange.differsSince[failureDomain]; !ok {
		m.exchange.differsSince[failureDomain] = m.now
	}
}

// confirmLeave notes that another VM knows that this one is leaving: one of the
// own failure domain, which takes targets over, if any is alive.
func (m *machine) confirmLeave(responder *pb.Member, sentAt time.Time) {
	if !m.stopping || sentAt.Before(m.leaveAt) {
		return
	}
	own := responder.FailureDomain == m.domain
	if _, ownPeer := m.table.HasLivePeer(); own || !ownPeer {
		m.leftTold = true
	}
}

// checkLeave ends the wait for another VM's answer when none is left alive: the
// others may have stopped after this one began to.
func (m *machine) checkLeave() {
	if !m.stopping || m.leftTold {
		return
	}
	anywhere, _ := m.table.HasLivePeer()
	m.leftTold = !anywhere
}
