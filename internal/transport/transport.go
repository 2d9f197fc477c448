// Package transport creates the HTTP clients and servers for calls between VMs, from
// callers and to the platform.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/carawayreel/carawayreel/internal/auth"
)

const (
	dialTimeout = time.Second
	// pingIdleTime is the time without received data after which an HTTP/2
	// connection is checked by a ping, and pingTimeout is the time to wait for the
	// reply before the connection is closed. Together they limit how long stale
	// connections delay recovery after a network partition heals.
	pingIdleTime = time.Second
	pingTimeout  = time.Second

	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 10000
	maxIdleConnsPerHost  = 4
)

// ClientOptions configures a client.
type ClientOptions struct {
	// SourceAddress is the local IP address of connections. If it is empty, the
	// operating system chooses one.
	SourceAddress string
	// Key signs a token for Identity that is added to each request. If it is nil,
	// requests carry no token.
	Key      *auth.Key
	Identity auth.Identity
	// HTTP1 selects HTTP/1.1 instead of unencrypted HTTP/2.
	HTTP1 bool
}

// NewClient returns a client without an overall timeout: the deadline of each call
// comes from its context.
func NewClient(options ClientOptions) *http.Client {
	dialer := Dialer(options.SourceAddress)
	var protocols http.Protocols
	protocols.SetHTTP1(options.HTTP1)
	protocols.SetUnencryptedHTTP2(!options.HTTP1)
	base := &http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           &protocols,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,
		},
	}
	return &http.Client{Transport: auth.NewSigner(base, options.Key, options.Identity)}
}

// Dialer returns a dialer that binds to the local IP address. If the address is empty,
// the operating system chooses one.
func Dialer(sourceAddress string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if sourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceAddress)}
	}
	return dialer
}

// NotSent reports whether a call failed while dialing, so that no part of the request
// can have reached the server.
func NotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Server is an HTTP server with a bound listener. It implements suture.Service.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen binds the address. The server supports HTTP/1.1 and HTTP/2, both without TLS.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
	return &Server{listener: listener, server: server}, nil
}

// Bound bounds the connections of a server: it may change the server's hooks and handler, and
// returns the listener to accept connections from.
type Bound func(server *http.Server, listener net.Listener) net.Listener

// ListenHTTP1 binds the address. The server supports HTTP/1.1 only, without TLS. The bounds are
// applied in turn.
func ListenHTTP1(address string, handler http.Handler, bounds ...Bound) (*Server, error) {
	server, err := Listen(address, handler)
	if err != nil {
		return nil, err
	}
	server.server.Protocols.SetUnencryptedHTTP2(false)
	for _, bound := range bounds {
		server.listener = bound(server.server, server.listener)
	}
	return server, nil
}

// Address returns the address that the server is bound to.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve accepts connections until Shutdown is called or the context ends. It then
// returns suture.ErrDoNotRestart.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return errors.Wrap(err, "serve")
}

// Shutdown stops accepting connections and waits until all in-flight requests have
// completed or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "shutdown")
}
