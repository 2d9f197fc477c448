// Command record runs a small deployment as processes through a few faults and
// keeps the traces of one VM below testdata/traces, for the replay tests. The
// outcome files of control's traces are stated by hand.
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
	destination  = "testdata/traces"
	guard        = 2 * time.Second
	searchesEach = 6
	timeLimitMs  = 1000
	freeze       = 1500 * time.Millisecond
	fileMode     = 0o644
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
		return errors.Wrap(err, "directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := testkit.Start(ctx, testkit.Options{Dir: dir, Profile: "demo", Seed: 1, VMsPerDomain: 2, WithoutConfiguration: true})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	recorded := d.VMs[0]
	file := filepath.Join(dir, "trace")
	if err := d.ReplaceSetting(recorded, testkit.Setting{Section: "log", Key: "trace_file", Value: file}); err != nil {
		return err
	}
	recorded.Kill()
	if err := d.StartVM(recorded); err != nil {
		return err
	}
	if err := scenario(ctx, d, recorded); err != nil {
		return err
	}
	if _, err := recorded.Stop(ctx); err != nil {
		return err
	}
	return keep(file)
}

// scenario loads the configuration, crashes a replica, freezes the VM, takes a
// failure domain out and stops the VM, with searches between.
func scenario(ctx context.Context, d *testkit.Deployment, vm *testkit.VM) error {
	if err := d.Load(ctx); err != nil {
		return err
	}
	time.Sleep(guard)
	crash := &standinv1.Fault{Kind: standinv1.FaultKind_FAULT_KIND_CRASH, DurationMs: uint32(guard.Milliseconds())}
	steps := []func() error{
		func() error { return nil },
		func() error { return d.Fault(ctx, &standinv1.Selector{Targets: []string{"archive-02-1"}}, crash) },
		func() error { vm.Pause(); time.Sleep(freeze); vm.Resume(); time.Sleep(guard); return nil },
		func() error { return takeOut(ctx, vm) },
	}
	for n, step := range steps {
		if err := step(); err != nil {
			return err
		}
		if err := searches(ctx, vm, n); err != nil {
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

func searches(ctx context.Context, vm *testkit.VM, step int) error {
	for n := range searchesEach {
		_, err := vm.Caller.Search(ctx, connect.NewRequest(&pb.SearchRequest{
			RequestId: fmt.Sprintf("record-%d-%d", step, n), Front: "archive", TimeLimitMs: timeLimitMs,
			Conditions: []*pb.Condition{{
				Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: string(rune('A' + step*searchesEach + n)),
			}},
		}))
		if err != nil {
			return errors.Wrap(err, "search")
		}
	}
	return nil
}

// keep copies the roles' traces.
func keep(file string) error {
	for _, role := range []string{"control", "owner", "coordinator"} {
		content, err := os.ReadFile(file + "." + role)
		if err != nil {
			return errors.Wrap(err, role)
		}
		path := filepath.Join(destination, role+"-process.jsonl")
		if err := os.WriteFile(path, content, fileMode); err != nil {
			return errors.Wrap(err, role)
		}
		fmt.Printf("%s: %d bytes\n", path, len(content))
	}
	return nil
}
