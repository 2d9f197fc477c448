package cli

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Search implements statement.Caller.
func (c *client) Search(ctx context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.SearchResponse], error) {
		return s.caller.Search(ctx, connect.NewRequest(r.Msg))
	})
}

// IssueToken implements statement.Caller. An unused token has no effect, so the call
// fails over to the next server when a response is lost.
func (c *client) IssueToken(ctx context.Context, r *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.IssueTokenResponse], error) {
		return s.caller.IssueToken(ctx, connect.NewRequest(r.Msg))
	})
}

// SubmitChange implements statement.Caller. A change that may have been sent but
// got no response has an unknown outcome and is not sent again.
func (c *client) SubmitChange(ctx context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	response, err := callAtMostOnce(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.SubmitChangeResponse], error) {
		return s.caller.SubmitChange(ctx, connect.NewRequest(r.Msg))
	})
	if lost, ok := responseLost(err); ok {
		return connect.NewResponse(&pb.SubmitChangeResponse{
			Token:   r.Msg.Token,
			Outcome: pb.Outcome_OUTCOME_UNKNOWN,
			Reason:  lost.Error(),
		}), nil
	}
	return response, err
}

// GetOutcome implements statement.Caller.
func (c *client) GetOutcome(ctx context.Context, r *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetOutcomeResponse], error) {
		return s.caller.GetOutcome(ctx, connect.NewRequest(r.Msg))
	})
}

// GetConfiguration implements statement.Admin.
func (c *client) GetConfiguration(ctx context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetConfigurationResponse], error) {
		return s.admin.GetConfiguration(ctx, connect.NewRequest(r.Msg))
	})
}

// ApplyConfiguration implements statement.Admin. A configuration that
// may have been sent but got no response has an unknown outcome. A dry run changes
// nothing, so it may fail over to the next server.
func (c *client) ApplyConfiguration(ctx context.Context, r *connect.Request[pb.ApplyConfigurationRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	call := func(ctx context.Context, s server) (*connect.Response[pb.ApplyConfigurationResponse], error) {
		return s.admin.ApplyConfiguration(ctx, connect.NewRequest(r.Msg))
	}
	if r.Msg.DryRun {
		return callWithFailover(ctx, c, call)
	}
	return unknownIfResponseLost(callAtMostOnce(ctx, c, call))
}

// SetServingState implements statement.Admin. Like ApplyConfiguration,
// it returns an unknown outcome when the response is lost.
func (c *client) SetServingState(ctx context.Context, r *connect.Request[pb.SetServingStateRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	return unknownIfResponseLost(callAtMostOnce(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ApplyConfigurationResponse], error) {
		return s.admin.SetServingState(ctx, connect.NewRequest(r.Msg))
	}))
}

// unknownIfResponseLost turns the error of a lost response into a response with an
// unknown outcome.
func unknownIfResponseLost(response *connect.Response[pb.ApplyConfigurationResponse], err error) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	if lost, ok := responseLost(err); ok {
		return connect.NewResponse(&pb.ApplyConfigurationResponse{
			Status: pb.ApplyStatus_APPLY_STATUS_UNKNOWN,
			Reason: lost.Error(),
		}), nil
	}
	return response, err
}

// ListHistory implements statement.Admin.
func (c *client) ListHistory(ctx context.Context, r *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ListHistoryResponse], error) {
		return s.admin.ListHistory(ctx, connect.NewRequest(r.Msg))
	})
}

// PushConfiguration implements statement.Admin. A VM never goes back to
// an older revision, so pushing a revision again has no effect and the call
// may fail over to the next server.
func (c *client) PushConfiguration(ctx context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.PushConfigurationResponse], error) {
		return s.admin.PushConfiguration(ctx, connect.NewRequest(r.Msg))
	})
}

// GetStatus implements statement.Admin.
func (c *client) GetStatus(ctx context.Context, r *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetStatusResponse], error) {
		return s.admin.GetStatus(ctx, connect.NewRequest(r.Msg))
	})
}

// Execute implements statement.Admin. The statement may be a change, so
// it is sent at most once.
func (c *client) Execute(ctx context.Context, r *connect.Request[pb.ExecuteRequest]) (*connect.Response[pb.ExecuteResponse], error) {
	return callAtMostOnce(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ExecuteResponse], error) {
		return s.admin.Execute(ctx, connect.NewRequest(r.Msg))
	})
}

// ListDecisions implements statement.Admin.
func (c *client) ListDecisions(ctx context.Context, r *connect.Request[pb.ListDecisionsRequest]) (*connect.Response[pb.ListDecisionsResponse], error) {
	return callWithFailover(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ListDecisionsResponse], error) {
		return s.admin.ListDecisions(ctx, connect.NewRequest(r.Msg))
	})
}
