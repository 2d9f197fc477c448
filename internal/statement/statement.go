// Package statement executes parsed statements of the query and command language
// against the caller and administration services and returns reports. VMs use it
// to execute statements in process, the command-line tool over the network.
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

// Caller is the caller interface. Generated clients and handlers implement it.
type Caller = carawayreelv1connect.CallerServiceClient

// Admin is the administration interface. Generated clients and handlers
// implement it.
type Admin = carawayreelv1connect.AdminServiceClient

// Options holds the dependencies and defaults of a Runner.
type Options struct {
	Caller Caller
	Admin  Admin
	// Author is recorded with configuration changes.
	Author string
	// Now returns the current time, which reports print as their run date.
	Now func() time.Time
	// TimeLimit applies to statements that set none; zero selects the VM's default.
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

// New returns a Runner that calls the services in o.
func New(o Options) *Runner {
	return &Runner{caller: o.Caller, admin: o.Admin, author: o.Author, now: o.Now, timeLimit: o.TimeLimit}
}

// Run executes one statement. An error means that a service could not be called;
// a refused statement yields a report. A change is sent once and never retried.
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

// Execute parses and runs one statement. A statement or format that does not
// parse yields a response with ExitUsage, not an error. Errors have the same meaning
// as those of Run.
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

// Submit submits a change once, without retries.
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

// Outcome looks up the outcome of a change.
func (r *Runner) Outcome(ctx context.Context, request *pb.GetOutcomeRequest) (*report.Report, error) {
	start := r.now()
	response, err := r.caller.GetOutcome(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "get outcome")
	}
	return report.Outcome(request, response.Msg, r.now().Sub(start), start), nil
}

// SetServingState takes a failure domain or target out of service, or brings it
// back.
func (r *Runner) SetServingState(ctx context.Context, request *pb.SetServingStateRequest) (*report.Report, error) {
	start := r.now()
	request.Author = r.author
	response, err := r.admin.SetServingState(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "set serving state")
	}
	return report.ApplyResult(servingTitle(request), response.Msg, r.now().Sub(start), start), nil
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
