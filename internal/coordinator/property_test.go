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
	machine   *search.Machine
	in        search.Input
	snapshots map[uint64]*pb.Snapshot
	pending   []search.Send
	wakeAt    time.Time
	answer    *pb.SearchResponse
	sent      int
	lastSent  uint64
}

func newSearchModel(t *rapid.T) *searchModel {
	s := shape{
		services:   rapid.IntRange(1, 4).Draw(t, "services"),
		replicas:   rapid.IntRange(1, 4).Draw(t, "replicas"),
		partitions: rapid.IntRange(1, 3).Draw(t, "partitions"),
		slots:      2,
		snapshots:  []uint64{1, 2, 3},
	}
	m := &searchModel{t: t, shape: s, config: configuration(s), now: simStart, shared: search.NewSharedState(), held: map[string][]uint64{}}
	for i := range s.services {
		for r := range s.replicas {
			m.held[targetName(i, r)] = []uint64{1, 2, 3}
		}
	}
	m.view = viewOf(m.config, 0)
	return m
}

func (m *searchModel) start() {
	r := request(fmt.Sprintf("r%d", len(m.searches)))
	r.RowLimit = uint32(rapid.SampledFrom([]int{3, 1000}).Draw(m.t, "limit"))
	in := search.Input{
		Request: r, Digest: coordinator.Digest(r), Received: m.now, Deadline: m.now.Add(140 * time.Millisecond),
		Policy: search.Policy{Hedging: true},
	}
	run := &modelSearch{machine: search.New(m.shared, in), in: in, snapshots: map[uint64]*pb.Snapshot{}}
	m.searches = append(m.searches, run)
	m.apply(run, search.Event{Kind: search.Started})
}

func (m *searchModel) apply(run *modelSearch, e search.Event) {
	for _, snapshot := range m.config.Fronts[0].Snapshots {
		run.snapshots[snapshot.Version] = snapshot
	}
	verdict := search.Clear
	if rapid.IntRange(0, 20).Draw(m.t, "verdict") == 0 {
		verdict = search.Verdict(rapid.IntRange(0, 3).Draw(m.t, "which"))
	}
	actions := run.machine.Apply(search.Environment{Now: m.now, View: m.view, Verdict: verdict}, e)
	for _, send := range actions.Sends {
		m.checkSend(run, send)
	}
	run.pending = append(run.pending, actions.Sends...)
	for _, id := range actions.Cancel {
		require.LessOrEqual(m.t, id, run.lastSent, "cancellation of an attempt that was never sent")
	}
	if !actions.WakeAt.IsZero() {
		require.False(m.t, actions.WakeAt.After(run.in.Deadline), "timer later than the deadline")
		run.wakeAt = actions.WakeAt
	}
	if actions.Answer != nil {
		require.Nil(m.t, run.answer, "a second answer")
		run.answer = actions.Answer
		m.checkAnswer(run)
	}
}

func (m *searchModel) checkSend(run *modelSearch, send search.Send) {
	require.Nil(m.t, run.answer, "a send after the answer")
	require.True(m.t, m.view.InService(send.Request.Target), "a send to a target that was taken out")
	require.False(m.t, m.view.Paused, "a send while paused")
	require.Equal(m.t, run.lastSent+1, send.Request.Attempt)
	require.Less(m.t, time.Duration(send.Request.RemainingUs)*time.Microsecond, run.in.Deadline.Sub(m.now)+1)
	run.lastSent++
	run.sent++
	if send.Kind.Extra() {
		m.extraSends++
		require.True(m.t, send.Request.Extra)
	}
}

