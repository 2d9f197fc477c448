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

// relayDialTimeout is the timeout for connecting to a VM.
const relayDialTimeout = 2 * time.Second

// ErrBadRelay is returned for a relay that does not have the form
// domain=listen=peer.
var ErrBadRelay = errors.New("relay must have the form domain=listen=peer")

// Relay forwards connections to a VM's peer address.
type Relay struct {
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// ListenAddress is the address that the VM advertises.
	ListenAddress string
	// PeerAddress is the address that the VM listens on.
	PeerAddress string
}

// ParseRelay parses a relay of the form domain=listen=peer. It returns ErrBadRelay
// for any other number of parts.
func ParseRelay(text string) (Relay, error) {
	parts := strings.Split(text, "=")
	const fields = 3
	if len(parts) != fields {
		return Relay{}, errors.Wrap(ErrBadRelay, text)
	}
	return Relay{FailureDomain: parts[0], ListenAddress: parts[1], PeerAddress: parts[2]}, nil
}

// relay is a running Relay with its counters.
type relay struct {
	Relay
	links    *links
	accepted atomic.Uint64
	refused  atomic.Uint64
	bytes    atomic.Uint64
}

// serve forwards connections until the context ends.
func (r *relay) serve(ctx context.Context, listener net.Listener) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { r.forward(ctx, conn) })
	}
}

// forward copies the data of one connection in both directions until either side
// closes. It resets a connection over a cut link.
func (r *relay) forward(ctx context.Context, conn net.Conn) {
	domain := sourceDomain(conn)
	blocked := func() <-chan struct{} { return r.links.blocked(domain, r.FailureDomain) }
	if blocked() != nil {
		r.refused.Add(1)
		resetConn(conn)
		return
	}
	peer, err := (&net.Dialer{Timeout: relayDialTimeout}).DialContext(ctx, "tcp", r.PeerAddress)
	if err != nil {
		resetConn(conn)
		return
	}
	r.accepted.Add(1)
	inbound := newGatedConn(conn, 0, func() {}, blocked)
	closeBoth := func() {
		_ = inbound.Close()
		_ = peer.Close()
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	var copies sync.WaitGroup
	for _, c := range []struct{ to, from net.Conn }{{peer, inbound}, {inbound, peer}} {
		copies.Go(func() {
			defer closeBoth()
			_, _ = io.Copy(&countingWriter{to: c.to, bytes: &r.bytes}, c.from)
		})
	}
	copies.Wait()
}

// countingWriter forwards writes and counts the bytes written.
type countingWriter struct {
	to    io.Writer
	bytes *atomic.Uint64
}

// Write writes b to the underlying writer.
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
