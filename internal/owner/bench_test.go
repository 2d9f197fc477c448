package owner_test

import (
	"context"
	"testing"
	"time"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/owner"
	"github.com/carawayreel/carawayreel/internal/target"
)

// BenchmarkDispatch measures one subrequest through the owner to an httptest
// target in the same process, the target's own work included.
func BenchmarkDispatch(b *testing.B) {
	fake := newFakeTarget(b)
	o := newDeployment(fake).owner(nil)
	r := subRequest("a", time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		if reply := o.Dispatch(b.Context(), r); reply.Status != pb.SubStatus_SUB_STATUS_OK {
			b.Fatal(reply)
		}
	}
}

// BenchmarkCallWithoutOwner measures the same call by the client alone; the
// difference from BenchmarkDispatch is what the owner adds.
func BenchmarkCallWithoutOwner(b *testing.B) {
	fake := newFakeTarget(b)
	c := target.New(target.Options{Address: fake.address(), Connections: 4})
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

// BenchmarkRefuse measures one subrequest that is refused without being sent.
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

// BenchmarkMachine measures the decisions for one job, from submission to end.
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
			Kind: owner.EventFinish, At: now, Job: job, Result: owner.ResultOK, BootID: "boot-1", Took: time.Millisecond,
		})
	}
}
