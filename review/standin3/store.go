package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history (history_s of the small deployments).
const historyTime = 20 * time.Second

// maxPageItems is the number of items of one page of a listing.
const maxPageItems = 500

// item is a key with its value, or an event of the history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

type lease struct {
	ttl     time.Duration
	renewed time.Time
}

// contents is what a copy of the store holds.
type contents struct {
	items     map[string]item
	history   []item
	dropped   uint64
	revision  uint64
	leases    map[int64]lease
	lastLease int64
}

func (c contents) clone() contents {
	c.items, c.history, c.leases = maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)
	return c
}

// store is the platform's store: keys with revisions, watches, transactions and leases.
type store struct {
	address string

	mu       sync.Mutex
	contents contents
	era      uint64
	changed  chan struct{}
	server   *http.Server
	conns    map[net.Conn]struct{}
}

func newStore(address string) *store {
	s := &store{
		address: address, era: 1, changed: make(chan struct{}), conns: map[net.Conn]struct{}{},
		contents: contents{items: map[string]item{}, leases: map[int64]lease{}, revision: 1},
	}
	go s.expireLeases()
	return s
}

// open starts to serve.
func (s *store) open() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = struct{}{}
		} else if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
		}
	}}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// close takes the store away: connections are closed and new ones refused.
func (s *store) close() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

// copyOf returns a copy of what the store holds.
func (s *store) copyOf() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.clone()
}

// restore replaces the contents by those of a copy, in a new era.
func (s *store) restore(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = c.clone()
	s.era++
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does, and returns the revision.
func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: text})
	return s.contents.revision
}

// remove deletes a key and returns the revision.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
	return s.contents.revision
}

func (s *store) write(it item) {
	c := &s.contents
	c.revision++
	it.Revision, it.Created, it.at = c.revision, c.revision, time.Now()
	if known, ok := c.items[it.Key]; ok {
		it.Created = known.Created
	}
	c.items[it.Key] = it
	s.appendEvent(it)
}

func (s *store) delete(key string) {
	c := &s.contents
	if _, ok := c.items[key]; !ok {
		return
	}
	delete(c.items, key)
	c.revision++
	s.appendEvent(item{Key: key, Revision: c.revision, Tombstone: true, at: time.Now()})
}

func (s *store) appendEvent(it item) {
	c := &s.contents
	c.history = append(c.history, it)
	for len(c.history) > 0 && time.Since(c.history[0].at) > historyTime {
		c.dropped = c.history[0].Revision
		c.history = c.history[1:]
	}
	s.wake()
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.contents.leases {
			if time.Since(l.renewed) > l.ttl {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.contents.leases, id)
	for key, it := range s.contents.items {
		if it.Lease == id {
			s.delete(key)
		}
	}
}

// ServeHTTP implements the calls of the published protocol.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	path := r.URL.Path
	switch {
	case path == wire("key"):
		s.serveKey(w, r)
	case path == wire("range"):
		s.serveRange(w, r)
	case path == wire("watch"):
		s.serveWatch(w, r)
	case path == wire("transaction"):
		s.serveTransaction(w, r)
	case path == wire("lease"):
		s.serveLease(w, r)
	case strings.HasPrefix(path, wire("keepAlive")):
		s.serveLeaseCall(w, path, func(id int64, l lease) {
			l.renewed = time.Now()
			s.contents.leases[id] = l
		})
	case strings.HasPrefix(path, wire("leaseEnd")):
		s.serveLeaseCall(w, path, func(id int64, _ lease) { s.endLease(id) })
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.contents.items[r.FormValue("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	answer(w, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	page := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.contents.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, s.contents.items[key])
		}
	}
	more := len(page) > maxPageItems
	page = page[:min(len(page), maxPageItems)]
	answer(w, map[string]any{"items": page, "has_more": more, "as_of": s.contents.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || waitErr != nil || wait > 30000 {
		http.Error(w, "after or wait_ms", http.StatusBadRequest)
		return
	}
	prefix := r.FormValue("prefix")
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.contents.dropped || after > s.contents.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.contents.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.contents.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []item   `json:"if_revision"`
		Writes     []item   `json:"writes"`
		Deletes    []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := slices.Clone(t.Deletes)
	for _, it := range t.Writes {
		keys = append(keys, it.Key)
		if _, ok := s.contents.leases[it.Lease]; it.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var failed []item
	for _, condition := range t.Conditions {
		if known := s.contents.items[condition.Key]; known.Revision != condition.Revision {
			failed = append(failed, item{Key: condition.Key, Value: known.Value, Revision: known.Revision})
		}
	}
	if len(failed) > 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": failed})
		return
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	for _, it := range t.Writes {
		s.write(item{Key: it.Key, Value: it.Value, Lease: it.Lease})
	}
	answer(w, map[string]uint64{"revision": s.contents.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents.lastLease++
	id := s.contents.lastLease
	s.contents.leases[id] = lease{ttl: time.Duration(body.TTLMs) * time.Millisecond, renewed: time.Now()}
	answer(w, map[string]int64{"lease": id, "ttl_ms": body.TTLMs})
}

func (s *store) serveLeaseCall(w http.ResponseWriter, path string, apply func(int64, lease)) {
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.contents.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	apply(id, l)
	answer(w, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
