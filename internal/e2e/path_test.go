// Package e2e holds end-to-end tests that run the whole system as processes.
package e2e_test

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const timeLimitMs = 5000

func start(t *testing.T, options testkit.Options) *testkit.Deployment {
	t.Helper()
	options.Dir = testDir(t)
	if options.Seed == 0 {
		options.Seed = 1
	}
	d, err := testkit.Start(t.Context(), options)
	t.Cleanup(d.Close)
	require.NoError(t, err)
	return d
}

func search(t *testing.T, vm *testkit.VM, front string, conditions ...*pb.Condition) *pb.SearchResponse {
	t.Helper()
	response, err := vm.Caller.Search(t.Context(), connect.NewRequest(&pb.SearchRequest{
		Front: front, Conditions: conditions, TimeLimitMs: timeLimitMs, RowLimit: 10000,
	}))
	require.NoError(t, err)
	return response.Msg
}

func prefix(field, value string) *pb.Condition {
	return &pb.Condition{Field: field, Operator: pb.Operator_OPERATOR_PREFIX, Value: value}
}

func ids(rows []*pb.Row) []string {
	found := make([]string, 0, len(rows))
	for _, row := range rows {
		found = append(found, row.RecordId)
	}
	sort.Strings(found)
	return found
}

// requireSeededRows requires that the rows of an answer equal the matches in the
// seeded data of the partitions that the answer reports as covered.
func requireSeededRows(t *testing.T, d *testkit.Deployment, front string, answer *pb.SearchResponse, conditions ...*pb.Condition) {
	t.Helper()
	covered := coveredSnapshot(d.Profile.Snapshot(front, answer.Snapshot), answer.Coverage)
	require.EqualValues(t, countPartitions(covered), answer.Coverage.Covered)
	require.Equal(t, ids(d.Profile.Search(front, covered, conditions)), ids(answer.Rows))
	for _, row := range answer.Rows {
		require.Equal(t, answer.Snapshot, row.Snapshot)
	}
}

func coveredSnapshot(full *pb.Snapshot, coverage *pb.Coverage) *pb.Snapshot {
	missing := map[string]bool{}
	for _, partition := range coverage.Missing {
		missing[partition.Service+"/"+partition.Partition] = true
	}
	covered := &pb.Snapshot{Version: full.Version}
	for _, service := range full.Services {
		kept := &pb.ServicePartitions{Service: service.Service}
		for _, partition := range service.Partitions {
			if !missing[service.Service+"/"+partition] {
				kept.Partitions = append(kept.Partitions, partition)
			}
		}
		covered.Services = append(covered.Services, kept)
	}
	return covered
}

func countPartitions(snapshot *pb.Snapshot) int {
	count := 0
	for _, service := range snapshot.Services {
		count += len(service.Partitions)
	}
	return count
}

// The rows and coverage of a search match the seeded data with all targets up,
// with one replica down and with a whole service down.
func TestSearchRowsMatchReportedCoverage(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	ctx := t.Context()
	condition := prefix("name", "")
	for _, vm := range d.VMs {
		answer := search(t, vm, "archive", condition)
		require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome, answer.String())
		require.NotEmpty(t, answer.Rows)
		requireSeededRows(t, d, "archive", answer, condition)
	}
	service := d.Profile.Configuration().Fronts[0].Services[1]
	crash := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: uint32(time.Hour.Milliseconds())}
	require.NoError(t, d.Fault(ctx, &standinv1.Selector{Targets: []string{service.Targets[0].Id}}, crash))
	answer := search(t, d.VMs[0], "archive", condition)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, answer.Outcome, answer.String())
	requireSeededRows(t, d, "archive", answer, condition)

	require.NoError(t, d.Fault(ctx, &standinv1.Selector{Service: service.Name, Front: "archive"}, crash))
	awaitServiceLoss(t, d)
	answer = search(t, d.VMs[0], "archive", condition)
	require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, answer.Outcome, answer.String())
	require.Len(t, answer.Coverage.Missing, countPartitions(d.Profile.Snapshot("archive", answer.Snapshot))/4)
	for _, missing := range answer.Coverage.Missing {
		require.Equal(t, service.Name, missing.Service)
	}
	requireSeededRows(t, d, "archive", answer, condition)
}

// awaitServiceLoss waits until a VM leaves a lost service out. A search that is dispatched
// before the VM has noticed the loss may be refused everywhere: it was running alone when
// its target crashed. Each search therefore has content of its own.
func awaitServiceLoss(t *testing.T, d *testkit.Deployment) {
	t.Helper()
	attempt := 0
	require.NoError(t, testkit.Poll(t.Context(), 5*time.Second, func() bool {
		attempt++
		answer := search(t, d.VMs[0], "archive", prefix("name", fmt.Sprintf("attempt-%d", attempt)))
		return answer.Outcome == pb.Outcome_OUTCOME_PARTIAL
	}))
}

// An edit and a transfer each run once, even if resubmitted to another VM.
func TestChangesRunOnce(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1})
	ctx := t.Context()
	changes := []*pb.Change{
		{Front: "archive", Kind: &pb.Change_Edit{Edit: &pb.RecordEdit{
			RecordId: profile.RecordID(d.Profile.Configuration().Fronts[0].Services[0].Name, 1),
			Fields:   []*pb.Field{{Name: "remark", Value: "checked"}},
		}}},
		transfer(t, d, 1),
	}
	for _, change := range changes {
		token, err := d.VMs[0].Caller.IssueToken(ctx, connect.NewRequest(&pb.IssueTokenRequest{}))
		require.NoError(t, err)
		for _, vm := range d.VMs {
			response, err := vm.Caller.SubmitChange(ctx, connect.NewRequest(&pb.SubmitChangeRequest{
				Token: token.Msg.Token, Change: change, TimeLimitMs: timeLimitMs,
			}))
			require.NoError(t, err)
			require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, response.Msg.Outcome, response.Msg.String())
		}
		requireEffects(t, d, token.Msg.Token, 1)
	}
}

// transfer returns a transfer of the cask with the given number from the holder
// in the seeded data.
func transfer(t *testing.T, d *testkit.Deployment, number int) *pb.Change {
	t.Helper()
	front := d.Profile.Configuration().Fronts[1]
	id := profile.RecordID(front.Services[0].Name, number)
	row, ok := d.Profile.Record(front.Name, id, profile.NewestVersion)
	require.True(t, ok)
	holder, ok := profile.FieldValue(row, "holder")
	require.True(t, ok)
	return &pb.Change{Front: front.Name, Kind: &pb.Change_Transfer{Transfer: &pb.TitleTransfer{
		CaskId: id, FromHolder: holder, ToHolder: "Broker Two",
	}}}
}

func requireEffects(t *testing.T, d *testkit.Deployment, token string, count int) {
	t.Helper()
	effects, err := d.Standin.GetEffects(context.Background(), connect.NewRequest(&standinv1.GetEffectsRequest{Token: token}))
	require.NoError(t, err)
	total := 0
	for _, effect := range effects.Msg.Effects {
		total += int(effect.Count)
	}
	require.Equal(t, count, total)
}
