package decision_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

func TestUnusualDecisionsAreLoggedWithoutSampling(t *testing.T) {
	var out bytes.Buffer
	log := decision.NewLog(zerolog.New(&out), 0)
	log.Record(&pb.Decision{Kind: pb.DecisionKind_DECISION_KIND_SEND, RequestId: "r"})
	log.Record(&pb.Decision{Kind: pb.DecisionKind_DECISION_KIND_RETRY, RequestId: "r", Target: "t"})
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"decision":"RETRY"`)
	require.Len(t, log.Find("r"), 1)
	require.Empty(t, log.Find("other"))
}

func BenchmarkRecord(b *testing.B) {
	for name, sample := range map[string]uint32{"every": 1, "none": 0} {
		b.Run(name, func(b *testing.B) {
			log := decision.NewLog(zerolog.New(io.Discard), sample)
			d := &pb.Decision{
				Kind: pb.DecisionKind_DECISION_KIND_SEND, RequestId: "0190-7c1e", Service: "akten-03",
				Target: "akten-03-a", Owner: "vm-a-1", Reason: "least in flight", Snapshot: 7,
			}
			b.ReportAllocs()
			for b.Loop() {
				log.Record(d)
			}
		})
	}
}
