package load_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/load"
	"github.com/carawayreel/carawayreel/internal/report"
)

// fakeServer replies after a delay. Delay and reply depend on the time since the
// server's start.
type fakeServer struct {
	start time.Time
	delay func(since time.Duration) time.Duration
	reply func(since time.Duration) (*pb.SearchResponse, error)

	mu         sync.Mutex
	requests   []*pb.SearchRequest
	receivedAt []time.Duration
}

func (s *fakeServer) Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error) {
	since := time.Since(s.start)
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.receivedAt = append(s.receivedAt, since)
	s.mu.Unlock()
	select {
	case <-time.After(s.delay(since)):
		return s.reply(since)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func fullCoverage(time.Duration) (*pb.SearchResponse, error) {
	return &pb.SearchResponse{
		Outcome:     pb.Outcome_OUTCOME_SUCCESS,
		Coverage:    &pb.Coverage{Covered: 4, Total: 4, MapKnown: true},
		Subrequests: 21, ExtraSubrequests: 1,
	}, nil
}

func shortDelay(time.Duration) time.Duration { return 10 * time.Millisecond }

func parameters() *pb.LoadParameters {
	return &pb.LoadParameters{
		Label: "test", Front: "f", Rate: 100, DurationMs: 20_000, Seed: 7, TimeLimitMs: 500, MaxRunning: 5000, IntervalMs: 1000,
	}
}

func newServer(delay func(time.Duration) time.Duration, reply func(time.Duration) (*pb.SearchResponse, error)) *fakeServer {
	return &fakeServer{start: time.Now(), delay: delay, reply: reply}
}

func runLoad(t *testing.T, p *pb.LoadParameters, servers ...*fakeServer) *pb.LoadResult {
	t.Helper()
	options := load.Options{Parameters: p}
	for _, s := range servers {
		options.Servers = append(options.Servers, s)
	}
	result, err := load.Run(t.Context(), options)
	require.NoError(t, err)
	return result
}

// Guards against coordinated omission: the server stalls for two seconds, a tenth
// of the run, and the 95th percentile must show it. With a single slot the stall
// would be hidden if latency were measured from the time of sending.
func TestStalledServerShowsInLatency(t *testing.T) {
	for _, slots := range []uint32{1, 5000} {
		synctest.Test(t, func(t *testing.T) {
			stall := func(since time.Duration) time.Duration {
				if since > 10*time.Second && since < 12*time.Second {
					return 12*time.Second - since
				}
				return time.Millisecond
			}
			p := parameters()
			p.MaxRunning = slots
			result := runLoad(t, p, newServer(stall, fullCoverage))
			require.Zero(t, result.Counts.Failed)
			histogram, err := hdrhistogram.Decode(result.Histogram)
			require.NoError(t, err)
			require.Greater(t, histogram.ValueAtQuantile(95), int64(time.Second/time.Microsecond))
			require.Less(t, result.Latency.P50Us, uint64(20_000))
			require.Greater(t, result.Intervals[10].Latency.P50Us, uint64(1_000_000))
			require.Less(t, result.Intervals[5].Latency.P99Us, uint64(100_000))
		})
	}
}

func TestSameSeedSendsTheSameLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conditions := [][]*pb.Condition{{{Field: "a"}}, {{Field: "b"}}, {{Field: "c"}}}
		send := func(seed uint64) *fakeServer {
			s := newServer(shortDelay, fullCoverage)
			p := parameters()
			p.Seed = seed
			_, err := load.Run(t.Context(), load.Options{Parameters: p, Servers: []load.Searcher{s}, Conditions: conditions})
			require.NoError(t, err)
			return s
		}
		first, again, other := send(7), send(7), send(8)
		require.Equal(t, first.receivedAt, again.receivedAt)
		require.NotEqual(t, first.receivedAt, other.receivedAt)
		seen := map[string]bool{}
		for i, r := range first.requests {
			require.True(t, proto.Equal(r.Conditions[0], again.requests[i].Conditions[0]))
			require.False(t, seen[r.RequestId])
			seen[r.RequestId] = true
		}
		// The expected number of arrivals is 2000; 224 is five standard deviations.
		require.InDelta(t, 2000, len(first.requests), 224)
	})
}

func TestCountsMatchResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply := func(since time.Duration) (*pb.SearchResponse, error) {
			response, _ := fullCoverage(since)
			switch since / (5 * time.Second) {
			case 0:
				return response, nil
			case 1:
				response.Outcome = pb.Outcome_OUTCOME_PARTIAL
				response.Coverage.Covered = 3
				response.Coverage.Missing = []*pb.MissingPartition{{Reason: pb.MissingReason_MISSING_REASON_DEADLINE}}
				return response, nil
			case 2:
				return &pb.SearchResponse{Outcome: pb.Outcome_OUTCOME_NOT_RUN}, nil
			default:
				return nil, errors.New("connection refused")
			}
		}
		one, two := newServer(shortDelay, reply), newServer(shortDelay, reply)
		result := runLoad(t, parameters(), one, two)
		c := result.Counts
		require.Equal(t, uint64(len(one.receivedAt)+len(two.receivedAt)), c.Intended)
		require.InDelta(t, len(one.receivedAt), len(two.receivedAt), 1)
		require.Equal(t, c.Intended, c.Success+c.Partial+c.NotRun+c.Failed)
		require.Equal(t, 4*(c.Success+c.Partial), c.PartitionsTotal)
		require.Equal(t, 4*c.Success+3*c.Partial, c.PartitionsCovered)
		require.InDelta(t, 5, load.ExtraPercent(c), 0.001)
		require.Equal(t, c.Partial, result.Missing[0].Partitions)
		require.Equal(t, c.Failed, result.Failures[0].Requests)
		require.Equal(t, c.Intended-c.NotRun, result.Latency.Count)
		var sum uint64
		for _, interval := range result.Intervals {
			sum += interval.Counts.Intended
		}
		require.Equal(t, c.Intended, sum)
	})
}

