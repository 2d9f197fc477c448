// Package report renders results in the layout of the printed reports that
// operators know: title and run date, page and column heads, fixed columns,
// subtotals at control breaks, totals, and a closing block. The same content is
// also rendered as JSON and CSV.
//
// A Report is plain data; rendering neither changes nor keeps it.
package report

import (
	"io"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Format selects how a report is rendered.
type Format string

// The formats.
const (
	FormatReport Format = "report"
	FormatJSON   Format = "json"
	FormatCSV    Format = "csv"
)

// UnknownFormatError states that a format's name is none of the known ones.
type UnknownFormatError struct {
	Name string
}

// Error names the known formats.
func (e *UnknownFormatError) Error() string {
	return "format " + e.Name + " is none of report, json and csv"
}

// ParseFormat returns the format of that name; empty selects FormatReport.
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

// Report is a rendered result's content.
type Report struct {
	Title string
	// RunDate is printed in the header.
	RunDate time.Time
	// Subject lists lines that state what was asked.
	Subject  []Line
	Sections []Section
	Closing  Closing
}

// Line is a label with its text.
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
	// Unit names what the rows are in totals, such as RECORDS.
	Unit string
	// Groups name the control breaks, outermost first.
	Groups  []string
	Columns []Column
	// Rows must be ordered by their groups.
	Rows []Row
	// Remark is printed below the total and says what the rows leave out.
	Remark string
}

// Column is one column of a section.
type Column struct {
	Head string
	// Width counts character cells; longer values continue on further lines.
	Width int
	// Right aligns the column to the right.
	Right bool
	// Once prints the column only on the first row of each group.
	Once bool
}

// Row is one line of a section.
type Row struct {
	// Groups has a value for each group of the section.
	Groups []string
	// Cells has a value for each column of the section.
	Cells []string
}

// Closing is the block that ends every report.
type Closing struct {
	Outcome pb.Outcome
	// Reason explains an outcome that is not a success.
	Reason string
	// Coverage is nil when the report is not about partitions.
	Coverage *pb.Coverage
	// Snapshot is zero when no snapshot was pinned.
	Snapshot uint64
	Elapsed  time.Duration
	// TimeLimit is zero when there was none.
	TimeLimit time.Duration
	// Refusals lists what was refused.
	Refusals []string
	// Notes are further lines.
	Notes []Line
}

// Write renders the report.
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