// checkAnswer compares the answer with the expected rows: each partition of the pinned
// map is either missing, once and with a reason, or has all its rows.
func (m *searchModel) checkAnswer(run *modelSearch) {
	answer := run.answer
	require.Equal(m.t, run.in.Request.RequestId, answer.RequestId)
	require.EqualValues(m.t, run.sent, answer.Subrequests)
	require.False(m.t, m.now.After(run.in.Deadline), "the answer is late")
	if !answer.Coverage.MapKnown {
		require.Equal(m.t, pb.Outcome_OUTCOME_NOT_RUN, answer.Outcome)
		require.Zero(m.t, answer.Subrequests)
		return
	}
	for _, row := range answer.Rows {
		require.Equal(m.t, answer.RequestId, row.Fields[0].Value, "a row of another request")
	}
	missing := map[string]bool{}
	for _, partition := range answer.Coverage.Missing {
		name := partition.Service + "/" + partition.Partition
		require.False(m.t, missing[name], "a partition is missing twice")
		require.NotZero(m.t, partition.Reason)
		missing[name] = true
	}
	var expected []string
	total := 0
	for _, entry := range run.snapshots[answer.Snapshot].Services {
		for _, partition := range entry.Partitions {
			total++
			if missing[entry.Service+"/"+partition] {
				continue
			}
			expected = append(expected, rowIDs(entry.Service, partition, answer.Snapshot)...)
		}
	}
	require.EqualValues(m.t, total, answer.Coverage.Total)
	require.EqualValues(m.t, total-len(missing), answer.Coverage.Covered)
	require.Equal(m.t, len(missing) == 0, answer.Outcome == pb.Outcome_OUTCOME_SUCCESS)
	slices.Sort(expected)
	shown := min(len(expected), int(run.in.Request.RowLimit))
	require.EqualValues(m.t, len(expected)-shown, answer.RowsBeyondLimit)
	require.Equal(m.t, expected[:shown:shown], append([]string(nil), versionedRowIDs(answer.Rows)...))
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
func (m *searchModel) endAttempt() {
	run := m.drawSearch()
	if run == nil || len(run.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(run.pending)-1).Draw(m.t, "attempt")
	send := run.pending[i]
	run.pending = slices.Delete(run.pending, i, i+1)
	reply, err := m.replyTo(send.Request)
	if reply != nil {
		m.delivered = append(m.delivered, reply)
	}
	m.apply(run, search.Event{Kind: search.AttemptEnded, Attempt: send.Request.Attempt, Reply: reply, Err: err})
}

func (m *searchModel) replyTo(r *pb.SubRequest) (*pb.SubReply, error) {
	if !slices.Contains(m.held[r.Target], r.Snapshot) {
		return goneReply(r, m.held[r.Target]...), nil
	}
	reply := withHeld(goodReply(r), m.held[r.Target]...)
	switch rapid.IntRange(0, 14).Draw(m.t, "fault") {
	case 0:
		return nil, errors.New("connection refused")
	case 1:
		return statusReply(r, pb.SubStatus(rapid.IntRange(0, 8).Draw(m.t, "status"))), nil
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
		if reply := m.misdirectedReply(r); reply != nil {
			return reply, nil
		}
	case 8:
		hint := statusReply(r, pb.SubStatus_SUB_STATUS_NOT_OWNER)
		hint.OwnerHint = fmt.Sprintf("vm-%d", rapid.IntRange(0, 9).Draw(m.t, "hint"))
		return hint, nil
	}
	return reply, nil
}

// misdirectedReply returns a reply to another attempt, preferably one with the same
// number or at the same target, or nil when there is none.
func (m *searchModel) misdirectedReply(r *pb.SubRequest) *pb.SubReply {
	if len(m.delivered) == 0 {
		return nil
	}
	similar := make([]*pb.SubReply, 0, len(m.delivered))
	for _, reply := range m.delivered {
		if reply.Target == r.Target || reply.Attempt == r.Attempt {
			similar = append(similar, reply)
		}
	}
	if len(similar) == 0 {
		similar = m.delivered
	}
	return rapid.SampledFrom(similar).Draw(m.t, "crossed")
}

// redeliver delivers an earlier reply again, to a random attempt.
func (m *searchModel) redeliver() {
	run := m.drawSearch()
	if run == nil || len(m.delivered) == 0 {
		return
	}
	reply := rapid.SampledFrom(m.delivered).Draw(m.t, "repeated")
	attempt := rapid.Uint64Range(0, run.lastSent+1).Draw(m.t, "to")
	for i, send := range run.pending {
		if send.Request.Attempt == attempt {
			run.pending = slices.Delete(run.pending, i, i+1)
			break
		}
	}
	m.apply(run, search.Event{Kind: search.AttemptEnded, Attempt: attempt, Reply: reply})
}

// advanceTime advances by a random step, at most to the next timer, and fires timers
// that are due.
func (m *searchModel) advanceTime() {
	next := time.Time{}
	for _, run := range m.searches {
		if run.answer == nil && (next.IsZero() || run.wakeAt.Before(next)) {
			next = run.wakeAt
		}
	}
	step := time.Duration(rapid.IntRange(0, 25000).Draw(m.t, "us")) * time.Microsecond
	if next.IsZero() || m.now.Add(step).Before(next) {
		m.now = m.now.Add(step)
		return
	}
	m.now = next
	for _, run := range m.searches {
		if run.answer == nil && !run.wakeAt.After(m.now) {
			m.apply(run, search.Event{Kind: search.TimerFired})
		}
	}
}

// reconfigure takes a failure domain or target out of service, returns it to service,
// or changes the snapshots.
func (m *searchModel) reconfigure() {
	m.config = proto.CloneOf(m.config)
	m.config.Revision++
	front := m.config.Fronts[0]
	switch rapid.IntRange(0, 3).Draw(m.t, "change") {
	case 0:
		domain := m.config.FailureDomains[rapid.IntRange(0, 2).Draw(m.t, "domain")]
		domain.State = inService + takenOut - domain.State
	case 1:
		service := front.Services[rapid.IntRange(0, m.shape.services-1).Draw(m.t, "service")]
		target := service.Targets[rapid.IntRange(0, m.shape.replicas-1).Draw(m.t, "replica")]
		target.State = inService + takenOut - target.State
	case 2:
		newest := front.Snapshots[len(front.Snapshots)-1].Version
		front.Snapshots = append(front.Snapshots, snapshotOf(m.shape, newest+1))
	default:
		if len(front.Snapshots) > 1 {
			front.Snapshots = front.Snapshots[1:]
		}
	}
	paused := rapid.IntRange(0, 9).Draw(m.t, "paused") == 0
	m.view = view.Build(view.Input{Self: vms()[0], VMs: vms(), Configuration: m.config, Paused: paused}, nil)
}

// changeHeldSnapshots changes which snapshots a random target holds.
func (m *searchModel) changeHeldSnapshots() {
	i := rapid.IntRange(0, m.shape.services-1).Draw(m.t, "service")
	r := rapid.IntRange(0, m.shape.replicas-1).Draw(m.t, "replica")
	newest := m.config.Fronts[0].Snapshots[len(m.config.Fronts[0].Snapshots)-1].Version
	from := rapid.Uint64Range(1, newest).Draw(m.t, "from")
	var held []uint64
	for version := from; version <= newest; version++ {
		held = append(held, version)
	}
	m.held[targetName(i, r)] = held
}

func (m *searchModel) drawSearch() *modelSearch {
	if len(m.searches) == 0 {
		return nil
	}
	run := m.searches[rapid.IntRange(0, len(m.searches)-1).Draw(m.t, "run")]
	if run.answer != nil && rapid.IntRange(0, 3).Draw(m.t, "late") > 0 {
		for _, other := range m.searches {
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
		m := newSearchModel(t)
		const searches = 8
		for len(m.searches) < searches || slices.ContainsFunc(m.searches, func(r *modelSearch) bool { return r.answer == nil }) {
			switch n := rapid.IntRange(0, 29).Draw(t, "step"); {
			case n < 3 && len(m.searches) < searches:
				m.start()
			case n < 14:
				m.endAttempt()
			case n < 25:
				m.advanceTime()
			case n < 27:
				m.redeliver()
			case n < 28:
				m.reconfigure()
			default:
				m.changeHeldSnapshots()
			}
		}
		config := budget.Config{SharePercent: 5, Services: m.shape.services}
		spent, successes := m.shared.Budgets.Front(frontName, config).Totals()
		require.EqualValues(t, m.extraSends, spent)
		require.LessOrEqual(t, float64(m.extraSends), 0.045*float64(successes)+config.Burst())
	})
}
