package backend

import (
	"bufio"
	"context"
	"io"
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
	// maxReplyBytes bounds a reply that is kept in memory.
	maxReplyBytes = 16 << 20
	// dialTimeout bounds a connection set-up. Targets take some milliseconds; an
	// opening packet that was dropped is repeated only after a second.
	dialTimeout = 100 * time.Millisecond
	// connectionWait is how long a request waits for a connection in use: about
	// the reply time of one request. A connection that is in use for longer waits
	// for a target that has stopped for a moment.
	connectionWait = 20 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// idleLimit is how long a connection may stay idle when the target does not
	// say; it is below the usual shortest timeout of servers, 5 s.
	idleLimit = 4 * time.Second
	// idleMargin is kept from the timeout that a target states.
	idleMargin = 500 * time.Millisecond
	// bufferSize is that of a connection's reader.
	bufferSize = 2048
	// concurrentMessage is the size from which on a request is written by a
	// goroutine of its own, since it may not fit into the buffers on the way.
	concurrentMessage = 8 << 10
	// replyAfterFailure is how long a reply is awaited after the request could not
	// be written whole: the target may have rejected it before it was in.
	replyAfterFailure = 50 * time.Millisecond
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialect Dialect
	dialer  net.Dialer

	mu    sync.Mutex
	pools map[string]*pool

	dials  *metrics.Counter
	strays *metrics.Counter
}

// NewClient returns a client that reads and writes headers by the dialect.
func NewClient(dialect Dialect, sourceAddress string, set *metrics.Set) *Client {
	c := &Client{
		dialect: dialect,
		dialer:  net.Dialer{Timeout: dialTimeout, Control: limitUnacknowledged, KeepAlive: -1},
		pools:   map[string]*pool{},
		dials:   set.NewCounter("carawayreel_backend_connections_total"),
		strays:  set.NewCounter("carawayreel_backend_stray_replies_total"),
	}
	if sourceAddress != "" {
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceAddress)}
	}
	return c
}

// Retain closes the idle connections of all targets but those kept.
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

// CloseIdle closes the connections that have been unused for their time.
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
		p = &pool{started: t.Started, address: t.Address}
		c.pools[t.ID] = p
	}
	return p
}

// Go sends the request once and calls end once with the whole reply or an error,
// in any goroutine; end must not wait. Left is told to the target. The connection
// is closed when ctx ends first. Errors are caused by ErrNotSent, ErrBusy,
// ErrNoRoute or ErrLost.
//
// Go itself does not wait: it uses a free connection, and leaves it to a goroutine
// to get one.
func (c *Client) Go(ctx context.Context, t *Target, r *Request, left time.Duration, end func(*Reply, error)) {
	message, err := r.message(func(text []byte) []byte { return c.dialect.AppendAttempt(text, t.ID, left) })
	if err != nil {
		end(nil, errors.Wrap(ErrNotSent, err.Error()))
		return
	}
	p := c.pool(t)
	a := &attempt{request: r, idleLimit: t.IdleLimit, end: end}
	for {
		conn := p.takeParked(time.Now())
		if conn == nil {
			break
		}
		if conn.start(ctx, a, message) {
			return
		}
	}
	go c.connectAndStart(ctx, p, t, a, message)
}

// Send is Go for callers that wait.
func (c *Client) Send(ctx context.Context, t *Target, r *Request, left time.Duration) (*Reply, error) {
	type result struct {
		reply *Reply
		err   error
	}
	done := make(chan result, 1)
	c.Go(ctx, t, r, left, func(reply *Reply, err error) { done <- result{reply, err} })
	ended := <-done
	return ended.reply, ended.err
}

func (c *Client) connectAndStart(ctx context.Context, p *pool, t *Target, a *attempt, message []byte) {
	for {
		conn, err := c.connect(ctx, p, t)
		if err != nil {
			a.end(nil, err)
			return
		}
		if conn.start(ctx, a, message) {
			return
		}
	}
}

func (c *Client) connect(ctx context.Context, p *pool, t *Target) (*conn, error) {
	conn, err := p.acquire(ctx, t.Connections)
	if err != nil {
		return nil, errors.Wrap(err, t.ID)
	}
	if conn != nil {
		return conn, nil
	}
	c.dials.Inc()
	inner, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.passPlace()
		return nil, dialError(err)
	}
	return newConn(inner, c, p), nil
}

// dialError tells a target that gave no sign from one that refused.
func dialError(err error) error {
	var timed net.Error
	if errors.As(err, &timed) && timed.Timeout() {
		return errors.Wrap(ErrNoRoute, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

// read reads the reply that belongs to the request, and returns how long its
// connection may stay idle after it; zero when it can't be used again.
func (c *Client) read(reader *bufio.Reader, r *Request) (*Reply, time.Duration, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(reader, &http.Request{Method: r.Method})
	}
	if err != nil {
		return nil, 0, errors.Wrap(ErrLost, err.Error())
	}
	body, err := readBody(response)
	_ = response.Body.Close()
	if err != nil {
		return nil, 0, err
	}
	statement := c.dialect.Reply(response.StatusCode, response.Header)
	if statement.RequestID != "" && statement.RequestID != r.ID {
		c.strays.Inc()
		return nil, 0, errors.Wrapf(ErrLost, "reply to another request, %s", statement.RequestID)
	}
	idleFor := idleTimeout(response.Header)
	if reader.Buffered() > 0 {
		c.strays.Inc()
		idleFor = 0
	}
	if response.Close || endsWithConnection(response) {
		idleFor = 0
	}
	return &Reply{Status: response.StatusCode, Header: response.Header, Body: body, Statement: statement}, idleFor, nil
}

// readBody reads a whole body, which the caller closes.
func readBody(response *http.Response) ([]byte, error) {
	if length := response.ContentLength; length > 0 && length <= maxReplyBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		if err != nil {
			return nil, errors.Wrap(ErrLost, err.Error())
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if len(body) > maxReplyBytes {
		return nil, errors.Wrapf(ErrLost, "reply above %d bytes", maxReplyBytes)
	}
	return body, nil
}

// endsWithConnection reports whether the reply had neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// idleTimeout returns how long the connection may stay idle by the Keep-Alive
// header.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleLimit
}
