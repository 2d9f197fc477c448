package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/coordinator/plan"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	"github.com/carawayreel/carawayreel/internal/decision"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

func wideShape(services int) shape {
	return shape{services: services, replicas: 3, partitions: 1, slots: 2, snapshots: []uint64{1}}
}

// unusualOnlyRecorder discards all decisions and requests unusual ones only.
type unusualOnlyRecorder struct{ decision.Discard }

func (unusualOnlyRecorder) Sampled(string) bool { return false }

// emptyReply returns a successful reply without rows, so that benchmarks measure the
// coordinator only.
func emptyReply(r *pb.SubRequest, results []*pb.PartitionResult) *pb.SubReply {
	return &pb.SubReply{
		RequestId: r.RequestId, Attempt: r.Attempt, Target: r.Target, Status: pb.SubStatus_SUB_STATUS_OK,
		Snapshot: r.Snapshot, Results: results,
	}
}

// BenchmarkSearch measures the coordinator and the machine with a dispatcher that replies
// immediately. Divide by the number of services for the cost of one subrequest.
func BenchmarkSearch(b *testing.B) {
	for _, services := range []int{30, 680} {
		for name, recorder := range map[string]decision.Recorder{"all-decisions": decision.Discard{}, "unusual-only": unusualOnlyRecorder{}} {
			b.Run(fmt.Sprintf("services=%d/%s", services, name), func(b *testing.B) {
				results := []*pb.PartitionResult{{Partition: partitionName(0)}}
				c := coordinator.New(coordinator.Options{
					Views:     &source{v: viewOf(configuration(wideShape(services)), 0)},
					Decisions: recorder,
					Dispatcher: dispatcherFunc(func(_ context.Context, _ view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
						return emptyReply(r, results), nil
					}),
				})
				r := request("benchmark")
				r.TimeLimitMs = 10_000
				b.ReportAllocs()
				for b.Loop() {
					answer, err := c.Search(b.Context(), r)
					if err != nil || answer.Outcome != pb.Outcome_OUTCOME_SUCCESS {
						b.Fatal(answer, err)
					}
				}
			})
		}
	}
}

// BenchmarkMachine measures the state machine alone.
func BenchmarkMachine(b *testing.B) {
	for _, services := range []int{30, 680} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			shared := search.NewSharedState()
			env := search.Environment{Now: simStart, View: viewOf(configuration(wideShape(services)), 0)}
			r := request("benchmark")
			in := search.Input{
				Request: r, Digest: coordinator.Digest(r), Received: env.Now, Deadline: env.Now.Add(time.Second),
				Policy: search.Policy{Hedging: true},
			}
			results := []*pb.PartitionResult{{Partition: partitionName(0)}}
			b.ReportAllocs()
			for b.Loop() {
				machine := search.New(shared, in)
				actions := machine.Apply(env, search.Event{Kind: search.Started})
				var last search.Actions
				for _, send := range actions.Sends {
					last = machine.Apply(env, search.Event{
						Kind: search.AttemptEnded, Attempt: send.Request.Attempt, Reply: emptyReply(send.Request, results),
					})
				}
				if last.Answer.GetOutcome() != pb.Outcome_OUTCOME_SUCCESS {
					b.Fatal(last.Answer)
				}
			}
		})
	}
}

// BenchmarkPlan measures building a plan, which the first search after a change of the
// view does.
func BenchmarkPlan(b *testing.B) {
	for _, services := range []int{30, 680} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			config := configuration(wideShape(services))
			views := [2]*view.View{viewOf(config, 0), viewOf(config, 0)}
			var planner plan.Planner
			n := 0
			for b.Loop() {
				n++
				if planner.Front(views[n%2], frontName) == nil {
					b.Fatal("no plan")
				}
			}
		})
	}
}
