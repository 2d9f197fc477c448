package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// conn is one connection to a target. Its goroutine reads for as long as it is
// open, so that bytes that nobody asked for, and the target's end of the
// connection, are noticed while it is idle. One attempt at a time uses it.
type conn struct {
	net.Conn
	client *Client
	pool   *pool
	reader *bufio.Reader
	// sent counts the bytes written for the attempt in progress.
	sent atomic.Int64

	mu sync.Mutex
	// attempt is the one in progress; nil while the connection is idle.
	attempt *attempt
	// broken is true when the connection must not be used again.
	broken bool

	// idleFor and idleSince belong to the pool while the connection is parked;
	// gone is true when the pool does not count it any more.
	idleFor   time.Duration
	idleSince time.Time
	gone      bool
}

// attempt is one request on a connection.
type attempt struct {
	request *Request
	// idleLimit bounds how long the connection stays after it.
	idleLimit time.Duration
	// long is true when the message is written by a goroutine of its own.
	long bool
	// written receives the error of the writing once that has ended.
	written chan error
	// stop ends the watch for the end of the attempt's context; it reports false
	// when that has ended.
	stop func() bool
	end  func(*Reply, error)
}

func newConn(inner net.Conn, client *Client, p *pool) *conn {
	c := &conn{Conn: inner, client: client, pool: p, reader: bufio.NewReaderSize(inner, bufferSize)}
	go c.serve()
	return c
}

// start begins an attempt. It reports false, and nothing was sent, when the
// connection was found broken while it was idle.
func (c *conn) start(ctx context.Context, a *attempt, message []byte) bool {
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return false
	}
	c.sent.Store(0)
	c.attempt = a
	a.written = make(chan error, 1)
	a.stop = context.AfterFunc(ctx, c.abort)
	a.long = len(message) >= concurrentMessage
	c.mu.Unlock()
	if a.long {
		go c.write(a, message)
	} else {
		c.write(a, message)
	}
	return true
}

// write sends the message and counts the bytes that may have reached the target.
func (c *conn) write(a *attempt, message []byte) {
	n, err := c.Write(message)
	c.sent.Add(int64(n))
	if err != nil {
		// The target may have replied before it closed; the reader finds out.
		_ = c.SetReadDeadline(time.Now().Add(replyAfterFailure))
	}
	a.written <- err
}

// abort ends the attempt in progress.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

// serve reads replies until the connection ends.
func (c *conn) serve() {
	defer func() {
		_ = c.Close()
		c.pool.drop(c)
	}()
	for {
		_, err := c.reader.Peek(1)
		a := c.take(err)
		if a == nil {
			if err == nil {
				c.client.strays.Inc()
			}
			return
		}
		if err != nil {
			a.stop()
			_ = c.Close()
			// Only when the writing has ended is it known whether anything was sent.
			failed := <-a.written
			a.end(nil, c.lost(err, failed))
			return
		}
		if !c.reply(a) {
			return
		}
	}
}

// take returns the attempt that bytes or the end of the connection belong to.
// Without one, or after an error, the connection is broken.
func (c *conn) take(err error) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt
	c.attempt = nil
	c.broken = c.broken || a == nil || err != nil
	return a
}

// reply reads the attempt's reply and hands it over. It reports whether the
// connection was given back for further use.
func (c *conn) reply(a *attempt) bool {
	reply, idleFor, err := c.client.read(c.reader, a.request)
	if err != nil {
		c.breakOff()
		a.stop()
		a.end(nil, err)
		return false
	}
	if a.long {
		// A target may reply before it has read a long body: the connection is free
		// when all of that is written, the caller need not wait for it.
		a.end(reply, nil)
		return c.release(a, idleFor, <-a.written)
	}
	kept := c.release(a, idleFor, <-a.written)
	a.end(reply, nil)
	return kept
}

// release gives the connection back to the pool if it can be used again.
func (c *conn) release(a *attempt, idleFor time.Duration, failed error) bool {
	// When the context has ended, the deadlines that it set stay on the connection.
	if live := a.stop(); !live || failed != nil || idleFor <= 0 {
		c.breakOff()
		return false
	}
	if a.idleLimit > 0 {
		idleFor = min(idleFor, a.idleLimit)
	}
	return c.pool.release(c, idleFor)
}

func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// lost returns the error of an attempt whose connection ended, by the errors of
// reading and, if any, of writing.
func (c *conn) lost(read, written error) error {
	cause := read.Error()
	if written != nil {
		cause += "; " + written.Error()
	}
	if c.sent.Load() == 0 {
		return errors.Wrap(ErrNotSent, cause)
	}
	return errors.Wrap(ErrLost, cause)
}
