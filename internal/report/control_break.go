package report

import (
	"fmt"
	"strings"
)

// controlBreaks counts rows and produces group heads, subtotals and the total.
type controlBreaks struct {
	section *Section
	current []string
	// counts has the rows of each open group.
	counts []int
	total  int
}

func newControlBreaks(s *Section) *controlBreaks {
	return &controlBreaks{section: s, counts: make([]int, len(s.Groups))}
}

// next returns the lines that go before a row.
func (b *controlBreaks) next(row Row) []string {
	level := b.changedLevel(row)
	var lines []string
	if b.current != nil {
		lines = b.subtotals(level)
	}
	for i := level; i < len(b.section.Groups); i++ {
		head := fmt.Sprintf("%s%s %s", strings.Repeat("  ", i), strings.ToUpper(b.section.Groups[i]), row.Groups[i])
		lines = append(lines, printable(head))
	}
	b.current = row.Groups
	for i := range b.counts {
		b.counts[i]++
	}
	b.total++
	return lines
}

// changedLevel returns the outermost group whose value differs from the row
// before, or the number of groups when none does.
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

// subtotals closes the groups from the innermost one to the given level.
func (b *controlBreaks) subtotals(level int) []string {
	var lines []string
	for i := len(b.section.Groups) - 1; i >= level; i-- {
		depth := len(b.section.Groups) - i
		name := strings.ToUpper(b.section.Groups[i]) + " " + b.current[i] + " TOTAL"
		lines = append(lines, b.countLine(depth, name, b.counts[i]))
		b.counts[i] = 0
	}
	return lines
}

// finish returns the lines that go after the last row.
func (b *controlBreaks) finish() []string {
	var lines []string
	if b.current != nil {
		lines = b.subtotals(0)
	}
	lines = append(lines, b.countLine(len(b.section.Groups)+1, "TOTAL", b.total))
	if b.section.Remark != "" {
		lines = append(lines, printable(b.section.Remark))
	}
	return lines
}

// countLine marks a total with one star for each level, as is customary.
func (b *controlBreaks) countLine(depth int, name string, count int) string {
	const nameWidth, countWidth = 60, 8
	stars := pad(strings.Repeat("*", depth), 4, true)
	label := wrap(printable(name), nameWidth)[0]
	return fmt.Sprintf("%s %s%*d %s", stars, pad(label, nameWidth, false), countWidth, count, b.section.Unit)
}
