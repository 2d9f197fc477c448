package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/control"
	"github.com/carawayreel/carawayreel/internal/coordinator/search"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/peer"
	"github.com/carawayreel/carawayreel/internal/platformclient"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/view"
)

// searchQuarantine adapts the quarantine list to the coordinator's interface.
type searchQuarantine struct {
	list  *quarantine.List
	views view.Source
}

// Check returns whether the request content with the digest is clear, suspect or
// quarantined.
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

// dispatcher maps the errors of the peer client to those of the coordinator.
type dispatcher struct {
	peers *peer.Client
}

// Dispatch sends a subrequest to the VM that owns its target.
func (d dispatcher) Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
	reply, err := d.peers.Dispatch(ctx, vm, r)
	if errors.Is(err, peer.ErrUnreachable) {
		return nil, errors.Wrap(search.ErrNotSent, err.Error())
	}
	return reply, err
}

// controlPeers maps the errors of the peer client to those of package control.
type controlPeers struct {
	*peer.Client
}

// Heartbeat exchanges heartbeats with the VM at the address.
func (p controlPeers) Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	response, err := p.Client.Heartbeat(ctx, address, r)
	return response, controlError(err)
}

// FetchConfiguration fetches the configuration changes since a revision from the VM at the address.
func (p controlPeers) FetchConfiguration(ctx context.Context, address string, r *pb.FetchConfigurationRequest) (*pb.FetchConfigurationResponse, error) {
	response, err := p.Client.FetchConfiguration(ctx, address, r)
	return response, controlError(err)
}

// OfferConfiguration pushes a revision to the VM at the address.
func (p controlPeers) OfferConfiguration(ctx context.Context, address string, r *pb.OfferConfigurationRequest) (*pb.OfferConfigurationResponse, error) {
	response, err := p.Client.OfferConfiguration(ctx, address, r)
	return response, controlError(err)
}

// controlError turns an error of the peer client into one of package control.
func controlError(err error) error {
	switch {
	case errors.Is(err, peer.ErrDenied):
		return errors.Wrap(control.ErrDenied, err.Error())
	case errors.Is(err, peer.ErrTooLarge):
		return errors.Wrap(control.ErrTooLarge, err.Error())
	default:
		return err
	}
}

// claimStore stores change claims, which bind callers' idempotency keys to change
// tokens, in the platform's store.
type claimStore struct {
	store platformclient.Store
}

// Read returns the value of the key, and whether the key exists.
func (c claimStore) Read(ctx context.Context, key string) (value []byte, found bool, err error) {
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		return nil, false, err
	}
	return entry.Value, entry.Version > 0, nil
}

// Create writes the value if the key does not exist. It returns the value that is
// stored afterwards: the given one, or the one that another writer stored first.
func (c claimStore) Create(ctx context.Context, key string, value []byte) ([]byte, error) {
	result, err := c.store.Put(ctx, key, value, 0)
	if err != nil {
		return nil, err
	}
	if result.Written {
		return value, nil
	}
	return result.Current, nil
}

// quarantineAnnouncer sends quarantine entries to the VMs that own targets of the
// same front.
type quarantineAnnouncer struct {
	views view.Source
	peers *peer.Client
}

// Announce sends the entries to all owners in parallel. It returns when every call
// has ended or ctx is done. Errors are ignored.
func (a quarantineAnnouncer) Announce(ctx context.Context, service string, entries []*pb.QuarantineEntry) {
	var sends sync.WaitGroup
	for _, vm := range a.owners(service) {
		sends.Go(func() { _ = a.peers.Announce(ctx, vm, entries) })
	}
	sends.Wait()
}

// owners returns the other VMs that own targets of the fronts to which the service
// belongs. A search of a front is sent to all of its services and thus to these VMs.
func (a quarantineAnnouncer) owners(service string) []view.VM {
	current := a.views.Current()
	byID := map[string]view.VM{}
	for _, configured := range current.Configuration.GetFronts() {
		front, ok := current.Front(configured.Name)
		if !ok || front.Services[service] == nil {
			continue
		}
		for _, sibling := range front.Services {
			for _, target := range sibling.Targets {
				if owner, ok := current.Owner(target.Id); ok && owner.ID != current.Self.ID {
					byID[owner.ID] = owner
				}
			}
		}
	}
	owners := make([]view.VM, 0, len(byID))
	for _, vm := range byID {
		owners = append(owners, vm)
	}
	return owners
}

const (
	// maxAnnouncedVMs bounds the VMs that are told of a content at once. The others learn of
	// it by heartbeats.
	maxAnnouncedVMs = 32
	// contentAnnounceTimeout is the timeout of one announcement.
	contentAnnounceTimeout = time.Second
)

// contentAnnouncer tells other VMs of contents of routes that may crash targets.
type contentAnnouncer struct {
	views  view.Source
	peers  *peer.Client
	list   *quarantine.List
	logger zerolog.Logger
}

// Announce implements gateway.Announcer.
func (a contentAnnouncer) Announce(digests []uint64) {
	now := time.Now()
	var entries []*pb.QuarantineEntry
	for _, digest := range digests {
		if entry := a.list.Entry(digest, now); entry != nil {
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return
	}
	current, told := a.views.Current(), 0
	for vm := range current.VMs {
		if vm.ID == current.Self.ID || !vm.CanOwn() {
			continue
		}
		if told++; told > maxAnnouncedVMs {
			return
		}
		go a.send(vm, entries)
	}
}

func (a contentAnnouncer) send(vm view.VM, entries []*pb.QuarantineEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), contentAnnounceTimeout)
	defer cancel()
	if err := a.peers.Announce(ctx, vm, entries); err != nil {
		a.logger.Info().Err(err).Str("vm", vm.ID).Msg("contents not announced; heartbeats repeat them")
	}
}
