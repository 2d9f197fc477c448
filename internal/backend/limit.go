package backend

import (
	"io"
	"slices"
	"sync"
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
	// maxReplyMemory bounds the memory that all replies together take while they are read,
	// beyond freeReplyBytes of each, and replyMemoryShare is the part of the VM's memory that they
	// take at most. VMs have as little as 184 MB. Replies that take more than largeReplyBytes leave
	// a part of it to the others.
	maxReplyMemory   = 40 << 20
	replyMemoryShare = 0.25
	largeReplyShare  = 0.8
	freeReplyBytes   = bufferSize
	largeReplyBytes  = 64 << 10
	// headMemoryFactor is the memory that a byte of a head, which is split into its fields,
	// takes at most.
	headMemoryFactor = 4
	// firstBlockBytes is the size of the first block of a body, which most bodies fit into.
	firstBlockBytes = bufferSize
	// blockBytes is the size of the other blocks, and the granularity of reservations.
	blockBytes = 16 << 10
)

// Errors of a boundedReader.
var (
	// errTooLong means that a target sent more bytes than a reply may have.
	errTooLong = errors.New("reply is too long")
	// errNoMemory means that the replies that are being read take all the memory for them.
	errNoMemory = errors.Wrap(errTooLong, "memory for large replies is in use")
)

// boundedReader reads from a connection. It fails when a part of a reply exceeds its bound,
// and when the memory for replies is in use. Without it, targets that send bytes without end
// would fill the memory.
type boundedReader struct {
	inner  io.Reader
	memory *replyMemory
	// left is the number of bytes that the current part of a reply may still have, and
	// factor the memory that each takes.
	left, factor int
	// total is the number of bytes read so far, and replyStart its value at the start of the
	// reply.
	total, replyStart int
	// used is the memory that the reply takes, and reserved what has been reserved for it.
	used, reserved int
	// ended is true once the target has closed or reset the connection.
	ended bool
}

// beginReply starts the head of a reply. Bytes that are buffered already belong to it.
func (r *boundedReader) beginReply() {
	r.replyStart, r.used = r.total, 0
	r.left, r.factor = maxHeadBytes, headMemoryFactor
}

// beginBody starts the body of a reply.
func (r *boundedReader) beginBody() {
	r.left, r.factor = maxReplyBytes*encodingFactor, 1
}

// endReply releases the memory that was reserved for a reply.
func (r *boundedReader) endReply() {
	r.memory.release(r.reserved)
	r.reserved = 0
}

// Read implements io.Reader. It returns errTooLong when the bound is reached.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.inner.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.total += n
	r.ended = r.ended || endedByTarget(err)
	if r.total-r.replyStart > freeReplyBytes && !r.reserve(n*r.factor) {
		return 0, errNoMemory
	}
	return n, err
}

// reserve adds to the memory of the reply and reports whether it was available.
func (r *boundedReader) reserve(n int) bool {
	r.used += n
	missing := r.used - r.reserved
	if missing <= 0 {
		return true
	}
	limit := r.memory.limit
	if r.used > largeReplyBytes {
		limit = int(largeReplyShare * float64(limit))
	}
	rounded := (missing + blockBytes - 1) / blockBytes * blockBytes
	if !r.memory.reserve(rounded, limit) {
		return false
	}
	r.reserved += rounded
	return true
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

// replyMemory counts the memory of the replies that are being read.
type replyMemory struct {
	limit int
	used  atomic.Int64
}

// reserve takes n bytes and reports whether they were available below the limit.
func (m *replyMemory) reserve(n, limit int) bool {
	if m.used.Add(int64(n)) <= int64(limit) {
		return true
	}
	m.release(n)
	return false
}

func (m *replyMemory) release(n int) { m.used.Add(-int64(n)) }

// readBytes reads a body, of at most maxReplyBytes. Its length is negative if it is not
// known. Memory is taken as the body arrives, whatever its length is said to be.
func readBytes(body io.Reader, length int64, bound *boundedReader) ([]byte, error) {
	if length > maxReplyBytes {
		return nil, errTooLong
	}
	first := make([]byte, firstBlockBytes)
	if length >= 0 {
		first = first[:min(length, firstBlockBytes)]
	}
	n, err := fill(body, first)
	if err != nil || int64(n) == length {
		return first[:n], endOfBody(err, int64(n), length)
	}
	rest := blockList{}
	defer rest.free()
	if err := rest.readFrom(body, length-int64(n)); err != nil {
		return nil, err
	}
	size := n + rest.size
	if err := endOfBody(nil, int64(size), length); err != nil {
		return nil, err
	}
	if size > freeReplyBytes && !bound.reserve(size) {
		return nil, errNoMemory
	}
	return slices.Concat(append([][]byte{first}, rest.blocks...)...), nil
}

// endOfBody returns the error of a body of which size bytes were read before err.
func endOfBody(err error, size, length int64) error {
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return err
	case length >= 0 && size < length:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// fill reads until the block is full or reading fails. Unlike io.ReadFull, it returns the
// error of the reader, which tells the end of a body from a body that was cut off.
func fill(r io.Reader, block []byte) (int, error) {
	for n := 0; ; {
		if n == len(block) {
			return n, nil
		}
		read, err := r.Read(block[n:])
		if n += read; err != nil {
			return n, err
		}
	}
}

// blockList holds bytes in blocks that are used again. Bodies without end, which are never
// complete, would otherwise leave large buffers to the garbage collector.
type blockList struct {
	blocks [][]byte
	size   int
}

var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// readFrom reads to the end of the body, or up to length bytes if it is not negative.
func (l *blockList) readFrom(body io.Reader, length int64) error {
	for {
		block := blockPool.Get().(*[blockBytes]byte)[:]
		if left := length - int64(l.size); length >= 0 && left < blockBytes {
			block = block[:left]
		}
		n, err := fill(body, block)
		l.blocks = append(l.blocks, block[:n])
		l.size += n
		switch {
		case errors.Is(err, io.EOF), int64(l.size) == length:
			return nil
		case err != nil:
			return err
		case l.size > maxReplyBytes:
			return errTooLong
		}
	}
}

func (l *blockList) free() {
	for _, block := range l.blocks {
		blockPool.Put((*[blockBytes]byte)(block[:blockBytes]))
	}
}
