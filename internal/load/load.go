// Package load generates open-loop load: requests start at times drawn in
// advance, whether or not earlier ones have been answered, and each latency is
// measured from the intended start. A slow server therefore cannot hide its
// delays by holding back the requests that would have met them.
//
// A run is bounded: by its duration, by the number of its arrivals, and by the
// time that each request may take.
package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// MaxArrivals bounds the requests of one run.
	MaxArrivals = 5_000_000
	// MaxDuration bounds the duration of one run.
	MaxDuration = time.Hour
	// answerTimeout is how much longer than its time limit a request may take.
	answerTimeout = 2 * time.Second
	// defaultTimeLimit is assumed where a run sets none.
	defaultTimeLimit = time.Second
	progressInterval = time.Second
	microsecond      = time.Microsecond
)

// Searcher is one server that takes searches. It must be safe for concurrent
// use.
type Searcher interface {
	Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error)
}

// InvalidError states which option of a run is not accepted.
type InvalidError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidError) Error() string {
	return e.Reason
}

// Options describe a run.
type Options struct {
	Parameters *pb.LoadParameters
	// Servers take the requests in turn.
	Servers []Searcher
	// Conditions are the alternatives that requests draw from; an empty list
	// sends searches without conditions.
	Conditions [][]*pb.Condition
	// Progress receives a line that is written anew each second; nil for none.
	Progress io.Writer
}

// Run generates the load and returns its result when the last request has ended
// or was given up. When the context ends, no further request is sent and the
// result says that the run was interrupted.
func Run(ctx context.Context, o Options) (*pb.LoadResult, error) {
	if err := check(o); err != nil {
		return nil, err
	}
	parameters := proto.CloneOf(o.Parameters)
	r := &run{
		options: o,
		offsets: arrivals(parameters.Seed, parameters.Rate, duration(parameters)),
		record:  newRecorder(parameters),
		slots:   make(chan struct{}, parameters.MaxRunning),
		start:   time.Now(),
	}
	if len(r.offsets) > MaxArrivals {
		return nil, &InvalidError{Reason: fmt.Sprintf("the run would have more than %d requests", MaxArrivals)}
	}
	stopProgress := r.reportProgress()
	interrupted := r.generate(ctx)
	stopProgress()
	result := r.record.result()
	result.StartedUnixMs = r.start.UnixMilli()
	result.Interrupted = interrupted
	return result, nil
}

func check(o Options) error {
	p := o.Parameters
	switch {
	case len(o.Servers) == 0:
		return &InvalidError{Reason: "no server is given"}
	case p.Rate <= 0:
		return &InvalidError{Reason: "the rate must be positive"}
	case p.DurationMs == 0 || duration(p) > MaxDuration:
		return &InvalidError{Reason: "the duration must be from 1ms to 1h"}
	case p.Rate*duration(p).Seconds() > MaxArrivals:
		return &InvalidError{Reason: fmt.Sprintf("rate times duration must be at most %d requests", MaxArrivals)}
	case p.MaxRunning == 0:
		return &InvalidError{Reason: "the number of requests running at once must be positive"}
	case p.IntervalMs == 0:
		return &InvalidError{Reason: "the interval must be positive"}
	default:
		return nil
	}
}

func duration(p *pb.LoadParameters) time.Duration {
	return time.Duration(p.DurationMs) * time.Millisecond
}

// timeout returns the time after which a request is given up.
func timeout(p *pb.LoadParameters) time.Duration {
	limit := time.Duration(p.TimeLimitMs) * time.Millisecond
	if limit == 0 {
		limit = defaultTimeLimit
	}
	return limit + answerTimeout
}

// run is one run in progress.
type run struct {
	options Options
	offsets []time.Duration
	record  *recorder
	// slots bounds the requests running at once.
	slots chan struct{}
	start time.Time
}

// generate starts each request at its time and waits for all of them. Where no
// slot is free at the intended start the request waits, and its latency grows.
// It reports whether the run ended before its time.
func (r *run) generate(ctx context.Context) bool {
	requests := newRequests(r.options, r.start)
	deadline := r.start.Add(duration(r.options.Parameters) + timeout(r.options.Parameters))
	sending, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	var running sync.WaitGroup
	for i, offset := range r.offsets {
		intended := r.start.Add(offset)
		request := requests.next()
		if !r.awaitStart(sending, intended) {
			r.record.addNotSent(offset, time.Since(intended))
			continue
		}
		running.Go(func() {
			defer func() { <-r.slots }()
			r.send(ctx, r.options.Servers[i%len(r.options.Servers)], request, offset)
		})
	}
	running.Wait()
	return ctx.Err() != nil
}

// awaitStart waits for the intended start and then for a slot, which the caller
// must return. It reports false when the sending has ended.
func (r *run) awaitStart(ctx context.Context, intended time.Time) bool {
	timer := time.NewTimer(time.Until(intended))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) send(ctx context.Context, server Searcher, request *pb.SearchRequest, offset time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout(r.options.Parameters))
	defer cancel()
	response, err := server.Search(ctx, request)
	latency := time.Since(r.start.Add(offset))
	if err != nil {
		r.record.addFailure(offset, latency, errors.Cause(err))
		return
	}
	r.record.addAnswer(offset, latency, response)
}

// reportProgress writes the progress line until the returned function is called.
func (r *run) reportProgress() (stop func()) {
	out := r.options.Progress
	if out == nil {
		return func() {}
	}
	done := make(chan struct{})
	var writing sync.WaitGroup
	writing.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_, _ = fmt.Fprintf(out, "\r%s ", r.record.progress(time.Since(r.start)))
			case <-done:
				_, _ = fmt.Fprintf(out, "\r%s \n", r.record.progress(time.Since(r.start)))
				return
			}
		}
	})
	return func() {
		close(done)
		writing.Wait()
	}
}
