package change_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/change"
	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// fixedView is a view.Source with one view.
type fixedView struct{ view *view.View }

func (f fixedView) Current() *view.View { return f.view }

// runners forwards submissions between runners in this process, by VM.
type runners map[string]*change.Runner

func (r runners) ForwardChange(ctx context.Context, vm view.VM, request *pb.SubmitChangeRequest) (*pb.ForwardChangeResponse, error) {
	return r[vm.ID].SubmitForwarded(ctx, request), nil
}

func (r runners) ForwardOutcome(_ context.Context, vm view.VM, request *pb.GetOutcomeRequest) (*pb.ForwardOutcomeResponse, error) {
	return r[vm.ID].OutcomeForwarded(request), nil
}

// newRunners returns the runners of two VMs of one failure domain that know each other.
func newRunners() (leaving, successor *change.Runner) {
	vm := func(id string) view.VM {
		return view.VM{ID: id, FailureDomain: "a", Incarnation: 1, PeerAddress: id, State: pb.MemberState_MEMBER_STATE_ALIVE}
	}
	vms := []view.VM{vm("leaving"), vm("successor")}
	all := runners{}
	for i, self := range vms {
		all[self.ID] = change.New(change.Options{
			Views:     fixedView{view.Build(view.Input{Self: self, VMs: vms[1-i : 2-i], Configuration: &pb.Configuration{}}, nil)},
			Forwarder: all, Decisions: decision.Discard{},
			Limits: &pb.LimitSettings{MaxTokens: 100, TokenValidMs: uint32(time.Minute.Milliseconds())},
		})
	}
	return all["leaving"], all["successor"]
}

// handOver hands the records of the leaving VM over after the given time.
func handOver(t *testing.T, leaving, successor *change.Runner, after time.Duration) {
	t.Helper()
	parts := leaving.Drain(t.Context())
	go func() {
		time.Sleep(after)
		for _, part := range parts {
			issuer := &pb.ChangeIssuer{Vm: part.Issuer.VM, FailureDomain: part.Issuer.FailureDomain, Incarnation: part.Issuer.Incarnation}
			successor.Accept(issuer, part.Records, true)
		}
	}()
}

// A VM that stops refuses changes some milliseconds before its successor has its records.
// Changes that arrive at either in between wait for that.
func TestChangeDuringHandoverIsServedBySuccessor(t *testing.T) {
	for _, at := range []string{"leaving", "successor"} {
		t.Run(at, func(t *testing.T) {
			leaving, successor := newRunners()
			issued, err := leaving.IssueToken()
			require.NoError(t, err)
			handOver(t, leaving, successor, 50*time.Millisecond)
			receiver := map[string]*change.Runner{"leaving": leaving, "successor": successor}[at]
			response := receiver.Submit(t.Context(), &pb.SubmitChangeRequest{Token: issued.Token, Change: &pb.Change{}})
			require.Equal(t, "successor", response.Vm)
			require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, response.Outcome, response.Reason)
			outcome := receiver.Outcome(t.Context(), &pb.GetOutcomeRequest{Token: issued.Token})
			require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, outcome.Outcome)
		})
	}
}

// The wait for a successor is bounded, and there is none for a process that no VM knows.
func TestChangeOfALostIssuerIsAnsweredInTime(t *testing.T) {
	leaving, successor := newRunners()
	issued, err := leaving.IssueToken()
	require.NoError(t, err)
	handOver(t, leaving, successor, time.Hour)
	began := time.Now()
	response := leaving.Submit(t.Context(), &pb.SubmitChangeRequest{Token: issued.Token, Change: &pb.Change{}})
	require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, response.Outcome)
	require.Less(t, time.Since(began), 2*time.Second)

	lost := token(t, change.Issuer{VM: "lost", FailureDomain: "a", Incarnation: 1}, 1, time.Now().Add(time.Minute))
	began = time.Now()
	response = leaving.Submit(t.Context(), &pb.SubmitChangeRequest{Token: lost.String(), Change: &pb.Change{}})
	require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, response.Outcome)
	require.Less(t, time.Since(began), 500*time.Millisecond)
}
