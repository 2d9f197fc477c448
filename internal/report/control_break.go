package report

import (
	"fmt"
	"strings"
)

// controlBreaks counts rows and formats group headers, subtotals and the total.
type controlBreaks struct {
	section *Section
	current []string
	// counts holds the number of rows in each open group, outermost first.
	counts []int
	total  int
}

func newControlBreaks(s *Section) *controlBreaks {
	return &controlBreaks{section: s, counts: make([]int, len(s.Groups))}
}

// advance counts a row and returns the lines to print before it: the subtotals of
// groups that ended and the headers of those that begin.
func (b *controlBreaks) advance(row Row) []string {
	level := b.changedLevel(row)
	var lines []string
	if b.current != nil {
		lines = b.subtotals(level)
	}
	for i := level; i < len(b.section.Groups); i++ {
		header := fmt.Sprintf("%s%s %s", strings.Repeat("  ", i), strings.ToUpper(b.section.Groups[i]), row.Groups[i])
		lines = append(lines, printable(header))
	}
	b.current = row.Groups
	for i := range b.counts {
		b.counts[i]++
	}
	b.total++
	return lines
}

// changedLevel returns the index of the outermost group whose value differs from the
// previous row, or the number of groups when none does.
func (b *controlBreaks) changedLevel(row Row) int {
	if b.current == nil {
		return 0
	}
	for i := range b.section.Groups {
		if row.Groups[i] != b.current[i] {
			return i
		}
	}
	return len(b.section.Groups)
}

// subtotals returns the subtotals from the innermost group to the given level and
// resets their counts.
func (b *controlBreaks) subtotals(level int) []string {
	var lines []string
	for i := len(b.section.Groups) - 1; i >= level; i-- {
		depth := len(b.section.Groups) - i
		name := strings.ToUpper(b.section.Groups[i]) + " " + b.current[i] + " TOTAL"
		lines = append(lines, b.totalLine(depth, name, b.counts[i]))
		b.counts[i] = 0
	}
	return lines
}

// finish returns the lines to print after the last row.
func (b *controlBreaks) finish() []string {
	var lines []string
	if b.current != nil {
		lines = b.subtotals(0)
	}
	lines = append(lines, b.totalLine(len(b.section.Groups)+1, "TOTAL", b.total))
	if b.section.Remark != "" {
		lines = append(lines, printable(b.section.Remark))
	}
	return lines
}

// totalLine formats a total. By convention, the innermost subtotals are marked with one
// asterisk and each outer level with one more.
func (b *controlBreaks) totalLine(depth int, name string, count int) string {
	const nameWidth, countWidth = 60, 8
	stars := pad(strings.Repeat("*", depth), 4, true)
	label := wrap(printable(name), nameWidth)[0]
	return fmt.Sprintf("%s %s%*d %s", stars, pad(label, nameWidth, false), countWidth, count, b.section.Unit)
}
