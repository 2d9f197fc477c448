package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

const (
	// callerTimeLimitMs is the time limit of searches and the bound on their 99th
	// percentile latency.
	callerTimeLimitMs = 140
	// maxExtraPercent bounds hedges and retries, as a percentage of the other
	// subrequests.
	maxExtraPercent = 5
	vmsPerDomain    = 3
	maxRunning      = 2000
	intervalMs      = 1000
	usPerMs         = 1000
	// guardTime exceeds the guard time of newly started owners, during which they
	// refuse work.
	guardTime = 2 * time.Second
)

// harness starts deployments and runs load against them.
type harness struct {
	arguments
	dir         string
	deployments int
}

// deployment starts a deployment of the profile with additional VM settings and
// waits until its owners accept work.
func (h *harness) deployment(ctx context.Context, perDomain int, settings []testkit.Setting) (*testkit.Deployment, error) {
	d, err := h.start(ctx, perDomain, settings)
	if err != nil {
		return nil, err
	}
	time.Sleep(guardTime)
	return d, nil
}

// start starts a deployment with additional VM settings and stand-in arguments.
// Its owners refuse work until their guard time is over.
func (h *harness) start(ctx context.Context, perDomain int, settings []testkit.Setting, standinArguments ...string) (*testkit.Deployment, error) {
	h.deployments++
	dir := filepath.Join(h.dir, fmt.Sprint(h.deployments))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	settings = append([]testkit.Setting{{Section: "log", Key: "decision_sample", Value: "0"}}, settings...)
	d, err := testkit.Start(ctx, testkit.Options{
		Dir: dir, Profile: h.Profile, Seed: h.Seed, VMsPerDomain: perDomain, Settings: settings, StandinArguments: standinArguments,
	})
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// front returns the first front of the deployment, the one under load.
func front(d *testkit.Deployment) *pb.Front {
	return d.Profile.Configuration().Fronts[0]
}

// searcher sends searches to one VM.
type searcher struct {
	caller carawayreelv1connect.CallerServiceClient
}

// Search sends one search.
func (s searcher) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	response, err := s.caller.Search(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// load runs open-loop load against all VMs at rate searches per second and prints
// its figures.
func (h *harness) load(ctx context.Context, d *testkit.Deployment, label string, rate float64) (*pb.LoadResult, error) {
	servers := make([]load.Searcher, 0, len(d.VMs))
	for _, vm := range d.VMs {
		servers = append(servers, searcher{vm.Caller})
	}
	result, err := load.Run(ctx, load.Options{
		Parameters: &pb.LoadParameters{
			Label: label, Front: front(d).Name, Rate: rate, DurationMs: uint64(h.Duration.Milliseconds()),
			Seed: h.Seed, TimeLimitMs: callerTimeLimitMs, RowLimit: 50, MaxRunning: maxRunning, IntervalMs: intervalMs,
		},
		Servers:    servers,
		Conditions: conditions(),
	})
	if err != nil {
		return nil, errors.Wrap(err, label)
	}
	fmt.Printf("%-28s %s\n", label, figures(result))
	return result, nil
}

// conditions returns prefix searches for the first two letters of a name, like
// those of users who start typing.
func conditions() [][]*pb.Condition {
	var all [][]*pb.Condition
	for letter := 'A'; letter <= 'Z'; letter++ {
		for _, vowel := range "aeiou" {
			all = append(all, []*pb.Condition{{
				Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: string(letter) + string(vowel),
			}})
		}
	}
	return all
}

// sent returns the number of searches that were sent before the load ended.
func sent(r *pb.LoadResult) uint64 {
	return r.Counts.Intended - r.Counts.NotSent
}

// missing formats the number of missing partitions in answers per reason.
func missing(r *pb.LoadResult) string {
	reasons := make([]string, 0, len(r.Missing))
	for _, m := range r.Missing {
		reasons = append(reasons, fmt.Sprintf("%s %d", m.Reason, m.Partitions))
	}
	return strings.Join(reasons, ", ")
}

func figures(r *pb.LoadResult) string {
	return fmt.Sprintf("n=%d p50=%.1fms p99=%.1fms p99.9=%.1fms coverage=%.3f%% extra=%.2f%% partial=%d not_run=%d failed=%d",
		sent(r), ms(r.Latency.P50Us), ms(r.Latency.P99Us), ms(r.Latency.P999Us),
		load.CoveragePercent(r.Counts), load.ExtraPercent(r.Counts),
		r.Counts.Partial, r.Counts.NotRun, r.Counts.Failed)
}

func ms(us uint64) float64 {
	return float64(us) / usPerMs
}

// total sums one counter over all targets.
func total(counters *standinv1.GetCountersResponse, value func(*standinv1.TargetCounters) uint64) uint64 {
	var sum uint64
	for _, target := range counters.Targets {
		sum += value(target)
	}
	return sum
}
