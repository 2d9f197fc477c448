package statement

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/report"
)

// defaultHistoryLimit is the number of revisions that SHOW HISTORY lists without
// a LIMIT.
const defaultHistoryLimit = 20

func (r *Runner) show(ctx context.Context, s *language.Show) (*report.Report, error) {
	switch {
	case s.Fronts:
		return r.showFronts(ctx)
	case s.Targets != nil:
		return r.showTargets(ctx, string(s.Targets.Front))
	case s.FailureDomains:
		return r.showFailureDomains(ctx)
	case s.Configuration != nil:
		return r.ShowConfiguration(ctx, s.Configuration.Revision)
	case s.History != nil:
		return r.History(ctx, uint32(s.History.Limit))
	case s.Coverage != "":
		return r.showCoverage(ctx, string(s.Coverage))
	case s.VMs:
		return r.VMs(ctx)
	default:
		return r.Outcome(ctx, &pb.GetOutcomeRequest{
			Token:     string(s.Outcome.Token),
			CallerKey: string(s.Outcome.Key),
		})
	}
}

func (r *Runner) configuration(ctx context.Context, request *pb.GetConfigurationRequest) (*pb.GetConfigurationResponse, error) {
	response, err := r.admin.GetConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrap(err, "get configuration")
	}
	return response.Msg, nil
}

func (r *Runner) status(ctx context.Context) (*pb.GetStatusResponse, error) {
	response, err := r.admin.GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{All: true}))
	if err != nil {
		return nil, errors.Wrap(err, "get status")
	}
	return response.Msg, nil
}

func (r *Runner) showFronts(ctx context.Context) (*report.Report, error) {
	start := r.now()
	response, err := r.configuration(ctx, &pb.GetConfigurationRequest{})
	if err != nil {
		return nil, err
	}
	sections := []report.Section{report.Fronts(response.Configuration)}
	notes := report.ConfigurationNote(response.Configuration, response.AgeMs)
	return report.Success("FRONTS", sections, notes, r.now().Sub(start), start), nil
}

func (r *Runner) showTargets(ctx context.Context, front string) (*report.Report, error) {
	start := r.now()
	response, err := r.configuration(ctx, &pb.GetConfigurationRequest{})
	if err != nil {
		return nil, err
	}
	if front != "" && findFront(response.Configuration, front) == nil {
		return r.refused("TARGETS OF "+front, unknownFront(front), start), nil
	}
	status, err := r.status(ctx)
	if err != nil {
		return nil, err
	}
	sections := []report.Section{
		report.ConfiguredTargets(response.Configuration, front),
		report.OwnedTargets(filterByFront(status, front)),
	}
	title := "TARGETS"
	if front != "" {
		title += " OF " + front
	}
	notes := report.ConfigurationNote(response.Configuration, response.AgeMs)
	return report.Success(title, sections, notes, r.now().Sub(start), start), nil
}

// filterByFront returns a status that holds only the targets of one front. An
// empty front returns the status unchanged.
func filterByFront(status *pb.GetStatusResponse, front string) *pb.GetStatusResponse {
	if front == "" {
		return status
	}
	filtered := &pb.GetStatusResponse{}
	for _, target := range status.Targets {
		if target.Front == front {
			filtered.Targets = append(filtered.Targets, target)
		}
	}
	return filtered
}

func (r *Runner) showFailureDomains(ctx context.Context) (*report.Report, error) {
	start := r.now()
	response, err := r.configuration(ctx, &pb.GetConfigurationRequest{})
	if err != nil {
		return nil, err
	}
	sections := []report.Section{report.FailureDomains(response.Configuration)}
	notes := report.ConfigurationNote(response.Configuration, response.AgeMs)
	return report.Success("FAILURE DOMAINS", sections, notes, r.now().Sub(start), start), nil
}

