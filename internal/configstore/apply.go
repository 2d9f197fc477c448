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
	"github.com/carawayreel/carawayreel/internal/platform"
)

const (
	// settleTimeout bounds the settling of a write whose answer was lost.
	settleTimeout = 10 * time.Second
	// cleanTimeout bounds the emptying of old keys.
	cleanTimeout = 5 * time.Second
	// rememberedWrites is the number of earlier writes that a root names.
	rememberedWrites = 64
	// maxDifferenceLines and maxLineBytes bound the difference that is stored.
	maxDifferenceLines = 40
	maxLineBytes       = 200
)

// Result is what became of a configuration command.
type Result struct {
	Response *pb.ApplyConfigurationResponse
	// Stored is what the store holds now, as far as it is known.
	Stored Stored
}

// Apply replaces the configuration if the store holds the expected revision.
// Known spares the reading of fronts and may be nil.
func (s *Store) Apply(ctx context.Context, request *pb.ApplyConfigurationRequest, known *pb.Configuration, now time.Time) Result {
	present, err := s.Load(ctx, known)
	if err != nil {
		return notRun(err)
	}
	return s.applyTo(ctx, present, request, now)
}

// applyTo replaces the present configuration.
func (s *Store) applyTo(ctx context.Context, present Stored, request *pb.ApplyConfigurationRequest, now time.Time) Result {
	wanted := request.GetConfiguration()
	if present.Configuration.GetRevision() != request.GetExpectedRevision() {
		return conflict(present, wanted)
	}
	next := configuration.Stamp(present.Configuration, wanted, request.GetExpectedRevision()+1)
	next.AcceptedUnixMs = now.UnixMilli()
	next.WriteId = rand.Text()
	if err := configuration.Check(next); err != nil {
		return ended(present, pb.ApplyStatus_APPLY_STATUS_INVALID, err.Error())
	}
	reasons := configuration.SafetyViolations(present.Configuration, next)
	if len(reasons) > 0 && !request.GetForce() {
		return ended(present, pb.ApplyStatus_APPLY_STATUS_UNSAFE, fmt.Sprintf("%s; force it to accept that", strings.Join(reasons, "; ")))
	}
	if request.GetDryRun() {
		result := ended(present, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, "only checked; nothing was written")
		result.Response.Difference = configuration.Difference(present.Configuration, next)
		return result
	}
	return s.write(ctx, present, next)
}

// write stores the fronts, the present revision's entry of the history, and
// then the root, which makes the new revision the accepted one.
func (s *Store) write(ctx context.Context, present Stored, next *pb.Configuration) Result {
	keys, written, err := s.writeFronts(ctx, present, next)
	if err == nil {
		err = s.writeHistory(ctx, present.Root)
	}
	if err != nil {
		s.clean(ctx, written)
		return notRun(err)
	}
	root := nextRoot(present, next, keys)
	value, err := proto.Marshal(root)
	if err != nil || len(value) > configuration.MaxValueBytes {
		s.clean(ctx, written)
		return ended(present, pb.ApplyStatus_APPLY_STATUS_INVALID, "the configuration's root is too large for the store")
	}
	result := s.swapRoot(ctx, present, next, root, value)
	s.cleanAfter(ctx, result.Response.Status, present, keys, written)
	return result
}

func (s *Store) cleanAfter(ctx context.Context, status pb.ApplyStatus, present Stored, keys configuration.Keys, written []string) {
	switch status {
	case pb.ApplyStatus_APPLY_STATUS_ACCEPTED:
		s.clean(ctx, replacedKeys(present.Root, keys))
	case pb.ApplyStatus_APPLY_STATUS_CONFLICT, pb.ApplyStatus_APPLY_STATUS_NOT_RUN:
		s.clean(ctx, written)
	}
}

// nextRoot returns the root that is stored for a configuration.
func nextRoot(present Stored, next *pb.Configuration, keys configuration.Keys) *pb.ConfigurationRoot {
	root := configuration.Root(next, keys)
	root.Difference = shorten(configuration.Difference(present.Configuration, next))
	if present.Root != nil {
		root.RecentWriteIds = append([]string{present.Root.WriteId}, present.Root.RecentWriteIds...)
	}
	if len(root.RecentWriteIds) > rememberedWrites {
		root.RecentWriteIds = root.RecentWriteIds[:rememberedWrites]
	}
	return root
}

// writeFronts stores the fronts that changed and returns the keys of all, and
// the keys that it wrote.
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
		if err := s.replace(ctx, key, value); err != nil {
			return nil, written, err
		}
		keys[front.Name] = key
	}
	return keys, written, nil
}

// replace writes a value that may be written again.
func (s *Store) replace(ctx context.Context, key string, value []byte) error {
	for try := 1; ; try++ {
		err := s.platform.Replace(ctx, key, value)
		if err == nil || try == readTries || !pause(ctx, retryDelay) {
			return err
		}
	}
}

// replacedKeys returns the keys that the present root names and the next one
// does not.
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

// clean empties keys that no root refers to, in the background: what it fails to
// empty stays in the store and does no harm.
func (s *Store) clean(ctx context.Context, keys []string) {
	if len(keys) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanTimeout)
	go func() {
		defer cancel()
		for _, key := range keys {
			if s.platform.Expire(ctx, key, expireAfter) != nil {
				return
			}
		}
	}()
}

// shorten bounds a difference to what a root carries.
func shorten(difference []string) []string {
	shortened := make([]string, 0, min(len(difference), maxDifferenceLines+1))
	for i, line := range difference {
		if i == maxDifferenceLines {
			return append(shortened, fmt.Sprintf("and %d more lines", len(difference)-i))
		}
		if len(line) > maxLineBytes {
			line = line[:maxLineBytes] + "..."
		}
		shortened = append(shortened, line)
	}
	return shortened
}

func notRun(err error) Result {
	reason := fmt.Sprintf("nothing was accepted: %v", err)
	return ended(Stored{}, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, reason)
}

func ended(present Stored, status pb.ApplyStatus, reason string) Result {
	return Result{
		Response: &pb.ApplyConfigurationResponse{
			Status:   status,
			Revision: present.Configuration.GetRevision(),
			Reason:   reason,
		},
		Stored: present,
	}
}

// conflict reports who won and how the winner's configuration differs from the
// wanted one.
func conflict(present Stored, wanted *pb.Configuration) Result {
	won := present.Configuration
	result := ended(present, pb.ApplyStatus_APPLY_STATUS_CONFLICT,
		fmt.Sprintf("the store holds revision %d by %q; nothing was written", won.GetRevision(), won.GetAuthor()))
	result.Response.Winner = won.GetAuthor()
	result.Response.Difference = configuration.Difference(won, wanted)
	return result
}

func unknown(next *pb.Configuration, err error) Result {
	reason := fmt.Sprintf("the answer to write %s of revision %d was lost and could not be read back: %v", next.WriteId, next.Revision, err)
	return ended(Stored{}, pb.ApplyStatus_APPLY_STATUS_UNKNOWN, reason)
}

// hadNoEffect reports whether the write certainly had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}
