package health

import (
	"cmp"
	"slices"
	"sync"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// minReportedFailures is the smallest decayed count of failed or of rejected requests
	// that is reported to other VMs.
	minReportedFailures = 0.5
	// reportTTL is how long evidence of slow and quick replies is reported.
	reportTTL = 2 * time.Second
	// maxReportsPerMessage bounds the reports, of about 25 bytes each, in one message. On
	// large deployments, up to this many targets became slow or failing at once.
	maxReportsPerMessage = 128
	// tenthsPerRequest converts request counts to the tenths in which they are reported.
	tenthsPerRequest = 10
	// maxPeerVMs bounds the VMs whose outcomes are kept for one target.
	maxPeerVMs = 32
)

// Tracker holds the states of all targets. It reports evidence of slow and failing
// targets to other VMs and merges their reports: on a large deployment a single VM
// sends too few requests to a target to notice in time that it has become slow. It is
// safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	states  map[string]*State
	domains map[string]*domain
	// observer is notified of state changes.
	observer Observer
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{states: map[string]*State{}, domains: map[string]*domain{}, observer: nopObserver{}}
}

// Start returns the state of a new incarnation of a target and replaces that of the
// previous one. An incarnation lasts from one start of the target to the next.
func (t *Tracker) Start(target, failureDomain string) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(target)
	d, ok := t.domains[failureDomain]
	if !ok {
		d = newDomain(failureDomain, t.observer)
		t.domains[failureDomain] = d
	}
	s := New()
	s.id, s.domain, s.observer = target, d, t.observer
	t.states[target] = s
	return s
}

// Forget removes the state of a target.
func (t *Tracker) Forget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(target)
}

func (t *Tracker) drop(target string) {
	if s, ok := t.states[target]; ok {
		s.domain.forget(s)
		delete(t.states, target)
	}
}

// Updates returns the reports for other VMs. If there are more than fit into a message,
// it returns the most severe ones.
func (t *Tracker) Updates(now time.Time) []*pb.TargetReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []*pb.TargetReport
	for target, state := range t.states {
		if report := state.report(now); report != nil {
			report.Target = target
			reports = append(reports, report)
		}
	}
	if len(reports) > maxReportsPerMessage {
		slices.SortFunc(reports, func(a, b *pb.TargetReport) int {
			return cmp.Compare(severity(b), severity(a))
		})
		reports = reports[:maxReportsPerMessage]
	}
	return reports
}

// Merge adds the reports of another VM.
func (t *Tracker) Merge(from string, reports []*pb.TargetReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		if state, ok := t.states[report.GetTarget()]; ok {
			state.mergeReport(from, report, now)
		}
	}
}

// severity orders reports: failing targets first, then slow ones, then the others.
func severity(r *pb.TargetReport) uint32 {
	const failing, slow = 2000, 1000
	sum := min(r.FailedTenths+r.RejectedTenths, slow-1)
	if r.FailingMs > 0 {
		sum += failing
	}
	if r.LastSlowMs > 0 {
		sum += slow
	}
	return sum
}

// report returns the evidence about a target that was slow or failed recently, or nil
// if there is none.
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
	if now.Sub(s.lastSlowAt) < reportTTL {
		report.FirstSlowMs, report.LastSlowMs = ago(s.streak.firstSlow), ago(s.streak.lastSlow)
		report.QuickMs = ago(s.streak.lastQuick)
	}
	if c := s.outcomes.decayed(now); max(c.failed, c.rejected) >= minReportedFailures {
		report.FailedTenths, report.AllTenths = uint32(c.failed*tenthsPerRequest), uint32(c.all*tenthsPerRequest)
		report.RejectedTenths = uint32(c.rejected * tenthsPerRequest)
	}
	if s.isFailing(now) {
		report.FailingMs = ago(s.failingAt)
	}
	if report.LastSlowMs+report.QuickMs+report.FailedTenths+report.FailingMs+report.RejectedTenths == 0 {
		return nil
	}
	return report
}

func (s *State) mergeReport(from string, report *pb.TargetReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	if report.GetQuickMs() > 0 {
		s.streak.addQuick(ago(report.GetQuickMs()))
	}
	if last := report.GetLastSlowMs(); last > 0 && report.GetFirstSlowMs() >= last {
		s.lastSlowAt = later(s.lastSlowAt, ago(last))
		s.streak.addSlow(ago(report.GetFirstSlowMs()), ago(last), ago(last))
	}
	if report.GetFailingMs() > 0 {
		s.mergeFailing(ago(report.GetFailingMs()))
	}
	if report.GetFailedTenths()+report.GetRejectedTenths() > 0 {
		s.mergeOutcomes(from, report, now)
		s.detectFailing(now)
	}
}

func (s *State) mergeOutcomes(from string, report *pb.TargetReport, now time.Time) {
	for vm, o := range s.peerOutcomes {
		if now.Sub(o.at) > 2*reportTTL {
			delete(s.peerOutcomes, vm)
		}
	}
	if s.peerOutcomes == nil {
		s.peerOutcomes = map[string]outcomes{}
	}
	if _, known := s.peerOutcomes[from]; known || len(s.peerOutcomes) < maxPeerVMs {
		all := float64(report.GetAllTenths()) / tenthsPerRequest
		s.peerOutcomes[from] = outcomes{at: now, counts: counts{
			failed:   min(float64(report.GetFailedTenths())/tenthsPerRequest, all),
			all:      all,
			rejected: float64(report.GetRejectedTenths()) / tenthsPerRequest,
		}}
	}
}
