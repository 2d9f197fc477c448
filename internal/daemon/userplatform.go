package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
	"github.com/carawayreel/carawayreel/internal/registry"
	"github.com/carawayreel/carawayreel/platform"
)

// errOperatorManaged is the cause of all errors of operatorManagedStore: on the users'
// platform, only operators write the configuration.
var errOperatorManaged = errors.New("operators write the configuration to the platform themselves")

// userPlatform reads configurations and the VM list from the store of the users'
// platform. It implements control.Source and platformclient.VMList.
type userPlatform struct {
	*registry.Members
	source *registry.Source
}

func (d *Daemon) newUserPlatform(client *http.Client) userPlatform {
	settings := d.settings.Platform
	timeout := time.Duration(settings.CallTimeoutMs) * time.Millisecond
	store := platform.NewStore(client, settings.Address, timeout)
	self := selfVM(d.settings)
	listed := &pb.ListedVm{
		Vm: self.ID, FailureDomain: self.FailureDomain, PeerAddress: self.PeerAddress, State: pb.VmState_VM_STATE_LIVE,
	}
	d.rolloutStore = store
	d.members = registry.NewMembers(store, listed, d.watchesStore, d.logger)
	return userPlatform{Members: d.members, source: registry.NewSource(store, d.logger)}
}

// watchesStore reports whether this VM is one of the VMs of its failure domain that
// watch the store.
func (d *Daemon) watchesStore() bool { return d.control.WatchesStore() }

// Watch implements control.Source. The registry tracks the revision itself, so the
// version argument is ignored.
func (p userPlatform) Watch(ctx context.Context, _ uint64, wait time.Duration, _ *pb.Configuration) (configstore.WatchResult, error) {
	return p.source.Watch(ctx, wait)
}

// operatorManagedStore is a platformclient.Store whose calls all fail.
type operatorManagedStore struct{}

func operatorManagedError() error {
	return &platformclient.Error{Kind: platformclient.ErrUnavailable, Cause: errOperatorManaged}
}

// Get implements platformclient.Store.
func (operatorManagedStore) Get(context.Context, string) (platformclient.Entry, error) {
	return platformclient.Entry{}, operatorManagedError()
}

// Put implements platformclient.Store.
func (operatorManagedStore) Put(context.Context, string, []byte, uint64) (platformclient.PutResult, error) {
	return platformclient.PutResult{}, operatorManagedError()
}

// Replace implements platformclient.Store.
func (operatorManagedStore) Replace(context.Context, string, []byte) error {
	return operatorManagedError()
}

// Expire implements platformclient.Store.
func (operatorManagedStore) Expire(context.Context, string, time.Duration) error {
	return operatorManagedError()
}

// Watch implements platformclient.Store.
func (operatorManagedStore) Watch(context.Context, string, uint64, time.Duration) (platformclient.WatchResult, error) {
	return platformclient.WatchResult{}, operatorManagedError()
}
