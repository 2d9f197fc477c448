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
	// poisonLimit bounds the targets that one content crashes in total.
	poisonLimit = 2
	// recovery is longer than a crashed target stays down.
	recovery = 3 * time.Second
	// suspicionLimit is waited for a suspicion to clear.
	suspicionLimit = 20 * time.Second
	// slowFactor makes a piece of work long enough to crash under it.
	slowFactor = 100
)

// poisonRun is how many targets crashed under one way of sending.
type poisonRun struct {
	label   string
	crashes uint64
}

// poison sends contents that crash each target that runs them through every VM,
// under clean load. The baseline sends contents that all differ, so that
// nothing recognizes them.
func poison(ctx context.Context, l *lab) (verdict, error) {
	d, err := l.deployment(ctx, vmsPerDomain, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.Close()
	result, runs, err := l.poisonUnderLoad(ctx, d)
	if err != nil {
		return verdict{}, err
	}
	differing, err := differingContents(ctx, d)
	if err != nil {
		return verdict{}, err
	}
	cleared, err := falseSuspicion(ctx, d)
	if err != nil {
		return verdict{}, err
	}
	apart, err := l.poisonAcrossACut(ctx)
	if err != nil {
		return verdict{}, err
	}
	refused := result.Counts.NotRun
	inTurn, atOnce := runs[0], runs[1]
	return verdict{
		figures: fmt.Sprintf("crashes %d %s, %d %s; clean searches refused %d, partial %d, failed %d of %d; a false suspicion cleared after %.1f s; with every failure domain cut off: %d crashes; baseline, %s: %d crashes",
			inTurn.crashes, inTurn.label, atOnce.crashes, atOnce.label, refused, result.Counts.Partial, result.Counts.Failed,
			sent(result), cleared.Seconds(), apart, differing.label, differing.crashes),
		bound: fmt.Sprintf("<= %d crashes a content without a cut, <= %d a failure domain with one, 0 clean searches refused", poisonLimit, poisonLimit),
		ok: inTurn.crashes <= poisonLimit && atOnce.crashes <= poisonLimit && refused == 0 &&
			apart <= poisonLimit*domains,
	}, nil
}

// poisonUnderLoad sends one content through every VM in turn and another through
// all at the same time, under clean load.
func (l *lab) poisonUnderLoad(ctx context.Context, d *testkit.Deployment) (*pb.LoadResult, []poisonRun, error) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var runs []poisonRun
	acted := make(chan error, 1)
	go func() {
		var err error
		runs, err = poisonRuns(ctx, d)
		acted <- err
		stop()
	}()
	result, _, err := l.loadReady(loading, d, "clean searches")
	if err != nil {
		return nil, nil, err
	}
	if err := <-acted; err != nil {
		return nil, nil, err
	}
	fmt.Printf("%-28s %s; missing: %s\n", "clean searches", figures(result), missing(result))
	return result, runs, nil
}

func poisonRuns(ctx context.Context, d *testkit.Deployment) ([]poisonRun, error) {
	if err := setPoison(ctx, d, "in turn", "at once"); err != nil {
		return nil, err
	}
	inTurn, err := countCrashes(ctx, d, "through every VM in turn", func() {
		sendInTurn(ctx, d, func(int) []*pb.Condition { return conditionOn("in turn") })
	})
	if err != nil {
		return nil, err
	}
	atOnce, err := countCrashes(ctx, d, "through all VMs at the same time", func() {
		sendAtOnce(ctx, d, conditionOn("at once"))
	})
	return []poisonRun{inTurn, atOnce}, err
}

// differingContents sends a content to each VM that differs from the others, so
// that nothing recognizes it.
func differingContents(ctx context.Context, d *testkit.Deployment) (poisonRun, error) {
	if err := setPoison(ctx, d, "differing"); err != nil {
		return poisonRun{}, err
	}
	return countCrashes(ctx, d, "a differing content at each VM", func() {
		sendInTurn(ctx, d, func(i int) []*pb.Condition {
			return append(conditionOn("differing"), conditionOn(fmt.Sprint("other ", i))...)
		})
	})
}

// poisonAcrossACut sends a content through all VMs at the same time while every
// failure domain is cut off from the others.
func (l *lab) poisonAcrossACut(ctx context.Context) (uint64, error) {
	d, err := l.deployment(ctx, vmsPerDomain, nil)
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
			if err := d.Cut(ctx, first, second, true); err != nil {
				return 0, err
			}
		}
	}
	run, err := countCrashes(ctx, d, "every failure domain cut off", func() {
		sendInTurn(ctx, d, func(int) []*pb.Condition { return conditionOn("cut") })
		sendAtOnce(ctx, d, conditionOn("cut"))
	})
	return run.crashes, err
}

// falseSuspicion crashes a target for another reason while it runs a clean
// content, and returns the time until that content is answered whole again.
func falseSuspicion(ctx context.Context, d *testkit.Deployment) (time.Duration, error) {
	time.Sleep(recovery)
	target := front(d).Services[0].Targets[0]
	selector := &standinv1.Selector{Service: front(d).Services[0].Name}
	slow := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_STRAGGLE, Factor: slowFactor}
	if err := d.Fault(ctx, selector, slow); err != nil {
		return 0, err
	}
	var running sync.WaitGroup
	for _, vm := range d.VMs {
		running.Go(func() { sendOne(ctx, d, vm, conditionOn("unlucky")) })
	}
	const underWay = 50 * time.Millisecond
	time.Sleep(underWay)
	crash := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH}
	if err := d.Fault(ctx, &standinv1.Selector{Targets: []string{target.Id}}, crash); err != nil {
		return 0, err
	}
	if err := d.Fault(ctx, selector, &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CLEAR}); err != nil {
		return 0, err
	}
	began := time.Now()
	running.Wait()
	for _, vm := range d.VMs {
		err := testkit.Poll(ctx, suspicionLimit, func() bool {
			return sendOne(ctx, d, vm, conditionOn("unlucky")) == pb.Outcome_OUTCOME_SUCCESS
		})
		if err != nil {
			return 0, errors.Wrapf(err, "the suspicion stands at %s", vm.ID)
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

// countCrashes waits until targets that crashed before are up again, sends, and
// counts the crashes.
func countCrashes(ctx context.Context, d *testkit.Deployment, label string, send func()) (poisonRun, error) {
	time.Sleep(recovery)
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

func sendInTurn(ctx context.Context, d *testkit.Deployment, conditions func(i int) []*pb.Condition) {
	for i, vm := range d.VMs {
		sendOne(ctx, d, vm, conditions(i))
	}
}

func sendAtOnce(ctx context.Context, d *testkit.Deployment, conditions []*pb.Condition) {
	var sending sync.WaitGroup
	for _, vm := range d.VMs {
		sending.Go(func() { sendOne(ctx, d, vm, conditions) })
	}
	sending.Wait()
}

// sendOne sends one search and returns its outcome, unspecified when there was
// no answer.
func sendOne(ctx context.Context, d *testkit.Deployment, vm *testkit.VM, conditions []*pb.Condition) pb.Outcome {
	response, err := vm.Caller.Search(ctx, connect.NewRequest(&pb.SearchRequest{
		Front: front(d).Name, Conditions: conditions, TimeLimitMs: balancedLimitMs,
	}))
	if err != nil {
		return pb.Outcome_OUTCOME_UNSPECIFIED
	}
	return response.Msg.Outcome
}

func conditionOn(value string) []*pb.Condition {
	return []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_EQUAL, Value: value}}
}
