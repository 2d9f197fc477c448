// Package quarantine decides which requests may still be sent to targets after targets crashed while running
// them. It identifies requests by the digest of their content: the front and the conditions of a search, or a
// change. Retries have the same content.
//
// A crash coincides with a content if the content was running on the target at that time. The content is then
// suspect: it may run only alone, on one designated target of the service at a time. A success in the service
// clears the suspicion. Only a crash while the content ran alone quarantines it, until the suspicion expires.
// Crashes while other contents were also running never quarantine it, however many there are, because targets
// also crash together for unrelated reasons.
//
// The lists of several VMs converge by exchanging entries: Merge is commutative, associative and idempotent.
// The package has no clock; callers pass the time.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultCapacity is the default maximum number of contents in a list.
	DefaultCapacity = 4096
	// DefaultLifetime is the default time after which a suspicion expires.
	DefaultLifetime = 10 * time.Minute
	// maxTargetsPerContent is the maximum number of targets recorded for one content. Targets that crashed
	// while they ran only this content do not count, because there can be only a few.
	maxTargetsPerContent = 16
)

// Limits bounds a List.
type Limits struct {
	// Capacity is the maximum number of contents. When the list is full, the content that expires first is
	// evicted.
	Capacity int
	// Lifetime is the time after its last crash at which a suspicion expires.
	Lifetime time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{Capacity: DefaultCapacity, Lifetime: DefaultLifetime}
}

// TargetRef identifies a target and the service it belongs to.
type TargetRef struct {
	Service string
	Target  string
}

// Verdict is the status of a content in a list.
type Verdict struct {
	// Quarantined content must not be sent to any target.
	Quarantined bool
	// Crashed holds the targets with unexpired crashes that were not cleared, in ascending order.
	Crashed []TargetRef
	// Crashes is the number of these crashes, and CrashesAlone of those at which the target ran only the content.
	Crashes, CrashesAlone int
	// SinceLastCrash is the time since the last of these crashes.
	SinceLastCrash time.Duration
	// Ambiguous is true if another content was also running at all of these crashes, so that they do not show
	// which content caused them.
	Ambiguous bool
}

// multiDomainRefusalPeriod is how long a content is refused after it coincided with crashes in more than one
// failure domain.
const multiDomainRefusalPeriod = time.Minute

// Refuses reports whether the content must not be sent to any target. It is refused if it crashed a target
// that ran it alone, or if within multiDomainRefusalPeriod it coincided with crashes in more than one failure
// domain and no other content coincided with all of them. Unrelated outages, with many contents in flight on
// many targets, therefore cause no refusals.
func (v Verdict) Refuses(domainOf func(target string) string) bool {
	if v.Quarantined || len(v.Crashed) == 0 {
		return v.Quarantined
	}
	if v.SinceLastCrash >= multiDomainRefusalPeriod || v.Ambiguous {
		return false
	}
	first := domainOf(v.Crashed[0].Target)
	return slices.ContainsFunc(v.Crashed[1:], func(ref TargetRef) bool { return domainOf(ref.Target) != first })
}

// SuspectIn reports whether the content is suspect in a service, and may therefore run only alone on the
// designated target.
func (v Verdict) SuspectIn(service string) bool {
	for _, ref := range v.Crashed {
		if ref.Service == service {
			return true
		}
	}
	return false
}

// CrashedTargets returns the IDs of the crashed targets of a service.
func (v Verdict) CrashedTargets(service string) []string {
	var targets []string
	for _, ref := range v.Crashed {
		if ref.Service == service {
			targets = append(targets, ref.Target)
		}
	}
	return targets
}

// record holds the crashes of one target that coincided with one content. A merge of two records of the same
// target and content keeps the one with the higher epoch, then the higher alone, then the higher crashes, then
// the earlier expires.
type record struct {
	// epoch is incremented when the crashes are cleared.
	epoch uint32
	// crashes is the number of crashes in this epoch that coincided with the content.
	crashes uint32
	// alone is the number of those crashes at which the target ran only this content.
	alone   uint32
	expires time.Time
}

// less reports whether other replaces r in a merge.
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

// List holds the suspicions against contents. It is safe for concurrent use.
type List struct {
	limits Limits
	// size is the number of contents. It allows an empty list, the common case, to be read without locking.
	size atomic.Int64

	mu       sync.Mutex
	contents map[uint64]map[TargetRef]record
	// families holds the family of each content that belongs to one.
	families map[uint64]uint64
	// changes counts the changes of the list, and changed holds the number of each content's last one.
	changes uint64
	changed map[uint64]uint64
	// nextUpdate is the lowest digest that the next message with other contents than the last
	// changed ones begins with.
	nextUpdate uint64
}

// New returns an empty list.
func New(limits Limits) *List {
	return &List{limits: limits, contents: map[uint64]map[TargetRef]record{}, families: map[uint64]uint64{}, changed: map[uint64]uint64{}}
}

// RecordCrash records that the target crashed while it ran the content and possibly others.
func (l *List) RecordCrash(digest uint64, ref TargetRef, now time.Time) {
	l.recordCrash(digest, ref, 0, now)
}

// RecordCrashAlone records that the target crashed while it ran only the content.
func (l *List) RecordCrashAlone(digest uint64, ref TargetRef, now time.Time) {
	l.recordCrash(digest, ref, 1, now)
}

