package platformclient

import (
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Kinds of errors that calls to the platform return. Compare with errors.Is.
var (
	// ErrUnavailable means that the call had no effect: a read failed, or a
	// write definitely did not reach the store.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the response to a write was lost. The write
	// may have taken effect or may still take effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrRateLimited means that the platform rejected the call because a rate
	// limit was exceeded. The call had no effect.
	ErrRateLimited = errors.New("platform rate limit exceeded")
)

// Error is a failed call. Kind is ErrUnavailable, ErrOutcomeUnknown or
// ErrRateLimited.
type Error struct {
	Kind  error
	Cause error
}

// Error returns the kind followed by the cause.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind, so that errors.Is matches it.
func (e *Error) Unwrap() error { return e.Kind }

// readError maps the error of a read or of a lease grant. A read has no effect and an
// unused lease expires, so every failure but a rate limit is ErrUnavailable.
func readError(err error) error {
	if isRateLimit(err) {
		return &Error{Kind: ErrRateLimited, Cause: err}
	}
	return &Error{Kind: ErrUnavailable, Cause: err}
}

// writeError maps the error of a write. It returns ErrUnavailable only if no
// connection was established: after any other failure the write may have taken effect.
func writeError(err error) error {
	if isRateLimit(err) {
		return &Error{Kind: ErrRateLimited, Cause: err}
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &Error{Kind: ErrUnavailable, Cause: err}
	}
	return &Error{Kind: ErrOutcomeUnknown, Cause: err}
}

// isRateLimit reports whether the platform rejected the call because of a rate limit.
// Errors that the connect client creates locally with the same code do not count.
func isRateLimit(err error) bool {
	return connect.CodeOf(err) == connect.CodeResourceExhausted && connect.IsWireError(err)
}