// A run ends although the server never answers, and its result accounts for every
// request.
func TestRunEndsWhenTheServerNeverAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		never := func(time.Duration) time.Duration { return 24 * time.Hour }
		p := parameters()
		p.MaxRunning = 10
		start := time.Now()
		result := runLoad(t, p, newServer(never, fullCoverage))
		require.LessOrEqual(t, time.Since(start), 25*time.Second+time.Millisecond)
		require.NotZero(t, result.Counts.NotSent)
		require.Equal(t, result.Counts.Intended, result.Counts.Failed+result.Counts.NotSent)
		require.Equal(t, result.Counts.Intended, result.Latency.Count)
	})
}

func TestCanceledRunIsReportedAsInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var progress bytes.Buffer
		result, err := load.Run(ctx, load.Options{
			Parameters: parameters(), Servers: []load.Searcher{newServer(shortDelay, fullCoverage)}, Progress: &progress,
		})
		require.NoError(t, err)
		require.True(t, result.Interrupted)
		require.NotZero(t, result.Counts.NotSent)
		require.Contains(t, progress.String(), "coverage 100.00 %")
		require.Equal(t, pb.Outcome_OUTCOME_PARTIAL, load.Report(result, time.Now()).Closing.Outcome)
	})
}

func TestInvalidParametersAreRejected(t *testing.T) {
	for _, change := range []func(*pb.LoadParameters){
		func(p *pb.LoadParameters) { p.Rate = 0 },
		func(p *pb.LoadParameters) { p.DurationMs = 0 },
		func(p *pb.LoadParameters) { p.DurationMs = 3_600_001 },
		func(p *pb.LoadParameters) { p.Rate = 1e9 },
		func(p *pb.LoadParameters) { p.MaxRunning = 0 },
		func(p *pb.LoadParameters) { p.IntervalMs = 0 },
	} {
		p := parameters()
		change(p)
		_, err := load.Run(t.Context(), load.Options{Parameters: p, Servers: []load.Searcher{newServer(shortDelay, fullCoverage)}})
		var invalid *load.InvalidError
		require.ErrorAs(t, err, &invalid)
	}
	_, err := load.Run(t.Context(), load.Options{Parameters: parameters()})
	require.Error(t, err)
}

func TestResultFilesPlotsAndComparison(t *testing.T) {
	directory := t.TempDir()
	var result *pb.LoadResult
	synctest.Test(t, func(t *testing.T) {
		result = runLoad(t, parameters(), newServer(shortDelay, fullCoverage))
	})
	events := filepath.Join(directory, "events")
	started := time.UnixMilli(result.StartedUnixMs)
	moment := started.Add(3 * time.Second).UTC().Format(time.RFC3339Nano)
	require.NoError(t, os.WriteFile(events, []byte("# faults\n\n1.5s kill vm-a-1\n"+moment+" bring back b\n"), 0o600))
	var err error
	result.Events, err = load.ReadEvents(events, started)
	require.NoError(t, err)
	require.Equal(t, int64(1500), result.Events[0].OffsetMs)
	require.Equal(t, int64(3000), result.Events[1].OffsetMs)

	name := filepath.Join(directory, "result.json")
	require.NoError(t, load.WriteFile(name, result))
	read, err := load.ReadFile(name)
	require.NoError(t, err)
	require.True(t, proto.Equal(result, read))

	var svg, png bytes.Buffer
	require.NoError(t, load.WritePlot(&svg, "x.svg", result))
	for _, part := range []string{"p99.9", "kill vm-a-1", "bring back b", "coverage", "extra"} {
		require.Contains(t, svg.String(), part)
	}
	require.NoError(t, load.WritePlot(&png, "x.png", result))
	require.True(t, bytes.HasPrefix(png.Bytes(), []byte("\x89PNG")))
	require.Error(t, load.WritePlot(&png, "x.gif", result))

	slower := proto.CloneOf(result)
	slower.Latency.P99Us = 2 * result.Latency.P99Us
	slower.Parameters.Seed++
	var table bytes.Buffer
	require.NoError(t, report.Write(&table, load.Compare(result, slower, started), report.FormatReport))
	require.Regexp(t, `latency p99, ms .* 2\.000\n`, table.String())
	require.Contains(t, table.String(), "THE RUNS HAD DIFFERENT LOADS")
}

func TestSampledConditionsMatchTheirRows(t *testing.T) {
	rows := []*pb.Row{
		{Fields: []*pb.Field{{Name: "name", Value: "Żółw, Jan"}, {Name: "parish", Value: "Ut"}}},
		{},
	}
	conditions := load.SampleConditions(3, rows)
	require.Equal(t, conditions, load.SampleConditions(3, rows))
	require.NotEmpty(t, conditions)
	for _, alternative := range conditions {
		require.Contains(t, []string{"Żółw, Jan", "Żół", "Ut"}, alternative[0].Value)
	}
}
