package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Targets are the numbers of targets that may receive requests.
type Targets struct {
	Ordered int
	Others  int
	// OtherVersions are the versions of the others, in ascending order.
	OtherVersions []string
}

// Action is what the runtime of a Decider must do next.
type Action int

const (
	// Nothing means that nothing is due.
	Nothing Action = iota
	// Write means that the status must be written if the stored one has its revision.
	Write
	// ReadBack means that the stored status must be read, as it is not known whether the
	// last write took effect.
	ReadBack
)

// Decider decides on one order. It is not safe for concurrent use.
type Decider struct {
	order  Order
	status Status
	// seenAt is when a VM first saw the order, as far as this one knows, and startedAt when
	// this VM did.
	seenAt, startedAt time.Time
	targets           Targets
	// hadTargets is true once the ordered version had targets, and goneSince is since when it
	// has none; zero while it has.
	hadTargets bool
	goneSince  time.Time

	pool       *pool
	comparison *comparison
	// answeredBad is the number of bad replies that the newest answer took into account, and
	// pendingBad that of the write whose result is not known yet.
	answeredBad, pendingBad uint64
	writtenAt               time.Time
	unconfirmed             bool
	// rank is this VM's place among the candidates, and dueSince since when a write is due.
	rank     int
	dueSince time.Time
	// suspectSince is since when the evidence speaks against the version; zero while it does
	// not.
	suspectSince time.Time
	// superseded is true once the stored status belongs to a later order, which this VM does
	// not know yet.
	superseded bool
	// inUse is true if the version was the one in use when the order was given.
	inUse bool
}

// NewDecider returns the decider of an order that this VM first saw at the given time.
func NewDecider(order Order, seenAt time.Time) *Decider {
	return &Decider{order: order, seenAt: seenAt, startedAt: seenAt, pool: newPool(), comparison: newComparison(order)}
}

// SetRank sets this VM's place among the candidates for the decision. The first one writes at
// once, the others only what those before them should have written.
func (d *Decider) SetRank(rank int) { d.rank = rank }

// Order returns the order.
func (d *Decider) Order() Order { return d.order }

// Observe takes the newest stored status and the targets. A status of another order, or an
// older one, counts as none; its revision is what the next write replaces.
func (d *Decider) Observe(status Status, targets Targets, now time.Time) {
	if status.Revision > d.status.Revision {
		d.adopt(status, now)
	}
	d.targets = targets
	switch {
	case targets.Ordered > 0:
		d.hadTargets, d.goneSince = true, time.Time{}
	case d.goneSince.IsZero():
		d.goneSince = now
	}
}

func (d *Decider) adopt(status Status, now time.Time) {
	d.unconfirmed, d.dueSince = false, time.Time{}
	if status.OrderRevision > d.order.Revision {
		d.superseded = true
		return
	}
	if status.OrderRevision != d.order.Revision {
		d.status = Status{Revision: status.Revision, Refused: refusedBefore(status, d.order.Version)}
		if status.State == pb.RolloutState_ROLLOUT_STATE_COMPLETED && status.Version == d.order.Version {
			d.inUse = true
		}
		return
	}
	if status.Answer > d.status.Answer {
		d.answeredBad = max(d.answeredBad, d.pendingBad)
	}
	d.SeenBefore(status.Elapsed, now)
	if d.status.OrderRevision != d.order.Revision && d.late() {
		d.comparison.restore(status.Evidence)
	}
	d.writtenAt = now
	d.status = status
}

// refusedBefore returns the versions that were rolled back, or not decided, until an order for
// the given version, according to the status of the order before it.
func refusedBefore(status Status, version string) []string {
	refused := slices.Clone(status.Refused)
	if status.State != pb.RolloutState_ROLLOUT_STATE_COMPLETED {
		refused = append(refused, status.Version)
	}
	refused = slices.DeleteFunc(refused, func(v string) bool { return v == version })
	return refused[max(len(refused)-maxVersions, 0):]
}

