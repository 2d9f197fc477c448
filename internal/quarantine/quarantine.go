// Package quarantine decides which request contents may still be sent to
// targets, after targets crashed while they ran them.
//
// A content that coincided with crashes is suspect: it may run alone, on one
// designated target of the service at a time. A success in the service clears
// the suspicion. Only a crash while it ran alone quarantines the content, until
// the suspicion expires. Coincidences, however many, never do, because targets
// also crash together for reasons of their own.
//
// Lists of several VMs converge by exchanging entries: Merge is commutative,
// associative and idempotent. The package has no clock; callers pass the time.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// DefaultCapacity is the default number of contents remembered.
	DefaultCapacity = 4096
	// DefaultLifetime is the default time that a suspicion stands.
	DefaultLifetime = 10 * time.Minute
	// maxTargets bounds the targets remembered for one content, but for those
	// that ran it alone, of which few can be.
	maxTargets = 16
)

// Limits bounds a List.
type Limits struct {
	// Capacity is the largest number of contents; beyond it the one that
	// expires first is forgotten.
	Capacity int
	// Lifetime is how long a suspicion stands after its last crash.
	Lifetime time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{Capacity: DefaultCapacity, Lifetime: DefaultLifetime}
}

// Place is a target with the service it belongs to.
type Place struct {
	Service string
	Target  string
}

// Verdict is what the list holds against a content.
type Verdict struct {
	// Quarantined content must not be sent to any target.
	Quarantined bool
	// Crashed holds the places of the crashes that count, in ascending order.
	Crashed []Place
	// Age is the time since the last of them.
	Age time.Duration
	// Shared is true when another content coincided with all of them too, so that
	// they do not tell which content caused them.
	Shared bool
}

// spreadRefusal is how long content is refused that coincided with crashes in
// more than one failure domain.
const spreadRefusal = time.Minute

// Refuses reports whether the content must not be sent to any target: it crashed
// a target that ran it alone, or it coincided with crashes in more than one
// failure domain a short while ago, and no other content did with all of them.
// Losses for another reason, when many contents are in flight on many targets,
// therefore refuse none.
func (v Verdict) Refuses(domainOf func(target string) string) bool {
	if v.Quarantined || len(v.Crashed) == 0 {
		return v.Quarantined
	}
	if v.Age >= spreadRefusal || v.Shared {
		return false
	}
	first := domainOf(v.Crashed[0].Target)
	return slices.ContainsFunc(v.Crashed[1:], func(p Place) bool { return domainOf(p.Target) != first })
}

// Suspect reports whether the content is suspect in a service, and so may only
// run alone on the designated target.
func (v Verdict) Suspect(service string) bool {
	for _, place := range v.Crashed {
		if place.Service == service {
			return true
		}
	}
	return false
}

// CrashedTargets returns the crashed targets of a service.
func (v Verdict) CrashedTargets(service string) []string {
	var targets []string
	for _, place := range v.Crashed {
		if place.Service == service {
			targets = append(targets, place.Target)
		}
	}
	return targets
}

// record is what is known of one content at one target. Records of the same
// key are ordered by epoch, then crashes alone, then crashes, then the earlier
// expiry; the greater one holds.
type record struct {
	// epoch is raised when the crashes are cleared.
	epoch uint32
	// crashes counts the coincidences of this epoch.
	crashes uint32
	// alone counts those at which the target ran nothing else.
	alone   uint32
	expires time.Time
}

func (r record) less(other record) bool {
	if r.epoch != other.epoch {
		return r.epoch < other.epoch
	}
	if r.alone != other.alone {
		return r.alone < other.alone
	}
	if r.crashes != other.crashes {
		return r.crashes < other.crashes
	}
	return r.expires.After(other.expires)
}

// List holds the suspicions. It is safe for concurrent use.
type List struct {
	limits Limits
	// size is the number of contents, for the common case of none.
	size atomic.Int64

	mu       sync.Mutex
	contents map[uint64]map[Place]record
}

// New returns an empty list.
func New(limits Limits) *List {
	return &List{limits: limits, contents: map[uint64]map[Place]record{}}
}

// Suspect notes that the target crashed while it ran the content beside others.
func (l *List) Suspect(digest uint64, place Place, now time.Time) {
	l.suspect(digest, place, 0, now)
}

// SuspectAlone notes that the target crashed while it ran nothing but the
// content.
func (l *List) SuspectAlone(digest uint64, place Place, now time.Time) {
	l.suspect(digest, place, 1, now)
}

func (l *List) suspect(digest uint64, place Place, alone uint32, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	old := l.contents[digest][place]
	l.put(digest, place, record{
		epoch:   old.epoch,
		crashes: old.crashes + 1,
		alone:   old.alone + alone,
		expires: now.Add(l.limits.Lifetime),
	})
}

// Retract takes a coincidence back: the target did not crash after all.
func (l *List) Retract(digest uint64, place Place) {
	l.clear(digest, func(p Place) bool { return p == place })
}

// Clear notes that the content ran to success on a target of the service. It
// reports whether that cleared a suspicion.
func (l *List) Clear(digest uint64, service string) bool {
	return l.clear(digest, func(p Place) bool { return p.Service == service })
}

