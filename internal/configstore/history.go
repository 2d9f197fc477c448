package configstore

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// HistoryLength is the maximum number of revisions kept in the history.
const HistoryLength = 256

// historyKey returns the key of a revision's entry. Keys are reused every
// HistoryLength revisions, overwriting older entries.
func historyKey(revision uint64) string {
	return fmt.Sprintf("%shistory/%d", Prefix, revision%HistoryLength)
}

// writeHistory stores the entry of the root that is about to be replaced.
// Concurrent replacements of the same root write identical entries, so their
// order does not matter.
func (s *Store) writeHistory(ctx context.Context, root *pb.ConfigurationRoot) error {
	if root == nil {
		return nil
	}
	value, err := proto.Marshal(historyEntry(root))
	if err != nil {
		return err
	}
	return s.replaceWithRetry(ctx, historyKey(root.Revision), value)
}

func historyEntry(root *pb.ConfigurationRoot) *pb.HistoryEntry {
	return &pb.HistoryEntry{
		Revision:       root.Revision,
		Author:         root.Author,
		Comment:        root.Comment,
		AcceptedUnixMs: root.AcceptedUnixMs,
		Difference:     root.Difference,
	}
}

// History returns up to limit entries, newest first; limit zero returns all that
// are kept. Entries that cannot be decoded are omitted.
func (s *Store) History(ctx context.Context, limit uint32) ([]*pb.HistoryEntry, error) {
	entry, err := s.getWithRetry(ctx, RootKey)
	if err != nil || entry.Version == 0 {
		return nil, err
	}
	root, err := parseRoot(entry.Value)
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > HistoryLength {
		limit = HistoryLength
	}
	entries := []*pb.HistoryEntry{historyEntry(root)}
	for revision := root.Revision - 1; revision > 0 && len(entries) < int(limit); revision-- {
		stored, err := s.getWithRetry(ctx, historyKey(revision))
		if err != nil {
			return nil, err
		}
		historical := &pb.HistoryEntry{}
		if proto.Unmarshal(stored.Value, historical) != nil || historical.Revision != revision {
			continue
		}
		entries = append(entries, historical)
	}
	return entries, nil
}
