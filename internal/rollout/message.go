package rollout

import (
	"slices"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// OrderOf returns the order of a configured roll-out.
func OrderOf(r *pb.Rollout) Order {
	return Order{
		Service: r.GetService(), Version: r.GetVersion(), Ramp: time.Duration(r.GetRampMs()) * time.Millisecond,
		Revision: r.GetOrderRevision(),
	}
}

// StatusOf returns the stored status of a roll-out, as a configuration or the store holds it;
// the zero Status if r is nil or no status is stored.
func StatusOf(r *pb.Rollout) Status {
	if r.GetStatusRevision() == 0 {
		return Status{}
	}
	status := Status{
		OrderRevision: r.StatusOrderRevision, Version: r.Version, State: r.State, Share: r.Share,
		Elapsed: time.Duration(r.ElapsedMs) * time.Millisecond, Answer: r.Answer,
		Refused: r.RefusedVersions, Base: r.BaseVersions, Reason: r.Reason, Revision: r.StatusRevision,
	}
	for _, e := range r.Evidence {
		status.Evidence = append(status.Evidence, Finding{Test: Test{Route: e.Route, Slow: e.Slow}, Sum: e.Sum})
	}
	return status
}

// Message returns a status of the service as it is written to the store.
func (s Status) Message(service string) *pb.Rollout {
	r := &pb.Rollout{
		Service: service, Version: s.Version, State: s.State, Share: s.Share, StatusRevision: s.Revision,
		StatusOrderRevision: s.OrderRevision, ElapsedMs: uint32(s.Elapsed.Milliseconds()), Answer: s.Answer,
		Reason: s.Reason, RefusedVersions: s.Refused, BaseVersions: s.Base,
	}
	for _, f := range s.Evidence {
		r.Evidence = append(r.Evidence, &pb.RolloutEvidence{Route: f.Route, Slow: f.Slow, Sum: f.Sum})
	}
	return r
}

// Excludes reports whether a roll-out allows no requests to targets of a version of its
// service.
func Excludes(r *pb.Rollout, version string) bool {
	switch r.GetState() {
	case pb.RolloutState_ROLLOUT_STATE_COMPLETED:
		return version != r.Version
	case pb.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		return version == r.Version || slices.Contains(r.RefusedVersions, version)
	case pb.RolloutState_ROLLOUT_STATE_RUNNING:
		return slices.Contains(r.RefusedVersions, version)
	default:
		return false
	}
}
