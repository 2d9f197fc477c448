package allowance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/delegation"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// checkInterval is the interval between two looks at what is due. It divides the report
	// interval and costs 20 wake-ups a second while there are organisations with allowances.
	checkInterval = 50 * time.Millisecond
	// refreshInterval is the interval at which members are applied although they did not change,
	// so that lost ones are forgotten in time.
	refreshInterval = time.Second
	// reportTimeout is the timeout of one report. Answers usually take a few milliseconds; a
	// report that takes longer than grants hold is of no use.
	reportTimeout = 500 * time.Millisecond
)

// ErrUnknownVM means that an accountant is not among the members any more.
var ErrUnknownVM = errors.New("accountant is not a member")

// Reporter sends reports to other VMs; see peer.Client, which implements it.
type Reporter interface {
	ReportUsage(ctx context.Context, vm view.VM, r *pb.ReportUsageRequest) (*pb.ReportUsageResponse, error)
}

// Options are the dependencies of a Service.
type Options struct {
	Views    view.Source
	Reporter Reporter
	Logger   zerolog.Logger
	Metrics  *metrics.Set
}

// Service runs the Limiter and the Accountant of this VM. It is safe for concurrent use. It does
// nothing while no organisation has an allowance.
type Service struct {
	options Options
	counts  *counts
	// urgent wakes Serve for a report that should not wait.
	urgent chan struct{}

	mu         sync.Mutex
	limiter    *Limiter
	accountant *Accountant
	roster     *Roster
	// seen is the view that was applied last, at seenAt.
	seen   *view.View
	seenAt time.Time
	// routes is the route table that directory was built from.
	routes    *pb.RouteTable
	directory *organisation.Directory
	// enabled is true while an organisation has an allowance.
	enabled bool
}

// New returns a Service. Serve must run for its reports to be sent.
func New(options Options) *Service {
	self := options.Views.Current().Self
	s := &Service{
		options: options, counts: newCounts(options.Metrics), urgent: make(chan struct{}, 1),
		limiter:    NewLimiter(self.ID, self.Incarnation, rand.Float64),
		accountant: NewAccountant(self.ID), roster: NewRoster(),
	}
	return s
}

// Admit decides on a request of the organisation.
func (s *Service) Admit(o *organisation.Organisation, now time.Time) Decision {
	if o.RequestsPerSecond <= 0 {
		return Decision{Admitted: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.limiter.Admit(o, now)
	if s.limiter.Urgent(o) {
		s.wake()
	}
	s.counts.record(o.Name, decision)
	return decision
}

// Refund gives a request back that no target ran.
func (s *Service) Refund(o *organisation.Organisation, now time.Time) {
	if o.RequestsPerSecond <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Refund(o, now)
	s.counts.refunded.Inc()
}

// ReportUsage implements server.Allowances.
func (s *Service) ReportUsage(r *pb.ReportUsageRequest) *pb.ReportUsageResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response, transitions := s.accountant.Report(r, s.directory.ByName, time.Now())
	s.counts.received.Inc()
	for _, t := range transitions {
		message := "organisation not limited any more"
		if t.Limited {
			message = "organisation limited"
			s.counts.limitations.Inc()
		}
		s.options.Logger.Info().Str("organisation", t.Organisation).Float64("tokens", t.Level).
			Float64("demand_per_s", t.Demand).Float64("rate_per_s", t.Rate).Float64("live_share", t.LiveShare).
			Uint64("route_version", s.routes.GetVersion()).Str("reporter", r.Vm).Msg(message)
	}
	return response
}

func (s *Service) wake() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// refresh applies the latest view. s.mu must be held.
func (s *Service) refresh(now time.Time) {
	current := s.options.Views.Current()
	if current == s.seen && now.Sub(s.seenAt) < refreshInterval {
		return
	}
	s.seen, s.seenAt = current, now
	if routes := current.Configuration.GetRouteTable(); routes != s.routes || s.directory == nil {
		s.routes, s.directory = routes, organisation.NewDirectory(routes.GetOrganisations())
		s.enabled = s.counts.setOrganisations(routes.GetOrganisations())
	}
	if current.Paused || !s.enabled {
		// The members are confirmed when the pause ends.
		return
	}
	members := membersOf(current)
	s.roster.Update(members, now)
	s.limiter.SetMembers(members.Candidates, s.roster.Known(), now)
	s.accountant.SetMembers(members, s.roster.LiveShare(), now)
}

// membersOf returns the members of a view. The gatherers are the accountants where there are any:
// they are few and have more processor.
func membersOf(v *view.View) Members {
	var m Members
	for vm := range v.VMs {
		switch {
		case vm.CanOwn():
			m.Live = append(m.Live, vm.ID)
		case vm.State == pb.MemberState_MEMBER_STATE_LEAVING:
			m.Left = append(m.Left, vm.ID)
		}
	}
	m.Candidates = m.Live
	if gatherers := delegation.Gatherers(v); len(gatherers) > 0 {
		m.Candidates = nil
		for _, vm := range gatherers {
			m.Candidates = append(m.Candidates, vm.ID)
		}
	}
	return m
}

// Serve sends reports until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.urgent:
		}
		for _, report := range s.due(time.Now()) {
			go s.send(ctx, report)
		}
	}
}

func (s *Service) due(now time.Time) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	if !s.enabled {
		return nil
	}
	return s.limiter.Reports(s.directory.ByName, s.routes.GetVersion(), now)
}

// send sends one report. One that fails is sent again by a later call of due.
func (s *Service) send(ctx context.Context, report Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := s.exchange(ctx, report)
	s.counts.sent.Inc()
	if err != nil {
		s.counts.failed.Inc()
		s.options.Logger.Debug().Err(err).Str("vm", report.Accountant).Msg("usage not reported; it is reported again")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Answered(report.Accountant, report.Request.Sequence, response, time.Now())
}

func (s *Service) exchange(ctx context.Context, report Report) (*pb.ReportUsageResponse, error) {
	current := s.options.Views.Current()
	if report.Accountant == current.Self.ID {
		return s.ReportUsage(report.Request), nil
	}
	vm, ok := current.VM(report.Accountant)
	if !ok {
		return nil, errors.Wrap(ErrUnknownVM, report.Accountant)
	}
	return s.options.Reporter.ReportUsage(ctx, vm, report.Request)
}
