package gateway

import (
	"encoding/binary"
	"net/http"
	"slices"
	"sort"
	"strconv"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/fanout"
)

// recordBytes is the size in bytes of a record in a gathered answer.
const recordBytes = 16

// write writes the answer to the caller.
func (c *call) write(answer *fanout.Answer) {
	switch {
	case answer.Outcome == fanout.NotRun:
		if answer.ContentRefused {
			c.recordContentRefused(answer.RetryAfter)
		}
		if answer.Refusal != nil && c.delegated {
			delegation.SetAdmissionRefused(c.writer.Header(), answer.RetryAfter)
		}
		c.writeNotRun(answer.RetryAfter)
	case answer.Outcome == fanout.TimedOut:
		c.writer.WriteHeader(http.StatusGatewayTimeout)
	case answer.Failure != nil:
		c.writeReply(answer.Failure)
	case len(answer.Replies) == 0:
		c.writer.WriteHeader(http.StatusBadGateway)
	case answer.Replies[0].Delegated:
		c.writeReply(answer.Replies[0])
	case c.route.Gathers():
		c.writeGathered(answer)
	default:
		c.writeReply(answer.Replies[0])
	}
}

// writeReply forwards a target's reply unchanged.
func (c *call) writeReply(reply *backend.Reply) {
	if !c.holdAnswer(reply.Body) {
		return
	}
	header := c.writer.Header()
	for name, values := range endToEndHeaders(reply.Header) {
		header[name] = values
	}
	if len(reply.Header["Content-Type"]) == 0 {
		// net/http would otherwise guess a content type.
		header["Content-Type"] = nil
	}
	length := strconv.Itoa(len(reply.Body))
	if c.http.Method == http.MethodHead {
		length = reply.Header.Get("Content-Length")
	}
	if length != "" && reply.Status != http.StatusNoContent && reply.Status != http.StatusNotModified {
		header.Set("Content-Length", length)
	}
	c.writeResponse(reply.Status, reply.Body)
}

// writeGathered writes the merged records, with headers that state which shards they
// cover.
func (c *call) writeGathered(answer *fanout.Answer) {
	receipts := make([]string, 0, len(answer.Replies))
	for _, reply := range answer.Replies {
		receipts = append(receipts, reply.Receipt)
	}
	body := mergeGreatest(answer.Replies, int(c.route.RowLimit))
	if !c.holdAnswer(body) {
		return
	}
	header := c.writer.Header()
	c.gateway.options.Dialect.SetGatherHeaders(header, receipts, answer.Missing)
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writeResponse(http.StatusOK, body)
}

// writeResponse writes the answer. The caller may take its time to read it.
func (c *call) writeResponse(status int, body []byte) {
	c.releasePlace()
	c.writer.WriteHeader(status)
	if _, err := c.writer.Write(body); err != nil && c.http.Method != http.MethodHead {
		c.gateway.counters.unwritten.Inc()
	}
}

// record holds the two halves of a record, read as big-endian numbers, so that comparing
// the numbers orders records by their bytes.
type record struct{ high, low uint64 }

// mergeGreatest returns the limit greatest records of all replies in descending order.
// Bytes after the last complete record of a body are ignored.
func mergeGreatest(replies []*backend.Reply, limit int) []byte {
	kept := make([]record, 0, min(limit, countRecords(replies)))
	for _, reply := range replies {
		for body := reply.Body; len(body) >= recordBytes; body = body[recordBytes:] {
			kept = insertRecord(kept, limit, record{
				high: binary.BigEndian.Uint64(body), low: binary.BigEndian.Uint64(body[recordBytes/2:]),
			})
		}
	}
	body := make([]byte, 0, len(kept)*recordBytes)
	for _, r := range kept {
		body = binary.BigEndian.AppendUint64(body, r.high)
		body = binary.BigEndian.AppendUint64(body, r.low)
	}
	return body
}

// insertRecord inserts a record into kept, which is in descending order and holds at
// most limit records, if it is among the greatest.
func insertRecord(kept []record, limit int, r record) []record {
	if len(kept) == limit {
		if limit == 0 || !r.greaterThan(kept[limit-1]) {
			return kept
		}
		kept = kept[:limit-1]
	}
	index := sort.Search(len(kept), func(i int) bool { return r.greaterThan(kept[i]) })
	return slices.Insert(kept, index, r)
}

func (r record) greaterThan(other record) bool {
	return r.high > other.high || r.high == other.high && r.low > other.low
}

func countRecords(replies []*backend.Reply) int {
	records := 0
	for _, reply := range replies {
		records += len(reply.Body) / recordBytes
	}
	return records
}
