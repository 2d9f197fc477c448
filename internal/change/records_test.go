package change_test

import (
	"fmt"
	_ "github.com/carawayreel/carawayreel/internal/testseed"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayreel/carawayreel/internal/change"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const validity = time.Hour

var epoch = time.Unix(1_800_000_000, 0)

func token(t require.TestingT, issuer change.Issuer, n int, expires time.Time) change.Token {
	text := change.Token{Issuer: issuer, Expires: expires, Random: fmt.Sprintf("%024x", n)}.String()
	parsed, err := change.ParseToken(text)
	require.NoError(t, err)
	return parsed
}

// process models one VM: its records and its local clock.
type process struct {
	records *change.Records
	clock   time.Time
	stopped bool
}

// tokenLog tracks the runs and the reported outcomes of one token.
type tokenLog struct {
	runs int
	// mayHaveRun is set if a run ended with another outcome than NOT_RUN.
	mayHaveRun     bool
	reportedNotRun bool
}

// model submits tokens to processes that stop, hand over their records and have
// skewed clocks. It checks that no token runs twice and that no token that ran is
// reported as NOT_RUN.
type model struct {
	processes []*process
	issuers   []change.Issuer
	tokens    []change.Token
	logs      []tokenLog
	running   map[int]int
}

func newModel(t *rapid.T) *model {
	m := &model{running: map[int]int{}}
	for i := range 3 {
		issuer := change.Issuer{VM: fmt.Sprintf("vm-%d", i), Incarnation: uint64(i + 1)}
		m.issuers = append(m.issuers, issuer)
		m.processes = append(m.processes, &process{records: change.NewRecords(issuer, 6, validity), clock: epoch})
		for n := range 4 {
			expires := epoch.Add(time.Duration(rapid.IntRange(1, 59).Draw(t, "expiry")) * time.Minute)
			m.tokens = append(m.tokens, token(t, issuer, i*4+n, expires))
		}
	}
	m.logs = make([]tokenLog, len(m.tokens))
	return m
}

func (m *model) submit(t *rapid.T) {
	n := rapid.IntRange(0, len(m.tokens)-1).Draw(t, "token")
	at := rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")
	p := m.processes[at]
	verdict, result := p.records.Submit(m.tokens[n], 7, p.clock)
	if verdict == change.VerdictRun {
		m.logs[n].runs++
		m.running[n] = at
	}
	if verdict == change.VerdictAnswer || verdict == change.VerdictRefuse {
		m.recordReport(n, result)
	}
}

func (m *model) recordReport(n int, result change.Result) {
	if result.Outcome == pb.Outcome_OUTCOME_NOT_RUN {
		m.logs[n].reportedNotRun = true
	}
}

func (m *model) finish(t *rapid.T) {
	n := rapid.IntRange(0, len(m.tokens)-1).Draw(t, "finished")
	at, ok := m.running[n]
	if !ok {
		return
	}
	delete(m.running, n)
	outcomes := []pb.Outcome{pb.Outcome_OUTCOME_SUCCESS, pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_UNKNOWN}
	result := change.Result{Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome")}
	m.logs[n].mayHaveRun = result.Outcome != pb.Outcome_OUTCOME_NOT_RUN
	m.processes[at].records.Finish(m.tokens[n], result)
	m.recordReport(n, result)
}

func (m *model) advance(t *rapid.T) {
	at := rapid.IntRange(0, len(m.processes)-1).Draw(t, "clock of")
	minutes := rapid.IntRange(-5, 90).Draw(t, "minutes")
	m.processes[at].clock = m.processes[at].clock.Add(time.Duration(minutes) * time.Minute)
}

// stop stops a process and hands its records over to another one; each message may
// be lost.
func (m *model) stop(t *rapid.T) {
	at := rapid.IntRange(0, len(m.processes)-1).Draw(t, "stopping")
	to := rapid.IntRange(0, len(m.processes)-1).Draw(t, "successor")
	p := m.processes[at]
	if p.stopped || at == to {
		return
	}
	p.stopped = true
	p.records.Stop()
	for _, issuerRecords := range p.records.Export(p.clock) {
		if rapid.Bool().Draw(t, "delivered") {
			m.processes[to].records.Import(issuerRecords, true)
		}
	}
}

func (m *model) checkInvariants(t *rapid.T) {
	for n, l := range m.logs {
		require.LessOrEqual(t, l.runs, 1, "token %d ran more than once", n)
		if l.reportedNotRun {
			require.False(t, l.mayHaveRun, "token %d: reported as not run, but it ran", n)
		}
	}
}

func TestTokensRunAtMostOnceAndNotRunReportsAreCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"again":   m.submit,
			"finish":  m.finish,
			"advance": m.advance,
			"stop":    m.stop,
			"":        m.checkInvariants,
		})
	})
}

