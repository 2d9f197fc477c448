package coordinator_test

import (
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func crashReply(r *pb.SubRequest) *pb.SubReply {
	return statusReply(r, pb.SubStatus_SUB_STATUS_FAILED)
}

// countCrashes runs a search whose content crashes every target and returns how many
// targets executed it.
func countCrashes(t *testing.T, verdict search.Verdict) int {
	s := newScript(t, typicalShape())
	s.verdict = verdict
	s.start(request("r1"))
	ran := 0
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		ran++
		return crashReply(r)
	})
	require.Zero(t, s.answer.Coverage.Covered)
	return ran
}

func TestSuspectContentCrashesOneMoreTarget(t *testing.T) {
	require.Equal(t, 1, countCrashes(t, search.Suspect))
}

func TestUnprovenContentCrashesTwoTargets(t *testing.T) {
	require.Equal(t, 2, countCrashes(t, search.Unproven))
}

// Without a trial, content that crashes its targets reaches one target of each of the
// ten services at once, and one more on the first retry.
func TestClearContentCrashesOneTargetPerServiceAndOneMore(t *testing.T) {
	require.Equal(t, 11, countCrashes(t, search.Clear))
}

func TestSuspectContentRunsInFullAfterOneSuccess(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Suspect
	s.start(request("r1"))
	require.Len(t, s.open, 1)
	s.reply(s.open[0], goodReply(s.open[0].Request))
	require.Len(t, s.open, 9)
	s.finish(goodReply)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
}

func TestSuspectContentIsNeverHedged(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Suspect
	s.start(request("r1"))
	s.expire()
	require.Equal(t, 1, s.sends)
	require.Equal(t, pb.MissingReason_MISSING_REASON_QUARANTINED, s.answer.Coverage.Missing[19].Reason)
}

// Unproven content runs in one service only, on one target at a time and on at most two
// in total, until a target has answered.
func TestUnprovenContentStaysInOneService(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Unproven
	s.start(request("r1"))
	require.Len(t, s.open, 1)
	first := s.open[0]
	for range 5 {
		s.now = s.wakeAt
		s.apply(search.Event{Kind: search.TimerFired})
		require.Len(t, s.open, 1)
		require.LessOrEqual(t, s.sends, 2)
	}
	second := s.open[0]
	require.Equal(t, first.Request.Service, second.Request.Service)
	require.NotEqual(t, first.Owner.FailureDomain, second.Owner.FailureDomain)
	s.reply(second, goodReply(second.Request))
	require.Len(t, s.open, 9)
}

// A service that was unresponsive in a trial is skipped by later trials.
func TestTrialsSkipAnUnresponsiveService(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Unproven
	unresponsive := ""
	answered := 0
	for range 6 {
		s.start(request("r1"))
		if unresponsive == "" {
			unresponsive = s.open[0].Request.Service
		}
		for s.answer == nil {
			at := slices.IndexFunc(s.open, func(send search.Send) bool { return send.Request.Service != unresponsive })
			if at < 0 {
				s.now = s.wakeAt
				s.apply(search.Event{Kind: search.TimerFired})
				continue
			}
			s.reply(s.open[at], goodReply(s.open[at].Request))
		}
		if s.answer.Coverage.Covered == 18 {
			answered++
		}
	}
	require.GreaterOrEqual(t, answered, 4)
}

// An attempt that is cancelled for a hedge counts as an unproven run, so that the crash
// of the hedge ends the trial.
func TestUnprovenContentCrashesTwoTargetsWhenTheFirstIsSlow(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Unproven
	s.start(request("r1"))
	for s.sends < 2 {
		s.now = s.wakeAt
		s.apply(search.Event{Kind: search.TimerFired})
	}
	s.finish(crashReply)
	require.Equal(t, 2, s.sends)
	require.Zero(t, s.answer.Coverage.Covered)
}

// While a VM is paused or a failure domain is isolated, a slow first attempt of unproven
// content is cancelled for a hedge whose owner can't be reached, and neither can the
// owners of the remaining replicas. The first target is healthy and still covers the
// service.
func TestUnprovenContentReturnsToACancelledTargetWhenTheOthersAreUnreachable(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Unproven
	s.start(request("r1"))
	first := s.open[0]
	for s.sends < 2 {
		s.now = s.wakeAt
		s.apply(search.Event{Kind: search.TimerFired})
	}
	for s.open[0].Request.Target != first.Request.Target {
		s.fail(s.open[0], errors.Wrap(search.ErrNotSent, "connection refused"))
		require.Nil(t, s.answer)
	}
	require.Equal(t, 4, s.sends, "each target of the service once, and the first again")
	s.finish(goodReply)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
}

// The loss of a failure domain fails many services at once; clear content is still
// covered from the other domains.
func TestClearContentSurvivesTheLossOfADomain(t *testing.T) {
	s := newScript(t, typicalShape())
	s.start(request("r1"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		if r.Target[len(r.Target)-1] == '0' {
			return crashReply(r)
		}
		return goodReply(r)
	})
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
}

// An owner that considers the content suspect designates the target that may execute
// it. The refusal ejects no target and takes no token of the budget.
func TestSuspectContentGoesToTheDesignatedTarget(t *testing.T) {
	s := newScript(t, typicalShape())
	s.start(request("r1"))
	send := s.openSend("s4")
	designated := "s4-r0"
	if send.Request.Target == designated {
		designated = "s4-r1"
	}
	for _, other := range append([]search.Send(nil), s.open...) {
		if other.Request.Service != "s4" {
			s.reply(other, goodReply(other.Request))
		}
	}
	reply := statusReply(send.Request, pb.SubStatus_SUB_STATUS_NOT_DESIGNATED)
	reply.DesignatedTarget = designated
	s.reply(send, reply)
	redirected := s.openSend("s4")
	require.Equal(t, designated, redirected.Request.Target)
	require.False(t, redirected.Request.Extra)
	group := s.shared.Replicas.Group(replica.ServiceKey{Front: frontName, Service: "s4"})
	require.False(t, group.Ejected(send.Request.Target))
	s.reply(redirected, goodReply(redirected.Request))
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
	require.Zero(t, s.answer.ExtraSubrequests)
}

// Attempts that are queued at owners are cancelled when the content turns out to be
// quarantined.
func TestQuarantineCancelsQueuedAttempts(t *testing.T) {
	s := newScript(t, typicalShape())
	s.verdict = search.Unproven
	s.start(request("r1"))
	for s.sends < 2 {
		s.now = s.wakeAt
		s.apply(search.Event{Kind: search.TimerFired})
	}
	s.reply(s.open[0], statusReply(s.open[0].Request, pb.SubStatus_SUB_STATUS_QUARANTINED))
	require.NotNil(t, s.answer)
	require.Empty(t, s.open)
	require.Equal(t, map[pb.MissingReason]int{pb.MissingReason_MISSING_REASON_QUARANTINED: 20}, s.reasons())
}

// VMs that receive the same unproven content at the same time try it on the same
// target, whatever else each of them has in flight.
func TestUnprovenContentIsTriedOnOneTargetByAllVMs(t *testing.T) {
	want := ""
	for busy := range 4 {
		s := newScript(t, typicalShape())
		for range busy {
			s.start(request("other"))
		}
		s.verdict = search.Unproven
		s.start(request("r1"))
		first := s.open[0].Request.Target
		if want == "" {
			want = first
		}
		require.Equal(t, want, first)
	}
}
