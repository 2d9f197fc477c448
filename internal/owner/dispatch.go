package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/target"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Refusal reasons of the owner, in addition to those of a Machine.
const (
	reasonPaused      = "paused"
	reasonNotOwner    = "not_owner"
	reasonStopping    = "stopping"
	reasonTakenOut    = "taken_out"
	reasonCallerLeft  = "caller_left"
	reasonQuarantined = "quarantined"
	// reasonSuspect is a prefix, followed by the only target that may run the content.
	reasonSuspect = "suspect: runs only on "
	// ReasonBroken is the reason of a reply to work whose connection to the target broke before a reply
	// arrived, which makes its content suspect.
	ReasonBroken = "broken"
)

const (
	// searchReserve is the minimum time that must remain until a search's deadline when it is sent. No reply would
	// arrive in time later, and the cancellation at the deadline would hide that the search crashed its target.
	searchReserve = 20 * time.Millisecond
	// searchReserveDivisor caps the reserve at 1/searchReserveDivisor of the time remaining on arrival, so that
	// searches with short deadlines are sent as well.
	searchReserveDivisor = 10
)

// admissionError explains why work is refused. Refused work has not run.
type admissionError struct {
	status pb.SubStatus
	reason string
	// designated is the only target that may run the suspect content, if any.
	designated string
}

// Error returns the reason.
func (e *admissionError) Error() string {
	return e.reason
}

// work is a search subrequest or a change for one target.
type work struct {
	requestID string
	attempt   uint64
	service   string
	target    string
	snapshot  uint64
	digest    uint64
	received  time.Time
	deadline  time.Time
	// sendBy is the latest time at which the work may be sent. It is not after the deadline.
	sendBy time.Time
	// callerErr returns an error once the caller has left.
	callerErr func() error
	// send runs the work and returns the target's status and boot ID. The check must succeed before each
	// write.
	send func(ctx context.Context, h *handler, check func() error) (replySummary, error)
}

// replySummary holds the parts of a target's reply that searches and changes have in common. It is zero if no
// reply arrived.
type replySummary struct {
	status pb.TargetStatus
	bootID string
}

// result is the result of work.
type result struct {
	status pb.SubStatus
	reason string
	// designated is the only target that may run the suspect content, if any.
	designated string
	// mayHaveRun is true if the work may have reached the target and no reply rules out that it ran.
	mayHaveRun bool
	duration   time.Duration
	// inFlight is the number of running and queued jobs of the target.
	inFlight int
}

// Dispatch runs a search subrequest on an owned target and returns its reply, which is never nil. The call to
// the target is cancelled when ctx is done.
func (o *Owner) Dispatch(ctx context.Context, r *pb.SubRequest) *pb.SubReply {
	received := time.Now()
	reply := &pb.SubReply{RequestId: r.RequestId, Attempt: r.Attempt, Target: r.Target, Snapshot: r.Snapshot}
	w := &work{
		requestID: r.RequestId,
		attempt:   r.Attempt,
		service:   r.Service,
		target:    r.Target,
		snapshot:  r.Snapshot,
		digest:    r.ContentDigest,
		received:  received,
		deadline:  received.Add(time.Duration(r.RemainingUs) * time.Microsecond),
	}
	w.sendBy = w.deadline.Add(-min(searchReserve, w.deadline.Sub(received)/searchReserveDivisor))
	w.callerErr = ctx.Err
	w.send = func(ctx context.Context, h *handler, check func() error) (replySummary, error) {
		return sendSearch(ctx, h, check, r, reply, w.deadline)
	}
	res := o.run(ctx, w)
	v := o.views.Current()
	reply.Status = res.status
	reply.Reason = res.reason
	reply.DesignatedTarget = res.designated
	reply.TargetUs = res.duration.Microseconds()
	reply.InFlight = uint32(res.inFlight)
	reply.ConfigurationRevision = v.Revision()
	if res.status == pb.SubStatus_SUB_STATUS_NOT_OWNER {
		reply.OwnerHint = ownerHint(v, r.Target)
	}
	return reply
}

// sendSearch calls the target and copies the results of a valid reply into reply.
func sendSearch(
	ctx context.Context, h *handler, check func() error, r *pb.SubRequest, reply *pb.SubReply, deadline time.Time,
) (replySummary, error) {
	got, err := h.client.Search(ctx, &pb.TargetSearchRequest{
		RequestId:   r.RequestId,
		Attempt:     r.Attempt,
		Service:     r.Service,
		Snapshot:    r.Snapshot,
		Partitions:  r.Partitions,
		Conditions:  r.Conditions,
		RowLimit:    r.RowLimit,
		RemainingUs: time.Until(deadline).Microseconds(),
	}, check)
	if err != nil {
		return replySummary{bootID: got.GetBootId()}, err
	}
	reply.HeldSnapshots = got.HeldSnapshots
	if got.Status == pb.TargetStatus_TARGET_STATUS_OK {
		reply.Results = got.Results
	}
	return replySummary{status: got.Status, bootID: got.BootId}, nil
}

