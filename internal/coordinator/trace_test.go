package coordinator_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/trace"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

var record = flag.Bool("record", false, "record the traces of TestRecordedTraces anew")

const (
	traceDirectory = "../../testdata/traces"
	replyLatency   = 5 * time.Millisecond
	traceSearches  = 12
)

// scenario is a run whose trace is stored in testdata. The dispatcher gets the time
// since the start of the run.
type scenario struct {
	dispatch func(ctx context.Context, since time.Duration, r *pb.SubRequest) (*pb.SubReply, error)
	// change modifies the configuration after half of the searches; it may be nil.
	change func(*pb.Configuration)
	// success, partial and notRun are the expected numbers of answers by outcome.
	success, partial, notRun int
	restarts                 bool
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"coordinator-straggler": {
			dispatch: func(ctx context.Context, _ time.Duration, r *pb.SubRequest) (*pb.SubReply, error) {
				if r.Target == "s0-r0" || r.Target == "s1-r1" {
					return replyAfter(ctx, 10*replyLatency, r)
				}
				return replyAfter(ctx, replyLatency, r)
			},
			success: traceSearches,
		},
		"coordinator-snapshot-change": {
			dispatch: func(ctx context.Context, since time.Duration, r *pb.SubRequest) (*pb.SubReply, error) {
				if r.Service == "s1" && r.Snapshot == 3 && since < 100*time.Millisecond {
					return goneReply(r, 1), nil
				}
				reply, err := replyAfter(ctx, replyLatency, r)
				if err == nil {
					reply.HeldSnapshots = []uint64{1, 3}
				}
				return reply, err
			},
			success:  traceSearches,
			restarts: true,
		},
		"coordinator-domain-out": {
			dispatch: func(ctx context.Context, since time.Duration, r *pb.SubRequest) (*pb.SubReply, error) {
				if since > 60*time.Millisecond && r.Target[len(r.Target)-1] == '0' {
					return nil, errors.New("no route to host")
				}
				return replyAfter(ctx, replyLatency, r)
			},
			change:  func(c *pb.Configuration) { c.FailureDomains[0].State = takenOut },
			success: traceSearches,
		},
		"coordinator-service-down": {
			dispatch: func(ctx context.Context, _ time.Duration, r *pb.SubRequest) (*pb.SubReply, error) {
				if r.Service == "s2" {
					return statusReply(r, pb.SubStatus_SUB_STATUS_SHED), nil
				}
				return replyAfter(ctx, replyLatency, r)
			},
			partial: traceSearches,
		},
		"coordinator-poison": {
			dispatch: func(_ context.Context, _ time.Duration, r *pb.SubRequest) (*pb.SubReply, error) {
				return statusReply(r, pb.SubStatus_SUB_STATUS_FAILED), nil
			},
			partial: traceSearches,
		},
	}
}

// changingSource is a view.Source whose view changes while searches run.
type changingSource struct {
	mu sync.Mutex
	v  *view.View
}

func (s *changingSource) Current() *view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.v
}

func (s *changingSource) set(v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.v = v
}

// recordScenario runs a scenario in virtual time and returns its trace.
func recordScenario(t *testing.T, s scenario) []byte {
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		views := &changingSource{v: viewOf(configuration(smallShape()), 0)}
		start := time.Now()
		c := coordinator.New(coordinator.Options{
			Views: views,
			Trace: &out,
			Dispatcher: dispatcherFunc(func(ctx context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
				return s.dispatch(ctx, time.Since(start), r)
			}),
		})
		var group sync.WaitGroup
		for i := range traceSearches {
			if i == traceSearches/2 && s.change != nil {
				changed := configuration(smallShape())
				changed.Revision++
				s.change(changed)
				views.set(viewOf(changed, 0))
			}
			group.Go(func() { _, _ = c.Search(t.Context(), request(fmt.Sprintf("r%d", i))) })
			time.Sleep(11 * time.Millisecond)
		}
		group.Wait()
	})
	return out.Bytes()
}

// Stored traces replay to their recorded actions, and the outcomes are those that the
// scenario expects.
func TestRecordedTraces(t *testing.T) {
	for name, s := range scenarios() {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(traceDirectory, name+".jsonl")
			if *record {
				require.NoError(t, os.MkdirAll(traceDirectory, 0o755))
				require.NoError(t, os.WriteFile(path, recordScenario(t, s), 0o644))
			}
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			summary, divergence, err := trace.Replay(bytes.NewReader(data))
			require.NoError(t, err)
			require.Nil(t, divergence, "%s", divergence)
			require.Equal(t, s.success, summary.Outcomes[pb.Outcome_OUTCOME_SUCCESS])
			require.Equal(t, s.partial, summary.Outcomes[pb.Outcome_OUTCOME_PARTIAL])
			require.Equal(t, s.notRun, summary.Outcomes[pb.Outcome_OUTCOME_NOT_RUN])
			require.Equal(t, s.restarts, summary.Restarts > 0)
		})
	}
}

// All stored traces replay, including those without a scenario, which running daemons
// recorded.
func TestEveryCoordinatorTraceReplays(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(traceDirectory, "coordinator-*.jsonl"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		file, err := os.Open(path)
		require.NoError(t, err)
		summary, divergence, err := trace.Replay(file)
		require.NoError(t, file.Close())
		require.NoError(t, err, path)
		require.Nil(t, divergence, "%s: %s", path, divergence)
		require.Positive(t, summary.Answers, path)
	}
}
