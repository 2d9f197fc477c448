package intake

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Request is what a request holds of the budget. A nil Request, which stands for one that did
// not come through a Gate, holds nothing and is granted everything.
type Request struct {
	conn      *Conn
	headBytes int
	admitted  bool
	// bodyRead is true once the body is complete or known to be empty. Only the goroutine of
	// the request uses it.
	bodyRead bool

	mu sync.Mutex
	// held is the number of bytes beyond ConnectionBytes, and holders the number of those that
	// still need them.
	held    int64
	holders int
}

// FromContext returns the Request of a request's context; nil if it came through no Gate.
func FromContext(ctx context.Context) *Request {
	conn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return conn.request.Load()
}

// HeaderSize returns the number of bytes of a request's head, without those of the protocol
// itself, and the number of its lines.
func HeaderSize(r *http.Request) (bytes, lines int) {
	const separators = 4
	bytes, lines = len(r.Method)+len(r.RequestURI)+len(r.Host), 2
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value) + separators
			lines++
		}
	}
	return bytes, lines
}

// HeadMemory returns the memory that a copy of a request's head takes.
func HeadMemory(r *http.Request) int64 { return headMemory(HeaderSize(r)) }

// HeadBytes returns the number of bytes of the head as they arrived, or 0 if it is not known.
func (r *Request) HeadBytes() int {
	if r == nil {
		return 0
	}
	return r.headBytes
}

// Admitted reports whether there was memory for the head. If not, the request must be refused.
func (r *Request) Admitted() bool { return r == nil || r.admitted }

// Hold keeps the memory reserved until the returned function is called, also after the request
// has been answered.
func (r *Request) Hold() (release func()) {
	if r == nil {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders++
	return sync.OnceFunc(r.drop)
}

// drop gives up one of the holds, and with the last one all that is held.
func (r *Request) drop() {
	r.mu.Lock()
	r.holders--
	held := r.held
	if r.holders > 0 {
		held = 0
	}
	r.held -= held
	r.mu.Unlock()
	r.conn.gate.release(r.conn.id, held)
}

// Reserve asks for bytes that serving the request takes, such as those of its attempts. They
// belong to it until it ends. It reports whether they were granted.
func (r *Request) Reserve(bytes int64) bool { return r.reserve(bytes) }

// smallAnswerBytes is the size up to which the buffers of the system take an answer whole, so that it
// is not counted.
const smallAnswerBytes = 16 << 10

// Answer reserves the bytes of an answer until the request ends. It reports false if there are not
// enough, so that the answer must not be written. A caller that does not read its answer gives way
// to others.
func (r *Request) Answer(bytes int) bool {
	if r == nil || bytes <= smallAnswerBytes {
		return true
	}
	return r.reserve(int64(bytes)) && r.conn.setPhase(Answering)
}

// Take counts bytes that the request takes in any case, such as those of a retry. They belong to it
// until it ends.
func (r *Request) Take(bytes int64) {
	if r == nil || !r.conn.gate.take(r.conn.id, bytes) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += bytes
}

// reserve asks for bytes.
func (r *Request) reserve(bytes int64) bool {
	if r == nil {
		return true
	}
	if !r.conn.gate.reserve(r.conn, bytes) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += bytes
	return true
}

// release returns bytes.
func (r *Request) release(bytes int64) {
	if r == nil || bytes == 0 {
		return
	}
	r.mu.Lock()
	r.held -= bytes
	r.mu.Unlock()
	r.conn.gate.release(r.conn.id, bytes)
}

// handler returns a handler that accounts for each request while next serves it.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		request := conn.beginRequest(r)
		defer request.end()
		next.ServeHTTP(w, r)
	})
}

// beginRequest takes over what has been reserved for the head, and reserves what it takes in
// addition: a head that was sent together with the request before was not counted.
func (c *Conn) beginRequest(r *http.Request) *Request {
	request := &Request{conn: c, headBytes: c.head.bytes, held: c.headHeld.Swap(0), holders: 1}
	c.head = headScanner{}
	c.request.Store(request)
	phase := ReadingBody
	if r.Body == nil || r.Body == http.NoBody {
		request.bodyRead, phase = true, Running
	}
	request.admitted = c.setPhase(phase)
	if missing := headMemory(HeaderSize(r)) - freeHeadBytes - request.held; missing > 0 && request.admitted {
		request.admitted = request.reserve(missing)
	}
	if !request.admitted {
		c.gate.counters.requestsRefused.Inc()
		c.gate.log(c.remote, "request refused", request.held)
	}
	return request
}

// end releases what the request holds, unless there is another hold. If the body was not
// needed, only a short time is left for the rest of it.
func (r *Request) end() {
	r.conn.request.Store(nil)
	if !r.bodyRead {
		r.conn.setLinger()
		// An error means that the connection has closed, which ends the body, too.
		_ = r.conn.SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
	r.drop()
}
