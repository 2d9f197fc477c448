package report

import (
	"fmt"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Change returns the report of a submitted change.
func Change(request *pb.SubmitChangeRequest, response *pb.SubmitChangeResponse, runDate time.Time) *Report {
	r := &Report{
		Title:   changeTitle(request.Change),
		RunDate: runDate,
		Subject: append(identityLines(response.Token, request.CallerKey), changeLines(request.Change)...),
		Closing: Closing{
			Outcome:   response.Outcome,
			Reason:    response.Reason,
			Elapsed:   milliseconds(uint64(response.ElapsedMs)),
			TimeLimit: milliseconds(uint64(request.TimeLimitMs)),
			Refusals:  refusalsOf(response.Outcome, "THE CHANGE", response.Reason),
		},
	}
	r.Closing.Notes = omitEmpty([]Line{{"TARGET", response.Target}, {"STATED BY", response.Vm}})
	return r
}

func changeTitle(change *pb.Change) string {
	if change.GetTransfer() != nil {
		return "TITLE TRANSFER"
	}
	return "RECORD EDIT"
}

func identityLines(token, key string) []Line {
	return omitEmpty([]Line{{"TOKEN", token}, {"KEY", key}})
}

func changeLines(change *pb.Change) []Line {
	lines := []Line{{"FRONT", change.GetFront()}}
	if edit := change.GetEdit(); edit != nil {
		lines = append(lines, Line{"RECORD", edit.RecordId})
		label := "SET"
		for _, field := range edit.Fields {
			lines = append(lines, Line{label, fmt.Sprintf("%s = '%s'", field.Name, field.Value)})
			label = ""
		}
	}
	if transfer := change.GetTransfer(); transfer != nil {
		lines = append(lines,
			Line{"CASK", transfer.CaskId}, Line{"FROM", transfer.FromHolder}, Line{"TO", transfer.ToHolder})
	}
	return lines
}

// Outcome returns the report of a query for the outcome of a change.
func Outcome(request *pb.GetOutcomeRequest, response *pb.GetOutcomeResponse, elapsed time.Duration, runDate time.Time) *Report {
	token := response.Token
	if token == "" {
		token = request.Token
	}
	r := &Report{
		Title:   "OUTCOME OF A CHANGE",
		RunDate: runDate,
		Subject: identityLines(token, request.CallerKey),
		Closing: Closing{
			Outcome:  response.Outcome,
			Reason:   response.Reason,
			Elapsed:  elapsed,
			Refusals: refusalsOf(response.Outcome, "THE CHANGE", response.Reason),
		},
	}
	if response.Pending {
		r.Closing.Notes = []Line{{"PENDING", "THE CHANGE IS STILL RUNNING; THIS IS NOT FINAL"}}
	}
	return r
}

// Token returns the report of a token issued for one change.
func Token(response *pb.IssueTokenResponse, elapsed time.Duration, runDate time.Time) *Report {
	return &Report{
		Title:   "TOKEN FOR ONE CHANGE",
		RunDate: runDate,
		Subject: []Line{
			{"TOKEN", response.Token},
			{"VALID FOR", fmt.Sprintf("%d S", response.ValidForMs/1000)},
		},
		Closing: Closing{Outcome: pb.Outcome_OUTCOME_SUCCESS, Elapsed: elapsed},
	}
}

// refusalsOf returns the refusal of the given subject, or nil when the outcome is not a
// refusal.
func refusalsOf(outcome pb.Outcome, subject, reason string) []string {
	if outcome != pb.Outcome_OUTCOME_NOT_RUN {
		return nil
	}
	return []string{subject + ": " + reason}
}

// omitEmpty drops lines without text.
func omitEmpty(lines []Line) []Line {
	var kept []Line
	for _, line := range lines {
		if line.Text != "" {
			kept = append(kept, line)
		}
	}
	return kept
}
