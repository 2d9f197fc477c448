// Package peer is the client for calls to other VMs. Dispatches that are addressed to
// this VM are handled in process.
package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/change"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/transport"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Causes of the errors that calls to other VMs return. ErrUnreachable: no connection
// was established, so the call was definitely not delivered. ErrDenied: the VM rejected
// the authentication. ErrTooLarge: the request or the answer exceeds the bound of messages
// of its receiver. ErrLost: any other failure; the call may have been executed.
var (
	ErrUnreachable = errors.New("VM unreachable")
	ErrDenied      = errors.New("VM refused the authentication")
	ErrTooLarge    = errors.New("message too large")
	ErrLost        = errors.New("answer of VM lost")
)

// Limits bounds the messages that a VM accepts from other VMs, in bytes.
type Limits struct {
	// ConfigurationBytes bounds those that carry a configuration, which grows with the
	// deployment and with what operators write to the store, and MessageBytes all others.
	ConfigurationBytes, MessageBytes uint32
}

// configurationProcedures are the calls whose messages carry a configuration.
var configurationProcedures = []string{
	carawayreelv1connect.PeerServiceFetchConfigurationProcedure,
	carawayreelv1connect.PeerServiceOfferConfigurationProcedure,
}

// readMaxBytes returns the bound of the messages of a call.
func (l Limits) readMaxBytes(procedure string) int {
	if slices.Contains(configurationProcedures, procedure) {
		return int(l.ConfigurationBytes)
	}
	return int(l.MessageBytes)
}

// HandlerOption returns the option that applies the limits to the handlers of the peer service.
func (l Limits) HandlerOption() connect.HandlerOption {
	return connect.WithConditionalHandlerOptions(func(spec connect.Spec) []connect.HandlerOption {
		return []connect.HandlerOption{connect.WithReadMaxBytes(l.readMaxBytes(spec.Procedure))}
	})
}

// Owner handles dispatches to targets that this VM owns.
type Owner interface {
	Dispatch(ctx context.Context, r *pb.SubRequest) *pb.SubReply
	DispatchChange(ctx context.Context, r *pb.ChangeDispatch) *pb.ChangeReply
}

// Client calls other VMs. It is safe for concurrent use.
type Client struct {
	self  string
	owner Owner
	http  *http.Client
	// limits bounds the answers.
	limits Limits

	mu      sync.RWMutex
	clients map[string]clients
}

// clients are the RPC clients of one address.
type clients struct {
	// configuration makes the calls whose answers carry a configuration, and calls all others.
	configuration, calls carawayreelv1connect.PeerServiceClient
}

// New returns a Client for use on the VM with the ID self. Answers beyond the limits are
// rejected.
func New(self string, client *http.Client, limits Limits) *Client {
	return &Client{self: self, http: client, limits: limits, clients: map[string]clients{}}
}

// SetOwner sets the owner that handles dispatches to this VM. It must be called before
// the first dispatch.
func (c *Client) SetOwner(owner Owner) {
	c.owner = owner
}

// clientFor returns the cached RPC client for the address, creating it if necessary.
func (c *Client) clientFor(address string) carawayreelv1connect.PeerServiceClient {
	return c.clientsFor(address).calls
}

func (c *Client) clientsFor(address string) clients {
	c.mu.RLock()
	known, ok := c.clients[address]
	c.mu.RUnlock()
	if ok {
		return known
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok = c.clients[address]; ok {
		return known
	}
	known = clients{
		configuration: c.newClient(address, c.limits.ConfigurationBytes),
		calls:         c.newClient(address, c.limits.MessageBytes),
	}
	c.clients[address] = known
	return known
}

// newClient returns an RPC client whose answers have at most maxBytes. It disables compression,
// which costs more than it saves between VMs of one region.
func (c *Client) newClient(address string, maxBytes uint32) carawayreelv1connect.PeerServiceClient {
	return carawayreelv1connect.NewPeerServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(int(maxBytes)), connect.WithAcceptCompression("gzip", nil, nil))
}

// RetainClients removes the cached RPC clients of all addresses that are not in inUse.
func (c *Client) RetainClients(inUse map[string]struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.clients {
		if _, ok := inUse[address]; !ok {
			delete(c.clients, address)
		}
	}
}

// Dispatch sends a subrequest to the VM that owns its target.
func (c *Client) Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
	if vm.ID == c.self {
		return c.owner.Dispatch(ctx, r), nil
	}
	response, err := c.clientFor(vm.PeerAddress).Dispatch(ctx, connect.NewRequest(r))
	return unwrap(response, err)
}

