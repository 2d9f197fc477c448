package owner

import (
	"context"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// announceTimeout is the maximum time that a failed reply is delayed until other VMs have received the
// suspicion.
const announceTimeout = 300 * time.Millisecond

const (
	// healthResolveDelay is the delay after a broken connection before the boot ID from the health endpoint is
	// used to decide whether the target crashed. The endpoint's response may be outdated, but by less than this.
	healthResolveDelay = 3 * time.Second
	// unansweredLifetime and maxUnanswered bound the age and the number of tracked contents whose jobs ended
	// without a reply.
	unansweredLifetime = 2 * time.Second
	maxUnanswered      = 32
)

// otherServiceExclusivePeriod is how long content that was running at a crash in one service also runs
// exclusively on the targets of other services.
const otherServiceExclusivePeriod = time.Minute

// crashTracker tracks the contents that may have crashed a target.
type crashTracker struct {
	// recent holds the contents of jobs that ended without a reply, oldest first.
	recent []unansweredContent
	// unresolved holds the digests that became suspect at the last broken connection, until a reply shows
	// whether the target crashed. bootIDAtBreak is the target's boot ID before the break, and brokenAt is the
	// time of the break.
	unresolved    []uint64
	bootIDAtBreak string
	brokenAt      time.Time
}

// jobContent identifies the content of a job and whether the job ran alone on the target.
type jobContent struct {
	digest uint64
	alone  bool
}

// unansweredContent is the content of a job that ended without a reply.
type unansweredContent struct {
	jobContent
	endedAt time.Time
}

// recordUnanswered records the content of a job that ended without a reply. Earlier entries with other
// content no longer count as having run alone, because either content may cause a later crash.
func (c *crashTracker) recordUnanswered(content jobContent, now time.Time) {
	if content.digest == 0 {
		return
	}
	for i := range c.recent {
		c.recent[i].alone = c.recent[i].alone && c.recent[i].digest == content.digest
	}
	if len(c.recent) >= maxUnanswered {
		c.recent = append(c.recent[:0], c.recent[1:]...)
	}
	c.recent = append(c.recent, unansweredContent{jobContent: content, endedAt: now})
}

// takeRecent clears the recorded contents and returns the distinct ones that are not older than
// unansweredLifetime, each as most recently recorded.
func (c *crashTracker) takeRecent(now time.Time) []jobContent {
	var contents []jobContent
	for _, content := range slices.Backward(c.recent) {
		same := func(other jobContent) bool { return other.digest == content.digest }
		if now.Sub(content.endedAt) <= unansweredLifetime && !slices.ContainsFunc(contents, same) {
			contents = append(contents, content.jobContent)
		}
	}
	c.recent = nil
	return contents
}

// checkQuarantine reports whether the content may be sent to the target, and whether it must run exclusively.
func (o *Owner) checkQuarantine(v *view.View, w *work) (exclusive bool, refusal *admissionError) {
	verdict := o.quarantine.Check(w.digest, time.Now())
	if verdict.Refuses(v.FailureDomainOf) {
		return false, &admissionError{status: pb.SubStatus_SUB_STATUS_QUARANTINED, reason: reasonQuarantined}
	}
	if !verdict.SuspectIn(w.service) {
		// Content suspect in another service runs exclusively here too for a while: a search that failed on
		// one service continues with the next and could crash a target in each.
		return len(verdict.Crashed) > 0 && verdict.SinceLastCrash < otherServiceExclusivePeriod, nil
	}
	designated := quarantine.Designate(
		w.digest, designationCandidates(v, w.target), verdict.CrashedTargets(w.service), verdict.SinceLastCrash)
	if designated != w.target {
		return false, &admissionError{
			status: pb.SubStatus_SUB_STATUS_NOT_DESIGNATED, reason: reasonSuspect + designated, designated: designated,
		}
	}
	return true, nil
}

// designationCandidates returns the replicas of a target's service, including the target itself, that are in
// service and have an owner.
func designationCandidates(v *view.View, id string) []string {
	cfg, ok := v.Target(id)
	if !ok {
		return nil
	}
	front, ok := v.Front(cfg.Front)
	if !ok {
		return nil
	}
	var ids []string
	for _, replica := range front.Services[cfg.Service].GetTargets() {
		if _, owned := v.Owner(replica.Id); owned && v.InService(replica.Id) {
			ids = append(ids, replica.Id)
		}
	}
	return ids
}

// suspectRunningContents marks as suspect the contents of all running jobs and of jobs that recently ended
// without a reply, and returns their digests. A crash counts once for each content, even if several jobs with
// that content were running.
func (h *handler) suspectRunningContents(now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, content := range h.contents {
		delete(h.contents, id)
		h.crashes.recordUnanswered(content, now)
	}
	return h.suspectUnansweredLocked(now)
}

// suspectUnansweredLocked marks as suspect the contents of jobs that recently ended without a reply, and
// returns their digests. The caller must hold h.mu.
func (h *handler) suspectUnansweredLocked(now time.Time) []uint64 {
	contents := h.crashes.takeRecent(now)
	digests := make([]uint64, 0, len(contents))
	for _, content := range contents {
		digests = append(digests, content.digest)
		if content.alone {
			h.owner.quarantine.RecordCrashAlone(content.digest, h.ref, now)
			continue
		}
		h.owner.quarantine.RecordCrash(content.digest, h.ref, now)
	}
	h.crashes.unresolved = append(h.crashes.unresolved, digests...)
	h.crashes.bootIDAtBreak, h.crashes.brokenAt = h.machine.State().BootID, now
	return digests
}

// suspectAfterFailedConnect treats a failed connection setup as a crash of the target, possibly caused by
// a job that its caller had cancelled. It returns the digests that became suspect.
func (h *handler) suspectAfterFailedConnect(now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crashes.recent) == 0 {
		return nil
	}
	return h.suspectUnansweredLocked(now)
}

