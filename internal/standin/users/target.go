package users

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Run is a request that a target executed.
type Run struct {
	ID, Method, URI, Body string
	Header                http.Header
	At                    time.Time
}

// Behavior controls how a target serves requests. The zero value responds without
// delay.
type Behavior struct {
	// Delay is the time between the execution of a request and its response.
	Delay time.Duration
	// Status replaces status 200 unless it is zero.
	Status int
	// RawStatus, unless empty, is the status of the reply, three characters that net/http need not
	// accept.
	RawStatus string
	// FailPart and SlowPart are the parts of requests, 0 to 1, that are answered with status
	// 500, or with SlowDelay in place of Delay.
	FailPart, SlowPart float64
	SlowDelay          time.Duration
	// Shed rejects requests with status 503 without running them.
	Shed bool
	// ResetAfterRun runs the request and resets the connection instead of responding.
	ResetAfterRun bool
	// Header holds headers that are added to all replies.
	Header http.Header
	// CrashOn crashes the target when it begins to run a request whose URI contains the
	// text; empty for none. It restarts after Down.
	CrashOn string
	Down    time.Duration
	// DiscardBody records requests without their bodies.
	DiscardBody bool
	// EarlyHead sends the head of the reply before such a crash.
	EarlyHead bool
}

// Target is one fake target. It is safe for concurrent use.
type Target struct {
	ID, Service, Domain string
	Server              *httptest.Server
	// Version is the version of the target's software, "v1" unless it is set before the
	// target registers.
	Version string
	// Records is the body of the response to each executed request.
	Records []byte

	listener  *crashListener
	mu        sync.Mutex
	behavior  Behavior
	runs      []Run
	abandoned int
	arrivals  []Arrival
	crashes   []time.Time
	boots     int
	onRestart func()
}

// NewTarget starts a target on a free port of the loopback interface.
func NewTarget(id, service, domain string, records []byte) *Target {
	t := &Target{ID: id, Service: service, Domain: domain, Version: "v1", Records: records}
	listener, err := newCrashListener()
	if err != nil {
		panic(err)
	}
	t.listener = listener
	t.Server = httptest.NewUnstartedServer(t)
	_ = t.Server.Listener.Close()
	t.Server.Listener = listener
	t.Server.Start()
	return t
}

// Crash resets the target's connections. It refuses new ones until it has restarted.
func (t *Target) Crash(down time.Duration) {
	t.mu.Lock()
	t.crashes = append(t.crashes, time.Now())
	t.mu.Unlock()
	t.listener.crash(down, t.restarted)
}

func (t *Target) restarted() {
	t.mu.Lock()
	t.boots++
	notify := t.onRestart
	t.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// OnRestart sets a function that is called after each restart.
func (t *Target) OnRestart(notify func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRestart = notify
}

// Crashes returns the times of the target's crashes.
func (t *Target) Crashes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.crashes...)
}

// States that a target registers with.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Register writes the target's registration with its state and sequence number.
func (s *Store) Register(t *Target, state string, sequence int) {
	t.mu.Lock()
	boots := t.boots
	t.mu.Unlock()
	s.Put("servers/"+t.ID, map[string]any{
		"service": t.Service, "address": t.Server.Listener.Addr().String(), "zone": t.Domain, "version": t.Version,
		"slots": 2, "state": state, "cold_left_ms": 0, "seq": sequence, "born": 1000 + boots,
	})
}

// SetBehavior sets the behavior for subsequent requests.
func (t *Target) SetBehavior(b Behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// Runs returns the requests that the target executed, in order.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Arrival is a request that reached a target, whether it ran it or not.
type Arrival struct {
	ID string
	At time.Time
	// Header holds the headers of the request.
	Header http.Header
	// Leaving is true if the reply says that the target leaves.
	Leaving bool
}

// Arrivals returns the requests that reached the target, in order.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Abandoned returns the number of requests that clients abandoned before the response.
func (t *Target) Abandoned() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.abandoned
}

// ServeHTTP executes one request and records it, unless it is addressed to another
// target or shed.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := t.drawBehavior()
	id, received := r.Header.Get("X-Attempt-Id"), r.Header.Clone()
	w.Header().Set("X-Attempt-Id", id)
	for name, values := range b.Header {
		w.Header()[name] = values
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, Arrival{ID: id, At: time.Now(), Header: received, Leaving: b.Header.Get("Server-Leaving") != ""})
	t.mu.Unlock()
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
	body := readBody(r, b.DiscardBody)
	t.mu.Lock()
	t.runs = append(t.runs, Run{ID: id, Method: r.Method, URI: r.RequestURI, Body: body, At: time.Now(), Header: received})
	n := len(t.runs)
	t.mu.Unlock()
	if b.CrashOn != "" && strings.Contains(r.RequestURI, b.CrashOn) {
		if b.EarlyHead {
			sendHead(w, b.Delay)
		}
		t.Crash(b.Down)
		return
	}
	if b.ResetAfterRun {
		resetConnection(w)
		return
	}
	select {
	case <-time.After(b.Delay):
	case <-r.Context().Done():
		t.mu.Lock()
		t.abandoned++
		t.mu.Unlock()
		return
	}
	w.Header().Set("X-Server-Seal", fmt.Sprintf("%s.%d", t.ID, n))
	if b.RawStatus != "" {
		writeRaw(w, b.RawStatus, t.Records)
		return
	}
	if b.Status != 0 {
		w.WriteHeader(b.Status)
	}
	_, _ = w.Write(t.Records)
}

// readBody reads the body up to its end, or to the end of the connection, and returns it unless it is to
// be discarded.
func readBody(r *http.Request, discard bool) string {
	var body strings.Builder
	var writer io.Writer = &body
	if discard {
		writer = io.Discard
	}
	_, _ = io.Copy(writer, r.Body)
	return body.String()
}

// drawBehavior returns the behavior for one request.
func (t *Target) drawBehavior() Behavior {
	t.mu.Lock()
	b := t.behavior
	t.mu.Unlock()
	if rand.Float64() < b.SlowPart {
		b.Delay = b.SlowDelay
	}
	if rand.Float64() < b.FailPart {
		b.Status = http.StatusInternalServerError
	}
	return b
}

// sendHead sends the head of the reply, and waits until it has arrived.
func sendHead(w http.ResponseWriter, way time.Duration) {
	w.WriteHeader(http.StatusOK)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	time.Sleep(way)
}

// writeRaw writes a reply with any status, which net/http refuses to.
func writeRaw(w http.ResponseWriter, status string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	header := w.Header()
	header.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Unknown\r\n", status)
	_ = header.Write(conn)
	_, _ = conn.Write(append([]byte("\r\n"), body...))
}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	resetOnClose(conn)
	_ = conn.Close()
}
