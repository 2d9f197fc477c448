package trace

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// maxLineBytes is the maximum length of a trace line.
const maxLineBytes = 64 << 20

// Divergence is an event whose replayed actions differ from the recorded ones.
type Divergence struct {
	// Line is the line number, starting at 1.
	Line     int
	Event    *pb.CoordinatorTraceEvent
	Recorded *pb.CoordinatorTraceDecided
	Got      *pb.CoordinatorTraceDecided
}

// String formats the event, the recorded actions and the replayed actions.
func (d *Divergence) String() string {
	event := proto.CloneOf(d.Event)
	event.Decided = nil
	return fmt.Sprintf("line %d: event %s\n  recorded: %s\n  got:      %s",
		d.Line, protojson.Format(event), protojson.Format(d.Recorded), protojson.Format(d.Got))
}

// Summary holds the totals of a replay.
type Summary struct {
	Events   int
	Searches int
	Answers  int
	// Outcomes counts the answers by outcome.
	Outcomes map[pb.Outcome]int
	Restarts int
}

// Replay feeds the events of a trace to new machines. It returns the first divergence,
// or nil when all actions match the recorded ones. It returns an error when the trace
// cannot be read.
func Replay(in io.Reader) (Summary, *Divergence, error) {
	r := &replayer{shared: search.NewSharedState(), machines: map[uint64]*search.Machine{}}
	r.summary.Outcomes = map[pb.Outcome]int{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		r.line++
		if len(lines.Bytes()) == 0 {
			continue
		}
		message := &pb.CoordinatorTraceLine{}
		if err := protojson.Unmarshal(lines.Bytes(), message); err != nil {
			return r.summary, nil, errors.Wrapf(err, "line %d", r.line)
		}
		divergence, err := r.handleLine(message)
		if err != nil {
			return r.summary, nil, errors.Wrapf(err, "line %d", r.line)
		}
		if divergence != nil {
			return r.summary, divergence, nil
		}
	}
	return r.summary, nil, errors.Wrap(lines.Err(), "reading the trace")
}

// replayer is the state of a replay.
type replayer struct {
	line     int
	policy   search.Policy
	view     *view.View
	shared   *search.SharedState
	machines map[uint64]*search.Machine
	summary  Summary
}

func (r *replayer) handleLine(message *pb.CoordinatorTraceLine) (*Divergence, error) {
	switch line := message.Line.(type) {
	case *pb.CoordinatorTraceLine_Header:
		var err error
		r.policy, err = parsePolicy(line.Header)
		return nil, err
	case *pb.CoordinatorTraceLine_View:
		r.view = buildView(line.View)
		return nil, nil
	case *pb.CoordinatorTraceLine_Event:
		return r.applyEvent(line.Event)
	default:
		return nil, errors.New("unknown trace line type")
	}
}

func (r *replayer) applyEvent(m *pb.CoordinatorTraceEvent) (*Divergence, error) {
	if r.view == nil {
		return nil, errors.New("event before the first view")
	}
	if start := m.GetStart(); start != nil {
		r.summary.Searches++
		r.machines[m.Search] = search.New(r.shared, r.parseInput(start))
	}
	machine, ok := r.machines[m.Search]
	if !ok {
		return nil, errors.Errorf("search %d has not started", m.Search)
	}
	r.summary.Events++
	actions := machine.Apply(search.Environment{
		Now:     time.Unix(0, m.AtUnixNs),
		View:    r.view,
		Verdict: search.Verdict(m.Verdict - 1),
	}, parseEvent(m))
	r.summary.Restarts += actions.Counts.Restarts
	if actions.Answer != nil {
		r.summary.Answers++
		r.summary.Outcomes[actions.Answer.Outcome]++
		delete(r.machines, m.Search)
	}
	got := actionsMessage(actions)
	if !proto.Equal(got, m.Decided) {
		return &Divergence{Line: r.line, Event: m, Recorded: m.Decided, Got: got}, nil
	}
	return nil, nil
}

func (r *replayer) parseInput(start *pb.CoordinatorTraceStart) search.Input {
	return search.Input{
		Request:  start.Request,
		Digest:   start.Digest,
		Received: time.Unix(0, start.ReceivedUnixNs),
		Deadline: time.Unix(0, start.DeadlineUnixNs),
		Policy:   r.policy,
	}
}