func TestDifferentContentRunsNothing(t *testing.T) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	records := change.NewRecords(issuer, 10, validity)
	used := token(t, issuer, 1, epoch.Add(time.Minute))
	verdict, _ := records.Submit(used, 1, epoch)
	require.Equal(t, change.VerdictRun, verdict)
	verdict, result := records.Submit(used, 2, epoch)
	require.Equal(t, change.VerdictRefuse, verdict)
	require.Contains(t, result.Reason, "different content")
	records.Finish(used, change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS})
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, records.Lookup(used).Outcome)
}

func TestRecordsAreBounded(t *testing.T) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	records := change.NewRecords(issuer, 2, validity)
	for n := range 3 {
		verdict, result := records.Submit(token(t, issuer, n, epoch.Add(time.Minute)), 1, epoch)
		if n < 2 {
			require.Equal(t, change.VerdictRun, verdict)
			records.Finish(token(t, issuer, n, epoch.Add(time.Minute)), change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS})
			continue
		}
		require.Equal(t, change.VerdictRefuse, verdict)
		require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, result.Outcome)
	}
	later := epoch.Add(time.Minute + validity)
	verdict, _ := records.Submit(token(t, issuer, 9, later.Add(time.Minute)), 1, later)
	require.Equal(t, change.VerdictRun, verdict)
	require.Equal(t, 1, records.Len())
}

// A successor whose clock is behind must not report NOT_RUN for a change whose
// record its predecessor has already dropped.
func TestSuccessorReportsDroppedRecordAsUnknown(t *testing.T) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	used := token(t, issuer, 1, epoch.Add(time.Minute))
	predecessor := change.NewRecords(issuer, 10, validity)
	predecessor.Submit(used, 1, epoch)
	predecessor.Finish(used, change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS})
	dropped := epoch.Add(time.Minute + validity)
	predecessor.Submit(token(t, issuer, 2, dropped.Add(time.Minute)), 1, dropped)
	predecessor.Stop()
	successor := change.NewRecords(change.Issuer{VM: "vm-a-2", Incarnation: 2}, 10, validity)
	require.True(t, successor.Import(predecessor.Export(dropped)[0], true))
	_, result := successor.Submit(used, 1, dropped.Add(-time.Second))
	require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, result.Outcome)
}

// An issuer must not be served before the last part of its records is imported.
func TestIssuerIsServedOnlyAfterLastPart(t *testing.T) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	predecessor := change.NewRecords(issuer, 10, validity)
	used := token(t, issuer, 1, epoch.Add(time.Minute))
	predecessor.Submit(used, 1, epoch)
	predecessor.Finish(used, change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS})
	predecessor.Stop()
	issuerRecords := predecessor.Export(epoch)[0]
	successor := change.NewRecords(change.Issuer{VM: "vm-a-2", Incarnation: 2}, 10, validity)
	require.True(t, successor.Import(change.IssuerRecords{Issuer: issuer}, false))
	require.False(t, successor.Serves(issuer))
	require.True(t, successor.Import(issuerRecords, true))
	verdict, result := successor.Submit(used, 1, epoch)
	require.Equal(t, change.VerdictAnswer, verdict)
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, result.Outcome)
}

// After the clock is set back, a change whose record was dropped must not be
// reported as NOT_RUN.
func TestClockSetBackReportsDroppedRecordAsUnknown(t *testing.T) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	records := change.NewRecords(issuer, 10, validity)
	used := token(t, issuer, 1, epoch.Add(time.Minute))
	records.Submit(used, 1, epoch)
	records.Finish(used, change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS})
	dropped := epoch.Add(time.Minute + validity)
	records.Submit(token(t, issuer, 2, dropped.Add(time.Minute)), 1, dropped)
	_, result := records.Submit(used, 1, dropped.Add(-time.Second))
	require.Equal(t, pb.Outcome_OUTCOME_UNKNOWN, result.Outcome)
}

func FuzzParseToken(f *testing.F) {
	f.Add("vm-a-1~a~1~1~000000000000000000000001")
	f.Add("")
	f.Add("~~~")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := change.ParseToken(text)
		if err == nil {
			require.Equal(t, text, parsed.String())
		}
	})
}

func BenchmarkSubmitFinish(b *testing.B) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	records := change.NewRecords(issuer, 1<<30, validity)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		used := token(b, issuer, n, epoch.Add(time.Minute))
		records.Submit(used, 1, epoch)
		records.Finish(used, change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS})
		n++
	}
}

// A successor whose clock is behind must not run a change that its predecessor
// refused as expired.
func TestExpiredTokenStaysRefusedAfterHandover(t *testing.T) {
	issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
	expired := token(t, issuer, 1, epoch.Add(time.Minute))
	predecessor := change.NewRecords(issuer, 10, validity)
	_, result := predecessor.Submit(expired, 1, epoch.Add(time.Minute))
	require.Equal(t, pb.Outcome_OUTCOME_NOT_RUN, result.Outcome)
	predecessor.Stop()
	successor := change.NewRecords(change.Issuer{VM: "vm-a-2", Incarnation: 2}, 10, validity)
	require.True(t, successor.Import(predecessor.Export(epoch.Add(time.Minute))[0], true))
	verdict, _ := successor.Submit(expired, 1, epoch)
	require.Equal(t, change.VerdictAnswer, verdict)
}
