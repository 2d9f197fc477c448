package report

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// ApplyOutcome maps the status of a configuration command to an outcome.
func ApplyOutcome(status pb.ApplyStatus) pb.Outcome {
	switch status {
	case pb.ApplyStatus_APPLY_STATUS_ACCEPTED:
		return pb.Outcome_OUTCOME_SUCCESS
	case pb.ApplyStatus_APPLY_STATUS_CONFLICT, pb.ApplyStatus_APPLY_STATUS_INVALID,
		pb.ApplyStatus_APPLY_STATUS_UNSAFE, pb.ApplyStatus_APPLY_STATUS_NOT_RUN:
		return pb.Outcome_OUTCOME_NOT_RUN
	default:
		return pb.Outcome_OUTCOME_UNKNOWN
	}
}

// ApplyResult returns the report of the response to a configuration command, whatever its
// status.
func ApplyResult(title string, response *pb.ApplyConfigurationResponse, elapsed time.Duration, runDate time.Time) *Report {
	outcome := ApplyOutcome(response.Status)
	reason := response.Reason
	if outcome == pb.Outcome_OUTCOME_NOT_RUN {
		reason = strings.TrimSuffix(applyStatusName(response.Status)+": "+reason, ": ")
	}
	r := &Report{
		Title:   title,
		RunDate: runDate,
		Closing: Closing{
			Outcome:  outcome,
			Reason:   reason,
			Elapsed:  elapsed,
			Refusals: refusalsOf(outcome, "THE COMMAND", reason),
			Notes:    []Line{{"REVISION", revisionText(response.Revision)}},
		},
	}
	r.Closing.Notes = append(r.Closing.Notes, confirmationLines(outcome, response)...)
	if len(response.Difference) > 0 {
		r.Sections = []Section{Difference(response.Difference)}
	}
	return r
}

func revisionText(revision uint64) string {
	if revision == 0 {
		return "NOT STATED"
	}
	return strconv.FormatUint(revision, 10)
}

func applyStatusName(status pb.ApplyStatus) string {
	return strings.ReplaceAll(strings.TrimPrefix(status.String(), "APPLY_STATUS_"), "_", " ")
}

func confirmationLines(outcome pb.Outcome, response *pb.ApplyConfigurationResponse) []Line {
	lines := omitEmpty([]Line{{"WINNER", response.Winner}})
	if outcome != pb.Outcome_OUTCOME_SUCCESS {
		return lines
	}
	lines = append(lines, Line{"IN FORCE ON", fmt.Sprintf("%d VMS WHEN THIS WAS ANSWERED", response.ConfirmedVms)})
	return append(lines, labelledLines("NOT CONFIRMED BY", response.UnconfirmedVms)...)
}

// Difference returns the section that lists the lines of a configuration diff.
func Difference(lines []string) Section {
	section := Section{
		Key: "difference", Title: "DIFFERENCE", Unit: "LINES",
		Columns: []Column{{Header: "line", Width: lineWidth}},
	}
	for _, line := range lines {
		section.Rows = append(section.Rows, Row{Cells: []string{line}})
	}
	return section
}

// Success returns a report with outcome SUCCESS, for commands whose response has no
// outcome, such as queries of the configuration or status.
func Success(title string, sections []Section, notes []Line, elapsed time.Duration, runDate time.Time) *Report {
	return &Report{
		Title:    title,
		RunDate:  runDate,
		Sections: sections,
		Closing:  Closing{Outcome: pb.Outcome_OUTCOME_SUCCESS, Elapsed: elapsed, Notes: notes},
	}
}

// ConfigurationNote returns the lines of the closing block that state the revision and
// the age of the configuration that a report is based on.
func ConfigurationNote(c *pb.Configuration, ageMs uint64) []Line {
	return []Line{{"CONFIGURATION", fmt.Sprintf("REVISION %d CONFIRMED %d MS AGO", c.GetRevision(), ageMs)}}
}

// Fronts returns the section that lists the fronts of a configuration.
func Fronts(c *pb.Configuration) Section {
	section := Section{
		Key: "fronts", Title: "FRONTS", Unit: "FRONTS",
		Columns: []Column{
			{Header: "front", Width: 24},
			{Header: "services", Width: 8, Right: true},
			{Header: "targets", Width: 8, Right: true},
			{Header: "partitions", Width: 10, Right: true},
			{Header: "snapshot", Width: 10, Right: true},
			{Header: "limit ms", Width: 8, Right: true},
			{Header: "rows", Width: 6, Right: true},
			{Header: "extra %", Width: 7, Right: true},
			{Header: "revision", Width: 8, Right: true},
		},
	}
	for _, front := range c.GetFronts() {
		section.Rows = append(section.Rows, Row{Cells: frontCells(front)})
	}
	return section
}

