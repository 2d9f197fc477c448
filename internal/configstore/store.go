// Package configstore keeps configurations in the platform's key-value store.
//
// The root key holds a ConfigurationRoot; compare-and-swap is done on its store
// version alone. Each front is stored apart, under a key that no other write
// uses, before the root that refers to it. A front's old key is emptied and
// expires once no root refers to it; keys left behind by a VM that stopped in
// between remain. Entries of the history stand in a ring of keys.
package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platform"
)

// Prefix begins every key of this package.
const Prefix = "carawayreel/"

// RootKey is the key of the root.
const RootKey = Prefix + "root"

const (
	// loadTries bounds the readings of a root whose fronts were replaced
	// meanwhile.
	loadTries = 4
	// readTries bounds the readings of one key while the store is down.
	readTries = 3
	// retryDelay is the pause between tries.
	retryDelay = 100 * time.Millisecond
	// expireAfter is how long emptied keys remain.
	expireAfter = time.Minute
)

// ErrCorrupt means that the store holds a value that is no part of a
// configuration.
var ErrCorrupt = errors.New("the store's configuration cannot be read")

// errFrontGone means that a front's key was emptied after its root was read.
var errFrontGone = errors.New("front was replaced while it was read")

// Stored is a configuration with its place in the store.
type Stored struct {
	// Configuration is nil when the store holds none.
	Configuration *pb.Configuration
	// Version is the store version of the root key.
	Version uint64
	// Root is the root as it is stored.
	Root *pb.ConfigurationRoot
}

// Reading is the end of one watch.
type Reading struct {
	// Configuration is nil when it did not change.
	Configuration *pb.Configuration
	// Version is the store's version up to which changes were seen.
	Version uint64
}

// Store reads and writes configurations. It is safe for concurrent use.
type Store struct {
	platform platform.Store
}

// New returns a Store over the platform's store.
func New(store platform.Store) *Store {
	return &Store{platform: store}
}

// Watch waits until the root's version is above after, at most for the given
// time. Fronts that known holds in the same revision are not read again.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration, known *pb.Configuration) (Reading, error) {
	result, err := s.platform.Watch(ctx, RootKey, after, wait)
	if err != nil || !result.Changed {
		return Reading{Version: after}, err
	}
	stored, err := s.Assemble(ctx, result.Entry, known)
	return Reading{Configuration: stored.Configuration, Version: stored.Version}, err
}

// Load reads the newest configuration. Fronts that known holds in the same
// revision are not read again; known may be nil.
func (s *Store) Load(ctx context.Context, known *pb.Configuration) (Stored, error) {
	var err error
	for range loadTries {
		var entry platform.Entry
		entry, err = s.get(ctx, RootKey)
		if err != nil {
			return Stored{}, err
		}
		var stored Stored
		stored, err = s.Assemble(ctx, entry, known)
		if !errors.Is(err, errFrontGone) {
			return stored, err
		}
	}
	return Stored{}, err
}

// Assemble reads the fronts of a root that was read or watched.
func (s *Store) Assemble(ctx context.Context, entry platform.Entry, known *pb.Configuration) (Stored, error) {
	if entry.Version == 0 {
		return Stored{}, nil
	}
	root, err := parseRoot(entry.Value)
	if err != nil {
		return Stored{}, err
	}
	have := make(map[string]*pb.Front, len(known.GetFronts()))
	for _, front := range known.GetFronts() {
		have[front.Name] = front
	}
	fronts := make([]*pb.Front, 0, len(root.Fronts))
	for _, reference := range root.Fronts {
		front := have[reference.Name]
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
	entry, err := s.get(ctx, reference.Key)
	if err != nil {
		return nil, err
	}
	if len(entry.Value) == 0 {
		return nil, errFrontGone
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

// get reads a key, more than once while the store is down.
func (s *Store) get(ctx context.Context, key string) (platform.Entry, error) {
	for try := 1; ; try++ {
		entry, err := s.platform.Get(ctx, key)
		if err == nil || try == readTries {
			return entry, err
		}
		if !pause(ctx, retryDelay) {
			return platform.Entry{}, err
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

// pause waits, and reports false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
