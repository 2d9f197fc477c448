package target

import "github.com/pkg/errors"

// ErrBudget means that no connection could be opened in time within the
// target's connection budget and pace.
var ErrBudget = errors.New("connection budget or pace exhausted")

// ErrInvalidReply means that a reply did not echo the request or was truncated.
var ErrInvalidReply = errors.New("reply does not match the request")

// FailureKind classifies a failed call.
type FailureKind int

const (
	// Withheld means that nothing was written because the caller's check
	// failed, the context ended first or no connection was to be had.
	Withheld FailureKind = iota + 1
	// Refused means that no connection could be opened: the target or the way
	// to it is down. Nothing was written.
	Refused
	// Broken means that the connection broke after the request was written, or
	// in part written, and before an answer arrived.
	Broken
	// Unanswered means that the context ended after the request was written.
	Unanswered
	// Invalid means that an answer arrived but is not an answer to the request.
	Invalid
)

// String returns the kind's name for logs and metrics.
func (k FailureKind) String() string {
	switch k {
	case Withheld:
		return "withheld"
	case Refused:
		return "refused"
	case Broken:
		return "broken"
	case Unanswered:
		return "unanswered"
	case Invalid:
		return "invalid"
	default:
		return "unknown"
	}
}

// Error is the error of a failed call.
type Error struct {
	Kind  FailureKind
	Cause error
	// Settled is closed when the target can no longer be running the call, as
	// far as its closing of the connection shows, or when waiting for that has
	// taken too long. It is nil when nothing was written.
	Settled <-chan struct{}
}

// Error returns the kind and the cause.
func (e *Error) Error() string {
	return e.Kind.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Sent reports whether the request may have reached the target.
func (e *Error) Sent() bool {
	return e.Kind != Withheld && e.Kind != Refused
}

// dialError marks an error of a connection set-up.
type dialError struct {
	cause error
}

func (e *dialError) Error() string {
	return "dial: " + e.cause.Error()
}

func (e *dialError) Unwrap() error {
	return e.cause
}
