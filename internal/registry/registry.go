// Package registry watches a store that holds the route table, the registered
// targets and the failure domains taken out of service as separate entries, and
// combines them into one configuration.
//
// A Source holds the state of the store at one revision: it lists the entries
// once, page by page, and then watches the changes since the oldest page's
// revision. If the store has compacted that history, the Source lists again.
package registry

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/configstore"
	"github.com/carawayreel/carawayreel/internal/era"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Errors of a Store.
var (
	// ErrCompacted means that the store has compacted the changes after the
	// requested revision.
	ErrCompacted = errors.New("the store dropped the history after this revision")
	// ErrEraEnded means that the store has come back in another era than that of the
	// requested revision.
	ErrEraEnded = errors.New("the store has come back in another era")
	// ErrTooLong means that the answer of the store is longer than this VM reads.
	ErrTooLong = errors.New("the answer of the store is too long")
	// ErrLeaseExpired means that a lease has expired and its keys were deleted.
	ErrLeaseExpired = errors.New("the lease has ended")
	// ErrUnavailable means that the store did not respond or rejected the request.
	ErrUnavailable = errors.New("the store is unavailable")
)

// Entry is one key of the store with its decoded value. At most one of RouteTable,
// Registration, DomainTakenOut, Rollout and RolloutStatus is set; none is set if the value
// could not be decoded or the key was deleted.
type Entry struct {
	Key string
	// Revision is the store revision of the key's last change.
	Revision uint64
	Deleted  bool

	RouteTable *pb.RouteTable
	// Registration is what a target last reported about itself; Sequence is the
	// sequence number of that report.
	Registration *pb.Registration
	Sequence     uint64
	// DomainTakenOut is the name of a failure domain that is out of service.
	DomainTakenOut string
	// Omitted names the invalid parts of the value that were left out.
	Omitted []string
	// Rollout is an operator's order, of which service, version and ramp are set, and
	// RolloutStatus the status of one.
	Rollout       *pb.Rollout
	RolloutStatus *pb.Rollout
	// Problem describes why the value could not be decoded.
	Problem string
}

// Page is one page of a listing. Revision is the store revision it was read at.
type Page struct {
	Entries  []Entry
	More     bool
	Revision uint64
}

// Changes holds the entries that changed after a requested revision, up to and
// including Revision.
type Changes struct {
	Entries  []Entry
	Revision uint64
}

// missed returns the number of revisions after the given one that have no entry.
// Every revision changes some entry, so a watch result without one is incomplete.
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

// Store is the store that a Source watches. Implementations must be safe for
// concurrent use and return ErrCompacted, ErrTooLong or errors that wrap ErrEraEnded or
// ErrUnavailable. Their revisions are positions in the order of all eras, see package era.
type Store interface {
	// List returns a page of the entries whose keys sort after the given one; an
	// empty key starts the listing. If allowStale is set, the read is cheaper but may
	// be stale by several seconds; the page has the revision it was read at.
	List(ctx context.Context, after string, allowStale bool) (Page, error)
	// Changes waits for changes after the revision, for at most wait. It returns ErrEraEnded
	// if the store is not in the era of the revision any more.
	Changes(ctx context.Context, revision uint64, wait time.Duration) (Changes, error)
}

// listTimeout is the time limit for reading all pages. Reading them takes a fraction
// of it at the store's usual latency of a few milliseconds.
const listTimeout = 4 * time.Second

// Source reads configurations from a Store. It is safe for concurrent use.
//
// In a new era of the store it lists all entries. It keeps the routes and the reports of
// targets that are newer than those in the copy which the store came back from.
type Source struct {
	store  Store
	logger zerolog.Logger

	mu    sync.Mutex
	state *storeState
}

// NewSource returns a Source with no state; the first Watch lists all entries.
func NewSource(store Store, logger zerolog.Logger) *Source {
	return &Source{store: store, logger: logger}
}

