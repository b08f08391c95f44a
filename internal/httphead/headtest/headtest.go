// Package headtest provides heads of HTTP responses for tests of clients.
package headtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Informational is a series of valid informational responses.
const Informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

// Head is the head of a response that is not valid.
type Head struct {
	Name   string
	first  string // line
	header string
}

// Text returns the bytes of the head, with further header lines.
func (h *Head) Text(further string) string { return h.first + "\r\n" + h.header + further + "\r\n" }

// Invalid returns heads that are not valid, without a body.
func Invalid() (heads []Head) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "999", "-01", "0200", "2", "20", "20x", "2 0"} {
		heads = append(heads, Head{Name: "status " + status, first: "HTTP/1.1 " + status + " OK", header: "Content-Length: 0\r\n"})
	}
	for _, status := range []string{"101", "104", "150", "199"} {
		heads = append(heads, Head{Name: "status " + status, first: "HTTP/1.1 " + status + " OK"})
	}
	return append(heads,
		Head{Name: "101 with an upgrade", first: "HTTP/1.1 101 Switching Protocols", header: "Connection: Upgrade\r\nUpgrade: x\r\n"},
		Head{Name: "100 with a length", first: "HTTP/1.1 100 Continue", header: "Content-Length: 5\r\n"},
		Head{Name: "100 with a length of 0", first: "HTTP/1.1 100 Continue", header: "content-length: 0\r\n"},
		Head{Name: "102 with chunks", first: "HTTP/1.1 102 Processing", header: "Transfer-Encoding: chunked\r\n"},
		Head{Name: "103 with chunks and a length", first: "HTTP/1.1 103 Early Hints", header: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"},
		Head{Name: "100 of HTTP/1.0 with chunks", first: "HTTP/1.0 100 Continue", header: "Transfer-Encoding: chunked\r\n"},
	)
}

// Server answers requests with given bytes.
type Server struct {
	Address     string // IP:port
	Connections atomic.Int64
	Requests    atomic.Int64
	Reuses      atomic.Int64 // requests on a connection that has served one
}

// Serve starts a server that sends the bytes that answer returns to each request, until the test ends. It leaves connections open.
func Serve(t testing.TB, answer func(*http.Request) string) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, answer func(*http.Request) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.Requests.Add(1)
		if served > 0 {
			s.Reuses.Add(1)
		}
		if _, err = io.WriteString(c, answer(request)); err != nil {
			return
		}
	}
}

// ServeReset starts a server that answers each request at once, before it reads its body, with the given bytes, reads as many bytes
// of the body as given, waits, and resets the connection.
func ServeReset(t testing.TB, answer string, read int64, wait time.Duration) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.reset(c.(*net.TCPConn), answer, read, wait)
		}
	}()
	return s
}

func (s *Server) reset(c *net.TCPConn, answer string, read int64, wait time.Duration) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	s.Requests.Add(1)
	_, _ = io.WriteString(c, answer)
	_, _ = io.CopyN(io.Discard, in, read)
	time.Sleep(wait)
	_ = c.SetLinger(0) // the close is a reset
}
