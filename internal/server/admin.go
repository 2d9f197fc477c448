package server

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/statement"
	"github.com/carawayreel/carawayreel/internal/view"
)

// statusTimeout is the timeout for collecting target states from the other VMs.
const statusTimeout = time.Second

// AdminControl is the part of the control role that the operator interface uses.
type AdminControl interface {
	view.Source
	Apply(ctx context.Context, r *pb.ApplyConfigurationRequest) *pb.ApplyConfigurationResponse
	SetServingState(ctx context.Context, r *pb.SetServingStateRequest) *pb.ApplyConfigurationResponse
	History(ctx context.Context, r *pb.ListHistoryRequest) (*pb.ListHistoryResponse, error)
	Get(ctx context.Context, r *pb.GetConfigurationRequest) (*pb.GetConfigurationResponse, error)
	Push(ctx context.Context, r *pb.PushConfigurationRequest) (*pb.PushConfigurationResponse, error)
	Members() []*pb.Member
	Ready() (bool, string)
}

// TargetReporter returns the states of the targets that this VM owns.
type TargetReporter interface {
	Targets() []*pb.TargetStatusReport
}

// TargetFetcher fetches the states of the targets that another VM owns.
type TargetFetcher interface {
	GetTargets(ctx context.Context, vm view.VM) (*pb.GetTargetsResponse, error)
}

// RecordCounter returns the number of stored change records.
type RecordCounter interface {
	Len() int
}

// BudgetReporter returns the remaining budget of hedges and retries.
type BudgetReporter interface {
	RemainingBudget() uint64
}

// QuarantineReporter returns the digests of the quarantined request contents.
type QuarantineReporter interface {
	Quarantined(now time.Time) []uint64
}

// RolloutReporter returns the state of the roll-outs and the evidence on them.
type RolloutReporter interface {
	Status(now time.Time) []*pb.RolloutReport
}

// AdminOptions holds the roles that an Admin queries and changes.
type AdminOptions struct {
	Control    AdminControl
	Owner      TargetReporter
	Peers      TargetFetcher
	Records    RecordCounter
	Budget     BudgetReporter
	Quarantine QuarantineReporter
	Rollouts   RolloutReporter // may be nil
	Decisions  *decision.Log
}

// Admin implements the AdminService for operators.
type Admin struct {
	options  AdminOptions
	executor *statement.Runner
}

// NewAdmin returns an Admin without a statement executor.
func NewAdmin(options AdminOptions) *Admin {
	return &Admin{options: options}
}

// SetExecutor sets the executor of statements. It must be called before the first
// call is served. Without an executor, Execute returns an error.
func (a *Admin) SetExecutor(executor *statement.Runner) {
	a.executor = executor
}

// GetConfiguration returns the configuration that this VM uses or, on request, the one
// in the store.
func (a *Admin) GetConfiguration(ctx context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	response, err := a.options.Control.Get(ctx, r.Msg)
	return toResponse(response, err)
}

// ApplyConfiguration replaces the configuration by compare-and-swap.
func (a *Admin) ApplyConfiguration(ctx context.Context, r *connect.Request[pb.ApplyConfigurationRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	return connect.NewResponse(a.options.Control.Apply(ctx, r.Msg)), nil
}

// SetServingState takes a failure domain or a target out of service, or puts it back
// into service.
func (a *Admin) SetServingState(ctx context.Context, r *connect.Request[pb.SetServingStateRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	return connect.NewResponse(a.options.Control.SetServingState(ctx, r.Msg)), nil
}

// ListHistory returns the most recent revisions.
func (a *Admin) ListHistory(ctx context.Context, r *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	response, err := a.options.Control.History(ctx, r.Msg)
	return toResponse(response, err)
}

// PushConfiguration installs an accepted revision directly on this VM.
func (a *Admin) PushConfiguration(ctx context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	response, err := a.options.Control.Push(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(response), nil
}

// GetStatus returns the status of this VM and its targets. With All set it includes
// the targets of every VM that responds.
func (a *Admin) GetStatus(ctx context.Context, r *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	current := a.options.Control.Current()
	response := &pb.GetStatusResponse{
		Vm:                    current.Self.ID,
		FailureDomain:         current.Self.FailureDomain,
		ConfigurationRevision: current.Revision(),
		ConfigurationAgeMs:    uint64(current.ConfigurationAge(time.Now()).Milliseconds()),
		Members:               a.options.Control.Members(),
		Targets:               a.options.Owner.Targets(),
		ChangeRecords:         uint64(a.options.Records.Len()),
		HedgeBudgetLeft:       a.options.Budget.RemainingBudget(),
	}
	response.Ready, response.NotReadyReason = a.options.Control.Ready()
	for _, digest := range a.options.Quarantine.Quarantined(time.Now()) {
		response.Quarantined = append(response.Quarantined, fmt.Sprintf("%016x", digest))
	}
	if a.options.Rollouts != nil {
		response.Rollouts = a.options.Rollouts.Status(time.Now())
	}
	if r.Msg.All {
		response.Targets = append(response.Targets, a.remoteTargets(ctx, current)...)
	}
	sort.Slice(response.Targets, func(i, j int) bool {
		return response.Targets[i].Target < response.Targets[j].Target
	})
	return connect.NewResponse(response), nil
}

// remoteTargets fetches the target states of all other VMs in parallel. VMs that do
// not respond in time are omitted.
func (a *Admin) remoteTargets(ctx context.Context, current *view.View) []*pb.TargetStatusReport {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var reports []*pb.TargetStatusReport
	var fetches sync.WaitGroup
	for _, domain := range current.Configuration.GetFailureDomains() {
		for _, vm := range current.DomainVMs(domain.Name) {
			if vm.ID == current.Self.ID {
				continue
			}
			fetches.Go(func() {
				response, err := a.options.Peers.GetTargets(ctx, vm)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, response.Targets...)
			})
		}
	}
	fetches.Wait()
	return reports
}

// Execute executes one statement of the query and command language.
func (a *Admin) Execute(ctx context.Context, r *connect.Request[pb.ExecuteRequest]) (*connect.Response[pb.ExecuteResponse], error) {
	if a.executor == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no statement executor is configured"))
	}
	response, err := a.executor.Execute(ctx, r.Msg)
	return toResponse(response, err)
}

// ListDecisions returns the decisions about a request that this VM has logged and
// still keeps.
func (a *Admin) ListDecisions(_ context.Context, r *connect.Request[pb.ListDecisionsRequest]) (*connect.Response[pb.ListDecisionsResponse], error) {
	found := a.options.Decisions.Find(r.Msg.RequestId)
	return connect.NewResponse(&pb.ListDecisionsResponse{Decisions: found}), nil
}

// toResponse wraps a message or an error for connect. Every error becomes
// CodeUnavailable.
func toResponse[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(message), nil
}
