package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
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
	// bufferSize is that of a connection's reader and writer.
	bufferSize = 2048
	// concurrentBody is the body size from which on the reply is read while the
	// body is written, as the target may reply before it has read all.
	concurrentBody = 32 << 10
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

// Send sends the request once and returns the whole reply. Left is told to the
// target. The connection is closed when ctx ends first. Errors are caused by
// ErrNotSent, ErrBusy, ErrNoRoute or ErrLost.
func (c *Client) Send(ctx context.Context, t *Target, r *Request, left time.Duration) (*Reply, error) {
	p := c.pool(t)
	conn, err := c.connect(ctx, p, t)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.abort)
	reply, err := c.exchange(conn, t, r, left)
	if !stop() && err == nil {
		// The context ended; the deadlines that it set stay on the connection.
		conn.keep = false
	}
	if t.IdleLimit > 0 {
		conn.idleFor = min(conn.idleFor, t.IdleLimit)
	}
	p.release(conn, err == nil && conn.keep)
	return reply, err
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
	return newConn(inner), nil
}

// dialError tells a target that gave no sign from one that refused.
func dialError(err error) error {
	var timed net.Error
	if errors.As(err, &timed) && timed.Timeout() {
		return errors.Wrap(ErrNoRoute, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

// exchange writes the request and reads the reply.
func (c *Client) exchange(conn *conn, t *Target, r *Request, left time.Duration) (*Reply, error) {
	written := make(chan error, 1)
	if len(r.Body) < concurrentBody {
		written <- c.write(conn, t, r, left)
	} else {
		go func() { written <- c.write(conn, t, r, left) }()
	}
	reply, err := c.read(conn, r)
	if writeErr := <-written; writeErr != nil && err == nil {
		conn.keep = false
	}
	if err != nil && conn.sent.Load() == 0 {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return reply, err
}

func (c *Client) write(conn *conn, t *Target, r *Request, left time.Duration) error {
	header := make(http.Header, len(r.Header)+2)
	for name, values := range r.Header {
		header[name] = values
	}
	c.dialect.Attempt(header, t.ID, left)
	request := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.URI}, Host: r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if r.Header["User-Agent"] == nil {
		header["User-Agent"] = []string{""}
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	conn.writer.Reset(conn)
	if err := request.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

// read reads the reply that belongs to the request.
func (c *Client) read(conn *conn, r *Request) (*Reply, error) {
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: r.Method})
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(conn.reader, &http.Request{Method: r.Method})
	}
	if err != nil {
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	_ = response.Body.Close()
	if err != nil {
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if len(body) > maxReplyBytes {
		return nil, errors.Wrapf(ErrLost, "reply above %d bytes", maxReplyBytes)
	}
	statement := c.dialect.Reply(response.StatusCode, response.Header)
	if statement.RequestID != "" && statement.RequestID != r.ID {
		c.strays.Inc()
		return nil, errors.Wrapf(ErrLost, "reply to another request, %s", statement.RequestID)
	}
	if conn.reader.Buffered() > 0 {
		c.strays.Inc()
	}
	conn.keep = !response.Close && conn.reader.Buffered() == 0 && !endsWithConnection(response)
	conn.idleFor = idleTimeout(response.Header)
	return &Reply{Status: response.StatusCode, Header: response.Header, Body: body, Statement: statement}, nil
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

// newConn wraps a connection that was set up.
func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	c.reader = bufio.NewReaderSize(inner, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c
}
