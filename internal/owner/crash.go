package owner

import (
	"context"
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// announceTimeout bounds the wait for other VMs to hear of a suspicion before a
// failed reply goes out.
const announceTimeout = 300 * time.Millisecond

const (
	// settleByHealth is how long after a break the boot identity that the health
	// endpoint gives is believed: it may lag by less.
	settleByHealth = 3 * time.Second
	// unansweredLifetime and maxUnanswered bound the contents that are remembered
	// without an answer.
	unansweredLifetime = 2 * time.Second
	maxUnanswered      = 32
)

// aloneElsewhere is how long content that coincided with a crash in one service
// runs alone on the targets of other services too.
const aloneElsewhere = time.Minute

// crashWatch remembers the contents that may have crashed a target.
type crashWatch struct {
	// recent holds the contents of work that ended without an answer, oldest
	// first.
	recent []unansweredContent
	// digests holds the contents made suspect at the last break, until a reply
	// tells whether the target crashed; bootID is its boot identity before the
	// break, at the time of the break.
	digests []uint64
	bootID  string
	at      time.Time
}

// runningContent is the content of a job, which may have run alone.
type runningContent struct {
	digest uint64
	alone  bool
}

type unansweredContent struct {
	runningContent
	at time.Time
}

// unanswered notes work that ended without an answer. What is noted before other
// content is no longer held to be alone: either may cause a later crash.
func (c *crashWatch) unanswered(content runningContent, now time.Time) {
	if content.digest == 0 {
		return
	}
	for i := range c.recent {
		c.recent[i].alone = c.recent[i].alone && c.recent[i].digest == content.digest
	}
	if len(c.recent) >= maxUnanswered {
		c.recent = append(c.recent[:0], c.recent[1:]...)
	}
	c.recent = append(c.recent, unansweredContent{runningContent: content, at: now})
}

// takeRecent removes and returns the distinct contents that are still recent,
// each as it ran last.
func (c *crashWatch) takeRecent(now time.Time) []runningContent {
	var contents []runningContent
	for _, content := range slices.Backward(c.recent) {
		same := func(other runningContent) bool { return other.digest == content.digest }
		if now.Sub(content.at) <= unansweredLifetime && !slices.ContainsFunc(contents, same) {
			contents = append(contents, content.runningContent)
		}
	}
	c.recent = nil
	return contents
}

// checkContent tells whether the content may be sent to the target, and whether
// only alone.
func (o *Owner) checkContent(v *view.View, w *work) (exclusive bool, refusal *admissionError) {
	verdict := o.quarantine.Check(w.digest, time.Now())
	if verdict.Refuses(v.FailureDomainOf) {
		return false, &admissionError{status: pb.SubStatus_SUB_STATUS_QUARANTINED, reason: reasonQuarantined}
	}
	if !verdict.Suspect(w.service) {
		// Elsewhere it runs alone too for a while: a search that lost one service
		// goes on with the next, and each would lose a target more.
		return len(verdict.Crashed) > 0 && verdict.Age < aloneElsewhere, nil
	}
	designated := quarantine.Designate(
		w.digest, candidates(v, w.target), verdict.CrashedTargets(w.service), verdict.Age)
	if designated != w.target {
		return false, &admissionError{
			status: pb.SubStatus_SUB_STATUS_NOT_DESIGNATED, reason: reasonSuspect + designated, designated: designated,
		}
	}
	return true, nil
}

// candidates returns the targets in service, and with an owner, that serve the
// same as a target.
func candidates(v *view.View, id string) []string {
	found, ok := v.Target(id)
	if !ok {
		return nil
	}
	front, ok := v.Front(found.Front)
	if !ok {
		return nil
	}
	var ids []string
	for _, replica := range front.Services[found.Service].GetTargets() {
		if _, owned := v.Owner(replica.Id); owned && v.InService(replica.Id) {
			ids = append(ids, replica.Id)
		}
	}
	return ids
}

// suspectRunning holds the contents of all running jobs suspect, and those that
// lately ended without an answer. Jobs that break together, at one crash, are
// counted once for each content. It returns the contents.
func (h *handler) suspectRunning(now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, content := range h.contents {
		delete(h.contents, id)
		h.crash.unanswered(content, now)
	}
	return h.suspectUnanswered(now)
}

// suspectUnanswered holds the contents suspect that lately ended without an
// answer. The caller holds the lock.
func (h *handler) suspectUnanswered(now time.Time) []uint64 {
	contents := h.crash.takeRecent(now)
	digests := make([]uint64, 0, len(contents))
	for _, content := range contents {
		digests = append(digests, content.digest)
		if content.alone {
			h.owner.quarantine.SuspectAlone(content.digest, h.place, now)
			continue
		}
		h.owner.quarantine.Suspect(content.digest, h.place, now)
	}
	h.crash.digests = append(h.crash.digests, digests...)
	h.crash.bootID, h.crash.at = h.machine.State().BootID, now
	return digests
}

// refusedConnection draws the conclusion that the target crashed, perhaps on
// work that its caller had given up by then.
func (h *handler) refusedConnection(now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crash.recent) == 0 {
		return nil
	}
	return h.suspectUnanswered(now)
}

// observeReply settles the last break: a reply to work sent after it with the
// boot identity of before shows that the target did not crash. A new boot
// identity without a break makes suspect what lately ended without an answer.
func (h *handler) observeReply(bootID string, began, now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.machine.State().BootID
	if bootID != "" && began.After(h.crash.at) {
		h.settleBreak(bootID)
	}
	if bootID != "" && known != "" && bootID != known && len(h.crash.recent) > 0 {
		return h.suspectUnanswered(now)
	}
	return nil
}

// settleBreak takes the suspicions of the last break back when the target has
// still the boot identity of before, and lets them stand otherwise. The caller
// holds the lock.
func (h *handler) settleBreak(bootID string) {
	if bootID == h.crash.bootID {
		for _, digest := range h.crash.digests {
			h.owner.quarantine.Retract(digest, h.place)
		}
	}
	h.crash.digests = nil
}

// unsettledSince reports whether a break has waited so long for a reply that the
// health endpoint is asked instead.
func (h *handler) unsettledSince(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.crash.digests) > 0 && now.Sub(h.crash.at) >= settleByHealth
}

// announce spreads what is known of contents before the reply goes out, so that
// a re-send meets VMs that know of it.
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
