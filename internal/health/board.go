package health

import (
	"cmp"
	"slices"
	"sync"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// reportedFailures is the least weight of failed requests that other VMs are
	// told.
	reportedFailures = 0.5
	// reportedFor is how long evidence is passed on.
	reportedFor = 2 * time.Second
	// reportsPerMessage bounds the reports in one message, of some 25 bytes each;
	// it is the number of targets that turned bad at once on the grown days.
	reportsPerMessage = 128
	tenths            = 10
	// heardVMs bounds the VMs whose outcomes are kept for a target.
	heardVMs = 32
)

// Board holds the states of all targets and exchanges what is bad news with
// other VMs: on a large deployment one VM alone meets a target too seldom to
// notice in time that it has turned slow. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	states  map[string]*State
	domains map[string]*domain
	// observer is told of changes.
	observer Observer
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{states: map[string]*State{}, domains: map[string]*domain{}, observer: unobserved{}}
}

// Start returns a new state for a start of a target in a failure domain, in place
// of the one of an earlier start.
func (b *Board) Start(target, failureDomain string) *State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(target)
	d, ok := b.domains[failureDomain]
	if !ok {
		d = newDomain(failureDomain, b.observer)
		b.domains[failureDomain] = d
	}
	s := New()
	s.id, s.domain, s.observer = target, d, b.observer
	b.states[target] = s
	return s
}

// Forget drops a target.
func (b *Board) Forget(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(target)
}

func (b *Board) drop(target string) {
	if s, ok := b.states[target]; ok {
		s.domain.forget(s)
		delete(b.states, target)
	}
}

// News returns what other VMs should know, the worst first.
func (b *Board) News(now time.Time) []*pb.TargetReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []*pb.TargetReport
	for target, state := range b.states {
		if report := state.report(now); report != nil {
			report.Target = target
			news = append(news, report)
		}
	}
	if len(news) > reportsPerMessage {
		slices.SortFunc(news, func(a, b *pb.TargetReport) int {
			return cmp.Compare(weight(b), weight(a))
		})
		news = news[:reportsPerMessage]
	}
	return news
}

// Merge takes the reports of another VM.
func (b *Board) Merge(from string, reports []*pb.TargetReport, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range reports {
		if state, ok := b.states[report.GetTarget()]; ok {
			state.hear(from, report, now)
		}
	}
}

// weight orders reports: failing targets, slow ones, others.
func weight(r *pb.TargetReport) uint32 {
	const failing, slow = 2000, 1000
	sum := min(r.FailedTenths, slow-1)
	if r.FailingMs > 0 {
		sum += failing
	}
	if r.LastSlowMs > 0 {
		sum += slow
	}
	return sum
}

// report returns the news of a target that was slow or failed a short while ago,
// or nil.
func (s *State) report(now time.Time) *pb.TargetReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := func(at time.Time) uint32 {
		if age := now.Sub(at); !at.IsZero() && age < time.Minute {
			return uint32(max(age.Milliseconds(), 1))
		}
		return 0
	}
	report := &pb.TargetReport{}
	if now.Sub(s.toldAt) < reportedFor {
		report.FirstSlowMs, report.LastSlowMs = ago(s.streak.first), ago(s.streak.last)
		report.QuickMs = ago(s.streak.quick)
	}
	if failed, all := s.outcomes.faded(now); failed >= reportedFailures {
		report.FailedTenths, report.AllTenths = uint32(failed*tenths), uint32(all*tenths)
	}
	if s.isFailing(now) {
		report.FailingMs = ago(s.failingAt)
	}
	if report.LastSlowMs+report.QuickMs+report.FailedTenths+report.FailingMs == 0 {
		return nil
	}
	return report
}

func (s *State) hear(from string, report *pb.TargetReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	if report.GetQuickMs() > 0 {
		s.streak.answered(ago(report.GetQuickMs()))
	}
	if last := report.GetLastSlowMs(); last > 0 && report.GetFirstSlowMs() >= last {
		s.toldAt = later(s.toldAt, ago(last))
		s.streak.slow(ago(report.GetFirstSlowMs()), ago(last), ago(last))
	}
	if report.GetFailingMs() > 0 {
		s.hearFailing(ago(report.GetFailingMs()))
	}
	if report.GetFailedTenths() > 0 {
		s.hearOutcomes(from, report, now)
		s.judgeFailures(now)
	}
}

func (s *State) hearOutcomes(from string, report *pb.TargetReport, now time.Time) {
	for vm, heard := range s.heard {
		if now.Sub(heard.at) > 2*reportedFor {
			delete(s.heard, vm)
		}
	}
	if s.heard == nil {
		s.heard = map[string]outcomes{}
	}
	if _, known := s.heard[from]; known || len(s.heard) < heardVMs {
		all := float64(report.GetAllTenths()) / tenths
		s.heard[from] = outcomes{failed: min(float64(report.GetFailedTenths())/tenths, all), all: all, at: now}
	}
}
