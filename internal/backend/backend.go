// Package backend sends requests to targets over plain HTTP/1.1 and returns
// their replies whole.
//
// Each attempt uses one connection, is written once and is never sent again by
// this package: what an attempt's end proves about the target is left to the
// caller, by the kinds of errors. Connections are kept per target and start of
// the target; one that holds bytes nobody asked for is closed.
package backend

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of Send. A request that ended with ErrNotSent certainly did not reach
// the target; after ErrLost it may have run.
var (
	ErrNotSent = errors.New("request not sent")
	ErrLost    = errors.New("reply lost")
	// ErrBusy is an ErrNotSent for want of a free connection.
	ErrBusy = errors.New("all connections to the target are in use")
	// ErrNoRoute is an ErrNotSent without any sign of the target: the connection
	// was neither made nor refused in time.
	ErrNoRoute = errors.New("no answer to the connection set-up")
)

// Statement is what a reply's headers say of it.
type Statement struct {
	// RequestID is the request that the reply belongs to, if it is told.
	RequestID string
	// Receipt is the target's signature; empty when there is none.
	Receipt string
	// NotRun is true when the target states that it did not run the request.
	NotRun bool
	// OtherTarget is true when another target than the expected one replied.
	OtherTarget bool
	// ColdFor is how long the target stays cold; zero when it does not say.
	ColdFor time.Duration
}

// Dialect translates headers. Implementations are stateless.
type Dialect interface {
	// RequestID and TimeLimit read a caller's headers.
	RequestID(h http.Header) string
	TimeLimit(h http.Header) time.Duration
	// AppendAttempt appends the header lines by which a target is told which one is
	// meant, and how long the answer is waited for.
	AppendAttempt(text []byte, target string, left time.Duration) []byte
	// Reply reads a target's headers.
	Reply(status int, h http.Header) Statement
	// Gathered states which receipts an answer holds and how many are missing.
	Gathered(h http.Header, receipts []string, missing int)
}

// Reply is a target's whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Statement
}

// Good reports whether the reply is a success with a receipt.
func (r *Reply) Good() bool {
	return r.Status >= 200 && r.Status < 300 && r.Receipt != "" && r.Header.Get("Content-Encoding") == ""
}

// Target is where a request is sent.
type Target struct {
	// ID names the target, and Started its start in milliseconds since 1970.
	ID      string
	Started int64
	// Address is the IP address and port.
	Address string
	// Connections bounds this VM's connections to the target.
	Connections int
	// IdleLimit is how long an unused connection is kept at most; zero keeps it as
	// long as the target does.
	IdleLimit time.Duration
}
