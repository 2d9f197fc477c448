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

// UnreachableError states that no server answered.
type UnreachableError struct {
	// Servers are the addresses that were tried.
	Servers []string
	// Sent is true when the request may have reached a server.
	Sent bool
	// Err is the fault of the last attempt.
	Err error
}

// Error states whether the request was sent.
func (e *UnreachableError) Error() string {
	state := "the request was not sent"
	if e.Sent {
		state = "the request was sent, but no outcome came back"
	}
	return fmt.Sprintf("no answer from %s: %s: %v", strings.Join(e.Servers, ", "), state, e.Err)
}

// Unwrap returns the fault of the last attempt.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// server is one address with its clients.
type server struct {
	address string
	caller  carawayreelv1connect.CallerServiceClient
	admin   carawayreelv1connect.AdminServiceClient
}

// client calls the first server that can be reached. Requests that only read
// are sent to the next server when one does not answer; changes only when the
// request certainly was not sent. It implements the caller and administration
// interfaces and is safe for concurrent use.
type client struct {
	servers []server
	// timeout bounds one attempt.
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

// only returns a client for a single one of the servers.
func (c *client) only(index int) *client {
	return &client{servers: c.servers[index : index+1], timeout: c.timeout}
}

// attempt is one call to one server.
type attempt[A any] func(ctx context.Context, s server) (*connect.Response[A], error)

// read calls the servers in turn until one answers.
func read[A any](ctx context.Context, c *client, call attempt[A]) (*connect.Response[A], error) {
	return try(ctx, c, true, call)
}

// write calls the servers in turn until the request may have been sent.
func write[A any](ctx context.Context, c *client, call attempt[A]) (*connect.Response[A], error) {
	return try(ctx, c, false, call)
}

func try[A any](ctx context.Context, c *client, repeatable bool, call attempt[A]) (*connect.Response[A], error) {
	unreachable := &UnreachableError{}
	for _, s := range c.servers {
		response, sent, err := once(ctx, c.timeout, s, call)
		if err == nil {
			return response, nil
		}
		if refused(err) {
			return nil, errors.Wrapf(err, "server %s refused this request and did not run it", s.address)
		}
		if repeatable && answered(err) {
			return nil, errors.Wrapf(err, "server %s", s.address)
		}
		unreachable.Servers = append(unreachable.Servers, s.address)
		unreachable.Sent = unreachable.Sent || sent
		unreachable.Err = err
		if (sent && !repeatable) || ctx.Err() != nil {
			break
		}
	}
	return nil, unreachable
}

// once makes one attempt. It reports whether the request may have been sent,
// which it takes to be so from the moment a connection was there.
func once[A any](ctx context.Context, timeout time.Duration, s server, call attempt[A]) (*connect.Response[A], bool, error) {
	var sent atomic.Bool
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	response, err := call(ctx, s)
	return response, sent.Load(), err
}

// refused reports whether a server's answer shows that it did not run the
// request: the request was malformed, or its sender has no right to it.
func refused(err error) bool {
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

// answered reports whether a server answered with an error of its own.
func answered(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeUnavailable
}

// answerLost returns the error when a request may have been sent and no answer
// came.
func answerLost(err error) (*UnreachableError, bool) {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.Sent {
		return unreachable, true
	}
	return nil, false
}
