package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/target"
)

// settleLimit bounds how long an unanswered job keeps its slot while the target
// has not closed the connection.
const settleLimit = 2 * time.Second

// breakHold is how long a job keeps its slot after its connection broke: a
// target that did not crash takes a moment to notice, and runs the job until
// then.
const breakHold = 100 * time.Millisecond

// callOutcome is a finished call to a target.
type callOutcome struct {
	answer
	err   error
	began time.Time
	took  time.Duration
}

// conclude turns the outcome of a call into a result and an event.
func (o *Owner) conclude(ctx context.Context, w *work, h *handler, id JobID, c callOutcome) result {
	if c.err == nil {
		return o.answered(ctx, w, h, id, c)
	}
	var failure *target.Error
	if !errors.As(c.err, &failure) {
		failure = &target.Error{Kind: target.Broken, Cause: c.err}
	}
	event := Event{Took: c.took, BootID: c.bootID}
	switch failure.Kind {
	case target.Withheld:
		event.Result = ResultWithheld
		h.end(id, event)
		return o.withheld(w, h, c.err)
	case target.Refused:
		event.Result = ResultRefused
		h.end(id, event)
		o.announce(ctx, w.service, h.refusedConnection(time.Now())...)
		return o.refuse(w, h, &admissionError{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: ReasonDown.String()})
	case target.Invalid:
		event.Result = ResultInvalid
		h.end(id, event)
		discarded.Inc()
		o.record(w, pb.DecisionKind_DECISION_KIND_DISCARD, c.err.Error())
		return result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: failure.Kind.String(), sent: true}
	case target.Broken:
		suspects := h.suspectRunning(time.Now())
		h.step(Event{Kind: EventBreak, Job: id})
		event.Result = ResultBroken
		time.AfterFunc(breakHold, func() { h.end(id, event) })
		o.announce(ctx, w.service, suspects...)
		return result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: ReasonBroken, sent: true}
	}
	return h.unanswered(ctx, id, event, failure.Settled)
}

// unanswered keeps the slot until the target has closed the connection, which
// shows that it no longer runs the job.
func (h *handler) unanswered(ctx context.Context, id JobID, event Event, settled <-chan struct{}) result {
	event.Result = ResultCancelled
	res := result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: "cancelled", sent: true}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		event.Result = ResultTimeout
		res.status, res.reason = pb.SubStatus_SUB_STATUS_DEADLINE, "deadline"
	}
	go func() {
		limit := time.NewTimer(settleLimit)
		defer limit.Stop()
		select {
		case <-settled:
		case <-limit.C:
		}
		h.forget(id, time.Now())
		h.end(id, event)
	}()
	return res
}

// answered concludes a call with a valid answer.
func (o *Owner) answered(ctx context.Context, w *work, h *handler, id JobID, c callOutcome) result {
	suspects := h.observeReply(c.bootID, c.began, time.Now())
	event := Event{Took: c.took, BootID: c.bootID, Result: ResultNotRun}
	res := result{status: pb.SubStatus_SUB_STATUS_SHED, reason: "target_shed"}
	switch c.status {
	case pb.TargetStatus_TARGET_STATUS_OK:
		event.Result = ResultOK
		res = result{status: pb.SubStatus_SUB_STATUS_OK}
		if o.quarantine.Clear(w.digest, w.service) {
			suspects = append(suspects, w.digest)
		}
	case pb.TargetStatus_TARGET_STATUS_SHED:
		event.Result = ResultShed
	case pb.TargetStatus_TARGET_STATUS_DRAINING:
		event.Result = ResultDraining
		res = result{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: "target_draining"}
	case pb.TargetStatus_TARGET_STATUS_SNAPSHOT_GONE:
		res = result{status: pb.SubStatus_SUB_STATUS_SNAPSHOT_GONE, reason: "snapshot_gone"}
	case pb.TargetStatus_TARGET_STATUS_EXPIRED:
		res.reason = "target_expired"
	case pb.TargetStatus_TARGET_STATUS_REJECTED:
		res = result{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: "target_rejected"}
	default:
		event.Result = ResultInvalid
		discarded.Inc()
		res = result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: target.Invalid.String(), sent: true}
	}
	h.end(id, event)
	o.announce(ctx, w.service, suspects...)
	return res
}
