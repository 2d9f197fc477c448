package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Searcher is a stand-in of one searcher. It serves one request at a time on a connection and
// refuses requests that are meant for another searcher. Handle decides on everything else.
type Searcher struct {
	ID, Service, Zone string
	Slots             int
	Handle            func(c *Connection, r *Request) (keep bool)

	record   *Record
	store    *Store
	listener net.Listener
	address  string
	born     int64

	mu          sync.Mutex
	sequence    int
	connections map[*Connection]bool
	answers     int
}

// Connection is a connection to a searcher.
type Connection struct {
	net.Conn
	searcher *Searcher
	// Late holds bytes that are sent as soon as the next request has arrived.
	Late []byte
}

// Request is a request that has reached a searcher whole.
type Request struct {
	ID, Method, URI string
	Body            []byte
	Deadline        time.Duration
	Arrived         time.Time
}

func newSearcher(d *Deployment, id, service, zone string) (*Searcher, error) {
	s := &Searcher{
		ID: id, Service: service, Zone: zone, Slots: 3, record: d.Record, store: d.Store,
		connections: map[*Connection]bool{}, born: time.Now().UnixMilli(),
	}
	s.Handle = func(c *Connection, r *Request) bool { return c.Succeed(r, 5*time.Millisecond) }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener, s.address = listener, listener.Addr().String()
	go s.accept(listener)
	return s, nil
}

func (s *Searcher) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &Connection{Conn: conn, searcher: s}
		s.mu.Lock()
		s.connections[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Searcher) serve(c *Connection) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		parsed, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(parsed.Body)
		if err != nil {
			return
		}
		ms, _ := strconv.Atoi(parsed.Header.Get(wire.Deadline))
		r := &Request{
			ID: parsed.Header.Get(wire.AttemptID), Method: parsed.Method, URI: parsed.RequestURI, Body: body,
			Deadline: time.Duration(ms) * time.Millisecond, Arrived: time.Now(),
		}
		if target := parsed.Header.Get(wire.Target); target != "" && target != s.ID {
			if !c.Reply(r, 421, http.Header{wire.InstanceID: {s.ID}}, nil) {
				return
			}
			continue
		}
		if len(c.Late) > 0 {
			late := c.Late
			c.Late = nil
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		if !s.Handle(c, r) {
			return
		}
	}
}

// Message returns the bytes of a reply.
func Message(id string, status int, header http.Header, body []byte) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), wire.AttemptID, id, len(body))
	for name, values := range header {
		for _, value := range values {
			fmt.Fprintf(&text, "%s: %s\r\n", name, value)
		}
	}
	return append([]byte(text.String()+"\r\n"), body...)
}

// Reply sends a reply and reports whether it was written.
func (c *Connection) Reply(r *Request, status int, header http.Header, body []byte) bool {
	c.searcher.mu.Lock()
	c.searcher.answers++
	c.searcher.mu.Unlock()
	_, err := c.Write(Message(r.ID, status, header, body))
	return err == nil
}

// Seal returns the receipt of a request that this searcher ran.
func (s *Searcher) Seal(r *Request) string { return fmt.Sprintf("%s.%s", s.ID, r.ID) }

// Succeed runs the request for the time of its work and sends a success.
func (c *Connection) Succeed(r *Request, work time.Duration) bool {
	time.Sleep(work)
	return c.Reply(r, 200, http.Header{wire.Seal: {c.searcher.Seal(r)}}, []byte("answer of "+c.searcher.ID+" to "+r.ID))
}

// Shed rejects the request as a searcher does whose queue is full.
func (c *Connection) Shed(r *Request) bool {
	return c.Reply(r, 503, http.Header{wire.NotExecuted: {"1"}}, nil)
}

// Register writes the searcher's entry and returns when the store has acknowledged it.
func (s *Searcher) Register(state string) {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	s.store.Put(wire.ServersPrefix+s.ID, map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": state, wire.ColdLeft: 0, "seq": sequence, "born": s.born,
	})
}

// Crash ends the searcher's process: its connections are reset and new ones refused.
func (s *Searcher) Crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Restart starts the searcher again at its address, with a new birth.
func (s *Searcher) Restart() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.born, s.sequence = listener, time.Now().UnixMilli(), 0
	s.mu.Unlock()
	go s.accept(listener)
	s.Register("ready")
	return nil
}
