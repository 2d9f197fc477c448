package server

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Caller implements the CallerService.
type Caller struct {
	roles Roles
}

// NewCaller returns a Caller that dispatches to the given roles.
func NewCaller(roles Roles) *Caller {
	return &Caller{roles: roles}
}

// Search runs a search on one snapshot and reports its coverage. Errors of the
// searcher are returned as CodeInvalidArgument.
func (c *Caller) Search(ctx context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	if err := validate(r.Msg); err != nil {
		return nil, err
	}
	response, err := c.roles.Searcher.Search(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}

// IssueToken returns an idempotency token for one later change.
func (c *Caller) IssueToken(context.Context, *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	response, err := c.roles.Changes.IssueToken()
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// SubmitChange executes a change at most once.
func (c *Caller) SubmitChange(ctx context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	if err := validate(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(c.roles.Changes.Submit(ctx, r.Msg)), nil
}

// GetOutcome returns the known outcome of an earlier change.
func (c *Caller) GetOutcome(ctx context.Context, r *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	if err := validate(r.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(c.roles.Changes.Outcome(ctx, r.Msg)), nil
}
