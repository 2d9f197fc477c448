package registry

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// rollouts holds the orders of roll-outs and their statuses by the keys of their entries.
type rollouts struct {
	orders   map[string]*pb.Rollout
	statuses map[string]*pb.Rollout
}

func newRollouts() rollouts {
	return rollouts{orders: map[string]*pb.Rollout{}, statuses: map[string]*pb.Rollout{}}
}

// apply applies an order or a status and reports whether it is newer than the known one.
func (r rollouts) apply(entry Entry) bool {
	if entry.Rollout != nil {
		if known := r.orders[entry.Key]; known.GetOrderRevision() >= entry.Revision {
			return false
		}
		order, _ := proto.Clone(entry.Rollout).(*pb.Rollout)
		order.OrderRevision = entry.Revision
		r.orders[entry.Key] = order
		return true
	}
	if known := r.statuses[entry.Key]; known.GetStatusRevision() >= entry.Revision {
		return false
	}
	status, _ := proto.Clone(entry.RolloutStatus).(*pb.Rollout)
	status.StatusRevision = entry.Revision
	r.statuses[entry.Key] = status
	return true
}

// remove deletes the order or status of a deleted entry, or of one that is not readable any
// more, and reports whether there was one.
func (r rollouts) remove(entry Entry) bool {
	_, order := r.orders[entry.Key]
	_, status := r.statuses[entry.Key]
	delete(r.orders, entry.Key)
	delete(r.statuses, entry.Key)
	return order || status
}

// configuration returns the roll-outs in ascending order of their services. onlyVersion
// reports whether a service had targets of one version only before a revision.
func (r rollouts) configuration(onlyVersion func(service, version string, before uint64) bool) []*pb.Rollout {
	byService := map[string]*pb.Rollout{}
	for _, status := range r.statuses {
		// Without its order, only a roll-back has an effect: the version that it refused.
		if status.State == pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK {
			refused, _ := proto.Clone(status).(*pb.Rollout)
			refused.OrderRevision = status.StatusOrderRevision
			byService[status.Service] = refused
		}
	}
	for _, order := range r.orders {
		joined := r.withStatus(order)
		if joined.StatusOrderRevision != order.OrderRevision && onlyVersion(order.Service, order.Version, order.OrderRevision) {
			joined.State, joined.Share = pb.RolloutState_ROLLOUT_STATE_COMPLETED, 1
		}
		byService[order.Service] = joined
	}
	list := make([]*pb.Rollout, 0, len(byService))
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		list = append(list, byService[service])
	}
	return list
}

// withStatus returns an order with its state. The status of an earlier order only states
// which versions are refused.
func (r rollouts) withStatus(order *pb.Rollout) *pb.Rollout {
	joined, _ := proto.Clone(order).(*pb.Rollout)
	joined.State = pb.RolloutState_ROLLOUT_STATE_RUNNING
	var status *pb.Rollout
	for _, candidate := range r.statuses {
		if candidate.Service == order.Service {
			status = candidate
		}
	}
	if status == nil {
		return joined
	}
	joined.StatusRevision, joined.StatusOrderRevision = status.StatusRevision, status.StatusOrderRevision
	joined.RefusedVersions = slices.Clone(status.RefusedVersions)
	same := status.Version == order.Version
	switch {
	case status.StatusOrderRevision == order.OrderRevision:
		joined.State, joined.Share, joined.ElapsedMs = status.State, status.Share, status.ElapsedMs
		joined.Answer, joined.Reason, joined.Evidence = status.Answer, status.Reason, status.Evidence
	case same && status.State == pb.RolloutState_ROLLOUT_STATE_COMPLETED:
		// The order is repeated. Only the version that it names is left.
		joined.State, joined.Share = status.State, 1
	case !same && status.State != pb.RolloutState_ROLLOUT_STATE_COMPLETED && slices.Contains(status.BaseVersions, order.Version):
		// The operator goes back to a version that was in use.
		joined.State, joined.Share = pb.RolloutState_ROLLOUT_STATE_COMPLETED, 1
	case !same && status.State != pb.RolloutState_ROLLOUT_STATE_COMPLETED:
		// It was rolled back, or not decided when the operator replaced the order.
		joined.RefusedVersions = append(joined.RefusedVersions, status.Version)
	}
	joined.RefusedVersions = slices.DeleteFunc(joined.RefusedVersions, func(v string) bool { return v == order.Version })
	return joined
}
