package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// run is one running search. Its fields belong to the goroutine of the caller.
type run struct {
	c       *Coordinator
	in      search.Input
	machine *search.Machine
	// number identifies the search in the trace.
	number  uint64
	results chan search.Event
	// cancels holds the cancel function of each attempt, by its identifier less
	// one.
	cancels []context.CancelFunc
	timer   *time.Timer
	final   *pb.SearchResponse
}

func newRun(c *Coordinator, in search.Input) *run {
	return &run{
		c:       c,
		in:      in,
		machine: search.New(c.knowledge, in),
		number:  c.trace.NextSearch(),
	}
}

// answer feeds events to the machine until it has an answer.
func (r *run) answer(caller context.Context) (*pb.SearchResponse, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	defer cancel()
	r.timer = time.NewTimer(r.in.Deadline.Sub(r.in.Received))
	defer r.timer.Stop()
	r.perform(ctx, r.step(search.Event{Kind: search.Started}))
	gone := caller.Done()
	for r.final == nil {
		select {
		case e := <-r.results:
			r.perform(ctx, r.step(e))
		case <-r.timer.C:
			r.perform(ctx, r.step(search.Event{Kind: search.TimerFired}))
		case <-gone:
			gone = nil
			if errors.Is(caller.Err(), context.Canceled) {
				r.perform(ctx, r.step(search.Event{Kind: search.CallerGone}))
				return r.final, ErrCallerGone
			}
		}
	}
	return r.final, nil
}

// perform does what the machine decided.
func (r *run) perform(ctx context.Context, actions search.Actions) {
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
	for _, decided := range actions.Decisions {
		r.c.options.Decisions.Record(decided)
	}
	count(actions.Counts)
	r.final = actions.Answer
}

func (r *run) send(ctx context.Context, s *search.Send) {
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	owner, request, results := s.Owner, s.Request, r.results
	go func() {
		defer cancel()
		reply, err := r.c.options.Dispatcher.Dispatch(attemptCtx, owner, request)
		select {
		case results <- search.Event{Kind: search.Replied, Attempt: request.Attempt, Reply: reply, Err: err}:
		case <-ctx.Done():
		}
	}()
}

// step feeds one event to the machine. With a trace, all searches take their
// steps one after the other, in the order of the trace.
func (r *run) step(e search.Event) search.Actions {
	defer r.c.trace.Exclusive()()
	current := search.Context{
		Now:     r.c.clock.now(),
		View:    r.c.options.Views.Current(),
		Verdict: r.c.verdict(r.in.Digest),
	}
	actions := r.machine.Apply(current, e)
	if r.c.options.ProveUnseen && e.Reply.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
		r.c.seen.add(r.in.Digest)
	}
	r.c.trace.Record(r.number, r.in, current, e, actions)
	return actions
}

// verdict joins the quarantine's verdict with what was seen to run here.
func (c *Coordinator) verdict(digest uint64) search.Verdict {
	verdict := search.Clear
	if c.options.Quarantine != nil {
		verdict = c.options.Quarantine.Check(digest)
	}
	if verdict == search.Clear && c.options.ProveUnseen && !c.seen.has(digest) {
		return search.Unproven
	}
	return verdict
}
