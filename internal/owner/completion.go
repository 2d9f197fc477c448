package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/target"
)

// unansweredSlotTimeout is the maximum time that an unanswered job keeps its slot while the target has not
// closed the connection.
const unansweredSlotTimeout = 2 * time.Second

// brokenSlotHold is how long a job keeps its slot after its connection broke. A target that did not crash
// keeps running the job until it detects the broken connection.
const brokenSlotHold = 100 * time.Millisecond

// callOutcome describes a finished call to a target.
type callOutcome struct {
	replySummary
	err       error
	startedAt time.Time
	duration  time.Duration
}

// completeCall updates the machine and crash tracking with the outcome of a call and returns the work's result.
func (o *Owner) completeCall(ctx context.Context, w *work, h *handler, id JobID, c callOutcome) result {
	if c.err == nil {
		return o.completeAnswered(ctx, w, h, id, c)
	}
	var failure *target.Error
	if !errors.As(c.err, &failure) {
		failure = &target.Error{Kind: target.Broken, Cause: c.err}
	}
	event := Event{Duration: c.duration, BootID: c.bootID}
	switch failure.Kind {
	case target.Withheld:
		event.Result = ResultWithheld
		h.finish(id, event)
		return o.refuseWithheld(w, h, c.err)
	case target.ConnectFailed:
		event.Result = ResultConnectFailed
		h.finish(id, event)
		o.announce(ctx, w.service, h.suspectAfterFailedConnect(time.Now())...)
		return o.refuse(w, h, &admissionError{status: pb.SubStatus_SUB_STATUS_UNAVAILABLE, reason: ReasonDown.String()})
	case target.Invalid:
		event.Result = ResultInvalid
		h.finish(id, event)
		discarded.Inc()
		o.recordDecision(w, pb.DecisionKind_DECISION_KIND_DISCARD, c.err.Error())
		return result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: failure.Kind.String(), mayHaveRun: true}
	case target.Broken:
		suspects := h.suspectRunningContents(time.Now())
		o.logger.Info().Err(c.err).Str("request", w.requestID).Str("target", w.target).Dur("took", c.duration).
			Int("suspects", len(suspects)).Msg("connection broke; the contents that ran on the target are suspect")
		h.step(Event{Kind: EventBreak, Job: id})
		event.Result = ResultBroken
		time.AfterFunc(brokenSlotHold, func() { h.finish(id, event) })
		o.announce(ctx, w.service, suspects...)
		return result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: ReasonBroken, mayHaveRun: true}
	}
	return h.completeUnanswered(ctx, id, event, failure.PeerClosed)
}

// completeUnanswered keeps the job's slot until the target has closed the connection, which shows that it no
// longer runs the job, or until unansweredSlotTimeout has passed.
func (h *handler) completeUnanswered(ctx context.Context, id JobID, event Event, peerClosed <-chan struct{}) result {
	event.Result = ResultCancelled
	res := result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: "cancelled", mayHaveRun: true}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		event.Result = ResultTimeout
		res.status, res.reason = pb.SubStatus_SUB_STATUS_DEADLINE, "deadline"
	}
	go func() {
		limit := time.NewTimer(unansweredSlotTimeout)
		defer limit.Stop()
		select {
		case <-peerClosed:
		case <-limit.C:
		}
		h.recordUnanswered(id, time.Now())
		h.finish(id, event)
	}()
	return res
}

// completeAnswered completes a call to which the target sent a valid reply.
func (o *Owner) completeAnswered(ctx context.Context, w *work, h *handler, id JobID, c callOutcome) result {
	suspects := h.observeReply(c.bootID, c.startedAt, time.Now())
	event := Event{Duration: c.duration, BootID: c.bootID, Result: ResultNotRun}
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
		res = result{status: pb.SubStatus_SUB_STATUS_FAILED, reason: target.Invalid.String(), mayHaveRun: true}
	}
	h.finish(id, event)
	o.announce(ctx, w.service, suspects...)
	return res
}
