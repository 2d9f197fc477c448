package owner_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/owner"
	"github.com/carawayreel/carawayreel/internal/target"
)

// startFixedReplyTarget starts a server that answers every request with the same bytes, so that benchmarks
// measure only the client. It returns the server's address.
func startFixedReplyTarget(b *testing.B) string {
	body, err := proto.Marshal(&pb.TargetSearchResponse{
		RequestId: "r", Attempt: 1, Snapshot: 7, Status: pb.TargetStatus_TARGET_STATUS_OK, BootId: "boot-1",
	})
	require.NoError(b, err)
	reply := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFixedReply(c, reply)
		}
	}()
	return listener.Addr().String()
}

// serveFixedReply writes one reply for each read: the requests of the benchmarks are small enough to arrive
// in a single read.
func serveFixedReply(c net.Conn, reply []byte) {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 8192)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}

// BenchmarkDispatch measures one subrequest through the owner, including the call over the connection.
func BenchmarkDispatch(b *testing.B) {
	d := newDeployment(newFakeTarget(b))
	d.targets[0].Address = startFixedReplyTarget(b)
	d.configure(2)
	o := d.owner(nil)
	r := subRequest("a", time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		if reply := o.Dispatch(b.Context(), r); reply.Status != pb.SubStatus_SUB_STATUS_OK {
			b.Fatal(reply)
		}
	}
}

// BenchmarkCallWithoutOwner measures the same call with only the target client. The difference from
// BenchmarkDispatch is the overhead of the owner.
func BenchmarkCallWithoutOwner(b *testing.B) {
	c := target.New(target.Options{Address: startFixedReplyTarget(b), Connections: 4})
	r := &pb.TargetSearchRequest{RequestId: "r", Attempt: 1, Service: "service", Snapshot: 7, RemainingUs: time.Minute.Microseconds()}
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		_, err := c.Search(ctx, r, nil)
		cancel()
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRefuse measures one subrequest that is refused without being sent to the target.
func BenchmarkRefuse(b *testing.B) {
	fake := newFakeTarget(b)
	d := newDeployment(fake)
	d.targets[0].State = pb.ServingState_SERVING_STATE_TAKEN_OUT
	d.configure(2)
	o := d.owner(nil)
	r := subRequest("a", time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		o.Dispatch(b.Context(), r)
	}
}

// BenchmarkMachine measures the state machine's work for one job, from submission to completion.
func BenchmarkMachine(b *testing.B) {
	m := owner.NewMachine(threeSlots, 0)
	var now time.Duration
	job := owner.JobID(0)
	b.ReportAllocs()
	for b.Loop() {
		job++
		now += time.Millisecond
		m.Step(owner.Event{Kind: owner.EventSubmit, At: now, Job: job, Deadline: now + time.Second})
		m.Step(owner.Event{
			Kind: owner.EventFinish, At: now, Job: job, Result: owner.ResultOK, BootID: "boot-1", Duration: time.Millisecond,
		})
	}
}

// BenchmarkGainTargets measures gaining targets and reports the heap used per target.
func BenchmarkGainTargets(b *testing.B) {
	const targets = 1000
	fake := newFakeTarget(b)
	d := newDeployment(fake)
	first := d.targets[0]
	for i := range targets - 1 {
		more := proto.CloneOf(first)
		more.Id = fmt.Sprintf("t%d", i)
		d.targets = append(d.targets, more)
	}
	d.configure(2)
	var heapGrowth uint64
	for b.Loop() {
		before := heapInUse()
		o := d.owner(nil)
		requireStatus(b, pb.SubStatus_SUB_STATUS_OK, o.Dispatch(b.Context(), subRequest("a", time.Minute)))
		heapGrowth = heapInUse() - before
		require.Len(b, o.Targets(), targets)
	}
	b.ReportMetric(float64(heapGrowth)/targets, "heap-B/target")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
