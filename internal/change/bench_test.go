package change_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/carawayreel/carawayreel/internal/change"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// BenchmarkRecordMemory reports the heap usage of one change record, in bytes.
func BenchmarkRecordMemory(b *testing.B) {
	const kept = 100_000
	for b.Loop() {
		before := heapBytes()
		issuer := change.Issuer{VM: "vm-a-1", Incarnation: 1}
		records := change.NewRecords(issuer, kept, validity)
		for n := range kept {
			used := token(b, issuer, n, epoch.Add(time.Minute))
			records.Submit(used, uint64(n), epoch)
			records.Finish(used, change.Result{Outcome: pb.Outcome_OUTCOME_SUCCESS, Target: "service-03-2"})
		}
		b.ReportMetric((heapBytes()-before)/kept, "heap-B/record")
		runtime.KeepAlive(records)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
