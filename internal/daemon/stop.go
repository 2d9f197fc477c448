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
	// callerDrainDelay gives the load balancer time to notice that the VM is not
	// ready before the VM stops accepting requests.
	callerDrainDelay = 500 * time.Millisecond
	// handOverTimeout is the timeout of one hand-over call.
	handOverTimeout = 2 * time.Second
	// drainDivisor bounds the time in which new requests are still taken to 1/drainDivisor of
	// the time limit: the rest is for running requests.
	drainDivisor = 2
	// leaveDivisor and handOverDivisor limit the phases of a planned stop to a
	// fraction of its time limit: 1/leaveDivisor for telling the other VMs and
	// 1/handOverDivisor for the hand-over.
	leaveDivisor    = 6
	handOverDivisor = 3
	// stopMargin is reserved from the time limit of a planned stop for the process
	// exit, which may be slow on a shared processor. It is at most
	// 1/stopMarginDivisor of the time limit.
	stopMargin        = 500 * time.Millisecond
	stopMarginDivisor = 5
	// responseMargin is additionally reserved for writing the last responses.
	responseMargin = 200 * time.Millisecond
	// handOverAttempts is the maximum number of times that one hand-over message
	// with change records is sent to the same VM.
	handOverAttempts = 3
)

// stop performs a planned stop, which is a graceful shutdown: the VM reports that it is
// not ready, hands its targets and change records over to other VMs, and waits for
// running requests. Requests are not aborted before the configured time limit, less
// stopMargin and responseMargin, has elapsed.
func (d *Daemon) stop() error {
	began := time.Now()
	limit := time.Duration(d.settings.Limits.StopTimeoutMs) * time.Millisecond
	limit -= min(stopMargin, limit/stopMarginDivisor)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limit))
	defer cancel()
	d.logger.Info().Dur("limit", limit).Msg("planned stop begins")
	if d.gateway != nil {
		d.gateway.Stop(began.Add(limit - min(responseMargin, limit/stopMarginDivisor)))
	}
	// Other VMs may not respond, so the drain delay runs in parallel.
	var handedOver sync.WaitGroup
	handedOver.Go(func() {
		d.leave(ctx, limit/leaveDivisor)
		d.handOver(ctx, limit/handOverDivisor)
	})
	sleep(ctx, min(d.drainDelay(), limit/drainDivisor))
	handedOver.Wait()
	err := d.shutdownServers(ctx)
	d.logger.Info().Err(err).Dur("took", time.Since(began)).Msg("planned stop ends")
	return err
}

// leave tells the other VMs of the stop. A failure is only logged: this VM may be
// partitioned from the others.
func (d *Daemon) leave(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := d.control.Leave(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("no other VM was told of the stop")
	}
}

// handOver hands targets and change records over to other VMs. Its own time limit
// leaves enough time for the rest of the stop when these VMs do not respond, for
// example because they have just stopped as well.
func (d *Daemon) handOver(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.handOverTargets(ctx)
	d.handOverChanges(ctx)
}

// handOverTargets waits for in-flight work on this VM's targets and sends their
// states to the new owners.
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

// handOverChanges hands the change records of each issuer over to one successor.
func (d *Daemon) handOverChanges(ctx context.Context) {
	for _, records := range d.changes.Drain(ctx) {
		d.handOverToSuccessor(ctx, records)
	}
}

// handOverToSuccessor tries the candidates in order until one accepts. If the
// response of a VM that may have accepted is lost, no further VM is tried, because
// two VMs must never serve the same tokens.
func (d *Daemon) handOverToSuccessor(ctx context.Context, records change.IssuerRecords) {
	current := d.control.Current()
	for _, candidate := range change.Successors(current, records.Issuer) {
		if candidate.ID == current.Self.ID {
			continue
		}
		err := d.sendInParts(ctx, candidate, records)
		if err == nil {
			d.logger.Info().Str("issuer", records.Issuer.VM).Str("to", candidate.ID).
				Int("records", len(records.Records)).Msg("change records handed over")
			return
		}
		d.logger.Warn().Err(err).Str("to", candidate.ID).Msg("change records not handed over")
		if !errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, errRefused) {
			return
		}
	}
}

// sendInParts sends the records of an issuer in several messages. The receiver does
// not serve any of them before the last message, so a failure before that counts as
// a refusal.
func (d *Daemon) sendInParts(ctx context.Context, to view.VM, records change.IssuerRecords) error {
	parts := records.Split()
	for i, part := range parts {
		more := i < len(parts)-1
		err := d.sendWithRetry(ctx, to, &pb.HandOverRequest{
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

// member returns this VM's entry in the member table, as messages to other VMs carry it.
func (d *Daemon) member() *pb.Member {
	self := d.control.Current().Self
	return &pb.Member{
		Vm: self.ID, FailureDomain: self.FailureDomain, PeerAddress: self.PeerAddress,
		Incarnation: self.Incarnation, State: self.State,
		GatherPort: self.GatherPort, ProcessorMillicores: self.ProcessorMillicores,
	}
}

var errRefused = errors.New("VM refused the change records")

// sendWithRetry sends the message, and sends it to the same VM again if the response is
// lost. A VM may accept the same message more than once without further effect.
func (d *Daemon) sendWithRetry(ctx context.Context, to view.VM, request *pb.HandOverRequest) error {
	var lostErr error
	for range handOverAttempts {
		response, err := d.sendOnce(ctx, to, request)
		if err == nil && response.Accepted {
			return nil
		}
		if err == nil {
			return errRefused
		}
		// After a lost response the VM may have accepted the message already, even
		// if it is unreachable now.
		if errors.Is(err, peer.ErrUnreachable) && lostErr == nil {
			return err
		}
		lostErr = errors.Wrap(peer.ErrLost, err.Error())
	}
	return lostErr
}

func (d *Daemon) sendOnce(ctx context.Context, to view.VM, request *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return d.peers.HandOver(ctx, to, request)
}

// drainDelay returns how long new requests may still arrive after the VM has reported
// that it is not ready.
func (d *Daemon) drainDelay() time.Duration {
	if d.routeServer != nil {
		return routeDrainDelay
	}
	return callerDrainDelay
}

// shutdownServers waits for the running requests of all servers. Peers are served until the
// callers' requests have ended, which may need them; those of routes do not.
func (d *Daemon) shutdownServers(ctx context.Context) error {
	var routes, delegated, others error
	var ended sync.WaitGroup
	if d.routeServer != nil {
		ended.Go(func() { routes = errors.Wrap(d.routeServer.Shutdown(ctx), "requests of routes were cut short") })
	}
	if d.gatherServer != nil {
		ended.Go(func() { delegated = errors.Wrap(d.gatherServer.Shutdown(ctx), "delegated requests were cut short") })
	}
	ended.Go(func() {
		if others = errors.Wrap(d.callerServer.Shutdown(ctx), "callers' requests were cut short"); others == nil {
			others = errors.Wrap(d.peerServer.Shutdown(ctx), "peers' requests were cut short")
		}
	})
	ended.Wait()
	for _, err := range []error{routes, delegated, others} {
		if err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
