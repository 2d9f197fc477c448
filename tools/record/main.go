// Command record runs a small deployment as processes, injects a few faults and
// saves the traces of one VM below testdata/traces for the replay tests. The
// outcome files of the control role's traces are written by hand.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	traceDir        = "testdata/traces"
	guardTime       = 2 * time.Second
	searchesPerStep = 6
	timeLimitMs     = 1000
	freezeDuration  = 1500 * time.Millisecond
	fileMode        = 0o644
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "carawayreel-record-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := testkit.Start(ctx, testkit.Options{Dir: dir, Profile: "demo", Seed: 1, VMsPerDomain: 2, WithoutConfiguration: true})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	vm := d.VMs[0]
	tracePrefix := filepath.Join(dir, "trace")
	if err := d.ReplaceSetting(vm, testkit.Setting{Section: "log", Key: "trace_file", Value: tracePrefix}); err != nil {
		return err
	}
	vm.Kill()
	if err := d.StartVM(vm); err != nil {
		return err
	}
	if err := runScenario(ctx, d, vm); err != nil {
		return err
	}
	if _, err := vm.Stop(ctx); err != nil {
		return err
	}
	return saveTraces(tracePrefix)
}

// runScenario loads the configuration, crashes a replica, freezes the VM and takes
// a failure domain out of service, with searches after each step.
func runScenario(ctx context.Context, d *testkit.Deployment, vm *testkit.VM) error {
	if err := d.ApplyConfiguration(ctx); err != nil {
		return err
	}
	time.Sleep(guardTime)
	crash := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: uint32(guardTime.Milliseconds())}
	steps := []func() error{
		func() error { return nil },
		func() error { return d.Fault(ctx, &standinv1.Selector{Targets: []string{"archive-02-1"}}, crash) },
		func() error { vm.Pause(); time.Sleep(freezeDuration); vm.Resume(); time.Sleep(guardTime); return nil },
		func() error { return takeOut(ctx, vm) },
	}
	for n, step := range steps {
		if err := step(); err != nil {
			return err
		}
		if err := runSearches(ctx, vm, n); err != nil {
			return err
		}
	}
	return nil
}

func takeOut(ctx context.Context, vm *testkit.VM) error {
	_, err := vm.Admin.SetServingState(ctx, connect.NewRequest(&pb.SetServingStateRequest{
		FailureDomain: "c", State: pb.ServingState_SERVING_STATE_TAKEN_OUT, Author: "record",
	}))
	return errors.Wrap(err, "take out")
}

func runSearches(ctx context.Context, vm *testkit.VM, step int) error {
	for n := range searchesPerStep {
		_, err := vm.Caller.Search(ctx, connect.NewRequest(&pb.SearchRequest{
			RequestId: fmt.Sprintf("record-%d-%d", step, n), Front: "archive", TimeLimitMs: timeLimitMs,
			Conditions: []*pb.Condition{{
				Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: string(rune('A' + step*searchesPerStep + n)),
			}},
		}))
		if err != nil {
			return errors.Wrap(err, "search")
		}
	}
	return nil
}

// saveTraces copies the trace of each role to traceDir.
func saveTraces(prefix string) error {
	for _, role := range []string{"control", "owner", "coordinator"} {
		content, err := os.ReadFile(prefix + "." + role)
		if err != nil {
			return errors.Wrap(err, role)
		}
		path := filepath.Join(traceDir, role+"-process.jsonl")
		if err := os.WriteFile(path, content, fileMode); err != nil {
			return errors.Wrap(err, role)
		}
		fmt.Printf("%s: %d bytes\n", path, len(content))
	}
	return nil
}
