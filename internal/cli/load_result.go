package cli

import (
	"time"

	"github.com/carawayreel/carawayreel/internal/load"
)

type loadCompareCommand struct {
	Before string `arg:"" help:"Result file of the run to compare with."`
	After  string `arg:"" help:"Result file of the other run."`
}

// Help implements kong.HelpProvider.
func (*loadCompareCommand) Help() string {
	return `Examples:
  carawayreel load-compare baseline.json product.json
  carawayreel load-compare baseline.json product.json --format csv`
}

// Run compares two result files.
func (c *loadCompareCommand) Run(s *session) error {
	before, err := load.ReadFile(c.Before)
	if err != nil {
		return asUsageError(err)
	}
	after, err := load.ReadFile(c.After)
	if err != nil {
		return asUsageError(err)
	}
	return s.print(load.Compare(before, after, s.Now()), nil)
}

type loadPlotCommand struct {
	Result string `arg:"" help:"Result file of a run."`
	Plot   string `arg:"" help:"File for the plot, ending with .png or .svg."`
	Events string `help:"File of events to mark in place of those in the result." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*loadPlotCommand) Help() string {
	return `Examples:
  carawayreel load-plot product.json product.svg
  carawayreel load-plot product.json product.png --events faults.txt`
}

// Run plots a result file and prints its report.
func (c *loadPlotCommand) Run(s *session) error {
	result, err := load.ReadFile(c.Result)
	if err != nil {
		return asUsageError(err)
	}
	if c.Events != "" {
		result.Events, err = load.ReadEvents(c.Events, time.UnixMilli(result.StartedUnixMs))
		if err != nil {
			return asUsageError(err)
		}
	}
	if err := writePlot(c.Plot, result); err != nil {
		return err
	}
	return s.print(load.Report(result, s.Now()), nil)
}
