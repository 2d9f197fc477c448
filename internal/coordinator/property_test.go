package coordinator_test

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/budget"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// world runs several searches that share their knowledge against targets whose
// replies, snapshots and configuration the draws decide.
type world struct {
	t      *rapid.T
	shape  shape
	config *pb.Configuration
	view   *view.View
	now    time.Time
	shared *search.SharedState
	held   map[string][]uint64
	runs   []*worldRun
	// old holds replies that were delivered before.
	old []*pb.SubReply

	extra int
}

type worldRun struct {
	machine  *search.Machine
	in       search.Input
	pinned   map[uint64]*pb.Snapshot
	pending  []search.Send
	wakeAt   time.Time
	answer   *pb.SearchResponse
	sent     int
	lastSent uint64
}

func newWorld(t *rapid.T) *world {
	s := shape{
		services:   rapid.IntRange(1, 4).Draw(t, "services"),
		replicas:   rapid.IntRange(1, 4).Draw(t, "replicas"),
		partitions: rapid.IntRange(1, 3).Draw(t, "partitions"),
		slots:      2,
		snapshots:  []uint64{1, 2, 3},
	}
	w := &world{t: t, shape: s, config: configuration(s), now: simStart, shared: search.NewSharedState(), held: map[string][]uint64{}}
	for i := range s.services {
		for r := range s.replicas {
			w.held[targetName(i, r)] = []uint64{1, 2, 3}
		}
	}
	w.view = viewOf(w.config, 0)
	return w
}

func (w *world) start() {
	r := request(fmt.Sprintf("r%d", len(w.runs)))
	r.RowLimit = uint32(rapid.SampledFrom([]int{3, 1000}).Draw(w.t, "limit"))
	in := search.Input{
		Request: r, Digest: coordinator.Digest(r), Received: w.now, Deadline: w.now.Add(140 * time.Millisecond),
		Policy: search.Policy{Hedging: true},
	}
	run := &worldRun{machine: search.New(w.shared, in), in: in, pinned: map[uint64]*pb.Snapshot{}}
	w.runs = append(w.runs, run)
	w.apply(run, search.Event{Kind: search.Started})
}

func (w *world) apply(run *worldRun, e search.Event) {
	for _, snapshot := range w.config.Fronts[0].Snapshots {
		run.pinned[snapshot.Version] = snapshot
	}
	verdict := search.Clear
	if rapid.IntRange(0, 20).Draw(w.t, "verdict") == 0 {
		verdict = search.Verdict(rapid.IntRange(0, 3).Draw(w.t, "which"))
	}
	actions := run.machine.Apply(search.Context{Now: w.now, View: w.view, Verdict: verdict}, e)
	for _, send := range actions.Sends {
		w.checkSend(run, send)
	}
	run.pending = append(run.pending, actions.Sends...)
	for _, id := range actions.Cancel {
		require.LessOrEqual(w.t, id, run.lastSent, "an attempt is cancelled that was never sent")
	}
	if !actions.WakeAt.IsZero() {
		require.False(w.t, actions.WakeAt.After(run.in.Deadline), "the timer is later than the deadline")
		run.wakeAt = actions.WakeAt
	}
	if actions.Answer != nil {
		require.Nil(w.t, run.answer, "a second answer")
		run.answer = actions.Answer
		w.checkAnswer(run)
	}
}

func (w *world) checkSend(run *worldRun, send search.Send) {
	require.Nil(w.t, run.answer, "a send after the answer")
	require.True(w.t, w.view.InService(send.Request.Target), "a send to a target that was taken out")
	require.False(w.t, w.view.Paused, "a send while paused")
	require.Equal(w.t, run.lastSent+1, send.Request.Attempt)
	require.Less(w.t, time.Duration(send.Request.RemainingUs)*time.Microsecond, run.in.Deadline.Sub(w.now)+1)
	run.lastSent++
	run.sent++
	if send.Kind.Extra() {
		w.extra++
		require.True(w.t, send.Request.Extra)
	}
}

