package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// gossipFor returns the quarantine entries and target reports to send to a VM of the given failure
// domain. Target reports are sent only to VMs of this VM's failure domain.
func (c *Control) gossipFor(domain string, now time.Time) ([]*pb.QuarantineEntry, []*pb.TargetReport) {
	var entries []*pb.QuarantineEntry
	var reports []*pb.TargetReport
	if c.options.Quarantine != nil {
		entries = c.options.Quarantine.Updates(now)
	}
	if c.options.TargetReports != nil && domain == c.options.Self.FailureDomain {
		reports = c.options.TargetReports.Updates(now)
	}
	return entries, reports
}

// mergeGossip merges the quarantine entries and target reports received from another VM.
func (c *Control) mergeGossip(from *pb.Member, entries []*pb.QuarantineEntry, reports []*pb.TargetReport, now time.Time) {
	if c.options.Quarantine != nil {
		c.options.Quarantine.Merge(entries, now)
	}
	if c.options.TargetReports != nil {
		c.options.TargetReports.Merge(from.GetVm(), reports, now)
	}
}