// clear raises the epoch of the matching records, which stay until they expire
// so that the news reaches the other VMs.
func (l *List) clear(digest uint64, matches func(Place) bool) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cleared := false
	for place, r := range l.contents[digest] {
		if matches(place) && r.crashes > 0 {
			l.contents[digest][place] = record{epoch: r.epoch + 1, expires: r.expires}
			cleared = true
		}
	}
	return cleared
}

// Check returns the verdict on a content.
func (l *List) Check(digest uint64, now time.Time) Verdict {
	if l.size.Load() == 0 {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var verdict Verdict
	var expires time.Time
	for place, r := range l.contents[digest] {
		if r.crashes > 0 && now.Before(r.expires) {
			verdict.Crashed = append(verdict.Crashed, place)
			verdict.Quarantined = verdict.Quarantined || r.alone > 0
			expires = maxTime(expires, r.expires)
		}
	}
	if len(verdict.Crashed) > 0 {
		verdict.Age = l.limits.Lifetime - expires.Sub(now)
	}
	slices.SortFunc(verdict.Crashed, comparePlaces)
	verdict.Shared = len(verdict.Crashed) > 1 && l.shared(digest, verdict.Crashed, now)
	return verdict
}

// shared reports whether another content coincided with crashes at all places.
func (l *List) shared(digest uint64, places []Place, now time.Time) bool {
	for other, records := range l.contents {
		if other == digest {
			continue
		}
		missing := slices.ContainsFunc(places, func(p Place) bool {
			r := records[p]
			return r.crashes == 0 || !now.Before(r.expires)
		})
		if !missing {
			return true
		}
	}
	return false
}

// Quarantined returns the digests of the quarantined contents, ascending.
func (l *List) Quarantined(now time.Time) []uint64 {
	l.mu.Lock()
	l.expire(now)
	digests := make([]uint64, 0, len(l.contents))
	for digest := range l.contents {
		digests = append(digests, digest)
	}
	l.mu.Unlock()
	slices.Sort(digests)
	return slices.DeleteFunc(digests, func(d uint64) bool { return !l.Check(d, now).Quarantined })
}

// News returns all entries, to be merged by other VMs, in ascending order.
func (l *List) News(now time.Time) []*pb.QuarantineEntry {
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

// Entry returns the entry of one content, or nil when nothing is known of it.
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
	places := make([]Place, 0, len(l.contents[digest]))
	for place := range l.contents[digest] {
		places = append(places, place)
	}
	slices.SortFunc(places, comparePlaces)
	entry := &pb.QuarantineEntry{ContentDigest: digest}
	for _, place := range places {
		r := l.contents[digest][place]
		left := uint64(r.expires.Sub(now).Milliseconds())
		entry.ExpiresInMs = max(entry.ExpiresInMs, left)
		entry.Suspicions = append(entry.Suspicions, &pb.Suspicion{
			Service: place.Service, Target: place.Target, Epoch: r.epoch, Crashes: r.crashes, CrashesAlone: r.alone, ExpiresInMs: left,
		})
		if r.crashes > 0 {
			entry.Targets = append(entry.Targets, place.Target)
		}
	}
	return entry
}

// Merge takes the entries of another VM.
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
	}
}

func (l *List) mergeOne(digest uint64, suspicion *pb.Suspicion, now time.Time) {
	left := min(time.Duration(suspicion.ExpiresInMs)*time.Millisecond, l.limits.Lifetime)
	if left <= 0 {
		return
	}
	place := Place{Service: suspicion.Service, Target: suspicion.Target}
	theirs := record{
		epoch: suspicion.Epoch, crashes: suspicion.Crashes, alone: suspicion.CrashesAlone, expires: now.Add(left),
	}
	ours, known := l.contents[digest][place]
	if !known || ours.less(theirs) {
		l.put(digest, place, theirs)
	}
}

func (l *List) put(digest uint64, place Place, r record) {
	places, ok := l.contents[digest]
	if !ok {
		l.makeRoom()
		places = map[Place]record{}
		l.contents[digest] = places
	}
	if _, known := places[place]; !known && r.alone == 0 && len(places) >= maxTargets {
		return
	}
	places[place] = r
	l.size.Store(int64(len(l.contents)))
}

// makeRoom forgets the content that expires first when the list is full.
func (l *List) makeRoom() {
	if len(l.contents) < l.limits.Capacity {
		return
	}
	var oldest uint64
	var oldestExpiry time.Time
	for digest, places := range l.contents {
		expiry := lastExpiry(places)
		if oldestExpiry.IsZero() || expiry.Before(oldestExpiry) {
			oldest, oldestExpiry = digest, expiry
		}
	}
	delete(l.contents, oldest)
}

func lastExpiry(places map[Place]record) time.Time {
	var last time.Time
	for _, r := range places {
		last = maxTime(last, r.expires)
	}
	return last
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (l *List) expire(now time.Time) {
	for digest, places := range l.contents {
		for place, r := range places {
			if !now.Before(r.expires) {
				delete(places, place)
			}
		}
		if len(places) == 0 {
			delete(l.contents, digest)
		}
	}
	l.size.Store(int64(len(l.contents)))
}

func comparePlaces(a, b Place) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
}
