// Package users provides fakes of the users' platform for tests: its metadata
// store with watches, outages and history compaction, and targets that use its
// HTTP headers. A VM uses that platform if the setting platform.protocol is users.
// The package is not part of the product.
package users

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is an injected fault of the store.
type Fault int

// Faults of the store.
const (
	// None makes the store work normally.
	None Fault = iota
	// Unavailable makes each call fail with status 503.
	Unavailable
	// Hang makes each call hang without a response.
	Hang
)

// itemsPerPage is the maximum number of items in a response to a range call.
const itemsPerPage = 50

// item is a revision of a key on the wire and in the history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a fake metadata store. It implements http.Handler and is safe for
// concurrent use.
type Store struct {
	mu                sync.Mutex
	history           []item
	compactedRevision uint64
	// era is zero if the store names none.
	era     uint64
	fault   Fault
	changed chan struct{}
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Put writes a value to a key. A string is stored as it is, any other value as
// JSON.
func (s *Store) Put(key string, value any) {
	s.appendItem(item{Key: key, Value: encode(value)})
}

func encode(value any) []byte {
	if text, ok := value.(string); ok {
		return []byte(text)
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Delete removes a key by writing a tombstone.
func (s *Store) Delete(key string) { s.appendItem(item{Key: key, Tombstone: true}) }

func (s *Store) appendItem(entry item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(entry)
}

// append adds an item at the next revision. s.mu must be held.
func (s *Store) append(entry item) {
	entry.Revision = s.revision() + 1
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history up to the current revision: watches from an earlier
// revision fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision()
}

// SetEra makes the store name its era in all its answers.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy is what the store held at one time.
type Copy struct{ history []item }

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{history: slices.Clone(s.history)}
}

// Written is a key with the value that is written to it, as Put takes them.
type Written struct {
	Key   string
	Value any
}

// Return makes the store come back from a copy: later writes are lost, and their revisions are
// given out again, first to the given writes. If the store names its era, a new one begins.
func (s *Store) Return(c Copy, first ...Written) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = slices.Clone(c.history)
	for _, w := range first {
		s.append(item{Key: w.Key, Value: encode(w.Value)})
	}
	s.compactedRevision = min(s.compactedRevision, s.revision())
	if s.era > 0 {
		s.era++
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault sets the fault of subsequent calls; None clears it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls received so far, including failed ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// revision returns the revision of the latest write. It is 1 for an empty store, so
// that the first write has revision 2.
func (s *Store) revision() uint64 { return uint64(len(s.history)) + 1 }

// ServeHTTP serves range, watch, lease and transaction calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.nameEra(w)
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Hang:
		// The server detects that the client disconnected only after the request
		// body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case None:
	}
	if strings.HasPrefix(r.URL.Path, "/-/kv-keep/") {
		writeJSON(w, map[string]int{"ttl_ms": 1000})
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	case "/-/kv-lease":
		writeJSON(w, map[string]int{"lease": 1, "ttl_ms": 1000})
	case "/-/kv-txn":
		s.serveWrite(w, r)
	default:
		http.NotFound(w, r)
	}
}

// nameEra sets the header with the era. s.mu must be held.
func (s *Store) nameEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	latest := map[string]item{}
	for _, entry := range s.history {
		latest[entry.Key] = entry
	}
	var items []item
	for key, entry := range latest {
		if !entry.Tombstone && strings.HasPrefix(key, prefix) && key > after {
			items = append(items, entry)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	hasMore := len(items) > itemsPerPage
	if hasMore {
		items = items[:itemsPerPage]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": hasMore, "as_of": s.revision()})
}

// serveWrite applies the writes of a transaction if its conditions hold. It ignores leases,
// and refuses writes to the keys of operators and targets.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		Conditions []item `json:"if_revision"`
		Writes     []item `json:"writes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, entry := range transaction.Writes {
		if strings.HasPrefix(entry.Key, "op/") || strings.HasPrefix(entry.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []item
	for _, condition := range transaction.Conditions {
		if latest := s.latest(condition.Key); latest.Revision != condition.Revision {
			failed = append(failed, latest)
		}
	}
	if len(failed) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"items": failed})
		return
	}
	for _, entry := range transaction.Writes {
		s.append(item{Key: entry.Key, Value: entry.Value})
	}
	writeJSON(w, map[string]uint64{"revision": s.revision()})
}

// latest returns the present item of a key; its revision is zero if the key does not exist.
// s.mu must be held.
func (s *Store) latest(key string) item {
	for i := len(s.history) - 1; i >= 0; i-- {
		if entry := s.history[i]; entry.Key == key {
			if entry.Tombstone {
				return item{Key: key}
			}
			return entry
		}
	}
	return item{Key: key}
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.nameEra(w)
		if after < s.compactedRevision || after > s.revision() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.history[min(max(int(after)-1, 0), len(s.history)):]
		revision, changed := s.revision(), s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": []item{}, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected, so there is no one to
	// report the error to.
	_ = json.NewEncoder(w).Encode(body)
}
