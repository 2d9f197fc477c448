package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// machineScript drives one machine step by step.
type machineScript struct {
	t       *testing.T
	shared  *search.SharedState
	machine *search.Machine
	now     time.Time
	view    *view.View
	verdict search.Verdict
	limit   time.Duration
	// open holds the sends that are neither answered nor cancelled.
	open   []search.Send
	counts search.Counts
	sends  int
	wakeAt time.Time
	answer *pb.SearchResponse
}

func newScript(t *testing.T, s shape) *machineScript {
	return &machineScript{t: t, shared: search.NewSharedState(), now: simStart, view: viewOf(configuration(s), 0), limit: 140 * time.Millisecond}
}

// start starts a search that uses the shared state of earlier ones.
func (s *machineScript) start(r *pb.SearchRequest) {
	s.machine = search.New(s.shared, search.Input{
		Request: r, Digest: coordinator.Digest(r), Received: s.now, Deadline: s.now.Add(s.limit),
		Policy: search.Policy{Hedging: true},
	})
	s.open, s.answer, s.wakeAt, s.sends, s.counts = nil, nil, time.Time{}, 0, search.Counts{}
	s.apply(search.Event{Kind: search.Started})
}

func (s *machineScript) apply(e search.Event) {
	require.Nil(s.t, s.answer, "an event after the answer")
	actions := s.machine.Apply(search.Environment{Now: s.now, View: s.view, Verdict: s.verdict}, e)
	s.open = append(s.open, actions.Sends...)
	for _, id := range actions.Cancel {
		s.remove(id)
	}
	s.sends += len(actions.Sends)
	s.counts.Discarded += actions.Counts.Discarded
	s.counts.Restarts += actions.Counts.Restarts
	s.counts.Hedges += actions.Counts.Hedges
	s.counts.Retries += actions.Counts.Retries
	if !actions.WakeAt.IsZero() {
		s.wakeAt = actions.WakeAt
	}
	s.answer = actions.Answer
}

func (s *machineScript) remove(id uint64) {
	for i, send := range s.open {
		if send.Request.Attempt == id {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// reply answers an open send.
func (s *machineScript) reply(send search.Send, reply *pb.SubReply) {
	s.remove(send.Request.Attempt)
	s.apply(search.Event{Kind: search.AttemptEnded, Attempt: send.Request.Attempt, Reply: reply})
}

func (s *machineScript) fail(send search.Send, err error) {
	s.remove(send.Request.Attempt)
	s.apply(search.Event{Kind: search.AttemptEnded, Attempt: send.Request.Attempt, Err: err})
}

// finish replies to open sends with replyTo until the search ends.
func (s *machineScript) finish(replyTo func(r *pb.SubRequest) *pb.SubReply) {
	for s.answer == nil && len(s.open) > 0 {
		s.now = s.now.Add(100 * time.Microsecond)
		send := s.open[0]
		s.reply(send, replyTo(send.Request))
	}
	require.NotNil(s.t, s.answer)
}

// expire fires timers until the search ends.
func (s *machineScript) expire() {
	for s.answer == nil {
		s.now = s.wakeAt
		s.apply(search.Event{Kind: search.TimerFired})
	}
}

// openSend returns the open send for a service.
func (s *machineScript) openSend(service string) search.Send {
	for _, send := range s.open {
		if send.Request.Service == service {
			return send
		}
	}
	require.Fail(s.t, "no open send to service "+service)
	return search.Send{}
}

// reasons counts the missing partitions of the answer by reason.
func (s *machineScript) reasons() map[pb.MissingReason]int {
	counts := map[pb.MissingReason]int{}
	for _, missing := range s.answer.Coverage.Missing {
		counts[missing.Reason]++
	}
	return counts
}
