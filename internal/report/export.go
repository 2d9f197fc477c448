package report

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

type jsonReport struct {
	Title    string        `json:"title"`
	RunDate  string        `json:"runDate"`
	Subject  []Line        `json:"subject"`
	Sections []jsonSection `json:"sections"`
	Closing  jsonClosing   `json:"closing"`
}

type jsonSection struct {
	Key    string              `json:"key"`
	Rows   []map[string]string `json:"rows"`
	Total  int                 `json:"total"`
	Remark string              `json:"remark"`
}

type jsonClosing struct {
	Outcome     string        `json:"outcome"`
	Reason      string        `json:"reason"`
	Coverage    *jsonCoverage `json:"coverage"`
	Snapshot    uint64        `json:"snapshot"`
	ElapsedMs   int64         `json:"elapsedMs"`
	TimeLimitMs int64         `json:"timeLimitMs"`
	Refusals    []string      `json:"refusals"`
	Notes       []Line        `json:"notes"`
}

type jsonCoverage struct {
	MapKnown bool          `json:"mapKnown"`
	Covered  uint32        `json:"covered"`
	Total    uint32        `json:"total"`
	Missing  []jsonMissing `json:"missing"`
}

type jsonMissing struct {
	Service   string `json:"service"`
	Partition string `json:"partition"`
	Reason    string `json:"reason"`
}

func writeJSON(w io.Writer, r *Report) error {
	result := jsonReport{
		Title:    r.Title,
		RunDate:  r.RunDate.Format(time.RFC3339),
		Subject:  append([]Line{}, r.Subject...),
		Sections: make([]jsonSection, len(r.Sections)),
		Closing:  closingForJSON(&r.Closing),
	}
	for i := range r.Sections {
		result.Sections[i] = sectionForJSON(&r.Sections[i])
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(result)
}

func sectionForJSON(s *Section) jsonSection {
	result := jsonSection{
		Key:    s.Key,
		Rows:   make([]map[string]string, len(s.Rows)),
		Total:  len(s.Rows),
		Remark: s.Remark,
	}
	names := fieldNames(s)
	for i, row := range s.Rows {
		fields := make(map[string]string, len(names))
		for n, value := range append(append([]string{}, row.Groups...), row.Cells...) {
			fields[names[n]] = value
		}
		result.Rows[i] = fields
	}
	return result
}

// fieldNames returns the lower-case names of a section's groups and columns. A
// repeated name gets a numeric suffix, starting with _2.
func fieldNames(s *Section) []string {
	headers := append([]string{}, s.Groups...)
	for _, column := range s.Columns {
		headers = append(headers, column.Header)
	}
	used := make(map[string]bool, len(headers))
	names := make([]string, len(headers))
	for i, header := range headers {
		name := strings.ToLower(header)
		for n := 2; used[name]; n++ {
			name = strings.ToLower(header) + "_" + strconv.Itoa(n)
		}
		used[name] = true
		names[i] = name
	}
	return names
}

func closingForJSON(c *Closing) jsonClosing {
	result := jsonClosing{
		Outcome:     strings.TrimPrefix(c.Outcome.String(), "OUTCOME_"),
		Reason:      c.Reason,
		Snapshot:    c.Snapshot,
		ElapsedMs:   c.Elapsed.Milliseconds(),
		TimeLimitMs: c.TimeLimit.Milliseconds(),
		Refusals:    append([]string{}, c.Refusals...),
		Notes:       append([]Line{}, c.Notes...),
	}
	if c.Coverage != nil {
		result.Coverage = coverageForJSON(c.Coverage)
	}
	return result
}

func coverageForJSON(c *pb.Coverage) *jsonCoverage {
	result := &jsonCoverage{
		MapKnown: c.MapKnown,
		Covered:  c.Covered,
		Total:    c.Total,
		Missing:  make([]jsonMissing, len(c.Missing)),
	}
	for i, missing := range c.Missing {
		result.Missing[i] = jsonMissing{
			Service:   missing.Service,
			Partition: missing.Partition,
			Reason:    MissingName(missing.Reason),
		}
	}
	return result
}

// writeCSV writes records of equal length. The first field is the type of the record:
// title, run date, subject, head, row, remark or closing.
func writeCSV(w io.Writer, r *Report) error {
	closing := closingLines(&r.Closing)
	records := make([][]string, 0, len(r.Subject)+len(closing)+2)
	records = append(records,
		[]string{"title", r.Title},
		[]string{"run date", r.RunDate.Format(time.RFC3339)})
	for _, line := range r.Subject {
		records = append(records, []string{"subject", line.Label, line.Text})
	}
	for i := range r.Sections {
		records = append(records, sectionRecords(&r.Sections[i])...)
	}
	label := ""
	for _, line := range closing {
		if line.Label != "" {
			label = strings.ToLower(line.Label)
		}
		records = append(records, []string{"closing", label, line.Text})
	}
	return writeRecords(w, records)
}

func sectionRecords(s *Section) [][]string {
	records := make([][]string, 0, len(s.Rows)+1)
	records = append(records, append([]string{"head", s.Key}, fieldNames(s)...))
	for _, row := range s.Rows {
		record := append([]string{"row", s.Key}, row.Groups...)
		records = append(records, append(record, row.Cells...))
	}
	if s.Remark != "" {
		records = append(records, []string{"remark", s.Key, s.Remark})
	}
	return records
}

func writeRecords(w io.Writer, records [][]string) error {
	length := 0
	for _, record := range records {
		length = max(length, len(record))
	}
	writer := csv.NewWriter(w)
	for _, record := range records {
		padded := make([]string, length)
		copy(padded, record)
		if err := writer.Write(padded); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}
