package quarantine_test

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/quarantine"
)

var (
	start   = time.Unix(1000, 0)
	limits  = quarantine.Limits{Capacity: 8, Lifetime: time.Minute}
	targetA = quarantine.TargetRef{Service: "s", Target: "a"}
	targetB = quarantine.TargetRef{Service: "s", Target: "b"}
)

const content = 42

// Targets also crash together for unrelated reasons, such as a failure domain that drops all its connections
// at once. However many such crashes a content coincides with, it must only become suspect. Only a crash
// while it ran alone quarantines it.
func TestCoincidencesNeverQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []*quarantine.List{quarantine.New(quarantine.DefaultLimits()), quarantine.New(quarantine.DefaultLimits())}
		now := start
		for i := range rapid.IntRange(1, 40).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			ref := quarantine.TargetRef{Service: "s", Target: rapid.StringMatching("[a-h]").Draw(t, "target")}
			lists[i%2].RecordCrash(content, ref, now)
			lists[1-i%2].Merge(lists[i%2].Updates(now), now)
			for _, list := range lists {
				verdict := list.Check(content, now)
				require.False(t, verdict.Quarantined)
				require.Contains(t, verdict.CrashedTargets("s"), ref.Target)
				require.True(t, verdict.SuspectIn("s"))
				require.False(t, verdict.SuspectIn("other"))
				require.Empty(t, list.Quarantined(now))
			}
		}
		lists[0].RecordCrashAlone(content, targetB, now)
		lists[1].Merge(lists[0].Updates(now), now)
		for _, list := range lists {
			require.True(t, list.Check(content, now.Add(9*time.Minute)).Quarantined)
			require.Equal(t, []uint64{content}, list.Quarantined(now))
			require.Empty(t, list.Check(content+1, now))
		}
	})
}

// A crash while the content ran alone is recorded even when the limit of targets per content is reached.
func TestCrashWhileAloneCountsAfterManyCoincidences(t *testing.T) {
	list := quarantine.New(limits)
	for i := range 20 {
		list.RecordCrash(content, quarantine.TargetRef{Service: "s", Target: fmt.Sprint(i)}, start)
	}
	list.RecordCrashAlone(content, quarantine.TargetRef{Service: "s", Target: "one more"}, start)
	require.True(t, list.Check(content, start).Quarantined)
}

func TestCrashWhileAloneQuarantinesOnOneTarget(t *testing.T) {
	list := quarantine.New(limits)
	list.RecordCrashAlone(content, targetA, start)
	require.True(t, list.Check(content, start).Quarantined)
}

func TestSuspicionClearsAndExpires(t *testing.T) {
	list := quarantine.New(limits)
	list.RecordCrash(content, targetA, start)
	list.Clear(content, "other")
	require.True(t, list.Check(content, start).SuspectIn("s"), "a success in another service clears nothing")
	list.Clear(content, "s")
	require.Empty(t, list.Check(content, start))
	list.RecordCrash(content, targetB, start)
	require.False(t, list.Check(content, start).Quarantined, "the cleared crash no longer counts")
	list.Retract(content, targetB)
	require.Empty(t, list.Check(content, start))
	list.RecordCrash(content, targetB, start)
	require.Empty(t, list.Check(content, start.Add(limits.Lifetime)))
	require.Empty(t, list.Updates(start.Add(limits.Lifetime)))
}

// A suspicion that another VM cleared must not be restored by merging older entries.
func TestClearedSuspicionIsNotRestoredByOlderEntries(t *testing.T) {
	local, remote := quarantine.New(limits), quarantine.New(limits)
	local.RecordCrash(content, targetA, start)
	old := local.Updates(start)
	remote.Merge(old, start)
	remote.Clear(content, "s")
	local.Merge(remote.Updates(start), start)
	require.Empty(t, local.Check(content, start))
	local.Merge(old, start)
	require.Empty(t, local.Check(content, start))
}

func TestFullListEvictsTheContentThatExpiresFirst(t *testing.T) {
	list := quarantine.New(limits)
	for i := range limits.Capacity + 3 {
		list.RecordCrash(uint64(i), targetA, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(12 * time.Second)
	require.Len(t, list.Updates(now), limits.Capacity)
	require.Empty(t, list.Check(2, now))
	require.True(t, list.Check(3, now).SuspectIn("s"))
}

func drawList(t *rapid.T, label string) *quarantine.List {
	list := quarantine.New(quarantine.DefaultLimits())
	for i := range rapid.IntRange(0, 6).Draw(t, label) {
		digest := rapid.Uint64Range(1, 3).Draw(t, fmt.Sprintf("%s digest %d", label, i))
		ref := quarantine.TargetRef{Service: "s", Target: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")}
		at := start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second)
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0, 1:
			list.RecordCrash(digest, ref, at)
		case 2:
			list.RecordCrashAlone(digest, ref, at)
		default:
			list.Clear(digest, ref.Service)
		}
	}
	return list
}

func merged(lists ...[]*pb.QuarantineEntry) *pb.HeartbeatRequest {
	list := quarantine.New(quarantine.DefaultLimits())
	now := start.Add(10 * time.Second)
	for _, entries := range lists {
		list.Merge(entries, now)
	}
	return &pb.HeartbeatRequest{Quarantine: list.Updates(now)}
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(10 * time.Second)
		a, b, c := drawList(t, "a").Updates(now), drawList(t, "b").Updates(now), drawList(t, "c").Updates(now)
		require.True(t, proto.Equal(merged(a, b), merged(b, a)))
		require.True(t, proto.Equal(merged(a, b), merged(a, b, a, b)))
		ab, bc := merged(a, b).Quarantine, merged(b, c).Quarantine
		require.True(t, proto.Equal(merged(ab, c), merged(a, bc)))
	})
}

func TestDesignatePrefersTargetsThatDidNotCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digest := rapid.Uint64().Draw(t, "digest")
		all := []string{"a", "b", "c"}
		crashed := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "crashed")
		shuffled := rapid.Permutation(all).Draw(t, "order")
		age := time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second
		chosen := quarantine.Designate(digest, all, crashed, age)
		require.Equal(t, chosen, quarantine.Designate(digest, shuffled, crashed, age))
		require.Contains(t, all, chosen)
		if len(crashed) < len(all) {
			require.NotContains(t, crashed, chosen)
		}
	})
	require.Empty(t, quarantine.Designate(content, nil, nil, 0))
}

// Designation rotates, so that a designated target that is down does not block a content indefinitely.
func TestDesignationRotates(t *testing.T) {
	seen := map[string]bool{}
	for age := time.Duration(0); age < 20*time.Second; age += time.Second {
		seen[quarantine.Designate(content, []string{"a", "b", "c"}, []string{"a"}, age)] = true
	}
	require.Equal(t, map[string]bool{"b": true, "c": true}, seen)
}

// vm models a VM that owns one target.
type vm struct {
	list   *quarantine.List
	target string
	group  int
}

func (v *vm) admits(targets []string, now time.Time) bool {
	verdict := v.list.Check(content, now)
	if verdict.Quarantined {
		return false
	}
	return !verdict.SuspectIn("s") ||
		quarantine.Designate(content, targets, verdict.CrashedTargets("s"), verdict.SinceLastCrash) == v.target
}

// A content that crashes every target running it is sent sequentially through the owners in any order, and
// entries are exchanged before each attempt completes. It must crash at most two targets in each group of
// connected VMs, and none after the second crash in a group.
func TestPoisonCrashesAtMostTwoTargetsInEachConnectedGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		vms, targets := make([]*vm, 0, n), make([]string, 0, n)
		for i := range n {
			target := fmt.Sprintf("t%d", i)
			targets = append(targets, target)
			vms = append(vms, &vm{quarantine.New(limits), target, rapid.IntRange(0, 1).Draw(t, "group")})
		}
		crashes := map[int]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "attempts") {
			now := start.Add(time.Duration(i) * time.Second)
			at := rapid.SampledFrom(vms).Draw(t, "vm")
			if !at.admits(targets, now) {
				continue
			}
			crashes[at.group]++
			ref := quarantine.TargetRef{Service: "s", Target: at.target}
			if at.list.Check(content, now).SuspectIn("s") {
				at.list.RecordCrashAlone(content, ref, now)
			} else {
				at.list.RecordCrash(content, ref, now)
			}
			for _, other := range vms {
				if other.group == at.group {
					other.list.Merge(at.list.Updates(now), now)
				}
			}
		}
		for group, n := range crashes {
			if n > 2 {
				t.Fatalf("%d crashes in group %d", n, group)
			}
		}
	})
}

// A content that coincided with crashes in one failure domain is not refused. With crashes in two, it is
// refused for a minute, after which it may run alone again.
func TestCoincidencesInTwoFailureDomainsRefuseForAMinute(t *testing.T) {
	domainOf := func(target string) string { return target[:1] }
	now := time.Unix(1_800_000_000, 0)
	list := quarantine.New(quarantine.DefaultLimits())
	list.RecordCrash(7, quarantine.TargetRef{Service: "s", Target: "a1"}, now)
	list.RecordCrash(7, quarantine.TargetRef{Service: "r", Target: "a2"}, now)
	require.False(t, list.Check(7, now).Refuses(domainOf))
	list.RecordCrash(7, quarantine.TargetRef{Service: "s", Target: "b1"}, now)
	require.True(t, list.Check(7, now).Refuses(domainOf))
	for _, ref := range list.Check(7, now).Crashed {
		list.RecordCrash(8, ref, now)
	}
	require.False(t, list.Check(7, now).Refuses(domainOf), "two contents explain the crashes")
	list.Clear(8, "s")
	require.True(t, list.Check(7, now).Refuses(domainOf))
	require.False(t, list.Check(7, now.Add(time.Minute)).Refuses(domainOf))
	require.True(t, list.Check(7, now.Add(time.Minute)).SuspectIn("s"))
}
