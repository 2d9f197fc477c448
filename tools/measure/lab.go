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
	// callerLimitMs is the time in which 99 of 100 answers have to come.
	callerLimitMs = 140
	// extraLimitPercent bounds hedges and retries, in percent of subrequests.
	extraLimitPercent = 5
	vmsPerDomain      = 3
	maxRunning        = 2000
	intervalMs        = 1000
	usPerMs           = 1000
	// guardTime is longer than the time for which owners that have just started
	// refuse work.
	guardTime = 2 * time.Second
)

// lab starts deployments and loads them.
type lab struct {
	arguments
	dir     string
	started int
}

// deployment starts the profile with further settings of the VMs and waits until
// its owners send work.
func (l *lab) deployment(ctx context.Context, perDomain int, settings []testkit.Setting) (*testkit.Deployment, error) {
	d, err := l.start(ctx, perDomain, settings)
	if err != nil {
		return nil, err
	}
	time.Sleep(guardTime)
	return d, nil
}

// start starts a deployment with further arguments of the stand-in; its owners
// refuse work until their guard time is over.
func (l *lab) start(ctx context.Context, perDomain int, settings []testkit.Setting, standin ...string) (*testkit.Deployment, error) {
	l.started++
	dir := filepath.Join(l.dir, fmt.Sprint(l.started))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	settings = append([]testkit.Setting{{Section: "log", Key: "decision_sample", Value: "0"}}, settings...)
	d, err := testkit.Start(ctx, testkit.Options{
		Dir: dir, Profile: l.Profile, Seed: l.Seed, VMsPerDomain: perDomain, Settings: settings, Standin: standin,
	})
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// front returns the deployment's first front: the one that members search.
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

// load runs open-loop load against every VM and prints its figures.
func (l *lab) load(ctx context.Context, d *testkit.Deployment, label string, rate float64) (*pb.LoadResult, error) {
	servers := make([]load.Searcher, 0, len(d.VMs))
	for _, vm := range d.VMs {
		servers = append(servers, searcher{vm.Caller})
	}
	result, err := load.Run(ctx, load.Options{
		Parameters: &pb.LoadParameters{
			Label: label, Front: front(d).Name, Rate: rate, DurationMs: uint64(l.Duration.Milliseconds()),
			Seed: l.Seed, TimeLimitMs: callerLimitMs, RowLimit: 50, MaxRunning: maxRunning, IntervalMs: intervalMs,
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

// conditions are the first letters that members type.
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

// sent returns the searches whose time came before the load ended.
func sent(r *pb.LoadResult) uint64 {
	return r.Counts.Intended - r.Counts.NotSent
}

// missing lists the reasons for which partitions are missing in answers.
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
