package statement_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"buf.build/go/protovalidate"
	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/statement"
)

// fakeStore keeps one configuration by compare-and-swap; it also answers
// searches and changes.
type fakeStore struct {
	carawayreelv1connect.UnimplementedAdminServiceHandler
	carawayreelv1connect.UnimplementedCallerServiceHandler

	configuration *pb.Configuration
	// race is applied by another operator between a statement's read and write.
	race    func(*pb.Configuration)
	applied *pb.ApplyConfigurationRequest
	search  *pb.SearchRequest
	change  *pb.SubmitChangeRequest
	served  *pb.SetServingStateRequest
}

func (s *fakeStore) GetConfiguration(_ context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	response := &pb.GetConfigurationResponse{Configuration: proto.CloneOf(s.configuration)}
	if r.Msg.FromStore && s.race != nil {
		s.race(s.configuration)
		s.configuration.Revision++
	}
	return connect.NewResponse(response), nil
}

func (s *fakeStore) ApplyConfiguration(_ context.Context, r *connect.Request[pb.ApplyConfigurationRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	s.applied = r.Msg
	if r.Msg.ExpectedRevision != s.configuration.GetRevision() {
		return connect.NewResponse(&pb.ApplyConfigurationResponse{
			Status: pb.ApplyStatus_APPLY_STATUS_CONFLICT, Revision: s.configuration.Revision, Winner: "bea",
		}), nil
	}
	s.configuration = proto.CloneOf(r.Msg.Configuration)
	s.configuration.Revision = r.Msg.ExpectedRevision + 1
	return connect.NewResponse(&pb.ApplyConfigurationResponse{Status: pb.ApplyStatus_APPLY_STATUS_ACCEPTED}), nil
}

func (s *fakeStore) SetServingState(_ context.Context, r *connect.Request[pb.SetServingStateRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	s.served = r.Msg
	return connect.NewResponse(&pb.ApplyConfigurationResponse{Status: pb.ApplyStatus_APPLY_STATUS_ACCEPTED}), nil
}

func (s *fakeStore) GetStatus(context.Context, *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	return connect.NewResponse(&pb.GetStatusResponse{Targets: []*pb.TargetStatusReport{
		{Target: "owned-1", Front: "erfgenaam"}, {Target: "elsewhere", Front: "other"},
	}}), nil
}

func (s *fakeStore) ListHistory(context.Context, *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	return connect.NewResponse(&pb.ListHistoryResponse{}), nil
}

func (s *fakeStore) Search(_ context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	s.search = r.Msg
	return connect.NewResponse(&pb.SearchResponse{
		Outcome: pb.Outcome_OUTCOME_PARTIAL, Coverage: &pb.Coverage{Covered: 1, Total: 2, MapKnown: true},
	}), nil
}

func (s *fakeStore) IssueToken(context.Context, *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return connect.NewResponse(&pb.IssueTokenResponse{Token: "t"}), nil
}

func (s *fakeStore) SubmitChange(_ context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	s.change = r.Msg
	return connect.NewResponse(&pb.SubmitChangeResponse{Outcome: pb.Outcome_OUTCOME_SUCCESS}), nil
}

func (s *fakeStore) GetOutcome(context.Context, *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	return connect.NewResponse(&pb.GetOutcomeResponse{Outcome: pb.Outcome_OUTCOME_UNKNOWN}), nil
}

const createStatement = `CREATE FRONT erfgenaam TIME LIMIT 200ms
  SERVICE estates PARTITIONS e0, e1 TARGET e-1 AT '127.0.0.1:9001' IN a SLOTS 3 CONNECTIONS 100 SETUP 1ms
  SERVICE heirs TARGET h-1 AT '127.0.0.1:9003' IN b COMMENT 'first'`

func newRunner(store *fakeStore) *statement.Runner {
	return statement.New(statement.Options{
		Caller: store, Admin: store, Author: "ann", TimeLimit: 3 * time.Second,
		Now: func() time.Time { return time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC) },
	})
}

// execute runs a statement and returns its printed report and exit code.
func execute(t *testing.T, store *fakeStore, text string) (string, uint32) {
	t.Helper()
	response, err := newRunner(store).Execute(t.Context(), &pb.ExecuteRequest{Statement: text})
	require.NoError(t, err)
	return response.Text, response.ExitCode
}

// started returns a store that holds the front of createStatement.
func started(t *testing.T) *fakeStore {
	t.Helper()
	store := &fakeStore{configuration: &pb.Configuration{FailureDomains: []*pb.FailureDomain{
		{Name: "a", State: pb.ServingState_SERVING_STATE_IN_SERVICE}, {Name: "b", State: pb.ServingState_SERVING_STATE_IN_SERVICE},
	}}}
	text, code := execute(t, store, createStatement)
	require.Zero(t, code, text)
	require.NoError(t, protovalidate.Validate(store.configuration))
	return store
}

func TestCreatedFrontHasItsLimitsAndDefaults(t *testing.T) {
	store := started(t)
	require.Equal(t, "ann first", store.configuration.Author+" "+store.configuration.Comment)
	front := store.configuration.Fronts[0]
	require.Equal(t, uint32(200), front.Limits.DefaultTimeLimitMs)
	require.Equal(t, uint32(5), front.Limits.ExtraLoadPercent)
	require.Equal(t, uint32(1000), front.Services[0].Targets[0].ConnectionSetupUs)
	require.Equal(t, uint32(2), front.Services[1].Targets[0].Slots)
	require.Equal(t, []string{"e0", "e1"}, front.Snapshots[0].Services[0].Partitions)
	require.Equal(t, []string{"heirs"}, front.Snapshots[0].Services[1].Partitions)
}

func TestFrontsAreAltered(t *testing.T) {
	store := started(t)
	for _, text := range []string{
		"ALTER FRONT erfgenaam SET ROW LIMIT 9, SET EXTRA LOAD 0%, SET TIME LIMIT 1s",
		"ALTER FRONT erfgenaam ADD TARGET h-2 AT '127.0.0.1:9004' IN a TO heirs, DROP TARGET h-1 FORCE",
		"ALTER FRONT erfgenaam ADD SERVICE wills TARGET w-1 AT '127.0.0.1:9005' IN a",
		"PUBLISH SNAPSHOT 5 ON erfgenaam SERVICE wills PARTITIONS w0 KEEP 2",
		"ALTER FRONT erfgenaam DROP SERVICE heirs",
		"PUBLISH SNAPSHOT 6 ON erfgenaam KEEP 2",
	} {
		report, code := execute(t, store, text)
		require.Zero(t, code, report)
	}
	require.NoError(t, protovalidate.Validate(store.configuration))
	front := store.configuration.Fronts[0]
	require.True(t, proto.Equal(&pb.FrontLimits{DefaultTimeLimitMs: 1000, DefaultRowLimit: 9}, front.Limits))
	require.Equal(t, "e-1", front.Services[0].Targets[0].Id)
	require.Equal(t, uint64(5), front.Snapshots[0].Version)
	require.Len(t, front.Snapshots[0].Services, 3)
	require.Equal(t, uint64(6), front.Snapshots[1].Version)
	require.Len(t, front.Snapshots[1].Services, 2)
	require.Equal(t, []string{"e0", "e1"}, front.Snapshots[1].Services[0].Partitions)
	_, code := execute(t, store, "DROP FRONT erfgenaam FORCE")
	require.Zero(t, code)
	require.True(t, store.applied.Force)
	require.Empty(t, store.configuration.Fronts)
}

func TestStatementsThatDoNotFitTheConfigurationSendNothing(t *testing.T) {
	for _, text := range []string{
		createStatement, "DROP FRONT x", "ALTER FRONT x SET ROW LIMIT 1", "ALTER FRONT erfgenaam DROP SERVICE x",
		"ALTER FRONT erfgenaam DROP TARGET x", "ALTER FRONT erfgenaam ADD TARGET t AT 'h:1' IN a TO x",
		"ALTER FRONT erfgenaam ADD SERVICE heirs TARGET t AT 'h:1' IN a",
		"ALTER FRONT erfgenaam ADD SERVICE x PARTITIONS p TARGET t AT 'h:1' IN a",
		"PUBLISH SNAPSHOT 1 ON erfgenaam", "PUBLISH SNAPSHOT 2 ON x", "PUBLISH SNAPSHOT 2 ON erfgenaam SERVICE x PARTITIONS p",
		"CREATE FRONT new SERVICE s TARGET t AT 'h:1' IN a SERVICE s TARGET u AT 'h:2' IN a", "SHOW TARGETS x",
	} {
		store := started(t)
		store.applied = nil
		report, code := execute(t, store, text)
		require.Equal(t, uint32(statement.ExitNotRun), code, text)
		require.Contains(t, report, "REFUSALS          THE STATEMENT: ")
		require.Nil(t, store.applied)
	}
}

// Another operator's revision that comes between read and write is kept.
func TestRacingOperatorIsNotOverwritten(t *testing.T) {
	store := started(t)
	store.race = func(c *pb.Configuration) { c.Fronts[0].Limits.DefaultRowLimit = 77 }
	report, code := execute(t, store, "ALTER FRONT erfgenaam SET ROW LIMIT 9")
	require.Equal(t, uint32(statement.ExitNotRun), code)
	require.Contains(t, report, "WINNER            bea")
	require.Equal(t, uint32(77), store.configuration.Fronts[0].Limits.DefaultRowLimit)
}

func TestRequestsCarryWhatTheStatementSays(t *testing.T) {
	store := started(t)
	_, code := execute(t, store, "SEARCH f WHERE a = 'x' AND b CONTAINS 'y' AND c LIKE PREFIX 'z' AND d < 1 AND e > 2 WITHIN 140ms COVERAGE 90% LIMIT 5 EXPLAIN")
	require.Equal(t, uint32(statement.ExitPartial), code)
	require.Equal(t, uint32(140), store.search.TimeLimitMs)
	require.Equal(t, uint32(90), store.search.MinimumCoveragePercent)
	require.True(t, store.search.Explain)
	for i, operator := range []pb.Operator{
		pb.Operator_OPERATOR_EQUAL, pb.Operator_OPERATOR_CONTAINS, pb.Operator_OPERATOR_PREFIX,
		pb.Operator_OPERATOR_LESS, pb.Operator_OPERATOR_GREATER,
	} {
		require.Equal(t, operator, store.search.Conditions[i].Operator)
	}
	execute(t, store, "EDIT f RECORD 's:1' SET a = '', b = 'c' KEY 'k'")
	require.Equal(t, "k", store.change.CallerKey)
	require.Len(t, store.change.Change.GetEdit().Fields, 2)
	require.Equal(t, uint32(3000), store.change.TimeLimitMs)
	execute(t, store, "TRANSFER f CASK 's:1' FROM 'a' TO 'b' TOKEN 't' WITHIN 1s")
	require.Equal(t, "t s:1 a b", strings.Join([]string{store.change.Token, store.change.Change.GetTransfer().CaskId,
		store.change.Change.GetTransfer().FromHolder, store.change.Change.GetTransfer().ToHolder}, " "))
	execute(t, store, "TAKE OUT FAILURE DOMAIN a FORCE")
	require.Equal(t, pb.ServingState_SERVING_STATE_TAKEN_OUT, store.served.State)
	require.True(t, store.served.Force)
	execute(t, store, "BRING BACK TARGET e-1")
	require.Equal(t, "e-1", store.served.Target)
	require.Equal(t, pb.ServingState_SERVING_STATE_IN_SERVICE, store.served.State)
}

func TestShowStatements(t *testing.T) {
	store := started(t)
	for text, part := range map[string]string{
		"TOKEN": "TOKEN             t", "SHOW FRONTS": "erfgenaam", "SHOW TARGETS": "elsewhere",
		"SHOW TARGETS erfgenaam": "owned-1", "SHOW FAILURE DOMAINS": "IN SERVICE", "SHOW CONFIGURATION": "REVISION 1",
		"SHOW HISTORY LIMIT 3": "CONFIGURATION HISTORY", "SHOW VMS": "READY",
	} {
		report, code := execute(t, store, text)
		require.Zero(t, code, text)
		require.Contains(t, report, part, text)
	}
	report, _ := execute(t, store, "SHOW TARGETS erfgenaam")
	require.NotContains(t, report, "elsewhere")
	report, code := execute(t, store, "SHOW COVERAGE erfgenaam")
	require.Equal(t, uint32(statement.ExitPartial), code)
	require.Contains(t, report, "1 OF 2 PARTITIONS (50 %)")
	_, code = execute(t, store, "SHOW OUTCOME KEY 'k'")
	require.Equal(t, uint32(statement.ExitUnknown), code)
}

func TestWrongStatementIsAUsageError(t *testing.T) {
	report, code := execute(t, started(t), "SHOW FRONT")
	require.Equal(t, uint32(statement.ExitUsage), code)
	_, err := language.Parse("SHOW FRONT")
	require.Equal(t, err.Error()+"\n", report)
	response, err := newRunner(started(t)).Execute(t.Context(), &pb.ExecuteRequest{Statement: "TOKEN", Format: "xml"})
	require.NoError(t, err)
	require.Equal(t, uint32(statement.ExitUsage), response.ExitCode)
}
