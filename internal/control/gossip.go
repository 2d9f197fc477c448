package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// gossip is what VMs tell each other in heartbeats beside membership and configuration. It passes through control
// only and does not affect its decisions.
type gossip struct {
	quarantine []*pb.QuarantineEntry
	reports    []*pb.TargetReport
	advice     []*pb.TargetAdvice
	evidence   []*pb.VersionEvidence
	pressures  []*pb.ServicePressure
}

// VersionEvidence exchanges evidence on roll-outs with the other VMs. The data passes through control only and does
// not affect its decisions. Implementations must be safe for concurrent use.
type VersionEvidence interface {
	// Updates returns the evidence to send in heartbeats.
	Updates(now time.Time) []*pb.VersionEvidence
	Merge(evidence []*pb.VersionEvidence, now time.Time)
}

// gossipMessage is a heartbeat or the response to one.
type gossipMessage interface {
	GetQuarantine() []*pb.QuarantineEntry
	GetTargetReports() []*pb.TargetReport
	GetTargetAdvice() []*pb.TargetAdvice
	GetVersionEvidence() []*pb.VersionEvidence
	GetServicePressures() []*pb.ServicePressure
}

// gossipFor returns the gossip to send to a VM of the given failure domain. Target reports are sent only to VMs of
// this VM's failure domain.
func (c *Control) gossipFor(domain string, now time.Time) gossip {
	var g gossip
	if c.options.Quarantine != nil {
		g.quarantine = c.options.Quarantine.Updates(now)
	}
	if c.options.TargetReports != nil && domain == c.options.Self.FailureDomain {
		g.reports = c.options.TargetReports.Updates(now)
	}
	if c.options.TargetAdvice != nil {
		g.advice = c.options.TargetAdvice.Updates(now)
	}
	if c.options.VersionEvidence != nil {
		g.evidence = c.options.VersionEvidence.Updates(now)
	}
	if c.options.ServicePressures != nil {
		g.pressures = c.options.ServicePressures.Updates(now)
	}
	return g
}

// mergeGossip merges the gossip received from another VM.
func (c *Control) mergeGossip(from *pb.Member, message gossipMessage, now time.Time) {
	if c.options.Quarantine != nil {
		c.options.Quarantine.Merge(message.GetQuarantine(), now)
	}
	if c.options.TargetReports != nil {
		c.options.TargetReports.Merge(from.GetVm(), message.GetTargetReports(), now)
	}
	if c.options.TargetAdvice != nil {
		c.options.TargetAdvice.Merge(message.GetTargetAdvice(), now)
	}
	if c.options.VersionEvidence != nil {
		c.options.VersionEvidence.Merge(message.GetVersionEvidence(), now)
	}
	if c.options.ServicePressures != nil {
		c.options.ServicePressures.Merge(from.GetVm(), message.GetServicePressures(), now)
	}
}
