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

// searchModel runs several searches with one SharedState against targets whose replies,
// snapshots and configuration are drawn by rapid.
type searchModel struct {
	t        *rapid.T
	shape    shape
	config   *pb.Configuration
	view     *view.View
	now      time.Time
	shared   *search.SharedState
	held     map[string][]uint64
	searches []*modelSearch
	// delivered holds replies that were delivered before.
	delivered []*pb.SubReply

	extraSends int
}

type modelSearch struct {
	machine  *search.Machine
	in       search.Input
	pinned   map[uint64]*pb.Snapshot
	pending  []search.Send
	wakeAt   time.Time
	answer   *pb.SearchResponse
	sent     int
	lastSent uint64
}

func newSearchModel(t *rapid.T) *searchModel {
	s := shape{
		services:   rapid.IntRange(1, 4).Draw(t, "services"),
		replicas:   rapid.IntRange(1, 4).Draw(t, "replicas"),
		partitions: rapid.IntRange(1, 3).Draw(t, "partitions"),
		slots:      2,
		snapshots:  []uint64{1, 2, 3},
	}
	w := &searchModel{t: t, shape: s, config: configuration(s), now: simStart, shared: search.NewSharedState(), held: map[string][]uint64{}}
	for i := range s.services {
		for r := range s.replicas {
			w.held[targetName(i, r)] = []uint64{1, 2, 3}
		}
	}
	w.view = viewOf(w.config, 0)
	return w
}

func (w *searchModel) start() {
	r := request(fmt.Sprintf("r%d", len(w.searches)))
	r.RowLimit = uint32(rapid.SampledFrom([]int{3, 1000}).Draw(w.t, "limit"))
	in := search.Input{
		Request: r, Digest: coordinator.Digest(r), Received: w.now, Deadline: w.now.Add(140 * time.Millisecond),
		Policy: search.Policy{Hedging: true},
	}
	run := &modelSearch{machine: search.New(w.shared, in), in: in, pinned: map[uint64]*pb.Snapshot{}}
	w.searches = append(w.searches, run)
	w.apply(run, search.Event{Kind: search.Started})
}

func (w *searchModel) apply(run *modelSearch, e search.Event) {
	for _, snapshot := range w.config.Fronts[0].Snapshots {
		run.pinned[snapshot.Version] = snapshot
	}
	verdict := search.Clear
	if rapid.IntRange(0, 20).Draw(w.t, "verdict") == 0 {
		verdict = search.Verdict(rapid.IntRange(0, 3).Draw(w.t, "which"))
	}
	actions := run.machine.Apply(search.Environment{Now: w.now, View: w.view, Verdict: verdict}, e)
	for _, send := range actions.Sends {
		w.checkSend(run, send)
	}
	run.pending = append(run.pending, actions.Sends...)
	for _, id := range actions.Cancel {
		require.LessOrEqual(w.t, id, run.lastSent, "cancellation of an attempt that was never sent")
	}
	if !actions.WakeAt.IsZero() {
		require.False(w.t, actions.WakeAt.After(run.in.Deadline), "timer later than the deadline")
		run.wakeAt = actions.WakeAt
	}
	if actions.Answer != nil {
		require.Nil(w.t, run.answer, "a second answer")
		run.answer = actions.Answer
		w.checkAnswer(run)
	}
}

func (w *searchModel) checkSend(run *modelSearch, send search.Send) {
	require.Nil(w.t, run.answer, "a send after the answer")
	require.True(w.t, w.view.InService(send.Request.Target), "a send to a target that was taken out")
	require.False(w.t, w.view.Paused, "a send while paused")
	require.Equal(w.t, run.lastSent+1, send.Request.Attempt)
	require.Less(w.t, time.Duration(send.Request.RemainingUs)*time.Microsecond, run.in.Deadline.Sub(w.now)+1)
	run.lastSent++
	run.sent++
	if send.Kind.Extra() {
		w.extraSends++
		require.True(w.t, send.Request.Extra)
	}
}

// checkAnswer compares the answer with the expected rows: each partition of the pinned
// map is either missing, once and with a reason, or has all its rows.
func (w *searchModel) checkAnswer(run *modelSearch) {
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
	require.Equal(w.t, expected[:shown:shown], append([]string(nil), versionedRowIDs(answer.Rows)...))
}

func rowIDs(service, partition string, snapshot uint64) []string {
	send := &pb.SubRequest{Service: service, Partitions: []string{partition}, Snapshot: snapshot}
	return versionedRowIDs(goodReply(send).Results[0].Rows)
}

func versionedRowIDs(rows []*pb.Row) []string {
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, fmt.Sprintf("%s@%d", row.RecordId, row.Snapshot))
	}
	return ids
}

