package change

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// defaultTimeLimit applies if the caller sets no time limit.
	defaultTimeLimit = 2 * time.Second
	// maxAttempts is the maximum number of dispatches of one change.
	maxAttempts = 6
	// retryDelay is the delay between attempts after the first retry.
	retryDelay = 20 * time.Millisecond
	// attemptTimeDivisor divides the remaining time to give the time limit of one
	// attempt, so that a late refusal leaves time for another target.
	attemptTimeDivisor = 2
	// replyMargin is the time to wait for a reply beyond the deadline of an
	// attempt. Without it, the reply of an owner that refuses at the deadline would
	// be lost, and a change that did not run would be reported as unknown.
	replyMargin = 100 * time.Millisecond
	// serviceSeparator separates the service name from the rest of a record ID.
	serviceSeparator = ":"
)

// execution runs one change in up to maxAttempts attempts. It tries another target
// only after the previous one is known not to have received the change.
type execution struct {
	changes *Runner
	token   Token
	request *pb.SubmitChangeRequest
	// lastTarget is the ID of the target of the latest dispatch.
	lastTarget string
}

func (e *execution) run(ctx context.Context) Result {
	limit := time.Duration(e.request.TimeLimitMs) * time.Millisecond
	if limit == 0 {
		limit = defaultTimeLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reason := "no target of the record's service can be used"
	for n := range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		target, owner, ok := e.chooseTarget(n)
		if !ok {
			break
		}
		reply := e.dispatch(ctx, target, owner)
		if reply.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
			return Result{Outcome: reply.Outcome, Reason: reply.Reason, Target: target.Id}
		}
		reason = reply.Reason
		waitBeforeRetry(ctx, n)
	}
	return Result{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: reason, Target: e.lastTarget}
}

// waitBeforeRetry waits before the next attempt; the first retry is not delayed.
func waitBeforeRetry(ctx context.Context, n int) {
	if n == 0 {
		return
	}
	select {
	case <-time.After(retryDelay):
	case <-ctx.Done():
	}
}

// chooseTarget returns the target of attempt n and its owner, or false if there is none.
// All VMs try a record's targets in the same order, so that concurrent changes of
// a record are sent to the same target.
func (e *execution) chooseTarget(n int) (view.Target, view.VM, bool) {
	current := e.changes.options.Views.Current()
	if current.Paused {
		return view.Target{}, view.VM{}, false
	}
	front, ok := current.Front(e.request.Change.Front)
	if !ok {
		return view.Target{}, view.VM{}, false
	}
	record := RecordID(e.request.Change)
	service, ok := front.Services[ServiceOf(record)]
	if !ok {
		return view.Target{}, view.VM{}, false
	}
	candidates := usableTargets(current, service, record)
	if len(candidates) == 0 {
		return view.Target{}, view.VM{}, false
	}
	target := candidates[n%len(candidates)]
	owner, _ := current.Owner(target.Id)
	return target, owner, true
}

func usableTargets(current *view.View, service *pb.Service, record string) []view.Target {
	var candidates []view.Target
	for _, candidate := range service.Targets {
		target, ok := current.Target(candidate.Id)
		if !ok || !current.InService(candidate.Id) {
			continue
		}
		if _, owned := current.Owner(candidate.Id); owned {
			candidates = append(candidates, target)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		return targetRank(candidates[i].Id, record) < targetRank(candidates[j].Id, record)
	})
	return candidates
}

func targetRank(target, record string) uint64 {
	return xxhash.Sum64String(target + "\x00" + record)
}

func (e *execution) dispatch(ctx context.Context, target view.Target, owner view.VM) *pb.ChangeReply {
	e.lastTarget = target.Id
	deadline, _ := ctx.Deadline()
	timeLimit := time.Until(deadline) / attemptTimeDivisor
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLimit+replyMargin)
	defer cancel()
	message := &pb.ChangeDispatch{
		Token:         e.token.String(),
		Front:         target.Front,
		Service:       target.Service,
		Target:        target.Id,
		Change:        e.request.Change,
		RemainingUs:   timeLimit.Microseconds(),
		ContentDigest: Digest(e.request.Change),
		Coordinator:   e.changes.self.VM,
	}
	e.changes.options.Decisions.Record(&pb.Decision{
		Kind:      pb.DecisionKind_DECISION_KIND_SEND,
		RequestId: message.Token,
		Service:   target.Service,
		Target:    target.Id,
		Owner:     owner.ID,
		Reason:    "change, target by record order",
	})
	return e.changes.options.Dispatcher.DispatchChange(ctx, owner, message)
}

// RecordID returns the ID of the record that a change modifies.
func RecordID(change *pb.Change) string {
	if transfer := change.GetTransfer(); transfer != nil {
		return transfer.CaskId
	}
	return change.GetEdit().GetRecordId()
}

// ServiceOf returns the name of the service that stores a record.
func ServiceOf(record string) string {
	service, _, _ := strings.Cut(record, serviceSeparator)
	return service
}
