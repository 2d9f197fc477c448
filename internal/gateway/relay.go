package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/intake"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// attemptBatch tells a relay to send the request to the targets of the batch.
func (r *fanoutRun) attemptBatch(batch *fanout.Batch) {
	c := r.call
	c.gateway.counters.batches.Inc()
	// The headers of the request are copied, with the targets' IDs, and the batch is an attempt.
	r.call.memory().Take(r.call.cloneBytes() + attemptBytes)
	request := r.request.Clone()
	stated := delegation.Request{
		RouteVersion: c.compiled.table.Version, Elapsed: time.Since(c.received), StragglerDelay: batch.StragglerDelay,
		Authenticated: c.requiresKeys(),
	}
	for _, send := range batch.Sends {
		stated.Targets = append(stated.Targets, send.Target.ID)
	}
	stated.SetHeaders(request.Header)
	c.gateway.options.Gatherers.Go(r.ctx, &batch.Relay.Target, request, batch.TimeLeft, func(reply *backend.Reply, err error) {
		r.results <- result{batch: batch, reply: reply, err: err}
	})
}

func (r *fanoutRun) endedBatch(res result) fanout.Actions {
	var results []fanout.Result
	err := res.err
	if err == nil {
		results, err = delegation.ParseResults(res.reply, len(res.batch.Sends))
	}
	if err != nil {
		r.call.gateway.counters.lostBatches.Inc()
	}
	for i, send := range res.batch.Sends {
		if err != nil {
			r.trace.ended(send.Attempt, nil, err, time.Since(r.call.received))
			continue
		}
		r.trace.ended(send.Attempt, results[i].Reply, results[i].Err, time.Since(r.call.received))
	}
	defer r.call.gateway.reportFindings()
	return r.machine.EndedBatch(time.Now(), res.batch.ID, results, err)
}

// relayRun relays a batch for another VM.
type relayRun struct {
	call     *call
	state    *fanout.Relaying
	cancel   context.CancelFunc
	results  chan relayResult
	deadline time.Time
}

type relayResult struct {
	index int
	fanout.Result
}

// runRelay sends the request to the targets that the other VM names and answers with
// their replies.
func (c *call) runRelay() {
	if !c.route.Gathers() {
		c.writer.WriteHeader(http.StatusConflict)
		return
	}
	// The process may have been paused while it read the body.
	if c.gateway.paused(c.arrived) {
		c.notRun("this VM was paused", pauseRetryAfter)
		return
	}
	c.gateway.counters.relayedBatches.Inc()
	if !c.memory().Reserve(int64(len(c.relay.Targets)) * attemptBytes) {
		c.notRun(intake.ErrNoMemory.Error(), intake.RetryAfter)
		return
	}
	now := time.Now()
	targets := make([]*routing.Target, len(c.relay.Targets))
	for i, id := range c.relay.Targets {
		targets[i] = c.relayTarget(id, now)
	}
	ctx, cancel := detachedContext()
	r := &relayRun{
		call: c, cancel: cancel, results: make(chan relayResult, len(targets)),
		deadline: c.gateway.deadline(c.arrived, c.timeLimit()),
		state:    fanout.NewRelaying(c.gateway.fanoutState, c.route, c.content, targets, now, c.relay.StragglerDelay),
	}
	for i, target := range targets {
		if target != nil {
			c.gateway.options.Client.Go(ctx, &target.Target, c.request, r.deadline.Sub(now), func(reply *backend.Reply, err error) {
				r.results <- relayResult{index: i, Result: fanout.Result{Reply: reply, Err: err}}
			})
		}
	}
	if !r.await() {
		cancel()
		r.abandon(health.Canceled)
		return
	}
	r.answer()
	// The sends that go on still need the body.
	release := c.memory().Hold()
	go func() {
		defer release()
		r.linger()
	}()
}

// relayTarget returns the target with the ID, or nil if this VM does not know it or must not
// send to it.
func (c *call) relayTarget(id string, now time.Time) *routing.Target {
	target := c.compiled.table.Target(id)
	if target == nil || !target.Usable(now) {
		return nil
	}
	key := advisory.Target{ID: target.ID, Started: target.Started}
	if c.gateway.options.Advice.Use(key, now) == advisory.Unusable {
		return nil
	}
	return target
}

// await waits until the results must be returned. It reports false if the other VM has
// given the batch up.
func (r *relayRun) await() bool {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		done, wakeAt := r.state.Done(time.Now(), r.deadline)
		if done {
			return true
		}
		timer.Reset(time.Until(wakeAt))
		select {
		case res := <-r.results:
			r.ended(res)
		case <-timer.C:
		case <-r.call.http.Context().Done():
			return false
		}
	}
}

func (r *relayRun) ended(res relayResult) {
	r.state.Ended(time.Now(), res.index, res.Result)
	r.call.gateway.reportFindings()
}

func (r *relayRun) answer() {
	c := r.call
	results := r.state.Results()
	c.gateway.log.relayed(c, results)
	var replies []*backend.Reply
	for _, result := range results {
		if result.Reply != nil && result.Reply.Successful() {
			replies = append(replies, result.Reply)
		}
	}
	body, err := delegation.EncodeResults(results, mergeGreatest(replies, int(c.route.RowLimit)))
	if err != nil {
		c.gateway.options.Logger.Error().Err(err).Str("request", c.id).Msg("batch not answered")
		c.writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !c.holdAnswer(body) {
		return
	}
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writeResponse(http.StatusOK, body)
}

// linger waits for the sends that the results don't cover, so that their connections can
// be used again, and abandons those that take long.
func (r *relayRun) linger() {
	defer r.cancel()
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	for r.state.Pending() > 0 {
		select {
		case res := <-r.results:
			r.ended(res)
		case <-timer.C:
			r.cancel()
			r.abandon(health.Abandoned)
			return
		}
	}
}

// abandon waits for the cancelled sends to end.
func (r *relayRun) abandon(outcome health.Outcome) {
	for r.state.Pending() > 0 {
		res := <-r.results
		r.state.Abandon(time.Now(), res.index, outcome)
	}
}
