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
	start  = time.Unix(1000, 0)
	limits = quarantine.Limits{Capacity: 8, Lifetime: time.Minute}
	placeA = quarantine.Place{Service: "s", Target: "a"}
	placeB = quarantine.Place{Service: "s", Target: "b"}
)

const content = 42

// Targets also crash together for reasons of their own, such as a failure domain
// that drops all connections at once: however many crashes a content coincides
// with, it is suspect and no more. Only a crash while it ran alone refuses it.
func TestCoincidencesNeverQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []*quarantine.List{quarantine.New(quarantine.DefaultLimits()), quarantine.New(quarantine.DefaultLimits())}
		now := start
		for i := range rapid.IntRange(1, 40).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			place := quarantine.Place{Service: "s", Target: rapid.StringMatching("[a-h]").Draw(t, "target")}
			lists[i%2].Suspect(content, place, now)
			lists[1-i%2].Merge(lists[i%2].News(now), now)
			for _, list := range lists {
				verdict := list.Check(content, now)
				require.False(t, verdict.Quarantined)
				require.Contains(t, verdict.CrashedTargets("s"), place.Target)
				require.True(t, verdict.Suspect("s"))
				require.False(t, verdict.Suspect("other"))
				require.Empty(t, list.Quarantined(now))
			}
		}
		lists[0].SuspectAlone(content, placeB, now)
		lists[1].Merge(lists[0].News(now), now)
		for _, list := range lists {
			require.True(t, list.Check(content, now.Add(9*time.Minute)).Quarantined)
			require.Equal(t, []uint64{content}, list.Quarantined(now))
			require.Empty(t, list.Check(content+1, now))
		}
	})
}

// However many targets went down together, a crash while alone still counts.
func TestCrashWhileAloneCountsAfterManyCoincidences(t *testing.T) {
	list := quarantine.New(limits)
	for i := range 20 {
		list.Suspect(content, quarantine.Place{Service: "s", Target: fmt.Sprint(i)}, start)
	}
	list.SuspectAlone(content, quarantine.Place{Service: "s", Target: "one more"}, start)
	require.True(t, list.Check(content, start).Quarantined)
}

func TestCrashWhileAloneQuarantinesOnOneTarget(t *testing.T) {
	list := quarantine.New(limits)
	list.SuspectAlone(content, placeA, start)
	require.True(t, list.Check(content, start).Quarantined)
}

func TestSuspicionClearsAndExpires(t *testing.T) {
	list := quarantine.New(limits)
	list.Suspect(content, placeA, start)
	list.Clear(content, "other")
	require.True(t, list.Check(content, start).Suspect("s"), "success elsewhere proves nothing")
	list.Clear(content, "s")
	require.Empty(t, list.Check(content, start))
	list.Suspect(content, placeB, start)
	require.False(t, list.Check(content, start).Quarantined, "the cleared crash no longer counts")
	list.Retract(content, placeB)
	require.Empty(t, list.Check(content, start))
	list.Suspect(content, placeB, start)
	require.Empty(t, list.Check(content, start.Add(limits.Lifetime)))
	require.Empty(t, list.News(start.Add(limits.Lifetime)))
}

// A clearing that another VM made is not undone by older news of the crash.
func TestClearingWinsOverOlderNews(t *testing.T) {
	mine, theirs := quarantine.New(limits), quarantine.New(limits)
	mine.Suspect(content, placeA, start)
	old := mine.News(start)
	theirs.Merge(old, start)
	theirs.Clear(content, "s")
	mine.Merge(theirs.News(start), start)
	require.Empty(t, mine.Check(content, start))
	mine.Merge(old, start)
	require.Empty(t, mine.Check(content, start))
}

