// Package target implements the client of a single target. It speaks the Connect protocol over HTTP/1.1 with
// at most one request per connection at a time, enforces an exact limit on the number of connections, and
// limits the rate of connection setups.
//
// The client never sends a request twice. The error of a failed call tells whether the request may have
// reached the target.
package target

import (
	"bytes"
	"context"
	"io"
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
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// maxHeadBytes bounds the head of a reply; a target may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxIdleConnections is the maximum number of idle connections kept open. The connection budget is the
	// tighter limit.
	maxIdleConnections = 65535
)

// Options configures a Client.
type Options struct {
	// Address is the target's IP address and port.
	Address string
	// Connections is the connection budget: the maximum number of connections that are open or being opened.
	Connections int
	// Setup is the typical duration of a connection setup, from which the maximum setup rate is derived.
	Setup time.Duration
	// SourceAddress is the local IP address of connections. If empty, the system chooses one.
	SourceAddress string
	// MaxReplyBytes is the maximum size of a reply in bytes; zero means no limit.
	MaxReplyBytes int
	// OnIdleLoss is called when the target closes an idle connection. It must not block.
	OnIdleLoss func()
}

// Client sends calls to one target. It is safe for concurrent use.
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
		DialContext:            d.dial,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		Protocols:              http1Only(),
	}
	httpClient := &noRetryClient{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
	return &Client{
		dialer:    d,
		transport: transport,
		rpc: carawayreelv1connect.NewTargetServiceClient(httpClient, "http://"+options.Address,
			connect.WithReadMaxBytes(options.MaxReplyBytes),
			// Targets are close on the network, so compressing a reply costs more than sending it.
			connect.WithAcceptCompression("gzip", nil, nil)),
	}
}

func http1Only() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return protocols
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// noRetryClient prevents the automatic retries of net/http. It removes from each request what makes it
// replayable: the function to rewind the body and the idempotency headers. It also lets net/http write the head
// and a short body together, for which the body must be a type that it knows.
type noRetryClient struct {
	client *http.Client
}

// Do sends the request at most once.
func (c *noRetryClient) Do(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, errors.Wrap(err, "request body")
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	request.GetBody = nil
	request.Header.Del("Idempotency-Key")
	request.Header.Del("X-Idempotency-Key")
	return c.client.Do(request)
}

// Connections returns the number of connections that are open, being opened or not yet closed by the target.
func (c *Client) Connections() int {
	used, _ := c.dialer.connBudget.usage()
	return used
}

// Resize changes the connection budget and the setup time that determines the rate of new connections.
// Connections above a lower budget are closed once they are idle.
func (c *Client) Resize(connections int, setup time.Duration) {
	c.dialer.connBudget.resize(connections)
	c.dialer.setupLimiter.SetLimit(setupRate(setup))
	c.closeExcessIdle()
}

// closeExcessIdle closes the idle connections if the budget is exceeded.
func (c *Client) closeExcessIdle() {
	if _, exceeded := c.dialer.connBudget.usage(); exceeded {
		c.transport.CloseIdleConnections()
	}
}

// Close closes the idle connections. It does not interrupt running calls.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Search runs a search. The check runs before each write to the connection; an error from it aborts the call.
// The returned error is an *Error.
func (c *Client) Search(ctx context.Context, r *pb.TargetSearchRequest, check func() error) (*pb.TargetSearchResponse, error) {
	defer c.closeExcessIdle()
	reply, err := call(ctx, c.rpc.Search, r, check)
	if err != nil {
		return nil, err
	}
	if err := CheckReply(r, reply); err != nil {
		return reply, &Error{Kind: Invalid, Cause: err}
	}
	return reply, nil
}

// Apply runs a change. The check runs before each write to the connection; an error from it aborts the call.
// The returned error is an *Error.
func (c *Client) Apply(ctx context.Context, r *pb.TargetApplyRequest, check func() error) (*pb.TargetApplyResponse, error) {
	defer c.closeExcessIdle()
	reply, err := call(ctx, c.rpc.Apply, r, check)
	if err != nil {
		return nil, err
	}
	if reply.Token != r.Token || reply.Status == pb.TargetStatus_TARGET_STATUS_UNSPECIFIED {
		return reply, &Error{Kind: Invalid, Cause: errors.Wrap(ErrInvalidReply, "token or status")}
	}
	return reply, nil
}

// Health queries the target's health endpoint. Its response may be stale or wrong.
func (c *Client) Health(ctx context.Context) (*pb.TargetHealthResponse, error) {
	return call(ctx, c.rpc.Health, &pb.TargetHealthRequest{}, nil)
}

// call runs one request and classifies its failure. It binds the check to the connection for the duration of
// the call.
func call[Q, P any](
	ctx context.Context,
	method func(context.Context, *connect.Request[Q]) (*connect.Response[P], error),
	request *Q,
	check func() error,
) (*P, error) {
	var acquired atomic.Pointer[connUse]
	var answered atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				acquired.Store(c.begin(withContextCheck(ctx, check)))
			}
		},
		GotFirstResponseByte: func() { answered.Store(true) },
	}
	reply, err := method(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(request))
	u := acquired.Load()
	if u != nil {
		u.finish()
	}
	if err != nil {
		return nil, classify(ctx, u, answered.Load(), err)
	}
	return reply.Msg, nil
}

// withContextCheck returns a check that fails if ctx is done or the given check fails. The check may be nil.
func withContextCheck(ctx context.Context, check func() error) func() error {
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

// classify returns the *Error of a failed call. The connUse is nil if the call got no connection; answered
// reports whether a response began to arrive.
func classify(ctx context.Context, u *connUse, answered bool, err error) *Error {
	var failure *dialError
	switch {
	case u == nil && errors.As(err, &failure):
		return &Error{Kind: ConnectFailed, Cause: err}
	case u == nil, !u.wroteOrClose():
		return &Error{Kind: Withheld, Cause: err}
	case u.aborted.Load():
		// The target does not run a request whose body is incomplete.
		_ = u.conn.Close()
		return &Error{Kind: Withheld, Cause: err}
	case u.conn.broken.Load():
		return u.closeWithError(Broken, err)
	case ctx.Err() != nil:
		return u.closeWithError(Unanswered, err)
	case answered:
		return &Error{Kind: Invalid, Cause: err}
	}
	return u.closeWithError(Broken, err)
}

// closeWithError closes the connection of a call without a reply and returns the error of the call.
func (u *connUse) closeWithError(kind FailureKind, err error) *Error {
	_ = u.conn.Close()
	return &Error{Kind: kind, Cause: err, PeerClosed: u.conn.peerClosed}
}

// CheckReply checks that a reply belongs to the request and is complete. Its errors wrap ErrInvalidReply.
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
	return checkResults(r, reply.Results)
}

// checkResults checks that the results cover only requested partitions, each once and with all its rows.
func checkResults(r *pb.TargetSearchRequest, results []*pb.PartitionResult) error {
	pending := make(map[string]bool, len(r.Partitions))
	for _, partition := range r.Partitions {
		pending[partition] = true
	}
	for _, result := range results {
		if !pending[result.Partition] {
			return errors.Wrap(ErrInvalidReply, "partition not asked for, or twice")
		}
		pending[result.Partition] = false
		if int(result.RowCount) != len(result.Rows) {
			return errors.Wrap(ErrInvalidReply, "row count")
		}
	}
	return nil
}
