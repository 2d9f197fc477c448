package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// maxPoisonCrashes is the number of targets that one request content may crash
// in total.
const maxPoisonCrashes = 2

// A poison request, which crashes every target that runs it, crashes at most two
// targets even if it is resent through every VM. Other searches keep full
// coverage.
func TestPoisonRequestCrashesTwoTargetsAtMost(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 2})
	poison := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_POISON, Value: "poison"}
	require.NoError(t, d.Fault(t.Context(), &standinv1.Selector{}, poison))
	for i, vm := range d.VMs {
		response, err := vm.Caller.Search(t.Context(), connect.NewRequest(&pb.SearchRequest{
			RequestId: fmt.Sprintf("poison-%d", i), Front: "archive", TimeLimitMs: 1000,
			Conditions: []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_EQUAL, Value: "poison"}},
		}))
		require.NoError(t, err)
		require.NotEqual(t, pb.Outcome_OUTCOME_SUCCESS, response.Msg.Outcome)
	}
	time.Sleep(time.Second)
	counters, err := d.Counters(t.Context(), nil)
	require.NoError(t, err)
	crashes := uint64(0)
	for _, target := range counters.Targets {
		crashes += target.Crashes
	}
	require.LessOrEqual(t, crashes, uint64(maxPoisonCrashes))
	for _, vm := range d.VMs {
		condition := prefix("name", "V")
		answer := search(t, vm, "archive", condition)
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome, answer.String())
		requireSeededRows(t, d, "archive", answer, condition)
	}
}
