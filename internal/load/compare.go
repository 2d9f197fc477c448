package load

import (
	"fmt"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

// Widths of the columns of comparisons, in character cells.
const (
	measureWidth = 34
	figureWidth  = 18
)

// measure is one line of a comparison.
type measure struct {
	name   string
	value  func(*pb.LoadResult) float64
	format string
}

func measures() []measure {
	counts := func(pick func(*pb.LoadCounts) uint64) func(*pb.LoadResult) float64 {
		return func(r *pb.LoadResult) float64 { return float64(pick(r.Counts)) }
	}
	latency := func(pick func(*pb.LoadLatency) uint64) func(*pb.LoadResult) float64 {
		return func(r *pb.LoadResult) float64 { return toMs(pick(r.Latency)) }
	}
	return []measure{
		{"requests intended", counts((*pb.LoadCounts).GetIntended), "%.0f"},
		{"answered with full coverage", counts((*pb.LoadCounts).GetSuccess), "%.0f"},
		{"answered in part", counts((*pb.LoadCounts).GetPartial), "%.0f"},
		{"refused: not run", counts((*pb.LoadCounts).GetNotRun), "%.0f"},
		{"other outcomes", counts((*pb.LoadCounts).GetOther), "%.0f"},
		{"without an answer", counts((*pb.LoadCounts).GetFailed), "%.0f"},
		{"not sent by the generator", counts((*pb.LoadCounts).GetNotSent), "%.0f"},
		{"coverage, % of partitions", func(r *pb.LoadResult) float64 { return CoveragePercent(r.Counts) }, "%.3f"},
		{"extra subrequests, %", func(r *pb.LoadResult) float64 { return ExtraPercent(r.Counts) }, "%.3f"},
		{"latency mean, ms", latency((*pb.LoadLatency).GetMeanUs), "%.2f"},
		{"latency p50, ms", latency((*pb.LoadLatency).GetP50Us), "%.2f"},
		{"latency p90, ms", latency((*pb.LoadLatency).GetP90Us), "%.2f"},
		{"latency p99, ms", latency((*pb.LoadLatency).GetP99Us), "%.2f"},
		{"latency p99.9, ms", latency((*pb.LoadLatency).GetP999Us), "%.2f"},
		{"latency max, ms", latency((*pb.LoadLatency).GetMaxUs), "%.2f"},
	}
}

// Report returns the report of one run.
func Report(result *pb.LoadResult, runDate time.Time) *report.Report {
	section := report.Section{
		Key: "measures", Unit: "MEASURES",
		Columns: []report.Column{
			{Head: "measure", Width: measureWidth}, {Head: "value", Width: figureWidth, Right: true},
		},
	}
	for _, m := range measures() {
		value := fmt.Sprintf(m.format, m.value(result))
		section.Rows = append(section.Rows, report.Row{Cells: []string{m.name, value}})
	}
	r := report.State("LOAD ON "+result.Parameters.GetFront(), []report.Section{section}, nil,
		duration(result.Parameters), runDate)
	r.Subject = parameterLines(result, "")
	for _, missing := range result.Missing {
		r.Closing.Notes = append(r.Closing.Notes,
			report.Line{Label: "MISSING", Text: fmt.Sprintf("%d PARTITIONS: %s", missing.Partitions, missing.Reason)})
	}
	for _, failure := range result.Failures {
		r.Closing.Notes = append(r.Closing.Notes,
			report.Line{Label: "FAILED", Text: fmt.Sprintf("%d REQUESTS: %s", failure.Requests, failure.Error)})
	}
	if result.Interrupted {
		r.Closing.Outcome = pb.Outcome_OUTCOME_PARTIAL
		r.Closing.Reason = "the run was ended before its time"
	}
	return r
}

func parameterLines(result *pb.LoadResult, suffix string) []report.Line {
	p := result.Parameters
	return []report.Line{
		{Label: "RUN" + suffix, Text: fmt.Sprintf("%s, %s", p.GetLabel(),
			time.UnixMilli(result.StartedUnixMs).UTC().Format(time.RFC3339))},
		{Text: fmt.Sprintf("front %s of %d targets and %d partitions, revision %d", p.GetFront(), result.Targets,
			result.Partitions, result.ConfigurationRevision)},
		{Text: fmt.Sprintf("%g requests/s for %s, seed %d, time limit %d ms", p.GetRate(), duration(p), p.GetSeed(),
			p.GetTimeLimitMs())},
	}
}

// Compare returns the report that compares two runs. Runs with different
// parameters are compared all the same, and the report says so.
func Compare(before, after *pb.LoadResult, runDate time.Time) *report.Report {
	section := report.Section{
		Key: "comparison", Unit: "MEASURES",
		Columns: []report.Column{
			{Head: "measure", Width: measureWidth},
			{Head: "a", Width: figureWidth, Right: true},
			{Head: "b", Width: figureWidth, Right: true},
			{Head: "b - a", Width: figureWidth, Right: true},
			{Head: "b / a", Width: figureWidth, Right: true},
		},
	}
	for _, m := range measures() {
		a, b := m.value(before), m.value(after)
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.3f", b/a)
		}
		section.Rows = append(section.Rows, report.Row{Cells: []string{
			m.name, fmt.Sprintf(m.format, a), fmt.Sprintf(m.format, b), fmt.Sprintf(m.format, b-a), ratio,
		}})
	}
	r := report.State("COMPARISON OF LOAD RUNS", []report.Section{section}, nil, 0, runDate)
	r.Subject = append(parameterLines(before, " A"), parameterLines(after, " B")...)
	if !sameLoad(before.Parameters, after.Parameters) {
		r.Closing.Notes = append(r.Closing.Notes,
			report.Line{Label: "CAUTION", Text: "THE RUNS HAD DIFFERENT LOADS"})
	}
	return r
}

// sameLoad reports whether two runs sent the same requests at the same times.
func sameLoad(a, b *pb.LoadParameters) bool {
	return a.GetFront() == b.GetFront() && a.GetRate() == b.GetRate() && a.GetSeed() == b.GetSeed() &&
		a.GetDurationMs() == b.GetDurationMs() && a.GetTimeLimitMs() == b.GetTimeLimitMs() &&
		a.GetRowLimit() == b.GetRowLimit() && fmt.Sprint(a.GetConditions()) == fmt.Sprint(b.GetConditions())
}
