package owner

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// changeReserve is the minimum time that must remain until a change's deadline when it is sent. A change
	// that is still running at its deadline has an unknown outcome, whereas one that was not sent can safely
	// be tried again. On a busy VM a reply takes a hundred milliseconds and more.
	changeReserve = 250 * time.Millisecond
	// changeReserveDivisor caps the reserve at 1/changeReserveDivisor of the time remaining on arrival, so
	// that changes with short deadlines can still be sent.
	changeReserveDivisor = 2
)

// DispatchChange runs a change on an owned target, at most once per call. The reply is never nil. The outcome
// NOT_RUN guarantees that this call has not run the change and will not run it.
func (o *Owner) DispatchChange(ctx context.Context, r *pb.ChangeDispatch) *pb.ChangeReply {
	received := time.Now()
	remaining := time.Duration(r.RemainingUs) * time.Microsecond
	w := &work{
		requestID: r.Token,
		service:   r.Service,
		target:    r.Target,
		digest:    r.ContentDigest,
		received:  received,
		deadline:  received.Add(remaining),
	}
	w.sendBy = w.deadline.Add(-min(changeReserve, remaining/changeReserveDivisor))
	w.callerErr = ctx.Err
	var rejection string
	w.send = func(ctx context.Context, h *handler, check func() error) (replySummary, error) {
		got, err := h.client.Apply(ctx, &pb.TargetApplyRequest{
			Token:       r.Token,
			Service:     r.Service,
			Change:      r.Change,
			RemainingUs: time.Until(w.deadline).Microseconds(),
		}, check)
		rejection = got.GetReason()
		return replySummary{status: got.GetStatus(), bootID: got.GetBootId()}, err
	}
	res := o.run(ctx, w)
	reply := &pb.ChangeReply{Token: r.Token, Target: r.Target, Outcome: changeOutcome(res), Reason: res.reason}
	if rejection != "" {
		reply.Reason += ": " + rejection
	}
	if res.status == pb.SubStatus_SUB_STATUS_NOT_OWNER {
		reply.OwnerHint = ownerHint(o.views.Current(), r.Target)
	}
	return reply
}

// changeOutcome maps the result of a change to its outcome on the wire.
func changeOutcome(res result) pb.Outcome {
	switch {
	case res.status == pb.SubStatus_SUB_STATUS_OK:
		return pb.Outcome_OUTCOME_SUCCESS
	case res.mayHaveRun:
		return pb.Outcome_OUTCOME_UNKNOWN
	default:
		return pb.Outcome_OUTCOME_NOT_RUN
	}
}
