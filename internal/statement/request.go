package statement

import (
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/language"
)

func (r *Runner) searchRequest(s *language.Search) *pb.SearchRequest {
	request := &pb.SearchRequest{
		Front:                  string(s.Front),
		TimeLimitMs:            r.timeLimitMs(s.TimeLimit),
		MinimumCoveragePercent: uint32(s.Coverage),
		RowLimit:               uint32(s.RowLimit),
		Explain:                s.Explain,
	}
	request.Conditions = Conditions(s.Conditions)
	return request
}

// Conditions converts parsed conditions to messages of the caller interface.
func Conditions(parsed []*language.Condition) []*pb.Condition {
	conditions := make([]*pb.Condition, 0, len(parsed))
	for _, condition := range parsed {
		conditions = append(conditions, &pb.Condition{
			Field:    string(condition.Field),
			Operator: operatorOf(condition.Operator),
			Value:    string(condition.Value),
		})
	}
	return conditions
}

func operatorOf(o *language.Operator) pb.Operator {
	switch {
	case o.Equal:
		return pb.Operator_OPERATOR_EQUAL
	case o.Less:
		return pb.Operator_OPERATOR_LESS
	case o.Greater:
		return pb.Operator_OPERATOR_GREATER
	case o.Contains:
		return pb.Operator_OPERATOR_CONTAINS
	default:
		return pb.Operator_OPERATOR_PREFIX
	}
}

// timeLimitMs returns the statement's time limit in milliseconds, or the
// runner's if the statement sets none.
func (r *Runner) timeLimitMs(limit language.Milliseconds) uint32 {
	if limit > 0 {
		return uint32(limit)
	}
	return uint32(r.timeLimit.Milliseconds())
}

func (r *Runner) editRequest(s *language.Edit) *pb.SubmitChangeRequest {
	edit := &pb.RecordEdit{RecordId: string(s.Record)}
	for _, assignment := range s.Assignments {
		edit.Fields = append(edit.Fields, &pb.Field{Name: string(assignment.Field), Value: string(assignment.Value)})
	}
	return &pb.SubmitChangeRequest{
		Token:       string(s.Identity.Token),
		CallerKey:   string(s.Identity.Key),
		Change:      &pb.Change{Front: string(s.Front), Kind: &pb.Change_Edit{Edit: edit}},
		TimeLimitMs: r.timeLimitMs(s.TimeLimit),
	}
}

func (r *Runner) transferRequest(s *language.Transfer) *pb.SubmitChangeRequest {
	transfer := &pb.TitleTransfer{
		CaskId:     string(s.Cask),
		FromHolder: string(s.From),
		ToHolder:   string(s.To),
	}
	return &pb.SubmitChangeRequest{
		Token:       string(s.Identity.Token),
		CallerKey:   string(s.Identity.Key),
		Change:      &pb.Change{Front: string(s.Front), Kind: &pb.Change_Transfer{Transfer: transfer}},
		TimeLimitMs: r.timeLimitMs(s.TimeLimit),
	}
}

func takeOutRequest(s *language.TakeOut) *pb.SetServingStateRequest {
	request := servingStateRequest(s.Scope, pb.ServingState_SERVING_STATE_TAKEN_OUT)
	request.Force = s.Force
	return request
}

func bringBackRequest(s *language.BringBack) *pb.SetServingStateRequest {
	return servingStateRequest(s.Scope, pb.ServingState_SERVING_STATE_IN_SERVICE)
}

func servingStateRequest(scope *language.ServingScope, state pb.ServingState) *pb.SetServingStateRequest {
	return &pb.SetServingStateRequest{
		FailureDomain: string(scope.FailureDomain),
		Target:        string(scope.Target),
		State:         state,
	}
}
