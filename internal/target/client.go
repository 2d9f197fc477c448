// Package target is the client of one target: connect over HTTP/1.1, one
// request per connection at a time, within a budget of connections that is
// exact and at a limited pace of new connections.
//
// No request is ever sent twice by the library: a failed call is reported with
// what is known about whether it reached the target.
package target

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

const (
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxIdle is the number of unused connections kept; the budget is the
	// tighter bound.
	maxIdle = 65535
)

// Options describes a target to its client.
type Options struct {
	// Address is the target's IP address and port.
	Address string
	// Connections is the largest number of connections open or being opened.
	Connections int
	// Setup is the typical time of a connection set-up.
	Setup time.Duration
	// SourceAddress is the local IP address; empty lets the system choose.
	SourceAddress string
	// MaxReplyBytes bounds the size of a reply; zero leaves it unbounded.
	MaxReplyBytes int
	// OnIdleLoss is called when the target closes an unused connection. It must
	// not block.
	OnIdleLoss func()
}

// Client calls one target. It is safe for concurrent use.
type Client struct {
	dialer    *dialer
	transport *http.Transport
	rpc       carawayreelv1connect.TargetServiceClient
}

// New returns a client. No connection is opened before the first call.
func New(options Options) *Client {
	if options.OnIdleLoss == nil {
		options.OnIdleLoss = func() {}
	}
	d := newDialer(options)
	transport := &http.Transport{
		DialContext:         d.dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           http1(),
	}
	once := &sendOnce{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
	return &Client{
		dialer:    d,
		transport: transport,
		rpc: carawayreelv1connect.NewTargetServiceClient(once, "http://"+options.Address,
			connect.WithReadMaxBytes(options.MaxReplyBytes),
			// Targets are near: compressing a reply costs more than sending it.
			connect.WithAcceptCompression("gzip", nil, nil)),
	}
}

func http1() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return protocols
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// sendOnce takes from each request all that would let the HTTP library send it
// again by itself: the means to rewind the body and the idempotency headers.
type sendOnce struct {
	client *http.Client
}

// Do sends the request at most once.
func (s *sendOnce) Do(request *http.Request) (*http.Response, error) {
	request.GetBody = nil
	request.Header.Del("Idempotency-Key")
	request.Header.Del("X-Idempotency-Key")
	return s.client.Do(request)
}

// Connections returns the number of connections open, being opened or not yet
// closed by the target.
func (c *Client) Connections() int {
	used, _ := c.dialer.budget.taken()
	return used
}

// Resize changes the connection budget and the pace of new connections.
// Connections beyond a lower budget are closed once they are unused.
func (c *Client) Resize(connections int, setup time.Duration) {
	c.dialer.budget.resize(connections)
	c.dialer.pace.SetLimit(paceOf(setup))
	c.trim()
}

// trim closes the unused connections while the budget is exceeded.
func (c *Client) trim() {
	if _, exceeded := c.dialer.budget.taken(); exceeded {
		c.transport.CloseIdleConnections()
	}
}

// Close closes the unused connections. Calls that run are not cut.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Search runs a search. The check runs before each write and stops the call
// when it fails. The error is an *Error.
func (c *Client) Search(ctx context.Context, r *pb.TargetSearchRequest, check func() error) (*pb.TargetSearchResponse, error) {
	defer c.trim()
	reply, err := call(ctx, c.rpc.Search, r, check)
	if err != nil {
		return nil, err
	}
	if err := CheckReply(r, reply); err != nil {
		return reply, &Error{Kind: Invalid, Cause: err}
	}
	return reply, nil
}

// Apply runs a change. The check runs before each write and stops the call when
// it fails. The error is an *Error.
func (c *Client) Apply(ctx context.Context, r *pb.TargetApplyRequest, check func() error) (*pb.TargetApplyResponse, error) {
	defer c.trim()
	reply, err := call(ctx, c.rpc.Apply, r, check)
	if err != nil {
		return nil, err
	}
	if reply.Token != r.Token || reply.Status == pb.TargetStatus_TARGET_STATUS_UNSPECIFIED {
		return reply, &Error{Kind: Invalid, Cause: errors.Wrap(ErrInvalidReply, "token or status")}
	}
	return reply, nil
}

// Health asks the target for its health, which may lag or mislead.
func (c *Client) Health(ctx context.Context) (*pb.TargetHealthResponse, error) {
	return call(ctx, c.rpc.Health, &pb.TargetHealthRequest{}, nil)
}

func call[Q, P any](
	ctx context.Context,
	method func(context.Context, *connect.Request[Q]) (*connect.Response[P], error),
	request *Q,
	check func() error,
) (*P, error) {
	var used atomic.Pointer[use]
	var answered atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				used.Store(c.begin(checked(ctx, check)))
			}
		},
		GotFirstResponseByte: func() { answered.Store(true) },
	}
	reply, err := method(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(request))
	u := used.Load()
	if u != nil {
		u.finish()
	}
	if err != nil {
		return nil, classify(ctx, u, answered.Load(), err)
	}
	return reply.Msg, nil
}

// checked returns a check that fails when the context has ended or check fails.
func checked(ctx context.Context, check func() error) func() error {
	return func() error {
		if err := ctx.Err(); err != nil {
			return err
		}
		if check == nil {
			return nil
		}
		return check()
	}
}

func classify(ctx context.Context, u *use, answered bool, err error) *Error {
	var refused *dialError
	switch {
	case u == nil && errors.As(err, &refused):
		return &Error{Kind: Refused, Cause: err}
	case u == nil, !u.wrote():
		return &Error{Kind: Withheld, Cause: err}
	case u.conn.broken.Load():
		return u.fail(Broken, err)
	case ctx.Err() != nil:
		return u.fail(Unanswered, err)
	case answered:
		return &Error{Kind: Invalid, Cause: err}
	}
	return u.fail(Broken, err)
}

// fail closes the connection of a call that has no answer.
func (u *use) fail(kind FailureKind, err error) *Error {
	_ = u.conn.Close()
	return &Error{Kind: kind, Cause: err, Settled: u.conn.ended}
}

// CheckReply checks that a reply answers the request and is complete.
func CheckReply(r *pb.TargetSearchRequest, reply *pb.TargetSearchResponse) error {
	if reply.RequestId != r.RequestId || reply.Attempt != r.Attempt {
		return errors.Wrap(ErrInvalidReply, "request identifier")
	}
	if reply.Status == pb.TargetStatus_TARGET_STATUS_UNSPECIFIED {
		return errors.Wrap(ErrInvalidReply, "no status")
	}
	if reply.Status != pb.TargetStatus_TARGET_STATUS_OK {
		return nil
	}
	if reply.Snapshot != r.Snapshot {
		return errors.Wrap(ErrInvalidReply, "snapshot")
	}
	return validResults(r, reply.Results)
}

func validResults(r *pb.TargetSearchRequest, results []*pb.PartitionResult) error {
	wanted := make(map[string]bool, len(r.Partitions))
	for _, partition := range r.Partitions {
		wanted[partition] = true
	}
	for _, result := range results {
		if !wanted[result.Partition] {
			return errors.Wrap(ErrInvalidReply, "partition not asked for, or twice")
		}
		wanted[result.Partition] = false
		if int(result.RowCount) != len(result.Rows) {
			return errors.Wrap(ErrInvalidReply, "row count")
		}
	}
	return nil
}
