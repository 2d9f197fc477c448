package standin

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// vmList is the platform's VM list, in which each change becomes visible after a
// lag. It shares the store's rate limits and faults. It is safe for concurrent
// use.
type vmList struct {
	store *store
	lag   time.Duration

	mu sync.Mutex
	// versions holds the visible version, if any, followed by later ones.
	versions []listedVMs
}

// listedVMs is a version of the list and the time from which it is visible.
type listedVMs struct {
	vms         []*pb.ListedVm
	visibleFrom time.Time
}

func (l *vmList) set(vms []*pb.ListedVm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listedVMs{vms: vms, visibleFrom: time.Now().Add(l.lag)})
}

// ListVms returns the VM list as it was one lag ago.
func (l *vmList) ListVms(
	ctx context.Context, _ *connect.Request[pb.ListVmsRequest],
) (*connect.Response[pb.ListVmsResponse], error) {
	if err := l.store.admit(ctx, l.store.reads, &l.store.counters.ListCalls); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ListVmsResponse{Vms: l.visible(time.Now())}), nil
}

func (l *vmList) visible(now time.Time) []*pb.ListedVm {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !now.Before(l.versions[1].visibleFrom) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 || now.Before(l.versions[0].visibleFrom) {
		return nil
	}
	return l.versions[0].vms
}
