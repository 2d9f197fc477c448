package target

import "github.com/pkg/errors"

// ErrBudget means that the connection budget or the setup rate of the target did not allow a connection in
// time.
var ErrBudget = errors.New("connection budget or setup rate exhausted")

// ErrInvalidReply means that a reply does not match the request or is incomplete.
var ErrInvalidReply = errors.New("reply does not match the request")

// FailureKind classifies a failed call.
type FailureKind int

const (
	// Withheld means that the request was not written, or only a part of it that the target does not run, because
	// the caller's check failed, the context was done or no connection was available.
	Withheld FailureKind = iota + 1
	// ConnectFailed means that no connection could be opened because the target or the network path to it is down.
	// Nothing was written.
	ConnectFailed
	// Broken means that the connection broke after at least part of the request was written and before a
	// reply arrived.
	Broken
	// Unanswered means that the context was done after at least part of the request was written and before a
	// reply arrived.
	Unanswered
	// Invalid means that a reply arrived but is not a valid reply to the request.
	Invalid
)

// String returns the name of the kind in logs and metrics.
func (k FailureKind) String() string {
	switch k {
	case Withheld:
		return "withheld"
	case ConnectFailed:
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

// Error describes a failed call.
type Error struct {
	Kind  FailureKind
	Cause error
	// PeerClosed is closed once the target has closed the connection, which shows that it no longer runs the
	// call, or once closeTimeout has passed. It is nil for kinds other than Broken and Unanswered.
	PeerClosed <-chan struct{}
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
	return e.Kind != Withheld && e.Kind != ConnectFailed
}

// dialError wraps the error of a failed connection setup.
type dialError struct {
	cause error
}

func (e *dialError) Error() string {
	return "dial: " + e.cause.Error()
}

func (e *dialError) Unwrap() error {
	return e.cause
}
