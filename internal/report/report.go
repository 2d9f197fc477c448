// Package report renders results as paginated text in the layout of the printed
// reports that operators are familiar with: title and run date, page and column
// headers, fixed columns, subtotals at control breaks, totals, and a closing block.
// It also renders the same content as JSON and CSV.
//
// A Report is plain data; rendering neither modifies nor retains it.
package report

import (
	"io"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Format selects how a report is rendered.
type Format string

// Supported formats.
const (
	// FormatReport is paginated text.
	FormatReport Format = "report"
	FormatJSON   Format = "json"
	FormatCSV    Format = "csv"
)

// UnknownFormatError reports a format name that is not supported.
type UnknownFormatError struct {
	Name string
}

// Error names the supported formats.
func (e *UnknownFormatError) Error() string {
	return "format " + e.Name + " is not supported: use report, json or csv"
}

// ParseFormat returns the format with the given name; an empty name selects
// FormatReport. The error is an *UnknownFormatError.
func ParseFormat(name string) (Format, error) {
	switch format := Format(name); format {
	case "":
		return FormatReport, nil
	case FormatReport, FormatJSON, FormatCSV:
		return format, nil
	default:
		return "", &UnknownFormatError{Name: name}
	}
}

// Report is the content of a result, independent of the format.
type Report struct {
	Title string
	// RunDate is printed in the page header.
	RunDate time.Time
	// Subject describes the request.
	Subject  []Line
	Sections []Section
	Closing  Closing
}

// Line is a labelled text. A line with an empty label belongs to the preceding label.
type Line struct {
	Label string `json:"label"`
	Text  string `json:"text"`
}

// Section is one table of a report.
type Section struct {
	// Key names the section in JSON and CSV.
	Key string
	// Title is printed above the table; it may be empty.
	Title string
	// Unit is the unit of the totals, such as RECORDS.
	Unit string
	// Groups names the control break fields, outermost first.
	Groups  []string
	Columns []Column
	// Rows must be sorted by their groups.
	Rows []Row
	// Remark is printed below the total and states which rows are not listed.
	Remark string
}

// Column is one column of a section.
type Column struct {
	Header string
	// Width is in character cells; longer values wrap within the column.
	Width int
	// Right aligns the column to the right.
	Right bool
	// FirstInGroup limits the column to the first row of each group.
	FirstInGroup bool
}

// Row is one row of a section.
type Row struct {
	// Groups holds one value for each group of the section.
	Groups []string
	// Cells holds one value for each column of the section.
	Cells []string
}

// Closing is the block that ends every report.
type Closing struct {
	Outcome pb.Outcome
	// Reason explains an outcome that is not a success.
	Reason string
	// Coverage is nil when the request does not address partitions.
	Coverage *pb.Coverage
	// Snapshot is zero when no snapshot was pinned.
	Snapshot uint64
	Elapsed  time.Duration
	// TimeLimit is zero when the request had none.
	TimeLimit time.Duration
	// Refusals lists what was refused.
	Refusals []string
	// Notes are additional lines of the closing block.
	Notes []Line
}

// Write renders the report in the given format. For an unsupported format the error
// is an *UnknownFormatError.
func Write(w io.Writer, r *Report, format Format) error {
	var err error
	switch format {
	case FormatReport:
		err = writePrinted(w, r)
	case FormatJSON:
		err = writeJSON(w, r)
	case FormatCSV:
		err = writeCSV(w, r)
	default:
		return &UnknownFormatError{Name: string(format)}
	}
	return errors.Wrap(err, "write report")
}