func TestCapacityForgetsWhatExpiresFirst(t *testing.T) {
	list := quarantine.New(limits)
	for i := range limits.Capacity + 3 {
		list.Suspect(uint64(i), placeA, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(12 * time.Second)
	require.Len(t, list.News(now), limits.Capacity)
	require.Empty(t, list.Check(2, now))
	require.True(t, list.Check(3, now).Suspect("s"))
}

func drawList(t *rapid.T, label string) *quarantine.List {
	list := quarantine.New(quarantine.DefaultLimits())
	for i := range rapid.IntRange(0, 6).Draw(t, label) {
		digest := rapid.Uint64Range(1, 3).Draw(t, fmt.Sprintf("%s digest %d", label, i))
		place := quarantine.Place{Service: "s", Target: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")}
		at := start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second)
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0, 1:
			list.Suspect(digest, place, at)
		case 2:
			list.SuspectAlone(digest, place, at)
		default:
			list.Clear(digest, place.Service)
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
	return &pb.HeartbeatRequest{Quarantine: list.News(now)}
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(10 * time.Second)
		a, b, c := drawList(t, "a").News(now), drawList(t, "b").News(now), drawList(t, "c").News(now)
		require.True(t, proto.Equal(merged(a, b), merged(b, a)))
		require.True(t, proto.Equal(merged(a, b), merged(a, b, a, b)))
		ab, bc := merged(a, b).Quarantine, merged(b, c).Quarantine
		require.True(t, proto.Equal(merged(ab, c), merged(a, bc)))
	})
}

func TestDesignateChoosesOneAmongThoseThatDidNotCrash(t *testing.T) {
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

// A content is not held up for good by a designated target that is down.
func TestDesignationMovesOn(t *testing.T) {
	seen := map[string]bool{}
	for age := time.Duration(0); age < 20*time.Second; age += time.Second {
		seen[quarantine.Designate(content, []string{"a", "b", "c"}, []string{"a"}, age)] = true
	}
	require.Equal(t, map[string]bool{"b": true, "c": true}, seen)
}

// vm is an owner of one target, reduced to its list.
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
	return !verdict.Suspect("s") ||
		quarantine.Designate(content, targets, verdict.CrashedTargets("s"), verdict.Age) == v.target
}

// One content that crashes every target that runs it, sent through the owners in
// any order, one attempt after the other, crashes at most two targets of each
// group of failure domains that hear each other, where news is announced before
// an attempt is answered, and none after the second crash in a group.
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
			place := quarantine.Place{Service: "s", Target: at.target}
			if at.list.Check(content, now).Suspect("s") {
				at.list.SuspectAlone(content, place, now)
			} else {
				at.list.Suspect(content, place, now)
			}
			for _, other := range vms {
				if other.group == at.group {
					other.list.Merge(at.list.News(now), now)
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

// Coincidences in one failure domain refuse nothing; those in two do for a
// minute, after which the content may be tried alone.
func TestCoincidencesInTwoFailureDomainsRefuseForAMinute(t *testing.T) {
	domainOf := func(target string) string { return target[:1] }
	now := time.Unix(1_800_000_000, 0)
	list := quarantine.New(quarantine.DefaultLimits())
	list.Suspect(7, quarantine.Place{Service: "s", Target: "a1"}, now)
	list.Suspect(7, quarantine.Place{Service: "r", Target: "a2"}, now)
	require.False(t, list.Check(7, now).Refuses(domainOf))
	list.Suspect(7, quarantine.Place{Service: "s", Target: "b1"}, now)
	require.True(t, list.Check(7, now).Refuses(domainOf))
	for _, place := range list.Check(7, now).Crashed {
		list.Suspect(8, place, now)
	}
	require.False(t, list.Check(7, now).Refuses(domainOf), "two contents, and no telling which")
	list.Clear(8, "s")
	require.True(t, list.Check(7, now).Refuses(domainOf))
	require.False(t, list.Check(7, now.Add(time.Minute)).Refuses(domainOf))
	require.True(t, list.Check(7, now.Add(time.Minute)).Suspect("s"))
}
