package peer_test

import (
	"context"
	"syscall"
	"testing"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/peer"
	"github.com/carawayreel/carawayreel/internal/transport"
	"github.com/carawayreel/carawayreel/internal/view"
)

// echo replies to each subrequest with two rows of one partition.
type echo struct {
	carawayreelv1connect.UnimplementedPeerServiceHandler
}

func (echo) Dispatch(_ context.Context, r *connect.Request[pb.SubRequest]) (*connect.Response[pb.SubReply], error) {
	rows := []*pb.Row{{RecordId: "service-03:17", Service: "service-03"}, {RecordId: "service-03:18", Service: "service-03"}}
	return connect.NewResponse(&pb.SubReply{
		RequestId: r.Msg.RequestId, Attempt: r.Msg.Attempt, Target: r.Msg.Target, Status: pb.SubStatus_SUB_STATUS_OK,
		Snapshot: r.Msg.Snapshot, Results: []*pb.PartitionResult{{Partition: "p0", RowCount: 2, Rows: rows}},
	}), nil
}

// cpuTime returns the CPU time used by this process so far, user and system, in
// nanoseconds.
func cpuTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkDispatch measures one subrequest to another VM over loopback. Client and
// server run in this process, so cpu-ns/op covers both.
func BenchmarkDispatch(b *testing.B) {
	_, handler := carawayreelv1connect.NewPeerServiceHandler(echo{})
	server, err := transport.Listen("127.0.0.1:0", handler)
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(b.Context()) }()
	client := peer.New("self", transport.NewClient(transport.ClientOptions{}), peer.Limits{MessageBytes: 1 << 20})
	vm := view.VM{ID: "other", PeerAddress: server.Address()}
	request := &pb.SubRequest{
		RequestId: "0190-7c1e", Attempt: 1, Front: "front", Service: "service-03", Target: "service-03-2", Snapshot: 7,
		Partitions: []string{"p0"}, RemainingUs: 100000, Coordinator: "self",
		Conditions: []*pb.Condition{{Field: "name", Operator: pb.Operator_OPERATOR_PREFIX, Value: "Ja"}},
	}
	b.ReportAllocs()
	before := cpuTime()
	defer func() { b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op") }()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := client.Dispatch(b.Context(), vm, request); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
