// Package users is a small stand-in of the users' platform for tests: its
// metadata store with watches, outages and dropped history, and targets that
// speak its headers. It is not shipped.
package users

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how the store fails.
type Fault int

// Faults of the store.
const (
	None Fault = iota
	// Unavailable answers each call with 503.
	Unavailable
	// Silent never answers.
	Silent
)

// pageItems is the number of items in a page.
const pageItems = 50

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the metadata store. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	log     []item
	dropped uint64
	fault   Fault
	changed chan struct{}
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Put writes a value, as JSON unless it is a string.
func (s *Store) Put(key string, value any) {
	text, ok := value.(string)
	if !ok {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		text = string(encoded)
	}
	s.append(item{Key: key, Value: []byte(text)})
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.append(item{Key: key, Tombstone: true}) }

func (s *Store) append(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = s.revision() + 1
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.revision()
}

// Fail makes the store fail from now on.
func (s *Store) Fail(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) revision() uint64 { return uint64(len(s.log)) + 1 }

// ServeHTTP serves ranges and watches.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// The end of a caller's connection is noticed only after its body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case None:
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	case "/-/kv-lease":
		reply(w, map[string]int{"lease": 1, "ttl_ms": 1000})
	case "/-/kv-txn":
		s.serveWrite(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	present := map[string]item{}
	for _, i := range s.log {
		present[i.Key] = i
	}
	var items []item
	for key, i := range present {
		if !i.Tombstone && strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, map[string]any{"items": items, "has_more": more, "as_of": s.revision()})
}

// serveWrite takes writes without conditions; leases are not kept.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Writes []item `json:"writes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, i := range change.Writes {
		s.append(item{Key: i.Key, Value: i.Value})
	}
	reply(w, map[string]int{"revision": 1})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.log[min(max(int(after)-1, 0), len(s.log)):]
		revision, changed := s.revision(), s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": []item{}, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that left cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}
