package report

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Widths of the columns of a search report, in character cells.
const (
	recordWidth   = 24
	minFieldWidth = 12
	maxFieldWidth = 32
)

// Search returns the report of a search response.
func Search(request *pb.SearchRequest, response *pb.SearchResponse, runDate time.Time) *Report {
	r := &Report{
		Title:    "SEARCH OF " + request.Front,
		RunDate:  runDate,
		Subject:  searchSubject(request, response),
		Sections: []Section{searchSection(request, response)},
		Closing:  searchClosing(request, response),
	}
	if request.Explain {
		r.Sections = append(r.Sections, Decisions(response.Decisions))
	}
	return r
}

func searchSubject(request *pb.SearchRequest, response *pb.SearchResponse) []Line {
	lines := []Line{{"REQUEST", response.RequestId}}
	label := "WHERE"
	for _, condition := range request.Conditions {
		lines = append(lines, Line{label, ConditionText(condition)})
		label = ""
	}
	if request.MinimumCoveragePercent > 0 {
		lines = append(lines, Line{"COVERAGE WANTED", fmt.Sprintf("%d %%", request.MinimumCoveragePercent)})
	}
	return lines
}

// ConditionText returns a condition in the syntax of the query language.
func ConditionText(c *pb.Condition) string {
	quoted := strings.ReplaceAll(c.Value, "'", "''")
	return fmt.Sprintf("%s %s '%s'", c.Field, operatorText(c.Operator), quoted)
}

func operatorText(operator pb.Operator) string {
	switch operator {
	case pb.Operator_OPERATOR_EQUAL:
		return "="
	case pb.Operator_OPERATOR_PREFIX:
		return "LIKE PREFIX"
	case pb.Operator_OPERATOR_CONTAINS:
		return "CONTAINS"
	case pb.Operator_OPERATOR_LESS:
		return "<"
	case pb.Operator_OPERATOR_GREATER:
		return ">"
	default:
		return "?"
	}
}

// searchSection returns the section with the rows, grouped by service and
// partition. It has one column for each field name, in order of first appearance.
func searchSection(request *pb.SearchRequest, response *pb.SearchResponse) Section {
	rows := slices.Clone(response.Rows)
	slices.SortStableFunc(rows, func(a, b *pb.Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Partition, b.Partition))
	})
	fields := fieldOrder(rows)
	section := Section{
		Key:     "records",
		Unit:    "RECORDS",
		Groups:  []string{"service", "partition"},
		Columns: searchColumns(fields),
		Remark:  rowLimitRemark(request, response),
	}
	for _, row := range rows {
		section.Rows = append(section.Rows, Row{
			Groups: []string{row.Service, row.Partition},
			Cells:  searchCells(row, fields),
		})
	}
	return section
}

// rowLimitRemark states what the row limit omitted. Targets apply the limit as well,
// so the number of omitted rows is a lower bound.
func rowLimitRemark(request *pb.SearchRequest, response *pb.SearchResponse) string {
	limit := request.RowLimit
	switch {
	case response.RowsBeyondLimit > 0:
		return fmt.Sprintf("AT LEAST %d RECORDS BEYOND THE ROW LIMIT ARE NOT LISTED", response.RowsBeyondLimit)
	case limit > 0 && len(response.Rows) >= int(limit):
		return fmt.Sprintf("THE ROW LIMIT OF %d IS REACHED; MORE RECORDS MAY EXIST", limit)
	default:
		return ""
	}
}

func fieldOrder(rows []*pb.Row) []string {
	var order []string
	seen := map[string]bool{}
	for _, row := range rows {
		for _, field := range row.Fields {
			if !seen[field.Name] {
				seen[field.Name] = true
				order = append(order, field.Name)
			}
		}
	}
	return order
}

func searchColumns(fields []string) []Column {
	columns := []Column{{Header: "record", Width: recordWidth}}
	if len(fields) == 0 {
		return columns
	}
	available := lineWidth - recordWidth
	width := min(max(available/len(fields)-len(columnGap), minFieldWidth), maxFieldWidth)
	for _, field := range fields {
		columns = append(columns, Column{Header: field, Width: width})
	}
	return columns
}

func searchCells(row *pb.Row, fields []string) []string {
	cells := make([]string, 1, len(fields)+1)
	cells[0] = row.RecordId
	for _, name := range fields {
		index := slices.IndexFunc(row.Fields, func(f *pb.Field) bool { return f.Name == name })
		value := ""
		if index >= 0 {
			value = row.Fields[index].Value
		}
		cells = append(cells, value)
	}
	return cells
}

func searchClosing(request *pb.SearchRequest, response *pb.SearchResponse) Closing {
	coverage := response.Coverage
	if coverage == nil {
		coverage = &pb.Coverage{}
	}
	return Closing{
		Outcome:   response.Outcome,
		Reason:    response.Reason,
		Coverage:  coverage,
		Snapshot:  response.Snapshot,
		Elapsed:   milliseconds(uint64(response.ElapsedMs)),
		TimeLimit: milliseconds(uint64(request.TimeLimitMs)),
		Refusals:  searchRefusals(response),
		Notes: []Line{
			{"SUBREQUESTS", fmt.Sprintf("%d, OF THESE %d HEDGES AND RETRIES", response.Subrequests, response.ExtraSubrequests)},
			{"CONFIGURATION", fmt.Sprintf("REVISION %d CONFIRMED %d MS AGO", response.ConfigurationRevision, response.ConfigurationAgeMs)},
			{"ANSWERED BY", response.Vm},
		},
	}
}

// searchRefusals lists refusals of the whole search, and the number of partitions whose
// replicas refused the work or that were skipped because the request is quarantined.
func searchRefusals(response *pb.SearchResponse) []string {
	var refusals []string
	if response.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
		refusals = append(refusals, "THE WHOLE SEARCH: "+response.Reason)
	}
	counts := map[pb.MissingReason]int{}
	for _, missing := range response.Coverage.GetMissing() {
		counts[missing.Reason]++
	}
	for _, reason := range []pb.MissingReason{
		pb.MissingReason_MISSING_REASON_REFUSED,
		pb.MissingReason_MISSING_REASON_QUARANTINED,
	} {
		if counts[reason] > 0 {
			refusals = append(refusals, fmt.Sprintf("%d PARTITIONS %s", counts[reason], MissingName(reason)))
		}
	}
	return refusals
}

// Decisions returns the section that lists the decisions taken for a request.
func Decisions(decisions []*pb.Decision) Section {
	section := Section{
		Key:   "decisions",
		Title: "DECISIONS",
		Unit:  "DECISIONS",
		Columns: []Column{
			{Header: "at us", Width: 9, Right: true},
			{Header: "decision", Width: 9},
			{Header: "attempt", Width: 7, Right: true},
			{Header: "service", Width: 18},
			{Header: "target", Width: 20},
			{Header: "owner", Width: 14},
			{Header: "snapshot", Width: 8, Right: true},
			{Header: "reason", Width: 32},
		},
	}
	for _, d := range decisions {
		section.Rows = append(section.Rows, Row{Cells: []string{
			strconv.FormatInt(d.OffsetUs, 10),
			strings.TrimPrefix(d.Kind.String(), "DECISION_KIND_"),
			strconv.FormatUint(d.Attempt, 10),
			d.Service, d.Target, d.Owner,
			strconv.FormatUint(d.Snapshot, 10),
			d.Reason,
		}})
	}
	return section
}

func milliseconds(n uint64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
