package configstore

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
)

const (
	// resolveTimeout is the time limit for reading back the outcome of a write whose
	// response was lost.
	resolveTimeout = 10 * time.Second
	// cleanUpTimeout is the time limit for emptying unreferenced keys.
	cleanUpTimeout = 5 * time.Second
	// maxRecentWriteIDs is the maximum number of earlier write IDs in a root.
	maxRecentWriteIDs = 64
	// maxDifferenceLines and maxLineBytes limit the difference stored in a root.
	maxDifferenceLines = 40
	maxLineBytes       = 200
)

// Result is the outcome of a configuration command.
type Result struct {
	Response *pb.ApplyConfigurationResponse
	// Stored is the configuration in the store as far as it is known.
	Stored Stored
}

// Apply replaces the configuration if the store holds the expected revision.
// It takes fronts from cached if their revision is unchanged, instead of reading
// them; cached may be nil.
func (s *Store) Apply(ctx context.Context, request *pb.ApplyConfigurationRequest, cached *pb.Configuration, now time.Time) Result {
	present, err := s.Load(ctx, cached)
	if err != nil {
		return notRunResult(err)
	}
	return s.applyTo(ctx, present, request, now)
}

// applyTo replaces the present configuration with the requested one if the present
// one has the expected revision and the requested one is valid and, unless the request
// sets Force, safe. A dry run makes the same checks but writes nothing.
func (s *Store) applyTo(ctx context.Context, present Stored, request *pb.ApplyConfigurationRequest, now time.Time) Result {
	requested := request.GetConfiguration()
	if present.Configuration.GetRevision() != request.GetExpectedRevision() {
		return conflictResult(present, requested)
	}
	next := configuration.Stamp(present.Configuration, requested, request.GetExpectedRevision()+1)
	next.AcceptedUnixMs = now.UnixMilli()
	next.WriteId = rand.Text()
	if err := configuration.Check(next); err != nil {
		return newResult(present, pb.ApplyStatus_APPLY_STATUS_INVALID, err.Error())
	}
	reasons := configuration.SafetyViolations(present.Configuration, next)
	if len(reasons) > 0 && !request.GetForce() {
		return newResult(present, pb.ApplyStatus_APPLY_STATUS_UNSAFE, fmt.Sprintf("%s; force it to accept that", strings.Join(reasons, "; ")))
	}
	if request.GetDryRun() {
		result := newResult(present, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, "only checked; nothing was written")
		result.Response.Difference = configuration.Difference(present.Configuration, next)
		return result
	}
	return s.write(ctx, present, next)
}

// write stores the changed fronts, the history entry of the present revision and
// finally the root. Writing the root commits the new revision.
func (s *Store) write(ctx context.Context, present Stored, next *pb.Configuration) Result {
	keys, written, err := s.writeFronts(ctx, present, next)
	if err == nil {
		err = s.writeHistory(ctx, present.Root)
	}
	if err != nil {
		s.expireKeys(ctx, written)
		return notRunResult(err)
	}
	root := nextRoot(present, next, keys)
	value, err := proto.Marshal(root)
	if err != nil || len(value) > configuration.MaxValueBytes {
		s.expireKeys(ctx, written)
		return newResult(present, pb.ApplyStatus_APPLY_STATUS_INVALID, "the configuration's root is too large for the store")
	}
	result := s.swapRoot(ctx, present, next, root, value)
	s.cleanUpKeys(ctx, result.Response.Status, present, keys, written)
	return result
}

// cleanUpKeys empties the front keys that are unreferenced after a write with the
// given status. It empties none if the outcome is unknown, since the root may refer
// to the old keys or to the new ones.
func (s *Store) cleanUpKeys(ctx context.Context, status pb.ApplyStatus, present Stored, keys configuration.Keys, written []string) {
	switch status {
	case pb.ApplyStatus_APPLY_STATUS_ACCEPTED:
		s.expireKeys(ctx, replacedKeys(present.Root, keys))
	case pb.ApplyStatus_APPLY_STATUS_CONFLICT, pb.ApplyStatus_APPLY_STATUS_NOT_RUN:
		s.expireKeys(ctx, written)
	}
}

// nextRoot returns the root to store for a configuration.
func nextRoot(present Stored, next *pb.Configuration, keys configuration.Keys) *pb.ConfigurationRoot {
	root := configuration.Root(next, keys)
	root.Difference = truncateDifference(configuration.Difference(present.Configuration, next))
	if present.Root != nil {
		root.RecentWriteIds = append([]string{present.Root.WriteId}, present.Root.RecentWriteIds...)
	}
	if len(root.RecentWriteIds) > maxRecentWriteIDs {
		root.RecentWriteIds = root.RecentWriteIds[:maxRecentWriteIDs]
	}
	return root
}

