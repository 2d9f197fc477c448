package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/target"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Reasons of refusals that the owner gives besides those of a Machine.
const (
	reasonPaused      = "paused"
	reasonNotOwner    = "not_owner"
	reasonStopping    = "stopping"
	reasonTakenOut    = "taken_out"
	reasonQuarantined = "quarantined"
	// reasonSuspect precedes the one target that may run the content.
	reasonSuspect = "suspect: runs only on "
	// ReasonBroken is the reason of a reply to work during which the connection
	// to the target broke without an answer, so that its content is suspect.
	ReasonBroken = "broken"
)

// admissionError tells why work must not be sent now. It is not run.
type admissionError struct {
	status pb.SubStatus
	reason string
	// designated is the one target that may run suspect content.
	designated string
}

// Error returns the reason.
func (e *admissionError) Error() string {
	return e.reason
}

// work is one piece of work for a target, search or change.
type work struct {
	requestID string
	attempt   uint64
	service   string
	target    string
	snapshot  uint64
	digest    uint64
	received  time.Time
	deadline  time.Time
	// startBy is when the work is sent at the latest; the deadline or earlier.
	startBy time.Time
	// send runs the work and returns the target's status and boot identity. The
	// check must pass before each write.
	send func(ctx context.Context, h *handler, check func() error) (answer, error)
}

// answer is what a target answered, or nothing of it.
type answer struct {
	status pb.TargetStatus
	bootID string
}

// result is what became of a piece of work.
type result struct {
	status pb.SubStatus
	reason string
	// designated is the one target that may run suspect content.
	designated string
	// sent is true when the work may have reached the target without a status
	// that excludes that it ran.
	sent bool
	took time.Duration
	// inFlight counts the target's running and waiting work.
	inFlight int
}

// Dispatch runs a search subrequest on an owned target and returns its reply,
// which is never nil. When ctx ends, the call to the target is cancelled.
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
	w.startBy = w.deadline
	w.send = func(ctx context.Context, h *handler, check func() error) (answer, error) {
		return sendSearch(ctx, h, check, r, reply, w.deadline)
	}
	res := o.run(ctx, w)
	v := o.views.Current()
	reply.Status = res.status
	reply.Reason = res.reason
	reply.DesignatedTarget = res.designated
	reply.TargetUs = res.took.Microseconds()
	reply.InFlight = uint32(res.inFlight)
	reply.ConfigurationRevision = v.Revision()
	if res.status == pb.SubStatus_SUB_STATUS_NOT_OWNER {
		reply.OwnerHint = ownerHint(v, r.Target)
	}
	return reply
}

func sendSearch(
	ctx context.Context, h *handler, check func() error, r *pb.SubRequest, reply *pb.SubReply, deadline time.Time,
) (answer, error) {
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
		return answer{bootID: got.GetBootId()}, err
	}
	reply.HeldSnapshots = got.HeldSnapshots
	if got.Status == pb.TargetStatus_TARGET_STATUS_OK {
		reply.Results = got.Results
	}
	return answer{status: got.Status, bootID: got.BootId}, nil
}

// run takes one piece of work through admission, the target's machine and the
// call to the target.
func (o *Owner) run(ctx context.Context, w *work) result {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	for {
		h, exclusive, err := o.admit(w)
		if err != nil {
			return o.refuse(w, h, err)
		}
		id, decided := h.submit(w.startBy, exclusive)
		d, ok := h.await(ctx, id, decided)
		switch {
		case !ok:
			return o.refuse(w, h, &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonExpired.String()})
		case d.Kind == DecideRefuse:
			return o.refuse(w, h, refusalOf(d.Reason))
		case exclusive || !o.becameSuspect(w):
			return o.call(ctx, w, h, id, exclusive)
		}
		h.end(id, Event{Result: ResultWithheld})
	}
}

// becameSuspect reports whether the content must no longer run beside others,
// or at all: a crash may have become known while the work waited.
func (o *Owner) becameSuspect(w *work) bool {
	exclusive, refusal := o.checkContent(o.views.Current(), w)
	return exclusive || refusal != nil
}

// admit checks all that can be checked without the target's machine.
func (o *Owner) admit(w *work) (h *handler, exclusive bool, refusal *admissionError) {
	v := o.views.Current()
	if o.stopping.Load() {
		return nil, false, &admissionError{status: pb.SubStatus_SUB_STATUS_NOT_OWNER, reason: reasonStopping}
	}
	if refusal = o.check(v, w); refusal != nil {
		return nil, false, refusal
	}
	exclusive, refusal = o.checkContent(v, w)
	if refusal != nil {
		return nil, false, refusal
	}
	h = o.handler(v, w.target)
	if h == nil {
		return nil, false, &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonGuard.String()}
	}
	return h, exclusive, nil
}

// check tells whether control state lets the work be sent now.
func (o *Owner) check(v *view.View, w *work) *admissionError {
	now := time.Now()
	switch {
	case v.Paused || o.clock.blocked(v, w.received, now):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: reasonPaused}
	case !v.Owns(w.target):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_NOT_OWNER, reason: reasonNotOwner}
	case !v.InService(w.target):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: reasonTakenOut}
	case !now.Before(w.startBy):
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: ReasonExpired.String()}
	}
	return nil
}

func refusalOf(reason Reason) *admissionError {
	switch reason {
	case ReasonDown, ReasonLeaving:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: reason.String()}
	case ReasonReleased:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_NOT_OWNER, reason: reason.String()}
	default:
		return &admissionError{status: pb.SubStatus_SUB_STATUS_SHED, reason: reason.String()}
	}
}

// call sends started work to the target and frees its slot afterwards.
func (o *Owner) call(ctx context.Context, w *work, h *handler, id JobID, alone bool) result {
	check := func() error {
		if refusal := o.check(o.views.Current(), w); refusal != nil {
			return refusal
		}
		return nil
	}
	if err := check(); err != nil {
		h.end(id, Event{Result: ResultWithheld})
		return o.withheld(w, h, err)
	}
	h.begin(id, runningContent{digest: w.digest, alone: alone})
	o.record(w, pb.DecisionKind_DECISION_KIND_DISPATCH, "")
	began := time.Now()
	got, err := w.send(ctx, h, check)
	took := time.Since(began)
	res := o.conclude(ctx, w, h, id, callOutcome{answer: got, err: err, began: began, took: took})
	res.took = took
	state := h.state()
	res.inFlight = state.Running + state.Queued
	if !res.sent && res.status != pb.SubStatus_SUB_STATUS_OK {
		refusals(res.reason).Inc()
	}
	return res
}

func (o *Owner) refuse(w *work, h *handler, refusal *admissionError) result {
	refusals(refusal.reason).Inc()
	res := result{status: refusal.status, reason: refusal.reason, designated: refusal.designated}
	if h != nil {
		h.refused.Add(1)
		state := h.state()
		res.inFlight = state.Running + state.Queued
	}
	o.record(w, pb.DecisionKind_DECISION_KIND_REFUSE, refusal.reason)
	return res
}

// withheld returns the result of work of which nothing was written.
func (o *Owner) withheld(w *work, h *handler, err error) result {
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

func (o *Owner) record(w *work, kind pb.DecisionKind, reason string) {
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

// ownerHint names the owner of a target when it is another VM.
func ownerHint(v *view.View, target string) string {
	owner, ok := v.Owner(target)
	if !ok || owner.ID == v.Self.ID {
		return ""
	}
	return owner.ID
}
