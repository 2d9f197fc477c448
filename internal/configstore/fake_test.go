package configstore_test

import (
	"context"
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/platform"
)

// fakeStore is a store whose answers can be lost and whose writes can be late.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	version uint64
	expired map[string]bool
	// onPut decides the fate of a compare-and-swap.
	onPut func(key string) fate
	// late are writes that will still arrive.
	late []func()
	down bool
	// roots counts the writes of the root that took effect, by revision.
	roots []platform.Entry
	calls int
}

type fate int

const (
	answered fate = iota
	// refused: nothing reaches the store.
	refused
	// lostAnswer: the write takes effect and its answer is lost.
	lostAnswer
	// lostWrite: neither the write nor an answer arrives.
	lostWrite
	// lateWrite: the answer is lost and the write arrives later.
	lateWrite
)

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]platform.Entry{}, expired: map[string]bool{}, onPut: func(string) fate { return answered }}
}

func (f *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return f.entries[key], nil
}

func (f *fakeStore) swap(key string, value []byte, expected uint64) platform.PutResult {
	present := f.entries[key]
	if present.Version != expected {
		return platform.PutResult{Version: present.Version, Present: present.Value}
	}
	f.set(key, value)
	return platform.PutResult{Written: true, Version: f.version}
}

func (f *fakeStore) set(key string, value []byte) {
	f.version++
	f.entries[key] = platform.Entry{Value: value, Version: f.version}
	if key == "carawayreel/root" {
		f.roots = append(f.roots, f.entries[key])
	}
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected uint64) (platform.PutResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return platform.PutResult{}, platform.ErrUnavailable
	}
	switch f.onPut(key) {
	case refused:
		return platform.PutResult{}, platform.ErrUnavailable
	case lostAnswer:
		f.swap(key, value, expected)
		return platform.PutResult{}, platform.ErrOutcomeUnknown
	case lostWrite:
		return platform.PutResult{}, platform.ErrOutcomeUnknown
	case lateWrite:
		f.late = append(f.late, func() { f.swap(key, value, expected) })
		return platform.PutResult{}, platform.ErrOutcomeUnknown
	default:
		return f.swap(key, value, expected), nil
	}
}

func (f *fakeStore) Replace(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return platform.ErrUnavailable
	}
	f.set(key, value)
	return nil
}

func (f *fakeStore) Expire(_ context.Context, key string, _ time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.expired[key] = true
	f.set(key, nil)
	return nil
}

func (f *fakeStore) Watch(context.Context, string, uint64, time.Duration) (platform.WatchResult, error) {
	return platform.WatchResult{}, platform.ErrUnavailable
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// arrive lets the late writes arrive.
func (f *fakeStore) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.late {
		write()
	}
	f.late = nil
}