// writeFronts stores the fronts that changed. It returns the keys of all fronts
// and the list of keys written; the latter also on error, for cleanup.
func (s *Store) writeFronts(ctx context.Context, present Stored, next *pb.Configuration) (configuration.Keys, []string, error) {
	keys := configuration.Keys{}
	revisions := map[string]uint64{}
	for _, reference := range present.Root.GetFronts() {
		keys[reference.Name] = reference.Key
		revisions[reference.Name] = reference.Revision
	}
	var written []string
	for _, front := range next.Fronts {
		if revisions[front.Name] == front.Revision {
			continue
		}
		key := Prefix + "front/" + front.Name + "/" + next.WriteId
		value, err := proto.Marshal(front)
		if err != nil {
			return nil, written, errors.Wrap(err, "encoding front "+front.Name)
		}
		written = append(written, key)
		if err := s.replaceWithRetry(ctx, key, value); err != nil {
			return nil, written, err
		}
		keys[front.Name] = key
	}
	return keys, written, nil
}

// replaceWithRetry writes a value unconditionally, making up to maxAttempts
// attempts. The write must be idempotent.
func (s *Store) replaceWithRetry(ctx context.Context, key string, value []byte) error {
	for attempt := 1; ; attempt++ {
		err := s.platform.Replace(ctx, key, value)
		if err == nil || attempt == maxAttempts || !sleep(ctx, retryDelay) {
			return err
		}
	}
}

// replacedKeys returns the front keys that the present root refers to and the next
// one does not.
func replacedKeys(present *pb.ConfigurationRoot, next configuration.Keys) []string {
	kept := map[string]bool{}
	for _, key := range next {
		kept[key] = true
	}
	var replaced []string
	for _, reference := range present.GetFronts() {
		if !kept[reference.Key] {
			replaced = append(replaced, reference.Key)
		}
	}
	return replaced
}

// expireKeys empties keys that no root refers to and lets them expire. It does so in
// the background and stops at the first error; keys left in the store are harmless.
func (s *Store) expireKeys(ctx context.Context, keys []string) {
	if len(keys) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanUpTimeout)
	go func() {
		defer cancel()
		for _, key := range keys {
			if s.platform.Expire(ctx, key, emptiedKeyTTL) != nil {
				return
			}
		}
	}()
}

// truncateDifference limits a difference to maxDifferenceLines lines of
// maxLineBytes bytes each.
func truncateDifference(difference []string) []string {
	truncated := make([]string, 0, min(len(difference), maxDifferenceLines+1))
	for i, line := range difference {
		if i == maxDifferenceLines {
			return append(truncated, fmt.Sprintf("and %d more lines", len(difference)-i))
		}
		if len(line) > maxLineBytes {
			line = line[:maxLineBytes] + "..."
		}
		truncated = append(truncated, line)
	}
	return truncated
}

func notRunResult(err error) Result {
	reason := fmt.Sprintf("nothing was accepted: %v", err)
	return newResult(Stored{}, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, reason)
}

func newResult(present Stored, status pb.ApplyStatus, reason string) Result {
	return Result{
		Response: &pb.ApplyConfigurationResponse{
			Status:   status,
			Revision: present.Configuration.GetRevision(),
			Reason:   reason,
		},
		Stored: present,
	}
}

// conflictResult names the author of the stored configuration and its difference
// from the requested one.
func conflictResult(present Stored, requested *pb.Configuration) Result {
	stored := present.Configuration
	result := newResult(present, pb.ApplyStatus_APPLY_STATUS_CONFLICT,
		fmt.Sprintf("the store holds revision %d by %q; nothing was written", stored.GetRevision(), stored.GetAuthor()))
	result.Response.Winner = stored.GetAuthor()
	result.Response.Difference = configuration.Difference(stored, requested)
	return result
}

func unknownResult(next *pb.Configuration, err error) Result {
	reason := fmt.Sprintf("the answer to write %s of revision %d was lost and could not be read back: %v", next.WriteId, next.Revision, err)
	return newResult(Stored{}, pb.ApplyStatus_APPLY_STATUS_UNKNOWN, reason)
}

// hadNoEffect reports whether the error guarantees that the write had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platformclient.ErrUnavailable) || errors.Is(err, platformclient.ErrRateLimited)
}
