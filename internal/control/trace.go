package control

import (
	"bufio"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxTraceLine is the maximum length of a trace line, in bytes.
const maxTraceLine = 64 << 20

// recorder writes a trace. A nil recorder writes nothing. After a failed write, the recorder stops, so
// that a trace never has a gap.
type recorder struct {
	writer io.Writer
	logger zerolog.Logger
	failed bool
}

func newRecorder(w io.Writer, header *pb.ControlTraceHeader, logger zerolog.Logger) *recorder {
	if w == nil {
		return nil
	}
	r := &recorder{writer: w, logger: logger}
	r.write(header)
	return r
}

func (r *recorder) record(event *pb.ControlEvent, decisions []*pb.ControlDecision) {
	if r != nil && !r.failed {
		r.write(&pb.ControlTraceStep{Event: event, Decisions: decisions})
	}
}

func (r *recorder) write(message proto.Message) {
	line, err := protojson.Marshal(message)
	if err == nil {
		_, err = r.writer.Write(append(line, '\n'))
	}
	if err != nil {
		r.failed = true
		r.logger.Error().Err(err).Msg("writing the control trace failed, tracing stopped")
	}
}

// ErrTrace is returned for a trace that cannot be parsed.
var ErrTrace = errors.New("unreadable control trace")

// DivergenceError describes the first event of a trace whose replayed decisions differ from the recorded
// ones.
type DivergenceError struct {
	// Line is the 1-based line number in the trace.
	Line     int
	Event    *pb.ControlEvent
	Recorded []*pb.ControlDecision
	Replayed []*pb.ControlDecision
}

// Error describes the diverging event with its recorded and replayed decisions.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("replay diverges at line %d\nevent: %v\nrecorded: %v\nreplayed: %v", e.Line, e.Event, e.Recorded, e.Replayed)
}

// Replay runs the events of a trace through a new machine and compares the decisions. It returns the number
// of events processed, and a *DivergenceError at the first event whose decisions differ. observe, if not
// nil, is called for each step.
func Replay(trace io.Reader, observe func(*pb.ControlTraceStep)) (int, error) {
	scanner := bufio.NewScanner(trace)
	scanner.Buffer(nil, maxTraceLine)
	header := &pb.ControlTraceHeader{}
	if !scanner.Scan() {
		return 0, errors.Wrap(ErrTrace, "no header")
	}
	if err := protojson.Unmarshal(scanner.Bytes(), header); err != nil {
		return 0, errors.Wrap(ErrTrace, err.Error())
	}
	m := newMachine(header)
	events := 0
	for scanner.Scan() {
		step := &pb.ControlTraceStep{}
		if err := protojson.Unmarshal(scanner.Bytes(), step); err != nil {
			return events, errors.Wrap(ErrTrace, err.Error())
		}
		events++
		replayed := m.step(step.Event)
		if !equalDecisions(step.Decisions, replayed) {
			return events, &DivergenceError{Line: events + 1, Event: step.Event, Recorded: step.Decisions, Replayed: replayed}
		}
		if observe != nil {
			observe(step)
		}
	}
	return events, errors.Wrap(scanner.Err(), "read control trace")
}

func equalDecisions(a, b []*pb.ControlDecision) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !proto.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
