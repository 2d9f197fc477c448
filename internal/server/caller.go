package server

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

type callerService struct {
	roles Roles
}

func (s *callerService) Search(ctx context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	if err := valid(r.Msg); err != nil {
		return nil, err
	}
	response, err := s.roles.Searcher.Search(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}

func (s *callerService) IssueToken(context.Context, *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	response, err := s.roles.Changes.IssueToken()
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

func (s *callerService) SubmitChange(ctx context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	if err := valid(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(s.roles.Changes.Submit(ctx, r.Msg)), nil
}

func (s *callerService) GetOutcome(ctx context.Context, r *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	if err := valid(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(s.roles.Changes.Outcome(ctx, r.Msg)), nil
}
