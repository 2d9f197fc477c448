package owner

import (
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// traceWriter records the events and decisions of machines as JSON lines. A nil *traceWriter records nothing.
// It is safe for concurrent use.
type traceWriter struct {
	mu     sync.Mutex
	writer io.Writer
	failed bool
}

// begin records the creation of a target's machine.
func (t *traceWriter) begin(target string, limits Limits, guard time.Duration) {
	if t == nil {
		return
	}
	t.write(&pb.OwnerTraceEntry{
		Target: target,
		Start:  &pb.OwnerTraceStart{Limits: limitsMessage(limits), GuardNs: int64(guard)},
	})
}

// step records an event and the decisions it led to.
func (t *traceWriter) step(target string, e Event, decisions []Decision) {
	if t == nil {
		return
	}
	t.write(&pb.OwnerTraceEntry{Target: target, Event: eventMessage(e), Decisions: decisionMessages(decisions)})
}

// write appends one line. After the first failure it writes nothing more, so that the trace has no gaps.
func (t *traceWriter) write(entry *pb.OwnerTraceEntry) {
	line, err := protojson.Marshal(entry)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || t.failed {
		t.failed = true
		return
	}
	_, err = t.writer.Write(append(line, '\n'))
	t.failed = err != nil
}

func limitsMessage(l Limits) *pb.OwnerTraceLimits {
	return &pb.OwnerTraceLimits{
		Slots: uint32(l.Slots), Cold: uint32(l.ColdLimit), Queue: uint32(l.QueueLength), InService: l.InService,
		ColdDurationNs: int64(l.ColdDuration),
	}
}

func limitsFrom(m *pb.OwnerTraceLimits) Limits {
	return Limits{
		Slots: int(m.GetSlots()), ColdLimit: int(m.GetCold()), QueueLength: int(m.GetQueue()), InService: m.GetInService(),
		ColdDuration: time.Duration(m.GetColdDurationNs()),
	}
}

// eventMessage converts an event to its message. The protobuf enums have the same values as the Go constants.
func eventMessage(e Event) *pb.OwnerEvent {
	m := &pb.OwnerEvent{
		Kind:       pb.OwnerEventKind(e.Kind),
		AtNs:       int64(e.At),
		Job:        uint64(e.Job),
		DeadlineNs: int64(e.Deadline),
		Exclusive:  e.Exclusive,
		Result:     pb.OwnerResult(e.Result),
		TookNs:     int64(e.Duration),
		BootId:     e.BootID,
		Limit:      uint32(e.Limit),
		Running:    uint32(e.Running),
		Draining:   e.Draining,
		GuardNs:    int64(e.Guard),
	}
	if e.Kind == EventConfigure {
		m.Limits = limitsMessage(e.Limits)
	}
	return m
}

func eventFrom(m *pb.OwnerEvent) Event {
	return Event{
		Kind:      EventKind(m.Kind),
		At:        time.Duration(m.AtNs),
		Job:       JobID(m.Job),
		Deadline:  time.Duration(m.DeadlineNs),
		Exclusive: m.Exclusive,
		Result:    Result(m.Result),
		Duration:  time.Duration(m.TookNs),
		BootID:    m.BootId,
		Limits:    limitsFrom(m.Limits),
		Limit:     int(m.Limit),
		Running:   int(m.Running),
		Draining:  m.Draining,
		Guard:     time.Duration(m.GuardNs),
	}
}

func decisionMessages(decisions []Decision) []*pb.OwnerDecision {
	messages := make([]*pb.OwnerDecision, 0, len(decisions))
	for _, d := range decisions {
		m := &pb.OwnerDecision{Kind: pb.OwnerDecisionKind(d.Kind), Job: uint64(d.Job)}
		switch d.Kind {
		case DecideRefuse:
			m.Reason = d.Reason.String()
		case DecidePhase:
			m.Phase, m.Limit = d.Phase.String(), uint32(d.Limit)
		}
		messages = append(messages, m)
	}
	return messages
}