// checkAnswer compares the answer with what the data say: each partition of the
// pinned map is either missing, once and with a reason, or has all its rows.
func (w *world) checkAnswer(run *worldRun) {
	answer := run.answer
	require.Equal(w.t, run.in.Request.RequestId, answer.RequestId)
	require.EqualValues(w.t, run.sent, answer.Subrequests)
	require.False(w.t, w.now.After(run.in.Deadline), "the answer is late")
	if !answer.Coverage.MapKnown {
		require.Equal(w.t, pb.Outcome_OUTCOME_NOT_RUN, answer.Outcome)
		require.Zero(w.t, answer.Subrequests)
		return
	}
	for _, row := range answer.Rows {
		require.Equal(w.t, answer.RequestId, row.Fields[0].Value, "a row of another request")
	}
	missing := map[string]bool{}
	for _, m := range answer.Coverage.Missing {
		name := m.Service + "/" + m.Partition
		require.False(w.t, missing[name], "a partition is missing twice")
		require.NotZero(w.t, m.Reason)
		missing[name] = true
	}
	var expected []string
	total := 0
	for _, entry := range run.pinned[answer.Snapshot].Services {
		for _, partition := range entry.Partitions {
			total++
			if missing[entry.Service+"/"+partition] {
				continue
			}
			expected = append(expected, rowIDs(entry.Service, partition, answer.Snapshot)...)
		}
	}
	require.EqualValues(w.t, total, answer.Coverage.Total)
	require.EqualValues(w.t, total-len(missing), answer.Coverage.Covered)
	require.Equal(w.t, len(missing) == 0, answer.Outcome == pb.Outcome_OUTCOME_SUCCESS)
	slices.Sort(expected)
	shown := min(len(expected), int(run.in.Request.RowLimit))
	require.EqualValues(w.t, len(expected)-shown, answer.RowsBeyondLimit)
	require.Equal(w.t, expected[:shown:shown], append([]string(nil), identities(answer.Rows)...))
}

func rowIDs(service, partition string, snapshot uint64) []string {
	send := &pb.SubRequest{Service: service, Partitions: []string{partition}, Snapshot: snapshot}
	return identities(goodReply(send).Results[0].Rows)
}

func identities(rows []*pb.Row) []string {
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, fmt.Sprintf("%s@%d", row.RecordId, row.Snapshot))
	}
	return ids
}

// answerOne ends one pending attempt, in any order and with any fault.
func (w *world) answerOne() {
	run := w.anyRun()
	if run == nil || len(run.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(run.pending)-1).Draw(w.t, "attempt")
	send := run.pending[i]
	run.pending = slices.Delete(run.pending, i, i+1)
	reply, err := w.replyTo(send.Request)
	if reply != nil {
		w.old = append(w.old, reply)
	}
	w.apply(run, search.Event{Kind: search.Replied, Attempt: send.Request.Attempt, Reply: reply, Err: err})
}

func (w *world) replyTo(r *pb.SubRequest) (*pb.SubReply, error) {
	if !slices.Contains(w.held[r.Target], r.Snapshot) {
		return gone(r, w.held[r.Target]...), nil
	}
	reply := withHeld(goodReply(r), w.held[r.Target]...)
	switch rapid.IntRange(0, 14).Draw(w.t, "fault") {
	case 0:
		return nil, errors.New("connection refused")
	case 1:
		return statusReply(r, pb.SubStatus(rapid.IntRange(0, 8).Draw(w.t, "status"))), nil
	case 2:
		reply.Results[0].Rows = reply.Results[0].Rows[1:]
	case 3:
		reply.Results = reply.Results[1:]
	case 4:
		reply.Results[0].Rows[0].Snapshot++
	case 5:
		reply.Results = append(reply.Results, proto.CloneOf(reply.Results[0]))
	case 6:
		reply.Results[0].Partition = "p0-left"
		reply.Results[0].Rows[0].Partition = "p0-left"
	case 7:
		if reply := w.crossed(r); reply != nil {
			return reply, nil
		}
	case 8:
		hint := statusReply(r, pb.SubStatus_SUB_STATUS_NOT_OWNER)
		hint.OwnerHint = fmt.Sprintf("vm-%d", rapid.IntRange(0, 9).Draw(w.t, "hint"))
		return hint, nil
	}
	return reply, nil
}

// crossed returns a reply that was made for another attempt, if possible one of
// the same number or at the same target.
func (w *world) crossed(r *pb.SubRequest) *pb.SubReply {
	if len(w.old) == 0 {
		return nil
	}
	like := make([]*pb.SubReply, 0, len(w.old))
	for _, reply := range w.old {
		if reply.Target == r.Target || reply.Attempt == r.Attempt {
			like = append(like, reply)
		}
	}
	if len(like) == 0 {
		like = w.old
	}
	return rapid.SampledFrom(like).Draw(w.t, "crossed")
}

