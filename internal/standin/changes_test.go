package standin

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

func editRequest(token string) *connect.Request[pb.TargetApplyRequest] {
	return connect.NewRequest(&pb.TargetApplyRequest{
		Token:       token,
		Service:     "register",
		RemainingUs: time.Minute.Microseconds(),
		Change: &pb.Change{Front: "register", Kind: &pb.Change_Edit{Edit: &pb.RecordEdit{
			RecordId: "register:0",
			Fields:   []*pb.Field{{Name: "litres", Value: "200"}},
		}}},
	})
}

func TestDroppedAnswerKeepsEffect(t *testing.T) {
	for _, hang := range []bool{false, true} {
		f := startFixture(t, nil)
		f.injectFault(registerTarget, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_DROP_ANSWER, Count: 1, Hang: hang})
		request := editRequest("t1")
		if hang {
			request.Msg.RemainingUs = (200 * time.Millisecond).Microseconds()
		}
		_, err := f.targetClient(registerTarget).Apply(t.Context(), request)
		require.Error(t, err)
		require.EqualValues(t, 1, f.effectCount("t1"))
		response, err := f.targetClient("register-2").Apply(t.Context(), editRequest("t1"))
		require.NoError(t, err)
		require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, response.Msg.Status)
		require.EqualValues(t, 2, f.effectCount("t1"))
		counters, err := f.admin.GetCounters(t.Context(), connect.NewRequest(&standinv1.GetCountersRequest{}))
		require.NoError(t, err)
		require.EqualValues(t, 2, counters.Msg.ChangesApplied)
		require.EqualValues(t, 1, counters.Msg.ChangesDoubled)
		require.EqualValues(t, 1, f.counters(registerTarget).AnswersDropped)
	}
}

func (f *fixture) effectCount(token string) uint32 {
	f.t.Helper()
	response, err := f.admin.GetEffects(f.t.Context(), connect.NewRequest(&standinv1.GetEffectsRequest{Token: token}))
	require.NoError(f.t, err)
	var count uint32
	for _, e := range response.Msg.Effects {
		count += e.Count
	}
	return count
}

func TestTransferChangesHolder(t *testing.T) {
	f := startFixture(t, nil)
	cask, found := f.options.Profile.Record("register", "register:1", profile.NewestVersion)
	require.True(t, found)
	holder, _ := profile.FieldValue(cask, "holder")
	transfer := func(token, from, to string) *pb.TargetApplyResponse {
		request := editRequest(token)
		request.Msg.Change.Kind = &pb.Change_Transfer{Transfer: &pb.TitleTransfer{CaskId: "register:1", FromHolder: from, ToHolder: to}}
		response, err := f.targetClient(registerTarget).Apply(t.Context(), request)
		require.NoError(t, err)
		return response.Msg
	}
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, transfer("t1", holder, "Buyer").Status)
	rejected := transfer("t2", holder, "Other")
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_REJECTED, rejected.Status)
	require.Contains(t, rejected.Reason, "Buyer")
	require.Zero(t, f.effectCount("t2"))
	require.Equal(t, pb.TargetStatus_TARGET_STATUS_OK, transfer("t3", "Buyer", "Other").Status)
}

func TestInvalidChangesAreRejected(t *testing.T) {
	log := newChangeLog(startFixture(t, nil).options.Profile)
	for _, id := range []string{"", "register:", "register:x", "register:-1", "register:100000", "archive-01:1"} {
		request := editRequest("t").Msg
		request.Change.GetEdit().RecordId = id
		require.NotEmpty(t, log.apply("register", "register", registerTarget, request), id)
	}
	request := editRequest("t").Msg
	request.Change.GetEdit().Fields[0].Name = "parish"
	require.NotEmpty(t, log.apply("register", "register", registerTarget, request))
	applied, _ := log.totals()
	require.Zero(t, applied)
}
