package quarantine

import "sync"

// DigestSet is a bounded set of recently added digests. It keeps two generations: when
// the newer one is full, it replaces the older one. It is safe for concurrent use.
type DigestSet struct {
	// capacity is the maximum number of digests in a generation.
	capacity int

	mu    sync.Mutex
	newer map[uint64]struct{}
	older map[uint64]struct{}
}

// NewDigestSet returns an empty set that holds at least the last capacity digests, and at
// most twice as many.
func NewDigestSet(capacity int) *DigestSet {
	return &DigestSet{capacity: capacity, newer: map[uint64]struct{}{}}
}

// Has reports whether the set holds the digest.
func (s *DigestSet) Has(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.newer[digest]; ok {
		return true
	}
	_, ok := s.older[digest]
	return ok
}

// Add adds the digest.
func (s *DigestSet) Add(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newer) >= s.capacity {
		s.older = s.newer
		s.newer = make(map[uint64]struct{}, s.capacity)
	}
	s.newer[digest] = struct{}{}
}
