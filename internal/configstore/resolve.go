package configstore

import (
	"context"
	"slices"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
)

// swapRoot writes the root with a compare-and-swap on its store version.
func (s *Store) swapRoot(ctx context.Context, present Stored, next *pb.Configuration, root *pb.ConfigurationRoot, value []byte) Result {
	put, err := s.platform.Put(ctx, RootKey, value, present.Version)
	switch {
	case err == nil && put.Written:
		return acceptedResult(Stored{Configuration: next, Version: put.Version, Root: root})
	case err == nil:
		return s.resolveFromRoot(ctx, present, next, root, platformclient.Entry{Value: put.Current, Version: put.Version})
	case hadNoEffect(err):
		return notRunResult(err)
	default:
		return s.resolveWrite(ctx, present, next, root, value, err)
	}
}

// resolveWrite determines the outcome of a write whose response was lost by
// reading the root back. An unchanged root is not conclusive, since the lost
// write may still arrive, so resolveWrite retries it with the same
// compare-and-swap, of which at most one can take effect. It ignores the
// cancellation of ctx so that the outcome is known here even if the operator has
// given up; resolveTimeout bounds it.
func (s *Store) resolveWrite(ctx context.Context, present Stored, next *pb.Configuration, root *pb.ConfigurationRoot, value []byte, cause error) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	for {
		entry, err := s.platform.Get(ctx, RootKey)
		if err == nil && entry.Version != present.Version {
			return s.resolveFromRoot(ctx, present, next, root, entry)
		}
		if err == nil {
			put, err := s.platform.Put(ctx, RootKey, value, present.Version)
			if err == nil && put.Written {
				return acceptedResult(Stored{Configuration: next, Version: put.Version, Root: root})
			}
			if err == nil {
				return s.resolveFromRoot(ctx, present, next, root, platformclient.Entry{Value: put.Current, Version: put.Version})
			}
		}
		if !sleep(ctx, retryDelay) {
			return unknownResult(next, cause)
		}
	}
}

// resolveFromRoot derives the write's outcome from the root now in the store.
// Each root lists the IDs of recent earlier writes, so a later revision shows
// whether this write took effect.
func (s *Store) resolveFromRoot(ctx context.Context, present Stored, next *pb.Configuration, root *pb.ConfigurationRoot, entry platformclient.Entry) Result {
	stored, err := parseRoot(entry.Value)
	if err != nil {
		return unknownResult(next, err)
	}
	if stored.WriteId == next.WriteId {
		return acceptedResult(Stored{Configuration: next, Version: entry.Version, Root: root})
	}
	if slices.Contains(stored.RecentWriteIds, next.WriteId) {
		return acceptedResult(Stored{Configuration: next, Root: root})
	}
	if stored.Revision > next.Revision+maxRecentWriteIDs {
		return unknownResult(next, platformclient.ErrOutcomeUnknown)
	}
	return s.winnerConflict(ctx, present.Configuration, next, entry)
}

// winnerConflict returns a conflict for a write that lost the race to another one. It
// assembles the winner's configuration from the store and from cached, an accepted
// configuration. It never uses the fronts of next, which can have the same names and
// revisions as the winner's but different content.
func (s *Store) winnerConflict(ctx context.Context, cached, next *pb.Configuration, entry platformclient.Entry) Result {
	present, err := s.Assemble(ctx, entry, cached)
	if err != nil {
		root, _ := parseRoot(entry.Value)
		present = Stored{Configuration: &pb.Configuration{Revision: root.GetRevision(), Author: root.GetAuthor()}}
		result := conflictResult(present, next)
		result.Response.Difference = nil
		result.Response.Reason += "; its fronts could not be read"
		result.Stored = Stored{}
		return result
	}
	return conflictResult(present, next)
}

func acceptedResult(stored Stored) Result {
	return newResult(stored, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, "")
}
