package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a connection set-up, which usually takes a few milliseconds.
	// Waiting longer does not help: TCP retransmits a dropped SYN only after a second.
	dialTimeout = 100 * time.Millisecond
	// connectionWait is how long a request waits for a connection to become free: about
	// the reply time of one request. If none does in that time, the target is probably
	// pausing.
	connectionWait = 20 * time.Millisecond
	// tcpUserTimeout bounds how long sent bytes may remain unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// defaultIdleTimeout is how long a connection may stay idle if the target does not
	// state a timeout. It is below 5 s, the shortest common timeout of servers.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states.
	idleMargin = 500 * time.Millisecond
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 2048
	// asyncWriteSize is the minimum size in bytes of requests that are written by a
	// goroutine of their own, since they may exceed the socket buffers.
	asyncWriteSize = 8 << 10
	// replyAfterFailure is how long to wait for a reply after the request could not be
	// written completely: the target may have rejected it before reading all of it.
	replyAfterFailure = 50 * time.Millisecond
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialect Dialect
	dialer  net.Dialer

	mu    sync.Mutex
	pools map[string]*pool

	replyMemory replyMemory
	connections connectionTotal

	dials        *metrics.Counter
	strayReplies *metrics.Counter
}

// MetricPrefix is the prefix of the metrics of a client that sends to targets.
const MetricPrefix = "carawayreel_backend"

// NewClient returns a client that reads and writes headers through dialect. Connections
// are made from sourceAddress unless it is empty. The names of its metrics in the set
// begin with the prefix.
func NewClient(dialect Dialect, sourceAddress string, set *metrics.Set, prefix string) *Client {
	c := &Client{
		dialect:      dialect,
		dialer:       net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAlive: -1},
		pools:        map[string]*pool{},
		dials:        set.NewCounter(prefix + "_connections_total"),
		strayReplies: set.NewCounter(prefix + "_stray_replies_total"),
		replyMemory:  replyMemory{limit: maxReplyMemory},
	}
	if sourceAddress != "" {
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceAddress)}
	}
	return c
}

// FitReplies bounds the memory of replies that are being read to a part of the VM's memory, in bytes.
// It must be called before the first request.
func (c *Client) FitReplies(vmMemory int64) {
	c.replyMemory.limit = min(maxReplyMemory, int(replyMemoryShare*float64(vmMemory)))
}

// roomDivisor is the part (1/n) of the connections to all targets for which room is made at once.
const roomDivisor = 32

// LimitConnections bounds the connections to all targets together. It must be called before the first
// request.
func (c *Client) LimitConnections(n int64) { c.connections.limit = max(n, 1) }

// makeRoom closes idle connections if there are as many connections as may be.
func (c *Client) makeRoom() {
	if !c.connections.full() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.connections.limit/roomDivisor + 1
	for closed := int64(1); wanted > 0 && closed > 0; {
		closed = 0
		for _, p := range c.pools {
			if wanted > 0 && p.closeOldest() {
				closed++
				wanted--
			}
		}
	}
}

// Retain closes the idle connections to all targets for which keep returns false.
func (c *Client) Retain(keep func(id string, started int64) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		if !keep(id, p.started) {
			p.close()
			delete(c.pools, id)
		}
	}
}

// CloseIdle closes the connections whose idle timeout has expired.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle(now)
	}
}

func (c *Client) pool(t *Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[t.ID]
	if p == nil || p.started != t.Started || p.address != t.Address {
		if p != nil {
			p.close()
		}
		p = &pool{started: t.Started, address: t.Address, total: &c.connections}
		c.pools[t.ID] = p
	}
	return p
}

// Go sends the request once and calls end once, in any goroutine, with the complete
// reply or an error; end must not block. The target is told the time left. If ctx ends
// first, the connection is closed. Errors wrap ErrNotSent, ErrBusy, ErrConnectTimeout
// or ErrLost.
//
// Go does not block: it uses an idle connection or starts a goroutine that gets one.
func (c *Client) Go(ctx context.Context, t *Target, r *Request, timeLeft time.Duration, end func(*Reply, error)) {
	message, err := r.message(func(text []byte) []byte { return c.dialect.AppendAttemptHeaders(text, t.ID, timeLeft) })
	if err != nil {
		end(nil, errors.Wrap(ErrNotSent, err.Error()))
		return
	}
	p := c.pool(t)
	a := &attempt{request: r, idleLimit: t.IdleLimit, end: end}
	for {
		conn := p.takeIdle(time.Now(), r.ID)
		if conn == nil {
			break
		}
		if conn.start(ctx, a, message) {
			return
		}
	}
	go c.connectAndStart(ctx, p, t, a, message)
}