// repeat delivers an attempt's reply once more.
func (w *world) repeat() {
	run := w.anyRun()
	if run == nil || len(w.old) == 0 {
		return
	}
	reply := rapid.SampledFrom(w.old).Draw(w.t, "repeated")
	attempt := rapid.Uint64Range(0, run.lastSent+1).Draw(w.t, "to")
	for i, send := range run.pending {
		if send.Request.Attempt == attempt {
			run.pending = slices.Delete(run.pending, i, i+1)
			break
		}
	}
	w.apply(run, search.Event{Kind: search.Replied, Attempt: attempt, Reply: reply})
}

// passTime moves to the next timer, or a little less far.
func (w *world) passTime() {
	next := time.Time{}
	for _, run := range w.runs {
		if run.answer == nil && (next.IsZero() || run.wakeAt.Before(next)) {
			next = run.wakeAt
		}
	}
	step := time.Duration(rapid.IntRange(0, 25000).Draw(w.t, "us")) * time.Microsecond
	if next.IsZero() || w.now.Add(step).Before(next) {
		w.now = w.now.Add(step)
		return
	}
	w.now = next
	for _, run := range w.runs {
		if run.answer == nil && !run.wakeAt.After(w.now) {
			w.apply(run, search.Event{Kind: search.TimerFired})
		}
	}
}

// reconfigure takes a domain or target out or brings it back, or changes the
// snapshots.
func (w *world) reconfigure() {
	w.config = proto.CloneOf(w.config)
	w.config.Revision++
	front := w.config.Fronts[0]
	switch rapid.IntRange(0, 3).Draw(w.t, "change") {
	case 0:
		domain := w.config.FailureDomains[rapid.IntRange(0, 2).Draw(w.t, "domain")]
		domain.State = inService + takenOut - domain.State
	case 1:
		service := front.Services[rapid.IntRange(0, w.shape.services-1).Draw(w.t, "service")]
		target := service.Targets[rapid.IntRange(0, w.shape.replicas-1).Draw(w.t, "replica")]
		target.State = inService + takenOut - target.State
	case 2:
		newest := front.Snapshots[len(front.Snapshots)-1].Version
		front.Snapshots = append(front.Snapshots, snapshotOf(w.shape, newest+1))
	default:
		if len(front.Snapshots) > 1 {
			front.Snapshots = front.Snapshots[1:]
		}
	}
	paused := rapid.IntRange(0, 9).Draw(w.t, "paused") == 0
	w.view = view.Build(view.Input{Self: vms()[0], VMs: vms(), Configuration: w.config, Paused: paused}, nil)
}

// turnVersion lets a target load or drop snapshots.
func (w *world) turnVersion() {
	i := rapid.IntRange(0, w.shape.services-1).Draw(w.t, "service")
	r := rapid.IntRange(0, w.shape.replicas-1).Draw(w.t, "replica")
	newest := w.config.Fronts[0].Snapshots[len(w.config.Fronts[0].Snapshots)-1].Version
	from := rapid.Uint64Range(1, newest).Draw(w.t, "from")
	var held []uint64
	for version := from; version <= newest; version++ {
		held = append(held, version)
	}
	w.held[targetName(i, r)] = held
}

func (w *world) anyRun() *worldRun {
	if len(w.runs) == 0 {
		return nil
	}
	run := w.runs[rapid.IntRange(0, len(w.runs)-1).Draw(w.t, "run")]
	if run.answer != nil && rapid.IntRange(0, 3).Draw(w.t, "late") > 0 {
		for _, other := range w.runs {
			if other.answer == nil {
				return other
			}
		}
	}
	return run
}

// Over any interleaving of late, crossed, truncated and duplicated replies,
// version changes, partition splits and changes of configuration: every row
// carries the pinned version, each partition counts once, the coverage equals
// what the data say, nothing is sent to a target that was taken out, there is one
// answer and it is in time, and the extra load stays within the budget.
func TestAnswersAreTrueUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		const searches = 8
		for len(w.runs) < searches || slices.ContainsFunc(w.runs, func(r *worldRun) bool { return r.answer == nil }) {
			switch n := rapid.IntRange(0, 29).Draw(t, "step"); {
			case n < 3 && len(w.runs) < searches:
				w.start()
			case n < 14:
				w.answerOne()
			case n < 25:
				w.passTime()
			case n < 27:
				w.repeat()
			case n < 28:
				w.reconfigure()
			default:
				w.turnVersion()
			}
		}
		config := budget.Config{SharePercent: 5, Services: w.shape.services}
		spent, successes := w.shared.Budgets.Front(frontName, config).Totals()
		require.EqualValues(t, w.extra, spent)
		require.LessOrEqual(t, float64(w.extra), 0.045*float64(successes)+config.Burst())
	})
}
