package report

import (
	"fmt"
	"strconv"
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/rollout"
)

// Rollouts returns the section that lists roll-outs with their state.
func Rollouts(reports []*pb.RolloutReport) Section {
	section := Section{
		Key: "rollouts", Title: "ROLL-OUTS", Unit: "ROLL-OUTS",
		Columns: []Column{
			{Header: "service", Width: 16}, {Header: "version", Width: 12}, {Header: "state", Width: 11},
			{Header: "share", Width: 6, Right: true}, {Header: "here", Width: 7, Right: true},
			{Header: "ordered s ago", Width: 9, Right: true}, {Header: "ramp s", Width: 7, Right: true},
			{Header: "order", Width: 8, Right: true}, {Header: "reason of the last step", Width: 48},
		},
	}
	for _, report := range reports {
		r := report.GetRollout()
		here := formatShare(report.ShareHere)
		if report.StoppedHere {
			here = "STOPPED"
		}
		section.Rows = append(section.Rows, Row{Cells: []string{
			r.GetService(), r.GetVersion(), RolloutStateName(r.GetState()), formatShare(r.GetShare()), here,
			formatSeconds(report.OrderAgeMs), formatSeconds(uint64(r.GetRampMs())),
			strconv.FormatUint(r.GetOrderRevision(), 10), r.GetReason(),
		}})
	}
	return section
}

// RolloutEvidence returns the section that lists the replies of each version by route.
func RolloutEvidence(reports []*pb.RolloutReport) Section {
	section := Section{
		Key: "rollout_evidence", Title: "REPLIES BY VERSION, OVER ALL VMS", Unit: "LINES", Groups: []string{"service"},
		Columns: []Column{
			{Header: "route", Width: 20}, {Header: "version", Width: 12}, {Header: "replies", Width: 9, Right: true},
			{Header: "failed", Width: 8, Right: true}, {Header: "failed %", Width: 8, Right: true},
			{Header: "slow", Width: 8, Right: true}, {Header: "slow %", Width: 8, Right: true},
			{Header: "vms", Width: 5, Right: true}, {Header: "age s", Width: 6, Right: true},
		},
	}
	for _, report := range reports {
		for _, e := range report.Totals {
			counts := rollout.CountsOf(e)
			section.Rows = append(section.Rows, Row{Groups: []string{report.GetRollout().GetService()}, Cells: []string{
				e.Route, e.Version, strconv.FormatUint(counts.Replies, 10), strconv.FormatUint(counts.Failures, 10),
				formatPercent(counts.Failures, counts.Replies), strconv.FormatUint(counts.Slow(), 10),
				formatPercent(counts.Slow(), counts.Replies), formatCount(report.Vms), formatSeconds(report.EvidenceAgeMs),
			}})
		}
	}
	return section
}

// RolloutTests returns the section that lists the tests which speak against the ordered
// versions, as the decider stated them with the last step.
func RolloutTests(reports []*pb.RolloutReport) Section {
	section := Section{
		Key: "rollout_tests", Title: "EVIDENCE AGAINST THE ORDERED VERSION", Unit: "TESTS", Groups: []string{"service"},
		Columns: []Column{
			{Header: "route", Width: 20}, {Header: "test", Width: 10}, {Header: "log of the odds", Width: 10, Right: true},
		},
	}
	for _, report := range reports {
		for _, e := range report.GetRollout().GetEvidence() {
			route, test := e.Route, "FAILURES"
			if route == "" {
				route = "(ALL)"
			}
			if e.Slow {
				test = "SLOW"
			}
			section.Rows = append(section.Rows, Row{
				Groups: []string{report.GetRollout().GetService()}, Cells: []string{route, test, fmt.Sprintf("%.1f", e.Sum)},
			})
		}
	}
	return section
}

// RolloutStateName returns the printed name of a roll-out's state.
func RolloutStateName(state pb.RolloutState) string {
	return strings.ReplaceAll(strings.TrimPrefix(state.String(), "ROLLOUT_STATE_"), "_", " ")
}

func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', 3, 64) }

func formatSeconds(ms uint64) string { return fmt.Sprintf("%.1f", float64(ms)/1000) }

func formatPercent(part, all uint64) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(all))
}
