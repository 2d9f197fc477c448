package statement

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/report"
)

// RefusedError reports a statement that cannot be applied to the current
// configuration.
type RefusedError struct {
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	return e.Reason
}

// changeConfiguration edits the stored configuration and applies the result
// with a compare-and-swap, so that a concurrent revision by another operator is
// never overwritten.
func (r *Runner) changeConfiguration(ctx context.Context, s *language.Statement) (*report.Report, error) {
	start := r.now()
	title := changeTitle(s)
	current, err := r.configuration(ctx, &pb.GetConfigurationRequest{FromStore: true})
	if err != nil {
		return nil, err
	}
	edited := proto.CloneOf(current.Configuration)
	if edited == nil {
		edited = &pb.Configuration{}
	}
	force, err := editConfiguration(edited, s)
	var refused *RefusedError
	if errors.As(err, &refused) {
		return r.refused(title, refused.Reason, start), nil
	}
	if err != nil {
		return nil, err
	}
	return r.Apply(ctx, title, &pb.ApplyConfigurationRequest{
		Configuration:    edited,
		ExpectedRevision: current.Configuration.GetRevision(),
		Force:            force,
	})
}

// Apply replaces the configuration with a compare-and-swap on the request's
// expected revision and records the runner's author with it.
func (r *Runner) Apply(ctx context.Context, title string, request *pb.ApplyConfigurationRequest) (*report.Report, error) {
	start := r.now()
	request.Configuration.Author = r.author
	response, err := r.admin.ApplyConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "apply configuration")
	}
	return report.ApplyResult(title, response.Msg, r.now().Sub(start), start), nil
}

// refused returns the report of a statement that was refused before any change was
// sent.
func (r *Runner) refused(title, reason string, start time.Time) *report.Report {
	result := report.Success(title, nil, nil, r.now().Sub(start), start)
	result.Closing.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	result.Closing.Reason = reason
	result.Closing.Refusals = []string{"THE STATEMENT: " + reason}
	return result
}

func changeTitle(s *language.Statement) string {
	switch {
	case s.CreateFront != nil:
		return "CREATE FRONT " + string(s.CreateFront.Front)
	case s.AlterFront != nil:
		return "ALTER FRONT " + string(s.AlterFront.Front)
	case s.DropFront != nil:
		return "DROP FRONT " + string(s.DropFront.Front)
	default:
		return "PUBLISH SNAPSHOT ON " + string(s.PublishSnapshot.Front)
	}
}
