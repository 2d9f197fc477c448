package report_test

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"flag"
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/report"
)

var update = flag.Bool("update", false, "write the golden files")

var runDate = time.Date(2026, 12, 4, 6, 40, 0, 0, time.UTC)

func row(service, partition string, number int, values ...string) *pb.Row {
	r := &pb.Row{
		RecordId: fmt.Sprintf("%s:%d", service, number), Service: service, Partition: partition, Snapshot: 7,
	}
	for i, name := range []string{"name", "parish", "date"} {
		if i < len(values) {
			r.Fields = append(r.Fields, &pb.Field{Name: name, Value: values[i]})
		}
	}
	return r
}

func searchRequest() *pb.SearchRequest {
	return &pb.SearchRequest{
		Front:       "zoekportaal",
		Conditions:  []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: "Jan"}},
		TimeLimitMs: 140,
	}
}

func fullResponse() *pb.SearchResponse {
	return &pb.SearchResponse{
		RequestId: "r-1", Outcome: pb.Outcome_OUTCOME_SUCCESS,
		Rows: []*pb.Row{
			row("trees", "trees-1", 4, "Jansen, Piet", "Utrecht", "1848-03-09"),
			row("names", "names-0", 1, "Jansen, Jan", "Leiden", "1850-01-31"),
			row("names", "names-1", 2, "Jans, Griet", "Utrecht"),
			row("names", "names-0", 3, "Janssen, Aaltje", "Delft", "1851-11-02"),
		},
		RowsBeyondLimit: 12,
		Coverage:        &pb.Coverage{Covered: 4, Total: 4, MapKnown: true},
		Snapshot:        7, ElapsedMs: 38, ConfigurationRevision: 12, ConfigurationAgeMs: 410,
		Subrequests: 5, ExtraSubrequests: 1, Vm: "vm-a-1",
	}
}

func partialResponse() *pb.SearchResponse {
	r := fullResponse()
	r.Outcome, r.Reason = pb.Outcome_OUTCOME_PARTIAL, "2 of 4 partitions are not covered"
	r.Rows, r.RowsBeyondLimit, r.ElapsedMs = r.Rows[1:2], 0, 140
	r.Coverage.Covered = 1
	r.Coverage.Missing = []*pb.MissingPartition{
		{Service: "trees", Partition: "trees-0", Reason: pb.MissingReason_MISSING_REASON_DEADLINE},
		{Service: "trees", Partition: "trees-1", Reason: pb.MissingReason_MISSING_REASON_REFUSED},
		{Service: "names", Partition: "names-1", Reason: pb.MissingReason_MISSING_REASON_DEADLINE},
	}
	return r
}

func emptyResponse() *pb.SearchResponse {
	r := fullResponse()
	r.Rows, r.RowsBeyondLimit = nil, 0
	return r
}

func refusedResponse() *pb.SearchResponse {
	return &pb.SearchResponse{
		RequestId: "r-2", Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: "too many searches are running on this VM",
		Vm: "vm-a-1",
	}
}

func wideResponse() *pb.SearchResponse {
	r := fullResponse()
	r.Rows = []*pb.Row{
		row("names", "names-0", 1, "山田太郎", "Zürich", "1850-01-31"),
		row("names", "names-0", 2, "Andre\u0301 e\u0301te\u0301", "O\u0302\u0301\u0323", "1850-02-01"),
		row("names", "names-0", 3, "tab\there\x1b[31m", "left\u202eright", "line\nbreak"),
		row("names", "names-0", 4, strings.Repeat("漢字", 20), "ＦＵＬＬ", "1850-02-02"),
	}
	r.RowsBeyondLimit = 0
	return r
}

func longResponse() *pb.SearchResponse {
	r := fullResponse()
	r.Rows = []*pb.Row{
		row("names", "names-0", 1, strings.Repeat("a very long name ", 9), strings.Repeat("x", 65), "1850-01-31"),
		row("names", "names-0", 2, "short", "", "1850-02-01"),
	}
	r.Rows[0].RecordId = "names:" + strings.Repeat("9", 40)
	r.RowsBeyondLimit = 0
	return r
}

func multiPageResponse() *pb.SearchResponse {
	r := fullResponse()
	r.Rows, r.RowsBeyondLimit = nil, 0
	for i := range 100 {
		r.Rows = append(r.Rows, row("names", fmt.Sprintf("names-%d", i/40), i, "Jansen", "Utrecht"))
	}
	return r
}

func transferRequest() *pb.SubmitChangeRequest {
	return &pb.SubmitChangeRequest{
		Token: "vm-a-1.17.x", TimeLimitMs: 2000,
		Change: &pb.Change{Front: "broker-desk", Kind: &pb.Change_Transfer{Transfer: &pb.TitleTransfer{
			CaskId: "titles:42", FromHolder: "Penderyn", ToHolder: "Morgan & Co",
		}}},
	}
}

