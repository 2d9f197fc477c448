package gateway

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/intake"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// result is the result of one attempt, or of a batch.
type result struct {
	attempt int
	// batch is the batch that the result belongs to; nil for an attempt.
	batch *fanout.Batch
	reply *backend.Reply
	err   error
}

// fanoutRun runs the state machine of a call and the attempts that it decides on.
type fanoutRun struct {
	call     *call
	client   Client
	request  *backend.Request
	machine  *fanout.Machine
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan result
	inFlight int
	// reserved is the number of attempts that memory is reserved for and that were not sent yet.
	reserved int
	trace    trace
}

// runOptions are what a run sends, to whom and with which state.
type runOptions struct {
	client  Client
	state   *fanout.SharedState
	request *backend.Request
	input   fanout.Input
}

// extraAttemptCapacity is the initial capacity for attempts beyond the first of each
// leg.
const extraAttemptCapacity = 8

// resultsPerLeg is the capacity for results per leg. It exceeds the number of sends
// that a machine makes for one leg, so that no attempt blocks on reporting its result.
const resultsPerLeg = 6

// run serves the request through its state machine.
func (c *call) run() {
	legs := c.route.Shards
	if !c.route.Gathers() {
		legs = []*routing.Service{pickService(c.route.WeightedServices)}
	}
	if legs[0] == nil {
		c.notRun("the route has no service", startupRetryAfter)
		return
	}
	if !c.memory().Reserve(int64(len(legs)) * attemptBytes) {
		c.notRun(intake.ErrNoMemory.Error(), intake.RetryAfter)
		return
	}
	r := c.newRun(runOptions{
		client: c.gateway.options.Client, state: c.gateway.fanoutState, request: c.request,
		input: fanout.Input{
			Route: c.route, Legs: legs, Received: c.received, Deadline: c.gateway.deadline(c.arrived, c.timeLimit()),
			Stopping: c.gateway.stopBy.Load() != 0, Sharers: c.compiled.sharersOf(c.route), Content: c.content, Relays: c.compiled.relays,
			Organisation: c.organisationName(), Priority: c.priority(),
		},
	})
	r.reserved = len(legs)
	r.conclude(r.runMachine())
}

func (c *call) newRun(options runOptions) *fanoutRun {
	legs := len(options.input.Legs)
	r := &fanoutRun{
		call: c, client: options.client, request: options.request, results: make(chan result, legs*resultsPerLeg),
		machine: fanout.New(options.state, c.compiled.vms, options.input),
	}
	r.trace.attempts = make([]attemptTrace, 0, legs+extraAttemptCapacity)
	r.ctx, r.cancel = detachedContext()
	return r
}

// conclude writes the answer, or records that the caller left if there is none, and ends
// the run.
func (r *fanoutRun) conclude(answer *fanout.Answer) {
	c := r.call
	if answer == nil {
		c.recordOutcome(fanout.CallerGone)
		r.cancel()
		r.abandonAll(health.Canceled)
		c.gateway.log.finished(c, &r.trace, &fanout.Answer{Outcome: fanout.CallerGone, Cause: "the caller left"})
		return
	}
	r.recordAdmission(answer)
	if answer.Outcome == fanout.NotRun {
		c.refund()
	}
	c.write(answer)
	c.recordOutcome(answer.Outcome)
	c.gateway.log.finished(c, &r.trace, answer)
	r.finish(answer)
}

// pickService returns one of the services at random, by weight, or nil if there is none.
func pickService(services []routing.WeightedService) *routing.Service {
	total := 0.0
	for _, weighted := range services {
		total += weighted.Weight
	}
	drawn := rand.Float64() * total
	for _, weighted := range services {
		if drawn -= weighted.Weight; drawn < 0 {
			return weighted.Service
		}
	}
	return nil
}

