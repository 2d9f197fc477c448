package quarantine

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Updates returns the entries of all contents, to be merged by other VMs, in ascending order of digest.
func (l *List) Updates(now time.Time) []*pb.QuarantineEntry {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	entries := make([]*pb.QuarantineEntry, 0, len(l.contents))
	for digest := range l.contents {
		entries = append(entries, l.entry(digest, now))
	}
	slices.SortFunc(entries, func(a, b *pb.QuarantineEntry) int { return cmp.Compare(a.ContentDigest, b.ContentDigest) })
	return entries
}

// Entry returns the entry of one content, or nil if the list does not contain it.
func (l *List) Entry(digest uint64, now time.Time) *pb.QuarantineEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.contents[digest]) == 0 {
		return nil
	}
	return l.entry(digest, now)
}

func (l *List) entry(digest uint64, now time.Time) *pb.QuarantineEntry {
	refs := make([]TargetRef, 0, len(l.contents[digest]))
	for ref := range l.contents[digest] {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareTargetRefs)
	entry := &pb.QuarantineEntry{ContentDigest: digest, FamilyDigest: l.families[digest]}
	for _, ref := range refs {
		r := l.contents[digest][ref]
		remaining := uint64(r.expires.Sub(now).Milliseconds())
		entry.ExpiresInMs = max(entry.ExpiresInMs, remaining)
		entry.Suspicions = append(entry.Suspicions, &pb.Suspicion{
			Service: ref.Service, Target: ref.Target, Epoch: r.epoch, Crashes: r.crashes, CrashesAlone: r.alone, ExpiresInMs: remaining,
		})
		if r.crashes > 0 {
			entry.Targets = append(entry.Targets, ref.Target)
		}
	}
	return entry
}

// Merge merges the entries of another VM into the list.
func (l *List) Merge(entries []*pb.QuarantineEntry, now time.Time) {
	if len(entries) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	for _, entry := range entries {
		for _, suspicion := range entry.Suspicions {
			l.mergeOne(entry.ContentDigest, suspicion, now)
		}
		l.setFamily(entry.ContentDigest, entry.FamilyDigest)
	}
}

func (l *List) mergeOne(digest uint64, suspicion *pb.Suspicion, now time.Time) {
	remaining := min(time.Duration(suspicion.ExpiresInMs)*time.Millisecond, l.limits.Lifetime)
	if remaining <= 0 {
		return
	}
	ref := TargetRef{Service: suspicion.Service, Target: suspicion.Target}
	incoming := record{
		epoch: suspicion.Epoch, crashes: suspicion.Crashes, alone: suspicion.CrashesAlone, expires: now.Add(remaining),
	}
	current, known := l.contents[digest][ref]
	if !known || current.less(incoming) {
		l.put(digest, ref, incoming)
	}
}
