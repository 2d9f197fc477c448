package owner

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxTraceLine is the maximum length of a trace line in bytes.
const maxTraceLine = 1 << 20

// ErrMalformedTrace means that a trace cannot be read or replayed.
var ErrMalformedTrace = errors.New("malformed trace")

// Divergence reports the first event of a trace whose replayed decisions differ from the recorded ones.
type Divergence struct {
	// Line is the line number, starting at 1.
	Line   int
	Target string
	Event  *pb.OwnerEvent
	Want   []*pb.OwnerDecision
	Got    []*pb.OwnerDecision
}

// Error returns the event with the recorded and the replayed decisions.
func (d *Divergence) Error() string {
	return fmt.Sprintf("line %d, target %s: event %v: recorded %v, replayed %v", d.Line, d.Target, d.Event, d.Want, d.Got)
}

// Replay replays a recorded trace with new machines and compares their decisions with the recorded ones. It
// returns the number of replayed events. The error is a *Divergence or wraps ErrMalformedTrace.
func Replay(trace io.Reader) (int, error) {
	machines := map[string]*Machine{}
	lines := bufio.NewScanner(trace)
	lines.Buffer(nil, maxTraceLine)
	events := 0
	for number := 1; lines.Scan(); number++ {
		var entry pb.OwnerTraceEntry
		if err := protojson.Unmarshal(lines.Bytes(), &entry); err != nil {
			return events, errors.Wrapf(ErrMalformedTrace, "line %d: %v", number, err)
		}
		if entry.Start != nil {
			machines[entry.Target] = NewMachine(limitsFrom(entry.Start.Limits), time.Duration(entry.Start.GuardNs))
			continue
		}
		machine, ok := machines[entry.Target]
		if !ok || entry.Event == nil {
			return events, errors.Wrapf(ErrMalformedTrace, "line %d: entry has no event or its target has no start entry", number)
		}
		events++
		got := decisionMessages(machine.Step(eventFrom(entry.Event)))
		if !sameDecisions(entry.Decisions, got) {
			return events, &Divergence{
				Line: number, Target: entry.Target, Event: entry.Event, Want: entry.Decisions, Got: got,
			}
		}
	}
	if err := lines.Err(); err != nil {
		return events, errors.Wrap(ErrMalformedTrace, err.Error())
	}
	return events, nil
}

func sameDecisions(a, b []*pb.OwnerDecision) bool {
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
