package coordinator

import "sync"

// seenCapacity bounds the digests of each of the two generations.
const seenCapacity = 32768

// seen remembers the digests of contents that ran lately, in two generations:
// when the newer one is full it replaces the older one. It is safe for
// concurrent use.
type seen struct {
	mu    sync.Mutex
	newer map[uint64]struct{}
	older map[uint64]struct{}
}

func newSeen() *seen {
	return &seen{newer: map[uint64]struct{}{}}
}

func (s *seen) has(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.newer[digest]; ok {
		return true
	}
	_, ok := s.older[digest]
	return ok
}

func (s *seen) add(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newer) >= seenCapacity {
		s.older = s.newer
		s.newer = make(map[uint64]struct{}, seenCapacity)
	}
	s.newer[digest] = struct{}{}
}
