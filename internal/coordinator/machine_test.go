package coordinator_test

import (
	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

func smallShape() shape {
	return shape{services: 3, replicas: 3, partitions: 2, slots: 2, snapshots: []uint64{1, 3}}
}

// withHeld sets the snapshots that the target reports as held.
func withHeld(reply *pb.SubReply, held ...uint64) *pb.SubReply {
	reply.HeldSnapshots = held
	return reply
}

func goneReply(r *pb.SubRequest, held ...uint64) *pb.SubReply {
	return withHeld(statusReply(r, pb.SubStatus_SUB_STATUS_SNAPSHOT_GONE), held...)
}

func TestDefectiveRepliesAreDiscardedAndRetried(t *testing.T) {
	defects := map[string]func(*pb.SubReply){
		"another request":   func(r *pb.SubReply) { r.RequestId = "other" },
		"another attempt":   func(r *pb.SubReply) { r.Attempt += 7 },
		"another target":    func(r *pb.SubReply) { r.Target = "s9-r9" },
		"another snapshot":  func(r *pb.SubReply) { r.Snapshot = 1 },
		"truncated":         func(r *pb.SubReply) { r.Results[1].Rows = r.Results[1].Rows[:1] },
		"foreign partition": func(r *pb.SubReply) { r.Results[1].Partition = "p9" },
		"partition twice":   func(r *pb.SubReply) { r.Results[1] = r.Results[0] },
		"row of a snapshot": func(r *pb.SubReply) { r.Results[0].Rows[1].Snapshot = 1 },
		"row of a service":  func(r *pb.SubReply) { r.Results[0].Rows[1].Service = "s2" },
		"no result message": func(r *pb.SubReply) { r.Results[0] = nil },
	}
	for name, corrupt := range defects {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, smallShape())
			s.start(request("r1"))
			send := s.openSend("s1")
			reply := goodReply(send.Request)
			corrupt(reply)
			s.reply(send, reply)
			require.Equal(t, 1, s.counts.Discarded)
			retry := s.openSend("s1")
			require.Equal(t, search.Retry, retry.Kind)
			require.NotEqual(t, send.Request.Target, retry.Request.Target)
			s.finish(goodReply)
			require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
			require.Len(t, s.answer.Rows, 12)
		})
	}
}

func TestLateAndDuplicatedRepliesCountOnce(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	send := s.openSend("s0")
	s.reply(send, goodReply(send.Request))
	s.reply(send, goodReply(send.Request))
	require.Equal(t, 1, s.counts.Discarded)
	s.finish(goodReply)
	require.Len(t, s.answer.Rows, 12)
	require.EqualValues(t, 6, s.answer.Coverage.Covered)
}

func TestOmittedPartitionsAreRetriedAtAnotherReplica(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	send := s.openSend("s0")
	reply := goodReply(send.Request)
	reply.Results = reply.Results[:1]
	s.reply(send, reply)
	retry := s.openSend("s0")
	require.Equal(t, []string{"p1"}, retry.Request.Partitions)
	s.finish(goodReply)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
	require.Len(t, s.answer.Rows, 12)
}

func TestSnapshotGoneRetriesTheSameSnapshotAtAnotherReplica(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	send := s.openSend("s0")
	require.EqualValues(t, 3, send.Request.Snapshot)
	s.reply(send, goneReply(send.Request, 1))
	retry := s.openSend("s0")
	require.EqualValues(t, 3, retry.Request.Snapshot)
	s.finish(goodReply)
	require.EqualValues(t, 3, s.answer.Snapshot)
	require.Zero(t, s.counts.Restarts)
}

func TestSnapshotGoneEverywhereRestartsTheWholeSearch(t *testing.T) {
	s := newScript(t, smallShape())
	replyTo := func(r *pb.SubRequest) *pb.SubReply {
		switch {
		case r.Service == "s0" && r.Snapshot == 3:
			return goneReply(r, 1)
		case r.Service == "s0":
			return withHeld(goodReply(r), 1)
		}
		return withHeld(goodReply(r), 1, 3)
	}
	s.start(request("r1"))
	s.finish(replyTo)
	require.Equal(t, 1, s.counts.Restarts)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, s.answer.Outcome)
	require.EqualValues(t, 1, s.answer.Snapshot)
	require.Len(t, s.answer.Rows, 12)
	for _, row := range s.answer.Rows {
		require.EqualValues(t, 1, row.Snapshot)
	}

	s.start(request("r2"))
	s.finish(replyTo)
	require.Zero(t, s.counts.Restarts, "the next search must pin the snapshot that is held")
	require.EqualValues(t, 1, s.answer.Snapshot)

	s.now = s.now.Add(time.Second)
	s.start(request("r3"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply { return withHeld(goodReply(r), 1, 3) })
	s.start(request("r4"))
	s.finish(goodReply)
	require.EqualValues(t, 3, s.answer.Snapshot, "the newer snapshot must be pinned once it is held")
}

func TestSnapshotGoneWithoutAlternativeIsReported(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		if r.Service == "s0" {
			return goneReply(r)
		}
		return goodReply(r)
	})
	require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, s.answer.Outcome)
	require.Equal(t, map[pb.MissingReason]int{pb.MissingReason_MISSING_REASON_SNAPSHOT_GONE: 2}, s.reasons())
}

