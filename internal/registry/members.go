package registry

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// membersPrefix begins the keys of VMs.
	membersPrefix = "carawayreel/vms/"
	// memberLifetime is how long the store keeps the entry of a VM that stopped
	// without notice; other VMs find out by heartbeats long before.
	memberLifetime = 5 * time.Minute
	// renewals is the number of renewals in a lifetime.
	renewals = 3
	// announceDelay is the time until the first announcement, and between two
	// looks at whether one is due: a few heartbeat intervals.
	announceDelay = 2 * time.Second
)

// Lease names a lease of the store.
type Lease int64

// Values reads and writes the product's own keys of the store. Errors are caused
// by ErrLeaseGone or ErrUnavailable; after the latter a write may take effect yet.
// What is read may be seconds old.
type Values interface {
	Values(ctx context.Context, prefix string) (map[string][]byte, error)
	Grant(ctx context.Context, lifetime time.Duration) (Lease, error)
	Keep(ctx context.Context, lease Lease) error
	Write(ctx context.Context, key string, value []byte, lease Lease) error
}

// Members lists the VMs in the store, so that they find each other when none of
// their seeds is up. It is safe for concurrent use.
type Members struct {
	values Values
	self   *pb.ListedVm
	chosen func() bool
	logger zerolog.Logger
}

// NewMembers returns the list as this VM sees it. The VM announces itself once it
// is chosen to: a few VMs of each failure domain are enough to be found by, as
// they know all others.
func NewMembers(values Values, self *pb.ListedVm, chosen func() bool, logger zerolog.Logger) *Members {
	return &Members{values: values, self: self, chosen: chosen, logger: logger}
}

// ListVMs returns the VMs that announced themselves. Entries that cannot be read
// are left out.
func (m *Members) ListVMs(ctx context.Context) ([]*pb.ListedVm, error) {
	values, err := m.values.Values(ctx, membersPrefix)
	if err != nil {
		return nil, err
	}
	vms := make([]*pb.ListedVm, 0, len(values))
	for key, value := range values {
		vm := &pb.ListedVm{}
		if err := proto.Unmarshal(value, vm); err != nil || vm.Vm != strings.TrimPrefix(key, membersPrefix) {
			m.logger.Warn().Str("key", key).Err(err).Msg("entry of a VM ignored")
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// Serve announces this VM while it is chosen to, until the context ends.
func (m *Members) Serve(ctx context.Context) error {
	var lease Lease
	// The first look comes after the VMs had time to find each other, since one
	// that knows no other chooses itself.
	wait := announceDelay
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		if wait = announceDelay; !m.chosen() {
			continue
		}
		next, err := m.announce(ctx, lease)
		lease = next
		if err != nil {
			m.logger.Warn().Err(err).Msg("VM not announced in the store")
			continue
		}
		wait = memberLifetime / renewals
	}
}

// announce renews the lease, or writes the VM's entry under a new one; it returns
// zero when the entry may be missing.
func (m *Members) announce(ctx context.Context, lease Lease) (Lease, error) {
	if lease != 0 {
		err := m.values.Keep(ctx, lease)
		if !errors.Is(err, ErrLeaseGone) {
			return lease, err
		}
	}
	value, err := proto.Marshal(m.self)
	if err != nil {
		return 0, errors.Wrap(err, "entry of this VM")
	}
	lease, err = m.values.Grant(ctx, memberLifetime)
	if err != nil {
		return 0, err
	}
	if err := m.values.Write(ctx, membersPrefix+m.self.Vm, value, lease); err != nil {
		return 0, err
	}
	return lease, nil
}
