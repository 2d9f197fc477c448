package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// maxPoisonCrashes bounds the number of targets that one request content
	// crashes in total.
	maxPoisonCrashes = 2
	// crashRecoveryTime exceeds the downtime of a crashed target.
	crashRecoveryTime = 3 * time.Second
	// suspicionTimeout is the timeout for a false suspicion to clear.
	suspicionTimeout = 20 * time.Second
	// slowFactor slows a target down enough that it can be crashed while it runs a
	// request.
	slowFactor = 100
)

// poisonRun holds the number of target crashes for one way of sending the poison.
type poisonRun struct {
	label   string
	crashes uint64
}

// poison sends poison requests, whose content crashes every target that runs it,
// through every VM, under load of harmless ("clean") searches. In the baseline each
// request has a different content, so that none is recognized as one that crashed
// a target before.
func poison(ctx context.Context, h *harness) (verdict, error) {
	d, err := h.deployment(ctx, vmsPerDomain, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.Close()
	result, runs, err := h.poisonUnderLoad(ctx, d)
	if err != nil {
		return verdict{}, err
	}
	differing, err := differingContents(ctx, d)
	if err != nil {
		return verdict{}, err
	}
	clearTime, err := suspicionClearTime(ctx, d)
	if err != nil {
		return verdict{}, err
	}
	isolatedCrashes, err := h.poisonDuringPartition(ctx)
	if err != nil {
		return verdict{}, err
	}
	refused := result.Counts.NotRun
	sequential, concurrent := runs[0], runs[1]
	return verdict{
		figures: fmt.Sprintf("crashes %d %s, %d %s; clean searches refused %d, partial %d, failed %d of %d; a false suspicion cleared after %.1f s; with every failure domain cut off: %d crashes; baseline, %s: %d crashes",
			sequential.crashes, sequential.label, concurrent.crashes, concurrent.label, refused, result.Counts.Partial, result.Counts.Failed,
			sent(result), clearTime.Seconds(), isolatedCrashes, differing.label, differing.crashes),
		bound: fmt.Sprintf("<= %d crashes a content without a cut, <= %d a failure domain with one, 0 clean searches refused", maxPoisonCrashes, maxPoisonCrashes),
		ok: sequential.crashes <= maxPoisonCrashes && concurrent.crashes <= maxPoisonCrashes && refused == 0 &&
			isolatedCrashes <= maxPoisonCrashes*domains,
	}, nil
}

// poisonUnderLoad sends one poison content through the VMs sequentially and another
// one through all VMs concurrently, under load of harmless searches.
func (h *harness) poisonUnderLoad(ctx context.Context, d *testkit.Deployment) (*pb.LoadResult, []poisonRun, error) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var runs []poisonRun
	done := make(chan error, 1)
	go func() {
		var err error
		runs, err = poisonRuns(ctx, d)
		done <- err
		stop()
	}()
	result, _, err := h.loadThroughBalancer(loading, d, "clean searches")
	if err != nil {
		return nil, nil, err
	}
	if err := <-done; err != nil {
		return nil, nil, err
	}
	fmt.Printf("%-28s %s; missing: %s\n", "clean searches", figures(result), missing(result))
	return result, runs, nil
}

func poisonRuns(ctx context.Context, d *testkit.Deployment) ([]poisonRun, error) {
	if err := setPoison(ctx, d, "in turn", "at once"); err != nil {
		return nil, err
	}
	sequential, err := countCrashes(ctx, d, "through every VM in turn", func() {
		sendSequentially(ctx, d, func(int) []*pb.Condition { return conditionOn("in turn") })
	})
	if err != nil {
		return nil, err
	}
	concurrent, err := countCrashes(ctx, d, "through all VMs at the same time", func() {
		sendConcurrently(ctx, d, conditionOn("at once"))
	})
	return []poisonRun{sequential, concurrent}, err
}

// differingContents sends a different poison content to each VM, so that none is
// recognized.
func differingContents(ctx context.Context, d *testkit.Deployment) (poisonRun, error) {
	if err := setPoison(ctx, d, "differing"); err != nil {
		return poisonRun{}, err
	}
	return countCrashes(ctx, d, "a differing content at each VM", func() {
		sendSequentially(ctx, d, func(i int) []*pb.Condition {
			return append(conditionOn("differing"), conditionOn(fmt.Sprint("other ", i))...)
		})
	})
}

