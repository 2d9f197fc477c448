package cli

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// identifying are the fields that name the items of a list.
var identifying = []string{"name", "id", "version", "service"}

// difference returns the lines by which two configurations differ, each with
// the place of a value. What describes only the revision is left out.
func difference(before, after *pb.Configuration) ([]string, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	wanted, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, line := range merged(old, wanted) {
		_, inOld := slices.BinarySearch(old, line)
		_, inWanted := slices.BinarySearch(wanted, line)
		switch {
		case !inWanted:
			lines = append(lines, "- "+line)
		case !inOld:
			lines = append(lines, "+ "+line)
		}
	}
	return lines, nil
}

func merged(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// flatten returns one line for each value of a configuration, sorted.
func flatten(c *pb.Configuration) ([]string, error) {
	compared := &pb.Configuration{FailureDomains: c.GetFailureDomains()}
	for _, front := range c.GetFronts() {
		front = proto.CloneOf(front)
		front.Revision = 0
		compared.Fronts = append(compared.Fronts, front)
	}
	encoded, err := protojson.Marshal(compared)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var value any
	if err := json.Unmarshal(encoded, &value); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	lines := appendValues(nil, "", value)
	slices.Sort(lines)
	return lines, nil
}

func appendValues(lines []string, path string, value any) []string {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			lines = appendValues(lines, joinPath(path, key), item)
		}
	case []any:
		for i, item := range v {
			lines = appendValues(lines, fmt.Sprintf("%s[%s]", path, itemName(item, i)), item)
		}
	default:
		lines = append(lines, fmt.Sprintf("%s = %v", path, v))
	}
	return lines
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemName returns what identifies an item of a list: its name, or itself when
// it is a plain value.
func itemName(item any, index int) string {
	fields, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(item)
	}
	for _, key := range identifying {
		if name, ok := fields[key]; ok {
			return fmt.Sprint(name)
		}
	}
	return fmt.Sprint(index)
}
