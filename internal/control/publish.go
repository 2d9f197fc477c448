package control

import (
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// minConfirmationAdvance is the advance of the confirmation time that is enough on its own to publish a
// view.
const minConfirmationAdvance = 100 * time.Millisecond

// viewState is the state that a view is built from.
type viewState struct {
	configuration *pb.Configuration
	confirmedAt   time.Time
	// membersVersion is the version of the member table.
	membersVersion uint64
	paused         bool
	stopping       bool
	ownsNothing    bool
}

// machineStats counts events since the start.
type machineStats struct {
	heartbeatsSent     uint64
	heartbeatsReceived uint64
	storeCalls         uint64
	storeFailures      uint64
	deltasRefused      uint64
	adopted            uint64
	overdueReads       uint64
	clockGaps          uint64
	// routesKept counts the configurations whose older route table, from the store's copy, was not put in force,
	// and routesTaken the route tables taken over from VMs that kept them.
	routesKept  uint64
	routesTaken uint64
}

// publish emits a decision to publish a view if the state that the view is built from changed.
func (m *machine) publish() {
	next := viewState{
		configuration:  m.configuration,
		confirmedAt:    m.confirmedAt,
		membersVersion: m.table.Version(),
		paused:         m.pause.active,
		stopping:       m.stopping,
		ownsNothing:    m.ownsNothing(),
	}
	confirmationAdvanced := next.confirmedAt.Sub(m.published.confirmedAt) >= minConfirmationAdvance
	unchanged := next
	unchanged.confirmedAt = m.published.confirmedAt
	if unchanged == m.published && !confirmationAdvanced {
		return
	}
	m.published = next
	m.decide(&pb.ControlDecision{Kind: &pb.ControlDecision_Publish{Publish: &pb.PublishView{
		Revision:          m.revision(),
		ConfirmedOffsetUs: m.confirmedAt.Sub(m.start).Microseconds(),
		Paused:            next.paused,
		Stopping:          next.stopping,
		MembersDigest:     m.table.Digest(),
		OwnsNothing:       next.ownsNothing,
	}}})
}

// viewInput returns the input for building the published view.
func (m *machine) viewInput(confirmedAt time.Time, direct bool) view.Input {
	input := view.Input{
		Configuration: m.configuration,
		ConfirmedAt:   confirmedAt,
		Paused:        m.published.paused,
		Stopping:      m.published.stopping,
		Direct:        direct,
	}
	self := m.table.Self()
	for _, member := range m.table.Members() {
		if member.Vm != self.Vm {
			input.VMs = append(input.VMs, vmOf(member))
		}
	}
	if m.published.ownsNothing {
		self.State = pb.MemberState_MEMBER_STATE_DEAD
	}
	input.Self = vmOf(self)
	return input
}

// ready reports whether this VM can serve callers and, if not, the reason.
func (m *machine) ready() (bool, string) {
	switch {
	case m.stopping:
		return false, "the VM is leaving"
	case m.configuration == nil && m.storeError != "":
		return false, "no configuration is known: no peer gave one and the platform's store failed: " + m.storeError
	case m.configuration == nil:
		return false, "no configuration is known: neither the platform's store nor a peer gave one yet"
	case m.pause.active && m.authDenied:
		return false, "other VMs refuse this VM's authentication; check peers.shared_key_file"
	case m.pause.active:
		return false, "members and configuration are not confirmed yet after the start or a pause of the process"
	default:
		return true, ""
	}
}

// readyForRoutes reports whether this VM can serve callers of routes and, if not, the
// reason. Routes depend on the configuration only, so that a store that confirms it
// suffices, without the members: after all VMs were down, these need longer to confirm one
// another.
func (m *machine) readyForRoutes() (bool, string) {
	ready, reason := m.ready()
	if !ready && !m.stopping && m.configuration != nil && m.confirmedAt.After(m.pause.since) {
		return true, ""
	}
	return ready, reason
}

func vmOf(member *pb.Member) view.VM {
	return view.VM{
		ID:                  member.Vm,
		FailureDomain:       member.FailureDomain,
		PeerAddress:         member.PeerAddress,
		GatherPort:          member.GatherPort,
		ProcessorMillicores: member.ProcessorMillicores,
		Incarnation:         member.Incarnation,
		State:               member.State,
	}
}

func splitAddresses(list string) []string {
	var addresses []string
	for address := range strings.SplitSeq(list, ",") {
		if trimmed := strings.TrimSpace(address); trimmed != "" {
			addresses = append(addresses, trimmed)
		}
	}
	return addresses
}
