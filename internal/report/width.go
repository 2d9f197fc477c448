package report

import (
	"strings"
	"unicode"

	"golang.org/x/text/width"
)

// replacement replaces characters that would break the layout.
const replacement = '\uFFFD'

// cellWidth returns the number of character cells that a character occupies.
func cellWidth(r rune) int {
	if unicode.In(r, unicode.Mn, unicode.Me, unicode.Cf) {
		return 0
	}
	switch width.LookupRune(r).Kind() {
	case width.EastAsianWide, width.EastAsianFullwidth:
		return 2
	default:
		return 1
	}
}

// textWidth returns the number of character cells that a text occupies.
func textWidth(text string) int {
	total := 0
	for _, r := range text {
		total += cellWidth(r)
	}
	return total
}

// printable replaces control characters, bidirectional controls and line or
// paragraph separators, so that no value can break the layout or control the
// terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || unicode.Is(unicode.Bidi_Control, r) ||
			r == '\u2028' || r == '\u2029' {
			return replacement
		}
		return r
	}, strings.ToValidUTF8(text, string(replacement)))
}

// wrap splits a text into lines of at most limit cells; limit must be at least 2,
// the width of a wide character. Combining characters stay with their base.
func wrap(text string, limit int) []string {
	var lines []string
	var line strings.Builder
	used := 0
	for _, r := range text {
		cells := cellWidth(r)
		if used+cells > limit {
			lines = append(lines, line.String())
			line.Reset()
			used = 0
		}
		line.WriteRune(r)
		used += cells
	}
	return append(lines, line.String())
}

// wrapWords splits a text into lines of at most limit cells, between words where
// possible.
func wrapWords(text string, limit int) []string {
	var lines []string
	for textWidth(text) > limit {
		line := wrap(text, limit)[0]
		if space := strings.LastIndex(line, " "); space > 0 && !strings.HasPrefix(text[len(line):], " ") {
			line = line[:space]
		}
		lines = append(lines, line)
		text = strings.TrimPrefix(text[len(line):], " ")
	}
	return append(lines, text)
}

// pad fills a text with spaces to limit cells.
func pad(text string, limit int, alignRight bool) string {
	space := strings.Repeat(" ", max(limit-textWidth(text), 0))
	if alignRight {
		return space + text
	}
	return text + space
}
