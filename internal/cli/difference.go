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

// keyFields lists the fields that can identify an item of a list, in order of
// preference.
var keyFields = []string{"name", "id", "version", "service"}

// diffConfigurations returns the diff of two configurations: one line for each removed
// or added value, with its path. Metadata of the revision is not compared.
func diffConfigurations(before, after *pb.Configuration) ([]string, error) {
	return diffMessages(comparableContent(before), comparableContent(after))
}

// diffMessages returns the diff of two messages.
func diffMessages(before, after proto.Message) ([]string, error) {
	oldLines, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newLines, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, line := range mergeSorted(oldLines, newLines) {
		_, inOld := slices.BinarySearch(oldLines, line)
		_, inNew := slices.BinarySearch(newLines, line)
		switch {
		case !inNew:
			lines = append(lines, "- "+line)
		case !inOld:
			lines = append(lines, "+ "+line)
		}
	}
	return lines, nil
}

// mergeSorted returns the sorted union of two lists.
func mergeSorted(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// comparableContent returns the part of a configuration that is compared: no metadata of the
// revision.
func comparableContent(c *pb.Configuration) *pb.Configuration {
	content := &pb.Configuration{FailureDomains: c.GetFailureDomains()}
	for _, front := range c.GetFronts() {
		front = proto.CloneOf(front)
		front.Revision = 0
		content.Fronts = append(content.Fronts, front)
	}
	return content
}

// flatten returns a sorted list with one "path = value" line for each value of a message.
func flatten(content proto.Message) ([]string, error) {
	encoded, err := protojson.Marshal(content)
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

// itemName returns the identifier of a list item: the first key field that it has, its
// value if it is a scalar, or else its index.
func itemName(item any, index int) string {
	fields, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(item)
	}
	for _, key := range keyFields {
		if name, ok := fields[key]; ok {
			return fmt.Sprint(name)
		}
	}
	return fmt.Sprint(index)
}
