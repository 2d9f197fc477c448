package decision_test

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// BenchmarkLine reports the length of one routing decision's log line, in bytes.
func BenchmarkLine(b *testing.B) {
	var out bytes.Buffer
	log := decision.NewLog(zerolog.New(&out).With().Timestamp().Str("vm", "vm-domain-3-0123").Logger(), 1)
	for b.Loop() {
		out.Reset()
		log.Record(&pb.Decision{
			Kind: pb.DecisionKind_DECISION_KIND_SEND, RequestId: "0190a7c1-4e0b-7d30-9c55-0d2f6b1c8a11", Attempt: 1,
			Service: "zoekportaal-03", Target: "zoekportaal-03-2", Owner: "vm-domain-5-0217", Reason: "least load",
			Snapshot: 7, OffsetUs: 1234,
		})
	}
	b.ReportMetric(float64(out.Len()), "B/line")
}
