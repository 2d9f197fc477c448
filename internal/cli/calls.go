package cli

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Search implements the caller interface.
func (c *client) Search(ctx context.Context, r *connect.Request[pb.SearchRequest]) (*connect.Response[pb.SearchResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.SearchResponse], error) {
		return s.caller.Search(ctx, connect.NewRequest(r.Msg))
	})
}

// IssueToken implements the caller interface. A token that was lost on the way
// does no harm, so another one is fetched.
func (c *client) IssueToken(ctx context.Context, r *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.IssueTokenResponse], error) {
		return s.caller.IssueToken(ctx, connect.NewRequest(r.Msg))
	})
}

// SubmitChange implements the caller interface. A change that was sent without
// an answer has an unknown outcome and is not sent again.
func (c *client) SubmitChange(ctx context.Context, r *connect.Request[pb.SubmitChangeRequest]) (*connect.Response[pb.SubmitChangeResponse], error) {
	response, err := write(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.SubmitChangeResponse], error) {
		return s.caller.SubmitChange(ctx, connect.NewRequest(r.Msg))
	})
	if lost, ok := answerLost(err); ok {
		return connect.NewResponse(&pb.SubmitChangeResponse{
			Token:   r.Msg.Token,
			Outcome: pb.Outcome_OUTCOME_UNKNOWN,
			Reason:  lost.Error(),
		}), nil
	}
	return response, err
}

// GetOutcome implements the caller interface.
func (c *client) GetOutcome(ctx context.Context, r *connect.Request[pb.GetOutcomeRequest]) (*connect.Response[pb.GetOutcomeResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetOutcomeResponse], error) {
		return s.caller.GetOutcome(ctx, connect.NewRequest(r.Msg))
	})
}

// GetConfiguration implements the administration interface.
func (c *client) GetConfiguration(ctx context.Context, r *connect.Request[pb.GetConfigurationRequest]) (*connect.Response[pb.GetConfigurationResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetConfigurationResponse], error) {
		return s.admin.GetConfiguration(ctx, connect.NewRequest(r.Msg))
	})
}

// ApplyConfiguration implements the administration interface. A configuration
// that was sent without an answer has an unknown outcome.
func (c *client) ApplyConfiguration(ctx context.Context, r *connect.Request[pb.ApplyConfigurationRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	call := func(ctx context.Context, s server) (*connect.Response[pb.ApplyConfigurationResponse], error) {
		return s.admin.ApplyConfiguration(ctx, connect.NewRequest(r.Msg))
	}
	if r.Msg.DryRun {
		return read(ctx, c, call)
	}
	return orUnknown(write(ctx, c, call))
}

// SetServingState implements the administration interface, with an unknown
// outcome as ApplyConfiguration has it.
func (c *client) SetServingState(ctx context.Context, r *connect.Request[pb.SetServingStateRequest]) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	return orUnknown(write(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ApplyConfigurationResponse], error) {
		return s.admin.SetServingState(ctx, connect.NewRequest(r.Msg))
	}))
}

func orUnknown(response *connect.Response[pb.ApplyConfigurationResponse], err error) (*connect.Response[pb.ApplyConfigurationResponse], error) {
	if lost, ok := answerLost(err); ok {
		return connect.NewResponse(&pb.ApplyConfigurationResponse{
			Status: pb.ApplyStatus_APPLY_STATUS_UNKNOWN,
			Reason: lost.Error(),
		}), nil
	}
	return response, err
}

// ListHistory implements the administration interface.
func (c *client) ListHistory(ctx context.Context, r *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ListHistoryResponse], error) {
		return s.admin.ListHistory(ctx, connect.NewRequest(r.Msg))
	})
}

// PushConfiguration implements the administration interface. A VM only moves
// forward, so pushing a revision again changes nothing.
func (c *client) PushConfiguration(ctx context.Context, r *connect.Request[pb.PushConfigurationRequest]) (*connect.Response[pb.PushConfigurationResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.PushConfigurationResponse], error) {
		return s.admin.PushConfiguration(ctx, connect.NewRequest(r.Msg))
	})
}

// GetStatus implements the administration interface.
func (c *client) GetStatus(ctx context.Context, r *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.GetStatusResponse], error) {
		return s.admin.GetStatus(ctx, connect.NewRequest(r.Msg))
	})
}

// Execute implements the administration interface. The statement may be a
// change, so it is not sent again.
func (c *client) Execute(ctx context.Context, r *connect.Request[pb.ExecuteRequest]) (*connect.Response[pb.ExecuteResponse], error) {
	return write(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ExecuteResponse], error) {
		return s.admin.Execute(ctx, connect.NewRequest(r.Msg))
	})
}

// ListDecisions implements the administration interface.
func (c *client) ListDecisions(ctx context.Context, r *connect.Request[pb.ListDecisionsRequest]) (*connect.Response[pb.ListDecisionsResponse], error) {
	return read(ctx, c, func(ctx context.Context, s server) (*connect.Response[pb.ListDecisionsResponse], error) {
		return s.admin.ListDecisions(ctx, connect.NewRequest(r.Msg))
	})
}
