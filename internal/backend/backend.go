// Package backend sends requests to targets over plain HTTP/1.1 and returns their
// complete replies.
//
// Each attempt uses one connection and is written once; the package never retries. The
// error of an attempt states whether the target may have run the request; package
// fanout decides what follows. Connections are pooled per incarnation of a target, that
// is from one start of the target to the next. A connection with unsolicited bytes is
// closed.
package backend

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/advisory"
)

// Errors of Client.Send and Client.Go. After ErrNotSent the request certainly did not
// reach the target; after ErrLost the target may have run it.
var (
	ErrNotSent = errors.New("request not sent")
	ErrLost    = errors.New("reply lost")
	// ErrNoReply is the ErrLost of a target that closed or reset the connection before it sent
	// any byte of a reply. Its process may have crashed.
	ErrNoReply = errors.Wrap(ErrLost, "no reply")
	// ErrIncomplete is the ErrLost of a target that closed or reset the connection within a
	// reply. Its process may have crashed.
	ErrIncomplete = errors.Wrap(ErrLost, "incomplete reply")
	// ErrBusy means that the request was not sent because no connection was free.
	ErrBusy = errors.New("all connections to the target are in use")
	// ErrConnectTimeout means that the request was not sent because the connection was
	// neither accepted nor refused in time.
	ErrConnectTimeout = errors.New("no answer to the connection set-up")
	// ErrUnfinished means that a relay did not wait for the reply any longer. The target
	// may have run the request.
	ErrUnfinished = errors.New("the relay did not wait for the reply")
)

// ReplyMetadata holds the metadata in the headers of a reply.
type ReplyMetadata struct {
	// RequestID is the ID of the request that the reply belongs to; empty if it is not
	// stated.
	RequestID string
	// Receipt is the target's signature; empty if there is none.
	Receipt string
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// OtherTarget is true if the reply comes from a target other than the expected
	// one.
	OtherTarget bool
	// Delegated is true if the reply is a gathered answer from another VM.
	Delegated bool
	// ContentRefusedFor is how long the VM that replied refuses requests with this content
	// because it may crash targets; zero if it does not.
	ContentRefusedFor time.Duration
	// AdmissionRefusedFor is set if the VM that replied refused the request because its targets
	// have too little capacity: the delay after which it expects to admit such a request.
	AdmissionRefusedFor time.Duration
	// Advice is what the target asks of its callers.
	Advice advisory.Advice
	// ColdFor is how long the target stays cold; zero if it is not stated.
	ColdFor time.Duration
}

// Dialect reads and writes the platform's headers. Implementations must be stateless.
type Dialect interface {
	// RequestID and TimeLimit read a caller's headers.
	RequestID(h http.Header) string
	TimeLimit(h http.Header) time.Duration
	// Key returns the caller's API key; empty if it states none, or several.
	Key(h http.Header) string
	// Organisation returns the name of the organisation that another VM found for a request
	// that it delegates or has relayed; empty if there is none.
	Organisation(h http.Header) string
	// SetOrganisation removes the caller's key from the headers, and sets the name of its
	// organisation. An empty name removes what the caller stated as the name.
	SetOrganisation(h http.Header, name string)
	// AppendAttemptHeaders appends the header lines that tell a target which target the
	// request is meant for and how much time is left for the answer.
	AppendAttemptHeaders(text []byte, target string, timeLeft time.Duration) []byte
	// RemoveAttemptHeaders removes the headers that AppendAttemptHeaders sets from those of
	// a caller's request.
	RemoveAttemptHeaders(h http.Header)
	// ParseReply reads the headers of a target's reply.
	ParseReply(status int, h http.Header) ReplyMetadata
	// SetGatherHeaders sets the headers that list the receipts in an answer and the number of
	// missing ones.
	SetGatherHeaders(h http.Header, receipts []string, missing int)
}

// Reply is a target's complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// ConnectedAt is when the connection to the target was set up; zero if a relay has it.
	ConnectedAt time.Time
	// EndsWithConnection is true if the reply had no length, so that the end of the
	// connection ended it.
	EndsWithConnection bool
	// Took is the reply time that a relay measured; zero if the target replied to this VM.
	Took time.Duration
	ReplyMetadata
}

// Successful reports whether the reply has a 2xx status, a receipt and no content
// encoding.
func (r *Reply) Successful() bool {
	return r.hasSuccessStatus() && r.Receipt != "" && r.Header.Get("Content-Encoding") == ""
}

// Spoiled reports whether the reply has the status of a success and is none. It must not be
// passed on.
func (r *Reply) Spoiled() bool { return r.hasSuccessStatus() && !r.Successful() }

func (r *Reply) hasSuccessStatus() bool { return r.Status >= 200 && r.Status < 300 }

// Target is the destination of a request.
type Target struct {
	// ID identifies the target, and Started its incarnation by the start time in Unix
	// milliseconds.
	ID      string
	Started int64
	// Address is the IP address and port.
	Address string
	// Connections bounds this VM's connections to the target.
	Connections int
	// IdleLimit bounds how long an unused connection is kept; zero keeps it for as
	// long as the target does.
	IdleLimit time.Duration
}
