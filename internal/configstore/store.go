// Package configstore keeps configurations in the platform's key-value store.
//
// The root key holds a ConfigurationRoot and is the only key that is updated by
// compare-and-swap. Each front is stored separately, under a key unique to the
// write, before the root that refers to it. Once no root refers to a front's old
// key, the key is emptied and expires; keys are left behind if a VM stops in
// between. History entries are stored in a ring of keys.
package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
)

// Prefix is the common prefix of all keys written by this package.
const Prefix = "carawayreel/"

// RootKey is the key of the configuration root.
const RootKey = Prefix + "root"

const (
	// maxLoadAttempts is the maximum number of attempts to load a root and its fronts
	// when fronts are replaced during the load.
	maxLoadAttempts = 4
	// maxAttempts is the maximum number of attempts to read or replace one key
	// while the store is unavailable.
	maxAttempts = 3
	// retryDelay is the delay between attempts.
	retryDelay = 100 * time.Millisecond
	// emptiedKeyTTL is the time to live of emptied keys.
	emptiedKeyTTL = time.Minute
)

// ErrCorrupt means that a stored value cannot be decoded as the expected part of
// a configuration.
var ErrCorrupt = errors.New("the store's configuration cannot be read")

// errFrontReplaced means that a front's key was emptied after the root that
// refers to it was read.
var errFrontReplaced = errors.New("front was replaced while it was read")

// Stored is a configuration as read from the store.
type Stored struct {
	// Configuration is nil if the store is empty.
	Configuration *pb.Configuration
	// Version is the store version of the root key.
	Version uint64
	// Root is the stored root.
	Root *pb.ConfigurationRoot
}

// WatchResult is the result of one watch.
type WatchResult struct {
	// Configuration is nil if it did not change.
	Configuration *pb.Configuration
	// Version is the store version up to which changes were observed.
	Version uint64
}

// Store reads and writes configurations. It is safe for concurrent use.
type Store struct {
	platform platformclient.Store
}

// New returns a Store backed by the platform's store.
func New(store platformclient.Store) *Store {
	return &Store{platform: store}
}

// Watch waits until the root's version exceeds after, or until wait has elapsed. It
// takes fronts from cached if their revision is unchanged, instead of reading them.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration, cached *pb.Configuration) (WatchResult, error) {
	result, err := s.platform.Watch(ctx, RootKey, after, wait)
	if err != nil || !result.Changed {
		return WatchResult{Version: after}, err
	}
	stored, err := s.Assemble(ctx, result.Entry, cached)
	return WatchResult{Configuration: stored.Configuration, Version: stored.Version}, err
}

// Load reads the latest configuration. It takes fronts from cached if their revision
// is unchanged, instead of reading them; cached may be nil.
func (s *Store) Load(ctx context.Context, cached *pb.Configuration) (Stored, error) {
	var err error
	for range maxLoadAttempts {
		var entry platformclient.Entry
		entry, err = s.getWithRetry(ctx, RootKey)
		if err != nil {
			return Stored{}, err
		}
		var stored Stored
		stored, err = s.Assemble(ctx, entry, cached)
		if !errors.Is(err, errFrontReplaced) {
			return stored, err
		}
	}
	return Stored{}, err
}

// Assemble returns the configuration of a root entry. It takes the root's fronts
// from cached if it has them at the same revision, and reads the others from the
// store; cached may be nil.
func (s *Store) Assemble(ctx context.Context, entry platformclient.Entry, cached *pb.Configuration) (Stored, error) {
	if entry.Version == 0 {
		return Stored{}, nil
	}
	root, err := parseRoot(entry.Value)
	if err != nil {
		return Stored{}, err
	}
	cachedFronts := make(map[string]*pb.Front, len(cached.GetFronts()))
	for _, front := range cached.GetFronts() {
		cachedFronts[front.Name] = front
	}
	fronts := make([]*pb.Front, 0, len(root.Fronts))
	for _, reference := range root.Fronts {
		front := cachedFronts[reference.Name]
		if front == nil || front.Revision != reference.Revision {
			if front, err = s.loadFront(ctx, reference); err != nil {
				return Stored{}, err
			}
		}
		fronts = append(fronts, front)
	}
	return Stored{Configuration: configuration.Assemble(root, fronts), Version: entry.Version, Root: root}, nil
}

func (s *Store) loadFront(ctx context.Context, reference *pb.FrontReference) (*pb.Front, error) {
	entry, err := s.getWithRetry(ctx, reference.Key)
	if err != nil {
		return nil, err
	}
	if len(entry.Value) == 0 {
		return nil, errFrontReplaced
	}
	front := &pb.Front{}
	if err := proto.Unmarshal(entry.Value, front); err != nil {
		return nil, errors.Wrap(ErrCorrupt, reference.Key)
	}
	if front.Name != reference.Name || front.Revision != reference.Revision {
		return nil, errors.Wrap(ErrCorrupt, reference.Key)
	}
	return front, nil
}

// getWithRetry reads a key, making up to maxAttempts attempts.
func (s *Store) getWithRetry(ctx context.Context, key string) (platformclient.Entry, error) {
	for attempt := 1; ; attempt++ {
		entry, err := s.platform.Get(ctx, key)
		if err == nil || attempt == maxAttempts {
			return entry, err
		}
		if !sleep(ctx, retryDelay) {
			return platformclient.Entry{}, err
		}
	}
}

func parseRoot(value []byte) (*pb.ConfigurationRoot, error) {
	root := &pb.ConfigurationRoot{}
	if err := proto.Unmarshal(value, root); err != nil {
		return nil, errors.Wrap(ErrCorrupt, RootKey)
	}
	if root.Revision == 0 {
		return nil, errors.Wrap(ErrCorrupt, RootKey)
	}
	return root, nil
}

// sleep waits for d. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
