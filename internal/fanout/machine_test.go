package fanout_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/routing"
)

var (
	errLost    = errors.Wrap(backend.ErrLost, "connection reset")
	errNotSent = errors.Wrap(backend.ErrNotSent, "connection refused")
)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestTargetsInOwnFailureDomainArePreferred(t *testing.T) {
	route := gatheringRoute(services(4))
	actions := newMachine(newSharedState(), route, start).Start(start)
	require.Len(t, actions.Sends, 4)
	for _, send := range actions.Sends {
		require.Equal(t, "a", send.Target.FailureDomain)
		require.Equal(t, route.TimeLimit, send.TimeLeft)
	}
}

func TestPausedTargetIsHedgedAndFirstReplyWins(t *testing.T) {
	m := newMachine(newSharedState(), gatheringRoute(services(2)), start)
	m.Start(start)
	actions := m.Ended(at(5*time.Millisecond), 0, goodReply("r0"), nil)
	actions = m.Tick(actions.WakeAt)
	require.Len(t, actions.Sends, 1)
	hedge := actions.Sends[0]
	require.Equal(t, fanout.Hedge, hedge.Reason)
	require.Equal(t, 1, hedge.Leg)
	require.NotEqual(t, "a", hedge.Target.FailureDomain)
	actions = m.Ended(at(40*time.Millisecond), hedge.Attempt, goodReply("r1"), nil)
	require.Equal(t, fanout.Complete, actions.Answer.Outcome)
	require.Len(t, actions.Answer.Replies, 2)
	require.Nil(t, m.Ended(at(100*time.Millisecond), 1, goodReply("late"), nil).Answer)
}

func TestPartialAnswerIsSentBeforeTheGoal(t *testing.T) {
	m := newMachine(newSharedState(), gatheringRoute(services(4)), start)
	m.Start(start)
	for i := range 3 {
		require.Nil(t, m.Ended(at(5*time.Millisecond), i, goodReply("r"), nil).Answer)
	}
	actions := m.Tick(at(68 * time.Millisecond))
	require.Equal(t, fanout.Partial, actions.Answer.Outcome)
	require.Equal(t, 1, actions.Answer.Missing)
	require.Len(t, actions.Answer.Replies, 3)
}

func TestAnswerWaitsPastTheGoalForLeastCoverage(t *testing.T) {
	m := newMachine(newSharedState(), gatheringRoute(services(4)), start)
	m.Start(start)
	m.Ended(at(5*time.Millisecond), 0, goodReply("r"), nil)
	m.Ended(at(5*time.Millisecond), 1, goodReply("r"), nil)
	require.Nil(t, m.Tick(at(70*time.Millisecond)).Answer)
	require.Equal(t, fanout.Partial, m.Ended(at(90*time.Millisecond), 2, goodReply("r"), nil).Answer.Outcome)
}

// Two of four shards have no reachable target, so that the least coverage can't be met.
// Nothing is sent, and the caller learns at once that its request did not run.
func TestUnservableRequestIsRejectedBeforeAnySend(t *testing.T) {
	shards := services(4)
	for _, service := range shards[:2] {
		for _, target := range service.Targets {
			target.Health.Begin(start)
			target.Health.End(start, start, health.Unreachable, time.Millisecond)
		}
	}
	actions := newMachine(newSharedState(), gatheringRoute(shards), at(time.Millisecond)).Start(at(time.Millisecond))
	require.Empty(t, actions.Sends)
	require.Equal(t, fanout.NotRun, actions.Answer.Outcome)
	require.Positive(t, actions.Answer.RetryAfter)
	require.LessOrEqual(t, actions.Answer.RetryAfter, time.Second)
}

func TestNonIdempotentRequestIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	m := newMachine(newSharedState(), singleRoute(services(1)[0], false), start)
	m.Start(start)
	require.Empty(t, m.Tick(at(150*time.Millisecond)).Sends, "no hedge")
	actions := m.Ended(at(160*time.Millisecond), 0, nil, errLost)
	require.Empty(t, actions.Sends)
	require.Equal(t, fanout.Failed, actions.Answer.Outcome)
}

