package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id, replica string
	at          time.Time
}

// replica is a server whose answers a case writes byte by byte.
type replica struct {
	lab      *lab
	id       string
	listener net.Listener
	// answer writes the answer to a request that the replica runs. If it returns false, the connection is closed.
	answer func(conn net.Conn, r *http.Request, id string, body []byte) bool

	// born is the start of its process in Unix milliseconds; 0 for one that does not tell it.
	born int64

	mu    sync.Mutex
	runs  []run
	conns map[net.Conn]struct{}
}

// startReplica starts a replica that is not registered yet.
func (l *lab) startReplica(id string, answer func(conn net.Conn, r *http.Request, id string, body []byte) bool) *replica {
	p := &replica{lab: l, id: id, listener: l.listen(), answer: answer, conns: make(map[net.Conn]struct{})}
	go p.accept(p.listener)
	return p
}

func (p *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[conn] = struct{}{}
		p.mu.Unlock()
		go p.serve(conn)
	}
}

func (p *replica) address() string { return p.listener.Addr().String() }

// crash closes the listener and resets all connections. It returns the address.
func (p *replica) crash() string {
	at := p.address()
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	return at
}

// restartAt lets the replica, whose process has just started, listen at the address of one that has ended.
func (p *replica) restartAt(at string) {
	_ = p.listener.Close()
	listener, err := net.Listen("tcp", at)
	if err != nil {
		panic(err)
	}
	p.lab.onClose(func() { _ = listener.Close() })
	p.listener = listener
	go p.accept(listener)
}

func (p *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Heatherbarrow-Attempt-Id")
		switch {
		case r.URL.Path == "/v1/report":
			text := `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"kvHandles":0`
			if p.born != 0 {
				text += `,"born":` + strconv.FormatInt(p.born, 10)
			}
			text += "}"
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		case r.Header.Get("Heatherbarrow-Expect-Replica") != p.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nHeatherbarrow-Attempt-Id: %s\r\nHeatherbarrow-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, p.id)
		default:
			p.mu.Lock()
			p.runs = append(p.runs, run{id, p.id, time.Now()})
			p.mu.Unlock()
			p.lab.note("replica %s runs %s %s %s", p.id, id, r.Method, r.URL.Path)
			if !p.answer(conn, r, id, body) {
				return
			}
		}
	}
}

// ran returns how often the replica ran a request.
func (p *replica) ran(id string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.id == id {
			n++
		}
	}
	return n
}

// head returns the head of an answer of a replica.
func head(status int, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nHeatherbarrow-Attempt-Id: %s\r\nHeatherbarrow-Server-Seal: seal.%s\r\n%s\r\n", status, http.StatusText(status), id, id, more)
}

// plain returns a whole answer with a length.
func plain(status int, id, body string) string {
	return head(status, id, "Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n") + body
}

// chunk returns a chunk of a body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// event returns an event of a stream.
func event(number int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data) }

var attempts atomic.Int64

// newID returns the ID of a new attempt.
func newID() string {
	return fmt.Sprintf("%016x", time.Now().UnixNano()&0xffffffff0000|attempts.Add(1))
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // of the head or the body; nil for a complete answer
	took   time.Duration
}

// String describes the answer.
func (a *answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, seal %q, error %v, %d ms", a.status, len(a.body), a.header.Get("Heatherbarrow-Server-Seal"), a.err, a.took.Milliseconds())
}

// events returns the number of events of a stream that have arrived.
func (a *answer) events() int { return strings.Count(string(a.body), "\ndata: ") }

// caller is a client with one connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(at string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// write sends a request.
func (c *caller) write(method, path, id string, deadline time.Duration, body []byte, more string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: %s\r\nHeatherbarrow-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		method, path, callerHost, id, deadline.Milliseconds(), teamKey, more)
	if len(body) > 0 || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.conn.Write(b.Bytes())
	return err
}

// read reads an answer.
func (c *caller) read(method string, deadline time.Duration) *answer {
	began := time.Now()
	a := &answer{header: http.Header{}}
	_ = c.conn.SetReadDeadline(began.Add(deadline + 2*time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(began)
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.took = time.Since(began)
	return a
}

// send sends a request on a connection of its own and returns the answer.
func send(at, method, path, id string, deadline time.Duration, body []byte, more string) *answer {
	c, err := dial(at)
	if err != nil {
		return &answer{err: err, header: http.Header{}}
	}
	defer func() { _ = c.conn.Close() }()
	if err := c.write(method, path, id, deadline, body, more); err != nil {
		return &answer{err: err, header: http.Header{}}
	}
	return c.read(method, deadline)
}
