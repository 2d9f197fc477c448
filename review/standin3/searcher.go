package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a searcher.
type arrival struct {
	at       time.Time
	id       string
	method   string
	path     string
	from     string
	searcher string
	ran      bool
}

// searcher is a sound server of one service.
type searcher struct {
	id, service, zone, address string
	work                       time.Duration
	born                       int64
	// crashOn is the path whose requests end the process when it begins to run them; it is up again after
	// crashTime.
	crashOn   string
	crashTime time.Duration

	mu       sync.Mutex
	arrivals []arrival
	server   *http.Server
	listener net.Listener
	crashes  []time.Time
	onBoot   func()
	rec      *record
}

func (s *searcher) open() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s, IdleTimeout: 30 * time.Second}
	s.mu.Lock()
	s.server, s.listener, s.born = server, listener, time.Now().UnixMilli()
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// end closes the searcher and all its connections.
func (s *searcher) end() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

// entry is what the searcher says of itself in the store.
func (s *searcher) entry(state string, seq int) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8,
		"state": state, wire("coldLeft"): 0, "seq": seq, "born": s.born,
	}
}

// ServeHTTP implements what the pages say of servers.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=30")
	if r.URL.Path == "/health" {
		w.Header().Set(wire("instance"), s.id)
		return
	}
	id := r.Header.Get(wire("attempt"))
	w.Header().Set(wire("attempt"), id)
	expected := r.Header.Get(wire("target"))
	a := arrival{at: time.Now(), id: id, method: r.Method, path: r.URL.Path, from: r.RemoteAddr, searcher: s.id}
	switch {
	case id == "":
		w.Header().Set(wire("notExecuted"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		s.rec.log("421 %s: request %s for %s", s.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.ran = true
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	n := len(s.arrivals)
	s.mu.Unlock()
	s.rec.log("run  %s (%s, %s): %s %s, attempt %s", s.id, s.service, s.zone, r.Method, r.URL.Path, id)
	if s.crashOn != "" && strings.HasPrefix(r.URL.Path, s.crashOn) {
		s.crash()
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(wire("seal"), fmt.Sprintf("%s.%d", s.id, n))
	_, _ = fmt.Fprintf(w, "%s answers %s %s", s.service, r.Method, r.URL.Path)
}

// crash ends the process and starts it again after crashTime.
func (s *searcher) crash() {
	s.rec.log("crash %s", s.id)
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	s.end()
	time.AfterFunc(s.crashTime, func() {
		for s.open() != nil {
			time.Sleep(20 * time.Millisecond)
		}
		s.rec.log("up again: %s", s.id)
		if s.onBoot != nil {
			s.onBoot()
		}
	})
}

func (s *searcher) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
