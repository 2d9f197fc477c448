package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/control"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/peer"
	"github.com/carawayreel/carawayreel/internal/platform"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// searchQuarantine tells the coordinator what the list holds against a content.
type searchQuarantine struct {
	list  *quarantine.List
	views view.Source
}

// Check returns the verdict on a content.
func (q searchQuarantine) Check(digest uint64) search.Verdict {
	verdict := q.list.Check(digest, time.Now())
	switch {
	case verdict.Refuses(q.views.Current().FailureDomainOf):
		return search.Quarantined
	case len(verdict.Crashed) > 0:
		return search.Suspect
	default:
		return search.Clear
	}
}

// dispatcher turns the errors of calls between VMs into the coordinator's.
type dispatcher struct {
	peers *peer.Client
}

// Dispatch runs a subrequest on the VM that owns its target.
func (d dispatcher) Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
	reply, err := d.peers.Dispatch(ctx, vm, r)
	if errors.Is(err, peer.ErrUnreachable) {
		return nil, errors.Wrap(search.ErrNotSent, err.Error())
	}
	return reply, err
}

// controlPeers turns the errors of calls between VMs into control's.
type controlPeers struct {
	*peer.Client
}

// Heartbeat exchanges news with the VM at the address.
func (p controlPeers) Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	response, err := p.Client.Heartbeat(ctx, address, r)
	if errors.Is(err, peer.ErrDenied) {
		return nil, errors.Wrap(control.ErrDenied, err.Error())
	}
	return response, err
}

// claimStore keeps callers' claims in the platform's store.
type claimStore struct {
	store platform.Store
}

// Read returns the value under the key.
func (c claimStore) Read(ctx context.Context, key string) (value []byte, found bool, err error) {
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		return nil, false, err
	}
	return entry.Value, entry.Version > 0, nil
}

// Create writes the value when the key does not exist.
func (c claimStore) Create(ctx context.Context, key string, value []byte) ([]byte, error) {
	result, err := c.store.Put(ctx, key, value, 0)
	if err != nil {
		return nil, err
	}
	if result.Written {
		return value, nil
	}
	return result.Present, nil
}

// announcer spreads suspicions to the owners of a front's targets.
type announcer struct {
	views view.Source
	peers *peer.Client
}

// Announce returns when every owner that can be reached has taken the entries,
// or when ctx ends.
func (a announcer) Announce(ctx context.Context, service string, entries []*pb.QuarantineEntry) {
	var sends sync.WaitGroup
	for _, vm := range a.owners(service) {
		sends.Go(func() { _ = a.peers.Announce(ctx, vm, entries) })
	}
	sends.Wait()
}

// owners returns the other VMs that own targets of the fronts that the service
// belongs to: a search of the front asks all of them.
func (a announcer) owners(service string) []view.VM {
	current := a.views.Current()
	found := map[string]view.VM{}
	for _, configured := range current.Configuration.GetFronts() {
		front, ok := current.Front(configured.Name)
		if !ok || front.Services[service] == nil {
			continue
		}
		for _, sibling := range front.Services {
			for _, target := range sibling.Targets {
				if owner, ok := current.Owner(target.Id); ok && owner.ID != current.Self.ID {
					found[owner.ID] = owner
				}
			}
		}
	}
	owners := make([]view.VM, 0, len(found))
	for _, vm := range found {
		owners = append(owners, vm)
	}
	return owners
}
