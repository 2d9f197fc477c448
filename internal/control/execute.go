package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawayreel/carawayreel/internal/configuration"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/view"
)

// execute carries out a decision of the machine. Calls run in their own goroutines, and their results are
// posted as events. It returns the response to a received heartbeat if the decision is one.
func (c *Control) execute(ctx context.Context, decision *pb.ControlDecision) *pb.HeartbeatResponse {
	switch kind := decision.Kind.(type) {
	case *pb.ControlDecision_SendHeartbeat:
		go c.sendHeartbeat(ctx, kind.SendHeartbeat)
	case *pb.ControlDecision_Respond:
		return kind.Respond
	case *pb.ControlDecision_ReadList:
		go c.readList(ctx)
	case *pb.ControlDecision_WatchStore:
		go c.watchStore(ctx, kind.WatchStore, c.machine.configuration)
	case *pb.ControlDecision_Fetch:
		go c.fetch(ctx, kind.Fetch)
	case *pb.ControlDecision_Offer:
		inForceAt := view.LastInForce(c.machine.replaced, kind.Offer.BaseRevision)
		go c.offer(ctx, kind.Offer, c.machine.configuration, c.clock(inForceAt))
	case *pb.ControlDecision_Publish:
		c.rebuildDue = true
	}
	return nil
}

func (c *Control) offset() int64 { return time.Since(c.startedAt).Microseconds() }

// clock converts a time of the machine, zero excepted, to the process's clock.
func (c *Control) clock(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return c.startedAt.Add(at.Sub(c.machine.start))
}

// makeDelta returns the delta to send to a VM with the given revision, which was last known to be in force at
// inForceAt. That time may be zero.
func makeDelta(c *pb.Configuration, revision uint64, inForceAt time.Time) *pb.ConfigurationDelta {
	delta := configuration.MakeDelta(c, revision)
	if !inForceAt.IsZero() {
		stateReplaced(delta, revision, time.Since(inForceAt))
	}
	return delta
}

// stateReplaced states in a delta how long ago the revision that it replaces at the receiver was last known to be
// in force. It rounds up.
func stateReplaced(delta *pb.ConfigurationDelta, revision uint64, age time.Duration) {
	if delta != nil {
		delta.ReplacedRevision = revision
		delta.ReplacedAgeMs = uint64(max(age.Milliseconds(), 0)) + 1
	}
}

// replacedOffset returns when the revision that the delta replaces was last in force. at is the offset of a
// time before the delta was sent, or of its receipt if no such time is known.
func replacedOffset(delta *pb.ConfigurationDelta, at int64) int64 {
	return at - milliseconds(delta.GetReplacedAgeMs()).Microseconds()
}

func (c *Control) sendHeartbeat(ctx context.Context, send *pb.SendHeartbeat) {
	sent := c.offset()
	timeout := max(c.config.heartbeatInterval, c.config.suspectAfter/2)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, _ := proto.Clone(send.Request).(*pb.HeartbeatRequest)
	gossip := c.gossipFor(c.domainOf(send.Vm), time.Now())
	request.Quarantine, request.TargetReports, request.TargetAdvice = gossip.quarantine, gossip.reports, gossip.advice
	request.VersionEvidence = gossip.evidence
	request.ServicePressures = gossip.pressures
	response, err := c.options.Peers.Heartbeat(callCtx, send.Address, request)
	if err != nil {
		failed := &pb.HeartbeatFailed{Vm: send.Vm, SentOffsetUs: sent, Denied: errors.Is(err, ErrDenied)}
		c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatFailed{HeartbeatFailed: failed}})
		return
	}
	c.traffic.count(request, response)
	c.mergeGossip(response.GetResponder(), response, time.Now())
	stripped, _ := proto.Clone(response).(*pb.HeartbeatResponse)
	stripped.Quarantine, stripped.TargetReports, stripped.TargetAdvice, stripped.VersionEvidence = nil, nil, nil, nil
	stripped.ServicePressures = nil
	answered := &pb.HeartbeatAnswered{Vm: send.Vm, Response: stripped, SentOffsetUs: sent}
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_HeartbeatAnswered{HeartbeatAnswered: answered}})
}

// domainOf returns the failure domain of a VM, or "" if the VM is unknown.
func (c *Control) domainOf(vm string) string {
	known, _ := c.Current().VM(vm)
	return known.FailureDomain
}

func (c *Control) readList(ctx context.Context) {
	vms, err := c.options.VMList.ListVMs(ctx)
	read := &pb.VmListRead{Vms: vms, Failed: err != nil}
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_ListRead{ListRead: read}})
}