// run admits work, submits it to the target's machine and calls the target once the machine starts it. Work
// whose content became suspect while it was queued repeats admission, which may refuse it or make it exclusive.
func (o *Owner) run(ctx context.Context, w *work) result {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	for {
		h, exclusive, err := o.admit(w)
		if err != nil {
			return o.refuse(w, h, err)
		}
		id, decided := h.submit(w.sendBy, exclusive)
		d, ok := h.await(ctx, id, decided)
		switch {
		case !ok:
			return o.refuse(w, h, &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonExpired.String()})
		case d.Kind == DecideRefuse:
			return o.refuse(w, h, machineRefusal(d.Reason))
		case exclusive || !o.becameSuspect(w):
			return o.call(ctx, w, h, id, exclusive)
		}
		h.finish(id, Event{Result: ResultWithheld})
	}
}

// becameSuspect reports whether the content must now run exclusively or not at all. A crash may have become
// known while the work was queued.
func (o *Owner) becameSuspect(w *work) bool {
	exclusive, refusal := o.checkQuarantine(o.views.Current(), w)
	return exclusive || refusal != nil
}

// admit performs the checks that do not depend on the target's machine.
func (o *Owner) admit(w *work) (h *handler, exclusive bool, refusal *admissionError) {
	v := o.views.Current()
	if o.stopping.Load() {
		return nil, false, &admissionError{status: pb.SubStatus_SUB_STATUS_NOT_OWNER, reason: reasonStopping}
	}
	if refusal = o.checkView(v, w); refusal != nil {
		return nil, false, refusal
	}
	exclusive, refusal = o.checkQuarantine(v, w)
	if refusal != nil {
		return nil, false, refusal
	}
	h = o.handler(v, w.target)
	if h == nil {
		return nil, false, &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonGuard.String()}
	}
	return h, exclusive, nil
}

// checkView returns an error unless the caller is still there and the view, the pause detector and the work's
// sendBy time allow the work to be sent now. The caller's own context is checked because its end reaches the
// contexts that are derived from it one after the other: a slot that it frees could otherwise go to work of
// the same caller.
func (o *Owner) checkView(v *view.View, w *work) *admissionError {
	now := time.Now()
	switch {
	case w.callerErr() != nil:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: reasonCallerLeft}
	case v.Paused || o.pauses.Blocks(v, w.received, now):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: reasonPaused}
	case !v.Owns(w.target):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_NOT_OWNER, reason: reasonNotOwner}
	case !v.InService(w.target):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: reasonTakenOut}
	case !now.Before(w.sendBy):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonExpired.String()}
	}
	return nil
}

// machineRefusal returns the admission error for a machine's refusal reason.
func machineRefusal(reason Reason) *admissionError {
	switch reason {
	case ReasonDown, ReasonLeaving:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: reason.String()}
	case ReasonReleased:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_NOT_OWNER, reason: reason.String()}
	default:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: reason.String()}
	}
}

// call sends started work to the target and completes it.
func (o *Owner) call(ctx context.Context, w *work, h *handler, id JobID, exclusive bool) result {
	check := func() error {
		if refusal := o.checkView(o.views.Current(), w); refusal != nil {
			return refusal
		}
		return nil
	}
	if err := check(); err != nil {
		h.finish(id, Event{Result: ResultWithheld})
		return o.refuseWithheld(w, h, err)
	}
	h.recordStart(id, jobContent{digest: w.digest, alone: exclusive})
	o.recordDecision(w, pb.DecisionKind_DECISION_KIND_DISPATCH, "")
	startedAt := time.Now()
	got, err := w.send(ctx, h, check)
	duration := time.Since(startedAt)
	res := o.completeCall(ctx, w, h, id, callOutcome{replySummary: got, err: err, startedAt: startedAt, duration: duration})
	res.duration = duration
	state := h.state()
	res.inFlight = state.Running + state.Queued
	if !res.mayHaveRun && res.status != pb.SubStatus_SUB_STATUS_OK {
		refusals(res.reason).Inc()
	}
	return res
}

// refuse counts and records a refusal and returns its result. The handler may be nil.
func (o *Owner) refuse(w *work, h *handler, refusal *admissionError) result {
	refusals(refusal.reason).Inc()
	res := result{status: refusal.status, reason: refusal.reason, designated: refusal.designated}
	if h != nil {
		h.refused.Add(1)
		state := h.state()
		res.inFlight = state.Running + state.Queued
	}
	o.recordDecision(w, pb.DecisionKind_DECISION_KIND_REFUSE, refusal.reason)
	return res
}

// refuseWithheld returns the result of started work of which nothing was written to the target.
func (o *Owner) refuseWithheld(w *work, h *handler, err error) result {
	var refusal *admissionError
	switch {
	case errors.As(err, &refusal):
		return o.refuse(w, h, refusal)
	case errors.Is(err, target.ErrBudget):
		return o.refuse(w, h, &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: "connections"})
	default:
		return o.refuse(w, h, &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonExpired.String()})
	}
}

// recordDecision records a decision about the work.
func (o *Owner) recordDecision(w *work, kind pb.DecisionKind, reason string) {
	o.decisions.Record(&pb.Decision{
		Kind:      kind,
		RequestId: w.requestID,
		Attempt:   w.attempt,
		Service:   w.service,
		Target:    w.target,
		Owner:     o.views.Current().Self.ID,
		Reason:    reason,
		Snapshot:  w.snapshot,
		OffsetUs:  time.Since(w.received).Microseconds(),
	})
}

// ownerHint returns the ID of the VM that owns a target, or an empty string if it is unknown or this VM.
func ownerHint(v *view.View, target string) string {
	owner, ok := v.Owner(target)
	if !ok || owner.ID == v.Self.ID {
		return ""
	}
	return owner.ID
}