func explainedReport() *report.Report {
	request := searchRequest()
	request.Explain = true
	r := fullResponse()
	r.Decisions = []*pb.Decision{
		{Kind: pb.DecisionKind_DECISION_KIND_PIN, Reason: "newest version", Snapshot: 7, OffsetUs: 12},
		{Kind: pb.DecisionKind_DECISION_KIND_HEDGE, Attempt: 2, Service: "names", Target: "names-2", Owner: "vm-b-1",
			Reason: "no reply after the 95th percentile", Snapshot: 7, OffsetUs: 21004},
	}
	return report.Search(request, r, runDate)
}

func reports() map[string]*report.Report {
	conflict := &pb.ApplyConfigurationResponse{
		Status: pb.ApplyStatus_APPLY_STATUS_CONFLICT, Revision: 14, Reason: "revision 14 came first", Winner: "bea",
		Difference: []string{"- fronts[f].limits.defaultRowLimit = 50", "+ fronts[f].limits.defaultRowLimit = 60"},
	}
	accepted := &pb.ApplyConfigurationResponse{
		Status: pb.ApplyStatus_APPLY_STATUS_ACCEPTED, Revision: 15, ConfirmedVms: 8, UnconfirmedVms: []string{"vm-c-3"},
	}
	return map[string]*report.Report{
		"full":    report.Search(searchRequest(), fullResponse(), runDate),
		"partial": report.Search(searchRequest(), partialResponse(), runDate),
		"empty":   report.Search(searchRequest(), emptyResponse(), runDate),
		"refused": report.Search(searchRequest(), refusedResponse(), runDate),
		"wide":    report.Search(searchRequest(), wideResponse(), runDate),
		"long":    report.Search(searchRequest(), longResponse(), runDate),
		"pages":   report.Search(searchRequest(), multiPageResponse(), runDate),
		"explain": explainedReport(),
		"unknown": report.Change(transferRequest(), &pb.SubmitChangeResponse{
			Token: "vm-a-1.17.x", Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "the target's answer was lost",
			Target: "titles-2", Vm: "vm-a-1", ElapsedMs: 2001,
		}, runDate),
		"change": report.Change(transferRequest(), &pb.SubmitChangeResponse{
			Token: "vm-a-1.17.x", Outcome: pb.Outcome_OUTCOME_SUCCESS, Target: "titles-2", Vm: "vm-a-1", ElapsedMs: 9,
		}, runDate),
		"change-refused": report.Change(transferRequest(), &pb.SubmitChangeResponse{
			Token: "vm-a-1.17.x", Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: "the token has expired", Vm: "vm-a-1",
		}, runDate),
		"conflict": report.ApplyResult("ALTER FRONT f", conflict, 11*time.Millisecond, runDate),
		"accepted": report.ApplyResult("TAKE OUT FAILURE DOMAIN b", accepted, 640*time.Millisecond, runDate),
		"status":   statusReport(),
		"history":  historyReport(),
	}
}

func historyReport() *report.Report {
	section := report.History(&pb.ListHistoryResponse{Entries: []*pb.HistoryEntry{
		{Revision: 12, Author: "bea", Comment: "two more searchers", AcceptedUnixMs: runDate.UnixMilli(), Difference: []string{
			"+ front f service names target names-4: address=127.0.0.1:9004 failure_domain=a slots=2 connections=25",
			"+ front f service names target names-5: address=127.0.0.1:9005 failure_domain=b slots=2 connections=25",
		}},
		{Revision: 11, Author: "ann", AcceptedUnixMs: runDate.UnixMilli() - 60000},
	}})
	return report.Success("CONFIGURATION HISTORY", []report.Section{section}, nil, 0, runDate)
}

func statusReport() *report.Report {
	s := &pb.GetStatusResponse{
		Vm: "vm-a-1", FailureDomain: "a", ConfigurationRevision: 15, ConfigurationAgeMs: 700,
		Members: []*pb.Member{
			{Vm: "vm-b-1", FailureDomain: "b", PeerAddress: "127.0.0.1:7202", State: pb.MemberState_MEMBER_STATE_SUSPECT},
			{Vm: "vm-a-1", FailureDomain: "a", PeerAddress: "127.0.0.1:7201", State: pb.MemberState_MEMBER_STATE_ALIVE},
		},
		Targets: []*pb.TargetStatusReport{
			{Target: "names-1", Front: "f", Service: "names", Owner: "vm-a-1", Phase: pb.TargetPhase_TARGET_PHASE_WARM, Limit: 2, Running: 1},
			{Target: "trees-1", Front: "f", Service: "trees", Owner: "vm-b-1", Phase: pb.TargetPhase_TARGET_PHASE_COLD, Limit: 1, Refused: 3},
			{Target: "names-2", Front: "f", Service: "names", Owner: "vm-b-1", Phase: pb.TargetPhase_TARGET_PHASE_RAMP, Limit: 1, Queued: 4},
		},
		Quarantined: []string{"9f02c1"}, NotReadyReason: "the configuration is not known", HedgeBudgetLeft: 17, ChangeRecords: 3,
	}
	sections := []report.Section{report.VMs(s), report.ServiceSummary(s), report.OwnedTargets(s)}
	return report.Success("STATUS", sections, report.StatusNotes(s), 5*time.Millisecond, runDate)
}

