package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one revision of a key.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's key-value store. It keeps its whole history, and its
// answers are linearizable. Leases do not expire: no case lasts as long as the VMs' leases.
type Store struct {
	mu       sync.Mutex
	history  []Item
	latest   map[string]Item
	revision uint64
	leases   int64
	changed  chan struct{}
}

const (
	storeLatency = 4 * time.Millisecond
	itemsPerPage = 500
	maxWatchWait = 30 * time.Second
)

func newStore() *Store {
	return &Store{latest: map[string]Item{}, revision: 1, changed: make(chan struct{})}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit([]Item{{Key: key, Value: text}})
}

// Delete removes a key.
func (s *Store) Delete(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit([]Item{{Key: key, Tombstone: true}})
}

// commit applies the items as one revision. s.mu must be held.
func (s *Store) commit(items []Item) uint64 {
	s.revision++
	for _, it := range items {
		it.Revision, it.Created = s.revision, s.revision
		if known, ok := s.latest[it.Key]; ok {
			it.Created = known.Created
		}
		if it.Tombstone {
			it.Created = 0
			delete(s.latest, it.Key)
		} else {
			s.latest[it.Key] = it
		}
		s.history = append(s.history, it)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	call := strings.TrimPrefix(r.URL.Path, wire.StorePrefix)
	switch {
	case call == "key":
		s.serveKey(w, r)
	case call == "range":
		s.serveRange(w, r)
	case call == "watch":
		s.serveWatch(w, r)
	case call == "txn" && r.Method == http.MethodPost:
		s.serveTransaction(w, r)
	case call == "lease" && r.Method == http.MethodPost:
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&asked)
		s.mu.Lock()
		s.leases++
		lease := s.leases
		s.mu.Unlock()
		answer(w, map[string]int64{"lease": lease, "ttl_ms": max(asked.TTL, 1000)})
	case strings.HasPrefix(call, "keep/"), strings.HasPrefix(call, "lease-end/"):
		answer(w, map[string]int64{})
	default:
		http.NotFound(w, r)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.latest[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		Item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for key, it := range s.latest {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > itemsPerPage
	items = items[:min(len(items), itemsPerPage)]
	answer(w, map[string]any{"items": items, "has_more": more, "as_of": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	prefix := r.FormValue("prefix")
	for {
		s.mu.Lock()
		events := []Item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			answer(w, map[string]any{"events": events, "as_of": revision})
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []Item   `json:"if_revision"`
		Writes     []Item   `json:"writes"`
		Deletes    []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for _, it := range t.Writes {
		items = append(items, Item{Key: it.Key, Value: it.Value, Lease: it.Lease})
	}
	for _, key := range t.Deletes {
		items = append(items, Item{Key: key, Tombstone: true})
	}
	for _, it := range items {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, wire.ServersPrefix) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	failed := []Item{}
	for _, c := range t.Conditions {
		if s.latest[c.Key].Revision != c.Revision {
			failed = append(failed, s.latest[c.Key])
		}
	}
	if len(failed) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": failed})
		return
	}
	answer(w, map[string]uint64{"revision": s.commit(items)})
}

// listen serves the handler on a free loopback port and returns its address.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}
