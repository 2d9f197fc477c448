package configstore_test

import (
	"context"
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
)

const (
	inService = pb.ServingState_SERVING_STATE_IN_SERVICE
	takenOut  = pb.ServingState_SERVING_STATE_TAKEN_OUT
)

func testConfiguration(author string, rows uint32) *pb.Configuration {
	front := func(name string, rows uint32) *pb.Front {
		return &pb.Front{
			Name:   name,
			Limits: &pb.FrontLimits{DefaultTimeLimitMs: 100, DefaultRowLimit: rows},
			Services: []*pb.Service{{Name: "s", Targets: []*pb.Target{
				{Id: name + "-a", Address: "127.0.0.1:" + name + "a", FailureDomain: "a", Slots: 2, Connections: 25, ColdLimit: 1, State: inService},
				{Id: name + "-b", Address: "127.0.0.1:" + name + "b", FailureDomain: "b", Slots: 2, Connections: 25, ColdLimit: 1, State: inService},
			}}},
		}
	}
	return &pb.Configuration{
		Author: author, Comment: fmt.Sprintf("rows %d", rows),
		FailureDomains: []*pb.FailureDomain{{Name: "a", State: inService}, {Name: "b", State: inService}},
		Fronts:         []*pb.Front{front("one", rows), front("two", 10)},
	}
}

func apply(t require.TestingT, s *configstore.Store, author string, rows uint32, expected uint64) configstore.Result {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	request := &pb.ApplyConfigurationRequest{Configuration: testConfiguration(author, rows), ExpectedRevision: expected}
	return s.Apply(context.Background(), request, nil, time.UnixMilli(1))
}

func requireStatus(t require.TestingT, status pb.ApplyStatus, result configstore.Result) {
	require.Equal(t, status.String(), result.Response.Status.String(), result.Response.Reason)
}

// firstPutFault applies f to the first put and lets all later ones succeed.
func firstPutFault(f putFault) func(string) putFault {
	used := false
	return func(string) putFault {
		if used {
			return noFault
		}
		used = true
		return f
	}
}

func TestApplyAndLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, apply(t, s, "anna", 5, 0))
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, apply(t, s, "anna", 6, 1))
		synctest.Wait()
		stored, err := s.Load(context.Background(), nil)
		require.NoError(t, err)
		require.Equal(t, uint64(2), stored.Configuration.Revision)
		require.Equal(t, uint64(2), stored.Configuration.Fronts[0].Revision)
		require.Equal(t, uint64(1), stored.Configuration.Fronts[1].Revision, "the unchanged front must not be written again")
		require.Len(t, fake.expired, 1, "the replaced front's key must be emptied")
		entries, err := s.History(context.Background(), 10)
		require.NoError(t, err)
		require.Len(t, entries, 2)
		require.Equal(t, "rows 6", entries[0].Comment)
		require.Equal(t, "- front one: time_limit_ms=100 rows=5 extra_load_percent=0", entries[0].Difference[0])
		require.Equal(t, uint64(1), entries[1].Revision)
	})
}

func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	for name, f := range map[string]putFault{"took effect": lostResponse, "did not": lostWrite, "arrives late": delayedWrite} {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeStore()
			s := configstore.New(fake)
			apply(t, s, "anna", 5, 0)
			fake.onPut = firstPutFault(f)
			result := apply(t, s, "anna", 6, 1)
			requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, result)
			fake.deliverDelayed()
			synctest.Wait()
			require.Len(t, fake.roots, 2, "%s: one write for each revision", name)
			stored, err := s.Load(context.Background(), nil)
			require.NoError(t, err)
			require.Equal(t, result.Stored.Configuration.WriteId, stored.Configuration.WriteId)
		})
	}
}

func TestLostResponseIsUnknownIfReadBackFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		fake.onPut = func(string) putFault {
			fake.down = true
			return lostResponse
		}
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_UNKNOWN, apply(t, s, "anna", 6, 1))
		synctest.Wait()
	})
}

func TestUnavailableStoreIsReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		fake.onPut = func(string) putFault { return unavailable }
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, apply(t, s, "anna", 6, 1))
		fake.down = true
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_NOT_RUN, apply(t, s, "anna", 6, 1))
		synctest.Wait()
		require.Len(t, fake.roots, 1)
	})
}

func TestConflictReportsWinnerAndDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := configstore.New(newFakeStore())
		apply(t, s, "anna", 5, 0)
		results := make([]configstore.Result, 2)
		var group sync.WaitGroup
		for i, author := range []string{"bert", "cees"} {
			group.Go(func() { results[i] = apply(t, s, author, uint32(20+i), 1) })
		}
		group.Wait()
		winner, loser := results[0], results[1]
		if winner.Response.Status != pb.ApplyStatus_APPLY_STATUS_ACCEPTED {
			winner, loser = loser, winner
		}
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, winner)
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_CONFLICT, loser)
		require.Equal(t, winner.Stored.Configuration.Author, loser.Response.Winner)
		require.Equal(t, uint64(2), loser.Response.Revision)
		require.Len(t, loser.Response.Difference, 2)
		synctest.Wait()
	})
}

// When two operators race, their fronts can have the same name and revision.
// The loser must not take its own front for the winner's, which would make the
// reported difference empty.
func TestConflictDifferenceUsesWinnersFronts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		raced := false
		fake.onPut = func(string) putFault {
			if !raced {
				raced = true
				fake.mu.Unlock()
				apply(t, s, "bert", 20, 1)
				fake.mu.Lock()
			}
			return noFault
		}
		loser := apply(t, s, "cees", 21, 1)
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_CONFLICT, loser)
		require.Equal(t, []string{
			"- front one: time_limit_ms=100 rows=20 extra_load_percent=0",
			"+ front one: time_limit_ms=100 rows=21 extra_load_percent=0",
		}, loser.Response.Difference)
		require.Equal(t, uint32(20), loser.Stored.Configuration.Fronts[0].Limits.DefaultRowLimit)
		synctest.Wait()
	})
}

// A write whose response was lost is reported as accepted even if another
// operator has already applied a further revision on top of it.
func TestLostResponseIsResolvedAfterFurtherRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		lost := false
		fake.onPut = func(string) putFault {
			if lost {
				return noFault
			}
			lost = true
			fake.down = true
			time.AfterFunc(time.Millisecond, func() {
				fake.setDown(false)
				apply(t, s, "bert", 30, 2)
			})
			return lostResponse
		}
		result := apply(t, s, "cees", 21, 1)
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, result)
		require.Equal(t, "cees", result.Stored.Configuration.Author)
		synctest.Wait()
		require.Len(t, fake.roots, 3)
	})
}

func TestUnsafeAndInvalidAreRefusedAndDryRunWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		takeOut := func(domain string, force bool) configstore.Result {
			return s.SetServingState(context.Background(), &pb.SetServingStateRequest{FailureDomain: domain, State: takenOut, Force: force, Author: "bert"}, nil, time.UnixMilli(2))
		}
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, takeOut("a", false))
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_UNSAFE, takeOut("b", false))
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_INVALID, takeOut("x", false))
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, takeOut("a", false))
		require.Len(t, fake.roots, 2, "a repeated command must write nothing")
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, takeOut("b", true))
		dry := &pb.ApplyConfigurationRequest{Configuration: testConfiguration("anna", 9), ExpectedRevision: 3, DryRun: true}
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, s.Apply(context.Background(), dry, nil, time.UnixMilli(1)))
		bad := testConfiguration("anna", 0)
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_INVALID, s.Apply(context.Background(), &pb.ApplyConfigurationRequest{Configuration: bad, ExpectedRevision: 3}, nil, time.UnixMilli(1)))
		require.Len(t, fake.roots, 3)
		synctest.Wait()
	})
}

