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

// maxTraceLine bounds the length of one line of a trace, in bytes.
const maxTraceLine = 1 << 20

// ErrMalformedTrace means that a trace cannot be read or replayed.
var ErrMalformedTrace = errors.New("malformed trace")

// Divergence is the first event of a trace that leads to other decisions than
// the recorded ones.
type Divergence struct {
	// Line counts from one.
	Line   int
	Target string
	Event  *pb.OwnerEvent
	Want   []*pb.OwnerDecision
	Got    []*pb.OwnerDecision
}

// Error describes the event and both lists of decisions.
func (d *Divergence) Error() string {
	return fmt.Sprintf("line %d, target %s: event %v: recorded %v, replayed %v", d.Line, d.Target, d.Event, d.Want, d.Got)
}

// Replay passes a recorded trace through fresh machines and compares their
// decisions with the recorded ones. It returns the number of events replayed,
// and a *Divergence or ErrMalformedTrace.
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
			return events, errors.Wrapf(ErrMalformedTrace, "line %d: no start or no event", number)
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
