package standin

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// targetHandler serves the target service of one target.
type targetHandler struct {
	target *target
}

// Search runs a search on the requested partitions. The row limit applies to each
// partition; a truncated result carries the total number of matching rows.
func (h *targetHandler) Search(
	ctx context.Context, request *connect.Request[pb.TargetSearchRequest],
) (*connect.Response[pb.TargetSearchResponse], error) {
	t, r := h.target, request.Msg
	w := task{
		id:        r.RequestId,
		attempt:   r.Attempt,
		remaining: time.Duration(r.RemainingUs) * time.Microsecond,
		snapshot:  r.Snapshot,
	}
	for _, condition := range r.Conditions {
		w.values = append(w.values, condition.Value)
	}
	var results []*pb.PartitionResult
	status := t.perform(ctx, w, func() pb.TargetStatus {
		results = t.searchPartitions(r)
		t.countSearch()
		return pb.TargetStatus_TARGET_STATUS_OK
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	return connect.NewResponse(&pb.TargetSearchResponse{
		RequestId:     r.RequestId,
		Attempt:       r.Attempt,
		Target:        t.config.Id,
		Status:        status,
		Snapshot:      r.Snapshot,
		Results:       results,
		HeldSnapshots: t.heldVersions(),
		BootId:        t.bootID(),
	}), nil
}

func (t *target) countSearch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.SearchesRan++
}

func (t *target) searchPartitions(r *pb.TargetSearchRequest) []*pb.PartitionResult {
	results := make([]*pb.PartitionResult, 0, len(r.Partitions))
	for _, partition := range r.Partitions {
		rows := t.env.rows(t.front, t.service, partition, r.Snapshot)
		matching := profile.Filter(rows, r.Conditions)
		var matched uint64
		if limit := int(r.RowLimit); limit > 0 && len(matching) > limit {
			matched = uint64(len(matching))
			matching = matching[:limit]
		}
		results = append(results, &pb.PartitionResult{
			Partition: partition,
			RowCount:  uint32(len(matching)),
			Rows:      matching,
			Matched:   matched,
		})
	}
	return results
}

// Apply runs a change and records it in the change log that the targets share.
func (h *targetHandler) Apply(
	ctx context.Context, request *connect.Request[pb.TargetApplyRequest],
) (*connect.Response[pb.TargetApplyResponse], error) {
	t, r := h.target, request.Msg
	w := task{id: r.Token, remaining: time.Duration(r.RemainingUs) * time.Microsecond}
	var reason string
	status := t.perform(ctx, w, func() pb.TargetStatus {
		reason = t.env.changes.apply(t.front, t.service, t.config.Id, r)
		if reason != "" {
			return pb.TargetStatus_TARGET_STATUS_REJECTED
		}
		t.countChange()
		return pb.TargetStatus_TARGET_STATUS_OK
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	return connect.NewResponse(&pb.TargetApplyResponse{
		Token:  r.Token,
		Target: t.config.Id,
		Status: status,
		Reason: reason,
		BootId: t.bootID(),
	}), nil
}

func (t *target) countChange() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.ChangesRan++
}

// Health returns the target's health, which may be as old as the report lag, or
// the value set by a LIE_HEALTH fault.
func (h *targetHandler) Health(
	context.Context, *connect.Request[pb.TargetHealthRequest],
) (*connect.Response[pb.TargetHealthResponse], error) {
	t := h.target
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.HealthCalls++
	if t.faults.overrideHealth {
		return connect.NewResponse(&pb.TargetHealthResponse{
			Healthy:       t.faults.reportedHealthy,
			BootId:        t.bootID(),
			HeldSnapshots: t.heldVersions(),
		}), nil
	}
	return connect.NewResponse(t.health.get(time.Now(), t.env.options.ReportLag, func() *pb.TargetHealthResponse {
		return &pb.TargetHealthResponse{
			Healthy:       !t.faults.refuse,
			Draining:      t.faults.draining,
			BootId:        t.bootID(),
			HeldSnapshots: t.heldVersions(),
		}
	})), nil
}

// Load returns the target's load, which may be as old as the report lag, or the
// value set by a LIE_LOAD fault.
func (h *targetHandler) Load(
	context.Context, *connect.Request[pb.TargetLoadRequest],
) (*connect.Response[pb.TargetLoadResponse], error) {
	t := h.target
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.LoadCalls++
	if t.faults.overrideLoad {
		return connect.NewResponse(&pb.TargetLoadResponse{Running: t.faults.reportedRunning}), nil
	}
	return connect.NewResponse(t.load.get(time.Now(), t.env.options.ReportLag, func() *pb.TargetLoadResponse {
		return &pb.TargetLoadResponse{Running: uint32(t.running), Queued: uint32(len(t.waiting))}
	})), nil
}