func TestConcurrentServingCommandsAreRetriedOnOtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		raced := false
		fake.onPut = func(key string) putFault {
			if !raced && key == configstore.RootKey {
				raced = true
				other := testConfiguration("bert", 6)
				fake.mu.Unlock()
				apply(t, s, other.Author, 6, 1)
				fake.mu.Lock()
			}
			return noFault
		}
		result := s.SetServingState(context.Background(), &pb.SetServingStateRequest{Target: "one-a", State: takenOut, Author: "cees"}, nil, time.UnixMilli(2))
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, result)
		require.Equal(t, uint64(3), result.Response.Revision)
		require.Equal(t, uint32(6), result.Stored.Configuration.Fronts[0].Limits.DefaultRowLimit, "bert's revision must be kept")
		raced = false
		fake.onPut = func(key string) putFault {
			if !raced && key == configstore.RootKey {
				raced = true
				fake.mu.Unlock()
				s.SetServingState(context.Background(), &pb.SetServingStateRequest{Target: "one-a", State: inService, Author: "bert"}, nil, time.UnixMilli(2))
				fake.mu.Lock()
			}
			return noFault
		}
		result = s.SetServingState(context.Background(), &pb.SetServingStateRequest{FailureDomain: "a", State: takenOut, Author: "dirk"}, nil, time.UnixMilli(2))
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, result)
		synctest.Wait()
	})
}

// Operators race on a store that loses responses, loses writes and delays writes.
// Each revision must be written at most once, and each reported status must be
// correct.
func TestRacesWithLostResponsesAreReportedCorrectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, apply(t, s, "start", 1, 0))
		faults := rapid.SliceOfN(rapid.SampledFrom([]putFault{noFault, unavailable, lostResponse, lostWrite, delayedWrite}), 1, 12).Draw(t, "fates")
		fake.onPut = func(string) putFault {
			if len(faults) == 0 {
				return noFault
			}
			next := faults[0]
			faults = faults[1:]
			return next
		}
		operators := rapid.IntRange(2, 4).Draw(t, "operators")
		for round := range uint32(3) {
			expected := uint64(len(fake.roots))
			results := make([]configstore.Result, operators)
			var group sync.WaitGroup
			for i := range operators {
				group.Go(func() { results[i] = apply(t, s, fmt.Sprintf("%d/%d", round, i), 10+round*10+uint32(i), expected) })
			}
			group.Wait()
			fake.deliverDelayed()
			requireCorrectReports(t, fake, results, expected, round)
		}
	})
}

func requireCorrectReports(t *rapid.T, fake *fakeStore, results []configstore.Result, expected uint64, round uint32) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	authors := map[string]int{}
	for i, entry := range fake.roots {
		root := &pb.ConfigurationRoot{}
		require.NoError(t, proto.Unmarshal(entry.Value, root))
		require.Equal(t, uint64(i+1), root.Revision, "each revision must be written once")
		authors[root.Author]++
	}
	for i, result := range results {
		author := fmt.Sprintf("%d/%d", round, i)
		switch result.Response.Status {
		case pb.ApplyStatus_APPLY_STATUS_ACCEPTED:
			require.Equal(t, 1, authors[author])
			require.Equal(t, expected+1, result.Stored.Configuration.Revision)
		case pb.ApplyStatus_APPLY_STATUS_CONFLICT:
			require.Zero(t, authors[author])
			require.NotEqual(t, author, result.Response.Winner)
		case pb.ApplyStatus_APPLY_STATUS_NOT_RUN:
			require.Zero(t, authors[author])
		default:
			t.Fatalf("unexpected %v", result.Response)
		}
	}
}

func TestFrontReplacedDuringLoadIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		apply(t, s, "anna", 5, 0)
		old, err := fake.Get(context.Background(), configstore.RootKey)
		require.NoError(t, err)
		apply(t, s, "anna", 6, 1)
		synctest.Wait()
		_, err = s.Assemble(context.Background(), old, nil)
		require.Error(t, err)
		stored, err := s.Load(context.Background(), nil)
		require.NoError(t, err)
		require.Equal(t, uint64(2), stored.Configuration.Revision)
	})
}

func TestHistoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := configstore.New(fake)
		const revisions = configstore.HistoryLength + 10
		for i := range uint64(revisions) {
			requireStatus(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, apply(t, s, "anna", uint32(i%7+1), i))
			synctest.Wait()
		}
		entries, err := s.History(context.Background(), 0)
		require.NoError(t, err)
		require.Len(t, entries, configstore.HistoryLength)
		require.Equal(t, uint64(revisions), entries[0].Revision)
		require.Less(t, len(fake.entries)-len(fake.expired), configstore.HistoryLength+4, "number of keys that are not expired")
		require.Less(t, len(fake.entries[configstore.RootKey].Value), 10_000)
	})
}

var _ platformclient.Store = (*fakeStore)(nil)
