// Package server implements the RPC services and dispatches their calls to the roles
// of this VM: coordinator, target owner, control and changes.
package server

import (
	"context"
	"net/http"
	"time"

	"buf.build/go/protovalidate"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/auth"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/peer"
)

// Searcher runs searches.
type Searcher interface {
	Search(ctx context.Context, r *pb.SearchRequest) (*pb.SearchResponse, error)
}

// Changes issues idempotency tokens and executes changes at most once.
type Changes interface {
	IssueToken() (*pb.IssueTokenResponse, error)
	Submit(ctx context.Context, r *pb.SubmitChangeRequest) *pb.SubmitChangeResponse
	SubmitForwarded(ctx context.Context, r *pb.SubmitChangeRequest) *pb.ForwardChangeResponse
	Outcome(ctx context.Context, r *pb.GetOutcomeRequest) *pb.GetOutcomeResponse
	OutcomeForwarded(r *pb.GetOutcomeRequest) *pb.ForwardOutcomeResponse
	Accept(issuer *pb.ChangeIssuer, records []*pb.ChangeRecord, last bool) bool
}

// Owner dispatches work to the targets that this VM owns.
type Owner interface {
	Dispatch(ctx context.Context, r *pb.SubRequest) *pb.SubReply
	DispatchChange(ctx context.Context, r *pb.ChangeDispatch) *pb.ChangeReply
	Targets() []*pb.TargetStatusReport
	AcceptHandOver(targets []*pb.TargetHandOver)
}

// Control maintains membership and configuration.
type Control interface {
	Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) *pb.HeartbeatResponse
	FetchConfiguration(ctx context.Context, r *pb.FetchConfigurationRequest) *pb.FetchConfigurationResponse
	OfferConfiguration(ctx context.Context, r *pb.OfferConfigurationRequest) *pb.OfferConfigurationResponse
	Ready() (bool, string)
}

// Quarantine merges quarantine entries received from other VMs.
type Quarantine interface {
	Merge(entries []*pb.QuarantineEntry, now time.Time)
}

// Allowances accounts for the allowances of organisations over all VMs.
type Allowances interface {
	ReportUsage(r *pb.ReportUsageRequest) *pb.ReportUsageResponse
}

// Roles holds the components of this VM that the services call. The roles of package
// auth are unrelated: they are permissions.
type Roles struct {
	Searcher   Searcher
	Changes    Changes
	Owner      Owner
	Control    Control
	Quarantine Quarantine
	Admin      carawayreelv1connect.AdminServiceHandler
	// Allowances may be nil.
	Allowances Allowances
}

// CallerHandler returns the handler for callers and operators, for metrics, and for
// the load balancer's health and readiness checks. Messages larger than maxBytes are
// rejected.
func CallerHandler(roles Roles, middleware *auth.Middleware, maxBytes uint32, logger zerolog.Logger) http.Handler {
	options := []connect.HandlerOption{connect.WithReadMaxBytes(int(maxBytes)), recovery(logger)}
	mux := http.NewServeMux()
	path, caller := carawayreelv1connect.NewCallerServiceHandler(NewCaller(roles), options...)
	mux.Handle(path, middleware.Require(auth.RoleCaller, caller))
	path, admin := carawayreelv1connect.NewAdminServiceHandler(roles.Admin, options...)
	mux.Handle(path, middleware.Require(auth.RoleOperator, admin))
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeReadiness(w, roles.Control)
	})
	return mux
}

func writeReadiness(w http.ResponseWriter, control Control) {
	ready, reason := control.Ready()
	if ready {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// PeerHandler returns the handler for the other VMs. Messages beyond the limits are
// rejected.
func PeerHandler(roles Roles, middleware *auth.Middleware, limits peer.Limits, logger zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	path, handler := carawayreelv1connect.NewPeerServiceHandler(&peerService{roles}, limits.HandlerOption(), recovery(logger))
	mux.Handle(path, middleware.Require(auth.RolePeer, handler))
	return mux
}

// recovery turns a panic in a handler into a log entry and an internal error.
func recovery(logger zerolog.Logger) connect.HandlerOption {
	return connect.WithRecover(func(_ context.Context, spec connect.Spec, _ http.Header, cause any) error {
		logger.Error().Str("procedure", spec.Procedure).Interface("panic", cause).Msg("call panicked")
		return connect.NewError(connect.CodeInternal, errors.New("internal error"))
	})
}

// validate checks a message against the validation rules of its schema.
func validate(message proto.Message) error {
	if err := protovalidate.Validate(message); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return nil
}
