package configstore

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// maxServingAttempts is the maximum number of attempts to set a serving state while
// other operators apply revisions that do not change that state.
const maxServingAttempts = 5

// SetServingState takes a failure domain or a target out of service, or returns
// it to service, based on whichever revision the store holds. If another operator
// concurrently changes the state of the same element, the result is a conflict.
// SetServingState takes fronts from cached if their revision is unchanged, instead
// of reading them; cached may be nil.
func (s *Store) SetServingState(ctx context.Context, request *pb.SetServingStateRequest, cached *pb.Configuration, now time.Time) Result {
	previousState := pb.ServingState_SERVING_STATE_UNSPECIFIED
	var result Result
	for attempt := range maxServingAttempts {
		present, err := s.Load(ctx, cached)
		if err != nil {
			return notRunResult(err)
		}
		state, found := servingState(present.Configuration, request)
		if !found {
			return newResult(present, pb.ApplyStatus_APPLY_STATUS_INVALID, "no such failure domain or target: name exactly one that the configuration holds")
		}
		if attempt > 0 && state != previousState {
			return conflictResult(present, withServingState(present.Configuration, request))
		}
		if state == request.State {
			return newResult(present, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, "already so")
		}
		previousState = state
		result = s.applyTo(ctx, present, newApplyRequest(present, request), now)
		if result.Response.Status != pb.ApplyStatus_APPLY_STATUS_CONFLICT {
			return result
		}
	}
	return result
}

func newApplyRequest(present Stored, request *pb.SetServingStateRequest) *pb.ApplyConfigurationRequest {
	return &pb.ApplyConfigurationRequest{
		Configuration:    withServingState(present.Configuration, request),
		ExpectedRevision: present.Configuration.GetRevision(),
		Force:            request.Force,
	}
}

// servingState returns the present state of the failure domain or target named by
// the request. It returns false if the request does not name exactly one of them, if
// the configuration does not hold it, or if the requested state is unspecified.
func servingState(c *pb.Configuration, request *pb.SetServingStateRequest) (pb.ServingState, bool) {
	if (request.FailureDomain == "") == (request.Target == "") {
		return pb.ServingState_SERVING_STATE_UNSPECIFIED, false
	}
	if request.State == pb.ServingState_SERVING_STATE_UNSPECIFIED {
		return pb.ServingState_SERVING_STATE_UNSPECIFIED, false
	}
	for _, domain := range c.GetFailureDomains() {
		if domain.Name == request.FailureDomain {
			return domain.State, true
		}
	}
	if target := findTarget(c, request.Target); target != nil {
		return target.State, true
	}
	return pb.ServingState_SERVING_STATE_UNSPECIFIED, false
}

func findTarget(c *pb.Configuration, id string) *pb.Target {
	if id == "" {
		return nil
	}
	for _, front := range c.GetFronts() {
		for _, service := range front.Services {
			for _, target := range service.Targets {
				if target.Id == id {
					return target
				}
			}
		}
	}
	return nil
}

// withServingState returns a copy of the configuration with the requested state,
// author and a generated comment.
func withServingState(c *pb.Configuration, request *pb.SetServingStateRequest) *pb.Configuration {
	changed, _ := proto.Clone(c).(*pb.Configuration)
	changed.Author = request.Author
	name := request.FailureDomain + request.Target
	changed.Comment = fmt.Sprintf("%s: %s", name, request.State)
	for _, domain := range changed.FailureDomains {
		if domain.Name == request.FailureDomain {
			domain.State = request.State
		}
	}
	if target := findTarget(changed, request.Target); target != nil {
		target.State = request.State
	}
	return changed
}