func TestWrongOwnerIsRedirectedOnceWithoutExtraLoad(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	send := s.openSend("s0")
	reply := statusReply(send.Request, pb.SubStatus_SUB_STATUS_NOT_OWNER)
	reply.OwnerHint = anotherOwner(s.view, send)
	s.reply(send, reply)
	redirected := s.openSend("s0")
	require.Equal(t, search.Redirect, redirected.Kind)
	require.Equal(t, reply.OwnerHint, redirected.Owner.ID)
	require.Equal(t, send.Request.Target, redirected.Request.Target)
	require.False(t, redirected.Request.Extra)

	wrong := statusReply(redirected.Request, pb.SubStatus_SUB_STATUS_NOT_OWNER)
	wrong.OwnerHint = send.Owner.ID
	s.reply(redirected, wrong)
	other := s.openSend("s0")
	require.NotEqual(t, send.Request.Target, other.Request.Target)
	require.Equal(t, search.Redirect, other.Kind)
	s.finish(goodReply)
	require.Zero(t, s.answer.ExtraSubrequests)
}

// After attempts that are known to have reached no target, every other replica is
// tried once although the budget is empty.
func TestRetriesOfUnreachedAttemptsNeedNoBudget(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	for s.shared.Budgets.Front(frontName, budget.Config{SharePercent: 5, Services: smallShape().services}).Spend(budget.Retry) {
	}
	tried := map[string]bool{}
	for range 3 {
		send := s.openSend("s0")
		require.False(t, tried[send.Request.Target])
		tried[send.Request.Target] = true
		require.False(t, send.Request.Extra)
		s.fail(send, errors.Wrap(search.ErrNotSent, "connection refused"))
	}
	s.finish(goodReply)
	require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, s.answer.Outcome)
	require.Equal(t, map[pb.MissingReason]int{pb.MissingReason_MISSING_REASON_UNREACHABLE: 2}, s.reasons())
}

func anotherOwner(v *view.View, send search.Send) string {
	for _, vm := range v.DomainVMs(send.Owner.FailureDomain) {
		if vm.ID != send.Owner.ID {
			return vm.ID
		}
	}
	return ""
}

func TestMissingReasonsMatchTheFailure(t *testing.T) {
	cases := map[pb.MissingReason]func(s *machineScript, send search.Send){
		pb.MissingReason_MISSING_REASON_REFUSED: func(s *machineScript, send search.Send) {
			s.reply(send, statusReply(send.Request, pb.SubStatus_SUB_STATUS_SHED))
		},
		pb.MissingReason_MISSING_REASON_UNREACHABLE: func(s *machineScript, send search.Send) {
			s.fail(send, errors.New("connection refused"))
		},
		pb.MissingReason_MISSING_REASON_FAILED: func(s *machineScript, send search.Send) {
			s.reply(send, statusReply(send.Request, pb.SubStatus_SUB_STATUS_FAILED))
		},
		pb.MissingReason_MISSING_REASON_QUARANTINED: func(s *machineScript, send search.Send) {
			s.reply(send, statusReply(send.Request, pb.SubStatus_SUB_STATUS_QUARANTINED))
		},
	}
	for reason, act := range cases {
		t.Run(reason.String(), func(t *testing.T) {
			s := newScript(t, smallShape())
			s.start(request("r1"))
			for _, service := range []string{"s1", "s2"} {
				send := s.openSend(service)
				s.reply(send, goodReply(send.Request))
			}
			for s.answer == nil {
				act(s, s.openSend("s0"))
			}
			require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, s.answer.Outcome)
			require.Equal(t, map[pb.MissingReason]int{reason: 2}, s.reasons())
		})
	}
}

func TestNotRunIsReportedOnlyWhenNothingCanHaveRun(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply { return statusReply(r, pb.SubStatus_SUB_STATUS_SHED) })
	require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, s.answer.Outcome)

	s = newScript(t, smallShape())
	s.start(request("r1"))
	s.fail(s.openSend("s0"), errors.New("connection reset"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply { return statusReply(r, pb.SubStatus_SUB_STATUS_SHED) })
	require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, s.answer.Outcome)
	require.Zero(t, s.answer.Coverage.Covered)
}

func TestRefusalsBeforeAnythingIsSent(t *testing.T) {
	cases := map[string]func(s *machineScript, r *pb.SearchRequest){
		"paused": func(s *machineScript, _ *pb.SearchRequest) {
			s.view = view.Build(view.Input{Self: vms()[0], VMs: vms(), Configuration: configuration(smallShape()), Paused: true}, nil)
		},
		"no configuration": func(s *machineScript, _ *pb.SearchRequest) {
			s.view = view.Build(view.Input{Self: vms()[0], VMs: vms()}, nil)
		},
		"unknown front":    func(_ *machineScript, r *pb.SearchRequest) { r.Front = "other" },
		"quarantined":      func(s *machineScript, _ *pb.SearchRequest) { s.verdict = search.Quarantined },
		"no partition map": func(s *machineScript, _ *pb.SearchRequest) { s.view = viewOf(configuration(shape{services: 1}), 0) },
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, smallShape())
			r := request("r1")
			arrange(s, r)
			s.start(r)
			require.Zero(t, s.sends)
			require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, s.answer.Outcome)
			require.False(t, s.answer.Coverage.MapKnown)
			require.NotEmpty(t, s.answer.Reason)
		})
	}
}

