package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	domains = 3
	// maxStoreReadsPerSecond is the read capacity of the platform's store.
	maxStoreReadsPerSecond = 2000
	// projectedVMs and projectedFailureDomains are the size of the required
	// deployment, to which the measured rates are extrapolated.
	projectedVMs            = 3000
	projectedFailureDomains = 9
	propagationLimit        = 4 * time.Second
	revisionsMeasured       = 5
)

// store measures the rate of calls to the platform at several numbers of VMs and
// extrapolates the reads to the size of the required deployment.
func store(ctx context.Context, h *harness) (verdict, error) {
	var parts []string
	perDomain, perVM := 0.0, 0.0
	for _, vms := range h.VMs {
		rate, err := h.measureStoreRate(ctx, vms)
		if err != nil {
			return verdict{}, err
		}
		parts = append(parts, fmt.Sprintf("%d VMs: %.2f calls/s", vms, rate.total))
		perDomain = max(perDomain, rate.reads/domains)
		perVM = max(perVM, rate.lists/float64(vms))
	}
	projectedReads := perDomain*projectedFailureDomains + perVM*projectedVMs
	return verdict{
		figures: fmt.Sprintf("%s; reads of store and list at %d VMs in %d failure domains, extrapolated: %.0f/s",
			strings.Join(parts, ", "), projectedVMs, projectedFailureDomains, projectedReads),
		bound: fmt.Sprintf("<= %d reads/s", maxStoreReadsPerSecond),
		ok:    projectedReads <= maxStoreReadsPerSecond,
	}, nil
}

type storeRate struct {
	// Calls per second. Reads scale with the number of failure domains, lists with
	// the number of VMs.
	reads, lists, total float64
}

func (h *harness) measureStoreRate(ctx context.Context, vms int) (storeRate, error) {
	d, err := h.deployment(ctx, vms/domains, nil)
	if err != nil {
		return storeRate{}, err
	}
	defer d.Close()
	before, err := d.Counters(ctx, nil)
	if err != nil {
		return storeRate{}, err
	}
	used := cpuTime(d)
	time.Sleep(h.Duration)
	after, err := d.Counters(ctx, nil)
	if err != nil {
		return storeRate{}, err
	}
	used = cpuTime(d) - used
	seconds := h.Duration.Seconds()
	reads := float64(after.Store.Gets+after.Store.Watches-before.Store.Gets-before.Store.Watches) / seconds
	lists := float64(after.Store.ListCalls-before.Store.ListCalls) / seconds
	writes := float64(after.Store.Puts-before.Store.Puts) / seconds
	fmt.Printf("%3d VMs: gets and watches %.2f/s, list %.2f/s, puts %.2f/s, watches waiting %d\n",
		vms, reads, lists, writes, after.Store.WatchesWaiting)
	fmt.Printf("%3d VMs: each %.0f B/s through its relay, %.2f %% of a core, %.1f MB\n", vms,
		float64(relayedBytes(after)-relayedBytes(before))/seconds/float64(vms),
		percent*used.Seconds()/seconds/float64(vms), residentMB(d))
	return storeRate{reads: reads, lists: lists, total: reads + lists + writes}, nil
}

// config measures the time from applying a revision until it is in force on every
// VM.
func config(ctx context.Context, h *harness) (verdict, error) {
	var slowest time.Duration
	var parts []string
	for _, vms := range h.VMs {
		took, err := h.slowestPropagation(ctx, vms)
		if err != nil {
			return verdict{}, err
		}
		parts = append(parts, fmt.Sprintf("%d VMs: %d ms", vms, took.Milliseconds()))
		slowest = max(slowest, took)
	}
	return verdict{
		figures: "slowest of " + fmt.Sprint(revisionsMeasured) + " revisions until in force everywhere: " + strings.Join(parts, ", "),
		bound:   fmt.Sprintf("<= %d ms", propagationLimit.Milliseconds()),
		ok:      slowest <= propagationLimit,
	}, nil
}

func (h *harness) slowestPropagation(ctx context.Context, vms int) (time.Duration, error) {
	d, err := h.deployment(ctx, vms/domains, nil)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	var slowest time.Duration
	for n := range revisionsMeasured {
		vm := d.VMs[n%len(d.VMs)]
		took, err := propagate(ctx, d, vm, uint32(n+1))
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, took)
	}
	return slowest, nil
}

// propagate applies a revision through a VM and returns the time until the last
// VM reported it as in force.
func propagate(ctx context.Context, d *testkit.Deployment, vm *testkit.VM, rowLimit uint32) (time.Duration, error) {
	current, err := vm.Admin.GetConfiguration(ctx, connect.NewRequest(&pb.GetConfigurationRequest{}))
	if err != nil {
		return 0, errors.Wrap(err, "get configuration")
	}
	next := proto.CloneOf(current.Msg.Configuration)
	next.Fronts[0].Limits.DefaultRowLimit = rowLimit
	began := time.Now()
	response, err := vm.Admin.ApplyConfiguration(ctx, connect.NewRequest(&pb.ApplyConfigurationRequest{
		Configuration: next, ExpectedRevision: next.Revision,
	}))
	if err != nil {
		return 0, errors.Wrap(err, "apply configuration")
	}
	if response.Msg.Status != pb.ApplyStatus_APPLY_STATUS_ACCEPTED {
		return 0, errors.Errorf("configuration not accepted: %s", response.Msg)
	}
	for _, vm := range d.VMs {
		err := testkit.Poll(ctx, 2*propagationLimit, func() bool { return revisionOf(ctx, vm) >= response.Msg.Revision })
		if err != nil {
			return 0, errors.Wrap(err, vm.ID)
		}
	}
	return time.Since(began), nil
}

func revisionOf(ctx context.Context, vm *testkit.VM) uint64 {
	status, err := vm.Admin.GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{}))
	if err != nil {
		return 0
	}
	return status.Msg.ConfigurationRevision
}

// rolling replaces every VM, one after the other, under load and counts the
// searches without full coverage.
func rolling(ctx context.Context, h *harness) (verdict, error) {
	d, err := h.deployment(ctx, vmsPerDomain, nil)
	if err != nil {
		return verdict{}, err
	}
	defer d.Close()
	replaced := make(chan error, 1)
	loading, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		replaced <- replaceAll(ctx, d)
		stop()
	}()
	result, _, err := h.loadThroughBalancer(loading, d, "rolling")
	if err != nil {
		return verdict{}, err
	}
	if err := <-replaced; err != nil {
		return verdict{}, err
	}
	incomplete := result.Counts.Failed + result.Counts.NotRun + result.Counts.Partial + result.Counts.Other
	return verdict{
		figures: fmt.Sprintf("%d VMs replaced under %d searches: %d failed, %d refused, %d partial, p99 %.1f ms",
			len(d.VMs), sent(result), result.Counts.Failed, result.Counts.NotRun, result.Counts.Partial, ms(result.Latency.P99Us)),
		bound: "0 failed, 0 refused, 0 partial",
		ok:    incomplete == 0,
	}, nil
}

func replaceAll(ctx context.Context, d *testkit.Deployment) error {
	for _, vm := range d.VMs {
		if _, err := vm.Stop(ctx); err != nil {
			return err
		}
		if err := d.StartVM(vm); err != nil {
			return err
		}
		if err := d.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
