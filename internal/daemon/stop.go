package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/change"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/peer"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// balancerNotice is the time the balancer is given to see that the VM is
	// not ready before its requests are no longer accepted.
	balancerNotice = 500 * time.Millisecond
	// handOverTimeout bounds one message of a hand-over.
	handOverTimeout = 2 * time.Second
	// leaveShare and handOverShare divide the time of a planned stop: telling the
	// others may take one part in so many, handing over one part in so many.
	leaveShare    = 6
	handOverShare = 3
	// stopMargin is kept from the time of a planned stop for the exit itself, also
	// on a processor that is shared, and stopMarginShare bounds it to a part of
	// short times.
	stopMargin      = 500 * time.Millisecond
	stopMarginShare = 5
	// answerMargin is kept besides for the last answers to be written.
	answerMargin = 200 * time.Millisecond
	// handOverTries bounds the repetitions of the message with the records.
	handOverTries = 3
)

// stop performs a planned stop: the VM becomes unready, its targets and change
// records go to other VMs, and running requests end. No request is cut short
// before the configured time limit.
func (d *Daemon) stop() error {
	began := time.Now()
	limit := time.Duration(d.settings.Limits.StopTimeoutMs) * time.Millisecond
	limit -= min(stopMargin, limit/stopMarginShare)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limit))
	defer cancel()
	d.logger.Info().Dur("limit", limit).Msg("planned stop begins")
	if d.gateway != nil {
		d.gateway.Stop(began.Add(limit - min(answerMargin, limit/stopMarginShare)))
	}
	// Other VMs may not answer; the balancer's notice passes meanwhile.
	var told sync.WaitGroup
	told.Go(func() {
		d.leave(ctx, limit/leaveShare)
		d.handOver(ctx, limit/handOverShare)
	})
	pause(ctx, d.notice())
	told.Wait()
	err := d.shutdownServers(ctx)
	d.logger.Info().Err(err).Dur("took", time.Since(began)).Msg("planned stop ends")
	return err
}

// leave tells the other VMs of the stop; those that are cut off cannot hear it.
func (d *Daemon) leave(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := d.control.Leave(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("no other VM was told of the stop")
	}
}

// handOver gives the targets and the change records to other VMs. It leaves the
// rest of the stop enough time when these do not answer, as when they stopped
// just before.
func (d *Daemon) handOver(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.handOverTargets(ctx)
	d.handOverChanges(ctx)
}

// handOverTargets waits for the work that runs on this VM's targets and gives
// their states to the VMs that own them from now on.
func (d *Daemon) handOverTargets(ctx context.Context) {
	current := d.control.Current()
	states := d.owner.HandOver(ctx)
	byOwner := map[string][]*pb.TargetHandOver{}
	for _, state := range states {
		if next, ok := current.Owner(state.Target); ok && next.ID != current.Self.ID {
			byOwner[next.ID] = append(byOwner[next.ID], state)
		}
	}
	var sends sync.WaitGroup
	for id, targets := range byOwner {
		next, _ := current.VM(id)
		sends.Go(func() { d.sendTargets(ctx, next, targets) })
	}
	sends.Wait()
}

func (d *Daemon) sendTargets(ctx context.Context, next view.VM, targets []*pb.TargetHandOver) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_, err := d.peers.HandOver(ctx, next, &pb.HandOverRequest{Sender: d.member(), Targets: targets})
	if err != nil {
		d.logger.Warn().Err(err).Str("to", next.ID).Msg("targets not handed over; the new owner starts them cold")
	}
}

// handOverChanges gives the change records of each issuer to one successor.
func (d *Daemon) handOverChanges(ctx context.Context) {
	for _, estate := range d.changes.Drain(ctx) {
		d.handOverEstate(ctx, estate)
	}
}

// handOverEstate asks one VM after the other until one accepts. When the answer
// of a VM that may have accepted is lost, no other VM is asked: two VMs must
// never serve the same tokens.
func (d *Daemon) handOverEstate(ctx context.Context, estate change.Estate) {
	current := d.control.Current()
	for _, candidate := range change.Successors(current, estate.Issuer) {
		if candidate.ID == current.Self.ID {
			continue
		}
		err := d.sendEstate(ctx, candidate, estate)
		if err == nil {
			d.logger.Info().Str("issuer", estate.Issuer.VM).Str("to", candidate.ID).
				Int("records", len(estate.Records)).Msg("change records handed over")
			return
		}
		d.logger.Warn().Err(err).Str("to", candidate.ID).Msg("change records not handed over")
		if !errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, errRefused) {
			return
		}
	}
}

// sendEstate sends an estate in parts. Before the last part the receiver serves
// nothing of it.
func (d *Daemon) sendEstate(ctx context.Context, to view.VM, estate change.Estate) error {
	parts := estate.Parts()
	for i, part := range parts {
		more := i < len(parts)-1
		err := d.sendChanges(ctx, to, &pb.HandOverRequest{
			Sender: d.member(),
			Issuer: &pb.ChangeIssuer{
				Vm: part.Issuer.VM, FailureDomain: part.Issuer.FailureDomain, Incarnation: part.Issuer.Incarnation,
			},
			Records: part.Records,
			More:    more,
		})
		if err != nil && more {
			return errors.Wrap(errRefused, err.Error())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// member describes this VM in messages.
func (d *Daemon) member() *pb.Member {
	self := d.control.Current().Self
	return &pb.Member{
		Vm: self.ID, FailureDomain: self.FailureDomain, PeerAddress: self.PeerAddress,
		Incarnation: self.Incarnation, State: self.State,
	}
}

var errRefused = errors.New("VM refused the change records")

// sendChanges repeats the message to the same VM while its answer is lost;
// accepting twice changes nothing.
func (d *Daemon) sendChanges(ctx context.Context, to view.VM, request *pb.HandOverRequest) error {
	var lost error
	for range handOverTries {
		response, err := d.tryChanges(ctx, to, request)
		if err == nil && response.Accepted {
			return nil
		}
		if err == nil {
			return errRefused
		}
		if errors.Is(err, peer.ErrUnreachable) && lost == nil {
			return err
		}
		lost = errors.Wrap(peer.ErrLost, err.Error())
	}
	return lost
}

func (d *Daemon) tryChanges(ctx context.Context, to view.VM, request *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return d.peers.HandOver(ctx, to, request)
}

// notice returns how long new callers may still come after the VM is not ready.
func (d *Daemon) notice() time.Duration {
	if d.routes != nil {
		return balancerTakesOut
	}
	return balancerNotice
}

func (d *Daemon) shutdownServers(ctx context.Context) error {
	if d.routes != nil {
		if err := d.routes.Shutdown(ctx); err != nil {
			return errors.Wrap(err, "requests of routes were cut short")
		}
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "callers' requests were cut short")
	}
	return errors.Wrap(d.others.Shutdown(ctx), "peers' requests were cut short")
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