func TestNonIdempotentRequestFailsOverWhenItDidNotRun(t *testing.T) {
	m := newMachine(newSharedState(), singleRoute(services(1)[0], false), start)
	m.Start(start)
	actions := m.Ended(at(time.Millisecond), 0, nil, errNotSent)
	require.Len(t, actions.Sends, 1)
	require.Equal(t, fanout.Failover, actions.Sends[0].Reason)
	actions = m.Ended(at(2*time.Millisecond), 1, notRunReply(), nil)
	require.Len(t, actions.Sends, 1)
	require.Equal(t, fanout.Retry, actions.Sends[0].Reason)
	actions = m.Ended(at(3*time.Millisecond), 2, notRunReply(), nil)
	require.Nil(t, actions.Answer, "busy targets are tried again after a backoff")
	for now := at(3 * time.Millisecond); actions.Answer == nil; {
		if len(actions.Sends) > 0 {
			now = now.Add(time.Millisecond)
			actions = m.Ended(now, actions.Sends[0].Attempt, notRunReply(), nil)
			continue
		}
		now = actions.WakeAt
		actions = m.Tick(now)
	}
	require.Equal(t, fanout.NotRun, actions.Answer.Outcome)
}

// All targets reject a request as busy for a moment, as happens when many callers
// resume at once after a pause. The request is retried after a short backoff and
// succeeds.
func TestRequestRejectedByAllTargetsIsRetried(t *testing.T) {
	m := newMachine(newSharedState(), singleRoute(services(1)[0], false), start)
	actions := m.Start(start)
	now := start
	for id := range 3 {
		require.Len(t, actions.Sends, 1)
		now = now.Add(time.Millisecond)
		actions = m.Ended(now, id, notRunReply(), nil)
	}
	require.Empty(t, actions.Sends)
	require.Less(t, actions.WakeAt.Sub(now), 50*time.Millisecond)
	actions = m.Tick(actions.WakeAt)
	require.Len(t, actions.Sends, 1)
	actions = m.Ended(now.Add(60*time.Millisecond), 3, goodReply("r"), nil)
	require.Equal(t, fanout.Complete, actions.Answer.Outcome)
}

func TestNotRunIsNotReportedWhileAnAttemptMayRun(t *testing.T) {
	m := newMachine(newSharedState(), singleRoute(services(1)[0], true), start)
	m.Start(start)
	hedged := m.Tick(at(95 * time.Millisecond))
	require.Len(t, hedged.Sends, 1)
	m.Ended(at(96*time.Millisecond), 1, notRunReply(), nil)
	actions := m.Tick(at(time.Second))
	require.Equal(t, fanout.TimedOut, actions.Answer.Outcome)
}

func TestTargetFailureIsReturnedWhenRetriesAreExhausted(t *testing.T) {
	m := newMachine(newSharedState(), singleRoute(services(1)[0], true), start)
	actions := m.Start(start)
	for now := start; actions.Answer == nil; {
		require.Len(t, actions.Sends, 1)
		now = now.Add(time.Millisecond)
		actions = m.Ended(now, actions.Sends[0].Attempt, failedReply(), nil)
	}
	require.Equal(t, fanout.Failed, actions.Answer.Outcome)
	require.Equal(t, 500, actions.Answer.Failure.Status)
	require.Empty(t, actions.Answer.Replies)
}

// Guards against a reply that the VM found to be no success being passed on with its status,
// which says that it is one.
func TestSpoiledSuccessIsNotPassedOn(t *testing.T) {
	encoded := goodReply("r")
	encoded.Header = http.Header{"Content-Encoding": {"gzip"}}
	for _, spoiled := range []*backend.Reply{goodReply(""), encoded} {
		m := newMachine(newSharedState(), singleRoute(services(1)[0], false), start)
		answer := m.Ended(at(time.Millisecond), m.Start(start).Sends[0].Attempt, spoiled, nil).Answer
		require.Equal(t, fanout.Failed, answer.Outcome)
		require.Nil(t, answer.Failure)
		require.Empty(t, answer.Replies)
	}
}

