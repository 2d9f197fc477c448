package fanout

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// maxStragglerDivisor bounds the stragglers of a batch to this part (1/n) of its targets. If
// more replies are missing, the targets are overloaded rather than paused, and sending the
// request once more would add to that.
const maxStragglerDivisor = 4

// Relaying is the state of a batch at its relay. It is not safe for concurrent use.
type Relaying struct {
	route   *routing.Route
	shared  *SharedState
	content content
	targets []*routing.Target
	sentAt  time.Time
	// stragglersAt is when the relay stops to wait for the last few replies.
	stragglersAt time.Time
	typical      time.Duration
	results      []Result
	pending      int
}

// NewRelaying returns the state of a batch that is sent now. The identity is that of the
// request, for what the results show about its content. Targets that the relay does not
// know, or that want no requests, are nil; they must not be sent to.
func NewRelaying(
	shared *SharedState, route *routing.Route, identity quarantine.Content, targets []*routing.Target, now time.Time, stragglerDelay time.Duration,
) *Relaying {
	r := &Relaying{
		route: route, shared: shared, content: content{guard: shared.guard, identity: identity}, targets: targets,
		sentAt: now, stragglersAt: now.Add(stragglerDelay),
		typical: shared.latencies(route).typical, results: make([]Result, len(targets)),
	}
	for i, target := range targets {
		if target == nil {
			r.results[i].Err = errors.Wrap(ErrNotRelayed, "the target is not known or wants no requests")
			continue
		}
		r.results[i].Err = backend.ErrUnfinished
		r.pending++
		target.Health.Begin(now)
	}
	return r
}

// Ended handles the result of the send to the target with the given index.
func (r *Relaying) Ended(now time.Time, index int, result Result) {
	r.pending--
	if result.Reply != nil {
		result.Reply.Took = now.Sub(r.sentAt)
	}
	r.results[index] = result
	if result.Reply != nil && !result.Reply.OtherTarget {
		r.shared.advice.Observe(adviceKey(r.targets[index]), result.Reply.Advice, r.sentAt, now)
	}
	outcome := outcomeOf(result.Reply, result.Err)
	r.targets[index].Health.End(r.sentAt, now, outcome, r.typical)
	if outcome == health.Succeeded {
		r.shared.recordReply(r.route, now.Sub(r.sentAt))
	}
	r.content.ended(r.attempt(index), result.Reply, result.Err, now)
}

func (r *Relaying) attempt(index int) *attempt {
	return &attempt{target: r.targets[index], sentAt: r.sentAt}
}

// Abandon handles the end of a send that was given up.
func (r *Relaying) Abandon(now time.Time, index int, outcome health.Outcome) {
	r.pending--
	r.targets[index].Health.End(r.sentAt, now, outcome, r.typical)
	r.content.abandoned(r.attempt(index), now)
}

// Pending returns the number of sends in flight.
func (r *Relaying) Pending() int { return r.pending }

// Done reports whether the results must be returned now, and if not, when to ask again
// even if no send has ended.
func (r *Relaying) Done(now, deadline time.Time) (done bool, wakeAt time.Time) {
	switch {
	case r.pending == 0 || !now.Before(deadline):
		return true, time.Time{}
	case now.Before(r.stragglersAt):
		return false, earlier(deadline, r.stragglersAt)
	default:
		return r.pending <= len(r.targets)/maxStragglerDivisor, deadline
	}
}

// Results returns the results in the order of the targets. Those of sends in flight are
// backend.ErrUnfinished.
func (r *Relaying) Results() []Result { return slices.Clone(r.results) }
