package standin

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// errUnknownFront is returned for a front that is not in the profile.
var errUnknownFront = errors.New("unknown front")

// adminHandler serves the administration service of the stand-in.
type adminHandler struct {
	standin *Standin
}

// GetConfiguration returns the profile's configuration with the newest snapshots
// of each front.
func (h *adminHandler) GetConfiguration(
	context.Context, *connect.Request[standinv1.GetConfigurationRequest],
) (*connect.Response[standinv1.GetConfigurationResponse], error) {
	return connect.NewResponse(&standinv1.GetConfigurationResponse{Configuration: h.standin.Configuration()}), nil
}

// SetFault injects a fault into the selected targets and returns their IDs.
func (h *adminHandler) SetFault(
	_ context.Context, request *connect.Request[standinv1.SetFaultRequest],
) (*connect.Response[standinv1.SetFaultResponse], error) {
	response := &standinv1.SetFaultResponse{}
	for _, t := range h.standin.targets {
		if t.matches(request.Msg.Selector) {
			t.setFault(request.Msg.Fault)
			response.Targets = append(response.Targets, t.config.Id)
		}
	}
	return connect.NewResponse(response), nil
}

// SetStoreFault replaces the faults of the platform's store.
func (h *adminHandler) SetStoreFault(
	_ context.Context, request *connect.Request[standinv1.SetStoreFaultRequest],
) (*connect.Response[standinv1.SetStoreFaultResponse], error) {
	h.standin.store.setFaults(request.Msg)
	return connect.NewResponse(&standinv1.SetStoreFaultResponse{}), nil
}

// SetLink cuts or heals a link.
func (h *adminHandler) SetLink(
	_ context.Context, request *connect.Request[standinv1.SetLinkRequest],
) (*connect.Response[standinv1.SetLinkResponse], error) {
	h.standin.env.links.setCut(request.Msg.First, request.Msg.Second, request.Msg.Cut)
	return connect.NewResponse(&standinv1.SetLinkResponse{}), nil
}

// SetVms replaces the VM list.
func (h *adminHandler) SetVms(
	_ context.Context, request *connect.Request[standinv1.SetVmsRequest],
) (*connect.Response[standinv1.SetVmsResponse], error) {
	h.standin.vms.set(request.Msg.Vms)
	return connect.NewResponse(&standinv1.SetVmsResponse{}), nil
}

// AdvanceSnapshot makes the targets of a front hold the next snapshot version,
// each after its fraction of the maximum lag.
func (h *adminHandler) AdvanceSnapshot(
	_ context.Context, request *connect.Request[standinv1.AdvanceSnapshotRequest],
) (*connect.Response[standinv1.AdvanceSnapshotResponse], error) {
	lag := time.Duration(request.Msg.MaxLagMs) * time.Millisecond
	version, err := h.standin.advance(request.Msg.Front, lag)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&standinv1.AdvanceSnapshotResponse{Version: version}), nil
}

// GetCounters returns the counters of the selected targets, the store and the
// relays.
func (h *adminHandler) GetCounters(
	_ context.Context, request *connect.Request[standinv1.GetCountersRequest],
) (*connect.Response[standinv1.GetCountersResponse], error) {
	response := &standinv1.GetCountersResponse{Store: h.standin.store.snapshotCounters()}
	for _, t := range h.standin.targets {
		if t.matches(request.Msg.Selector) {
			response.Targets = append(response.Targets, t.snapshotCounters())
		}
	}
	for _, r := range h.standin.relays {
		response.Relays = append(response.Relays, r.snapshotCounters())
	}
	response.ChangesApplied, response.ChangesDoubled = h.standin.env.changes.totals()
	return connect.NewResponse(response), nil
}

// GetExecutions returns the executions that targets started for a request ID or
// token.
func (h *adminHandler) GetExecutions(
	_ context.Context, request *connect.Request[standinv1.GetExecutionsRequest],
) (*connect.Response[standinv1.GetExecutionsResponse], error) {
	found := h.standin.env.executions.find(request.Msg.RequestId)
	return connect.NewResponse(&standinv1.GetExecutionsResponse{Executions: found}), nil
}

// GetEffects returns how often the changes of a token, or of all tokens if it is
// empty, took effect.
func (h *adminHandler) GetEffects(
	_ context.Context, request *connect.Request[standinv1.GetEffectsRequest],
) (*connect.Response[standinv1.GetEffectsResponse], error) {
	found := h.standin.env.changes.find(request.Msg.Token)
	return connect.NewResponse(&standinv1.GetEffectsResponse{Effects: found}), nil
}

// Configuration returns the profile's configuration with the newest snapshots of
// each front.
func (s *Standin) Configuration() *pb.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.options.Profile.Configuration()
	for _, front := range c.Fronts {
		newest := s.newestVersions[front.Name]
		front.Snapshots = nil
		for version := newest - profile.HeldVersions + 1; version <= newest; version++ {
			front.Snapshots = append(front.Snapshots, s.options.Profile.Snapshot(front.Name, version))
		}
	}
	return c
}

// advance makes the targets of a front hold the next snapshot version, each after
// its fraction of the lag, and returns that version.
func (s *Standin) advance(front string, lag time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.newestVersions[front]; !known {
		return 0, errors.Wrap(errUnknownFront, front)
	}
	s.newestVersions[front]++
	version := s.newestVersions[front]
	now := time.Now()
	for _, t := range s.targets {
		if t.front == front {
			t.addSnapshot(version, now.Add(time.Duration(t.lagShare*float64(lag))))
		}
	}
	return version, nil
}