func TestTargetsPerRequestAreBounded(t *testing.T) {
	m := newMachine(newSharedState(), gatheringRoute(services(1)), start)
	asked := []string{m.Start(start).Sends[0].Target.ID, m.Tick(at(40 * time.Millisecond)).Sends[0].Target.ID}
	actions := m.Ended(at(50*time.Millisecond), 0, nil, errLost)
	require.Empty(t, actions.Sends)
	actions = m.Ended(at(51*time.Millisecond), 1, nil, errLost)
	for id := 2; actions.Answer == nil; id++ {
		require.Len(t, actions.Sends, 1)
		require.Contains(t, asked, actions.Sends[0].Target.ID)
		actions = m.Ended(at(time.Duration(50+id)*time.Millisecond), id, nil, errLost)
	}
	require.Equal(t, fanout.Failed, actions.Answer.Outcome)
}

// A failure domain is partitioned (the fault zone_cut on casgen-reel-grown): the VMs in
// it reach only one target of each shard, over one connection. A pause of the target
// blocks the connection for 150 ms, and the answer needs that shard.
func TestRequiredLegWaitsForItsOnlyTarget(t *testing.T) {
	shards := services(2)
	for _, service := range shards {
		service.Targets = service.Targets[:1]
	}
	route := gatheringRoute(shards)
	m := newMachine(newSharedState(), route, start)
	m.Start(start)
	m.Ended(at(5*time.Millisecond), 0, goodReply("r"), nil)
	busy := errors.Wrap(backend.ErrBusy, "t")
	now := at(20 * time.Millisecond)
	actions := m.Ended(now, 1, nil, busy)
	for now.Before(at(150 * time.Millisecond)) {
		require.Nil(t, actions.Answer)
		now = actions.WakeAt
		if actions = m.Tick(now); len(actions.Sends) > 0 {
			now = now.Add(20 * time.Millisecond)
			actions = m.Ended(now, actions.Sends[0].Attempt, nil, busy)
		}
	}
	for len(actions.Sends) == 0 {
		require.Nil(t, actions.Answer)
		actions = m.Tick(actions.WakeAt)
	}
	actions = m.Ended(now.Add(40*time.Millisecond), actions.Sends[0].Attempt, goodReply("r1"), nil)
	require.Equal(t, fanout.Complete, actions.Answer.Outcome)
}

// Half of the targets lose 4 in 10 replies (the fault answer_lost). Where both targets
// of a shard are affected, 16 in 100 requests would get no reply from the shard with
// only two attempts.
func TestLostReplyIsRetriedAtTheSameTargets(t *testing.T) {
	m := newMachine(newSharedState(), gatheringRoute(services(1)), start)
	m.Start(start)
	m.Ended(at(5*time.Millisecond), 0, nil, errLost)
	actions := m.Ended(at(10*time.Millisecond), 1, nil, errLost)
	require.Len(t, actions.Sends, 1)
	actions = m.Ended(at(15*time.Millisecond), 2, goodReply("r"), nil)
	require.Equal(t, fanout.Complete, actions.Answer.Outcome)
}

func TestLapsedTargetIsLastResort(t *testing.T) {
	service := services(1)[0]
	service.Targets[0].LapsedUntil = at(time.Second)
	actions := newMachine(newSharedState(), singleRoute(service, true), start).Start(start)
	require.False(t, actions.Sends[0].Target.Lapsed())
	service.Targets = service.Targets[:1]
	actions = newMachine(newSharedState(), singleRoute(service, true), start).Start(start)
	require.True(t, actions.Sends[0].Target.Lapsed())
}

// Guards against retries of a long request at a target that is gone: the request keeps the table of its arrival.
func TestLapsedTargetIsNotUsedForARetryAfterItsGracePeriod(t *testing.T) {
	service := services(1)[0]
	service.Targets = service.Targets[:2]
	service.Targets[0].LapsedUntil = at(20 * time.Millisecond)
	m := newMachine(newSharedState(), singleRoute(service, true), start)
	require.Equal(t, service.Targets[1], m.Start(start).Sends[0].Target)
	actions := m.Ended(at(21*time.Millisecond), 0, nil, errLost)
	require.Len(t, actions.Sends, 1)
	require.Equal(t, service.Targets[1], actions.Sends[0].Target)
}

