package intake

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	// headSlackBytes is the number of bytes by which a head may exceed the limit of the
	// configuration before it is cut off, as in net/http. Heads up to that are read whole and
	// refused with their request.
	headSlackBytes = 4 << 10
	// defaultHeadBytes bounds a head if the configuration does not. Servers commonly accept 8 to
	// 64 KiB.
	defaultHeadBytes = 64 << 10
	// maxHeadBytes is the bound of net/http, which cannot change while the server runs.
	// Configurations may name limits up to it.
	maxHeadBytes = 1 << 20
	// writeBytes is the part of an answer for which the caller gets the time limit anew.
	writeBytes = 64 << 10
	// lingerTime and lingerBytes bound what is still read from a caller that has been refused, so
	// that it gets the answer: a connection that is closed with unread bytes is reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

// Conn is a connection of a caller. It counts a head while it is read. One goroutine at a time
// reads from it.
type Conn struct {
	net.Conn
	gate *Gate
	// limits returns the limits of heads and idle connections.
	limits func() *pb.CallerLimits
	id     uint64
	remote netip.Addr

	// head and headHeld belong to the reader: the head that is being read, and the bytes that
	// are reserved for it beyond freeHeadBytes.
	head     headScanner
	headHeld atomic.Int64
	// request is the request that is being served; nil between requests.
	request atomic.Pointer[Request]

	mu    sync.Mutex
	phase Phase
	// evicted is true once the connection has been told to close. Deadlines are not moved then.
	evicted bool
	// linger is true if the caller has been refused and may still be sending.
	linger bool
	// nextIsIdle is true if the next deadline that the server sets is for an idle connection.
	nextIsIdle bool
	closeOnce  sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.enterHead() {
		c.head.scan(p[:n])
		c.gate.progress(c.id, n)
		if refusal := c.checkHead(); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// enterHead reports whether a head is being read. It is also the end of being idle.
func (c *Conn) enterHead() bool {
	c.mu.Lock()
	phase := c.phase
	if phase == Idle {
		c.phase = ReadingHead
	}
	c.mu.Unlock()
	if phase == Idle {
		c.gate.enter(c.id, ReadingHead)
	}
	return phase == Idle || phase == ReadingHead
}

// checkHead returns an error if the head is too long, has too many lines or gets no memory. For
// the first two the caller gets status 431.
func (c *Conn) checkHead() error {
	limit := int(c.limits().GetMaxHeaderBytes())
	if limit == 0 {
		limit = defaultHeadBytes
	}
	if c.head.bytes > limit+headSlackBytes || c.head.lines > int(c.gate.options.Settings.GetMaxHeaderLines()) {
		c.refuseHead()
		return &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head is too large")}
	}
	if missing := headMemory(c.head.bytes, c.head.lines) - freeHeadBytes - c.headHeld.Load(); missing > 0 {
		rounded := (missing + freeHeadBytes - 1) / freeHeadBytes * freeHeadBytes
		if !c.gate.reserve(c, rounded) {
			c.gate.counters.headsRefused.Inc()
			c.gate.log(c.remote, "head cut off", c.headHeld.Load())
			return &net.OpError{Op: "read", Net: "tcp", Err: errors.New("there is no memory for the head")}
		}
		c.headHeld.Add(rounded)
	}
	return nil
}

// refuseHead answers a head that is too large. net/http closes the connection without an answer
// of its own when a read fails with a net.OpError.
func (c *Conn) refuseHead() {
	const answer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	c.gate.counters.headsRefused.Inc()
	c.gate.log(c.remote, "head too large", c.headHeld.Load())
	if _, err := c.Write([]byte(answer)); err == nil {
		c.setLinger()
	}
}

// endRequest makes the connection idle.
func (c *Conn) endRequest() {
	c.setPhase(Idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger, c.nextIsIdle = false, true
}

// setPhase enters a phase. It reports false if the connection has been told to close.
func (c *Conn) setPhase(phase Phase) bool {
	if !c.gate.enter(c.id, phase) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	return true
}

// evict makes the connection end. A request whose body is being read is answered first.
func (c *Conn) evict(phase Phase) {
	c.mu.Lock()
	c.evicted = true
	c.mu.Unlock()
	if phase != ReadingBody {
		_ = c.Conn.Close()
		return
	}
	// The reader of the body sees the expired deadline, answers and closes the connection.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

func (c *Conn) setLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// SetReadDeadline implements net.Conn. Between requests and for heads, the time limits of the
// configuration replace those of the server, if it names any.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	// net/http interrupts a read by a deadline in the past, which has to stay there.
	if now := time.Now(); t.After(now) {
		if limit := c.timeLimit(); limit > 0 {
			t = now.Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// timeLimit returns the time limit of the configuration that applies now; 0 if there is none.
// c.mu must be held. The server sets the deadline of an idle connection first, and that of the
// next head when its first bytes have arrived.
func (c *Conn) timeLimit() time.Duration {
	limits := c.limits()
	milliseconds := uint32(0)
	switch {
	case c.nextIsIdle:
		c.nextIsIdle = false
		milliseconds = limits.GetIdleTimeoutMs()
	case c.phase == ReadingHead, c.phase == Idle:
		milliseconds = limits.GetHeaderTimeoutMs()
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Write implements net.Conn. A caller that reads nothing of its answer for too long loses the
// connection.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+writeBytes, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(c.gate.bodyTimeout())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.gate.progress(c.id, n)
	}
}

// CloseWrite closes the direction to the caller, if the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.linger
	c.linger = false
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// What still arrives is of no use; the error is the end of the connection or of the time.
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.gate.release(c.id, c.headHeld.Swap(0))
		c.gate.closed(c.id)
	})
	return err
}
