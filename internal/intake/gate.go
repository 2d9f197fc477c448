package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// minMemory is the least memory of the budget: two bodies of the largest size that is
	// accepted if the configuration names no limit, and connections beside them.
	minMemory = 16 << 20
	// minConnections is the least number of connections.
	minConnections = 16
	// unreadBodyTime is the time for which the rest of a body is read that is not needed, so
	// that the connection can be used again.
	unreadBodyTime = time.Second
	// RetryAfter is the delay told to callers that are refused for lack of memory: about the
	// time in which callers without progress have given way.
	RetryAfter = stallTime
	// linesPerSecond and linesBurst bound the log lines about decisions.
	linesPerSecond = 5
	linesBurst     = 20
)

// Options are the settings and dependencies of a Gate.
type Options struct {
	// Memory is the VM's memory in bytes, and Descriptors the number that its process may open.
	Memory, Descriptors int64
	Settings            *pb.IntakeSettings
	// CallerLimits returns the limits of the configuration in force. It must not block.
	CallerLimits func() *pb.CallerLimits
	Logger       zerolog.Logger
	Metrics      *metrics.Set
}

// Gate bounds the connections of an HTTP server, and the memory of heads and bodies.
type Gate struct {
	options  Options
	limiter  *rate.Limiter
	counters counters
	nextID   atomic.Uint64

	mu     sync.Mutex
	budget *Budget
	conns  map[uint64]*Conn
}

// NewGate returns a Gate for one server.
func NewGate(options Options) *Gate {
	share := options.Settings
	g := &Gate{
		options: options, limiter: rate.NewLimiter(linesPerSecond, linesBurst), conns: map[uint64]*Conn{},
		budget: NewBudget(Limits{
			Memory:      max(int64(share.GetMemoryShare()*float64(options.Memory)), minMemory),
			Connections: max(int64(share.GetDescriptorShare()*float64(options.Descriptors)), minConnections),
		}),
	}
	g.counters = newCounters(options.Metrics, g)
	return g
}

// Apply bounds the server for callers: it returns the listener to accept connections from, and sets
// the server's hooks and handler.
func (g *Gate) Apply(server *http.Server, listener net.Listener) net.Listener {
	return g.apply(server, listener, g.options.CallerLimits)
}

// ApplyToVMs bounds a server for the requests of callers that other VMs pass on, within the same
// budget. The time limits are those of the server.
func (g *Gate) ApplyToVMs(server *http.Server, listener net.Listener) net.Listener {
	limits := &pb.CallerLimits{MaxHeaderBytes: defaultHeadBytes}
	return g.apply(server, listener, func() *pb.CallerLimits { return limits })
}

func (g *Gate) apply(server *http.Server, listener net.Listener, limits func() *pb.CallerLimits) net.Listener {
	server.Handler = g.handler(server.Handler)
	server.MaxHeaderBytes = maxHeadBytes
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.endRequest()
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return &gatedListener{Listener: listener, gate: g, limits: limits}
}

// connKey is the key of a request's context under which its connection is found.
type connKey struct{}

// gatedListener accepts only the connections that the budget grants.
type gatedListener struct {
	net.Listener
	gate   *Gate
	limits func() *pb.CallerLimits
}

// Accept implements net.Listener. It closes connections that are refused.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.gate.open(inner, l.limits); conn != nil {
			return conn, nil
		}
		_ = inner.Close()
	}
}

// open asks for a connection and returns it, or nil if it is refused.
func (g *Gate) open(inner net.Conn, limits func() *pb.CallerLimits) *Conn {
	remote := remoteAddress(inner)
	conn := &Conn{Conn: inner, gate: g, limits: limits, id: g.nextID.Add(1), remote: remote}
	g.mu.Lock()
	granted, evictions := g.budget.Open(time.Now(), conn.id, AddressKey(remote))
	if granted {
		g.conns[conn.id] = conn
	}
	closing := g.connsOf(evictions)
	g.mu.Unlock()
	g.closeAll(closing, evictions)
	if !granted {
		g.counters.connectionsRefused.Inc()
		g.log(remote, "connection refused", 0)
		return nil
	}
	return conn
}

// remoteAddress returns the address of the caller; the zero address if it has none.
func remoteAddress(c net.Conn) netip.Addr {
	if address, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr()
	}
	return netip.IPv4Unspecified()
}

// reserve asks for bytes for a connection, and closes connections for them.
func (g *Gate) reserve(c *Conn, bytes int64) bool {
	g.mu.Lock()
	granted, evictions := g.budget.Reserve(time.Now(), c.id, bytes)
	closing := g.connsOf(evictions)
	g.mu.Unlock()
	g.closeAll(closing, evictions)
	return granted
}

// take counts bytes that a connection needs in any case.
func (g *Gate) take(id uint64, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Take(id, bytes)
}

func (g *Gate) release(id uint64, bytes int64) {
	if bytes == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(id, bytes)
}

func (g *Gate) progress(id uint64, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Progress(time.Now(), id, int64(bytes))
}

func (g *Gate) enter(id uint64, phase Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Enter(time.Now(), id, phase)
}

func (g *Gate) closed(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, id)
	g.budget.Close(id)
}

// connsOf returns the connections to close. g.mu must be held.
func (g *Gate) connsOf(evictions []Eviction) []*Conn {
	conns := make([]*Conn, 0, len(evictions))
	for _, e := range evictions {
		conns = append(conns, g.conns[e.ID])
	}
	return conns
}

func (g *Gate) closeAll(conns []*Conn, evictions []Eviction) {
	for i, conn := range conns {
		g.counters.evicted[evictions[i].Phase].Inc()
		if conn != nil {
			g.log(conn.remote, "connection gave way, phase "+evictions[i].Phase.String(), evictions[i].Bytes)
			conn.evict(evictions[i].Phase)
		}
	}
}

// bodyTimeout is the time without a byte of a body, or of an answer.
func (g *Gate) bodyTimeout() time.Duration {
	return time.Duration(g.options.Settings.GetBodyTimeoutMs()) * time.Millisecond
}

// held returns what is held at the moment.
func (g *Gate) held() Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held()
}

// log writes one line about a decision, unless there have been too many.
func (g *Gate) log(caller netip.Addr, decision string, bytes int64) {
	if !g.limiter.Allow() {
		g.counters.linesDropped.Inc()
		return
	}
	held := g.held()
	g.options.Logger.Warn().Str("caller", caller.String()).Str("decision", decision).Int64("bytes", bytes).
		Int64("held_bytes", held.Memory).Int64("held_connections", held.Connections).Msg("too little left for callers")
}
