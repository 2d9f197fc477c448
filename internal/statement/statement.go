// Package statement runs parsed statements of the query and command language
// against the caller and administration services, and returns reports. VMs use
// it to execute statements in process, the command-line tool over the network.
package statement

import (
	"bytes"
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/report"
)

// Caller is the part of the caller interface that statements use. Clients and
// handlers of the generated code implement it.
type Caller = carawayreelv1connect.CallerServiceClient

// Admin is the administration interface; clients and handlers of the generated
// code implement it.
type Admin = carawayreelv1connect.AdminServiceClient

// Options are what a Runner works with.
type Options struct {
	Caller Caller
	Admin  Admin
	// Author is recorded with configuration changes.
	Author string
	// Now returns the run date of reports.
	Now func() time.Time
	// TimeLimit applies to statements that set none; zero leaves it to the VM.
	TimeLimit time.Duration
}

// Runner runs statements. It is safe for concurrent use.
type Runner struct {
	caller    Caller
	admin     Admin
	author    string
	now       func() time.Time
	timeLimit time.Duration
}

// New returns a Runner.
func New(o Options) *Runner {
	return &Runner{caller: o.Caller, admin: o.Admin, author: o.Author, now: o.Now, timeLimit: o.TimeLimit}
}

// Run runs one statement. An error means that a service could not be called;
// refusals are reports. A change is sent at most once and never re-sent.
func (r *Runner) Run(ctx context.Context, s *language.Statement) (*report.Report, error) {
	switch {
	case s.Search != nil:
		return r.Search(ctx, r.searchRequest(s.Search))
	case s.Edit != nil:
		return r.Submit(ctx, r.editRequest(s.Edit))
	case s.Transfer != nil:
		return r.Submit(ctx, r.transferRequest(s.Transfer))
	case s.Token:
		return r.IssueToken(ctx)
	case s.Show != nil:
		return r.show(ctx, s.Show)
	case s.TakeOut != nil:
		return r.SetServingState(ctx, takeOutRequest(s.TakeOut))
	case s.BringBack != nil:
		return r.SetServingState(ctx, bringBackRequest(s.BringBack))
	default:
		return r.changeConfiguration(ctx, s)
	}
}

// Execute runs one statement given as text. Its response is never nil; errors
// of the statement are part of it. The error is that of Run.
func (r *Runner) Execute(ctx context.Context, request *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	format, err := report.ParseFormat(request.Format)
	if err != nil {
		return usageResponse(err), nil
	}
	parsed, err := language.Parse(request.Statement)
	if err != nil {
		return usageResponse(err), nil
	}
	result, err := r.Run(ctx, parsed)
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := report.Write(&text, result, format); err != nil {
		return nil, errors.Wrap(err, "render result")
	}
	return &pb.ExecuteResponse{
		Outcome:  result.Closing.Outcome,
		Text:     text.String(),
		ExitCode: uint32(ExitCodeOf(result.Closing.Outcome)),
	}, nil
}

func usageResponse(err error) *pb.ExecuteResponse {
	return &pb.ExecuteResponse{
		Outcome:  pb.Outcome_OUTCOME_NOT_RUN,
		Text:     err.Error() + "\n",
		ExitCode: uint32(ExitUsage),
	}
}

// Search runs a search.
func (r *Runner) Search(ctx context.Context, request *pb.SearchRequest) (*report.Report, error) {
	response, err := r.caller.Search(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "search")
	}
	return report.Search(request, response.Msg, r.now()), nil
}

// Submit sends a change once.
func (r *Runner) Submit(ctx context.Context, request *pb.SubmitChangeRequest) (*report.Report, error) {
	response, err := r.caller.SubmitChange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "submit change")
	}
	return report.Change(request, response.Msg, r.now()), nil
}

// IssueToken fetches a token for one change.
func (r *Runner) IssueToken(ctx context.Context) (*report.Report, error) {
	start := r.now()
	response, err := r.caller.IssueToken(ctx, connect.NewRequest(&pb.IssueTokenRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "issue token")
	}
	return report.Token(response.Msg, r.now().Sub(start), start), nil
}

// Outcome asks what became of a change.
func (r *Runner) Outcome(ctx context.Context, request *pb.GetOutcomeRequest) (*report.Report, error) {
	start := r.now()
	response, err := r.caller.GetOutcome(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "get outcome")
	}
	return report.Outcome(request, response.Msg, r.now().Sub(start), start), nil
}

// SetServingState takes a failure domain or target out, or brings it back.
func (r *Runner) SetServingState(ctx context.Context, request *pb.SetServingStateRequest) (*report.Report, error) {
	start := r.now()
	request.Author = r.author
	response, err := r.admin.SetServingState(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "set serving state")
	}
	return report.Applied(servingTitle(request), response.Msg, r.now().Sub(start), start), nil
}

func servingTitle(request *pb.SetServingStateRequest) string {
	verb := "BRING BACK"
	if request.State == pb.ServingState_SERVING_STATE_TAKEN_OUT {
		verb = "TAKE OUT"
	}
	if request.Target != "" {
		return verb + " TARGET " + request.Target
	}
	return verb + " FAILURE DOMAIN " + request.FailureDomain
}