// poisonDuringPartition sends a content through all VMs, first sequentially and
// then concurrently, while a network partition separates all failure domains. It
// returns the number of crashes.
func (h *harness) poisonDuringPartition(ctx context.Context) (uint64, error) {
	d, err := h.deployment(ctx, vmsPerDomain, nil)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	if err := setPoison(ctx, d, "cut"); err != nil {
		return 0, err
	}
	names := profile.Domains()
	for i, first := range names {
		for _, second := range names[i+1:] {
			if err := d.SetLink(ctx, first, second, true); err != nil {
				return 0, err
			}
		}
	}
	run, err := countCrashes(ctx, d, "every failure domain cut off", func() {
		sendSequentially(ctx, d, func(int) []*pb.Condition { return conditionOn("cut") })
		sendConcurrently(ctx, d, conditionOn("cut"))
	})
	return run.crashes, err
}

// suspicionClearTime crashes a target for another reason while it runs a
// harmless search, and returns the time until every VM answers that search with full
// coverage again.
func suspicionClearTime(ctx context.Context, d *testkit.Deployment) (time.Duration, error) {
	time.Sleep(crashRecoveryTime)
	target := front(d).Services[0].Targets[0]
	selector := &standinv1.Selector{Service: front(d).Services[0].Name}
	slow := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: slowFactor}
	if err := d.Fault(ctx, selector, slow); err != nil {
		return 0, err
	}
	var inFlight sync.WaitGroup
	for _, vm := range d.VMs {
		inFlight.Go(func() { sendOne(ctx, d, vm, conditionOn("unlucky")) })
	}
	const startDelay = 50 * time.Millisecond
	time.Sleep(startDelay)
	crash := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH}
	if err := d.Fault(ctx, &standinv1.Selector{Targets: []string{target.Id}}, crash); err != nil {
		return 0, err
	}
	if err := d.Fault(ctx, selector, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR}); err != nil {
		return 0, err
	}
	began := time.Now()
	inFlight.Wait()
	for _, vm := range d.VMs {
		err := testkit.Poll(ctx, suspicionTimeout, func() bool {
			return sendOne(ctx, d, vm, conditionOn("unlucky")) == pb.Outcome_OUTCOME_SUCCESS
		})
		if err != nil {
			return 0, errors.Wrapf(err, "suspicion not cleared at %s", vm.ID)
		}
	}
	return time.Since(began), nil
}

func setPoison(ctx context.Context, d *testkit.Deployment, values ...string) error {
	for _, value := range values {
		fault := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_POISON, Value: value}
		if err := d.Fault(ctx, &standinv1.Selector{}, fault); err != nil {
			return err
		}
	}
	return nil
}

// countCrashes waits until previously crashed targets are up again, calls send,
// and counts the crashes that follow.
func countCrashes(ctx context.Context, d *testkit.Deployment, label string, send func()) (poisonRun, error) {
	time.Sleep(crashRecoveryTime)
	run := poisonRun{label: label}
	crashes := func(c *standinv1.TargetCounters) uint64 { return c.Crashes }
	before, err := d.Counters(ctx, nil)
	if err != nil {
		return run, err
	}
	send()
	time.Sleep(time.Second)
	after, err := d.Counters(ctx, nil)
	if err != nil {
		return run, err
	}
	run.crashes = total(after, crashes) - total(before, crashes)
	fmt.Printf("%-28s crashes=%d\n", label, run.crashes)
	return run, nil
}

func sendSequentially(ctx context.Context, d *testkit.Deployment, conditions func(i int) []*pb.Condition) {
	for i, vm := range d.VMs {
		sendOne(ctx, d, vm, conditions(i))
	}
}

func sendConcurrently(ctx context.Context, d *testkit.Deployment, conditions []*pb.Condition) {
	var inFlight sync.WaitGroup
	for _, vm := range d.VMs {
		inFlight.Go(func() { sendOne(ctx, d, vm, conditions) })
	}
	inFlight.Wait()
}

// sendOne sends one search and returns its outcome, or the unspecified outcome if
// there was no answer.
func sendOne(ctx context.Context, d *testkit.Deployment, vm *testkit.VM, conditions []*pb.Condition) pb.Outcome {
	response, err := vm.Caller.Search(ctx, connect.NewRequest(&pb.SearchRequest{
		Front: front(d).Name, Conditions: conditions, TimeLimitMs: balancedTimeLimitMs,
	}))
	if err != nil {
		return pb.Outcome_OUTCOME_UNSPECIFIED
	}
	return response.Msg.Outcome
}

func conditionOn(value string) []*pb.Condition {
	return []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_EQUAL, Value: value}}
}
