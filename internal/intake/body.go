package intake

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Errors of ReadBody. Any other error means that the body could not be read.
var (
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory means that the memory for callers is in use and this request has to give way.
	ErrNoMemory = errors.New("the memory for requests of callers is in use")
	// ErrStalled means that nothing of the body arrived for too long.
	ErrStalled = errors.New("the body did not arrive in time")
)

// firstBodyBytes is the first size of the buffer for a body. Most bodies fit into it.
const firstBodyBytes = 4 << 10

// ReadBody reads the body of a request of at most limit bytes. The memory is reserved before it
// is allocated, and belongs to the Request until this ends. Once the body is complete, the
// request counts as running.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	request := FromContext(r.Context())
	if r.Body == nil || r.Body == http.NoBody {
		return nil, request.run()
	}
	most := limit
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	} else if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	var body []byte
	for {
		if len(body) == cap(body) {
			// One byte more than the body may have, so that its end is seen.
			larger := min(max(int64(2*cap(body)), firstBodyBytes), most+1)
			if !request.reserve(larger) {
				return nil, ErrNoMemory
			}
			smaller := int64(cap(body))
			body = append(make([]byte, 0, larger), body...)
			request.release(smaller)
		}
		n, err := request.read(reader, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, request.run()
		}
		if err != nil {
			return nil, request.bodyError(err)
		}
	}
}

// read reads a piece of the body. It fails when nothing arrives for too long.
func (r *Request) read(body io.Reader, piece []byte) (int, error) {
	if r == nil {
		return body.Read(piece)
	}
	gate := r.conn.gate
	if err := r.conn.SetReadDeadline(time.Now().Add(gate.bodyTimeout())); err != nil {
		return 0, err
	}
	n, err := body.Read(piece)
	if n > 0 {
		gate.progress(r.conn.id, n)
	}
	return n, err
}

// run records that the body is complete. It returns ErrNoMemory if the request has been told to
// give way before.
func (r *Request) run() error {
	if r == nil {
		return nil
	}
	r.bodyRead = true
	// net/http goes on to watch the connection for its end, without a time limit.
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "connection of the caller")
	}
	if !r.conn.setPhase(Running) {
		return ErrNoMemory
	}
	return nil
}

// bodyError returns the error for a body of which a piece could not be read.
func (r *Request) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case r == nil:
		return errors.Wrap(err, "body")
	case r.conn.isEvicted():
		return ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.conn.gate.counters.bodiesStalled.Inc()
		r.conn.gate.log(r.conn.remote, "body given up", r.held)
		return ErrStalled
	default:
		return errors.Wrap(err, "body")
	}
}
