package standin

import (
	"net"
	"sync"
	"time"

	"github.com/carawayreel/carawayreel/internal/profile"
)

// Platform is the name of the platform as an endpoint of a link.
const Platform = "platform"

// link is an unordered pair of endpoints: two failure domains, or a failure
// domain and the platform.
type link struct {
	first, second string
}

func newLink(first, second string) link {
	if first > second {
		first, second = second, first
	}
	return link{first: first, second: second}
}

// links holds the links that are cut. It is safe for concurrent use.
type links struct {
	mu sync.Mutex
	// cut maps each cut link to a channel that is closed when the link heals.
	cut map[link]chan struct{}
}

func newLinks() *links {
	return &links{cut: make(map[link]chan struct{})}
}

func (l *links) setCut(first, second string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := newLink(first, second)
	healed, alreadyCut := l.cut[key]
	if cut && !alreadyCut {
		l.cut[key] = make(chan struct{})
	}
	if !cut && alreadyCut {
		close(healed)
		delete(l.cut, key)
	}
}

// blocked returns a channel that is closed when the link heals, or nil if the
// link is not cut.
func (l *links) blocked(first, second string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	healed, cut := l.cut[newLink(first, second)]
	if !cut {
		return nil
	}
	return healed
}

// sourceDomain returns the failure domain of a connection's source address, or an
// empty string if the address belongs to none.
func sourceDomain(conn net.Conn) string {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	domain, _ := profile.DomainOfSource(address.IP)
	return domain
}

// blockFunc returns nil if traffic may pass, or a channel that is closed when the
// block may have ended.
type blockFunc func() <-chan struct{}

// gatedConn is a connection whose reads and writes stall while any of its blocks
// is in effect.
type gatedConn struct {
	net.Conn
	blocks []blockFunc
	// setup is the simulated connection setup time, which delays the first read.
	setup   time.Duration
	onClose func()

	setupOnce sync.Once
	closeOnce sync.Once
	closed    chan struct{}
}

func newGatedConn(conn net.Conn, setup time.Duration, onClose func(), blocks ...blockFunc) *gatedConn {
	return &gatedConn{
		Conn:    conn,
		blocks:  blocks,
		setup:   setup,
		onClose: onClose,
		closed:  make(chan struct{}),
	}
}

// Read reads from the connection and returns the data once nothing blocks it.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.setupOnce.Do(c.awaitSetup)
	n, err := c.Conn.Read(b)
	c.awaitBlocks()
	return n, err
}

// Write writes to the connection once nothing blocks it.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.awaitBlocks()
	return c.Conn.Write(b)
}

// Close closes the connection and releases stalled reads and writes.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.onClose()
	})
	return c.Conn.Close()
}

func (c *gatedConn) awaitSetup() {
	if c.setup <= 0 {
		return
	}
	timer := time.NewTimer(c.setup)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

func (c *gatedConn) awaitBlocks() {
	for _, blocked := range c.blocks {
		for ended := blocked(); ended != nil; ended = blocked() {
			select {
			case <-ended:
			case <-c.closed:
				return
			}
		}
	}
}

// resetConn closes a connection with a TCP reset instead of an orderly shutdown.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// linkListener accepts connections to an endpoint. It resets connections over a
// cut link and stalls the traffic of accepted ones while their link is cut.
type linkListener struct {
	net.Listener
	links    *links
	endpoint string
}

// Accept returns the next connection whose link is not cut.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		domain := sourceDomain(conn)
		blocked := func() <-chan struct{} { return l.links.blocked(domain, l.endpoint) }
		if blocked() != nil {
			resetConn(conn)
			continue
		}
		return newGatedConn(conn, 0, func() {}, blocked), nil
	}
}
