package report

import (
	"fmt"
	"io"
	"strings"
)

const (
	// lineWidth is the width of a printed line, in character cells.
	lineWidth = 132
	// pageLines is the number of lines of a page.
	pageLines = 60
	// formFeed starts a new page on a printer.
	formFeed      = "\f"
	productName   = "CARAWAYREEL"
	runDateLayout = "2006-01-02 15:04:05"
	columnGap     = "  "
)

// printer writes a report line by line and breaks it into pages.
type printer struct {
	out     io.Writer
	err     error
	report  *Report
	section *Section
	// linesOnPage counts the lines written on the current page.
	linesOnPage int
	page        int
}

func writePrinted(w io.Writer, r *Report) error {
	p := &printer{out: w, report: r}
	p.startPage()
	for _, line := range r.Subject {
		p.writeLabelled(line)
	}
	for i := range r.Sections {
		p.printSection(&r.Sections[i])
	}
	p.section = nil
	p.printClosing()
	return p.err
}

// writeLine writes one line. When the page is full, it starts a new one and repeats
// the column headers of the current section.
func (p *printer) writeLine(text string) {
	if p.linesOnPage >= pageLines {
		p.startPage()
		if p.section != nil {
			p.writeColumnHeaders()
		}
	}
	p.writeRawLine(text)
}

func (p *printer) writeRawLine(text string) {
	p.linesOnPage++
	if p.err == nil {
		_, p.err = io.WriteString(p.out, strings.TrimRight(text, " ")+"\n")
	}
}

// keepTogether makes the next line start a new page unless the given number of lines
// fits on the current one.
func (p *printer) keepTogether(lines int) {
	if p.linesOnPage+lines > pageLines {
		p.linesOnPage = pageLines
	}
}

func (p *printer) startPage() {
	feed := ""
	if p.page > 0 {
		feed = formFeed
	}
	p.page++
	p.linesOnPage = 0
	runDate := "RUN DATE " + p.report.RunDate.Format(runDateLayout)
	page := fmt.Sprintf("PAGE %4d", p.page)
	titleLines := wrap(printable(p.report.Title), lineWidth-2*len(runDate))
	p.writeRawLine(feed + justify(productName, titleLines[0], runDate))
	for _, continuation := range titleLines[1:] {
		p.writeRawLine(justify("", continuation, ""))
	}
	p.writeRawLine(justify("", "", page))
	p.writeRawLine(strings.Repeat("=", lineWidth))
}

// justify returns a line with texts at the left, in the middle and at the right.
func justify(left, middle, right string) string {
	before := (lineWidth - textWidth(middle)) / 2
	line := pad(left, before, false) + middle
	return line + pad(right, lineWidth-textWidth(line), true)
}

const labelWidth = 18

// writeLabelled writes a label and its text; a long text wraps to the right of the
// label column.
func (p *printer) writeLabelled(line Line) {
	label := printable(line.Label)
	for _, text := range wrapWords(printable(line.Text), lineWidth-labelWidth) {
		p.writeLine(pad(label, labelWidth, false) + text)
		label = ""
	}
}

func (p *printer) printSection(s *Section) {
	p.section = nil
	p.keepTogether(len(s.Groups) + 6)
	p.writeLine("")
	if s.Title != "" {
		p.writeLine(printable(s.Title))
	}
	p.section = s
	p.writeColumnHeaders()
	breaks := newControlBreaks(s)
	for _, row := range s.Rows {
		breakLines := breaks.advance(row)
		for _, text := range breakLines {
			p.writeLine(text)
		}
		p.writeRow(row, len(breakLines) > 0)
	}
	for _, text := range breaks.finish() {
		p.writeLine(text)
	}
}

func (p *printer) writeColumnHeaders() {
	headers := make([]string, len(p.section.Columns))
	rules := make([]string, len(p.section.Columns))
	for i, column := range p.section.Columns {
		header := wrap(strings.ToUpper(printable(column.Header)), column.Width)[0]
		headers[i] = pad(header, column.Width, column.Right)
		rules[i] = strings.Repeat("-", column.Width)
	}
	p.writeRawLine(strings.Join(headers, columnGap))
	p.writeRawLine(strings.Join(rules, columnGap))
}

// writeRow writes a row; long values wrap within their columns. Columns with
// FirstInGroup are blank unless firstOfGroup is set.
func (p *printer) writeRow(row Row, firstOfGroup bool) {
	columns := p.section.Columns
	wrapped := make([][]string, len(columns))
	height := 1
	for i, column := range columns {
		if column.FirstInGroup && !firstOfGroup {
			continue
		}
		wrapped[i] = wrapWords(printable(row.Cells[i]), column.Width)
		height = max(height, len(wrapped[i]))
	}
	for n := range height {
		cells := make([]string, len(columns))
		for i, column := range columns {
			text := ""
			if n < len(wrapped[i]) {
				text = wrapped[i][n]
			}
			cells[i] = pad(text, column.Width, column.Right)
		}
		p.writeLine(strings.Join(cells, columnGap))
	}
}
