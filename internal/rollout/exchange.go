package rollout

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// maxPerMessage bounds the elements, of about 80 bytes each, in one heartbeat. If there are
	// more, the latest changes are sent.
	maxPerMessage = 160
	// forwardFor is how long a change is sent in heartbeats, which go to a few VMs each
	// 300 ms: with 295 VMs, all have it after four rounds.
	forwardFor = 3 * time.Second
	// maxOrigins bounds the VMs whose evidence of a service is kept.
	maxOrigins = 1024
)

// Updates returns the evidence for other VMs: this VM's and what it learned from others.
func (b *Board) Updates(now time.Time) []*pb.VersionEvidence {
	if b.idle() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []change
	for name := range b.services {
		s := b.running(name)
		if s == nil {
			continue
		}
		for group, r := range s.own {
			r.orderAge = now.Sub(s.seenAt)
			list = b.appendChange(list, b.self, s.rollout, group, r, now)
		}
		for origin, groups := range s.others {
			for group, r := range groups {
				list = b.appendChange(list, origin, s.rollout, group, r, now)
			}
		}
	}
	slices.SortFunc(list, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.at.UnixNano(), a.at.UnixNano()))
	})
	var updates []*pb.VersionEvidence
	for _, c := range list[:min(len(list), maxPerMessage)] {
		updates = append(updates, c.message)
	}
	return updates
}

// change is evidence that changed lately. Those of a lower class are sent first: this VM's
// own, then those on the ordered versions, which are few.
type change struct {
	class   int
	at      time.Time
	message *pb.VersionEvidence
}

func (b *Board) appendChange(list []change, origin Origin, order *pb.Rollout, group Group, r *report, now time.Time) []change {
	if now.Sub(r.changedAt) > forwardFor {
		return list
	}
	class := 2
	switch {
	case origin == b.self:
		class = 0
	case group.Version == order.Version:
		class = 1
	}
	return append(list, change{class: class, at: r.changedAt, message: &pb.VersionEvidence{
		Vm: origin.VM, Incarnation: origin.Incarnation, Service: order.Service, OrderRevision: order.OrderRevision,
		Route: group.Route, Version: group.Version, Replies: r.Replies, Failures: r.Failures,
		ReplyTimes: slices.Clone(r.Times[:]), OrderAgeMs: uint32(r.orderAge.Milliseconds()),
	}})
}

// Merge takes the evidence that another VM sent. Evidence on other orders than the running
// one is ignored.
func (b *Board) Merge(updates []*pb.VersionEvidence, now time.Time) {
	if b.idle() || len(updates) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range updates {
		origin := Origin{VM: u.GetVm(), Incarnation: u.GetIncarnation()}
		s := b.running(u.GetService())
		if s == nil || s.rollout.OrderRevision != u.GetOrderRevision() || origin == b.self {
			continue
		}
		s.merge(origin, u, now)
	}
}

func (s *service) merge(origin Origin, u *pb.VersionEvidence, now time.Time) {
	groups := s.others[origin]
	if groups == nil {
		if len(s.others) >= maxOrigins {
			return
		}
		groups = map[Group]*report{}
		s.others[origin] = groups
	}
	group := Group{Route: u.GetRoute(), Version: u.GetVersion()}
	known := groups[group]
	if known != nil && u.GetReplies() <= known.Replies {
		return
	}
	next := &report{Counts: CountsOf(u), changedAt: now, orderAge: time.Duration(u.GetOrderAgeMs()) * time.Millisecond}
	groups[group] = next
	// The sender knew the order before this VM did.
	if seen := now.Add(-next.orderAge); seen.Before(s.seenAt) {
		s.seenAt = seen
	}
}

// Evidence is the evidence on a running order as this VM knows it.
type Evidence struct {
	// SeenAt is when a VM first saw the order, as far as this one knows.
	SeenAt time.Time
	Counts []OriginCounts
}

// OriginCounts are the counts of one VM.
type OriginCounts struct {
	Origin
	Group
	Counts
}

// Evidence returns the evidence on an order, or false if it is not running at this VM.
func (b *Board) Evidence(name string, order uint64) (Evidence, bool) {
	if b.idle() {
		return Evidence{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.running(name)
	if s == nil || s.rollout.OrderRevision != order {
		return Evidence{}, false
	}
	e := Evidence{SeenAt: s.seenAt}
	for group, r := range s.own {
		e.Counts = append(e.Counts, OriginCounts{Origin: b.self, Group: group, Counts: r.Counts})
	}
	for origin, groups := range s.others {
		for group, r := range groups {
			e.Counts = append(e.Counts, OriginCounts{Origin: origin, Group: group, Counts: r.Counts})
		}
	}
	return e, true
}
