package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/membership"
)

const (
	// digestMismatchRounds is how long digests must differ, in heartbeat intervals, before a chunk of the
	// table is requested.
	digestMismatchRounds = 8
	// chunkRequestInterval is the minimum time between two chunk requests.
	chunkRequestInterval = time.Second
)

// tableSync tracks when heartbeats must request more of the member table than pending updates.
type tableSync struct {
	// needsFullTable is true after the start or a pause until the full table has been received.
	needsFullTable bool
	// fullTableFrom and fullTableSentAt identify the heartbeat that requested the full table.
	fullTableFrom   string
	fullTableSentAt time.Time
	// differsSince is when the digests of a failure domain's VMs began to differ from this VM's, by failure
	// domain; there is no entry while they agree. It is kept by failure domain because the VMs of one can
	// agree for a long time on changes that those of another have missed.
	differsSince  map[string]time.Time
	lastRequestAt time.Time
}

const (
	// overdueAfter is the age of the configuration at which its confirmation counts as overdue. The store is
	// then not confirming it, so more of the other failure domains are probed.
	overdueAfter = time.Second
	// overdueProbes is the number of other failure domains probed in each round while confirmation is
	// overdue.
	overdueProbes = 3
)

// remoteProbes returns the number of other failure domains to probe in a round.
func (m *machine) remoteProbes() int {
	// A longer watch confirms later, and the confirmation has to propagate to the other VMs.
	expectedAge := overdueAfter + 2*max(m.config.watchWait-confirmInterval, 0)
	if m.configurationAge() > expectedAge {
		return overdueProbes
	}
	return 1
}

func (m *machine) sendHeartbeats(contacts []membership.Contact) {
	// Only one heartbeat requests the full table, usually the first. The order is rotated each round,
	// because the first recipient may be dead.
	m.round++
	for i := range contacts {
		contact := contacts[(i+m.round)%len(contacts)]
		m.sendHeartbeat(contact, m.tableRequestFor(contact.VM))
	}
	m.sendToSeeds(len(contacts))
}

// sendToSeeds requests the full table from the seed addresses while no other VM is known to be alive.
func (m *machine) sendToSeeds(contacts int) {
	hasPeer, _ := m.table.HasLivePeer()
	if contacts > 0 || hasPeer || m.seedRetryTooSoon() {
		return
	}
	for _, address := range m.config.seeds {
		m.sendHeartbeat(membership.Contact{Address: address}, fullTable)
	}
	m.tableSync.lastRequestAt = m.now
}

// seedRetryTooSoon reports whether the seeds were contacted less than one heartbeat interval ago.
func (m *machine) seedRetryTooSoon() bool {
	return m.now.Sub(m.tableSync.lastRequestAt) < m.config.heartbeatInterval
}

// tableRequest is the part of the member table that a heartbeat requests.
type tableRequest int

const (
	updatesOnly tableRequest = iota
	tableChunk
	fullTable
)

// tableRequestFor returns the part of the member table to request from a VM.
func (m *machine) tableRequestFor(vm string) tableRequest {
	sync := &m.tableSync
	domain := m.table.FailureDomain(vm)
	sameDomain := domain == m.domain
	_, hasDomainPeer := m.table.HasLivePeer()
	if sync.needsFullTable && (sameDomain || !hasDomainPeer) && m.now.After(sync.fullTableSentAt) {
		sync.fullTableFrom = vm
		sync.fullTableSentAt = m.now
		return fullTable
	}
	since, differs := sync.differsSince[domain]
	if differs && m.now.Sub(since) > digestMismatchRounds*m.config.heartbeatInterval && m.now.Sub(sync.lastRequestAt) > chunkRequestInterval {
		sync.lastRequestAt = m.now
		return tableChunk
	}
	return updatesOnly
}

func (m *machine) sendHeartbeat(contact membership.Contact, wanted tableRequest) {
	request := &pb.HeartbeatRequest{
		Sender:                m.table.Self(),
		ConfigurationRevision: m.revision(),
		ConfigurationAgeMs:    uint64(m.configurationAge().Milliseconds()),
		Members:               m.table.Updates(contact.VM),
		MembersDigest:         m.table.Digest(),
		Full:                  wanted != updatesOnly,
		KeptRoutes:            m.keptRoutes(),
	}
	if wanted == fullTable {
		request.MembersDigest = 0
	}
	m.stats.heartbeatsSent++
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_SendHeartbeat{SendHeartbeat: &pb.SendHeartbeat{
		Vm: contact.VM, Address: contact.Address, Request: request,
	}}})
}

func (m *machine) handleHeartbeatReceived(request *pb.HeartbeatRequest) {
	m.stats.heartbeatsReceived++
	sender := request.GetSender()
	m.table.Receive(sender, request.Members, m.now)
	m.recordRevision(sender.GetVm(), request.ConfigurationRevision)
	m.fetchKeptRoutes(sender.GetVm(), request.KeptRoutes)
	response := &pb.HeartbeatResponse{
		Responder:             m.table.Self(),
		ConfigurationRevision: m.revision(),
		ConfigurationAgeMs:    uint64(m.configurationAge().Milliseconds()),
		Members:               m.table.Updates(sender.GetVm()),
		MembersDigest:         m.table.Digest(),
		Paused:                m.pause.active,
		StoreAnswerAgeMs:      m.storeAnswerAge(),
		KeptRoutes:            m.keptRoutes(),
	}
	switch {
	case request.Full && request.MembersDigest == 0:
		response.Members = append(response.Members, m.table.FullTable()...)
	case request.Full:
		response.Members = append(response.Members, m.table.Chunk(chunkMembers)...)
	}
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_Respond{Respond: response}})
}

