package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection to a target. It serves one attempt at a time. A goroutine reads
// from it until it is closed, so that unsolicited bytes and a close by the target are
// noticed also while the connection is idle.
type conn struct {
	net.Conn
	connectedAt time.Time
	client      *Client
	pool        *pool
	reader      *bufio.Reader
	// bound limits the bytes that reader may take from the connection. The goroutine that
	// reads sets it before each part of a reply.
	bound *boundedReader
	// carried holds the IDs of the last requests on this connection. It is guarded by the
	// pool's mutex while the connection is idle, and otherwise used by its user only.
	carried carriedIDs
	// sent is the number of bytes written for the current attempt.
	sent atomic.Int64

	mu sync.Mutex
	// attempt is the current attempt; nil while the connection is idle.
	attempt *attempt
	// broken is true if the connection must not be used again.
	broken bool

	// idleFor and idleSince are guarded by the pool's mutex and valid while the
	// connection is idle; removed is true if the pool no longer counts the connection.
	idleFor   time.Duration
	idleSince time.Time
	removed   bool
}

// attempt is one request on a connection.
type attempt struct {
	request *Request
	// idleLimit bounds how long the connection may stay idle after the attempt.
	idleLimit time.Duration
	// async is true if the message is written by a goroutine of its own.
	async bool
	// written receives the result of writing the message.
	written chan error
	// stop stops watching the attempt's context; it returns false if the context has
	// ended.
	stop func() bool
	end  func(*Reply, error)
}

func newConn(inner net.Conn, client *Client, p *pool) *conn {
	bound := &boundedReader{inner: inner, memory: &client.replyMemory}
	c := &conn{Conn: inner, connectedAt: time.Now(), client: client, pool: p, bound: bound, reader: bufio.NewReaderSize(bound, bufferSize)}
	go c.serve()
	return c
}

// start begins an attempt. It returns false, without sending anything, if the
// connection broke while it was idle.
func (c *conn) start(ctx context.Context, a *attempt, message *message) bool {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return false
	}
	c.sent.Store(0)
	c.carried.add(a.request.ID)
	c.attempt = a
	a.written = make(chan error, 1)
	a.stop = context.AfterFunc(ctx, c.abort)
	a.async = message.size() >= asyncWriteSize
	c.mu.Unlock()
	if a.async {
		go c.write(a, message)
	} else {
		c.write(a, message)
	}
	return true
}

// write writes the message and counts the bytes that may have reached the target.
func (c *conn) write(a *attempt, message *message) {
	n, err := message.writeTo(c)
	c.sent.Add(int64(n))
	if err != nil {
		// The target may have replied before it closed the connection: the reader
		// checks.
		_ = c.SetReadDeadline(time.Now().Add(replyAfterFailure))
	}
	a.written <- err
}

// abort makes pending reads and writes fail.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

// serve reads replies until the connection ends.
func (c *conn) serve() {
	defer func() {
		_ = c.Close()
		c.bound.endReply()
		c.pool.remove(c)
	}()
	for {
		c.bound.beginReply()
		_, err := c.reader.Peek(1)
		a := c.takeAttempt(err)
		if a == nil {
			if err == nil {
				c.client.strayReplies.Inc()
			}
			return
		}
		if err != nil {
			a.stop()
			_ = c.Close()
			// Whether any bytes were sent is known only after the write has ended.
			writeErr := <-a.written
			a.end(nil, c.attemptError(err, writeErr))
			return
		}
		if !c.handleReply(a) {
			return
		}
	}
}

// takeAttempt returns the attempt to which the received bytes or the read error
// belong. Without an attempt, or after an error, the connection is broken.
func (c *conn) takeAttempt(err error) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt
	c.attempt = nil
	c.broken = c.broken || a == nil || err != nil
	return a
}

// handleReply reads the reply and passes it to the attempt. It reports whether the
// connection was returned to the pool.
func (c *conn) handleReply(a *attempt) bool {
	reply, idleFor, err := c.client.read(c, a.request)
	c.bound.endReply()
	if err != nil {
		c.markBroken()
		a.stop()
		a.end(nil, err)
		return false
	}
	if a.async {
		// A target may reply before it has read a long body. The connection is free
		// only after the whole body is written, but the reply need not wait for that.
		a.end(reply, nil)
		return c.release(a, idleFor, <-a.written)
	}
	kept := c.release(a, idleFor, <-a.written)
	a.end(reply, nil)
	return kept
}

// release returns the connection to the pool if it can be reused, and reports whether
// it did.
func (c *conn) release(a *attempt, idleFor time.Duration, writeErr error) bool {
	// If the context has ended, its abort has left deadlines on the connection.
	if contextLive := a.stop(); !contextLive || writeErr != nil || idleFor <= 0 {
		c.markBroken()
		return false
	}
	if a.idleLimit > 0 {
		idleFor = min(idleFor, a.idleLimit)
	}
	return c.pool.release(c, idleFor)
}

func (c *conn) markBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// readError returns the error of a reply of which a part could not be read.
func (c *conn) readError(cause error) error {
	if c.bound.ended {
		return errors.Wrap(ErrIncomplete, cause.Error())
	}
	return errors.Wrap(ErrLost, cause.Error())
}

// endedByTarget reports whether the error of a read means that the target closed or reset
// the connection.
func endedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// attemptError returns the error of an attempt whose connection ended; written is nil
// if writing succeeded.
func (c *conn) attemptError(read, written error) error {
	cause := read.Error()
	if written != nil {
		cause += "; " + written.Error()
	}
	switch {
	case c.sent.Load() == 0:
		return errors.Wrap(ErrNotSent, cause)
	case c.bound.ended:
		return errors.Wrap(ErrNoReply, cause)
	default:
		return errors.Wrap(ErrLost, cause)
	}
}
