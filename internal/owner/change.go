package owner

import (
	"context"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Time that a change is given to run: it is not sent later than that before its
// deadline, because a change that is cut by its deadline has an unknown outcome.
const (
	changeReserve = 100 * time.Millisecond
	// changeReserveShare bounds the reserve to a share of the time left on
	// arrival, for callers in a hurry.
	changeReserveShare = 4
)

// DispatchChange runs a change on an owned target, at most once for each call.
// The reply is never nil; NOT_RUN means that this call certainly did not run the
// change, nor will.
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
	w.startBy = w.deadline.Add(-min(changeReserve, remaining/changeReserveShare))
	var rejection string
	w.send = func(ctx context.Context, h *handler, check func() error) (answer, error) {
		got, err := h.client.Apply(ctx, &pb.TargetApplyRequest{
			Token:       r.Token,
			Service:     r.Service,
			Change:      r.Change,
			RemainingUs: time.Until(w.deadline).Microseconds(),
		}, check)
		rejection = got.GetReason()
		return answer{status: got.GetStatus(), bootID: got.GetBootId()}, err
	}
	res := o.run(ctx, w)
	reply := &pb.ChangeReply{Token: r.Token, Target: r.Target, Outcome: outcomeOf(res), Reason: res.reason}
	if rejection != "" {
		reply.Reason += ": " + rejection
	}
	if res.status == pb.SubStatus_SUB_STATUS_NOT_OWNER {
		reply.OwnerHint = ownerHint(o.views.Current(), r.Target)
	}
	return reply
}

func outcomeOf(res result) pb.Outcome {
	switch {
	case res.status == pb.SubStatus_SUB_STATUS_OK:
		return pb.Outcome_OUTCOME_SUCCESS
	case res.sent:
		return pb.Outcome_OUTCOME_UNKNOWN
	default:
		return pb.Outcome_OUTCOME_NOT_RUN
	}
}