func frontCells(front *pb.Front) []string {
	targets, partitions, version := 0, 0, uint64(0)
	for _, service := range front.Services {
		targets += len(service.Targets)
	}
	if n := len(front.Snapshots); n > 0 {
		newest := front.Snapshots[n-1]
		version = newest.Version
		for _, service := range newest.Services {
			partitions += len(service.Partitions)
		}
	}
	return []string{
		front.Name, strconv.Itoa(len(front.Services)), strconv.Itoa(targets), strconv.Itoa(partitions),
		strconv.FormatUint(version, 10), formatCount(front.Limits.GetDefaultTimeLimitMs()),
		formatCount(front.Limits.GetDefaultRowLimit()), formatCount(front.Limits.GetExtraLoadPercent()),
		strconv.FormatUint(front.Revision, 10),
	}
}

func formatCount(n uint32) string {
	return strconv.FormatUint(uint64(n), 10)
}

// FailureDomains returns the section that lists the failure domains of a
// configuration.
func FailureDomains(c *pb.Configuration) Section {
	section := Section{
		Key: "failure domains", Title: "FAILURE DOMAINS", Unit: "FAILURE DOMAINS",
		Columns: []Column{{Header: "failure domain", Width: 24}, {Header: "region", Width: 24}, {Header: "state", Width: 12}},
	}
	for _, domain := range c.GetFailureDomains() {
		section.Rows = append(section.Rows, Row{Cells: []string{domain.Name, domain.Region, servingStateName(domain.State)}})
	}
	return section
}

func servingStateName(state pb.ServingState) string {
	return strings.ReplaceAll(strings.TrimPrefix(state.String(), "SERVING_STATE_"), "_", " ")
}

// ConfiguredTargets returns the section that lists the targets of a front, or
// of all fronts when front is empty.
func ConfiguredTargets(c *pb.Configuration, front string) Section {
	section := Section{
		Key: "targets", Title: "TARGETS", Unit: "TARGETS", Groups: []string{"front", "service"},
		Columns: []Column{
			{Header: "target", Width: 24}, {Header: "address", Width: 22}, {Header: "failure domain", Width: 16},
			{Header: "slots", Width: 5, Right: true}, {Header: "conns", Width: 5, Right: true},
			{Header: "setup us", Width: 8, Right: true}, {Header: "cold", Width: 5, Right: true},
			{Header: "state", Width: 10},
		},
	}
	for _, f := range c.GetFronts() {
		if front != "" && f.Name != front {
			continue
		}
		for _, service := range f.Services {
			for _, target := range service.Targets {
				section.Rows = append(section.Rows, Row{
					Groups: []string{f.Name, service.Name},
					Cells:  targetCells(target),
				})
			}
		}
	}
	return section
}

func targetCells(target *pb.Target) []string {
	return []string{
		target.Id, target.Address, target.FailureDomain, formatCount(target.Slots), formatCount(target.Connections),
		formatCount(target.ConnectionSetupUs), formatCount(target.ColdLimit), servingStateName(target.State),
	}
}

// History returns the section that lists accepted revisions, each with its diff
// to the previous revision.
func History(response *pb.ListHistoryResponse) Section {
	section := Section{
		Key: "history", Unit: "LINES", Groups: []string{"revision"},
		Columns: []Column{
			{Header: "accepted (utc)", Width: 19, FirstInGroup: true}, {Header: "author", Width: 16, FirstInGroup: true},
			{Header: "comment", Width: 28, FirstInGroup: true}, {Header: "difference", Width: 63},
		},
	}
	for _, entry := range response.Entries {
		difference := entry.Difference
		if len(difference) == 0 {
			difference = []string{"no difference is recorded"}
		}
		for _, line := range difference {
			section.Rows = append(section.Rows, Row{
				Groups: []string{strconv.FormatUint(entry.Revision, 10)},
				Cells: []string{
					time.UnixMilli(entry.AcceptedUnixMs).UTC().Format(runDateLayout), entry.Author, entry.Comment, line,
				},
			})
		}
	}
	return section
}