// SeenBefore states that some VM had known the order for the given time.
func (d *Decider) SeenBefore(age time.Duration, now time.Time) {
	if seen := now.Add(-age); seen.Before(d.seenAt) {
		d.seenAt = seen
	}
}

// lateAfter is how long after the order a decider starts whose first counts of a VM are a
// baseline only. The share rises with time, so that the sums over a fault of both versions
// would hold more of the ordered version's replies from within it.
const lateAfter = 1500 * time.Millisecond

func (d *Decider) late() bool { return d.startedAt.Sub(d.seenAt) > lateAfter }

// Evidence takes the cumulative counts of one VM.
func (d *Decider) Evidence(from Origin, group Group, counts Counts) {
	if d.late() && !d.pool.knows(from, group) {
		d.comparison.skip(group, counts)
	}
	d.pool.merge(from, group, counts)
}

// Next returns what to do now, and the status to write. The status has the revision of the
// stored one that it replaces.
func (d *Decider) Next(now time.Time) (Action, Status) {
	d.comparison.advance(d.pool, now)
	if d.unconfirmed {
		return ReadBack, Status{}
	}
	if final(d.status.State) || d.superseded || d.rank >= maxCandidates {
		return Nothing, Status{}
	}
	next := d.decide(now)
	if !d.due(next, now) {
		d.dueSince = time.Time{}
		return Nothing, Status{}
	}
	if d.dueSince.IsZero() {
		d.dueSince = now
	}
	if now.Sub(d.dueSince) < time.Duration(d.rank+d.handicap(now))*takeoverDelay {
		return Nothing, Status{}
	}
	next.Base = d.base()
	next.Elapsed, next.Evidence = now.Sub(d.seenAt), d.comparison.findings()
	d.writtenAt, d.unconfirmed, d.pendingBad = now, true, d.badReplies()
	return Write, next
}

// SetInUse states that the version was the one in use when the order was given, so that there
// is nothing to compare it with.
func (d *Decider) SetInUse() { d.inUse = true }

// base returns the other versions that had targets since the order.
func (d *Decider) base() []string {
	base := slices.Concat(d.status.Base, d.targets.OtherVersions)
	slices.Sort(base)
	base = slices.Compact(base)
	return base[:min(len(base), maxVersions)]
}

// handicap returns by how many places a decider that started late stands back: the other
// candidates know more about the version.
func (d *Decider) handicap(now time.Time) int {
	if d.late() && now.Sub(d.startedAt) < handicapTime {
		return handicapRanks
	}
	return 0
}

// due reports whether the status must be written: at once if it is final, otherwise after the
// minimum interval if it differs, and from time to time if it does not.
func (d *Decider) due(next Status, now time.Time) bool {
	passed := now.Sub(d.writtenAt)
	switch {
	case final(next.State), d.status.OrderRevision != next.OrderRevision:
		return true
	case next.equal(d.status):
		return passed >= refreshInterval
	default:
		return passed >= minWriteInterval
	}
}

// Stored takes the status that the store is known to hold: the written one, the one that it
// returned for a write whose condition did not hold, or the one that was read back. The zero
// Status means that there is none.
func (d *Decider) Stored(status Status, now time.Time) {
	d.unconfirmed = false
	switch {
	case status.Revision > d.status.Revision:
		d.adopt(status, now)
	case status.Revision == 0:
		// The entry does not exist, or was deleted: the next write creates it.
		d.status.Revision = 0
	}
}

// Advance compares the replies of a window that has ended. Next does so, too; a runtime that
// waits for the store calls Advance instead.
func (d *Decider) Advance(now time.Time) { d.comparison.advance(d.pool, now) }

// NotWritten takes the result of a write that certainly had no effect.
func (d *Decider) NotWritten() { d.unconfirmed = false }

