// Package peer calls the other VMs, or this VM's own roles when the call is for
// itself.
package peer

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/change"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/transport"
	"github.com/carawayreel/carawayreel/internal/view"
)

// ErrUnreachable is the cause of errors of calls that were certainly not
// delivered, ErrDenied of calls whose authentication was refused; the cause of
// others is ErrLost.
var (
	ErrUnreachable = errors.New("VM unreachable")
	ErrDenied      = errors.New("VM refused the authentication")
	ErrLost        = errors.New("answer of VM lost")
)

// Owner is the part of the target owner that serves calls for this VM itself.
type Owner interface {
	Dispatch(ctx context.Context, r *pb.SubRequest) *pb.SubReply
	DispatchChange(ctx context.Context, r *pb.ChangeDispatch) *pb.ChangeReply
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	self  string
	owner Owner
	http  *http.Client
	// options bound the size of messages and turn compression off: it costs more
	// than the bytes it saves between VMs of a region.
	options []connect.ClientOption

	mu      sync.RWMutex
	clients map[string]carawayreelv1connect.PeerServiceClient
}

// New returns a Client for the VM named self. Messages above maxBytes are
// refused.
func New(self string, client *http.Client, maxBytes uint32) *Client {
	return &Client{
		self: self,
		http: client,
		options: []connect.ClientOption{
			connect.WithReadMaxBytes(int(maxBytes)),
			connect.WithAcceptCompression("gzip", nil, nil),
		},
		clients: map[string]carawayreelv1connect.PeerServiceClient{},
	}
}

// SetOwner sets the owner that serves calls for this VM itself. It must be
// called before the first dispatch.
func (c *Client) SetOwner(owner Owner) {
	c.owner = owner
}

func (c *Client) at(address string) carawayreelv1connect.PeerServiceClient {
	c.mu.RLock()
	client, ok := c.clients[address]
	c.mu.RUnlock()
	if ok {
		return client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok = c.clients[address]; ok {
		return client
	}
	client = carawayreelv1connect.NewPeerServiceClient(c.http, "http://"+address, c.options...)
	c.clients[address] = client
	return client
}

// Forget drops what is kept for addresses that are not in use any more.
func (c *Client) Forget(inUse map[string]struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.clients {
		if _, ok := inUse[address]; !ok {
			delete(c.clients, address)
		}
	}
}

// Dispatch runs a subrequest on the VM that owns its target.
func (c *Client) Dispatch(ctx context.Context, vm view.VM, r *pb.SubRequest) (*pb.SubReply, error) {
	if vm.ID == c.self {
		return c.owner.Dispatch(ctx, r), nil
	}
	response, err := c.at(vm.PeerAddress).Dispatch(ctx, connect.NewRequest(r))
	return unwrap(response, err)
}

// DispatchChange runs a change on the VM that owns its target. A call that was
// certainly not delivered is answered with NOT_RUN, one whose answer was lost
// with UNKNOWN.
func (c *Client) DispatchChange(ctx context.Context, vm view.VM, r *pb.ChangeDispatch) *pb.ChangeReply {
	if vm.ID == c.self {
		return c.owner.DispatchChange(ctx, r)
	}
	reply, err := unwrap(c.at(vm.PeerAddress).DispatchChange(ctx, connect.NewRequest(r)))
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

// ForwardChange submits a change on the VM that issued its token.
func (c *Client) ForwardChange(ctx context.Context, vm view.VM, r *pb.SubmitChangeRequest) (*pb.ForwardChangeResponse, error) {
	return unwrap(c.at(vm.PeerAddress).ForwardChange(ctx, connect.NewRequest(r)))
}

// ForwardOutcome asks the VM that issued a token for its outcome.
func (c *Client) ForwardOutcome(ctx context.Context, vm view.VM, r *pb.GetOutcomeRequest) (*pb.ForwardOutcomeResponse, error) {
	return unwrap(c.at(vm.PeerAddress).ForwardOutcome(ctx, connect.NewRequest(r)))
}

// Heartbeat exchanges news with the VM at the address.
func (c *Client) Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return unwrap(c.at(address).Heartbeat(ctx, connect.NewRequest(r)))
}

// FetchConfiguration asks the VM at the address for what changed.
func (c *Client) FetchConfiguration(ctx context.Context, address string, r *pb.FetchConfigurationRequest) (*pb.FetchConfigurationResponse, error) {
	return unwrap(c.at(address).FetchConfiguration(ctx, connect.NewRequest(r)))
}

// OfferConfiguration pushes a revision to the VM at the address.
func (c *Client) OfferConfiguration(ctx context.Context, address string, r *pb.OfferConfigurationRequest) (*pb.OfferConfigurationResponse, error) {
	return unwrap(c.at(address).OfferConfiguration(ctx, connect.NewRequest(r)))
}

// HandOver passes target states and change records to a VM.
func (c *Client) HandOver(ctx context.Context, vm view.VM, r *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	return unwrap(c.at(vm.PeerAddress).HandOver(ctx, connect.NewRequest(r)))
}

// Announce spreads suspicions to a VM.
func (c *Client) Announce(ctx context.Context, vm view.VM, entries []*pb.QuarantineEntry) error {
	_, err := unwrap(c.at(vm.PeerAddress).Announce(ctx, connect.NewRequest(&pb.AnnounceRequest{Entries: entries})))
	return err
}

// GetTargets returns the states of the targets that a VM owns.
func (c *Client) GetTargets(ctx context.Context, vm view.VM) (*pb.GetTargetsResponse, error) {
	return unwrap(c.at(vm.PeerAddress).GetTargets(ctx, connect.NewRequest(&pb.GetTargetsRequest{})))
}

// unwrap turns the transport's errors into this package's.
func unwrap[T any](response *connect.Response[T], err error) (*T, error) {
	if err == nil {
		return response.Msg, nil
	}
	if transport.NotSent(err) {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return nil, errors.Wrap(ErrDenied, err.Error())
	}
	return nil, errors.Wrap(ErrLost, err.Error())
}

var (
	_ change.Dispatcher = (*Client)(nil)
	_ change.Forwarder  = (*Client)(nil)
)
