package report

import (
	"fmt"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const percent = 100

// printClosing writes the closing block on a new page if it does not fit on the current
// one. A block of more than half a page may be split.
func (p *printer) printClosing() {
	lines := closingLines(&p.report.Closing)
	p.keepTogether(min(len(lines)+3, pageLines/2))
	p.writeLine("")
	p.writeLine(strings.Repeat("=", lineWidth))
	for _, line := range lines {
		p.writeLabelled(line)
	}
	p.writeLine(justify("", "*** END OF REPORT ***", ""))
}

// closingLines returns the lines of the closing block. Every report has the lines
// from OUTCOME to REFUSALS; the notes vary.
func closingLines(c *Closing) []Line {
	lines := []Line{
		{"OUTCOME", outcomeText(c)},
		{"COVERAGE", coverageText(c.Coverage)},
		{"SNAPSHOT", snapshotText(c)},
	}
	lines = append(lines, missingLines(c.Coverage)...)
	lines = append(lines, Line{"ELAPSED", elapsedText(c)})
	lines = append(lines, labelledLines("REFUSALS", c.Refusals)...)
	return append(lines, c.Notes...)
}

// OutcomeName returns the printed name of an outcome.
func OutcomeName(outcome pb.Outcome) string {
	switch outcome {
	case pb.Outcome_OUTCOME_SUCCESS:
		return "SUCCESS"
	case pb.Outcome_OUTCOME_PARTIAL:
		return "PARTIAL"
	case pb.Outcome_OUTCOME_NOT_RUN:
		return "REFUSED: NOT RUN"
	case pb.Outcome_OUTCOME_UNKNOWN:
		return "UNKNOWN: MAY OR MAY NOT HAVE RUN"
	default:
		return "NOT STATED"
	}
}

// MissingName returns the printed name of the reason why a partition is missing.
func MissingName(reason pb.MissingReason) string {
	const prefix = "MISSING_REASON_"
	name := strings.TrimPrefix(reason.String(), prefix)
	return strings.ReplaceAll(name, "_", " ")
}

func outcomeText(c *Closing) string {
	if c.Reason == "" {
		return OutcomeName(c.Outcome)
	}
	return OutcomeName(c.Outcome) + " - " + c.Reason
}

func coverageText(c *pb.Coverage) string {
	switch {
	case c == nil:
		return "DOES NOT APPLY"
	case !c.MapKnown:
		return "UNKNOWN - THE PARTITION MAP IS NOT KNOWN"
	case c.Total == 0:
		return "0 OF 0 PARTITIONS"
	default:
		// Integer division rounds down: 100 % is printed only for full coverage.
		share := uint64(c.Covered) * percent / uint64(c.Total)
		return fmt.Sprintf("%d OF %d PARTITIONS (%d %%)", c.Covered, c.Total, share)
	}
}

func snapshotText(c *Closing) string {
	switch {
	case c.Snapshot > 0:
		return fmt.Sprintf("%d", c.Snapshot)
	case c.Coverage == nil:
		return "DOES NOT APPLY"
	default:
		return "NONE"
	}
}

func elapsedText(c *Closing) string {
	elapsed := fmt.Sprintf("%d MS", c.Elapsed.Milliseconds())
	if c.TimeLimit == 0 {
		return elapsed
	}
	return fmt.Sprintf("%s OF %d MS", elapsed, c.TimeLimit.Milliseconds())
}

// missingLines lists the missing partitions with one line for each pair of service
// and reason.
func missingLines(c *pb.Coverage) []Line {
	const label = "MISSING"
	if c == nil {
		return []Line{{label, "DOES NOT APPLY"}}
	}
	if !c.MapKnown {
		return []Line{{label, "UNKNOWN"}}
	}
	type group struct {
		service string
		reason  pb.MissingReason
	}
	var order []group
	partitions := map[group][]string{}
	for _, missing := range c.GetMissing() {
		g := group{missing.Service, missing.Reason}
		if partitions[g] == nil {
			order = append(order, g)
		}
		partitions[g] = append(partitions[g], missing.Partition)
	}
	texts := make([]string, len(order))
	for i, g := range order {
		texts[i] = fmt.Sprintf("%s: SERVICE %s PARTITIONS %s",
			MissingName(g.reason), g.service, strings.Join(partitions[g], " "))
	}
	if accounted := uint64(c.Covered) + uint64(len(c.Missing)); accounted < uint64(c.Total) {
		texts = append(texts, fmt.Sprintf("%d PARTITIONS WITHOUT A STATED REASON", uint64(c.Total)-accounted))
	}
	return labelledLines(label, texts)
}

func labelledLines(label string, texts []string) []Line {
	if len(texts) == 0 {
		return []Line{{label, "NONE"}}
	}
	lines := make([]Line, len(texts))
	for i, text := range texts {
		lines[i] = Line{label, text}
		label = ""
	}
	return lines
}
