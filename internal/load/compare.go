package load

import (
	"fmt"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

// Column widths of reports and comparisons, in character cells.
const (
	metricWidth = 34
	valueWidth  = 18
)

// metric is one row of a report or comparison.
type metric struct {
	name   string
	value  func(*pb.LoadResult) float64
	format string
}

func metrics() []metric {
	counts := func(pick func(*pb.LoadCounts) uint64) func(*pb.LoadResult) float64 {
		return func(r *pb.LoadResult) float64 { return float64(pick(r.Counts)) }
	}
	latency := func(pick func(*pb.LoadLatency) uint64) func(*pb.LoadResult) float64 {
		return func(r *pb.LoadResult) float64 { return toMs(pick(r.Latency)) }
	}
	return []metric{
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

// Report returns a report of the metrics of one run.
func Report(result *pb.LoadResult, runDate time.Time) *report.Report {
	section := report.Section{
		Key: "measures", Unit: "MEASURES",
		Columns: []report.Column{
			{Header: "measure", Width: metricWidth}, {Header: "value", Width: valueWidth, Right: true},
		},
	}
	for _, m := range metrics() {
		value := fmt.Sprintf(m.format, m.value(result))
		section.Rows = append(section.Rows, report.Row{Cells: []string{m.name, value}})
	}
	r := report.Success("LOAD ON "+result.Parameters.GetFront(), []report.Section{section}, nil,
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

// Compare returns a report that compares two runs. Runs with different loads are
// compared as well, with a caution in the report.
func Compare(before, after *pb.LoadResult, runDate time.Time) *report.Report {
	section := report.Section{
		Key: "comparison", Unit: "MEASURES",
		Columns: []report.Column{
			{Header: "measure", Width: metricWidth},
			{Header: "a", Width: valueWidth, Right: true},
			{Header: "b", Width: valueWidth, Right: true},
			{Header: "b - a", Width: valueWidth, Right: true},
			{Header: "b / a", Width: valueWidth, Right: true},
		},
	}
	for _, m := range metrics() {
		a, b := m.value(before), m.value(after)
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.3f", b/a)
		}
		section.Rows = append(section.Rows, report.Row{Cells: []string{
			m.name, fmt.Sprintf(m.format, a), fmt.Sprintf(m.format, b), fmt.Sprintf(m.format, b-a), ratio,
		}})
	}
	r := report.Success("COMPARISON OF LOAD RUNS", []report.Section{section}, nil, 0, runDate)
	r.Subject = append(parameterLines(before, " A"), parameterLines(after, " B")...)
	if !sameLoad(before.Parameters, after.Parameters) {
		r.Closing.Notes = append(r.Closing.Notes,
			report.Line{Label: "CAUTION", Text: "THE RUNS HAD DIFFERENT LOADS"})
	}
	return r
}

// sameLoad reports whether two runs had parameters that yield the same requests
// at the same offsets.
func sameLoad(a, b *pb.LoadParameters) bool {
	return a.GetFront() == b.GetFront() && a.GetRate() == b.GetRate() && a.GetSeed() == b.GetSeed() &&
		a.GetDurationMs() == b.GetDurationMs() && a.GetTimeLimitMs() == b.GetTimeLimitMs() &&
		a.GetRowLimit() == b.GetRowLimit() && fmt.Sprint(a.GetConditions()) == fmt.Sprint(b.GetConditions())
}
