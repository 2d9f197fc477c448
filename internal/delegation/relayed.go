package delegation

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// EncodeResults encodes the results of a batch with the records of its successful replies.
func EncodeResults(results []fanout.Result, records []byte) ([]byte, error) {
	message := &pb.RelayedReplies{Records: records}
	for _, result := range results {
		message.Replies = append(message.Replies, encodeResult(result))
	}
	body, err := proto.Marshal(message)
	return body, errors.Wrap(err, "relayed replies")
}

func encodeResult(result fanout.Result) *pb.RelayedReply {
	reply := result.Reply
	if reply == nil {
		return &pb.RelayedReply{Result: resultOfError(result.Err)}
	}
	encoded := &pb.RelayedReply{TookUs: uint32(reply.Took.Microseconds()), Advice: encodeAdvice(reply.Advice)}
	switch {
	case reply.OtherTarget:
		encoded.Result = pb.RelayedResult_RELAYED_RESULT_UNREACHABLE
	case reply.NotRun:
		encoded.Result = pb.RelayedResult_RELAYED_RESULT_REJECTED
	case reply.Successful():
		encoded.Result = pb.RelayedResult_RELAYED_RESULT_SUCCEEDED
		encoded.Receipt = reply.Receipt
	default:
		encoded.Result = pb.RelayedResult_RELAYED_RESULT_FAILED
	}
	return encoded
}

func encodeAdvice(a advisory.Advice) *pb.RelayedAdvice {
	return &pb.RelayedAdvice{Leaving: a.Leaving, Limited: a.Limited, RequestsPerS: a.RequestsPerSecond}
}

func parseAdvice(a *pb.RelayedAdvice) advisory.Advice {
	if a == nil {
		return advisory.Advice{Unknown: true}
	}
	return advisory.Advice{Leaving: a.Leaving, Limited: a.Limited, RequestsPerSecond: a.RequestsPerS}
}

// errorResults are the results of sends without a reply.
var errorResults = []struct {
	err    error
	result pb.RelayedResult
}{
	{backend.ErrBusy, pb.RelayedResult_RELAYED_RESULT_BUSY},
	{backend.ErrConnectTimeout, pb.RelayedResult_RELAYED_RESULT_UNRESPONSIVE},
	{backend.ErrNotSent, pb.RelayedResult_RELAYED_RESULT_UNREACHABLE},
	{backend.ErrUnfinished, pb.RelayedResult_RELAYED_RESULT_UNFINISHED},
	{fanout.ErrNotRelayed, pb.RelayedResult_RELAYED_RESULT_NOT_RELAYED},
	{backend.ErrNoReply, pb.RelayedResult_RELAYED_RESULT_NO_REPLY},
	{backend.ErrIncomplete, pb.RelayedResult_RELAYED_RESULT_INCOMPLETE},
	{backend.ErrLost, pb.RelayedResult_RELAYED_RESULT_LOST},
}

func resultOfError(err error) pb.RelayedResult {
	for _, e := range errorResults {
		if errors.Is(err, e.err) {
			return e.result
		}
	}
	return pb.RelayedResult_RELAYED_RESULT_LOST
}

// ParseResults returns the results of a batch of the given size from a relay's reply. The
// first successful reply holds the records of all. Its errors wrap fanout.ErrNotRelayed if
// the relay did not run the batch, and backend.ErrLost if the reply can't be used.
func ParseResults(reply *backend.Reply, size int) ([]fanout.Result, error) {
	if reply.NotRun {
		return nil, errors.Wrapf(fanout.ErrNotRelayed, "status %d", reply.Status)
	}
	message := &pb.RelayedReplies{}
	if reply.Status != http.StatusOK {
		return nil, errors.Wrapf(backend.ErrLost, "status %d", reply.Status)
	}
	if err := proto.Unmarshal(reply.Body, message); err != nil {
		return nil, errors.Wrap(backend.ErrLost, err.Error())
	}
	if len(message.Replies) != size {
		return nil, errors.Wrapf(backend.ErrLost, "%d replies to %d sends", len(message.Replies), size)
	}
	results := make([]fanout.Result, 0, size)
	records := message.Records
	for _, relayed := range message.Replies {
		result := parseResult(relayed)
		if relayed.Result == pb.RelayedResult_RELAYED_RESULT_SUCCEEDED {
			if relayed.Receipt == "" {
				return nil, errors.Wrap(backend.ErrLost, "a successful reply has no receipt")
			}
			result.Reply.Body, records = records, nil
		}
		results = append(results, result)
	}
	return results, nil
}

func parseResult(relayed *pb.RelayedReply) fanout.Result {
	reply := &backend.Reply{Took: time.Duration(relayed.TookUs) * time.Microsecond}
	reply.Advice = parseAdvice(relayed.Advice)
	switch relayed.Result {
	case pb.RelayedResult_RELAYED_RESULT_SUCCEEDED:
		reply.Status, reply.Receipt = http.StatusOK, relayed.Receipt
	case pb.RelayedResult_RELAYED_RESULT_FAILED:
		reply.Status = http.StatusInternalServerError
	case pb.RelayedResult_RELAYED_RESULT_REJECTED:
		reply.Status, reply.NotRun = http.StatusServiceUnavailable, true
	default:
		for _, e := range errorResults {
			if e.result == relayed.Result {
				return fanout.Result{Err: errors.Wrap(e.err, "relayed")}
			}
		}
		return fanout.Result{Err: errors.Wrapf(backend.ErrLost, "relayed result %d", relayed.Result)}
	}
	return fanout.Result{Reply: reply}
}
