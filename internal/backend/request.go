package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
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
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		return nil, err
	}
	end := bytes.Index(text.Bytes(), endOfHead)
	return text.Bytes()[:end+len("\r\n")], nil
}

// attemptHeaderBytes is the typical size of the headers that are specific to an
// attempt.
const attemptHeaderBytes = 128

// message returns the bytes of one attempt; appendHeaders appends the headers that
// differ between attempts.
func (r *Request) message(appendHeaders func([]byte) []byte) ([]byte, error) {
	head, err := r.encoded()
	if err != nil {
		return nil, err
	}
	text := make([]byte, 0, len(head)+len(r.Body)+attemptHeaderBytes)
	text = appendHeaders(append(text, head...))
	text = append(text, "\r\n"...)
	return append(text, r.Body...), nil
}
