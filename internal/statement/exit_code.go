package statement

import pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"

// ExitCode is the status with which the command-line tool ends.
type ExitCode int

// The exit codes.
const (
	// ExitSuccess means that the request ran; a search covered every partition.
	ExitSuccess ExitCode = 0
	// ExitInternal means a fault of the tool or of its surroundings.
	ExitInternal ExitCode = 1
	// ExitUsage means wrong arguments or a wrong statement; nothing was sent.
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

// ExitCodeOf returns the exit code for an outcome.
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
