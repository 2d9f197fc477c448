package statement

import pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"

// ExitCode is the exit status of the command-line tool.
type ExitCode int

const (
	// ExitSuccess means that the request ran and, for a search, that every
	// partition was covered.
	ExitSuccess ExitCode = 0
	// ExitInternal means that the tool or its environment failed.
	ExitInternal ExitCode = 1
	// ExitUsage means invalid arguments or an invalid statement; nothing was sent.
	ExitUsage ExitCode = 2
	// ExitPartial means that a search covered some partitions but not all.
	ExitPartial ExitCode = 3
	// ExitNotRun means that the request was refused and did not run.
	ExitNotRun ExitCode = 4
	// ExitUnknown means that a change may or may not have run.
	ExitUnknown ExitCode = 5
	// ExitUnreachable means that no server could be reached.
	ExitUnreachable ExitCode = 6
)

// ExitCodeOf returns the exit code for an outcome. Outcomes other than success,
// partial and not run map to ExitUnknown.
func ExitCodeOf(outcome pb.Outcome) ExitCode {
	switch outcome {
	case pb.Outcome_OUTCOME_SUCCESS:
		return ExitSuccess
	case pb.Outcome_OUTCOME_PARTIAL:
		return ExitPartial
	case pb.Outcome_OUTCOME_NOT_RUN:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}
