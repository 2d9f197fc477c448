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

// usersStore follows the users' store. The product's own values are not kept
// there.
type usersStore struct {
	source *registry.Source
}

func (d *Daemon) newUsersStore(client *http.Client) usersStore {
	settings := d.settings.Platform
	timeout := time.Duration(settings.CallTimeoutMs) * time.Millisecond
	return usersStore{source: registry.NewSource(users.NewStore(client, settings.Address, timeout), d.logger)}
}

// Watch implements control.Source; the registry keeps its own place.
func (u usersStore) Watch(ctx context.Context, _ uint64, wait time.Duration, _ *pb.Configuration) (configstore.Reading, error) {
	return u.source.Watch(ctx, wait)
}

// ListVMs implements platform.VMList: VMs find each other by their seeds.
func (usersStore) ListVMs(context.Context) ([]*pb.ListedVm, error) { return nil, nil }

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
