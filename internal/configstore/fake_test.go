package configstore_test

import (
	"context"
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/platformclient"
)

// fakeStore is an in-memory platformclient.Store that can lose responses and writes and
// delay writes.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]platformclient.Entry
	version uint64
	expired map[string]bool
	// onPut selects the fault injected into a compare-and-swap of key.
	onPut func(key string) putFault
	// delayed holds delayed writes that have not been delivered yet.
	delayed []func()
	down    bool
	// roots holds the root entries written so far, in order.
	roots []platformclient.Entry
	calls int
}

type putFault int

const (
	noFault putFault = iota
	// unavailable: the store reports itself unavailable; the write has no effect.
	unavailable
	// lostResponse: the write takes effect, but its response is lost.
	lostResponse
	// lostWrite: the write has no effect, and no response arrives.
	lostWrite
	// delayedWrite: the response is lost, and the write takes effect later.
	delayedWrite
)

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]platformclient.Entry{}, expired: map[string]bool{}, onPut: func(string) putFault { return noFault }}
}

func (f *fakeStore) Get(_ context.Context, key string) (platformclient.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return platformclient.Entry{}, platformclient.ErrUnavailable
	}
	return f.entries[key], nil
}

func (f *fakeStore) compareAndSwap(key string, value []byte, expected uint64) platformclient.PutResult {
	present := f.entries[key]
	if present.Version != expected {
		return platformclient.PutResult{Version: present.Version, Current: present.Value}
	}
	f.set(key, value)
	return platformclient.PutResult{Written: true, Version: f.version}
}

func (f *fakeStore) set(key string, value []byte) {
	f.version++
	f.entries[key] = platformclient.Entry{Value: value, Version: f.version}
	if key == "carawayreel/root" {
		f.roots = append(f.roots, f.entries[key])
	}
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected uint64) (platformclient.PutResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return platformclient.PutResult{}, platformclient.ErrUnavailable
	}
	switch f.onPut(key) {
	case unavailable:
		return platformclient.PutResult{}, platformclient.ErrUnavailable
	case lostResponse:
		f.compareAndSwap(key, value, expected)
		return platformclient.PutResult{}, platformclient.ErrOutcomeUnknown
	case lostWrite:
		return platformclient.PutResult{}, platformclient.ErrOutcomeUnknown
	case delayedWrite:
		f.delayed = append(f.delayed, func() { f.compareAndSwap(key, value, expected) })
		return platformclient.PutResult{}, platformclient.ErrOutcomeUnknown
	default:
		return f.compareAndSwap(key, value, expected), nil
	}
}

func (f *fakeStore) Replace(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return platformclient.ErrUnavailable
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

func (f *fakeStore) Watch(context.Context, string, uint64, time.Duration) (platformclient.WatchResult, error) {
	return platformclient.WatchResult{}, platformclient.ErrUnavailable
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// deliverDelayed delivers the delayed writes.
func (f *fakeStore) deliverDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.delayed {
		write()
	}
	f.delayed = nil
}
