package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/language"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/report"
	"github.com/carawayreel/carawayreel/internal/statement"
)

const (
	// sampleRows is the number of rows that search conditions are sampled from.
	sampleRows        = 200
	sampleTimeLimitMs = 5000
	plotFileMode      = 0o644
)

type loadCommand struct {
	Front      string        `arg:"" help:"Front to search."`
	Rate       float64       `help:"Searches a second on average; they arrive as a Poisson process." default:"50"`
	Duration   time.Duration `help:"Length of the run, at most 1h." default:"30s"`
	Seed       uint64        `help:"Seed of the arrival times and searches." default:"1"`
	Where      []string      `help:"Conditions of a search; given more than once, each search draws one of them. Without, they are drawn from rows of the front." sep:"none"`
	Coverage   uint32        `help:"Least share of partitions wanted, in percent."`
	Limit      uint32        `help:"Most rows returned; zero takes the front's."`
	MaxRunning uint32        `help:"Most searches running at once; further ones wait, which counts as latency." default:"2000"`
	Interval   time.Duration `help:"Length of the intervals of the plot." default:"1s"`
	Label      string        `help:"Name of the run in comparisons." default:"run"`
	Output     string        `help:"File for the result, as JSON." placeholder:"FILE"`
	Plot       string        `help:"File for a plot, ending with .png or .svg." placeholder:"FILE"`
	Events     string        `help:"File of events to mark, one a line: a duration from the start or an RFC 3339 time, and a text. It is read after the run." placeholder:"FILE"`
	Quiet      bool          `help:"Print no progress line."`
}

// Help implements kong.HelpProvider.
func (*loadCommand) Help() string {
	return `Searches start at times drawn from the seed, whether or not earlier ones have been
answered, and latency counts from the intended start. The servers take turns. The
run ends by itself; an interrupt ends it early and still gives its result.

Examples:
  carawayreel load zoekportaal --rate 200 --duration 60s --time-limit 140ms --output product.json --plot product.png
  carawayreel load bond-gate --where "cask = 'c-1042'" --where "holder LIKE PREFIX 'Mor'" --seed 7
  carawayreel load-compare baseline.json product.json`
}

// Run generates the load.
func (c *loadCommand) Run(s *session) error {
	parameters := c.parameters(s)
	conditions, err := c.conditions(s, parameters)
	if err != nil {
		return err
	}
	front, revision, err := configuredFront(s, c.Front)
	if err != nil {
		return err
	}
	options := load.Options{Parameters: parameters, Conditions: conditions}
	for _, srv := range s.client.servers {
		options.Servers = append(options.Servers, loadServer{srv})
	}
	if !c.Quiet {
		options.Progress = s.Stderr
	}
	result, err := load.Run(s.ctx, options)
	if err != nil {
		return asUsageError(err)
	}
	result.ConfigurationRevision = revision
	result.Targets, result.Partitions = frontSize(front)
	return c.writeResults(s, result)
}

func (c *loadCommand) parameters(s *session) *pb.LoadParameters {
	return &pb.LoadParameters{
		Label:                  c.Label,
		Front:                  c.Front,
		Servers:                s.flags.Server,
		Rate:                   c.Rate,
		DurationMs:             uint64(c.Duration.Milliseconds()),
		Seed:                   c.Seed,
		TimeLimitMs:            uint32(s.flags.TimeLimit.Milliseconds()),
		MinimumCoveragePercent: c.Coverage,
		RowLimit:               c.Limit,
		MaxRunning:             c.MaxRunning,
		IntervalMs:             uint64(c.Interval.Milliseconds()),
	}
}

