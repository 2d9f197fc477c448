package standin

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// vmList is the platform's list of VMs, which shows each change after a lag.
// It shares the rates and faults of the store. It is safe for concurrent use.
type vmList struct {
	store *store
	lag   time.Duration

	mu      sync.Mutex
	pending []listedVMs
}

// listedVMs is a list that shows from a moment on.
type listedVMs struct {
	vms  []*pb.ListedVm
	from time.Time
}

func (l *vmList) set(vms []*pb.ListedVm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listedVMs{vms: vms, from: time.Now().Add(l.lag)})
}

// ListVms returns the VMs as they were before the lag.
func (l *vmList) ListVms(
	ctx context.Context, _ *connect.Request[pb.ListVmsRequest],
) (*connect.Response[pb.ListVmsResponse], error) {
	if err := l.store.admit(ctx, l.store.reads, &l.store.counters.ListCalls); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ListVmsResponse{Vms: l.shown(time.Now())}), nil
}

func (l *vmList) shown(now time.Time) []*pb.ListedVm {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 1 && !now.Before(l.pending[1].from) {
		l.pending = l.pending[1:]
	}
	if len(l.pending) == 0 || now.Before(l.pending[0].from) {
		return nil
	}
	return l.pending[0].vms
}
