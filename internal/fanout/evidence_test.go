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
	"github.com/carawayreel/carawayreel/internal/quarantine"
)

// endWith runs a request with the crashing content that one target gets, and ends it with
// the reply or the error.
func endWith(shared *fanout.SharedState, now time.Time, reply *backend.Reply, err error) {
	route := singleRoute(services(1)[0], false)
	m := fanout.New(shared, 1, fanout.Input{
		Route: route, Legs: services(1), Received: now, Deadline: now.Add(route.TimeLimit),
		Content: quarantine.Content{Exact: crashingContent},
	})
	sends := m.Start(now).Sends
	m.Ended(now.Add(time.Millisecond), sends[0].Attempt, reply, err)
}

// admissionAfter returns how the crashing content may be sent after a lost reply and the
// given end of the next send.
func admissionAfter(reply *backend.Reply, err error) quarantine.Admission {
	guard := quarantine.NewGuard(quarantine.New(quarantine.DefaultLimits()))
	shared := fanout.NewSharedState(guard, advisory.NewBoard())
	endWith(shared, start, nil, errors.Wrap(backend.ErrNoReply, "connection reset"))
	endWith(shared, start.Add(time.Second), reply, err)
	admission, _ := guard.Check(quarantine.Content{Exact: crashingContent}, start.Add(2*time.Second))
	return admission
}

// Guards against a failure, such as that of a target whose time is over before it crashes,
// withdrawing what is known of a content.
func TestOnlyAReplyWithAReceiptProvesAContent(t *testing.T) {
	withStatus := func(status int, receipt string) *backend.Reply {
		return &backend.Reply{Status: status, ReplyMetadata: backend.ReplyMetadata{Receipt: receipt}}
	}
	require.Equal(t, quarantine.Admitted, admissionAfter(goodReply("r"), nil))
	require.Equal(t, quarantine.Admitted, admissionAfter(withStatus(http.StatusNotFound, "r"), nil))
	require.Equal(t, quarantine.OnTrial, admissionAfter(withStatus(http.StatusGatewayTimeout, "r"), nil))
	require.Equal(t, quarantine.OnTrial, admissionAfter(withStatus(http.StatusInternalServerError, "r"), nil))
	require.Equal(t, quarantine.OnTrial, admissionAfter(withStatus(http.StatusOK, ""), nil))
	require.Equal(t, quarantine.OnTrial, admissionAfter(notRunReply(), nil))
}

// Guards against a crash being overlooked because the part of the reply that the target has
// sent looks complete without a length.
func TestReplyWithoutReceiptThatEndsWithItsConnectionIsALoss(t *testing.T) {
	reply := &backend.Reply{Status: http.StatusOK, EndsWithConnection: true}
	require.Equal(t, quarantine.Refused, admissionAfter(reply, nil))
	reply.Receipt = "r"
	require.Equal(t, quarantine.Admitted, admissionAfter(reply, nil))
}

// Guards against a gathered request that crashes its targets taking two of each shard: while
// no target has replied, no other one may get it.
func TestGatheredRequestIsHedgedOnlyAfterAReply(t *testing.T) {
	guard := quarantine.NewGuard(quarantine.New(quarantine.DefaultLimits()))
	shared := fanout.NewSharedState(guard, advisory.NewBoard())
	shared.SetLimits(fanout.Limits{Share: 0.2, Slack: 100, Window: 10 * time.Second})
	route := gatheringRoute(services(4))
	m := newMachine(shared, route, start)
	first := m.Start(start)
	require.Len(t, first.Sends, 4)
	now := start
	for wakeAt := first.WakeAt; wakeAt.Before(start.Add(route.TimeLimit / 2)); {
		now = wakeAt
		actions := m.Tick(now)
		require.Empty(t, actions.Sends, "at %s", now.Sub(start))
		wakeAt = actions.WakeAt
	}
	require.Greater(t, now.Sub(start), 50*time.Millisecond)
	m.Ended(now, first.Sends[0].Attempt, goodReply("r"), nil)
	hedges := m.Tick(now.Add(50 * time.Millisecond)).Sends
	require.NotEmpty(t, hedges)
	require.Equal(t, fanout.Hedge, hedges[0].Reason)
}

// Guards against a crash being overlooked that only the relay of a batch sees, because it
// has returned the batch without that target.
func TestRelayKeepsWhatTheLossOfAStragglerShows(t *testing.T) {
	guard := quarantine.NewGuard(quarantine.New(quarantine.DefaultLimits()))
	shared := fanout.NewSharedState(guard, advisory.NewBoard())
	route, content := gatheringRoute(services(8)), quarantine.Content{Exact: crashingContent}
	r := fanout.NewRelaying(shared, route, content, firstTargets(route), start, 30*time.Millisecond)
	require.ErrorIs(t, r.Results()[0].Err, backend.ErrUnfinished)
	r.Ended(start.Add(70*time.Millisecond), 0, fanout.Result{Err: errors.Wrap(backend.ErrNoReply, "connection reset")})
	admission, _ := guard.Check(content, start.Add(80*time.Millisecond))
	require.Equal(t, quarantine.OnTrial, admission)
}
