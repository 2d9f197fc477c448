package testkit

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// HostileRequest is a request that is never complete: the prefix, then the filler the given
// number of times, or without end if Count is 0, and then nothing until the server closes
// the connection.
type HostileRequest struct {
	Prefix, Filler string
	Count          int
	// Interval is the time between two fillers; zero sends them in blocks.
	Interval time.Duration
	// Unread leaves the answer unread, except for its status. After a status other than 200 the
	// caller tries again.
	Unread bool
}

// Sizes of the hostile requests, for the limits max_header_bytes 16384 and max_body_bytes
// 262144 of the configuration.
const (
	// hostileHeadBytes is a head below the limit as it is sent, and hostileLines one that is also
	// below it if each line counts with four bytes of separators.
	hostileHeadBytes  = 15600
	hostileLines      = 2600
	hostileBodyBytes  = 262144
	hostileChunkBytes = 8192
	// successStatus begins an answer with status 200.
	successStatus = "HTTP/1.1 200"
	// slowInterval is the interval between fillers from which a caller counts as engaged before it
	// has sent all of them.
	slowInterval = 500 * time.Millisecond
)

// hostileHead returns the beginning of a head with the header line that identifies a request.
func hostileHead(identity string) string {
	return "POST /e/x HTTP/1.1\r\nHost: h\r\n" + identity + "\r\n"
}

// The functions below take the header line that identifies a request.

// UnfinishedBody returns a request with a body of legal size that lacks its last byte.
func UnfinishedBody(identity string) HostileRequest {
	return HostileRequest{
		Prefix: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", hostileHead(identity), hostileBodyBytes),
		Filler: "a", Count: hostileBodyBytes - 1,
	}
}

// UnfinishedChunks returns a request with a body of legal size that arrives chunk by chunk
// and lacks its last chunk.
func UnfinishedChunks(identity string) HostileRequest {
	const interval = 20 * time.Millisecond
	return HostileRequest{
		Prefix: hostileHead(identity) + "Transfer-Encoding: chunked\r\n\r\n",
		Filler: fmt.Sprintf("%x\r\n%s\r\n", hostileChunkBytes, strings.Repeat("a", hostileChunkBytes)),
		Count:  hostileBodyBytes/hostileChunkBytes - 1, Interval: interval,
	}
}

// ManyHeaderLines returns a request with a head of legal size that consists of header lines
// with names of two characters and no value, and with a body of which nothing is sent.
func ManyHeaderLines(identity string) HostileRequest {
	// The characters that header names may have, except upper-case letters, which stand for
	// the same names as lower-case ones.
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	head := strings.Builder{}
	head.WriteString(hostileHead(identity) + "Content-Length: 1000\r\n")
	for i := range hostileLines {
		_, _ = fmt.Fprintf(&head, "%c%c:\r\n", characters[i/len(characters)], characters[i%len(characters)])
	}
	return HostileRequest{Prefix: head.String() + "\r\n"}
}

// EmptyHeaderLines returns a request with a head of legal size that consists of header lines
// of one and the same name, and with a body of which nothing is sent.
func EmptyHeaderLines(identity string) HostileRequest {
	const line = "a:\r\n"
	head := hostileHead(identity) + "Content-Length: 1000\r\n"
	return HostileRequest{Prefix: head + strings.Repeat(line, (hostileHeadBytes-len(head))/len(line)) + "\r\n"}
}

// WholeBody returns a request for the path with a complete body of legal size.
func WholeBody(identity, path string) HostileRequest {
	head := strings.Replace(hostileHead(identity), "/e/x", path, 1)
	return HostileRequest{
		Prefix: fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n", head, hostileBodyBytes),
		Filler: "a", Count: hostileBodyBytes,
	}
}

// UnreadAnswer returns a request for the path whose answer the caller does not read.
func UnreadAnswer(identity, path string) HostileRequest {
	head := strings.Replace(strings.Replace(hostileHead(identity), "/e/x", path, 1), "POST", "GET", 1)
	return HostileRequest{Prefix: head + "\r\n", Unread: true}
}

// SlowBody returns a request with a body of legal size of which a few bytes arrive each second.
func SlowBody(identity string) HostileRequest { return slowBody(identity, 256, time.Second) }

// TricklingBody returns a request with a body of legal size that arrives at 1.4 KB a second.
func TricklingBody(identity string) HostileRequest {
	return slowBody(identity, 1100, 800*time.Millisecond)
}

func slowBody(identity string, piece int, interval time.Duration) HostileRequest {
	return HostileRequest{
		Prefix: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", hostileHead(identity), hostileBodyBytes),
		Filler: strings.Repeat("a", piece), Count: hostileBodyBytes/piece - 1, Interval: interval,
	}
}