// decide returns the status that the order should have.
func (d *Decider) decide(now time.Time) Status {
	elapsed := now.Sub(d.seenAt)
	next := d.status
	next.OrderRevision, next.Version = d.order.Revision, d.order.Version
	evidence, where := d.comparison.strongest()
	gone := d.hadTargets && !d.goneSince.IsZero() && now.Sub(d.goneSince) >= goneAfter
	switch {
	case d.inUse:
		next.State, next.Share, next.Reason = pb.RolloutState_ROLLOUT_STATE_COMPLETED, 1, "the ordered version was in use before the order"
		return next
	case d.proven(evidence, now):
		return rolledBack(next, where.describe(evidence))
	case gone:
		return rolledBack(next, "the ordered version has no targets any more")
	case d.targets.Ordered == 0 && elapsed >= d.order.Ramp:
		return rolledBack(next, "the ordered version had no targets until the end of the ramp")
	case elapsed >= d.order.completeAt() && evidence >= closingEvidence:
		return rolledBack(next, "at the end of the ramp, "+where.describe(evidence))
	}
	next.State = pb.RolloutState_ROLLOUT_STATE_RUNNING
	switch {
	case d.targets.Ordered == 0:
		next.Share, next.Reason = 0, "the ordered version has no targets"
		return next
	case elapsed >= d.order.completeAt():
		next.State, next.Share, next.Reason = pb.RolloutState_ROLLOUT_STATE_COMPLETED, 1, "the ordered version is not worse than the others"
		return next
	case evidence < suspectEvidence:
		next.Share, next.Reason = d.share(elapsed)
	}
	if d.badReplies() >= d.answeredBad+localStopAfter {
		next.Answer++
		next.Reason = "bad replies do not prove enough: " + where.describe(evidence)
	}
	return next
}

// proven reports whether the evidence suffices for a roll-back and has spoken against the
// version for some time, so that it is not from one event. While all requests are moved there
// is no time to wait.
func (d *Decider) proven(evidence float64, now time.Time) bool {
	switch {
	case evidence < suspectEvidence:
		d.suspectSince = time.Time{}
		return false
	case d.suspectSince.IsZero():
		d.suspectSince = now
	}
	return evidence >= badEvidence && (d.status.Share >= 1 || now.Sub(d.suspectSince) >= provenAfter)
}

func rolledBack(next Status, reason string) Status {
	next.State, next.Share, next.Reason = pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, 0, reason
	return next
}

// share returns the share at a time since the order, and the name of the step.
func (d *Decider) share(elapsed time.Duration) (float64, string) {
	done := float64(elapsed) / float64(d.order.moveAt())
	switch {
	case done < secondStepAt:
		return firstShare, "first step"
	case done < loadStepAt:
		return secondShare, "second step"
	case done < 1:
		// One target gets what it will have when all requests are moved.
		return min(max(1/float64(d.targets.Ordered), exposureShare), maxLoadShare), "load step"
	default:
		return 1, "all requests are moved"
	}
}

func (d *Decider) badReplies() uint64 {
	bad := uint64(0)
	for group, counts := range d.pool.totals {
		if group.Version == d.order.Version {
			bad += counts.Bad()
		}
	}
	return bad
}

// describe states the evidence of a test for logs and the status.
func (t Test) describe(evidence float64) string {
	kind, route := "fails", "all routes"
	if t.Slow {
		kind = "is slow"
	}
	if t.Route != "" {
		route = "route " + t.Route
	}
	return fmt.Sprintf("the ordered version %s more often on %s (evidence %.1f of %.1f)", kind, route, evidence, badEvidence)
}

// Total is the sum of the replies of one version on one route at all VMs.
type Total struct {
	Group
	Counts
}

// Totals returns the replies that the decider knows, by route and version.
func (d *Decider) Totals() []Total {
	totals := make([]Total, 0, len(d.pool.totals))
	for group, counts := range d.pool.totals {
		totals = append(totals, Total{Group: group, Counts: counts})
	}
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
	})
	return totals
}
