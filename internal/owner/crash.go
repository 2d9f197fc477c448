package owner

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// announceTimeout bounds the wait for other VMs to hear of a suspicion before a
// failed reply goes out.
const announceTimeout = 300 * time.Millisecond

// crashWatch remembers which contents were held suspect at the last break of a
// connection, until a reply tells whether the target crashed.
type crashWatch struct {
	// bootID is the target's boot identity before the break; empty when unknown.
	bootID  string
	at      time.Time
	digests []uint64
}

// checkContent tells whether the content may be sent to the target, and whether
// only alone.
func (o *Owner) checkContent(v *view.View, w *work) (exclusive bool, refusal *admissionError) {
	verdict := o.quarantine.Check(w.digest, time.Now())
	if verdict.Quarantined {
		return false, &admissionError{pb.SubStatus_SUB_STATUS_QUARANTINED, reasonQuarantined}
	}
	if !verdict.Suspect(w.service) {
		return false, nil
	}
	designated := quarantine.Designate(
		w.digest, candidates(v, w.target), verdict.CrashedTargets(w.service), verdict.Age)
	if designated != w.target {
		return false, &admissionError{pb.SubStatus_SUB_STATUS_UNAVAILABLE, reasonSuspect + designated}
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

// suspectRunning holds the contents of all running jobs suspect. Jobs that break
// together, at one crash, are counted once for each content.
func (h *handler) suspectRunning(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[uint64]bool{}
	for id, digest := range h.contents {
		delete(h.contents, id)
		if digest == 0 || seen[digest] {
			continue
		}
		seen[digest] = true
		h.crash.digests = append(h.crash.digests, digest)
		h.owner.quarantine.Suspect(digest, h.place, now)
	}
	h.crash.bootID, h.crash.at = h.machine.State().BootID, now
}

// observeReply settles the last break: a reply to work sent after it with the
// boot identity of before shows that the target did not crash.
func (h *handler) observeReply(bootID string, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.crash.digests) == 0 || bootID == "" || !began.After(h.crash.at) {
		return
	}
	if bootID == h.crash.bootID {
		for _, digest := range h.crash.digests {
			h.owner.quarantine.Retract(digest, h.place)
		}
	}
	h.crash = crashWatch{}
}

// announce spreads the suspicion against the content of failed work before its
// reply goes out, so that a re-send meets VMs that know of it.
func (o *Owner) announce(ctx context.Context, w *work) {
	entry := o.quarantine.Entry(w.digest, time.Now())
	if o.announcer == nil || entry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	o.announcer.Announce(ctx, w.service, []*pb.QuarantineEntry{entry})
}
