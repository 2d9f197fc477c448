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
	// defaultTimeLimit applies when the caller sets none.
	defaultTimeLimit = 2 * time.Second
	// maxAttempts bounds the targets and owners that one change is offered to.
	maxAttempts = 6
	// retryPause is waited before the same targets are tried again.
	retryPause = 20 * time.Millisecond
	// attemptShare is the part of the remaining time that one attempt may take,
	// so that a refusal after a wait leaves time for another target.
	attemptShare = 2
	// answerMargin is how much longer than the work itself its answer is waited
	// for: an owner that refuses at the deadline must still be heard, or a change
	// that certainly did not run would be reported as unknown.
	answerMargin = 100 * time.Millisecond
	// serviceSeparator ends the service's name in a record's identifier.
	serviceSeparator = ":"
)

// attempt runs one change. It goes on to another target only after the one
// before certainly did not receive the change.
type attempt struct {
	changes *Changes
	token   Token
	request *pb.SubmitChangeRequest
	// reached is the target of the last dispatch.
	reached string
}

func (a *attempt) run(ctx context.Context) Result {
	limit := time.Duration(a.request.TimeLimitMs) * time.Millisecond
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
		target, owner, ok := a.choose(n)
		if !ok {
			break
		}
		reply := a.dispatch(ctx, target, owner)
		if reply.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
			return Result{Outcome: reply.Outcome, Reason: reply.Reason, Target: target.Id}
		}
		reason = reply.Reason
		pause(ctx, n)
	}
	return Result{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: reason, Target: a.reached}
}

// pause waits before a further round; the first retry goes out at once.
func pause(ctx context.Context, n int) {
	if n == 0 {
		return
	}
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

// choose returns the n-th target to try. All VMs try a record's targets in the
// same order, so that concurrent changes of a record meet at one target.
func (a *attempt) choose(n int) (view.Target, view.VM, bool) {
	current := a.changes.options.Views.Current()
	if current.Paused {
		return view.Target{}, view.VM{}, false
	}
	front, ok := current.Front(a.request.Change.Front)
	if !ok {
		return view.Target{}, view.VM{}, false
	}
	record := RecordID(a.request.Change)
	service, ok := front.Services[ServiceOf(record)]
	if !ok {
		return view.Target{}, view.VM{}, false
	}
	usable := usableTargets(current, service, record)
	if len(usable) == 0 {
		return view.Target{}, view.VM{}, false
	}
	target := usable[n%len(usable)]
	owner, _ := current.Owner(target.Id)
	return target, owner, true
}

func usableTargets(current *view.View, service *pb.Service, record string) []view.Target {
	var usable []view.Target
	for _, candidate := range service.Targets {
		target, ok := current.Target(candidate.Id)
		if !ok || !current.InService(candidate.Id) {
			continue
		}
		if _, owned := current.Owner(candidate.Id); owned {
			usable = append(usable, target)
		}
	}
	sort.Slice(usable, func(i, j int) bool {
		return preference(usable[i].Id, record) < preference(usable[j].Id, record)
	})
	return usable
}

func preference(target, record string) uint64 {
	return xxhash.Sum64String(target + "\x00" + record)
}

func (a *attempt) dispatch(ctx context.Context, target view.Target, owner view.VM) *pb.ChangeReply {
	a.reached = target.Id
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline) / attemptShare
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining+answerMargin)
	defer cancel()
	message := &pb.ChangeDispatch{
		Token:         a.token.String(),
		Front:         target.Front,
		Service:       target.Service,
		Target:        target.Id,
		Change:        a.request.Change,
		RemainingUs:   remaining.Microseconds(),
		ContentDigest: Digest(a.request.Change),
		Coordinator:   a.changes.self.VM,
	}
	a.changes.options.Decisions.Record(&pb.Decision{
		Kind:      pb.DecisionKind_DECISION_KIND_SEND,
		RequestId: message.Token,
		Service:   target.Service,
		Target:    target.Id,
		Owner:     owner.ID,
		Reason:    "change, target by record order",
	})
	return a.changes.options.Dispatcher.DispatchChange(ctx, owner, message)
}

// RecordID returns the identifier of the record that a change is for.
func RecordID(change *pb.Change) string {
	if transfer := change.GetTransfer(); transfer != nil {
		return transfer.CaskId
	}
	return change.GetEdit().GetRecordId()
}

// ServiceOf returns the name of the service that holds a record.
func ServiceOf(record string) string {
	service, _, _ := strings.Cut(record, serviceSeparator)
	return service
}
