package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platform"
	"github.com/carawayreel/carawayreel/internal/registry"
	users "github.com/carawayreel/carawayreel/platform"
)

// protocolUsers is the setting that selects the users' platform.
const protocolUsers = "users"

// errOperatorsOnly means that the product writes nothing to the store that
// operators keep.
var errOperatorsOnly = errors.New("operators write the configuration to the platform themselves")

// usersStore follows the users' store and lists the VMs in it.
type usersStore struct {
	*registry.Members
	source *registry.Source
}

func (d *Daemon) newUsersStore(client *http.Client) usersStore {
	settings := d.settings.Platform
	timeout := time.Duration(settings.CallTimeoutMs) * time.Millisecond
	store := users.NewStore(client, settings.Address, timeout)
	self := selfVM(d.settings)
	listed := &pb.ListedVm{
		Vm: self.ID, FailureDomain: self.FailureDomain, PeerAddress: self.PeerAddress, State: pb.VmState_VM_STATE_LIVE,
	}
	d.members = registry.NewMembers(store, listed, d.watchesStore, d.logger)
	return usersStore{Members: d.members, source: registry.NewSource(store, d.logger)}
}

// watchesStore reports whether this VM is one of those of its failure domain that
// follow the store.
func (d *Daemon) watchesStore() bool { return d.control.WatchesStore() }

// Watch implements control.Source; the registry keeps its own place.
func (u usersStore) Watch(ctx context.Context, _ uint64, wait time.Duration, _ *pb.Configuration) (configstore.Reading, error) {
	return u.source.Watch(ctx, wait)
}

// readOnly is a platform.Store that refuses everything.
type readOnly struct{}

func refused() error { return &platform.Error{Kind: platform.ErrUnavailable, Cause: errOperatorsOnly} }

// Get implements platform.Store.
func (readOnly) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, refused()
}

// Put implements platform.Store.
func (readOnly) Put(context.Context, string, []byte, uint64) (platform.PutResult, error) {
	return platform.PutResult{}, refused()
}

// Replace implements platform.Store.
func (readOnly) Replace(context.Context, string, []byte) error { return refused() }

// Expire implements platform.Store.
func (readOnly) Expire(context.Context, string, time.Duration) error { return refused() }

// Watch implements platform.Store.
func (readOnly) Watch(context.Context, string, uint64, time.Duration) (platform.WatchResult, error) {
	return platform.WatchResult{}, refused()
}
