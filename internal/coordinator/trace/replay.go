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

// longestLine bounds one line of a trace, in bytes.
const longestLine = 64 << 20

// Divergence is the first event whose outcome differs from the one stated.
type Divergence struct {
	// Line counts from one.
	Line   int
	Event  *pb.CoordinatorTraceEvent
	Stated *pb.CoordinatorTraceDecided
	Got    *pb.CoordinatorTraceDecided
}

// String shows the event and both outcomes.
func (d *Divergence) String() string {
	event := proto.CloneOf(d.Event)
	event.Decided = nil
	return fmt.Sprintf("line %d: event %s\n  stated: %s\n  got:    %s",
		d.Line, protojson.Format(event), protojson.Format(d.Stated), protojson.Format(d.Got))
}

// Summary tells what a replay ran.
type Summary struct {
	Events   int
	Searches int
	Answers  int
	// Outcomes counts the answers by outcome.
	Outcomes map[pb.Outcome]int
	Restarts int
}

// Replay decides all events of a trace anew. It returns the first divergence, or
// nil when every outcome is as stated. The error states a trace that cannot be
// read.
func Replay(in io.Reader) (Summary, *Divergence, error) {
	p := &player{knowledge: search.NewSharedState(), machines: map[uint64]*search.Machine{}}
	p.summary.Outcomes = map[pb.Outcome]int{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		p.line++
		if len(lines.Bytes()) == 0 {
			continue
		}
		message := &pb.CoordinatorTraceLine{}
		if err := protojson.Unmarshal(lines.Bytes(), message); err != nil {
			return p.summary, nil, errors.Wrapf(err, "line %d", p.line)
		}
		divergence, err := p.take(message)
		if err != nil {
			return p.summary, nil, errors.Wrapf(err, "line %d", p.line)
		}
		if divergence != nil {
			return p.summary, divergence, nil
		}
	}
	return p.summary, nil, errors.Wrap(lines.Err(), "reading the trace")
}

// player is the state of a replay.
type player struct {
	line      int
	policy    search.Policy
	view      *view.View
	knowledge *search.SharedState
	machines  map[uint64]*search.Machine
	summary   Summary
}

func (p *player) take(message *pb.CoordinatorTraceLine) (*Divergence, error) {
	switch line := message.Line.(type) {
	case *pb.CoordinatorTraceLine_Header:
		var err error
		p.policy, err = policy(line.Header)
		return nil, err
	case *pb.CoordinatorTraceLine_View:
		p.view = buildView(line.View)
		return nil, nil
	case *pb.CoordinatorTraceLine_Event:
		return p.event(line.Event)
	default:
		return nil, errors.New("the line holds nothing known")
	}
}

func (p *player) event(m *pb.CoordinatorTraceEvent) (*Divergence, error) {
	if p.view == nil {
		return nil, errors.New("an event stands before the first view")
	}
	if start := m.GetStart(); start != nil {
		p.summary.Searches++
		p.machines[m.Search] = search.New(p.knowledge, p.input(start))
	}
	machine, ok := p.machines[m.Search]
	if !ok {
		return nil, errors.Errorf("search %d has not started", m.Search)
	}
	p.summary.Events++
	actions := machine.Apply(search.Context{
		Now:     time.Unix(0, m.AtUnixNs),
		View:    p.view,
		Verdict: search.Verdict(m.Verdict - 1),
	}, event(m))
	p.summary.Restarts += actions.Counts.Restarts
	if actions.Answer != nil {
		p.summary.Answers++
		p.summary.Outcomes[actions.Answer.Outcome]++
		delete(p.machines, m.Search)
	}
	got := decidedMessage(actions)
	if !proto.Equal(got, m.Decided) {
		return &Divergence{Line: p.line, Event: m, Stated: m.Decided, Got: got}, nil
	}
	return nil, nil
}

func (p *player) input(start *pb.CoordinatorTraceStart) search.Input {
	return search.Input{
		Request:  start.Request,
		Digest:   start.Digest,
		Received: time.Unix(0, start.ReceivedUnixNs),
		Deadline: time.Unix(0, start.DeadlineUnixNs),
		Policy:   p.policy,
	}
}
