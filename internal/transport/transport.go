// Package transport builds the HTTP clients and servers that the system's own
// processes use among themselves and towards the platform.
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
	// pingAfter is the silence after which an HTTP/2 connection is probed, and
	// pingTimeout the time the probe may take before the connection is given
	// up. Both bound how long a healed network partition is still felt.
	pingAfter   = time.Second
	pingTimeout = time.Second

	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 64 << 10
	streamsPerServer   = 10000
	idleConnectionsMax = 4
)

// ClientOptions configures a client.
type ClientOptions struct {
	// SourceAddress is the local IP address that connections use; empty lets
	// the system choose.
	SourceAddress string
	// Key signs each request for Identity; nil sends requests unsigned.
	Key      *auth.Key
	Identity auth.Identity
	// HTTP1 selects HTTP/1.1 instead of HTTP/2 without TLS.
	HTTP1 bool
}

// NewClient returns a client without a total time limit: each call brings its
// deadline in its context.
func NewClient(options ClientOptions) *http.Client {
	dialer := Dialer(options.SourceAddress)
	var protocols http.Protocols
	protocols.SetHTTP1(options.HTTP1)
	protocols.SetUnencryptedHTTP2(!options.HTTP1)
	base := &http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           &protocols,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idleConnectionsMax,
		DisableCompression:  true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	return &http.Client{Transport: auth.NewSigner(base, options.Key, options.Identity)}
}

// Dialer returns a dialer that uses the local IP address; an empty one lets the
// system choose.
func Dialer(sourceAddress string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if sourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceAddress)}
	}
	return dialer
}

// NotSent reports whether a call failed before any byte of it can have reached
// the other side: no connection was made.
func NotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Server is an HTTP server bound to its address.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen binds the address. The server speaks HTTP/1.1 and HTTP/2 without TLS.
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
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: streamsPerServer},
	}
	return &Server{listener: listener, server: server}, nil
}

// ListenHTTP1 binds the address. The server speaks HTTP/1.1 only.
func ListenHTTP1(address string, handler http.Handler) (*Server, error) {
	server, err := Listen(address, handler)
	if err != nil {
		return nil, err
	}
	server.server.Protocols.SetUnencryptedHTTP2(false)
	return server, nil
}

// Address returns the address that the server is bound to.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve serves until Shutdown or until the context ends. After Shutdown it
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

// Shutdown stops accepting and waits until every running request has ended or
// the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "shutdown")
}
