package advisory

import (
	"cmp"
	"slices"
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxPerMessage bounds the targets, of about 50 bytes each, in one message. If there are more,
// those with the newest limits are sent.
const maxPerMessage = 128

// Updates returns the advice for other VMs. A pause is this VM's own and not passed on.
func (b *Board) Updates(now time.Time) []*pb.TargetAdvice {
	if b.size.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var updates []*pb.TargetAdvice
	for t, s := range b.targets {
		if u := s.update(now); u != nil {
			u.Target, u.StartedUnixMs = t.ID, t.Started
			updates = append(updates, u)
		}
	}
	slices.SortFunc(updates, func(a, b *pb.TargetAdvice) int {
		return cmp.Or(cmp.Compare(a.LimitAgeMs, b.LimitAgeMs), strings.Compare(a.Target, b.Target))
	})
	return updates[:min(len(updates), maxPerMessage)]
}

func (s *state) update(now time.Time) *pb.TargetAdvice {
	u := &pb.TargetAdvice{}
	if !s.leavingAt.IsZero() {
		u.LeavingMs = age(s.leavingAt, now)
	}
	if !s.limit.seenAt.IsZero() && !s.limit.outdated(now) {
		u.Limited, u.RequestsPerS, u.LimitAgeMs = s.limit.active, s.limit.rate, age(s.limit.seenAt, now)
	}
	if u.LeavingMs == 0 && u.LimitAgeMs == 0 {
		return nil
	}
	return u
}

// age returns the time since at in milliseconds, at least 1.
func age(at, now time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 1)) }

// Merge adds the advice that another VM knows.
func (b *Board) Merge(updates []*pb.TargetAdvice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range updates {
		t := Target{ID: u.GetTarget(), Started: u.GetStartedUnixMs()}
		s := b.targets[t]
		if s == nil {
			if len(b.targets) >= maxTargets {
				return
			}
			s = b.add(t)
		}
		s.merge(u, now)
	}
}

func (s *state) merge(u *pb.TargetAdvice, now time.Time) {
	if left := ago(u.GetLeavingMs(), now); u.GetLeavingMs() > 0 && (s.leavingAt.IsZero() || left.Before(s.leavingAt)) {
		s.leavingAt = left
	}
	seenAt := ago(u.GetLimitAgeMs(), now)
	if u.GetLimitAgeMs() == 0 || !seenAt.After(s.limit.seenAt) {
		return
	}
	if u.GetLimited() {
		s.limit.set(u.GetRequestsPerS(), seenAt)
		return
	}
	s.limit.active, s.limit.seenAt = false, seenAt
}

func ago(ms uint32, now time.Time) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
