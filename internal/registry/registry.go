// Package registry follows a store that lists operators' routes, targets and
// failure domains taken out as separate entries, and folds them into one
// configuration.
//
// A Source holds the state of the store at one revision: it lists the entries
// once, page by page, and follows the changes from the first page's revision on.
// When the store has dropped that history it lists again.
package registry

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Errors of a Store.
var (
	// ErrHistoryGone means that the changes after the revision are not kept any
	// more.
	ErrHistoryGone = errors.New("the store dropped the history after this revision")
	// ErrLeaseGone means that a lease has ended, and its keys with it.
	ErrLeaseGone = errors.New("the lease has ended")
	// ErrUnavailable means that the store did not answer, or refused to.
	ErrUnavailable = errors.New("the store is unavailable")
)

// Entry is one key of the store with what its value says. At most one of
// RouteTable, Registration and DomainTakenOut is set; none means that the value
// could not be read, or that the key was deleted.
type Entry struct {
	Key string
	// Revision is the store's revision of the last change of the key.
	Revision uint64
	Deleted  bool

	RouteTable *pb.RouteTable
	// Registration names a target; Sequence is the number of its report.
	Registration *pb.Registration
	Sequence     uint64
	// DomainTakenOut is the name of a failure domain.
	DomainTakenOut string
	// Problem states why the value could not be read.
	Problem string
}

// Page is a part of the entries. Revision is the store's at the time of reading.
type Page struct {
	Entries  []Entry
	More     bool
	Revision uint64
}

// Changes are the entries that changed after a revision, up to Revision.
type Changes struct {
	Entries  []Entry
	Revision uint64
}

// missed returns the number of revisions after the given one that no entry stands
// for. Every revision changes some entry, so that a watch which skips one did not
// hear of it.
func (c Changes) missed(after uint64) uint64 {
	revisions := make(map[uint64]struct{}, len(c.Entries))
	for _, entry := range c.Entries {
		if entry.Revision > after && entry.Revision <= c.Revision {
			revisions[entry.Revision] = struct{}{}
		}
	}
	if c.Revision <= after {
		return 0
	}
	return c.Revision - after - uint64(len(revisions))
}

// Store is the store that is followed. Implementations are safe for concurrent
// use and return ErrHistoryGone or errors caused by ErrUnavailable.
type Store interface {
	// List returns the entries whose keys follow after; empty begins. A reading
	// that may lag is cheaper and may be seconds old; its page has the revision
	// that it was read at.
	List(ctx context.Context, after string, mayLag bool) (Page, error)
	// Changes waits until something changes after the revision, at most for the
	// given time.
	Changes(ctx context.Context, revision uint64, wait time.Duration) (Changes, error)
}

// listTimeout bounds the reading of all pages. It is a few times what the pages
// take at the store's usual answer time of some milliseconds.
const listTimeout = 4 * time.Second

// Source reads configurations from a Store. It is safe for concurrent use.
type Source struct {
	store  Store
	logger zerolog.Logger

	mu   sync.Mutex
	fold *fold
}

// NewSource returns a Source that has read nothing yet.
func NewSource(store Store, logger zerolog.Logger) *Source {
	return &Source{store: store, logger: logger}
}

// Watch waits until the configuration changes, at most for the given time. The
// first call, and the first after a gap in the history, returns the whole.
func (s *Source) Watch(ctx context.Context, wait time.Duration) (configstore.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold == nil {
		return s.readFirst(ctx)
	}
	changes, err := s.store.Changes(ctx, s.fold.revision, wait)
	if errors.Is(err, ErrHistoryGone) {
		s.logger.Info().Uint64("after_revision", s.fold.revision).Msg("store history dropped; listing all entries")
		return s.readAll(ctx, false)
	}
	if err != nil {
		return configstore.Reading{}, err
	}
	if missed := changes.missed(s.fold.revision); missed > 0 {
		s.logger.Warn().Uint64("after_revision", s.fold.revision).Uint64("revision", changes.Revision).
			Uint64("missed", missed).Msg("watch left changes out; listing all entries")
		return s.readAll(ctx, false)
	}
	s.logProblems(changes.Entries)
	if !s.fold.apply(changes) {
		return configstore.Reading{Version: s.fold.revision}, nil
	}
	return s.reading(), nil
}

func (s *Source) reading() configstore.Reading {
	return configstore.Reading{Configuration: s.fold.configuration(), Version: s.fold.revision}
}

// readFirst reads all entries from a listing that may lag, which every VM does at
// its start, and anew when the history since that listing is gone.
func (s *Source) readFirst(ctx context.Context) (configstore.Reading, error) {
	reading, err := s.readAll(ctx, true)
	if errors.Is(err, ErrHistoryGone) {
		s.logger.Info().Msg("store history since the first listing dropped; listing all entries anew")
		return s.readAll(ctx, false)
	}
	return reading, err
}

// readAll lists all entries and takes the changes since the oldest page, so that
// the result is the state at one revision.
func (s *Source) readAll(ctx context.Context, mayLag bool) (configstore.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, first, err := s.list(ctx, mayLag)
	if err != nil {
		return configstore.Reading{}, err
	}
	next := newFold(s.fold, s.logger)
	next.list(entries, first)
	changes, err := s.store.Changes(ctx, first, 0)
	if err != nil {
		return configstore.Reading{}, err
	}
	if changes.missed(first) > 0 {
		// The next watch begins at the listing and finds the gap, or what filled it.
		changes.Revision = first
	}
	next.apply(changes)
	next.complete()
	s.logProblems(entries)
	s.fold = next
	return s.reading(), nil
}

// list returns the entries of all pages and the revision of the oldest: pages
// that may lag need not lag alike.
func (s *Source) list(ctx context.Context, mayLag bool) ([]Entry, uint64, error) {
	var entries []Entry
	oldest := uint64(math.MaxUint64)
	after := ""
	for {
		page, err := s.store.List(ctx, after, mayLag)
		if err != nil {
			return nil, 0, err
		}
		oldest = min(oldest, page.Revision)
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return entries, oldest, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

func (s *Source) logProblems(entries []Entry) {
	for _, entry := range entries {
		if entry.Problem != "" {
			s.logger.Warn().Str("key", entry.Key).Uint64("revision", entry.Revision).
				Str("problem", entry.Problem).Msg("store entry ignored")
		}
	}
}
