// Package load generates open-loop load: requests start at times drawn in
// advance, whether or not earlier ones have been answered, and each latency is
// measured from the intended start. A slow server therefore cannot hide its
// delays by delaying later requests (coordinated omission).
//
// A run is bounded by its duration, by its number of arrivals and by the timeout
// of each request.
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
	// timeoutMargin is added to the time limit of a request to get its timeout.
	timeoutMargin = 2 * time.Second
	// defaultTimeLimit is the time limit assumed for runs that set none.
	defaultTimeLimit = time.Second
	progressInterval = time.Second
	microsecond      = time.Microsecond
)

// Searcher sends searches to a server. It must be safe for concurrent use.
type Searcher interface {
	Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error)
}

// InvalidError reports an invalid option or input file of a run.
type InvalidError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidError) Error() string {
	return e.Reason
}

// Options holds the parameters of a run and the servers under load.
type Options struct {
	Parameters *pb.LoadParameters
	// Servers receive the requests round-robin.
	Servers []Searcher
	// Conditions lists the alternatives from which each request draws one; if it
	// is empty, searches have no conditions.
	Conditions [][]*pb.Condition
	// Progress receives a progress line that is rewritten every second; nil
	// disables it.
	Progress io.Writer
}

// Run generates the load and returns its result once every request has completed
// or timed out. If ctx ends, no further request is sent and the result is marked
// as interrupted.
func Run(ctx context.Context, o Options) (*pb.LoadResult, error) {
	if err := validate(o); err != nil {
		return nil, err
	}
	parameters := proto.CloneOf(o.Parameters)
	r := &run{
		options:  o,
		offsets:  arrivals(parameters.Seed, parameters.Rate, duration(parameters)),
		recorder: newRecorder(parameters),
		slots:    make(chan struct{}, parameters.MaxRunning),
		start:    time.Now(),
	}
	if len(r.offsets) > MaxArrivals {
		return nil, &InvalidError{Reason: fmt.Sprintf("the run would have more than %d requests", MaxArrivals)}
	}
	stopProgress := r.reportProgress()
	interrupted := r.generate(ctx)
	stopProgress()
	result := r.recorder.result()
	result.StartedUnixMs = r.start.UnixMilli()
	result.Interrupted = interrupted
	return result, nil
}

func validate(o Options) error {
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

// timeout returns the client-side timeout of a request.
func timeout(p *pb.LoadParameters) time.Duration {
	limit := time.Duration(p.TimeLimitMs) * time.Millisecond
	if limit == 0 {
		limit = defaultTimeLimit
	}
	return limit + timeoutMargin
}

// run is the state of a run in progress.
type run struct {
	options  Options
	offsets  []time.Duration
	recorder *recorder
	// slots limits the number of requests in flight.
	slots chan struct{}
	start time.Time
}

// generate starts each request at its intended time and waits for all of them. A
// request that finds no free slot waits, and the wait counts as latency. generate
// reports whether ctx ended the run early.
func (r *run) generate(ctx context.Context) bool {
	generator := newRequestGenerator(r.options, r.start)
	deadline := r.start.Add(duration(r.options.Parameters) + timeout(r.options.Parameters))
	sendCtx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	var inFlight sync.WaitGroup
	for i, offset := range r.offsets {
		intended := r.start.Add(offset)
		request := generator.next()
		if !r.awaitStart(sendCtx, intended) {
			r.recorder.addNotSent(offset, time.Since(intended))
			continue
		}
		inFlight.Go(func() {
			defer func() { <-r.slots }()
			r.send(ctx, r.options.Servers[i%len(r.options.Servers)], request, offset)
		})
	}
	inFlight.Wait()
	return ctx.Err() != nil
}

// awaitStart waits for the intended start and then acquires a slot, which the
// caller must release. It returns false if ctx ends first.
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
		r.recorder.addFailure(offset, latency, errors.Cause(err))
		return
	}
	r.recorder.addAnswer(offset, latency, response)
}

// reportProgress writes the progress line every progressInterval until the
// returned function is called.
func (r *run) reportProgress() (stop func()) {
	out := r.options.Progress
	if out == nil {
		return func() {}
	}
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_, _ = fmt.Fprintf(out, "\r%s ", r.recorder.progress(time.Since(r.start)))
			case <-done:
				_, _ = fmt.Fprintf(out, "\r%s \n", r.recorder.progress(time.Since(r.start)))
				return
			}
		}
	})
	return func() {
		close(done)
		writer.Wait()
	}
}
