package e2e_test

import (
	"fmt"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

func submitWithKey(t *testing.T, vm *testkit.VM, key string, change *pb.Change) *pb.SubmitChangeResponse {
	t.Helper()
	response, err := vm.Caller.SubmitChange(t.Context(), connect.NewRequest(&pb.SubmitChangeRequest{
		CallerKey: key, Change: change, TimeLimitMs: timeLimitMs,
	}))
	require.NoError(t, err)
	return response.Msg
}

// A change with a caller key (an idempotency key chosen by the caller) runs once,
// although every VM receives it concurrently and answers of the store are lost.
// During a store outage nothing runs under a new key, and the outcome is UNKNOWN
// because an earlier submission cannot be ruled out. Once the store is back, the
// key can be used.
func TestChangeUnderACallerKeyRunsOnce(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	awaitGuardTime()
	service := d.Profile.Configuration().Fronts[1].Services[0].Name
	for n := range 10 {
		change := &pb.Change{Front: "register", Kind: &pb.Change_Edit{Edit: &pb.RecordEdit{
			RecordId: profile.RecordID(service, n), Fields: []*pb.Field{{Name: "remark", Value: "keyed"}},
		}}}
		key := fmt.Sprintf("form-%d", n)
		require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{LosePutAnswers: uint32(n % 3)}))
		var submissions sync.WaitGroup
		for _, vm := range d.VMs {
			submissions.Go(func() { _ = submitWithKey(t, vm, key, change) })
		}
		submissions.Wait()
		require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{}))
		last := submitWithKey(t, d.VMs[0], key, change)
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, last.Outcome, last.String())
		requireEffects(t, d, last.Token, 1)
	}
	change := transfer(t, d, 5)
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{Outage: true}))
	refused := submitWithKey(t, d.VMs[1], "form-outage", change)
	require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, refused.Outcome)
	require.Contains(t, refused.Reason, "this submission ran nothing")
	require.NoError(t, d.StoreFault(t.Context(), &standinv1.SetStoreFaultRequest{}))
	later := submitWithKey(t, d.VMs[2], "form-outage", change)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, later.Outcome, later.String())
	requireEffects(t, d, later.Token, 1)
	counters, err := d.Counters(t.Context(), nil)
	require.NoError(t, err)
	require.Zero(t, counters.ChangesDoubled)
	require.EqualValues(t, 11, counters.ChangesApplied)
}
