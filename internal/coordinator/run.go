package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// searchRun is one running search. Only the goroutine that executes runToAnswer accesses
// its fields, apart from c.
type searchRun struct {
	c       *Coordinator
	in      search.Input
	machine *search.Machine
	// number identifies the search in the trace.
	number  uint64
	results chan search.Event
	// cancels holds the cancel function of attempt n at index n-1.
	cancels []context.CancelFunc
	timer   *time.Timer
	answer  *pb.SearchResponse
}

func newSearchRun(c *Coordinator, in search.Input) *searchRun {
	return &searchRun{
		c:       c,
		in:      in,
		machine: search.New(c.shared, in),
		number:  c.trace.NextSearch(),
	}
}

// runToAnswer feeds events to the machine until it has an answer.
func (r *searchRun) runToAnswer(caller context.Context) (*pb.SearchResponse, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	defer cancel()
	r.timer = time.NewTimer(r.in.Deadline.Sub(r.in.Received))
	defer r.timer.Stop()
	r.execute(ctx, r.applyEvent(search.Event{Kind: search.Started}))
	gone := caller.Done()
	for r.answer == nil {
		select {
		case e := <-r.results:
			r.execute(ctx, r.applyEvent(e))
		case <-r.timer.C:
			r.execute(ctx, r.applyEvent(search.Event{Kind: search.TimerFired}))
		case <-gone:
			gone = nil
			if errors.Is(caller.Err(), context.Canceled) {
				r.execute(ctx, r.applyEvent(search.Event{Kind: search.CallerGone}))
				return r.answer, ErrCallerGone
			}
		}
	}
	return r.answer, nil
}

// execute executes the actions that the machine returned for one event, in the order of
// their fields.
func (r *searchRun) execute(ctx context.Context, actions search.Actions) {
	if r.results == nil {
		r.results = make(chan search.Event, len(actions.Sends))
	}
	for i := range actions.Sends {
		r.send(ctx, &actions.Sends[i])
	}
	for _, attempt := range actions.Cancel {
		r.cancels[attempt-1]()
	}
	if !actions.WakeAt.IsZero() {
		r.timer.Reset(max(actions.WakeAt.Sub(r.c.clock.now()), 0))
	}
	for _, decision := range actions.Decisions {
		r.c.options.Decisions.Record(decision)
	}
	addCounts(actions.Counts)
	r.answer = actions.Answer
}

func (r *searchRun) send(ctx context.Context, s *search.Send) {
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	owner, request, results := s.Owner, s.Request, r.results
	go func() {
		defer cancel()
		reply, err := r.c.options.Dispatcher.Dispatch(attemptCtx, owner, request)
		select {
		case results <- search.Event{Kind: search.AttemptEnded, Attempt: request.Attempt, Reply: reply, Err: err}:
		case <-ctx.Done():
		}
	}()
}

// applyEvent feeds one event to the machine. With a trace, the events of all searches
// are serialized in the order of the trace.
func (r *searchRun) applyEvent(e search.Event) search.Actions {
	defer r.c.trace.LockEvents()()
	env := search.Environment{
		Now:     r.c.clock.now(),
		View:    r.c.options.Views.Current(),
		Verdict: r.c.verdict(r.in.Digest),
	}
	actions := r.machine.Apply(env, e)
	if r.c.options.TrialUnproven && e.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
		r.c.provenDigests.Add(r.in.Digest)
	}
	r.c.trace.Record(r.number, r.in, env, e, actions)
	return actions
}

// verdict returns the quarantine's verdict on the content with the given digest. With
// Options.TrialUnproven, clear content is Unproven unless it has recently been executed
// successfully through this VM.
func (c *Coordinator) verdict(digest uint64) search.Verdict {
	verdict := search.Clear
	if c.options.Quarantine != nil {
		verdict = c.options.Quarantine.Check(digest)
	}
	if verdict == search.Clear && c.options.TrialUnproven && !c.provenDigests.Has(digest) {
		return search.Unproven
	}
	return verdict
}
