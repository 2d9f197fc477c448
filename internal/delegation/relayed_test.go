package delegation_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/fanout"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func relayReply(status int, body []byte) *backend.Reply {
	return &backend.Reply{Status: status, Body: body, ReplyMetadata: backend.ReplyMetadata{NotRun: status == http.StatusServiceUnavailable}}
}

func TestResultsSurviveTheMessage(t *testing.T) {
	reply := func(status int, metadata backend.ReplyMetadata) fanout.Result {
		return fanout.Result{Reply: &backend.Reply{Status: status, Took: 7 * time.Millisecond, ReplyMetadata: metadata}}
	}
	advice := advisory.Advice{Leaving: true, Limited: true, RequestsPerSecond: 2.5}
	answered := []fanout.Result{
		reply(500, backend.ReplyMetadata{Receipt: "f"}),
		reply(200, backend.ReplyMetadata{Receipt: "r1"}),
		reply(200, backend.ReplyMetadata{Receipt: "r2", Advice: advice}),
		reply(503, backend.ReplyMetadata{NotRun: true}),
		reply(421, backend.ReplyMetadata{OtherTarget: true}),
	}
	kinds := []error{
		backend.ErrNotSent, backend.ErrBusy, backend.ErrConnectTimeout, backend.ErrLost, backend.ErrUnfinished, fanout.ErrNotRelayed,
	}
	results := make([]fanout.Result, 0, len(answered)+len(kinds))
	results = append(results, answered...)
	for _, kind := range kinds {
		results = append(results, fanout.Result{Err: errors.Wrap(kind, "cause")})
	}
	body, err := delegation.EncodeResults(results, []byte("records"))
	require.NoError(t, err)
	parsed, err := delegation.ParseResults(relayReply(200, body), len(results))
	require.NoError(t, err)
	require.Len(t, parsed, len(results))
	require.False(t, parsed[0].Reply.Successful())
	require.True(t, parsed[1].Reply.Successful())
	require.Equal(t, "r1", parsed[1].Reply.Receipt)
	require.Equal(t, "records", string(parsed[1].Reply.Body), "the first successful reply holds the records of all")
	require.Equal(t, 7*time.Millisecond, parsed[1].Reply.Took)
	require.Empty(t, parsed[2].Reply.Body)
	require.Equal(t, advice, parsed[2].Reply.Advice)
	require.Equal(t, advisory.Advice{}, parsed[1].Reply.Advice)
	require.True(t, parsed[3].Reply.NotRun)
	require.ErrorIs(t, parsed[4].Err, backend.ErrNotSent, "another target replied")
	for i, kind := range kinds {
		require.ErrorIs(t, parsed[len(answered)+i].Err, kind)
	}
}

// Guards against the reply of a relay that passes no advice on being taken to say that the
// target asks for nothing, which would end a limit that it has named.
func TestRelayWithoutAdviceEndsNoLimit(t *testing.T) {
	body, err := proto.Marshal(&pb.RelayedReplies{Replies: []*pb.RelayedReply{
		{Result: pb.RelayedResult_RELAYED_RESULT_SUCCEEDED, Receipt: "r"},
	}})
	require.NoError(t, err)
	parsed, err := delegation.ParseResults(relayReply(200, body), 1)
	require.NoError(t, err)
	board, target := advisory.NewBoard(), advisory.Target{ID: "t", Started: 1}
	now := time.Unix(1000, 0)
	board.Observe(target, advisory.Advice{Limited: true, RequestsPerSecond: 1}, now, now)
	board.Observe(target, parsed[0].Reply.Advice, now.Add(time.Second), now.Add(2*time.Second))
	require.Equal(t, 1, board.Counts(now.Add(2*time.Second)).Limited)
}

func TestUnusableReplyOfARelay(t *testing.T) {
	body, err := delegation.EncodeResults([]fanout.Result{{Err: backend.ErrLost}}, nil)
	require.NoError(t, err)
	_, err = delegation.ParseResults(relayReply(503, nil), 1)
	require.ErrorIs(t, err, fanout.ErrNotRelayed)
	for _, reply := range []*backend.Reply{relayReply(500, body), relayReply(200, body[:len(body)-1]), relayReply(200, []byte("\xff"))} {
		_, err = delegation.ParseResults(reply, 1)
		require.ErrorIs(t, err, backend.ErrLost)
	}
	_, err = delegation.ParseResults(relayReply(200, body), 2)
	require.ErrorIs(t, err, backend.ErrLost)
}

// A relay's reply is read from the network.
func FuzzParseResults(f *testing.F) {
	body, err := delegation.EncodeResults([]fanout.Result{{Err: backend.ErrLost}, {Err: backend.ErrBusy}}, []byte("records"))
	require.NoError(f, err)
	f.Add(body, 2)
	f.Fuzz(func(t *testing.T, body []byte, size int) {
		results, err := delegation.ParseResults(relayReply(200, body), size)
		if err != nil {
			return
		}
		require.Len(t, results, size)
		for _, result := range results {
			require.NotEqual(t, result.Reply == nil, result.Err == nil)
		}
	})
}
