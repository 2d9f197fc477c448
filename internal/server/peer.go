package server

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// peerService implements the PeerService for other VMs.
type peerService struct {
	roles Roles
}

func (s *peerService) Dispatch(ctx context.Context, r *connect.Request[pb.SubRequest]) (*connect.Response[pb.SubReply], error) {
	return connect.NewResponse(s.roles.Owner.Dispatch(ctx, r.Msg)), nil
}

func (s *peerService) DispatchChange(ctx context.Context, r *connect.Request[pb.ChangeDispatch]) (*connect.Response[pb.ChangeReply], error) {
	return connect.NewResponse(s.roles.Owner.DispatchChange(ctx, r.Msg)), nil
}

func (s *peerService) ForwardChange(ctx context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.ForwardChangeResponse], error) {
	if err := validate(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(s.roles.Changes.SubmitForwarded(ctx, r.Msg)), nil
}

func (s *peerService) ForwardOutcome(_ context.Context, r *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.ForwardOutcomeResponse], error) {
	return connect.NewResponse(s.roles.Changes.OutcomeForwarded(r.Msg)), nil
}

func (s *peerService) Heartbeat(ctx context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	return connect.NewResponse(s.roles.Control.Heartbeat(ctx, r.Msg)), nil
}

func (s *peerService) FetchConfiguration(ctx context.Context, r *connect.Request[pb.FetchConfigurationRequest]) (*connect.Response[pb.FetchConfigurationResponse], error) {
	return connect.NewResponse(s.roles.Control.FetchConfiguration(ctx, r.Msg)), nil
}

func (s *peerService) OfferConfiguration(ctx context.Context, r *connect.Request[pb.OfferConfigurationRequest]) (*connect.Response[pb.OfferConfigurationResponse], error) {
	return connect.NewResponse(s.roles.Control.OfferConfiguration(ctx, r.Msg)), nil
}

func (s *peerService) HandOver(_ context.Context, r *connect.Request[pb.HandOverRequest]) (*connect.Response[pb.HandOverResponse], error) {
	s.roles.Owner.AcceptHandOver(r.Msg.Targets)
	accepted := true
	if r.Msg.Issuer != nil {
		accepted = s.roles.Changes.Accept(r.Msg.Issuer, r.Msg.Records, !r.Msg.More)
	}
	return connect.NewResponse(&pb.HandOverResponse{Accepted: accepted}), nil
}

func (s *peerService) Announce(_ context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	s.roles.Quarantine.Merge(r.Msg.Entries, time.Now())
	return connect.NewResponse(&pb.AnnounceResponse{}), nil
}

func (s *peerService) GetTargets(context.Context, *connect.Request[pb.GetTargetsRequest]) (*connect.Response[pb.GetTargetsResponse], error) {
	return connect.NewResponse(&pb.GetTargetsResponse{Targets: s.roles.Owner.Targets()}), nil
}

func (s *peerService) ReportUsage(_ context.Context, r *connect.Request[pb.ReportUsageRequest]) (*connect.Response[pb.ReportUsageResponse], error) {
	if s.roles.Allowances == nil {
		return connect.NewResponse(&pb.ReportUsageResponse{}), nil
	}
	return connect.NewResponse(s.roles.Allowances.ReportUsage(r.Msg)), nil
}