// DispatchChange sends a change to the VM that owns its target. If the call was
// definitely not delivered, the outcome is NOT_RUN; after any other failure it is
// UNKNOWN.
func (c *Client) DispatchChange(ctx context.Context, vm view.VM, r *pb.ChangeDispatch) *pb.ChangeReply {
	if vm.ID == c.self {
		return c.owner.DispatchChange(ctx, r)
	}
	reply, err := unwrap(c.clientFor(vm.PeerAddress).DispatchChange(ctx, connect.NewRequest(r)))
	if err == nil {
		return reply
	}
	return &pb.ChangeReply{Token: r.Token, Target: r.Target, Outcome: failedOutcome(err), Reason: err.Error()}
}

func failedOutcome(err error) pb.Outcome {
	if errors.Is(err, ErrUnreachable) {
		return pb.Outcome_OUTCOME_NOT_RUN
	}
	return pb.Outcome_OUTCOME_UNKNOWN
}

// ForwardChange forwards a change to the VM that issued its token.
func (c *Client) ForwardChange(ctx context.Context, vm view.VM, r *pb.SubmitChangeRequest) (*pb.ForwardChangeResponse, error) {
	return unwrap(c.clientFor(vm.PeerAddress).ForwardChange(ctx, connect.NewRequest(r)))
}

// ForwardOutcome queries the VM that issued a token for the outcome of its change.
func (c *Client) ForwardOutcome(ctx context.Context, vm view.VM, r *pb.GetOutcomeRequest) (*pb.ForwardOutcomeResponse, error) {
	return unwrap(c.clientFor(vm.PeerAddress).ForwardOutcome(ctx, connect.NewRequest(r)))
}

// Heartbeat exchanges heartbeats with the VM at the address.
func (c *Client) Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return unwrap(c.clientFor(address).Heartbeat(ctx, connect.NewRequest(r)))
}

// FetchConfiguration fetches the configuration changes since a revision from the VM
// at the address.
func (c *Client) FetchConfiguration(ctx context.Context, address string, r *pb.FetchConfigurationRequest) (*pb.FetchConfigurationResponse, error) {
	return unwrap(c.clientsFor(address).configuration.FetchConfiguration(ctx, connect.NewRequest(r)))
}

// OfferConfiguration pushes a revision to the VM at the address.
func (c *Client) OfferConfiguration(ctx context.Context, address string, r *pb.OfferConfigurationRequest) (*pb.OfferConfigurationResponse, error) {
	return unwrap(c.clientFor(address).OfferConfiguration(ctx, connect.NewRequest(r)))
}

// HandOver hands target states and change records over to a VM.
func (c *Client) HandOver(ctx context.Context, vm view.VM, r *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	return unwrap(c.clientFor(vm.PeerAddress).HandOver(ctx, connect.NewRequest(r)))
}

// Announce sends quarantine entries to a VM.
func (c *Client) Announce(ctx context.Context, vm view.VM, entries []*pb.QuarantineEntry) error {
	_, err := unwrap(c.clientFor(vm.PeerAddress).Announce(ctx, connect.NewRequest(&pb.AnnounceRequest{Entries: entries})))
	return err
}

// GetTargets returns the states of the targets that a VM owns.
func (c *Client) GetTargets(ctx context.Context, vm view.VM) (*pb.GetTargetsResponse, error) {
	return unwrap(c.clientFor(vm.PeerAddress).GetTargets(ctx, connect.NewRequest(&pb.GetTargetsRequest{})))
}

// unwrap returns the message of a response, or maps a transport error to one of this
// package's causes.
func unwrap[T any](response *connect.Response[T], err error) (*T, error) {
	if err == nil {
		return response.Msg, nil
	}
	if transport.NotSent(err) {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return nil, errors.Wrap(ErrDenied, err.Error())
	case connect.CodeResourceExhausted:
		return nil, errors.Wrap(ErrTooLarge, err.Error())
	default:
		return nil, errors.Wrap(ErrLost, err.Error())
	}
}

var (
	_ change.Dispatcher = (*Client)(nil)
	_ change.Forwarder  = (*Client)(nil)
)

// ReportUsage reports the requests of organisations to the VM that accounts for their allowances.
func (c *Client) ReportUsage(ctx context.Context, vm view.VM, r *pb.ReportUsageRequest) (*pb.ReportUsageResponse, error) {
	return unwrap(c.clientFor(vm.PeerAddress).ReportUsage(ctx, connect.NewRequest(r)))
}