// SlowHead returns a request whose head grows by 1.1 KB each 0.8 s, up to a legal size.
func SlowHead(identity string) HostileRequest {
	const lineBytes, interval = 1100, 800 * time.Millisecond
	line := "X-Slow: " + strings.Repeat("a", lineBytes-len("X-Slow: \r\n")) + "\r\n"
	return HostileRequest{Prefix: hostileHead(identity), Filler: line, Count: hostileHeadBytes/lineBytes - 1, Interval: interval}
}

// EndlessHead returns a request with header lines without end.
func EndlessHead(identity string) HostileRequest {
	return HostileRequest{Prefix: hostileHead(identity), Filler: "X-Many: a\r\n"}
}

// EndlessHeaderLine returns a request with a header line without end.
func EndlessHeaderLine(identity string) HostileRequest {
	return HostileRequest{Prefix: hostileHead(identity) + "X-Long: ", Filler: "a"}
}

// EndlessEmptyLines returns empty lines without end in place of a request.
func EndlessEmptyLines() HostileRequest { return HostileRequest{Filler: "\r\n"} }

// HostileCrowd is a number of callers that send a hostile request each, over and over.
type HostileCrowd struct {
	address string
	request HostileRequest
	stop    chan struct{}
	callers sync.WaitGroup
	engaged atomic.Int64
	opened  atomic.Int64
}

// StartHostileCrowd starts n callers of the address, from the given loopback addresses in
// turn. Each keeps its connection open until the server closes it, and then opens another.
// The caller must call Stop.
func StartHostileCrowd(address string, request HostileRequest, n int, sources ...string) *HostileCrowd {
	c := &HostileCrowd{address: address, request: request, stop: make(chan struct{})}
	for i := range n {
		dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(sources[i%len(sources)])}}
		c.callers.Go(func() { c.run(dialer) })
	}
	return c
}

// Engaged returns the number of callers that have sent what there is to send of a request, or
// whose connection was refused or closed, at least once.
func (c *HostileCrowd) Engaged() int { return int(c.engaged.Load()) }

// Opened returns the number of connections opened so far.
func (c *HostileCrowd) Opened() int { return int(c.opened.Load()) }

// Stop closes all connections and waits for the callers to end.
func (c *HostileCrowd) Stop() {
	close(c.stop)
	c.callers.Wait()
}

func (c *HostileCrowd) run(dialer *net.Dialer) {
	// retryInterval bounds the connections that the crowd opens in a second.
	const retryInterval = 250 * time.Millisecond
	engaged := false
	for {
		if conn, err := dialer.Dial("tcp", c.address); err == nil {
			c.opened.Add(1)
			c.send(conn, func() {
				if !engaged {
					c.engaged.Add(1)
				}
				engaged = true
			})
		}
		select {
		case <-c.stop:
			return
		case <-time.After(retryInterval):
		}
	}
}

// send sends one request and waits until the server closes the connection or the crowd stops.
// It calls sent once nothing is left to send.
func (c *HostileCrowd) send(conn net.Conn, sent func()) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-c.stop:
		case <-done:
		}
		_ = conn.Close()
	}()
	defer sent()
	if tcp, ok := conn.(*net.TCPConn); ok && c.request.Unread {
		// The system would otherwise take in several megabytes for the caller.
		_ = tcp.SetReadBuffer(hostileChunkBytes)
	}
	if _, err := conn.Write([]byte(c.request.Prefix)); err != nil {
		return
	}
	if c.request.Interval >= slowInterval {
		sent()
	}
	if c.request.Filler != "" && c.sendFillers(conn) != nil {
		return
	}
	sent()
	if c.request.Unread {
		status := make([]byte, len(successStatus))
		if _, err := io.ReadFull(conn, status); err == nil && string(status) == successStatus {
			<-c.stop
		}
		return
	}
	answer := make([]byte, hostileChunkBytes)
	for {
		if _, err := conn.Read(answer); err != nil {
			return
		}
	}
}

func (c *HostileCrowd) sendFillers(conn net.Conn) error {
	const blockBytes = 16 << 10
	fillers := max(blockBytes/len(c.request.Filler), 1)
	if c.request.Interval > 0 {
		fillers = 1
	}
	block := []byte(strings.Repeat(c.request.Filler, fillers))
	for left := c.request.Count; left > 0 || c.request.Count == 0; left -= fillers {
		next := block
		if c.request.Count > 0 && left < fillers {
			next = block[:left*len(c.request.Filler)]
		}
		if _, err := conn.Write(next); err != nil {
			return err
		}
		if c.request.Interval > 0 {
			time.Sleep(c.request.Interval)
		}
	}
	return nil
}
