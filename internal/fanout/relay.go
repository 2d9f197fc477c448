package fanout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

// ErrNotRelayed means that a relay did not send a batch, or one of its sends, which shows
// nothing about the targets.
var ErrNotRelayed = errors.New("not sent by the relay")

const (
	// minBatchSends is the minimum number of sends of a batch. A smaller one saves little
	// and often waits for a target that pauses.
	minBatchSends = 8
	// stragglerFactor is the straggler delay of a batch in hedge delays. The rest is for
	// the way from the relay: stragglers are retried when they would be hedged.
	stragglerFactor = 0.8
	// relayPatience is the delay, in straggler delays, after which the legs of a batch that
	// has not been returned are hedged.
	relayPatience = 2
	// maxRelayedRejectionRate is the rejection rate of a target above which it is sent to
	// directly: a rejection in a batch is known only when the batch returns.
	maxRelayedRejectionRate = 0.05
)

// batch is a batch of attempts that a relay was told to send.
type batch struct {
	relay    *routing.Target
	sentAt   time.Time
	attempts []int
}

// sendBatches sends the first attempts to targets in another failure domain in one message
// to a relay there, which returns the replies in one message with the greatest records
// only: exchanges with such targets are most of the bytes between domains. Retries and
// hedges are sent directly, so that a lost or slow relay costs no answer.
func (m *Machine) sendBatches(chosen []*routing.Target) {
	if len(m.in.Relays) == 0 || !m.in.Route.Gathers() || !m.in.Route.Idempotent {
		return
	}
	legs := map[string][]int{}
	for i, target := range chosen {
		if target != nil && len(m.in.Relays[target.FailureDomain]) > 0 && m.repliesSoon(target) {
			legs[target.FailureDomain] = append(legs[target.FailureDomain], i)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(legs)) {
		relay := m.chooseRelay(m.in.Relays[domain])
		if relay != nil && len(legs[domain]) >= minBatchSends {
			m.sendBatch(relay, legs[domain], chosen)
		}
	}
}

// repliesSoon reports whether the target is expected to reply in the usual time.
func (m *Machine) repliesSoon(t *routing.Target) bool {
	ejected, _ := t.Health.Ejected(m.now)
	return !ejected && m.shared.advice.Use(adviceKey(t), m.now) == advisory.Usable && !t.Lapsed() && !m.now.Before(t.ColdUntil) && !t.Health.Failing(m.now) &&
		t.Health.Speed(m.now) == health.Normal && t.Health.RejectionRate(m.now) <= maxRelayedRejectionRate
}

// chooseRelay returns the relay with the lowest expected reply time, or nil if none can
// be reached.
func (m *Machine) chooseRelay(relays []*routing.Target) *routing.Target {
	var best *routing.Target
	lowest := math.Inf(1)
	for _, relay := range relays {
		if ejected, _ := relay.Health.Ejected(m.now); ejected {
			continue
		}
		if cost := relay.Health.Cost(m.now, m.latencies.typical, relay.Slots); cost < lowest {
			best, lowest = relay, cost
		}
	}
	return best
}

func (m *Machine) sendBatch(relay *routing.Target, legs []int, chosen []*routing.Target) {
	b := Batch{
		ID: len(m.batches), Relay: relay, TimeLeft: m.in.Deadline.Sub(m.now),
		StragglerDelay: time.Duration(stragglerFactor * float64(m.hedgeDelay(m.legs[legs[0]].service.Name))),
	}
	state := batch{relay: relay, sentAt: m.now}
	for _, i := range legs {
		send := m.begin(i, chosen[i], FirstAttempt)
		m.legs[i].hedgeAt = m.now.Add(relayPatience * b.StragglerDelay)
		b.Sends = append(b.Sends, send)
		state.attempts = append(state.attempts, send.Attempt)
	}
	m.batches = append(m.batches, state)
	relay.Health.Begin(m.now)
	m.actions.Batches = append(m.actions.Batches, b)
}

// EndedBatch handles the end of a batch: the results of its sends in their order, or the
// error of the exchange with the relay.
func (m *Machine) EndedBatch(now time.Time, id int, results []Result, err error) Actions {
	m.startEvent(now)
	if err != nil {
		m.handleLostBatch(id, err)
		return m.finishEvent()
	}
	m.endBatch(id, health.Succeeded)
	for i, attempt := range m.batches[id].attempts {
		m.handleRelayed(attempt, results[i])
	}
	return m.finishEvent()
}

// handleRelayed handles the result of one attempt of a batch. Its reply replaces that of a
// hedge: the relay returns the greatest records of all its successful replies, so that
// these can only be used together.
func (m *Machine) handleRelayed(attempt int, result Result) {
	if errors.Is(result.Err, ErrNotRelayed) {
		m.handleNotRelayed(attempt, result.Err, false)
		return
	}
	a := &m.attempts[attempt]
	at := m.now
	if result.Reply != nil {
		at = a.sentAt.Add(result.Reply.Took)
	}
	outcome := m.endAttempt(attempt, result.Reply, result.Err, at)
	if l := &m.legs[a.leg]; !m.answered && (outcome == health.Succeeded || l.reply == nil) {
		m.handleResult(a.leg, result.Reply, result.Err, outcome)
	}
}

// handleLostBatch handles a batch that the relay did not send or did not return.
func (m *Machine) handleLostBatch(id int, err error) {
	outcome := outcomeOf(nil, err)
	if errors.Is(err, ErrNotRelayed) {
		outcome = health.Rejected
	}
	m.endBatch(id, outcome)
	for _, attempt := range m.batches[id].attempts {
		m.handleNotRelayed(attempt, err, outcome.MayHaveRun())
	}
}

// handleNotRelayed handles an attempt without a result, which shows nothing about its
// target.
func (m *Machine) handleNotRelayed(attempt int, err error, mayHaveRun bool) {
	a := &m.attempts[attempt]
	a.ended = true
	m.recordEnd(a, m.now, health.Canceled)
	l := &m.legs[a.leg]
	reason := Failover
	if mayHaveRun {
		l.end(a.target.ID, true, m.now)
		reason = Retry
	} else {
		l.withdraw(a.target.ID)
		m.shared.refund(a.target)
	}
	if !m.answered && l.reply == nil && l.running == 0 {
		l.cause = "relay: " + err.Error()
		m.retryLeg(a.leg, reason)
	}
}

// AbandonBatch handles the end of a batch that was given up.
func (m *Machine) AbandonBatch(now time.Time, id int, outcome health.Outcome) {
	m.startEvent(now)
	m.endBatch(id, outcome)
	for _, attempt := range m.batches[id].attempts {
		m.Abandon(now, attempt, health.Canceled)
	}
}

// endBatch records the end of a batch at its relay.
func (m *Machine) endBatch(id int, outcome health.Outcome) {
	b := &m.batches[id]
	b.relay.Health.End(b.sentAt, m.now, outcome, m.latencies.typical)
}
