package control

import (
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// news returns what a VM of the failure domain shall hear of contents and targets.
func (c *Control) news(domain string, now time.Time) ([]*pb.QuarantineEntry, []*pb.TargetReport) {
	var entries []*pb.QuarantineEntry
	var reports []*pb.TargetReport
	if c.options.Quarantine != nil {
		entries = c.options.Quarantine.News(now)
	}
	if c.options.Targets != nil && domain == c.options.Self.FailureDomain {
		reports = c.options.Targets.News(now)
	}
	return entries, reports
}

// mergeNews takes what another VM tells of contents and targets.
func (c *Control) mergeNews(from *pb.Member, entries []*pb.QuarantineEntry, reports []*pb.TargetReport, now time.Time) {
	if c.options.Quarantine != nil {
		c.options.Quarantine.Merge(entries, now)
	}
	if c.options.Targets != nil {
		c.options.Targets.Merge(from.GetVm(), reports, now)
	}
}