func render(t require.TestingT, r *report.Report, format report.Format) string {
	var out bytes.Buffer
	require.NoError(t, report.Write(&out, r, format))
	return out.String()
}

func TestGoldenReports(t *testing.T) {
	for name, r := range reports() {
		for _, format := range []report.Format{report.FormatReport, report.FormatJSON, report.FormatCSV} {
			path := filepath.Join("testdata", name+"."+string(format)+".golden")
			got := render(t, r, format)
			if *update {
				require.NoError(t, os.MkdirAll("testdata", 0o755))
				require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), got, path)
		}
	}
}

// The closing block of every report has the same labels, whatever the content.
func TestEveryReportHasTheClosingLabels(t *testing.T) {
	for name, r := range reports() {
		printed := render(t, r, report.FormatReport)
		closing := printed[strings.LastIndex(printed, "\n====="):]
		for _, label := range []string{"OUTCOME", "COVERAGE", "SNAPSHOT", "MISSING", "ELAPSED", "REFUSALS"} {
			require.Contains(t, closing, "\n"+label, name)
		}
	}
}

// No value may widen the printed layout or reach the terminal as a control sequence.
// JSON keeps values unchanged, except for invalid UTF-8; CSV stays parseable.
func TestLayoutHoldsForAnyValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.String().Draw(t, "value")
		response := fullResponse()
		response.Rows = []*pb.Row{row("names", "names-0", 1, value, value, value)}
		r := report.Search(searchRequest(), response, runDate)
		for _, line := range strings.Split(render(t, r, report.FormatReport), "\n") {
			require.LessOrEqual(t, report.TextWidth(line), 132)
			require.NotContains(t, line, "\x1b")
		}
		var decoded struct {
			Sections []struct {
				Rows []map[string]string
			}
		}
		require.NoError(t, json.Unmarshal([]byte(render(t, r, report.FormatJSON)), &decoded))
		require.Equal(t, strings.ToValidUTF8(value, "\ufffd"), decoded.Sections[0].Rows[0]["name"])
		_, err := csv.NewReader(strings.NewReader(render(t, r, report.FormatCSV))).ReadAll()
		require.NoError(t, err)
	})
}

// Targets apply the row limit themselves, so a response with as many rows as the limit
// may be truncated by an amount that the coordinator does not know.
func TestReachedRowLimitIsReported(t *testing.T) {
	request, response := searchRequest(), fullResponse()
	response.RowsBeyondLimit = 0
	require.NotContains(t, render(t, report.Search(request, response, runDate), report.FormatReport), "ROW LIMIT")
	request.RowLimit = 4
	require.Contains(t, render(t, report.Search(request, response, runDate), report.FormatReport),
		"THE ROW LIMIT OF 4 IS REACHED; MORE RECORDS MAY EXIST")
	response.RowsBeyondLimit = 3
	for _, format := range []report.Format{report.FormatReport, report.FormatJSON, report.FormatCSV} {
		require.Contains(t, render(t, report.Search(request, response, runDate), format), "AT LEAST 3 RECORDS BEYOND THE ROW LIMIT")
	}
}

func TestCoverageIsNotOverstated(t *testing.T) {
	response := fullResponse()
	response.Coverage = &pb.Coverage{Covered: 0, Total: 0, MapKnown: false}
	printed := render(t, report.Search(searchRequest(), response, runDate), report.FormatReport)
	require.Contains(t, printed, "COVERAGE          UNKNOWN")
	require.Contains(t, printed, "MISSING           UNKNOWN")
	response.Coverage = &pb.Coverage{Covered: 999, Total: 1000, MapKnown: true}
	printed = render(t, report.Search(searchRequest(), response, runDate), report.FormatReport)
	require.Contains(t, printed, "999 OF 1000 PARTITIONS (99 %)")
	require.Contains(t, printed, "MISSING           1 PARTITIONS WITHOUT A STATED REASON")
}

// A field named like a group or the record column gets a numbered name in JSON and
// must not overwrite the other value.
func TestFieldsNamedLikeColumnsKeepTheirValues(t *testing.T) {
	response := fullResponse()
	response.Rows = []*pb.Row{{RecordId: "s:1", Service: "s", Partition: "p", Fields: []*pb.Field{
		{Name: "service", Value: "one"}, {Name: "record", Value: "two"},
	}}}
	encoded := render(t, report.Search(searchRequest(), response, runDate), report.FormatJSON)
	for _, part := range []string{`"service": "s"`, `"record": "s:1"`, `"service_2": "one"`, `"record_2": "two"`} {
		require.Contains(t, encoded, part)
	}
}