// endAttempt ends a random pending attempt with a random reply or fault.
func (w *searchModel) endAttempt() {
	run := w.drawSearch()
	if run == nil || len(run.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(run.pending)-1).Draw(w.t, "attempt")
	send := run.pending[i]
	run.pending = slices.Delete(run.pending, i, i+1)
	reply, err := w.replyTo(send.Request)
	if reply != nil {
		w.delivered = append(w.delivered, reply)
	}
	w.apply(run, search.Event{Kind: search.AttemptEnded, Attempt: send.Request.Attempt, Reply: reply, Err: err})
}

func (w *searchModel) replyTo(r *pb.SubRequest) (*pb.SubReply, error) {
	if !slices.Contains(w.held[r.Target], r.Snapshot) {
		return goneReply(r, w.held[r.Target]...), nil
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
		if reply := w.misdirectedReply(r); reply != nil {
			return reply, nil
		}
	case 8:
		hint := statusReply(r, pb.SubStatus_SUB_STATUS_NOT_OWNER)
		hint.OwnerHint = fmt.Sprintf("vm-%d", rapid.IntRange(0, 9).Draw(w.t, "hint"))
		return hint, nil
	}
	return reply, nil
}

// misdirectedReply returns a reply to another attempt, preferably one with the same
// number or at the same target, or nil when there is none.
func (w *searchModel) misdirectedReply(r *pb.SubRequest) *pb.SubReply {
	if len(w.delivered) == 0 {
		return nil
	}
	similar := make([]*pb.SubReply, 0, len(w.delivered))
	for _, reply := range w.delivered {
		if reply.Target == r.Target || reply.Attempt == r.Attempt {
			similar = append(similar, reply)
		}
	}
	if len(similar) == 0 {
		similar = w.delivered
	}
	return rapid.SampledFrom(similar).Draw(w.t, "crossed")
}

// redeliver delivers an earlier reply again, to a random attempt.
func (w *searchModel) redeliver() {
	run := w.drawSearch()
	if run == nil || len(w.delivered) == 0 {
		return
	}
	reply := rapid.SampledFrom(w.delivered).Draw(w.t, "repeated")
	attempt := rapid.Uint64Range(0, run.lastSent+1).Draw(w.t, "to")
	for i, send := range run.pending {
		if send.Request.Attempt == attempt {
			run.pending = slices.Delete(run.pending, i, i+1)
			break
		}
	}
	w.apply(run, search.Event{Kind: search.AttemptEnded, Attempt: attempt, Reply: reply})
}

// advanceTime advances by a random step, at most to the next timer, and fires timers
// that are due.
func (w *searchModel) advanceTime() {
	next := time.Time{}
	for _, run := range w.searches {
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
	for _, run := range w.searches {
		if run.answer == nil && !run.wakeAt.After(w.now) {
			w.apply(run, search.Event{Kind: search.TimerFired})
		}
	}
}

// reconfigure takes a failure domain or target out of service, returns it to service,
// or changes the snapshots.
func (w *searchModel) reconfigure() {
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

// changeHeldSnapshots changes which snapshots a random target holds.
func (w *searchModel) changeHeldSnapshots() {
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

func (w *searchModel) drawSearch() *modelSearch {
	if len(w.searches) == 0 {
		return nil
	}
	run := w.searches[rapid.IntRange(0, len(w.searches)-1).Draw(w.t, "run")]
	if run.answer != nil && rapid.IntRange(0, 3).Draw(w.t, "late") > 0 {
		for _, other := range w.searches {
			if other.answer == nil {
				return other
			}
		}
	}
	return run
}

// Under any interleaving of late, misdirected, truncated and duplicated replies,
// version changes, partition splits and configuration changes: every row has the
// pinned version, each partition counts once, the coverage matches the rows, nothing
// is sent to a target that was taken out, there is exactly one answer by the deadline,
// and the extra load stays within the budget.
func TestAnswersAreCorrectUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSearchModel(t)
		const searches = 8
		for len(w.searches) < searches || slices.ContainsFunc(w.searches, func(r *modelSearch) bool { return r.answer == nil }) {
			switch n := rapid.IntRange(0, 29).Draw(t, "step"); {
			case n < 3 && len(w.searches) < searches:
				w.start()
			case n < 14:
				w.endAttempt()
			case n < 25:
				w.advanceTime()
			case n < 27:
				w.redeliver()
			case n < 28:
				w.reconfigure()
			default:
				w.changeHeldSnapshots()
			}
		}
		config := budget.Config{SharePercent: 5, Services: w.shape.services}
		spent, successes := w.shared.Budgets.Front(frontName, config).Totals()
		require.EqualValues(t, w.extraSends, spent)
		require.LessOrEqual(t, float64(w.extraSends), 0.045*float64(successes)+config.Burst())
	})
}
