package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value, as the platform's store encodes it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// pageItems is the number of items of one page.
const pageItems = 500

// store is the platform's metadata store: one history, linearizable, without losses.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

func startStore() *store {
	s := &store{revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	go s.expireLeases()
	return s
}

func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.notify()
	return s.revision
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// write and remove change a key at the present revision. s.mu must be held.
func (s *store) write(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if known, ok := s.items[key]; ok {
		it.Created = known.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. s.mu must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.notify()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == wire["store"]+"range":
		s.serveRange(w, r)
	case r.URL.Path == wire["store"]+"key":
		s.serveKey(w, r)
	case r.URL.Path == wire["store"]+"watch":
		s.serveWatch(w, r)
	case r.URL.Path == wire["store"]+"txn":
		s.serveTransaction(w, r)
	case r.URL.Path == wire["store"]+"lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, wire["store"]+"keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, wire["store"]+"keep/"), false)
	case strings.HasPrefix(r.URL.Path, wire["store"]+"lease-end/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, wire["store"]+"lease-end/"), true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		Conditions []item   `json:"if_revision"`
		Writes     []item   `json:"writes"`
		Deletes    []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range transaction.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, condition := range transaction.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[condition.Key]}})
			return
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range transaction.Deletes {
		s.remove(key)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var wanted struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&wanted) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(wanted.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, text string, end bool) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if end {
		s.endLease(id)
	} else {
		l.until = time.Now().Add(l.ttl)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
