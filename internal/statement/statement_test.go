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

// fakeService implements the caller and administration services in memory. It
// updates its configuration by compare-and-swap and records the last request of
// each kind.
type fakeService struct {
	carawayreelv1connect.UnimplementedAdminServiceHandler
	carawayreelv1connect.UnimplementedCallerServiceHandler

	configuration *pb.Configuration
	// concurrentEdit, if set, stands for another operator: it changes the
	// configuration between a statement's read and write.
	concurrentEdit      func(*pb.Configuration)
	applyRequest        *pb.ApplyConfigurationRequest
	searchRequest       *pb.SearchRequest
	changeRequest       *pb.SubmitChangeRequest
	servingStateRequest *pb.SetServingStateRequest
}

func (s *fakeService) GetConfiguration(_ context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	response := &pb.GetConfigurationResponse{Configuration: proto.CloneOf(s.configuration)}
	if r.Msg.FromStore && s.concurrentEdit != nil {
		s.concurrentEdit(s.configuration)
		s.configuration.Revision++
	}
	return connect.NewResponse(response), nil
}

func (s *fakeService) ApplyConfiguration(_ context.Context, r *connect.Request[pb.ApplyConfigurationRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	s.applyRequest = r.Msg
	if r.Msg.ExpectedRevision != s.configuration.GetRevision() {
		return connect.NewResponse(&pb.ApplyConfigurationResponse{
			Status: pb.ApplyStatus_APPLY_STATUS_CONFLICT, Revision: s.configuration.Revision, Winner: "bea",
		}), nil
	}
	s.configuration = proto.CloneOf(r.Msg.Configuration)
	s.configuration.Revision = r.Msg.ExpectedRevision + 1
	return connect.NewResponse(&pb.ApplyConfigurationResponse{Status: pb.ApplyStatus_APPLY_STATUS_ACCEPTED}), nil
}

func (s *fakeService) SetServingState(_ context.Context, r *connect.Request[pb.SetServingStateRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	s.servingStateRequest = r.Msg
	return connect.NewResponse(&pb.ApplyConfigurationResponse{Status: pb.ApplyStatus_APPLY_STATUS_ACCEPTED}), nil
}

func (s *fakeService) GetStatus(context.Context, *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	return connect.NewResponse(&pb.GetStatusResponse{Targets: []*pb.TargetStatusReport{
		{Target: "owned-1", Front: "erfgenaam"}, {Target: "elsewhere", Front: "other"},
	}}), nil
}

func (s *fakeService) ListHistory(context.Context, *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	return connect.NewResponse(&pb.ListHistoryResponse{}), nil
}

func (s *fakeService) Search(_ context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	s.searchRequest = r.Msg
	return connect.NewResponse(&pb.SearchResponse{
		Outcome: pb.Outcome_OUTCOME_PARTIAL, Coverage: &pb.Coverage{Covered: 1, Total: 2, MapKnown: true},
	}), nil
}

func (s *fakeService) IssueToken(context.Context, *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return connect.NewResponse(&pb.IssueTokenResponse{Token: "t"}), nil
}

func (s *fakeService) SubmitChange(_ context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	s.changeRequest = r.Msg
	return connect.NewResponse(&pb.SubmitChangeResponse{Outcome: pb.Outcome_OUTCOME_SUCCESS}), nil
}

func (s *fakeService) GetOutcome(context.Context, *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	return connect.NewResponse(&pb.GetOutcomeResponse{Outcome: pb.Outcome_OUTCOME_UNKNOWN}), nil
}

const createStatement = `CREATE FRONT erfgenaam TIME LIMIT 200ms
  SERVICE estates PARTITIONS e0, e1 TARGET e-1 AT '127.0.0.1:9001' IN a SLOTS 3 CONNECTIONS 100 SETUP 1ms
  SERVICE heirs TARGET h-1 AT '127.0.0.1:9003' IN b COMMENT 'first'`

func newRunner(service *fakeService) *statement.Runner {
	return statement.New(statement.Options{
		Caller: service, Admin: service, Author: "ann", TimeLimit: 3 * time.Second,
		Now: func() time.Time { return time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC) },
	})
}

// execute runs a statement and returns its rendered report and exit code.
func execute(t *testing.T, service *fakeService, text string) (string, uint32) {
	t.Helper()
	response, err := newRunner(service).Execute(t.Context(), &pb.ExecuteRequest{Statement: text})
	require.NoError(t, err)
	return response.Text, response.ExitCode
}

// serviceWithFront returns a service that holds the front of createStatement.
func serviceWithFront(t *testing.T) *fakeService {
	t.Helper()
	service := &fakeService{configuration: &pb.Configuration{FailureDomains: []*pb.FailureDomain{
		{Name: "a", State: pb.ServingState_SERVING_STATE_IN_SERVICE}, {Name: "b", State: pb.ServingState_SERVING_STATE_IN_SERVICE},
	}}}
	text, code := execute(t, service, createStatement)
	require.Zero(t, code, text)
	require.NoError(t, protovalidate.Validate(service.configuration))
	return service
}

func TestCreateFrontSetsLimitsAndDefaults(t *testing.T) {
	service := serviceWithFront(t)
	require.Equal(t, "ann first", service.configuration.Author+" "+service.configuration.Comment)
	front := service.configuration.Fronts[0]
	require.Equal(t, uint32(200), front.Limits.DefaultTimeLimitMs)
	require.Equal(t, uint32(5), front.Limits.ExtraLoadPercent)
	require.Equal(t, uint32(1000), front.Services[0].Targets[0].ConnectionSetupUs)
	require.Equal(t, uint32(2), front.Services[1].Targets[0].Slots)
	require.Equal(t, []string{"e0", "e1"}, front.Snapshots[0].Services[0].Partitions)
	require.Equal(t, []string{"heirs"}, front.Snapshots[0].Services[1].Partitions)
}

func TestAlterFrontEditsLimitsServicesAndTargets(t *testing.T) {
	service := serviceWithFront(t)
	for _, text := range []string{
		"ALTER FRONT erfgenaam SET ROW LIMIT 9, SET EXTRA LOAD 0%, SET TIME LIMIT 1s",
		"ALTER FRONT erfgenaam ADD TARGET h-2 AT '127.0.0.1:9004' IN a TO heirs, DROP TARGET h-1 FORCE",
		"ALTER FRONT erfgenaam ADD SERVICE wills TARGET w-1 AT '127.0.0.1:9005' IN a",
		"PUBLISH SNAPSHOT 5 ON erfgenaam SERVICE wills PARTITIONS w0 KEEP 2",
		"ALTER FRONT erfgenaam DROP SERVICE heirs",
		"PUBLISH SNAPSHOT 6 ON erfgenaam KEEP 2",
	} {
		report, code := execute(t, service, text)
		require.Zero(t, code, report)
	}
	require.NoError(t, protovalidate.Validate(service.configuration))
	front := service.configuration.Fronts[0]
	require.True(t, proto.Equal(&pb.FrontLimits{DefaultTimeLimitMs: 1000, DefaultRowLimit: 9}, front.Limits))
	require.Equal(t, "e-1", front.Services[0].Targets[0].Id)
	require.Equal(t, uint64(5), front.Snapshots[0].Version)
	require.Len(t, front.Snapshots[0].Services, 3)
	require.Equal(t, uint64(6), front.Snapshots[1].Version)
	require.Len(t, front.Snapshots[1].Services, 2)
	require.Equal(t, []string{"e0", "e1"}, front.Snapshots[1].Services[0].Partitions)
	_, code := execute(t, service, "DROP FRONT erfgenaam FORCE")
	require.Zero(t, code)
	require.True(t, service.applyRequest.Force)
	require.Empty(t, service.configuration.Fronts)
}

func TestRefusedStatementsSendNothing(t *testing.T) {
	for _, text := range []string{
		createStatement, "DROP FRONT x", "ALTER FRONT x SET ROW LIMIT 1", "ALTER FRONT erfgenaam DROP SERVICE x",
		"ALTER FRONT erfgenaam DROP TARGET x", "ALTER FRONT erfgenaam ADD TARGET t AT 'h:1' IN a TO x",
		"ALTER FRONT erfgenaam ADD SERVICE heirs TARGET t AT 'h:1' IN a",
		"ALTER FRONT erfgenaam ADD SERVICE x PARTITIONS p TARGET t AT 'h:1' IN a",
		"PUBLISH SNAPSHOT 1 ON erfgenaam", "PUBLISH SNAPSHOT 2 ON x", "PUBLISH SNAPSHOT 2 ON erfgenaam SERVICE x PARTITIONS p",
		"CREATE FRONT new SERVICE s TARGET t AT 'h:1' IN a SERVICE s TARGET u AT 'h:2' IN a", "SHOW TARGETS x",
	} {
		service := serviceWithFront(t)
		service.applyRequest = nil
		report, code := execute(t, service, text)
		require.Equal(t, uint32(statement.ExitNotRun), code, text)
		require.Contains(t, report, "REFUSALS          THE STATEMENT: ")
		require.Nil(t, service.applyRequest)
	}
}

// A revision that another operator writes between a statement's read and write
// is kept, and the statement is refused.
func TestConcurrentRevisionIsNotOverwritten(t *testing.T) {
	service := serviceWithFront(t)
	service.concurrentEdit = func(c *pb.Configuration) { c.Fronts[0].Limits.DefaultRowLimit = 77 }
	report, code := execute(t, service, "ALTER FRONT erfgenaam SET ROW LIMIT 9")
	require.Equal(t, uint32(statement.ExitNotRun), code)
	require.Contains(t, report, "WINNER            bea")
	require.Equal(t, uint32(77), service.configuration.Fronts[0].Limits.DefaultRowLimit)
}

func TestStatementsAreTranslatedToRequests(t *testing.T) {
	service := serviceWithFront(t)
	_, code := execute(t, service, "SEARCH f WHERE a = 'x' AND b CONTAINS 'y' AND c LIKE PREFIX 'z' AND d < 1 AND e > 2 WITHIN 140ms COVERAGE 90% LIMIT 5 EXPLAIN")
	require.Equal(t, uint32(statement.ExitPartial), code)
	require.Equal(t, uint32(140), service.searchRequest.TimeLimitMs)
	require.Equal(t, uint32(90), service.searchRequest.MinimumCoveragePercent)
	require.True(t, service.searchRequest.Explain)
	for i, operator := range []pb.Operator{
		pb.Operator_OPERATOR_EQUAL, pb.Operator_OPERATOR_CONTAINS, pb.Operator_OPERATOR_PREFIX,
		pb.Operator_OPERATOR_LESS, pb.Operator_OPERATOR_GREATER,
	} {
		require.Equal(t, operator, service.searchRequest.Conditions[i].Operator)
	}
	execute(t, service, "EDIT f RECORD 's:1' SET a = '', b = 'c' KEY 'k'")
	require.Equal(t, "k", service.changeRequest.CallerKey)
	require.Len(t, service.changeRequest.Change.GetEdit().Fields, 2)
	require.Equal(t, uint32(3000), service.changeRequest.TimeLimitMs)
	execute(t, service, "TRANSFER f CASK 's:1' FROM 'a' TO 'b' TOKEN 't' WITHIN 1s")
	require.Equal(t, "t s:1 a b", strings.Join([]string{service.changeRequest.Token, service.changeRequest.Change.GetTransfer().CaskId,
		service.changeRequest.Change.GetTransfer().FromHolder, service.changeRequest.Change.GetTransfer().ToHolder}, " "))
	execute(t, service, "TAKE OUT FAILURE DOMAIN a FORCE")
	require.Equal(t, pb.ServingState_SERVING_STATE_TAKEN_OUT, service.servingStateRequest.State)
	require.True(t, service.servingStateRequest.Force)
	execute(t, service, "BRING BACK TARGET e-1")
	require.Equal(t, "e-1", service.servingStateRequest.Target)
	require.Equal(t, pb.ServingState_SERVING_STATE_IN_SERVICE, service.servingStateRequest.State)
}

func TestShowStatements(t *testing.T) {
	service := serviceWithFront(t)
	for text, part := range map[string]string{
		"TOKEN": "TOKEN             t", "SHOW FRONTS": "erfgenaam", "SHOW TARGETS": "elsewhere",
		"SHOW TARGETS erfgenaam": "owned-1", "SHOW FAILURE DOMAINS": "IN SERVICE", "SHOW CONFIGURATION": "REVISION 1",
		"SHOW HISTORY LIMIT 3": "CONFIGURATION HISTORY", "SHOW VMS": "READY",
	} {
		report, code := execute(t, service, text)
		require.Zero(t, code, text)
		require.Contains(t, report, part, text)
	}
	report, _ := execute(t, service, "SHOW TARGETS erfgenaam")
	require.NotContains(t, report, "elsewhere")
	report, code := execute(t, service, "SHOW COVERAGE erfgenaam")
	require.Equal(t, uint32(statement.ExitPartial), code)
	require.Contains(t, report, "1 OF 2 PARTITIONS (50 %)")
	_, code = execute(t, service, "SHOW OUTCOME KEY 'k'")
	require.Equal(t, uint32(statement.ExitUnknown), code)
}

func TestInvalidStatementIsAUsageError(t *testing.T) {
	report, code := execute(t, serviceWithFront(t), "SHOW FRONT")
	require.Equal(t, uint32(statement.ExitUsage), code)
	_, err := language.Parse("SHOW FRONT")
	require.Equal(t, err.Error()+"\n", report)
	response, err := newRunner(serviceWithFront(t)).Execute(t.Context(), &pb.ExecuteRequest{Statement: "TOKEN", Format: "xml"})
	require.NoError(t, err)
	require.Equal(t, uint32(statement.ExitUsage), response.ExitCode)
}
