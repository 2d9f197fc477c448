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
	// membersPrefix is the common prefix of the keys of announced VMs.
	membersPrefix = "carawayreel/vms/"
	// memberLeaseTTL is the lease duration of a VM's entry: how long it remains
	// after the VM fails. Heartbeats detect the failure much earlier.
	memberLeaseTTL = 5 * time.Minute
	// renewalsPerTTL is the number of lease renewals per lease duration.
	renewalsPerTTL = 3
	// announceInterval is the interval at which this VM, while it is not announced, checks
	// whether it must announce itself. It spans a few heartbeat intervals.
	announceInterval = 2 * time.Second
)

// Lease identifies a lease in the store. The zero Lease is none.
type Lease struct {
	ID int64
	// Era is the era of the store in which the lease was granted. In a later era the lease has
	// ended, and its ID may be that of another one.
	Era uint64
}

// LeaseStore reads and writes carawayreel's own keys in the store and manages leases on
// them. Errors wrap ErrLeaseExpired or ErrUnavailable. A write that failed with
// ErrUnavailable may still take effect. Reads may be stale by several seconds.
type LeaseStore interface {
	Values(ctx context.Context, prefix string) (map[string][]byte, error)
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease. A lease of an earlier era of the store has expired.
	KeepAlive(ctx context.Context, lease Lease) error
	Write(ctx context.Context, key string, value []byte, lease Lease) error
}

// Members announces this VM in the store and lists the announced VMs, so that VMs
// can discover each other when none of their seeds is up. It is safe for concurrent
// use.
type Members struct {
	store    LeaseStore
	self     *pb.ListedVm
	selected func() bool
	logger   zerolog.Logger
}

// NewMembers returns Members for this VM. The VM announces itself in the store
// while selected returns true. Only a few VMs of each failure domain need to be
// announced, as they know all other members.
func NewMembers(store LeaseStore, self *pb.ListedVm, selected func() bool, logger zerolog.Logger) *Members {
	return &Members{store: store, self: self, selected: selected, logger: logger}
}

// ListVMs returns the announced VMs. Entries that cannot be decoded are logged and
// skipped.
func (m *Members) ListVMs(ctx context.Context) ([]*pb.ListedVm, error) {
	values, err := m.store.Values(ctx, membersPrefix)
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

// Serve announces this VM whenever it is selected, until the context ends.
func (m *Members) Serve(ctx context.Context) error {
	var lease Lease
	// The first check is delayed until VMs had time to discover each other, since
	// a VM that knows no other one selects itself.
	delay := announceInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
		if delay = announceInterval; !m.selected() {
			continue
		}
		next, err := m.announce(ctx, lease)
		lease = next
		if err != nil {
			m.logger.Warn().Err(err).Msg("VM not announced in the store")
			continue
		}
		delay = memberLeaseTTL / renewalsPerTTL
	}
}

// announce renews the lease, or writes the VM's entry under a new lease if there
// is none. It returns the lease to renew next, or none if the entry may be missing.
func (m *Members) announce(ctx context.Context, lease Lease) (Lease, error) {
	if lease != (Lease{}) {
		err := m.store.KeepAlive(ctx, lease)
		if !errors.Is(err, ErrLeaseExpired) {
			return lease, err
		}
	}
	value, err := proto.Marshal(m.self)
	if err != nil {
		return Lease{}, errors.Wrap(err, "entry of this VM")
	}
	lease, err = m.store.GrantLease(ctx, memberLeaseTTL)
	if err != nil {
		return Lease{}, err
	}
	if err := m.store.Write(ctx, membersPrefix+m.self.Vm, value, lease); err != nil {
		return Lease{}, err
	}
	return lease, nil
}