func (l *List) recordCrash(digest uint64, ref TargetRef, alone uint32, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	old := l.contents[digest][ref]
	l.put(digest, ref, record{
		epoch:   old.epoch,
		crashes: old.crashes + 1,
		alone:   old.alone + alone,
		expires: now.Add(l.limits.Lifetime),
	})
}

// SetFamily records the family of a content that is in the list.
func (l *List) SetFamily(digest, family uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setFamily(digest, family)
}

func (l *List) setFamily(digest, family uint64) {
	if family != 0 && len(l.contents[digest]) > 0 {
		l.families[digest] = family
	}
}

// Members returns the number of contents of a family that coincided with crashes which are neither expired nor
// cleared.
func (l *List) Members(family uint64, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := 0
	for digest, other := range l.families {
		if other != family {
			continue
		}
		for _, r := range l.contents[digest] {
			if r.crashes > 0 && now.Before(r.expires) {
				members++
				break
			}
		}
	}
	return members
}

// Retract removes the crashes recorded for a target that turned out not to have crashed.
func (l *List) Retract(digest uint64, ref TargetRef) {
	l.clear(digest, func(other TargetRef) bool { return other == ref })
}

// Clear records that the content succeeded on a target of the service. It reports whether this cleared a
// suspicion.
func (l *List) Clear(digest uint64, service string) bool {
	return l.clear(digest, func(ref TargetRef) bool { return ref.Service == service })
}

// ClearAll records that the content succeeded, which clears the suspicions of all services. It reports whether
// there were any.
func (l *List) ClearAll(digest uint64) bool {
	return l.clear(digest, func(TargetRef) bool { return true })
}

// clear increments the epoch of the matching records. The records stay until they expire, as tombstones that
// propagate the clearing to other VMs.
func (l *List) clear(digest uint64, matches func(TargetRef) bool) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cleared := false
	for ref, r := range l.contents[digest] {
		if matches(ref) && r.crashes > 0 {
			l.contents[digest][ref] = record{epoch: r.epoch + 1, expires: r.expires}
			l.noteChange(digest)
			cleared = true
		}
	}
	return cleared
}

// Check returns the status of a content.
func (l *List) Check(digest uint64, now time.Time) Verdict {
	if l.size.Load() == 0 {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var verdict Verdict
	var expires time.Time
	for ref, r := range l.contents[digest] {
		if r.crashes > 0 && now.Before(r.expires) {
			verdict.Crashed = append(verdict.Crashed, ref)
			verdict.Crashes += int(r.crashes)
			verdict.CrashesAlone += int(r.alone)
			expires = maxTime(expires, r.expires)
		}
	}
	verdict.Quarantined = verdict.CrashesAlone > 0
	if len(verdict.Crashed) > 0 {
		verdict.SinceLastCrash = l.limits.Lifetime - expires.Sub(now)
	}
	slices.SortFunc(verdict.Crashed, compareTargetRefs)
	verdict.Ambiguous = len(verdict.Crashed) > 1 && l.explainedByAnother(digest, verdict.Crashed, now)
	return verdict
}

// explainedByAnother reports whether another content coincided with crashes of all the given targets.
func (l *List) explainedByAnother(digest uint64, refs []TargetRef, now time.Time) bool {
	for other, records := range l.contents {
		if other == digest {
			continue
		}
		unexplained := slices.ContainsFunc(refs, func(ref TargetRef) bool {
			r := records[ref]
			return r.crashes == 0 || !now.Before(r.expires)
		})
		if !unexplained {
			return true
		}
	}
	return false
}

// Quarantined returns the digests of the quarantined contents in ascending order.
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

// put stores a record. Once a content has reached maxTargetsPerContent, the record of a further target is
// dropped unless the target crashed while it ran only this content.
func (l *List) put(digest uint64, ref TargetRef, r record) {
	records, ok := l.contents[digest]
	if !ok {
		l.evictIfFull()
		records = map[TargetRef]record{}
		l.contents[digest] = records
	}
	if _, known := records[ref]; !known && r.alone == 0 && len(records) >= maxTargetsPerContent {
		return
	}
	records[ref] = r
	l.noteChange(digest)
	l.size.Store(int64(len(l.contents)))
}

func (l *List) noteChange(digest uint64) {
	l.changes++
	l.changed[digest] = l.changes
}

// forget removes a content.
func (l *List) forget(digest uint64) {
	delete(l.contents, digest)
	delete(l.families, digest)
	delete(l.changed, digest)
}

// evictIfFull removes the content that expires first if the list is full.
func (l *List) evictIfFull() {
	if len(l.contents) < l.limits.Capacity {
		return
	}
	var victim uint64
	var victimExpiry time.Time
	for digest, records := range l.contents {
		expiry := lastExpiry(records)
		if victimExpiry.IsZero() || expiry.Before(victimExpiry) {
			victim, victimExpiry = digest, expiry
		}
	}
	l.forget(victim)
}

func lastExpiry(records map[TargetRef]record) time.Time {
	var last time.Time
	for _, r := range records {
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

// expire removes expired records.
func (l *List) expire(now time.Time) {
	for digest, records := range l.contents {
		for ref, r := range records {
			if !now.Before(r.expires) {
				delete(records, ref)
			}
		}
		if len(records) == 0 {
			l.forget(digest)
		}
	}
	l.size.Store(int64(len(l.contents)))
}

func compareTargetRefs(a, b TargetRef) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
}
