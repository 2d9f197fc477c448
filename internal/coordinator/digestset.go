package coordinator

import "sync"

// digestGenerationCapacity is the maximum number of digests in a generation.
const digestGenerationCapacity = 32768

// digestSet is a bounded set of recently added digests. It keeps two generations: when
// the newer one is full, it replaces the older one. It is safe for concurrent use.
type digestSet struct {
	mu    sync.Mutex
	newer map[uint64]struct{}
	older map[uint64]struct{}
}

func newDigestSet() *digestSet {
	return &digestSet{newer: map[uint64]struct{}{}}
}

func (s *digestSet) has(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.newer[digest]; ok {
		return true
	}
	_, ok := s.older[digest]
	return ok
}

func (s *digestSet) add(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newer) >= digestGenerationCapacity {
		s.older = s.newer
		s.newer = make(map[uint64]struct{}, digestGenerationCapacity)
	}
	s.newer[digest] = struct{}{}
}
