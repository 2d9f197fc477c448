package backend

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a reply, interim replies included. Servers and
	// clients commonly accept 8 to 64 KiB.
	maxHeadBytes = 64 << 10
	// maxReplyBytes bounds the body of a reply, which is held in memory.
	maxReplyBytes = 16 << 20
	// encodingFactor bounds a body on the connection relative to its decoded size. Chunks
	// of a few bytes each take several times their size.
	encodingFactor = 2
	// maxFramingBytes and maxFramingShare bound the bytes of chunked encoding that are not
	// part of the body: a fixed number and a share of the body. Each chunk costs processor
	// time, however few bytes of the body it carries.
	maxFramingBytes = 512 << 10
	maxFramingShare = 0.25
	// maxLargeReplyBytes bounds the memory that all replies larger than largeReplyBytes
	// take while they are read. VMs have as little as 184 MB.
	maxLargeReplyBytes = 32 << 20
	largeReplyBytes    = 64 << 10
)

// errTooLong means that a target sent more bytes than a reply may have.
var errTooLong = errors.New("reply is too long")

// boundedReader reads from a connection and fails after a number of bytes that the user
// sets before each part of a reply. Without it, a target that sends bytes without end
// would fill the memory with a single head.
type boundedReader struct {
	inner io.Reader
	left  int
	// total is the number of bytes read so far.
	total int
}

// Read implements io.Reader. It returns errTooLong when the bound is reached.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.inner.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.total += n
	return n, err
}

// framingLimiter reads a chunked body and fails when its encoding takes too many bytes of
// the connection.
type framingLimiter struct {
	body io.Reader
	// taken returns the number of bytes of the connection that have been decoded, and start
	// is its value before the body.
	taken     func() int
	start     int
	delivered int
}

// newFramingLimiter returns a limiter for a body that is decoded from the connection.
func newFramingLimiter(body io.Reader, c *conn) *framingLimiter {
	taken := func() int { return c.bound.total - c.reader.Buffered() }
	return &framingLimiter{body: body, taken: taken, start: taken()}
}

// Read implements io.Reader. It returns errTooLong when the limit is exceeded.
func (l *framingLimiter) Read(p []byte) (int, error) {
	n, err := l.body.Read(p)
	l.delivered += n
	framing := l.taken() - l.start - l.delivered
	if float64(framing) > maxFramingBytes+maxFramingShare*float64(l.delivered) {
		return n, errors.Wrap(errTooLong, "chunks are too small")
	}
	return n, err
}

// replyMemory counts the bytes of large replies that are being read.
type replyMemory struct{ used atomic.Int64 }

// reserve takes n bytes and reports whether they were available.
func (m *replyMemory) reserve(n int) bool {
	if m.used.Add(int64(n)) <= maxLargeReplyBytes {
		return true
	}
	m.release(n)
	return false
}

func (m *replyMemory) release(n int) { m.used.Add(-int64(n)) }

// readAll reads a body of unknown length, of at most maxReplyBytes.
func (m *replyMemory) readAll(body io.Reader) ([]byte, error) {
	reserved := 0
	defer func() { m.release(reserved) }()
	data := make([]byte, 0, bufferSize)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		case len(data) > maxReplyBytes:
			return nil, errTooLong
		}
		if len(data) < cap(data) {
			continue
		}
		if cap(data) >= largeReplyBytes {
			if !m.reserve(cap(data)) {
				return nil, errors.Wrap(errTooLong, "memory for large replies is in use")
			}
			reserved += cap(data)
		}
		data = append(make([]byte, 0, 2*cap(data)), data...)
	}
}

// readFull reads a body of a known length.
func (m *replyMemory) readFull(body io.Reader, length int) ([]byte, error) {
	if length > maxReplyBytes {
		return nil, errTooLong
	}
	if length >= largeReplyBytes {
		if !m.reserve(length) {
			return nil, errors.Wrap(errTooLong, "memory for large replies is in use")
		}
		defer m.release(length)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}
