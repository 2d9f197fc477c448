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
	// pushAllUpTo is the number of VMs up to which an accepted revision is
	// handed to every VM before the operator is answered.
	pushAllUpTo = 32
	// pushPerDomain is the number of VMs per failure domain beyond that.
	pushPerDomain = 3
)

// Errors of the operators' calls.
var (
	// ErrNotAccepted means that a pushed configuration cannot be an accepted
	// revision newer than the one in force.
	ErrNotAccepted = errors.New("the configuration is not taken")
	// ErrRevisionGone means that an older revision was asked for.
	ErrRevisionGone = errors.New("only the newest revision can be shown")
)

// Apply replaces the configuration by compare-and-swap. An accepted revision is
// handed to other VMs before the operator is answered.
func (c *Control) Apply(ctx context.Context, r *pb.ApplyConfigurationRequest) *pb.ApplyConfigurationResponse {
	result := c.store.Apply(ctx, r, c.Current().Configuration, time.Now())
	if r.GetDryRun() {
		return result.Response
	}
	return c.finish(ctx, result)
}

// SetServingState takes a failure domain or a target out, or brings it back.
func (c *Control) SetServingState(ctx context.Context, r *pb.SetServingStateRequest) *pb.ApplyConfigurationResponse {
	return c.finish(ctx, c.store.SetServingState(ctx, r, c.Current().Configuration, time.Now()))
}

// finish puts what the store holds in force on this VM, and hands an accepted
// revision to others. The operator's going away does not stop that.
func (c *Control) finish(ctx context.Context, result configstore.Result) *pb.ApplyConfigurationResponse {
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
		response.ConfirmedVms, response.UnconfirmedVms = c.push(ctx, stored)
	}
	return response
}

// push hands a revision to other VMs at once and returns the number of those
// that have it, this VM included, and the names of those that did not confirm.
func (c *Control) push(ctx context.Context, stored *pb.Configuration) (uint32, []string) {
	receivers := c.receivers(stored.Revision)
	confirmed := make([]bool, len(receivers))
	var group sync.WaitGroup
	for i, member := range receivers {
		group.Go(func() { confirmed[i] = c.pushTo(ctx, member, stored) })
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

// receivers returns the VMs that an accepted revision is pushed to.
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
		if len(byName) > pushAllUpTo {
			vms = vms[:min(pushPerDomain, len(vms))]
		}
		for _, vm := range vms {
			receivers = append(receivers, byName[vm])
		}
	}
	sort.Slice(receivers, func(i, j int) bool { return receivers[i].Vm < receivers[j].Vm })
	return receivers
}

// pushTo hands a revision to one VM: the newest change first, and the whole when
// the VM lacks what that builds on.
func (c *Control) pushTo(ctx context.Context, member *pb.Member, stored *pb.Configuration) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
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

// Push takes an accepted revision from an operator, for a VM that is cut off.
func (c *Control) Push(ctx context.Context, r *pb.PushConfigurationRequest) (*pb.PushConfigurationResponse, error) {
	present := c.Current().Configuration
	pushed := r.GetConfiguration()
	if err := checkPushed(present, pushed); err != nil {
		c.options.Logger.Warn().Uint64("revision", pushed.GetRevision()).Err(err).Msg("pushed configuration refused")
		return nil, err
	}
	accepted := &pb.ConfigurationAccepted{Configuration: pushed}
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_Accepted{Accepted: accepted}})
	return &pb.PushConfigurationResponse{Revision: c.Current().Revision()}, nil
}

func checkPushed(present, pushed *pb.Configuration) error {
	if err := configuration.Check(pushed); err != nil {
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	if pushed.Revision == 0 || pushed.WriteId == "" {
		return errors.Wrap(ErrNotAccepted, "it was never accepted: it has no revision or no write_id")
	}
	if pushed.Revision < present.GetRevision() {
		return errors.Wrapf(ErrNotAccepted, "revision %d is older than %d, which is in force", pushed.Revision, present.GetRevision())
	}
	if pushed.Revision == present.GetRevision() && pushed.WriteId != present.GetWriteId() {
		return errors.Wrapf(ErrNotAccepted, "another write of revision %d is in force", pushed.Revision)
	}
	for _, front := range pushed.Fronts {
		if front.Revision == 0 || front.Revision > pushed.Revision {
			return errors.Wrapf(ErrNotAccepted, "front %q has revision %d", front.Name, front.Revision)
		}
	}
	return nil
}

// Get returns the configuration in force, or the one in the store.
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
		return nil, ErrRevisionGone
	}
	return response, nil
}

// History returns the newest revisions that the store remembers.
func (c *Control) History(ctx context.Context, r *pb.ListHistoryRequest) (*pb.ListHistoryResponse, error) {
	entries, err := c.store.History(ctx, r.GetLimit())
	if err != nil {
		return nil, err
	}
	return &pb.ListHistoryResponse{Entries: entries}, nil
}