// runMachine runs the state machine until it answers; it returns nil if the caller
// disconnected first.
func (r *fanoutRun) runMachine() *fanout.Answer {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	actions := r.machine.Start(time.Now())
	for {
		if len(actions.Sends)+len(actions.Batches) > 0 && r.call.gateway.paused(r.call.arrived) {
			actions = r.machine.Withhold(time.Now(), actions, "this VM was paused")
		}
		r.carryOut(actions)
		if actions.Answer != nil {
			return actions.Answer
		}
		timer.Reset(time.Until(actions.WakeAt))
		select {
		case res := <-r.results:
			actions = r.ended(res)
		case <-timer.C:
			actions = r.tick()
		case <-r.call.http.Context().Done():
			return nil
		}
	}
}

// tick handles the end of an attempt if there is one, and the timers that are due
// otherwise. Under high CPU load, replies may have arrived that no goroutine has read
// yet: a hedge or an answer without them would be premature.
func (r *fanoutRun) tick() fanout.Actions {
	runtime.Gosched()
	select {
	case res := <-r.results:
		return r.ended(res)
	default:
		return r.machine.Tick(time.Now())
	}
}

func (r *fanoutRun) carryOut(actions fanout.Actions) {
	for _, send := range actions.Sends {
		r.inFlight++
		r.trace.sent(send, time.Since(r.call.received))
		r.attempt(send)
	}
	for _, batch := range actions.Batches {
		r.inFlight++
		for _, send := range batch.Sends {
			r.trace.sent(send, time.Since(r.call.received))
			r.trace.attempts[send.Attempt].relay = batch.Relay.ID
		}
		r.attemptBatch(&batch)
	}
}

func (r *fanoutRun) attempt(send fanout.Send) {
	r.countAttempt()
	r.client.Go(r.ctx, &send.Target.Target, r.request, send.TimeLeft, func(reply *backend.Reply, err error) {
		r.results <- result{attempt: send.Attempt, reply: reply, err: err}
	})
}

func (r *fanoutRun) ended(res result) fanout.Actions {
	r.inFlight--
	if res.batch != nil {
		return r.endedBatch(res)
	}
	r.trace.ended(res.attempt, res.reply, res.err, time.Since(r.call.received))
	if res.reply != nil && res.reply.ContentRefusedFor > 0 {
		r.call.gateway.options.Guard.RefuseFor(r.call.content, res.reply.ContentRefusedFor, time.Now())
	}
	defer r.call.gateway.reportFindings()
	return r.machine.Ended(time.Now(), res.attempt, res.reply, res.err)
}

// finish ends the attempts that are still in flight after the answer. After a timeout it
// abandons them; otherwise it leaves them lingerTime to complete, so that their
// connections can be reused.
func (r *fanoutRun) finish(answer *fanout.Answer) {
	if r.inFlight == 0 {
		r.cancel()
		return
	}
	// The attempts still need the body.
	release := r.call.memory().Hold()
	if answer.Outcome == fanout.TimedOut {
		// The response is sent when the handler returns, so it must not wait for the
		// cancelled attempts to end.
		r.cancel()
		go func() {
			defer release()
			r.abandonAll(health.Abandoned)
		}()
		return
	}
	go func() {
		defer release()
		r.linger()
	}()
}

// linger waits for the attempts in flight, and abandons those that are still running
// after lingerTime.
func (r *fanoutRun) linger() {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	for r.inFlight > 0 {
		select {
		case res := <-r.results:
			r.ended(res)
		case <-timer.C:
			r.cancel()
			r.abandonAll(health.Abandoned)
			return
		}
	}
	r.cancel()
}

// abandonAll waits for the cancelled attempts in flight to end and records the outcome at
// their targets.
func (r *fanoutRun) abandonAll(outcome health.Outcome) {
	for ; r.inFlight > 0; r.inFlight-- {
		res := <-r.results
		if res.batch != nil {
			r.machine.AbandonBatch(time.Now(), res.batch.ID, outcome)
			continue
		}
		r.machine.Abandon(time.Now(), res.attempt, outcome)
	}
}
