package cli

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
)

// UnreachableError reports that no server responded.
type UnreachableError struct {
	// Servers are the addresses that were tried.
	Servers []string
	// Sent is true when the request may have reached a server.
	Sent bool
	// Err is the error of the last attempt.
	Err error
}

// Error states the servers and whether the request was sent.
func (e *UnreachableError) Error() string {
	state := "the request was not sent"
	if e.Sent {
		state = "the request was sent, but no outcome came back"
	}
	return fmt.Sprintf("no answer from %s: %s: %v", strings.Join(e.Servers, ", "), state, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// server is the address of one VM with its service clients.
type server struct {
	address string
	caller  carawayreelv1connect.CallerServiceClient
	admin   carawayreelv1connect.AdminServiceClient
}

// client calls the first reachable server. It fails over to the next server for
// idempotent requests when a server does not respond, and for other requests only
// when the request was certainly not sent. It implements statement.Caller and
// statement.Admin and is safe for concurrent use.
type client struct {
	servers []server
	// timeout is the limit for one attempt.
	timeout time.Duration
}

func newClient(addresses []string, httpClient connect.HTTPClient, timeout time.Duration) *client {
	c := &client{timeout: timeout}
	for _, address := range addresses {
		url := address
		if !strings.Contains(url, "://") {
			url = "http://" + url
		}
		c.servers = append(c.servers, server{
			address: address,
			caller:  carawayreelv1connect.NewCallerServiceClient(httpClient, url),
			admin:   carawayreelv1connect.NewAdminServiceClient(httpClient, url),
		})
	}
	return c
}

// forServer returns a client for the server with the given index only.
func (c *client) forServer(index int) *client {
	return &client{servers: c.servers[index : index+1], timeout: c.timeout}
}

// serverCall makes one call to one server.
type serverCall[A any] func(ctx context.Context, s server) (*connect.Response[A], error)

// callWithFailover calls the servers in turn until one responds. The request must be
// idempotent.
func callWithFailover[A any](ctx context.Context, c *client, call serverCall[A]) (*connect.Response[A], error) {
	return callServers(ctx, c, true, call)
}

// callAtMostOnce calls the servers in turn until the request may have been sent; after
// that it is not sent again.
func callAtMostOnce[A any](ctx context.Context, c *client, call serverCall[A]) (*connect.Response[A], error) {
	return callServers(ctx, c, false, call)
}

func callServers[A any](ctx context.Context, c *client, idempotent bool, call serverCall[A]) (*connect.Response[A], error) {
	unreachable := &UnreachableError{}
	for _, s := range c.servers {
		response, sent, err := callServer(ctx, c.timeout, s, call)
		if err == nil {
			return response, nil
		}
		if isRefusal(err) {
			return nil, errors.Wrapf(err, "server %s refused this request and did not run it", s.address)
		}
		if idempotent && isServerError(err) {
			return nil, errors.Wrapf(err, "server %s", s.address)
		}
		unreachable.Servers = append(unreachable.Servers, s.address)
		unreachable.Sent = unreachable.Sent || sent
		unreachable.Err = err
		if (sent && !idempotent) || ctx.Err() != nil {
			break
		}
	}
	return nil, unreachable
}

// callServer makes one attempt. It also reports whether the request may have been sent:
// true as soon as a connection was obtained.
func callServer[A any](ctx context.Context, timeout time.Duration, s server, call serverCall[A]) (*connect.Response[A], bool, error) {
	var sent atomic.Bool
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	response, err := call(ctx, s)
	return response, sent.Load(), err
}

// isRefusal reports whether a server rejected the request without running it: the
// request is malformed or not implemented, or its sender is not authorized.
func isRefusal(err error) bool {
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated,
		connect.CodePermissionDenied, connect.CodeUnimplemented:
		return true
	default:
		return false
	}
}

// isServerError reports whether err is a server's response, other than "unavailable".
func isServerError(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeUnavailable
}

// responseLost returns err as an *UnreachableError, and true, if the request may have
// been sent but no response was received.
func responseLost(err error) (*UnreachableError, bool) {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.Sent {
		return unreachable, true
	}
	return nil, false
}