// Watch waits until the configuration changes, for at most wait. The first call,
// and any call that finds a gap in the history, lists all entries and returns
// the full configuration.
func (s *Source) Watch(ctx context.Context, wait time.Duration) (configstore.WatchResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return s.listInitial(ctx)
	}
	changes, err := s.store.Changes(ctx, s.state.revision, wait)
	switch {
	case errors.Is(err, ErrTooLong):
		s.logger.Warn().Err(err).Uint64("after_revision", s.state.revision).Msg("changes not read; listing all entries")
		return s.listAll(ctx, false)
	case errors.Is(err, ErrCompacted):
		s.logger.Info().Uint64("after_revision", s.state.revision).Msg("store history dropped; listing all entries")
		return s.listAll(ctx, false)
	case errors.Is(err, ErrEraEnded):
		s.logger.Info().Err(err).Uint64("after_revision", s.state.revision).Msg("store has come back in another era; listing all entries")
		return s.listAll(ctx, false)
	case err != nil:
		return configstore.WatchResult{}, err
	}
	if missed := changes.missed(s.state.revision); missed > 0 {
		s.logger.Warn().Uint64("after_revision", s.state.revision).Uint64("revision", changes.Revision).
			Uint64("missed", missed).Msg("watch left changes out; listing all entries")
		return s.listAll(ctx, false)
	}
	s.logProblems(changes.Entries)
	if !s.state.applyChanges(changes) {
		return configstore.WatchResult{Version: s.state.revision}, nil
	}
	return s.currentResult(), nil
}

func (s *Source) currentResult() configstore.WatchResult {
	return configstore.WatchResult{Configuration: s.state.configuration(), Version: s.state.revision}
}

// errChangesOmitted means that a watch omitted changes since a stale listing.
var errChangesOmitted = errors.New("the watch left changes out")

// listInitial lists all entries with stale reads, which cost the store less, because
// every VM does so at startup. It lists them again with current reads if the changes
// since the stale listing can't be had: the stale one may hold targets that have left.
func (s *Source) listInitial(ctx context.Context) (configstore.WatchResult, error) {
	result, err := s.listAll(ctx, true)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrEraEnded) || errors.Is(err, ErrTooLong) || errors.Is(err, errChangesOmitted) {
		s.logger.Info().Err(err).Msg("changes since the first listing are not known; listing all entries anew")
		return s.listAll(ctx, false)
	}
	return result, err
}

// listAll lists all entries and applies the changes since the oldest page, so that
// the result is the state at one revision.
func (s *Source) listAll(ctx context.Context, allowStale bool) (configstore.WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, oldest, err := s.listPages(ctx, allowStale)
	if err != nil {
		return configstore.WatchResult{}, err
	}
	next := newStoreState(s.state, oldest, s.logger)
	next.applyListing(entries)
	changes, err := s.store.Changes(ctx, oldest, 0)
	if err != nil {
		return configstore.WatchResult{}, err
	}
	if changes.missed(oldest) > 0 {
		if allowStale {
			return configstore.WatchResult{}, errChangesOmitted
		}
		// The next watch starts from the listing's revision and detects the gap, or
		// gets the missing changes.
		changes.Revision = oldest
	}
	next.applyChanges(changes)
	next.finishListing()
	s.logProblems(entries)
	s.logReturn(next)
	s.state = next
	return s.currentResult(), nil
}

// listPages returns the entries of all pages and the revision of the oldest page;
// stale pages may be at different revisions.
func (s *Source) listPages(ctx context.Context, allowStale bool) ([]Entry, uint64, error) {
	var entries []Entry
	oldest := uint64(math.MaxUint64)
	after := ""
	for {
		page, err := s.store.List(ctx, after, allowStale)
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

// logReturn logs that a listing is the first one of another era.
func (s *Source) logReturn(next *storeState) {
	if s.state == nil || era.Of(s.state.revision) == era.Of(next.revision) {
		return
	}
	s.logger.Info().Uint64("era_before", era.Of(s.state.revision)).Uint64("era", era.Of(next.revision)).
		Uint64("revision_before", s.state.revision).Uint64("revision", next.revision).
		Uint64("version_before", s.state.table.GetVersion()).Uint64("version", next.table.GetVersion()).
		Int("targets_before", len(s.state.registrations)).Int("targets", len(next.registrations)).
		Msg("first listing of another era of the store")
}

func (s *Source) logProblems(entries []Entry) {
	for _, entry := range entries {
		if entry.Problem != "" {
			s.logger.Warn().Str("key", entry.Key).Uint64("revision", entry.Revision).
				Str("problem", entry.Problem).Msg("store entry ignored")
		}
		if len(entry.Omitted) > 0 {
			s.logger.Warn().Str("key", entry.Key).Uint64("revision", entry.Revision).
				Strs("omitted", entry.Omitted).Msg("invalid parts of a store entry ignored")
		}
	}
}