func TestColdTargetGetsThisVMsShareOfItsRateLimit(t *testing.T) {
	service := services(1)[0]
	service.Targets = service.Targets[:1]
	service.Targets[0].ColdUntil = at(10 * time.Second)
	service.Targets[0].ColdPerSecond = 20
	shared, route := newSharedState(), singleRoute(service, true)
	sent := 0
	for ms := range 1000 {
		now := at(time.Duration(ms) * time.Millisecond)
		actions := fanout.New(shared, 4, fanout.Input{
			Route: route, Legs: []*routing.Service{service}, Received: now, Deadline: now.Add(time.Second),
		}).Start(now)
		sent += len(actions.Sends)
	}
	require.Equal(t, 5, sent)
}

// A VM that was paused sends nothing more for a request of before the pause, and waits for
// what it has sent.
func TestWithheldSendsFailOnlyLegsWithoutAttempts(t *testing.T) {
	m := newMachine(newSharedState(), gatheringRoute(services(4)), start)
	m.Start(start)
	for i := range 3 {
		m.Ended(at(5*time.Millisecond), i, goodReply("r"), nil)
	}
	hedge := m.Tick(at(40 * time.Millisecond))
	require.Len(t, hedge.Sends, 1)
	require.Nil(t, m.Withhold(at(40*time.Millisecond), hedge, "paused").Answer)
	actions := m.Ended(at(60*time.Millisecond), 3, goodReply("r"), nil)
	require.Equal(t, fanout.Complete, actions.Answer.Outcome)

	m = newMachine(newSharedState(), gatheringRoute(services(4)), start)
	actions = m.Withhold(start, m.Start(start), "paused")
	require.Equal(t, fanout.NotRun, actions.Answer.Outcome)
	require.Empty(t, actions.Sends)
}

// A VM that stops must not pass on what it would have to cut off.
func TestStoppingVMRejectsWhatItCannotFinish(t *testing.T) {
	route := singleRoute(services(1)[0], false)
	startWith := func(left time.Duration, stopping bool) fanout.Actions {
		m := fanout.New(newSharedState(), 1, fanout.Input{
			Route: route, Legs: []*routing.Service{route.WeightedServices[0].Service},
			Received: start, Deadline: start.Add(left), Stopping: stopping,
		})
		return m.Start(start)
	}
	require.Len(t, startWith(50*time.Millisecond, false).Sends, 1)
	require.Len(t, startWith(500*time.Millisecond, true).Sends, 1)
	for _, left := range []time.Duration{50 * time.Millisecond, 0, -time.Second} {
		actions := startWith(left, true)
		require.Empty(t, actions.Sends)
		require.Equal(t, fanout.NotRun, actions.Answer.Outcome)
	}
	require.Equal(t, fanout.NotRun, startWith(0, false).Answer.Outcome)
}

// Guards against callers being kept away for long because a service has no target yet, or
// only targets that leave: others may come at any moment.
func TestRetryAfterStatesLimitsOnly(t *testing.T) {
	shared := fanout.NewSharedState(nil, advisory.NewBoard())
	none := singleRoute(&routing.Service{Name: "s"}, true)
	require.Equal(t, 300*time.Millisecond, newMachine(shared, none, start).Start(start).Answer.RetryAfter)

	service := services(1)[0]
	service.Targets = service.Targets[:1]
	reply := notRunReply()
	reply.Advice.Pause = 2 * time.Second
	m := newMachine(shared, singleRoute(service, true), start)
	require.Len(t, m.Start(start).Sends, 1)
	m.Ended(start, 0, reply, nil)
	answer := newMachine(shared, singleRoute(service, true), at(500*time.Millisecond)).Start(at(500 * time.Millisecond)).Answer
	require.Equal(t, fanout.NotRun, answer.Outcome)
	require.Equal(t, 1500*time.Millisecond, answer.RetryAfter)
}
