package platform

import (
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Errors of the platform's services. Callers compare with errors.Is.
var (
	// ErrUnavailable means that the call had no effect: a read failed, or a
	// write certainly did not reach the store.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write's answer was lost; the write may
	// have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrRateLimited means that the platform refused the call for its rate; it
	// had no effect.
	ErrRateLimited = errors.New("platform refused the call for its rate")
)

// Error is an error of this package with its cause. Its kind is one of the
// errors above.
type Error struct {
	Kind  error
	Cause error
}

// Error returns the kind with the cause.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind, so that errors.Is finds it.
func (e *Error) Unwrap() error { return e.Kind }

func readError(err error) error {
	if isRateLimit(err) {
		return &Error{Kind: ErrRateLimited, Cause: err}
	}
	return &Error{Kind: ErrUnavailable, Cause: err}
}

// writeError returns ErrUnavailable only when no connection was made at all:
// every other failure may hide a write that took effect.
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

// isRateLimit reports whether the platform itself refused the call for its rate.
func isRateLimit(err error) bool {
	return connect.CodeOf(err) == connect.CodeResourceExhausted && connect.IsWireError(err)
}
