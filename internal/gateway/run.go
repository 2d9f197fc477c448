package gateway

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// end is the end of one attempt.
type end struct {
	attempt int
	reply   *backend.Reply
	err     error
}

// run is one request in progress.
type run struct {
	call     *call
	machine  *fanout.Machine
	ctx      context.Context
	cancel   context.CancelFunc
	ends     chan end
	inFlight int
	story    story
}

// extraRoom is the room for attempts beyond the first ones that a request begins
// with.
const extraRoom = 8

// endsPerLeg is the room for ends of attempts; it is above the sends that a
// machine makes for one leg, so that no attempt waits to report.
const endsPerLeg = 6

// run serves the request through its machine.
func (c *call) run() {
	legs := c.route.Shards
	if !c.route.Gathers() {
		legs = []*routing.Service{pick(c.route.Parts)}
	}
	if legs[0] == nil {
		c.notRun("the route has no service", startupReturn)
		return
	}
	r := &run{call: c, ends: make(chan end, len(legs)*endsPerLeg)}
	r.story.attempts = make([]told, 0, len(legs)+extraRoom)
	r.ctx, r.cancel = detached()
	r.machine = fanout.New(c.gateway.fanoutState, c.current.vms, fanout.Input{
		Route: c.route, Legs: legs, Received: c.received, Deadline: c.gateway.deadline(c.received, c.timeLimit()),
	})
	answer := r.wait()
	if answer == nil {
		c.gateway.counters.outcome(fanout.CallerGone, time.Since(c.received))
		r.giveUp(health.Withdrawn)
		c.gateway.journal.finished(c, &r.story, &fanout.Answer{Outcome: fanout.CallerGone, Cause: "the caller left"})
		return
	}
	c.write(answer)
	c.gateway.counters.outcome(answer.Outcome, time.Since(c.received))
	c.gateway.journal.finished(c, &r.story, answer)
	r.finish(answer)
}

// pick returns one of the services by weight.
func pick(parts []routing.Part) *routing.Service {
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	drawn := rand.Float64() * total
	for _, part := range parts {
		if drawn -= part.Weight; drawn < 0 {
			return part.Service
		}
	}
	return nil
}

// wait runs the machine until it answers; it returns nil when the caller left.
func (r *run) wait() *fanout.Answer {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	actions := r.machine.Start(time.Now())
	for {
		r.carryOut(actions)
		if actions.Answer != nil {
			return actions.Answer
		}
		timer.Reset(time.Until(actions.WakeAt))
		select {
		case e := <-r.ends:
			actions = r.ended(e)
		case <-timer.C:
			actions = r.tick()
		case <-r.call.http.Context().Done():
			return nil
		}
	}
}

// tick does what is due, unless an attempt has ended: on a busy processor replies
// wait to be read, and a hedge or an answer without them would come too soon.
func (r *run) tick() fanout.Actions {
	runtime.Gosched()
	select {
	case e := <-r.ends:
		return r.ended(e)
	default:
		return r.machine.Tick(time.Now())
	}
}

func (r *run) carryOut(actions fanout.Actions) {
	for _, send := range actions.Sends {
		r.inFlight++
		r.story.sent(send, time.Since(r.call.received))
		r.attempt(send)
	}
}

func (r *run) attempt(send fanout.Send) {
	r.call.gateway.options.Client.Go(r.ctx, &send.Target.Target, r.call.request, send.TimeLeft, func(reply *backend.Reply, err error) {
		r.ends <- end{attempt: send.Attempt, reply: reply, err: err}
	})
}

func (r *run) ended(e end) fanout.Actions {
	r.inFlight--
	r.story.ended(e, time.Since(r.call.received))
	return r.machine.Ended(time.Now(), e.attempt, e.reply, e.err)
}

// finish lets the attempts that were not needed end by themselves for a while,
// so that their connections stay, and then gives them up.
func (r *run) finish(answer *fanout.Answer) {
	if r.inFlight == 0 {
		r.cancel()
		return
	}
	if answer.Outcome == fanout.TimedOut {
		r.giveUp(health.Abandoned)
		return
	}
	go r.linger()
}

func (r *run) linger() {
	timer := time.NewTimer(linger)
	defer timer.Stop()
	for r.inFlight > 0 {
		select {
		case e := <-r.ends:
			r.ended(e)
		case <-timer.C:
			r.giveUp(health.Abandoned)
			return
		}
	}
	r.cancel()
}

// giveUp cancels all attempts in progress and notes what that says of their
// targets.
func (r *run) giveUp(outcome health.Outcome) {
	r.cancel()
	for ; r.inFlight > 0; r.inFlight-- {
		e := <-r.ends
		r.machine.Abandon(time.Now(), e.attempt, outcome)
	}
}