// observeReply updates crash tracking from the boot ID of a reply. A reply to a job sent after a broken
// connection resolves that break: an unchanged boot ID shows that the target did not crash. A new boot ID
// without a break makes the contents of recently unanswered jobs suspect; their digests are returned.
func (h *handler) observeReply(bootID string, startedAt, now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.machine.State().BootID
	if bootID != "" && startedAt.After(h.crashes.brokenAt) {
		h.resolveBreakLocked(bootID)
	}
	if bootID != "" && known != "" && bootID != known && len(h.crashes.recent) > 0 {
		return h.suspectUnansweredLocked(now)
	}
	return nil
}

// resolveBreakLocked retracts the suspicions of the last broken connection if the target's boot ID is
// unchanged, and leaves them in place otherwise. The caller must hold h.mu.
func (h *handler) resolveBreakLocked(bootID string) {
	if bootID == h.crashes.bootIDAtBreak {
		for _, digest := range h.crashes.unresolved {
			h.owner.quarantine.Retract(digest, h.ref)
		}
	}
	h.crashes.unresolved = nil
}

// needsHealthCheck reports whether a broken connection has remained unresolved for healthResolveDelay. The
// health endpoint must then be queried, because no reply has shown whether the target crashed.
func (h *handler) needsHealthCheck(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.crashes.unresolved) > 0 && now.Sub(h.crashes.brokenAt) >= healthResolveDelay
}

// announce sends the quarantine entries of the contents to other VMs before the reply is returned, so that a
// retry reaches only VMs that already have them.
func (o *Owner) announce(ctx context.Context, service string, digests ...uint64) {
	if o.announcer == nil || len(digests) == 0 {
		return
	}
	var entries []*pb.QuarantineEntry
	for _, digest := range digests {
		if entry := o.quarantine.Entry(digest, time.Now()); entry != nil {
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	o.announcer.Announce(ctx, service, entries)
}
