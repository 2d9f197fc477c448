package owner_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/owner"
	"github.com/carawayreel/carawayreel/internal/view"
)

// fakeTarget is a target served by httptest that counts its calls and connections.
type fakeTarget struct {
	carawayreelv1connect.UnimplementedTargetServiceHandler
	server *httptest.Server
	// search and apply replace the default handlers if set.
	search func(context.Context, *pb.TargetSearchRequest) (*pb.TargetSearchResponse, error)
	apply  func(context.Context, *pb.TargetApplyRequest) (*pb.TargetApplyResponse, error)

	boot       atomic.Pointer[string]
	running    atomic.Int64
	maxRunning atomic.Int64
	ran        atomic.Int64

	mu             sync.Mutex
	connections    map[net.Conn]bool
	maxConnections int
	// crashOnce guards crash, which closes every connection and refuses new ones.
	crashOnce sync.Once
	crashed   atomic.Bool
}

func newFakeTarget(t testing.TB) *fakeTarget {
	f := &fakeTarget{connections: map[net.Conn]bool{}}
	f.setBoot("boot-1")
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewTargetServiceHandler(f))
	f.server = httptest.NewUnstartedServer(mux)
	f.server.Config.ConnState = f.trackConnection
	f.server.Start()
	t.Cleanup(f.crash)
	return f
}

func (f *fakeTarget) setBoot(id string) { f.boot.Store(&id) }

func (f *fakeTarget) address() string { return f.server.Listener.Addr().String() }

func (f *fakeTarget) crash() {
	f.crashOnce.Do(func() {
		f.crashed.Store(true)
		_ = f.server.Listener.Close()
		f.server.CloseClientConnections()
	})
}

func (f *fakeTarget) trackConnection(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.connections[c] = true
		f.maxConnections = max(f.maxConnections, len(f.connections))
	case http.StateClosed, http.StateHijacked:
		delete(f.connections, c)
	}
}

// trackRunning counts a call as running until the returned function is called.
func (f *fakeTarget) trackRunning() func() {
	f.ran.Add(1)
	now := f.running.Add(1)
	for {
		most := f.maxRunning.Load()
		if now <= most || f.maxRunning.CompareAndSwap(most, now) {
			return func() { f.running.Add(-1) }
		}
	}
}

func (f *fakeTarget) Search(ctx context.Context, r *connect.Request[pb.TargetSearchRequest]) (*connect.Response[pb.TargetSearchResponse], error) {
	defer f.trackRunning()()
	if f.search != nil {
		reply, err := f.search(ctx, r.Msg)
		return connect.NewResponse(reply), err
	}
	return connect.NewResponse(f.reply(r.Msg)), nil
}

func (f *fakeTarget) Health(context.Context, *connect.Request[pb.TargetHealthRequest]) (*connect.Response[pb.TargetHealthResponse], error) {
	return connect.NewResponse(&pb.TargetHealthResponse{Healthy: true, BootId: *f.boot.Load()}), nil
}

func (f *fakeTarget) reply(r *pb.TargetSearchRequest) *pb.TargetSearchResponse {
	return &pb.TargetSearchResponse{
		RequestId: r.RequestId,
		Attempt:   r.Attempt,
		Status:    pb.TargetStatus_TARGET_STATUS_OK,
		Snapshot:  r.Snapshot,
		BootId:    *f.boot.Load(),
	}
}

func (f *fakeTarget) Apply(ctx context.Context, r *connect.Request[pb.TargetApplyRequest]) (*connect.Response[pb.TargetApplyResponse], error) {
	defer f.trackRunning()()
	if f.apply != nil {
		reply, err := f.apply(ctx, r.Msg)
		return connect.NewResponse(reply), err
	}
	return connect.NewResponse(&pb.TargetApplyResponse{
		Token: r.Msg.Token, Status: pb.TargetStatus_TARGET_STATUS_OK, BootId: *f.boot.Load(),
	}), nil
}

// viewSource is a view.Source whose view is set by tests.
type viewSource struct {
	current atomic.Pointer[view.View]
}

func (s *viewSource) Current() *view.View { return s.current.Load() }

// deployment is a configuration with one VM and the targets of one service.
type deployment struct {
	views   viewSource
	input   view.Input
	targets []*pb.Target
}

func newDeployment(fakes ...*fakeTarget) *deployment {
	d := &deployment{}
	for i, f := range fakes {
		d.targets = append(d.targets, &pb.Target{
			Id:                string(rune('a' + i)),
			Address:           f.address(),
			FailureDomain:     "d1",
			Slots:             3,
			Connections:       4,
			ConnectionSetupUs: 100,
			ColdLimit:         1,
			State:             pb.ServingState_SERVING_STATE_IN_SERVICE,
		})
	}
	self := view.VM{ID: "vm-1", FailureDomain: "d1", State: pb.MemberState_MEMBER_STATE_ALIVE}
	d.input = view.Input{Self: self, VMs: []view.VM{self}}
	d.configure(1)
	return d
}

func (d *deployment) configure(revision uint64) {
	d.input.Configuration = &pb.Configuration{
		Revision:       revision,
		FailureDomains: []*pb.FailureDomain{{Name: "d1", State: pb.ServingState_SERVING_STATE_IN_SERVICE}},
		Fronts: []*pb.Front{{Name: "front", Services: []*pb.Service{{
			Name: "service", Targets: d.targets,
		}}}},
	}
	d.publish()
}

func (d *deployment) publish() {
	d.views.current.Store(view.Build(d.input, nil))
}

func (d *deployment) owner(modify func(*owner.Options)) *owner.Owner {
	options := owner.Options{
		Views:  &d.views,
		Limits: &pb.LimitSettings{TargetQueueLength: 64, MaxRequestBytes: 1 << 20, ClockGapMs: 60000},
	}
	if modify != nil {
		modify(&options)
	}
	return owner.New(options)
}

func subRequest(target string, timeout time.Duration) *pb.SubRequest {
	return &pb.SubRequest{
		RequestId: "r", Attempt: 1, Front: "front", Service: "service", Target: target,
		Snapshot: 7, RemainingUs: timeout.Microseconds(), ContentDigest: 11,
	}
}

func changeDispatch(target string, timeout time.Duration) *pb.ChangeDispatch {
	return &pb.ChangeDispatch{
		Token: "token", Front: "front", Service: "service", Target: target,
		RemainingUs: timeout.Microseconds(), ContentDigest: 12,
	}
}

func requireStatus(t testing.TB, want pb.SubStatus, reply *pb.SubReply) {
	t.Helper()
	require.Equal(t, want.String(), reply.Status.String(), reply.Reason)
}
