package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// CountsOf returns the counts of a message.
func CountsOf(e *pb.VersionEvidence) Counts {
	counts := Counts{Replies: e.GetReplies(), Failures: e.GetFailures()}
	copy(counts.Times[:], e.GetReplyTimes())
	return counts
}

// Status returns the roll-outs with the evidence on them, in ascending order of the services.
func (b *Board) Status(now time.Time) []*pb.RolloutReport {
	if b.idle() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []*pb.RolloutReport
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		reports = append(reports, b.services[name].report(now))
	}
	return reports
}

func (s *service) report(now time.Time) *pb.RolloutReport {
	r := &pb.RolloutReport{
		Rollout: s.rollout, OrderAgeMs: uint64(max(now.Sub(s.seenAt).Milliseconds(), 0)),
		ShareHere: s.gate.Share(), StoppedHere: s.gate.Stopped(),
	}
	totals := map[Group]Counts{}
	var latest time.Time
	add := func(groups map[Group]*report) {
		if len(groups) > 0 {
			r.Vms++
		}
		for group, counts := range groups {
			total := totals[group]
			total.add(counts.Counts)
			totals[group] = total
			if counts.changedAt.After(latest) {
				latest = counts.changedAt
			}
		}
	}
	add(s.own)
	for _, groups := range s.others {
		add(groups)
	}
	if !latest.IsZero() {
		r.EvidenceAgeMs = uint64(max(now.Sub(latest).Milliseconds(), 0))
	}
	for group, counts := range totals {
		r.Totals = append(r.Totals, &pb.VersionEvidence{
			Service: s.rollout.Service, OrderRevision: s.rollout.OrderRevision, Route: group.Route, Version: group.Version,
			Replies: counts.Replies, Failures: counts.Failures, ReplyTimes: counts.Times[:],
		})
	}
	slices.SortFunc(r.Totals, func(a, b *pb.VersionEvidence) int {
		return strings.Compare(a.Route+"\x00"+a.Version, b.Route+"\x00"+b.Version)
	})
	return r
}
