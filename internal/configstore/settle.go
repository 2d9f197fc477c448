package configstore

import (
	"context"
	"slices"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platform"
)

// swapRoot writes the root by compare-and-swap.
func (s *Store) swapRoot(ctx context.Context, present Stored, next *pb.Configuration, root *pb.ConfigurationRoot, value []byte) Result {
	put, err := s.platform.Put(ctx, RootKey, value, present.Version)
	switch {
	case err == nil && put.Written:
		return accepted(Stored{Configuration: next, Version: put.Version, Root: root})
	case err == nil:
		return s.settled(ctx, present, next, root, platform.Entry{Value: put.Present, Version: put.Version})
	case hadNoEffect(err):
		return notRun(err)
	default:
		return s.settle(ctx, present, next, root, value, err)
	}
}

// settle finds out what became of a write whose answer was lost. It reads the
// root back. A root that is still the old one proves nothing, since the lost
// write may yet arrive; so the same write is sent again under the same
// compare-and-swap, of which at most one can take effect. It goes on after the
// operator gave up, so that the outcome is known here.
func (s *Store) settle(ctx context.Context, present Stored, next *pb.Configuration, root *pb.ConfigurationRoot, value []byte, cause error) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	for {
		entry, err := s.platform.Get(ctx, RootKey)
		if err == nil && entry.Version != present.Version {
			return s.settled(ctx, present, next, root, entry)
		}
		if err == nil {
			put, err := s.platform.Put(ctx, RootKey, value, present.Version)
			if err == nil && put.Written {
				return accepted(Stored{Configuration: next, Version: put.Version, Root: root})
			}
			if err == nil {
				return s.settled(ctx, present, next, root, platform.Entry{Value: put.Present, Version: put.Version})
			}
		}
		if !pause(ctx, retryDelay) {
			return unknown(next, cause)
		}
	}
}

// settled decides from the root that is in the store now. Roots name the writes
// before them, so a later revision shows whether this write was among them.
func (s *Store) settled(ctx context.Context, present Stored, next *pb.Configuration, root *pb.ConfigurationRoot, entry platform.Entry) Result {
	found, err := parseRoot(entry.Value)
	if err != nil {
		return unknown(next, err)
	}
	if found.WriteId == next.WriteId {
		return accepted(Stored{Configuration: next, Version: entry.Version, Root: root})
	}
	if slices.Contains(found.RecentWriteIds, next.WriteId) {
		return accepted(Stored{Configuration: next, Root: root})
	}
	if found.Revision > next.Revision+rememberedWrites {
		return unknown(next, platform.ErrOutcomeUnknown)
	}
	return s.lost(ctx, present.Configuration, next, entry)
}

// lost reports a write that another one came before. Only accepted fronts may
// stand for the winner's: those of next can have the same names and revisions.
func (s *Store) lost(ctx context.Context, known, next *pb.Configuration, entry platform.Entry) Result {
	present, err := s.Assemble(ctx, entry, known)
	if err != nil {
		root, _ := parseRoot(entry.Value)
		present = Stored{Configuration: &pb.Configuration{Revision: root.GetRevision(), Author: root.GetAuthor()}}
		result := conflict(present, next)
		result.Response.Difference = nil
		result.Response.Reason += "; its fronts could not be read"
		result.Stored = Stored{}
		return result
	}
	return conflict(present, next)
}

func accepted(stored Stored) Result {
	return ended(stored, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, "")
}
