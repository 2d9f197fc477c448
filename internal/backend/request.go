package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
)

// Request is a caller's request as it is sent to targets. It must not be copied or
// changed after it was first sent.
type Request struct {
	// ID is the caller's ID of the request.
	ID     string
	Method string
	// URI is the path and query as the caller wrote them.
	URI  string
	Host string
	// Header holds the headers that are forwarded.
	Header http.Header
	Body   []byte

	once sync.Once
	// head holds the bytes shared by all attempts, up to the end of the last header
	// line.
	head []byte
	err  error
}

// Clone returns a request with the same content, whose headers may be changed until it is
// sent.
func (r *Request) Clone() *Request {
	return &Request{ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header.Clone(), Body: r.Body}
}

var endOfHead = []byte("\r\n\r\n")

// encoded returns the request's head without the empty line that ends it. The head is
// encoded once for all attempts.
func (r *Request) encoded() ([]byte, error) {
	r.once.Do(func() { r.head, r.err = r.encode() })
	return r.head, r.err
}

func (r *Request) encode() ([]byte, error) {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if header["User-Agent"] == nil {
		// net/http would otherwise add its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.URI}, Host: r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	var head headWriter
	if err := request.Write(&head); err != nil {
		return nil, err
	}
	return head.text[:head.end+len("\r\n")], nil
}

// headWriter keeps the head of a request that is written to it, and drops the body.
type headWriter struct {
	text []byte
	// end is the position of the end of the head; zero until it has been written.
	end int
}

// Write implements io.Writer.
func (w *headWriter) Write(p []byte) (int, error) {
	if w.end > 0 {
		return len(p), nil
	}
	start := max(len(w.text)-len(endOfHead)+1, 0)
	w.text = append(w.text, p...)
	if i := bytes.Index(w.text[start:], endOfHead); i >= 0 {
		w.end = start + i
		w.text = slices.Clone(w.text[:w.end+len("\r\n")])
	}
	return len(p), nil
}

// attemptHeaderBytes is the typical size of the headers that are specific to an
// attempt.
const attemptHeaderBytes = 128

// MaxCopiedBytes is the size of a request up to which an attempt has a copy of its own, so that it
// is written at once. Larger requests are shared by all attempts and written in parts.
const MaxCopiedBytes = 2 << 10

// message is what one attempt writes: the parts in turn.
type message struct {
	parts [3][]byte
}

// size returns the number of bytes of the message.
func (m *message) size() int { return len(m.parts[0]) + len(m.parts[1]) + len(m.parts[2]) }

// writeTo writes the message and returns the number of bytes written.
func (m *message) writeTo(w io.Writer) (int, error) {
	written := 0
	for _, part := range m.parts {
		if len(part) == 0 {
			continue
		}
		n, err := w.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// message returns the message of one attempt; appendHeaders appends the headers that differ between
// attempts.
func (r *Request) message(appendHeaders func([]byte) []byte) (*message, error) {
	head, err := r.encoded()
	if err != nil {
		return nil, err
	}
	if len(head)+len(r.Body) > MaxCopiedBytes {
		own := append(appendHeaders(make([]byte, 0, attemptHeaderBytes)), "\r\n"...)
		return &message{parts: [3][]byte{head, own, r.Body}}, nil
	}
	text := make([]byte, 0, len(head)+len(r.Body)+attemptHeaderBytes)
	text = appendHeaders(append(text, head...))
	text = append(text, "\r\n"...)
	return &message{parts: [3][]byte{append(text, r.Body...)}}, nil
}