// watchStore makes one bounded watch call and reads the configuration if it changed.
func (c *Control) watchStore(ctx context.Context, watch *pb.WatchStore, known *pb.Configuration) {
	sent := c.offset()
	wait := time.Duration(watch.WaitMs) * time.Millisecond
	result, err := c.source.Watch(ctx, watch.AfterVersion, wait, known)
	read := &pb.StoreRead{SentOffsetUs: sent, Version: result.Version, Configuration: result.Configuration}
	switch {
	case err != nil:
		read = &pb.StoreRead{SentOffsetUs: sent, Failed: true, Error: err.Error()}
	case result.Configuration == nil && c.offset()-sent >= wait.Microseconds():
		// The store answers a watch without changes at the end of its wait.
		read.ConfirmedOffsetUs = sent + wait.Microseconds()
	}
	c.logStoreAvailability(err)
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_StoreRead{StoreRead: read}})
}

// logStoreAvailability logs when the platform's store becomes unavailable or available again.
func (c *Control) logStoreAvailability(err error) {
	unavailable := err != nil
	if c.storeUnavailable.Swap(unavailable) == unavailable {
		return
	}
	if unavailable {
		c.options.Logger.Warn().Err(err).Uint64("revision", c.Current().Revision()).Msg("platform's store lost")
		return
	}
	c.options.Logger.Info().Uint64("revision", c.Current().Revision()).Msg("platform's store regained")
}

func (c *Control) fetch(ctx context.Context, from *pb.FetchFrom) {
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	sent := c.offset()
	request := &pb.FetchConfigurationRequest{SinceRevision: from.SinceRevision}
	response, err := c.options.Peers.FetchConfiguration(callCtx, from.Address, request)
	if err != nil {
		c.fetchFailures.Add(1)
		c.options.Logger.Warn().Str("vm", from.Vm).Uint64("since_revision", from.SinceRevision).Err(err).Msg("configuration not fetched")
	}
	if err != nil || !c.wellFormed(from.Vm, response.GetDelta()) {
		failed := &pb.FetchFailed{Vm: from.Vm, TooLarge: errors.Is(err, ErrTooLarge)}
		c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_FetchFailed{FetchFailed: failed}})
		return
	}
	c.traffic.count(request, response)
	received := &pb.DeltaReceived{
		From: from.Vm, Delta: response.Delta, Fetched: true, HopsLeft: maxHops, ReplacedOffsetUs: replacedOffset(response.Delta, sent),
	}
	c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_DeltaReceived{DeltaReceived: received}})
}

// wellFormed reports whether a delta from another VM conforms to the schema, and logs the error otherwise.
func (c *Control) wellFormed(from string, delta *pb.ConfigurationDelta) bool {
	err := configuration.CheckDelta(delta)
	if err != nil {
		c.options.Logger.Warn().Str("from", from).Err(err).Msg("malformed configuration refused")
	}
	return err == nil
}

// offer sends a revision to another VM as a delta. A VM that lacks the delta's base fetches the
// configuration itself.
func (c *Control) offer(ctx context.Context, to *pb.OfferTo, offered *pb.Configuration, inForceAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	request := &pb.OfferConfigurationRequest{
		Delta:    makeDelta(offered, to.BaseRevision, inForceAt),
		HopsLeft: to.HopsLeft,
		From:     c.options.Self.ID,
	}
	response, err := c.options.Peers.OfferConfiguration(ctx, to.Address, request)
	c.traffic.count(request, response)
	if err != nil {
		c.offerFailures.Add(1)
		c.options.Logger.Warn().Str("vm", to.Vm).Uint64("revision", offered.Revision).Int("bytes", proto.Size(request)).Err(err).
			Msg("configuration not passed on")
	}
}

// FetchConfiguration returns the changes since a revision. The response is empty if this VM has no newer
// revision.
func (c *Control) FetchConfiguration(_ context.Context, r *pb.FetchConfigurationRequest) *pb.FetchConfigurationResponse {
	current := c.Current()
	since := r.GetSinceRevision()
	if current.Revision() <= since {
		return &pb.FetchConfigurationResponse{}
	}
	return &pb.FetchConfigurationResponse{Delta: makeDelta(current.Configuration, since, current.LastInForce(since))}
}

// OfferConfiguration accepts a revision that another VM forwards and returns the revision in force
// afterwards. A malformed delta is ignored.
func (c *Control) OfferConfiguration(ctx context.Context, r *pb.OfferConfigurationRequest) *pb.OfferConfigurationResponse {
	if c.wellFormed("offer", r.GetDelta()) {
		received := &pb.DeltaReceived{
			From: r.GetFrom(), Delta: r.Delta, HopsLeft: min(r.GetHopsLeft(), maxHops), ReplacedOffsetUs: replacedOffset(r.Delta, c.offset()),
		}
		c.post(ctx, &pb.ControlEvent{Kind: &pb.ControlEvent_DeltaReceived{DeltaReceived: received}})
	}
	return &pb.OfferConfigurationResponse{Revision: c.Current().Revision()}
}