func (m *machine) handleHeartbeatAnswered(answered *pb.HeartbeatAnswered) {
	response := answered.Response
	responder := response.GetResponder()
	if responder.GetVm() == "" {
		m.table.HeartbeatFailed(answered.Vm, m.now)
		return
	}
	if responder.Vm == m.table.Self().Vm {
		// The seed address is this VM's own. Its own response confirms nothing.
		return
	}
	m.authDenied = false
	sentAt := m.timeAt(answered.SentOffsetUs)
	m.table.ReceiveResponse(answered.Vm, responder, response.Members, m.now)
	m.recordRevision(responder.Vm, response.ConfigurationRevision)
	m.fetchKeptRoutes(responder.Vm, response.KeptRoutes)
	m.recordConfirmation(responder, response, sentAt)
	if age := response.StoreAnswerAgeMs; age > 0 {
		m.recordStoreAnswer(responder.Vm, sentAt.Add(-milliseconds(age)))
	}
	m.recordDigest(responder.FailureDomain, response.MembersDigest)
	m.endPauseIfConfirmed(answered, sentAt)
	m.recordLeaveAcknowledgement(responder, sentAt)
}

// fetchPatience is how long a fetch may take before the configuration is fetched from another VM too. The VM that
// was asked may be frozen or cut off by now.
const fetchPatience = 500 * time.Millisecond

// recordRevision records the revision that another VM reports and fetches it if it is newer than this VM's.
func (m *machine) recordRevision(vm string, revision uint64) {
	if vm == "" {
		return
	}
	m.revisions[vm] = revision
	if revision > m.revision() && m.behindSince.IsZero() {
		m.behindSince = m.now
	}
	if revision <= m.revision() {
		return
	}
	since := m.revision()
	if m.fetchFull {
		since = 0
	}
	m.fetch(vm, since)
}

// fetch fetches from another VM what changed since a revision, zero for the whole configuration, unless a fetch is
// under way.
func (m *machine) fetch(vm string, since uint64) {
	address := m.table.Address(vm)
	fetching := m.fetchingFrom != "" && m.now.Sub(m.fetchingSince) < fetchPatience
	if fetching || address == "" {
		return
	}
	m.fetchingFrom, m.fetchingSince = vm, m.now
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_Fetch{Fetch: &pb.FetchFrom{
		Vm: vm, Address: address, SinceRevision: since,
	}}})
}

// recordConfirmation evaluates how long ago another VM saw its revision confirmed. Only responses count,
// because a request may have been queued for an unknown time. The send time of the heartbeat is a lower
// bound for the time of the response.
func (m *machine) recordConfirmation(responder *pb.Member, response *pb.HeartbeatResponse, sentAt time.Time) {
	if response.ConfigurationRevision > m.revision() {
		return
	}
	if responder.FailureDomain != m.domain {
		m.domainConfirmedAt[responder.FailureDomain] = sentAt
		m.confirmByDomains()
	}
	if response.ConfigurationRevision == m.revision() && m.revision() > 0 {
		m.confirm(sentAt.Add(-milliseconds(response.ConfigurationAgeMs)))
	}
}

// milliseconds returns a duration that another VM stated, at most neverConfirmed.
func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, uint64(neverConfirmed.Milliseconds()))) * time.Millisecond
}

// confirmByDomains confirms the revision when VMs of every other failure domain responded and none reported
// a newer one. A VM that accepts a revision pushes it to every failure domain it can reach before it
// responds to the operator, so one of the responses would have shown a newer revision. This keeps the
// configuration confirmed while the store is down. It does not hold where VMs don't accept revisions.
func (m *machine) confirmByDomains() {
	if m.revision() == 0 || m.config.operatorsWrite {
		return
	}
	oldest := m.now
	domains := 0
	for _, domain := range m.table.OtherDomains() {
		domains++
		confirmedAt, ok := m.domainConfirmedAt[domain]
		if !ok {
			return
		}
		if confirmedAt.Before(oldest) {
			oldest = confirmedAt
		}
	}
	if domains > 0 {
		m.confirm(oldest)
	}
}

func (m *machine) recordDigest(failureDomain string, digest uint64) {
	if digest == m.table.Digest() {
		delete(m.tableSync.differsSince, failureDomain)
		return
	}
	if _, ok := m.tableSync.differsSince[failureDomain]; !ok {
		m.tableSync.differsSince[failureDomain] = m.now
	}
}

// recordLeaveAcknowledgement records that another VM knows that this one is leaving. If another VM of the
// same failure domain is alive, only such a VM counts, because it takes the targets over.
func (m *machine) recordLeaveAcknowledgement(responder *pb.Member, sentAt time.Time) {
	if !m.stopping || sentAt.Before(m.leaveAt) {
		return
	}
	sameDomain := responder.FailureDomain == m.domain
	if _, hasDomainPeer := m.table.HasLivePeer(); sameDomain || !hasDomainPeer {
		m.leaveAcknowledged = true
	}
}

// checkLeave ends the wait for an acknowledgement when no other VM is alive: the others may have stopped
// after this one started to leave.
func (m *machine) checkLeave() {
	if !m.stopping || m.leaveAcknowledged {
		return
	}
	hasPeer, _ := m.table.HasLivePeer()
	m.leaveAcknowledged = !hasPeer
}
