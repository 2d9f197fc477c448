package profile

import (
	"strings"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Filter returns the rows that satisfy every condition.
func Filter(rows []*pb.Row, conditions []*pb.Condition) []*pb.Row {
	var matching []*pb.Row
	for _, row := range rows {
		if Matches(row, conditions) {
			matching = append(matching, row)
		}
	}
	return matching
}

// Matches reports whether the row satisfies every condition. A condition on a field
// that the row does not have, or with an unknown operator, is not satisfied.
func Matches(row *pb.Row, conditions []*pb.Condition) bool {
	for _, condition := range conditions {
		value, ok := FieldValue(row, condition.Field)
		if !ok || !satisfies(condition.Operator, value, condition.Value) {
			return false
		}
	}
	return true
}

// FieldValue returns the value of the row's field with that name. It returns false
// if there is none.
func FieldValue(row *pb.Row, name string) (string, bool) {
	for _, field := range row.Fields {
		if field.Name == name {
			return field.Value, true
		}
	}
	return "", false
}

// satisfies reports whether a field value satisfies the operator with the wanted
// value. Prefix and contains ignore case; less and greater compare byte by byte.
func satisfies(operator pb.Operator, value, wanted string) bool {
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
