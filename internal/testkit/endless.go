package testkit

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// EndlessReply is a way to send bytes that never form a complete reply: the prefix once,
// and then the filler until the client closes the connection.
type EndlessReply struct{ Prefix, Filler string }

// EndlessReplies returns one endless reply for each part of a reply, by name.
func EndlessReplies() map[string]EndlessReply {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]EndlessReply{
		"bytes of no protocol": {Filler: "\x16\x03\x01\x00 no protocol "},
		"status line":          {Prefix: "HTTP/1.1 200 ", Filler: "OK"},
		"header line":          {Prefix: ok + "X-Long: ", Filler: "a"},
		"header lines":         {Prefix: ok, Filler: "X-Many: a\r\n"},
		"interim replies":      {Filler: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without length":  {Prefix: ok + "\r\n", Filler: "a"},
		"body in chunks":       {Prefix: ok + "Transfer-Encoding: chunked\r\n\r\n", Filler: "1\r\na\r\n"},
		"body of a length":     {Prefix: ok + "Content-Length: 9000000000000\r\n\r\n", Filler: "a"},
		"chunk extension":      {Prefix: ok + "Transfer-Encoding: chunked\r\n\r\n1;", Filler: "a"},
		"trailer":              {Prefix: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Filler: "X-Many: a\r\n"},
	}
}

// EndlessServer sends an endless reply on each connection once it has received a byte.
type EndlessServer struct {
	listener net.Listener
	reply    EndlessReply
	sent     atomic.Int64
	closed   atomic.Int64
}

// StartEndlessServer starts a server on a loopback port. The caller must call Close.
func StartEndlessServer(reply EndlessReply) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &EndlessServer{listener: listener, reply: reply}
	go s.accept()
	return s, nil
}

// Address returns the server's address.
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Sent returns the number of bytes that clients, and the socket buffers, have accepted.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// ClosedByClient returns the number of connections that clients have closed.
func (s *EndlessServer) ClosedByClient() int64 { return s.closed.Load() }

// Close stops accepting connections.
func (s *EndlessServer) Close() { _ = s.listener.Close() }

func (s *EndlessServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *EndlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	const blockBytes, maxSeconds = 16 << 10, 30
	_ = conn.SetDeadline(time.Now().Add(maxSeconds * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return
	}
	block := make([]byte, 0, blockBytes)
	for len(block)+len(s.reply.Filler) <= blockBytes {
		block = append(block, s.reply.Filler...)
	}
	for next := []byte(s.reply.Prefix); ; next = block {
		n, err := conn.Write(next)
		s.sent.Add(int64(n))
		if err != nil {
			s.closed.Add(1)
			return
		}
	}
}
