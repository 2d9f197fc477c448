package load

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const resultFileMode = 0o644

// WriteFile writes a result to the named file as JSON.
func WriteFile(name string, result *pb.LoadResult) error {
	encoded, err := Encode(result)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(name, encoded, resultFileMode), "write result")
}

// Encode returns a result as indented protobuf JSON.
func Encode(result *pb.LoadResult) ([]byte, error) {
	encoded, err := protojson.Marshal(result)
	if err != nil {
		return nil, errors.Wrap(err, "encode result")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", " "); err != nil {
		return nil, errors.Wrap(err, "indent result")
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}

// ReadFile reads a result written by WriteFile. The error is an *InvalidError if
// the file holds anything else.
func ReadFile(name string) (*pb.LoadResult, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	result := &pb.LoadResult{}
	if err := protojson.Unmarshal(content, result); err != nil {
		return nil, &InvalidError{Reason: name + " is not a result file: " + err.Error()}
	}
	return result, nil
}

// ReadEvents reads a file of events, one per line: a time and a text. The time
// is an offset from the start of the run or an RFC 3339 timestamp. Empty lines
// and lines that start with # are skipped.
func ReadEvents(name string, started time.Time) ([]*pb.LoadEvent, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read events")
	}
	var events []*pb.LoadEvent
	for _, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		when, text, _ := strings.Cut(line, " ")
		offset, err := eventOffset(when, started)
		if err != nil {
			return nil, &InvalidError{Reason: name + ": " + when + " is neither a duration nor an RFC 3339 timestamp"}
		}
		events = append(events, &pb.LoadEvent{OffsetMs: offset.Milliseconds(), Text: strings.TrimSpace(text)})
	}
	return events, nil
}

func eventOffset(when string, started time.Time) (time.Duration, error) {
	if offset, err := time.ParseDuration(when); err == nil {
		return offset, nil
	}
	timestamp, err := time.Parse(time.RFC3339Nano, when)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return timestamp.Sub(started), nil
}
