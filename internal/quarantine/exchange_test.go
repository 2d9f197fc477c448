package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
)

// heartbeatBytes is a quarter of the messages that VMs accept from one another by default; a
// heartbeat carries other lists, too.
const heartbeatBytes = 256 << 10

// Guards against heartbeats that other VMs refuse for their size, so that they take the sender for
// dead: after crashes with many contents, callers decide how long the list is.
func TestFullListFitsIntoHeartbeats(t *testing.T) {
	const targets = 2
	list, other := quarantine.New(quarantine.DefaultLimits()), quarantine.New(quarantine.DefaultLimits())
	now := start
	for digest := range uint64(quarantine.DefaultCapacity) {
		for i := range targets {
			list.RecordCrash(digest+1, quarantine.TargetRef{Service: fmt.Sprintf("service-%02d", i), Target: fmt.Sprintf("i-%08d", digest)}, now)
		}
	}
	const messages = 40
	for range messages {
		update := list.Updates(now)
		require.Less(t, proto.Size(&pb.HeartbeatRequest{Quarantine: update}), heartbeatBytes)
		other.Merge(update, now)
	}
	for digest := range uint64(quarantine.DefaultCapacity) {
		require.Equal(t, targets, other.Check(digest+1, now).Crashes, "content %d arrives within %d messages", digest+1, messages)
	}
}

// Guards against news that wait for their turn behind thousands of older entries.
func TestLatestChangesAreInTheNextHeartbeat(t *testing.T) {
	list, other := quarantine.New(quarantine.DefaultLimits()), quarantine.New(quarantine.DefaultLimits())
	now := start
	for digest := range uint64(quarantine.DefaultCapacity - 1) {
		list.RecordCrash(digest+1, quarantine.TargetRef{Service: "service", Target: fmt.Sprintf("i-%08d", digest)}, now)
	}
	list.Updates(now)
	now = now.Add(time.Second)
	const fresh = 1 << 40
	list.RecordCrash(fresh, targetA, now)
	other.Merge(list.Updates(now), now)
	require.Equal(t, 1, other.Check(fresh, now).Crashes)
	now = now.Add(time.Second)
	list.ClearAll(fresh)
	other.Merge(list.Updates(now), now)
	require.Zero(t, other.Check(fresh, now).Crashes, "the clearing is news, too")
}
