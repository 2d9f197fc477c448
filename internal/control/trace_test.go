package control

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// record makes the tests rewrite the stored traces. The expected outcomes next to them are written by hand.
var record = flag.Bool("record", false, "write the traces under testdata/traces")

const traceDirectory = "../../testdata/traces"

// describeOutcome describes the view that a step published, or returns last if it published none.
func describeOutcome(step *pb.ControlTraceStep, last string) string {
	for _, decision := range step.Decisions {
		p := decision.GetPublish()
		if p == nil {
			continue
		}
		last = fmt.Sprintf("revision %d", p.Revision)
		if p.Paused {
			last += ", paused"
		}
		if p.OwnsNothing {
			last += ", owns nothing"
		}
		if p.Stopping {
			last += ", stopping"
		}
	}
	return last
}

// Each stored trace must replay to its recorded decisions and publish the states listed in its outcome
// file, in that order.
func TestStoredTracesReplayToExpectedOutcomes(t *testing.T) {
	traces, err := filepath.Glob(filepath.Join(traceDirectory, "control-*.jsonl"))
	require.NoError(t, err)
	require.NotEmpty(t, traces)
	for _, path := range traces {
		trace, err := os.ReadFile(path)
		require.NoError(t, err)
		expected, err := os.ReadFile(strings.TrimSuffix(path, ".jsonl") + ".outcome")
		require.NoError(t, err)
		var published []string
		last := ""
		events, err := Replay(bytes.NewReader(trace), func(step *pb.ControlTraceStep) {
			if now := describeOutcome(step, last); now != last {
				last = now
				published = append(published, now)
			}
		})
		require.NoError(t, err, path)
		require.Greater(t, events, 100, path)
		require.Equal(t, strings.TrimSpace(string(expected)), strings.Join(published, "\n"), path)
	}
}

func TestReplayReportsFirstDivergingEvent(t *testing.T) {
	var trace bytes.Buffer
	s := newDeployment(1, 2)
	s.write(testConfiguration(1, "first"))
	s.recordTrace("vm-0-000", &trace)
	s.run(3 * time.Second)
	lines := strings.SplitAfter(trace.String(), "\n")
	_, err := Replay(strings.NewReader(strings.Join(lines, "")), nil)
	require.NoError(t, err)
	step := &pb.ControlTraceStep{}
	require.NoError(t, protojson.Unmarshal([]byte(lines[20]), step))
	step.Decisions = append(step.Decisions, &pb.ControlDecision{})
	altered, err := protojson.Marshal(step)
	require.NoError(t, err)
	lines[20] = string(altered) + "\n"
	_, err = Replay(strings.NewReader(strings.Join(lines, "")), nil)
	var divergence *DivergenceError
	require.ErrorAs(t, err, &divergence)
	require.Equal(t, 21, divergence.Line)
	require.Contains(t, err.Error(), "replay diverges at line 21")
	for _, bad := range []string{"", "{", lines[0] + "{"} {
		_, err = Replay(strings.NewReader(bad), nil)
		require.ErrorIs(t, err, ErrTrace)
	}
}

// recordTrace records the trace of a simulated VM. It must be called before the VM processes its first
// event.
func (s *simulation) recordTrace(name string, trace *bytes.Buffer) {
	vm := s.vms[name]
	recorder := newRecorder(trace, vm.header, zerolog.Nop())
	vm.onStep = recorder.record
}

func saveTrace(t *testing.T, name string, trace []byte) {
	t.Helper()
	if *record {
		require.NoError(t, os.WriteFile(filepath.Join(traceDirectory, name), trace, 0o644))
	}
}

// Records a VM whose failure domain is partitioned while a revision is accepted, and later reconnects.
func TestRecordPartition(t *testing.T) {
	var trace bytes.Buffer
	s := newDeployment(3, 2)
	s.write(testConfiguration(3, "first"))
	s.recordTrace("vm-1-000", &trace)
	s.run(4 * time.Second)
	s.partitioned = isolate("domain-1")
	s.write(testConfiguration(3, "second"))
	s.run(6 * time.Second)
	s.partitioned = func(_, _ string) bool { return false }
	s.run(3 * time.Second)
	require.Equal(t, uint64(2), s.vms["vm-1-000"].machine.revision())
	saveTrace(t, "control-cut.jsonl", trace.Bytes())
}

// Records a VM that is frozen while its failure domain is taken out of service, and that leaves at the end.
// It runs a Control instead of the simulation.
func TestRecordFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, "0a", "0b", "1a")
		time.Sleep(2 * time.Second)
		s.apply(s.controls[0], "first", 0)
		time.Sleep(time.Second)
		s.freezers[0].freeze()
		time.Sleep(3 * time.Second)
		s.controls[2].SetServingState(s.ctx, &pb.SetServingStateRequest{FailureDomain: "domain-0", State: takenOut, Author: "test"})
		time.Sleep(time.Second)
		s.freezers[0].thaw()
		time.Sleep(4 * time.Second)
		require.Equal(t, uint64(2), s.controls[0].Current().Revision())
		require.NoError(t, s.controls[0].Leave(s.ctx))
		s.stop()
		saveTrace(t, "control-freeze.jsonl", s.freezers[0].out)
	})
}