// conditions returns one list of conditions for each --where flag or, without this flag,
// lists sampled from rows of the front. It adds their texts to the parameters. Each search
// uses one of the lists.
func (c *loadCommand) conditions(s *session, p *pb.LoadParameters) ([][]*pb.Condition, error) {
	var conditions [][]*pb.Condition
	for _, text := range c.Where {
		parsed, err := language.ParseConditions(text)
		if err != nil {
			return nil, &UsageError{Reason: fmt.Sprintf("condition %q: %v", text, err)}
		}
		conditions = append(conditions, statement.Conditions(parsed))
	}
	p.Conditions = c.Where
	if len(c.Where) > 0 {
		return conditions, nil
	}
	response, err := s.client.Search(s.ctx, connect.NewRequest(&pb.SearchRequest{
		Front: c.Front, RowLimit: sampleRows, TimeLimitMs: sampleTimeLimitMs,
	}))
	if err != nil {
		return nil, errors.Wrap(err, "sample conditions from rows of the front")
	}
	conditions = load.SampleConditions(c.Seed, response.Msg.Rows)
	for _, searchConditions := range conditions {
		p.Conditions = append(p.Conditions, report.ConditionText(searchConditions[0]))
	}
	return conditions, nil
}

// configuredFront returns the configuration of the front and the revision in force. If
// the front is not configured, the error is a *UsageError.
func configuredFront(s *session, name string) (*pb.Front, uint64, error) {
	response, err := s.client.GetConfiguration(s.ctx, connect.NewRequest(&pb.GetConfigurationRequest{}))
	if err != nil {
		return nil, 0, err
	}
	configuration := response.Msg.Configuration
	for _, front := range configuration.GetFronts() {
		if front.Name == name {
			return front, configuration.Revision, nil
		}
	}
	return nil, 0, &UsageError{Reason: "front " + name + " is not configured"}
}

// frontSize returns the number of targets, and of partitions in the newest snapshot.
func frontSize(front *pb.Front) (targets, partitions uint32) {
	for _, service := range front.Services {
		targets += uint32(len(service.Targets))
	}
	if n := len(front.Snapshots); n > 0 {
		for _, service := range front.Snapshots[n-1].Services {
			partitions += uint32(len(service.Partitions))
		}
	}
	return targets, partitions
}

// writeResults writes the result and plot files and prints the report. If no search got
// a response, it sets the exit code to ExitUnreachable.
func (c *loadCommand) writeResults(s *session, result *pb.LoadResult) error {
	if c.Events != "" {
		events, err := load.ReadEvents(c.Events, time.UnixMilli(result.StartedUnixMs))
		if err != nil {
			return asUsageError(err)
		}
		result.Events = events
	}
	if c.Output != "" {
		if err := load.WriteFile(c.Output, result); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := writePlot(c.Plot, result); err != nil {
			return err
		}
	}
	if err := s.print(load.Report(result, s.Now()), nil); err != nil {
		return err
	}
	counts := result.Counts
	if counts.Success+counts.Partial+counts.NotRun+counts.Other == 0 {
		s.exitCode = statement.ExitUnreachable
	}
	return nil
}

func writePlot(name string, result *pb.LoadResult) error {
	var image bytes.Buffer
	if err := load.WritePlot(&image, name, result); err != nil {
		return asUsageError(err)
	}
	return errors.Wrap(os.WriteFile(name, image.Bytes(), plotFileMode), "write plot")
}

// asUsageError converts errors about invalid input or missing files to a *UsageError
// and returns other errors unchanged.
func asUsageError(err error) error {
	var invalid *load.InvalidError
	if errors.As(err, &invalid) || errors.Is(err, os.ErrNotExist) {
		return &UsageError{Reason: err.Error()}
	}
	return err
}

// loadServer sends searches to one server, without failover.
type loadServer struct {
	server server
}

// Search implements load.Searcher.
func (l loadServer) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	response, err := l.server.caller.Search(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.New(failureText(err))
	}
	return response.Msg, nil
}

// failureText returns an error's code and innermost cause. It omits the parts that vary
// between requests, so that equal failures are counted together.
func failureText(err error) string {
	text := err.Error()
	if at := strings.LastIndex(text, ": "); at >= 0 {
		text = text[at+2:]
	}
	return connect.CodeOf(err).String() + ": " + text
}