// Send is the blocking form of Go.
func (c *Client) Send(ctx context.Context, t *Target, r *Request, timeLeft time.Duration) (*Reply, error) {
	type result struct {
		reply *Reply
		err   error
	}
	done := make(chan result, 1)
	c.Go(ctx, t, r, timeLeft, func(reply *Reply, err error) { done <- result{reply, err} })
	ended := <-done
	return ended.reply, ended.err
}

func (c *Client) connectAndStart(ctx context.Context, p *pool, t *Target, a *attempt, message *message) {
	for {
		conn, err := c.connect(ctx, p, t, a.request.ID)
		if err != nil {
			a.end(nil, err)
			return
		}
		if conn.start(ctx, a, message) {
			return
		}
	}
}

func (c *Client) connect(ctx context.Context, p *pool, t *Target, requestID string) (*conn, error) {
	c.makeRoom()
	conn, err := p.acquire(ctx, t.Connections, requestID)
	if err != nil {
		return nil, errors.Wrap(err, t.ID)
	}
	if conn != nil {
		return conn, nil
	}
	c.dials.Inc()
	inner, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.releaseSlot()
		return nil, dialError(err)
	}
	return newConn(inner, c, p), nil
}

// dialError distinguishes a target that did not respond from one that refused the
// connection.
func dialError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errors.Wrap(ErrConnectTimeout, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

// read reads the reply to the request, and returns how long its connection may stay
// idle afterwards; zero if the connection can't be reused.
func (c *Client) read(cn *conn, r *Request) (*Reply, time.Duration, error) {
	response, err := readHead(cn.reader, r.Method)
	if err != nil {
		return nil, 0, cn.readError(err)
	}
	if !isKnownStatus(response.StatusCode) {
		c.strayReplies.Inc()
		return nil, 0, errors.Wrapf(ErrLost, "unknown status %03d", response.StatusCode)
	}
	cn.bound.beginBody()
	body, err := readBody(cn, response)
	if err != nil {
		return nil, 0, cn.readError(err)
	}
	_ = response.Body.Close()
	metadata := c.dialect.ParseReply(response.StatusCode, response.Header)
	if metadata.RequestID != r.ID && (metadata.RequestID != "" || cn.carried.count > 1) {
		c.strayReplies.Inc()
		return nil, 0, errors.Wrapf(ErrLost, "reply to another request, %q", metadata.RequestID)
	}
	idleFor := idleTimeout(response.Header)
	if metadata.RequestID == "" {
		// A copy of this reply could not be told from the reply to the next request.
		idleFor = 0
	}
	if cn.reader.Buffered() > 0 {
		c.strayReplies.Inc()
		idleFor = 0
	}
	ends := endsWithConnection(response)
	if response.Close || ends {
		idleFor = 0
	}
	return &Reply{
		Status: response.StatusCode, Header: response.Header, Body: body, ConnectedAt: cn.connectedAt, EndsWithConnection: ends,
		ReplyMetadata: metadata,
	}, idleFor, nil
}

// isKnownStatus reports whether HTTP defines the class of a final status. What comes with any other is
// no answer, whatever else its head states.
func isKnownStatus(status int) bool { return status >= 200 && status < 600 }

// readHead reads the head of a reply and skips interim replies, those with a 1xx status.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil || response.StatusCode < 100 || response.StatusCode >= 200 {
			return response, err
		}
	}
}

// readBody reads the whole body of a response without closing it.
func readBody(cn *conn, response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		// The reply to a HEAD request has a length but no body.
		return nil, nil
	}
	if len(response.TransferEncoding) > 0 {
		return readBytes(newFramingLimiter(response.Body, cn), -1, cn.bound)
	}
	return readBytes(response.Body, response.ContentLength, cn.bound)
}

// endsWithConnection reports whether the reply has neither a length nor chunked
// encoding, so that its body ends with the connection.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// idleTimeout returns how long the connection may stay idle according to the
// Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
