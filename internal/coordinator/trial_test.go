package coordinator_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/coordinator/replica"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func crash(r *pb.SubRequest) *pb.SubReply {
	return statusReply(r, pb.SubStatus_SUB_STATUS_FAILED)
}

// crashes runs a search whose content crashes each target and returns how many
// targets ran it.
func crashes(t *testing.T, verdict search.Verdict) int {
	s := newScript(t, typical())
	s.verdict = verdict
	s.start(request("r1"))
	ran := 0
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		ran++
		return crash(r)
	})
	require.Zero(t, s.answer.Coverage.Covered)
	return ran
}

func TestSuspectContentCrashesOneMoreTarget(t *testing.T) {
	require.Equal(t, 1, crashes(t, search.Suspect))
}

func TestUnprovenContentCrashesTwoTargets(t *testing.T) {
	require.Equal(t, 2, crashes(t, search.Unproven))
}

// Without the proof, content that was never seen reaches one target of each
// service at once, and one more on the retry.
func TestClearContentCrashesOneTargetOfEachServiceAndOneMore(t *testing.T) {
	require.Equal(t, 11, crashes(t, search.Clear))
}

func TestSuspectContentRunsInFullOnceATargetAnswered(t *testing.T) {
	s := newScript(t, typical())
	s.verdict = search.Suspect
	s.start(request("r1"))
	require.Len(t, s.open, 1)
	s.reply(s.open[0], goodReply(s.open[0].Request))
	require.Len(t, s.open, 9)
	s.finish(goodReply)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
}

func TestSuspectContentIsNeverHedged(t *testing.T) {
	s := newScript(t, typical())
	s.verdict = search.Suspect
	s.start(request("r1"))
	s.expire()
	require.Equal(t, 1, s.sends)
	require.Equal(t, pb.MissingReason_MISSING_REASON_QUARANTINED, s.answer.Coverage.Missing[19].Reason)
}

// Unproven content stays in one service, on one target at a time and on two in
// all, until one has answered.
func TestUnprovenContentStaysInOneService(t *testing.T) {
	s := newScript(t, typical())
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

// A service that does not answer is not used for trials again.
func TestTrialsPassOverASilentService(t *testing.T) {
	s := newScript(t, typical())
	s.verdict = search.Unproven
	silent := ""
	answered := 0
	for range 6 {
		s.start(request("r1"))
		if silent == "" {
			silent = s.open[0].Request.Service
		}
		for s.answer == nil {
			at := slices.IndexFunc(s.open, func(send search.Send) bool { return send.Request.Service != silent })
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

// A crash that shows only after the hedge was sent is still one of two.
func TestUnprovenContentCrashesTwoTargetsWhenTheFirstIsSlow(t *testing.T) {
	s := newScript(t, typical())
	s.verdict = search.Unproven
	s.start(request("r1"))
	for s.sends < 2 {
		s.now = s.wakeAt
		s.apply(search.Event{Kind: search.TimerFired})
	}
	s.finish(crash)
	require.Equal(t, 2, s.sends)
	require.Zero(t, s.answer.Coverage.Covered)
}

// A failure domain that dies fails many services at once; clean content is still
// covered from the other domains.
func TestCleanContentSurvivesTheLossOfADomain(t *testing.T) {
	s := newScript(t, typical())
	s.start(request("r1"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		if r.Target[len(r.Target)-1] == '0' {
			return crash(r)
		}
		return goodReply(r)
	})
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
}

// An owner that knows of a suspicion names the target that may run the content;
// the refusal sets no target aside and costs no budget.
func TestSuspectContentGoesToTheDesignatedTarget(t *testing.T) {
	s := newScript(t, typical())
	s.start(request("r1"))
	send := s.sent("s4")
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
	again := s.sent("s4")
	require.Equal(t, designated, again.Request.Target)
	require.False(t, again.Request.Extra)
	group := s.shared.Replicas.Group(replica.ServiceKey{Front: frontName, Service: "s4"})
	require.False(t, group.Ejected(send.Request.Target))
	s.reply(again, goodReply(again.Request))
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
	require.Zero(t, s.answer.ExtraSubrequests)
}

// What waits at owners when the content is found to be quarantined is cancelled.
func TestQuarantineCancelsWhatIsStillWaiting(t *testing.T) {
	s := newScript(t, typical())
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
// target, whatever each of them has running.
func TestUnprovenContentIsTriedOnOneTargetByAllVMs(t *testing.T) {
	wanted := ""
	for busy := range 4 {
		s := newScript(t, typical())
		for range busy {
			s.start(request("other"))
		}
		s.verdict = search.Unproven
		s.start(request("r1"))
		first := s.open[0].Request.Target
		if wanted == "" {
			wanted = first
		}
		require.Equal(t, wanted, first)
	}
}
