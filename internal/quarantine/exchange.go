package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxMessageBytes bounds the encoded entries in one message: an eighth of the messages that VMs accept
// from one another by default.
const maxMessageBytes = 128 << 10

// Updates returns entries to be merged by other VMs, in ascending order of digest: those of all contents if
// they fit into a message. Otherwise half of the message is for the contents that changed last, and further
// messages have the others in turn.
func (l *List) Updates(now time.Time) []*pb.QuarantineEntry {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	digests := slices.Sorted(maps.Keys(l.contents))
	message := updates{list: l, now: now}
	if message.add(digests, maxMessageBytes) < len(digests) {
		message = updates{list: l, now: now}
		latest := slices.Clone(digests)
		slices.SortFunc(latest, func(a, b uint64) int { return cmp.Compare(l.changed[b], l.changed[a]) })
		message.add(latest, maxMessageBytes/2)
		first, _ := slices.BinarySearch(digests, l.nextUpdate)
		others := slices.Concat(digests[first:], digests[:first])
		l.nextUpdate = others[message.add(others, maxMessageBytes)%len(others)]
	}
	slices.SortFunc(message.entries, func(a, b *pb.QuarantineEntry) int { return cmp.Compare(a.ContentDigest, b.ContentDigest) })
	return message.entries
}

// updates is a message under construction.
type updates struct {
	list    *List
	now     time.Time
	entries []*pb.QuarantineEntry
	bytes   int
	added   map[uint64]bool
}

// add adds the entries of the contents that are not in the message yet, while it stays within limit bytes. It
// returns the number of contents up to the first that does not fit.
func (u *updates) add(digests []uint64, limit int) int {
	if u.added == nil {
		u.added = make(map[uint64]bool, len(digests))
	}
	for i, digest := range digests {
		if u.added[digest] {
			continue
		}
		entry := u.list.entry(digest, u.now)
		size := proto.Size(entry)
		if u.bytes+size > limit {
			return i
		}
		u.bytes += size
		u.added[digest] = true
		u.entries = append(u.entries, entry)
	}
	return len(digests)
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