func TestTakenOutReplicasAreNeverQueried(t *testing.T) {
	config := configuration(smallShape())
	config.FailureDomains[0].State = takenOut
	for _, target := range config.Fronts[0].Services[1].Targets {
		target.State = takenOut
	}
	s := newScript(t, smallShape())
	s.view = viewOf(config, 0)
	s.start(request("r1"))
	for _, send := range s.open {
		require.NotEqual(t, "a", send.Owner.FailureDomain)
		require.NotEqual(t, "s1", send.Request.Service)
	}
	s.finish(goodReply)
	require.Equal(t, map[pb.MissingReason]int{pb.MissingReason_MISSING_REASON_TAKEN_OUT: 2}, s.reasons())
}

func TestSendsAfterAViewChangeUseTheNewView(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	send := s.openSend("s0")
	config := proto.CloneOf(configuration(smallShape()))
	config.Revision = 2
	for i := range config.FailureDomains {
		if config.FailureDomains[i].Name != send.Owner.FailureDomain {
			config.FailureDomains[i].State = takenOut
		}
	}
	s.view = viewOf(config, 0)
	s.reply(send, statusReply(send.Request, pb.SubStatus_SUB_STATUS_UNAVAILABLE))
	for _, later := range s.open {
		require.NotEqual(t, "s0", later.Request.Service, "only taken-out replicas were left")
	}
}

func TestMinimumCoverageWithholdsRows(t *testing.T) {
	s := newScript(t, smallShape())
	r := request("r1")
	r.MinimumCoveragePercent = 80
	s.start(r)
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		if r.Service == "s0" {
			return statusReply(r, pb.SubStatus_SUB_STATUS_UNAVAILABLE)
		}
		return goodReply(r)
	})
	require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, s.answer.Outcome)
	require.Empty(t, s.answer.Rows)
	require.Contains(t, s.answer.Reason, "80 %")
	require.EqualValues(t, 4, s.answer.Coverage.Covered)
}

func TestRowLimitReportsTheOmittedRows(t *testing.T) {
	s := newScript(t, smallShape())
	r := request("r1")
	r.RowLimit = 5
	s.start(r)
	s.finish(goodReply)
	require.Len(t, s.answer.Rows, 5)
	require.EqualValues(t, 7, s.answer.RowsBeyondLimit)
	require.IsIncreasing(t, recordIDs(s.answer))
}

func TestExplainReturnsTheDecisions(t *testing.T) {
	s := newScript(t, smallShape())
	r := request("r1")
	r.Explain = true
	s.start(r)
	s.finish(goodReply)
	require.Equal(t, pb.DecisionKind_DECISION_KIND_PIN, s.answer.Decisions[0].Kind)
	require.Len(t, s.answer.Decisions, 7)
}

func TestDigestCoversOnlyTheContent(t *testing.T) {
	a := &pb.SearchRequest{RequestId: "1", Front: "f", TimeLimitMs: 5, Conditions: []*pb.Condition{
		{Field: "x", Operator: pb.Operator_OPERATOR_EQUAL, Value: "1"}, {Field: "y", Operator: pb.Operator_OPERATOR_LESS, Value: "2"},
	}}
	b := &pb.SearchRequest{RequestId: "2", Front: "f", Conditions: []*pb.Condition{a.Conditions[1], a.Conditions[0], a.Conditions[0]}}
	require.Equal(t, coordinator.Digest(a), coordinator.Digest(b))
	b.Conditions[0] = &pb.Condition{Field: "x1", Operator: pb.Operator_OPERATOR_EQUAL, Value: ""}
	require.NotEqual(t, coordinator.Digest(a), coordinator.Digest(b))
}

func TestRowsOmittedByTargetsAreCounted(t *testing.T) {
	s := newScript(t, smallShape())
	s.start(request("r1"))
	s.finish(func(r *pb.SubRequest) *pb.SubReply {
		reply := goodReply(r)
		reply.Results[0].Matched = 100
		return reply
	})
	require.Len(t, s.answer.Rows, 12)
	require.EqualValues(t, 3*98, s.answer.RowsBeyondLimit)
}

// The answer is given at the deadline even when the next hedge would be due later.
func TestTimerIsNeverLaterThanTheDeadline(t *testing.T) {
	for _, limit := range []time.Duration{15 * time.Millisecond, 30 * time.Millisecond} {
		s := newScript(t, smallShape())
		s.limit = limit
		startedAt := s.now
		s.start(request("r1"))
		s.expire()
		require.Equal(t, limit, s.now.Sub(startedAt))
		require.Equal(t, map[pb.MissingReason]int{pb.MissingReason_MISSING_REASON_DEADLINE: 6}, s.reasons())
	}
}
