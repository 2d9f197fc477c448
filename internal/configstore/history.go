package configstore

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// HistoryLength is the number of revisions that the history keeps.
const HistoryLength = 256

// historyKey returns the key of a revision's entry; older entries under the
// same key are written over.
func historyKey(revision uint64) string {
	return fmt.Sprintf("%shistory/%d", Prefix, revision%HistoryLength)
}

// writeHistory stores the entry of the root that is about to be replaced. All
// who replace the same root write the same entry, so that their order does not
// matter.
func (s *Store) writeHistory(ctx context.Context, root *pb.ConfigurationRoot) error {
	if root == nil {
		return nil
	}
	value, err := proto.Marshal(historyEntry(root))
	if err != nil {
		return err
	}
	return s.replace(ctx, historyKey(root.Revision), value)
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

// History returns the newest entries, newest first, at most limit of them; zero
// is all that are kept. A revision whose entry cannot be read is left out.
func (s *Store) History(ctx context.Context, limit uint32) ([]*pb.HistoryEntry, error) {
	entry, err := s.get(ctx, RootKey)
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
		stored, err := s.get(ctx, historyKey(revision))
		if err != nil {
			return nil, err
		}
		found := &pb.HistoryEntry{}
		if proto.Unmarshal(stored.Value, found) != nil || found.Revision != revision {
			continue
		}
		entries = append(entries, found)
	}
	return entries, nil
}
