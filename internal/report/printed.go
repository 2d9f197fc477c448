package report

import (
	"fmt"
	"io"
	"strings"
)

const (
	// lineWidth is the width of a printed line in character cells.
	lineWidth = 132
	// pageLines is the number of lines on a page.
	pageLines = 60
	// formFeed starts a new page on a printer.
	formFeed      = "\f"
	productName   = "CARAWAYREEL"
	runDateLayout = "2006-01-02 15:04:05"
	columnGap     = "  "
)

// printer writes the lines of a report and breaks pages.
type printer struct {
	out     io.Writer
	err     error
	report  *Report
	section *Section
	// onPage counts the lines of the current page.
	onPage int
	page   int
}

func writePrinted(w io.Writer, r *Report) error {
	p := &printer{out: w, report: r}
	p.startPage()
	for _, line := range r.Subject {
		p.labelled(line)
	}
	for i := range r.Sections {
		p.printSection(&r.Sections[i])
	}
	p.section = nil
	p.printClosing()
	return p.err
}

// line writes one line, after the heads of a new page when the page is full.
func (p *printer) line(text string) {
	if p.onPage >= pageLines {
		p.startPage()
		if p.section != nil {
			p.columnHeads()
		}
	}
	p.rawLine(text)
}

func (p *printer) rawLine(text string) {
	p.onPage++
	if p.err == nil {
		_, p.err = io.WriteString(p.out, strings.TrimRight(text, " ")+"\n")
	}
}

// keep starts a new page unless that many lines fit on this one.
func (p *printer) keep(lines int) {
	if p.onPage+lines > pageLines {
		p.onPage = pageLines
	}
}

func (p *printer) startPage() {
	feed := ""
	if p.page > 0 {
		feed = formFeed
	}
	p.page++
	p.onPage = 0
	runDate := "RUN DATE " + p.report.RunDate.Format(runDateLayout)
	page := fmt.Sprintf("PAGE %4d", p.page)
	titleLines := wrap(printable(p.report.Title), lineWidth-2*len(runDate))
	p.rawLine(feed + threeParts(productName, titleLines[0], runDate))
	for _, more := range titleLines[1:] {
		p.rawLine(threeParts("", more, ""))
	}
	p.rawLine(threeParts("", "", page))
	p.rawLine(strings.Repeat("=", lineWidth))
}

// threeParts places texts at the left, in the middle and at the right.
func threeParts(left, middle, right string) string {
	before := (lineWidth - textWidth(middle)) / 2
	line := pad(left, before, false) + middle
	return line + pad(right, lineWidth-textWidth(line), true)
}

const labelWidth = 18

// labelled writes a line with a label, and continues long texts below.
func (p *printer) labelled(line Line) {
	label := printable(line.Label)
	for _, text := range wrapWords(printable(line.Text), lineWidth-labelWidth) {
		p.line(pad(label, labelWidth, false) + text)
		label = ""
	}
}

func (p *printer) printSection(s *Section) {
	p.section = nil
	p.keep(len(s.Groups) + 6)
	p.line("")
	if s.Title != "" {
		p.line(printable(s.Title))
	}
	p.section = s
	p.columnHeads()
	breaks := newControlBreaks(s)
	for _, row := range s.Rows {
		heads := breaks.next(row)
		for _, text := range heads {
			p.line(text)
		}
		p.detail(row, len(heads) > 0)
	}
	for _, text := range breaks.finish() {
		p.line(text)
	}
}

func (p *printer) columnHeads() {
	heads := make([]string, len(p.section.Columns))
	rules := make([]string, len(p.section.Columns))
	for i, column := range p.section.Columns {
		head := wrap(strings.ToUpper(printable(column.Head)), column.Width)[0]
		heads[i] = pad(head, column.Width, column.Right)
		rules[i] = strings.Repeat("-", column.Width)
	}
	p.rawLine(strings.Join(heads, columnGap))
	p.rawLine(strings.Join(rules, columnGap))
}

// detail writes a row; a long value continues on further lines of its column.
func (p *printer) detail(row Row, firstOfGroup bool) {
	columns := p.section.Columns
	wrapped := make([][]string, len(columns))
	height := 1
	for i, column := range columns {
		if column.Once && !firstOfGroup {
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
		p.line(strings.Join(cells, columnGap))
	}
}
