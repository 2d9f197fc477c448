package control

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/configstore"
	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// pushAllLimit is the largest number of other VMs at which an accepted revision is pushed to all of
	// them before the operator gets a response.
	pushAllLimit = 32
	// pushPerDomain is the number of VMs pushed to in each failure domain above that limit.
	pushPerDomain = 3
)

// Errors returned by Push and Get.
var (
	// ErrNotAccepted is returned if a pushed configuration is not an accepted revision, is older than the
	// one in force, or is a different write of the same revision.
	ErrNotAccepted = errors.New("configuration not accepted")
	// ErrRevisionUnavailable is returned for a request of any revision but the current one.
	ErrRevisionUnavailable = errors.New("only the current revision is available")
)

// Apply replaces the configuration by compare-and-swap. An accepted revision is pushed to other VMs before
// the operator gets a response.
func (c *Control) Apply(ctx context.Context, r *pb.ApplyConfigurationRequest) *pb.ApplyConfigurationResponse {
	result := c.store.Apply(ctx, r, c.Current().Configuration, time.Now())
	if r.GetDryRun() {
		return result.Response
	}
	return c.applyResult(ctx, result)
}

// SetServingState takes a failure domain or a target out of service or returns it to service.
func (c *Control) SetServingState(ctx context.Context, r *pb.SetServingStateRequest) *pb.ApplyConfigurationResponse {
	return c.applyResult(ctx, c.store.SetServingState(ctx, r, c.Current().Configuration, time.Now()))
}

// applyResult puts the stored configuration in force on this VM and pushes an accepted revision to other
// VMs, even if the operator's request is canceled meanwhile.
func (c *Control) applyResult(ctx context.Context, result configstore.Result) *pb.ApplyConfigurationResponse {
	ctx = context.WithoutCancel(ctx)
	response := result.Response
	c.options.Logger.Info().Stringer("status", response.Status).Uint64("revision", response.Revision).
		Str("reason", response.Reason).Msg("configuration command")
	stored := result.Stored.Configuration
	if stored == nil {
		return response
	}
	accepted := &pb.ConfigurationAccepted{Configuration: stored}
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_Accepted{Accepted: accepted}})
	if response.Status == pb.ApplyStatus_APPLY_STATUS_ACCEPTED {
		response.ConfirmedVms, response.UnconfirmedVms = c.pushToPeers(ctx, stored)
	}
	return response
}

// pushToPeers sends a revision to other VMs concurrently. It returns the number of VMs that confirmed it,
// including this one, and the names of those that did not.
func (c *Control) pushToPeers(ctx context.Context, stored *pb.Configuration) (uint32, []string) {
	receivers := c.receivers(stored.Revision)
	confirmed := make([]bool, len(receivers))
	var group sync.WaitGroup
	for i, member := range receivers {
		group.Go(func() { confirmed[i] = c.pushToPeer(ctx, member, stored) })
	}
	group.Wait()
	count := uint32(1)
	var unconfirmed []string
	for i, member := range receivers {
		if confirmed[i] {
			count++
		} else {
			unconfirmed = append(unconfirmed, member.Vm)
		}
	}
	return count, unconfirmed
}

// receivers returns the VMs to push an accepted revision to.
func (c *Control) receivers(revision uint64) []*pb.Member {
	byName := map[string]*pb.Member{}
	domains := map[string][]string{}
	for _, member := range c.Members() {
		if member.Vm == c.options.Self.ID || member.State == pb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		byName[member.Vm] = member
		domains[member.FailureDomain] = append(domains[member.FailureDomain], member.Vm)
	}
	receivers := make([]*pb.Member, 0, len(byName))
	for _, vms := range domains {
		sortByHash(vms, strconv.FormatUint(revision, 10))
		if len(byName) > pushAllLimit {
			vms = vms[:min(pushPerDomain, len(vms))]
		}
		for _, vm := range vms {
			receivers = append(receivers, byName[vm])
		}
	}
	sort.Slice(receivers, func(i, j int) bool { return receivers[i].Vm < receivers[j].Vm })
	return receivers
}

// pushToPeer sends a revision to one VM: first as a delta to the previous revision, and in full if the VM
// lacks that base.
func (c *Control) pushToPeer(ctx context.Context, member *pb.Member, stored *pb.Configuration) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for _, base := range []uint64{stored.Revision - 1, 0} {
		response, err := c.options.Peers.OfferConfiguration(ctx, member.PeerAddress, &pb.OfferConfigurationRequest{
			Delta: configuration.MakeDelta(stored, base), HopsLeft: maxHops, From: c.options.Self.ID,
		})
		if err != nil {
			return false
		}
		if response.GetRevision() >= stored.Revision {
			return true
		}
	}
	return false
}

// Push puts in force an accepted revision that an operator sends directly to this VM. It is meant for a VM
// that is partitioned from the others.
func (c *Control) Push(ctx context.Context, r *pb.PushConfigurationRequest) (*pb.PushConfigurationResponse, error) {
	current := c.Current().Configuration
	pushed := r.GetConfiguration()
	if err := checkPushed(current, pushed); err != nil {
		c.options.Logger.Warn().Uint64("revision", pushed.GetRevision()).Err(err).Msg("pushed configuration refused")
		return nil, err
	}
	accepted := &pb.ConfigurationAccepted{Configuration: pushed}
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_Accepted{Accepted: accepted}})
	return &pb.PushConfigurationResponse{Revision: c.Current().Revision()}, nil
}

func checkPushed(current, pushed *pb.Configuration) error {
	if err := configuration.Check(pushed); err != nil {
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	if pushed.Revision == 0 || pushed.WriteId == "" {
		return errors.Wrap(ErrNotAccepted, "the configuration has no revision or no write_id, so it was never accepted")
	}
	if pushed.Revision < current.GetRevision() {
		return errors.Wrapf(ErrNotAccepted, "revision %d is older than %d, which is in force", pushed.Revision, current.GetRevision())
	}
	if pushed.Revision == current.GetRevision() && pushed.WriteId != current.GetWriteId() {
		return errors.Wrapf(ErrNotAccepted, "another write of revision %d is in force", pushed.Revision)
	}
	for _, front := range pushed.Fronts {
		if front.Revision == 0 || front.Revision > pushed.Revision {
			return errors.Wrapf(ErrNotAccepted, "front %q has revision %d", front.Name, front.Revision)
		}
	}
	return nil
}

// Get returns the configuration in force, or the stored one if r asks for it. It returns
// ErrRevisionUnavailable if r names a different revision.
func (c *Control) Get(ctx context.Context, r *pb.GetConfigurationRequest) (*pb.GetConfigurationResponse, error) {
	current := c.Current()
	response := &pb.GetConfigurationResponse{
		Configuration: current.Configuration,
		AgeMs:         uint64(current.ConfigurationAge(time.Now()).Milliseconds()),
	}
	if r.GetFromStore() {
		stored, err := c.store.Load(ctx, current.Configuration)
		if err != nil {
			return nil, err
		}
		response.Configuration = stored.Configuration
		response.AgeMs = 0
	}
	if r.GetRevision() != 0 && r.GetRevision() != response.Configuration.GetRevision() {
		return nil, ErrRevisionUnavailable
	}
	return response, nil
}

// History returns the newest entries of the store's revision history.
func (c *Control) History(ctx context.Context, r *pb.ListHistoryRequest) (*pb.ListHistoryResponse, error) {
	entries, err := c.store.History(ctx, r.GetLimit())
	if err != nil {
		return nil, err
	}
	return &pb.ListHistoryResponse{Entries: entries}, nil
}
