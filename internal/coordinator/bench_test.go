package coordinator_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// instant answers each subrequest at once.
type instant struct{}

func (instant) Dispatch(_ context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
	return goodReply(r), nil
}

// BenchmarkSearch measures one search with owners that answer at once, by the
// number of services; the time for each subrequest is reported too. It includes
// making the answers.
func BenchmarkSearch(b *testing.B) {
	for _, services := range []int{10, 100, 680} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			size := typical()
			size.services, size.partitions = services, 1
			c := coordinator.New(coordinator.Options{
				Views: &source{viewOf(configuration(size), 0)}, Dispatcher: instant{}, Decisions: decision.NewLog(zerolog.Nop(), 0),
				Limits: &pb.LimitSettings{MaxRunningSearches: 1000}, Logger: zerolog.Nop(),
			})
			r := request("benchmark")
			r.TimeLimitMs = 10000
			b.ReportAllocs()
			for b.Loop() {
				response, err := c.Search(b.Context(), r)
				if err != nil || response.Outcome != pb.Outcome_OUTCOME_SUCCESS {
					b.Fatal(err, response)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*services), "ns/subrequest")
		})
	}
}
