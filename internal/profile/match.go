package profile

import (
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Filter returns the rows for which every condition holds.
func Filter(rows []*pb.Row, conditions []*pb.Condition) []*pb.Row {
	var matching []*pb.Row
	for _, row := range rows {
		if Matches(row, conditions) {
			matching = append(matching, row)
		}
	}
	return matching
}

// Matches reports whether every condition holds for the row. A condition on a
// field that the row lacks, or with an unknown operator, does not hold.
func Matches(row *pb.Row, conditions []*pb.Condition) bool {
	for _, condition := range conditions {
		value, ok := FieldValue(row, condition.Field)
		if !ok || !compare(condition.Operator, value, condition.Value) {
			return false
		}
	}
	return true
}

// FieldValue returns the value of the row's field of that name.
func FieldValue(row *pb.Row, name string) (string, bool) {
	for _, field := range row.Fields {
		if field.Name == name {
			return field.Value, true
		}
	}
	return "", false
}

func compare(operator pb.Operator, value, wanted string) bool {
	switch operator {
	case pb.Operator_OPERATOR_EQUAL:
		return value == wanted
	case pb.Operator_OPERATOR_PREFIX:
		return strings.HasPrefix(strings.ToLower(value), strings.ToLower(wanted))
	case pb.Operator_OPERATOR_CONTAINS:
		return strings.Contains(strings.ToLower(value), strings.ToLower(wanted))
	case pb.Operator_OPERATOR_LESS:
		return value < wanted
	case pb.Operator_OPERATOR_GREATER:
		return value > wanted
	default:
		return false
	}
}
