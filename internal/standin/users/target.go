package users

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Run is a request that a target ran.
type Run struct {
	ID, Method, URI, Body string
	At                    time.Time
}

// Behavior is how a target serves; the zero value serves at once.
type Behavior struct {
	Delay time.Duration
	// Status is sent instead of 200; Shed rejects instead of running.
	Status int
	Shed   bool
	// Lose runs the request and resets the connection.
	Lose bool
}

// Target is one searcher. It is safe for concurrent use.
type Target struct {
	ID, Service, Domain string
	Server              *httptest.Server
	// Records is the body of replies.
	Records []byte

	mu       sync.Mutex
	behavior Behavior
	runs     []Run
	gone     int
}

// NewTarget starts a target on the loopback address.
func NewTarget(id, service, domain string, records []byte) *Target {
	t := &Target{ID: id, Service: service, Domain: domain, Records: records}
	t.Server = httptest.NewServer(t)
	return t
}

// States that targets report.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Register writes what the target reports of itself.
func (s *Store) Register(t *Target, state string, sequence int) {
	s.Put("servers/"+t.ID, map[string]any{
		"service": t.Service, "address": t.Server.Listener.Addr().String(), "zone": t.Domain, "version": "v1",
		"slots": 2, "state": state, "cold_left_ms": 0, "seq": sequence, "born": 1000,
	})
}

// Behave changes how the target serves.
func (t *Target) Behave(b Behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// Runs returns the requests that ran, and Gone how many callers left before the
// reply.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Gone returns how many callers left before the reply.
func (t *Target) Gone() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone
}

// ServeHTTP runs one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	b := t.behavior
	t.mu.Unlock()
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	switch {
	case r.Header.Get("X-Target-Instance") != t.ID:
		w.Header().Set("X-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case b.Shed:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := new(strings.Builder)
	buffer := make([]byte, 1024)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	t.mu.Lock()
	t.runs = append(t.runs, Run{ID: id, Method: r.Method, URI: r.RequestURI, Body: body.String(), At: time.Now()})
	n := len(t.runs)
	t.mu.Unlock()
	if b.Lose {
		drop(w)
		return
	}
	select {
	case <-time.After(b.Delay):
	case <-r.Context().Done():
		t.mu.Lock()
		t.gone++
		t.mu.Unlock()
		return
	}
	w.Header().Set("X-Server-Seal", fmt.Sprintf("%s.%d", t.ID, n))
	if b.Status != 0 {
		w.WriteHeader(b.Status)
	}
	_, _ = w.Write(t.Records)
}

// drop resets the connection of a request.
func drop(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
