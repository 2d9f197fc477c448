package cli_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/cli"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/transport"
)

// fakeVM returns the responses that the test sets and records the requests.
type fakeVM struct {
	carawayreelv1connect.UnimplementedAdminServiceHandler

	address string

	mu sync.Mutex
	// abortMethod is the method whose calls are counted and then aborted by closing the
	// connection.
	abortMethod   string
	calls         map[string]int
	search        *pb.SearchResponse
	submit        *pb.SubmitChangeResponse
	outcome       *pb.GetOutcomeResponse
	apply         *pb.ApplyConfigurationResponse
	configuration *pb.Configuration
	decisions     []*pb.Decision
	searches      []*pb.SearchRequest
	changes       []*pb.SubmitChangeRequest
	applied       []*pb.ApplyConfigurationRequest
	servingStates []*pb.SetServingStateRequest
	pushed        []*pb.PushConfigurationRequest
}

func startVM(t *testing.T, wrap func(http.Handler) http.Handler) *fakeVM {
	t.Helper()
	vm := &fakeVM{
		calls:   map[string]int{},
		search:  &pb.SearchResponse{Outcome: pb.Outcome_OUTCOME_SUCCESS, Coverage: &pb.Coverage{Covered: 1, Total: 1, MapKnown: true}},
		submit:  &pb.SubmitChangeResponse{Outcome: pb.Outcome_OUTCOME_SUCCESS},
		outcome: &pb.GetOutcomeResponse{Outcome: pb.Outcome_OUTCOME_SUCCESS},
		apply:   &pb.ApplyConfigurationResponse{Status: pb.ApplyStatus_APPLY_STATUS_ACCEPTED, Revision: 13},
		configuration: &pb.Configuration{Revision: 12, Fronts: []*pb.Front{{
			Name: "f", Limits: &pb.FrontLimits{DefaultTimeLimitMs: 140, DefaultRowLimit: 50, ExtraLoadPercent: 5},
		}}},
	}
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewCallerServiceHandler(fakeCallerService{vm}))
	mux.Handle(carawayreelv1connect.NewAdminServiceHandler(vm))
	if wrap == nil {
		wrap = func(next http.Handler) http.Handler { return next }
	}
	server, err := transport.Listen("127.0.0.1:0", wrap(vm.countCalls(mux)))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	vm.address = server.Address()
	return vm
}

func (vm *fakeVM) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		method := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		vm.mu.Lock()
		vm.calls[method]++
		abort := vm.abortMethod == method
		vm.mu.Unlock()
		if abort {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (vm *fakeVM) count(method string) int {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.calls[method]
}

type fakeCallerService struct{ vm *fakeVM }

func (c fakeCallerService) Search(_ context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	c.vm.searches = append(c.vm.searches, r.Msg)
	return connect.NewResponse(c.vm.search), nil
}

func (fakeCallerService) IssueToken(context.Context, *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return connect.NewResponse(&pb.IssueTokenResponse{Token: "fetched", ValidForMs: 60000}), nil
}

func (c fakeCallerService) SubmitChange(_ context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	c.vm.changes = append(c.vm.changes, r.Msg)
	return connect.NewResponse(c.vm.submit), nil
}

func (c fakeCallerService) GetOutcome(context.Context, *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	return connect.NewResponse(c.vm.outcome), nil
}

func (vm *fakeVM) GetConfiguration(context.Context, *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	return connect.NewResponse(&pb.GetConfigurationResponse{Configuration: vm.configuration, AgeMs: 10}), nil
}

func (vm *fakeVM) ApplyConfiguration(_ context.Context, r *connect.Request[pb.ApplyConfigurationRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	vm.applied = append(vm.applied, r.Msg)
	return connect.NewResponse(vm.apply), nil
}

func (vm *fakeVM) SetServingState(_ context.Context, r *connect.Request[pb.SetServingStateRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	vm.servingStates = append(vm.servingStates, r.Msg)
	return connect.NewResponse(vm.apply), nil
}

func (vm *fakeVM) PushConfiguration(_ context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	vm.pushed = append(vm.pushed, r.Msg)
	return connect.NewResponse(&pb.PushConfigurationResponse{Revision: r.Msg.Configuration.Revision}), nil
}

func (vm *fakeVM) GetStatus(context.Context, *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	return connect.NewResponse(&pb.GetStatusResponse{
		Vm: "vm-a-1", FailureDomain: "a", Ready: true, HedgeBudgetLeft: 17, ConfigurationAgeMs: 700,
		Members: []*pb.Member{{Vm: "vm-a-1", FailureDomain: "a"}},
		Targets: []*pb.TargetStatusReport{{Target: "t-1", Front: "f", Service: "s", Owner: "vm-a-1", Phase: pb.TargetPhase_TARGET_PHASE_RAMP}},
		Rollouts: []*pb.RolloutReport{{
			Rollout: &pb.Rollout{Service: "s", Version: "v2", State: pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, Reason: "fails more often", Evidence: []*pb.RolloutEvidence{{Route: "r", Sum: 15.2}}},
			Totals:  []*pb.VersionEvidence{{Route: "r", Version: "v2", Replies: 20, Failures: 7, ReplyTimes: []uint64{9, 0, 4}}},
		}},
	}), nil
}

func (vm *fakeVM) ListHistory(context.Context, *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	return connect.NewResponse(&pb.ListHistoryResponse{Entries: []*pb.HistoryEntry{{Revision: 12, Author: "bea"}}}), nil
}

func (vm *fakeVM) ListDecisions(context.Context, *connect.Request[pb.ListDecisionsRequest]) (*connect.Response[pb.ListDecisionsResponse], error) {
	return connect.NewResponse(&pb.ListDecisionsResponse{Decisions: vm.decisions}), nil
}

// result holds the exit code and the output of one run of the tool.
type result struct {
	code           int
	stdout, stderr string
}

// runTool runs the tool with the given server addresses and standard input.
func runTool(t *testing.T, servers string, stdin string, arguments ...string) result {
	t.Helper()
	t.Setenv("CARAWAYREEL_SERVER", servers)
	var stdout, stderr bytes.Buffer
	code := cli.Run(arguments, cli.Environment{
		Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr,
		Now: time.Now,
	})
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}
