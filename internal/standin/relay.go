package standin

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
)

// relayDialTimeout bounds the set-up of a connection to a VM.
const relayDialTimeout = 2 * time.Second

// ErrBadRelay is returned for a relay that is not written as
// domain=listen=peer.
var ErrBadRelay = errors.New("a relay is written domain=listen=peer")

// Relay forwards connections to a VM's peer address.
type Relay struct {
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// ListenAddress is the address that the VM advertises.
	ListenAddress string
	// PeerAddress is the address that the VM listens on.
	PeerAddress string
}

// ParseRelay parses a relay written as domain=listen=peer.
func ParseRelay(text string) (Relay, error) {
	parts := strings.Split(text, "=")
	const fields = 3
	if len(parts) != fields {
		return Relay{}, errors.Wrap(ErrBadRelay, text)
	}
	return Relay{FailureDomain: parts[0], ListenAddress: parts[1], PeerAddress: parts[2]}, nil
}

// relay is a running Relay.
type relay struct {
	Relay
	links    *links
	accepted atomic.Uint64
	refused  atomic.Uint64
	bytes    atomic.Uint64
}

// serve forwards connections until the context ends.
func (r *relay) serve(ctx context.Context, listener net.Listener) {
	var running sync.WaitGroup
	defer running.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		running.Go(func() { r.forward(ctx, conn) })
	}
}

// forward copies the bytes of one connection in both directions until either
// side closes.
func (r *relay) forward(ctx context.Context, conn net.Conn) {
	domain := sourceDomain(conn)
	blocked := func() <-chan struct{} { return r.links.blocked(domain, r.FailureDomain) }
	if blocked() != nil {
		r.refused.Add(1)
		reset(conn)
		return
	}
	peer, err := (&net.Dialer{Timeout: relayDialTimeout}).DialContext(ctx, "tcp", r.PeerAddress)
	if err != nil {
		reset(conn)
		return
	}
	r.accepted.Add(1)
	caller := newGatedConn(conn, 0, func() {}, blocked)
	closeBoth := func() {
		_ = caller.Close()
		_ = peer.Close()
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	var copies sync.WaitGroup
	for _, c := range []struct{ to, from net.Conn }{{peer, caller}, {caller, peer}} {
		copies.Go(func() {
			defer closeBoth()
			_, _ = io.Copy(&countingWriter{to: c.to, bytes: &r.bytes}, c.from)
		})
	}
	copies.Wait()
}

// countingWriter counts the bytes that it passes on.
type countingWriter struct {
	to    io.Writer
	bytes *atomic.Uint64
}

// Write passes b on.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.bytes.Add(uint64(n))
	return n, err
}

func (r *relay) snapshotCounters() *standinv1.RelayCounters {
	return &standinv1.RelayCounters{
		ListenAddress: r.ListenAddress,
		Accepted:      r.accepted.Load(),
		Refused:       r.refused.Load(),
		Bytes:         r.bytes.Load(),
	}
}