// ShowConfiguration reports one revision of the configuration; zero selects the
// newest one known to the VM.
func (r *Runner) ShowConfiguration(ctx context.Context, revision uint64) (*report.Report, error) {
	start := r.now()
	response, err := r.configuration(ctx, &pb.GetConfigurationRequest{Revision: revision})
	if err != nil {
		return nil, err
	}
	c := response.Configuration
	sections := []report.Section{
		report.FailureDomains(c), report.Fronts(c), report.ConfiguredTargets(c, ""),
	}
	notes := report.ConfigurationNote(c, response.AgeMs)
	notes = append(notes, report.Line{Label: "AUTHOR", Text: c.GetAuthor()}, report.Line{Label: "COMMENT", Text: c.GetComment()})
	title := "CONFIGURATION REVISION " + strconv.FormatUint(c.GetRevision(), 10)
	return report.Success(title, sections, notes, r.now().Sub(start), start), nil
}

// History reports the newest accepted revisions. A zero limit selects
// defaultHistoryLimit.
func (r *Runner) History(ctx context.Context, limit uint32) (*report.Report, error) {
	start := r.now()
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	response, err := r.admin.ListHistory(ctx, connect.NewRequest(&pb.ListHistoryRequest{Limit: limit}))
	if err != nil {
		return nil, errors.Wrap(err, "list history")
	}
	sections := []report.Section{report.History(response.Msg)}
	return report.Success("CONFIGURATION HISTORY", sections, nil, r.now().Sub(start), start), nil
}

// VMs reports the members of the deployment as seen by the VM that answers.
func (r *Runner) VMs(ctx context.Context) (*report.Report, error) {
	start := r.now()
	status, err := r.status(ctx)
	if err != nil {
		return nil, err
	}
	sections := []report.Section{report.VMs(status)}
	return report.Success("VMS", sections, report.StatusNotes(status), r.now().Sub(start), start), nil
}

// Status reports VMs, services, budgets and the age of the configuration.
func (r *Runner) Status(ctx context.Context) (*report.Report, error) {
	start := r.now()
	status, err := r.status(ctx)
	if err != nil {
		return nil, err
	}
	sections := []report.Section{report.VMs(status), report.ServiceSummary(status)}
	return report.Success("STATUS", sections, report.StatusNotes(status), r.now().Sub(start), start), nil
}

// Rollouts reports the roll-outs of services to other versions; an empty name selects all.
func (r *Runner) Rollouts(ctx context.Context, service string) (*report.Report, error) {
	start := r.now()
	status, err := r.status(ctx)
	if err != nil {
		return nil, err
	}
	rollouts := slices.DeleteFunc(slices.Clone(status.Rollouts), func(known *pb.RolloutReport) bool {
		return service != "" && known.GetRollout().GetService() != service
	})
	if service != "" && len(rollouts) == 0 {
		return r.refused("ROLL-OUTS", "no roll-out of the service "+service+" is known", start), nil
	}
	sections := []report.Section{report.Rollouts(rollouts), report.RolloutEvidence(rollouts), report.RolloutTests(rollouts)}
	return report.Success("ROLL-OUTS", sections, report.StatusNotes(status), r.now().Sub(start), start), nil
}

// showCoverage probes a front with a one-row search, because the configuration
// alone does not tell which coverage searches currently get.
func (r *Runner) showCoverage(ctx context.Context, front string) (*report.Report, error) {
	request := &pb.SearchRequest{Front: front, RowLimit: 1, TimeLimitMs: r.timeLimitMs(0)}
	result, err := r.Search(ctx, request)
	if err != nil {
		return nil, err
	}
	result.Title = "COVERAGE OF " + front
	result.Sections = nil
	note := report.Line{Label: "MEASURED BY", Text: "A SEARCH FOR ONE ROW WITHOUT CONDITIONS"}
	result.Closing.Notes = append(result.Closing.Notes, note)
	return result, nil
}

func unknownFront(name string) string {
	return fmt.Sprintf("front %s is not configured", name)
}
