// Package upstream is an HTTP/1.1 client for replicas. Unlike net/http's client it
// never retries a request on its own, and its errors distinguish a request of which
// no byte was sent from one that may have run.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/membudget"
)

// ErrNotSent means that no byte of the request was sent, so it did not run.
var ErrNotSent = errors.New("request not sent")

// ErrNotConnected means that no connection could be opened. It is always wrapped
// together with ErrNotSent.
var ErrNotConnected = errors.New("no connection")

// ErrNoResponse means that at least part of the request was sent and no response was
// received, so it may have run.
var ErrNoResponse = errors.New("no response to the request")

const (
	// maxInlineBodyBytes is the size of the largest body that is written before the
	// response is read. It fits the socket buffers, so a replica that responds without
	// reading the body cannot block the write.
	maxInlineBodyBytes = 16 << 10
	// maxForeignResponses limits how many responses to other requests are skipped, and
	// maxForeignBodyBytes limits the body of each.
	maxForeignResponses = 2
	maxForeignBodyBytes = 1 << 20
	// maxHeaderBytes limits the status line and headers of each response, informational
	// ones included, because a faulty replica may send header bytes without end. Healthy
	// replicas send a few hundred bytes.
	maxHeaderBytes = 64 << 10
	// maxInformationalResponses limits the 1xx responses before the final response.
	maxInformationalResponses = 8
	// maxDiscardBytes and discardTimeout limit reading a response body that is not
	// needed: it is read only to reuse the connection, and it delays the attempt at
	// another replica.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 20 * time.Millisecond
)

// ErrResponseTooLarge means that a replica sent more bytes or more informational
// responses than a response may have.
var ErrResponseTooLarge = errors.New("response exceeds its size limit")

// Dial opens a network connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to replicas and pools idle connections. It is safe for
// concurrent use.
type Client struct {
	dial   Dial
	pool   pool
	memory *membudget.Budget
	ends   connends.Tracker
}

// NewClient returns a client that opens connections with dial. Memory is what the answers of all replicas may occupy
// together; nil sets no bound.
func NewClient(dial Dial, memory *membudget.Budget) *Client {
	return &Client{dial: dial, pool: pool{idle: make(map[string][]*conn)}, memory: memory}
}

// HeldBytes returns the memory that answers occupy now, see membudget.Budget.
func (c *Client) HeldBytes() int { return c.memory.Held() }

// Request is a request to a replica.
type Request struct {
	Address string // IP:port
	// ID identifies the request; answers of the replica carry it. See Response.MarkRefused.
	ID     string
	Method string
	Target string // path and query, sent unchanged
	Host   string
	// Header returns the headers. It is called when the connection is open, right before the request is written, so
	// that they can state how much time is left. Nil stands for no headers.
	Header func() http.Header
	Body   []byte
	// NewConnection prevents the use of a pooled connection. The replica may close a
	// pooled connection just as the request is sent, and the request is then lost.
	NewConnection bool
	// Question means that the request asks which process the replica is. Some connections to each replica are kept for
	// questions, so that they are idle when others end: their fate tells how those ended. See Client.UnframedEnd.
	Question bool
	// MaxIdle limits the idle connections to the replica that are kept after the request, besides
	// maxIdlePerReplica. 0 sets no further limit, a negative value keeps none.
	MaxIdle int
	// Matches reports whether a response belongs to this request: on a reused connection,
	// a response to an earlier request may arrive first. Nil accepts every response.
	Matches func(status int, h http.Header, reused bool) bool
	// Check verifies which process the connection leads to before the request is sent; nil for no check.
	Check *Check
}

// Response is a replica's response. The caller must call Close exactly once.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Reused bool // the request was sent on a pooled connection
	// Checked means that Request.Check found the connection to lead to the expected process.
	Checked bool
	// Unframed means that the body has neither a length nor chunks and ends with the connection, so that
	// the end of the replica's process looks like the end of the body.
	Unframed bool

	client         *Client
	address        string
	maxIdle        int
	question       bool // Request.Question
	conn           *conn
	id             string      // Request.ID
	stop           func() bool // stops watching the context; false if the context has ended
	bodyWritten    chan error  // result of the concurrent body write; nil if the body was written before the response was read
	closeRequested bool        // the replica closes the connection after this response
	bodyComplete   bool        // set by MarkComplete
	memory         *membudget.Account
}

// CloseIdle closes the idle connections whose reuse time has expired at now. It must be called more often than the kernel sends
// keep-alive probes, see connends.Tracker.Prune.
func (c *Client) CloseIdle(now time.Time) {
	c.pool.closeIdle(now)
	c.ends.Prune(now)
}

// Do sends a request and returns once the head of the response has been read. The
// connection is closed if ctx ends before Close is called. The error wraps the cause
// and either ErrNotSent or ErrNoResponse.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	connection, checked, err := c.connectChecked(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp := &Response{client: c, address: req.Address, maxIdle: req.MaxIdle, question: req.Question, id: req.ID, conn: connection, Reused: connection.usedBefore, Checked: checked, memory: c.memory.Open(req.Address)}
	resp.stop = context.AfterFunc(ctx, func() { _ = connection.abort() })
	if err := resp.send(ctx, req); err != nil {
		resp.Close()
		return nil, err
	}
	delivery := watchDelivery(connection)
	defer delivery.stop()
	if err := resp.receive(req); err != nil {
		resp.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return resp, nil
}

// ReservedFor returns the number of connections to a replica that are reserved for questions, and the time for which all of them may
// still be idle.
func (c *Client) ReservedFor(address string, now time.Time) (idle time.Duration, reserved int) {
	return c.pool.reservedFor(address, now)
}

// Down reports whether nothing listens at a replica's address. A replica that cannot
// be reached, for example because its zone is partitioned, does not count as down.
func (c *Client) Down(ctx context.Context, address string) bool {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return Refused(err)
	}
	_ = raw.Close() // the connection only served as a probe
	return false
}

// Refused reports whether the error of a connection attempt shows that nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Connect opens a connection to a replica and keeps it for the next request. maxIdle is that of Request.MaxIdle.
func (c *Client) Connect(ctx context.Context, address string, maxIdle int) error {
	connection, err := c.open(ctx, address)
	if err != nil {
		return err
	}
	connection.reuseUntil = time.Now().Add(defaultIdleTimeout)
	connection.tracking.EndAnswer(true)
	c.pool.put(address, connection, maxIdle, false)
	return nil
}

// connect returns a pooled connection to the replica, or opens a new one.
func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	if req.Question && !req.NewConnection {
		if reserved := c.pool.takeReserved(req.Address, time.Now()); reserved != nil {
			return reserved, nil
		}
	}
	if !req.NewConnection {
		pooled, broken := c.pool.take(req.Address, req.ID, time.Now())
		if broken && req.Check != nil {
			req.Check.Broken()
		}
		if pooled != nil {
			return pooled, nil
		}
	}
	connection, err := c.open(ctx, req.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return connection, nil
}

// open opens a connection.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connection := newConn(raw)
	connection.tracking = c.ends.Add(address, raw)
	return connection, nil
}

// send writes the request. A body longer than maxInlineBodyBytes is written in a
// separate goroutine while the response is read. Nothing is written if the context has
// ended when the headers are known.
func (r *Response) send(ctx context.Context, req *Request) error {
	head := appendHead(make([]byte, 0, 1024), req)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(req.Body) <= maxInlineBodyBytes {
		return classifyWriteError(r.write(append(head, req.Body...)))
	}
	if err := classifyWriteError(r.write(head)); err != nil {
		return err
	}
	r.bodyWritten = make(chan error, 1)
	go func() {
		_, err := r.write(req.Body)
		r.bodyWritten <- err
	}()
	return nil
}

func (r *Response) write(data []byte) (int, error) { return r.conn.Write(data) }

// classifyWriteError wraps a write error in ErrNotSent if no byte was written and in
// ErrNoResponse otherwise.
func classifyWriteError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
}

// appendHead appends the request line and the headers of a request to b.
func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	var header http.Header
	if req.Header != nil {
		header = req.Header()
	}
	for name, values := range header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || slices.Contains([]string{http.MethodPost, http.MethodPut, http.MethodPatch}, req.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads the head of the response, skipping informational responses and
// responses to other requests. A head that is not valid is an error, see package
// httphead: what follows it on the connection is not a response either.
func (r *Response) receive(req *Request) error {
	httpRequest := &http.Request{Method: req.Method}
	foreign, informational := 0, 0
	for {
		response, err := r.readHead(httpRequest)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformationalResponses {
				return ErrResponseTooLarge
			}
			continue
		}
		if req.Matches == nil || req.Matches(response.StatusCode, response.Header, r.Reused) {
			r.Status, r.Header, r.Body, r.closeRequested = response.StatusCode, response.Header, response.Body, response.Close
			r.conn.tracking.BeginAnswer(response.Close)
			r.Unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0 && req.Method != http.MethodHead
			if r.Unframed && r.bodyWritten != nil {
				r.Body = &resetDetector{Reader: r.Body, response: r}
			}
			return nil
		}
		if foreign++; foreign > maxForeignResponses {
			return errors.New("too many responses to other requests")
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBodyBytes)); {
		case err != nil:
			return err
		case n == maxForeignBodyBytes:
			return ErrResponseTooLarge
		}
	}
}

// readHead reads a head and leaves the account with what the head occupies.
func (r *Response) readHead(request *http.Request) (*http.Response, error) {
	r.memory.Close()                                            // the head before has been dropped
	received, _ := r.conn.reader.Peek(r.conn.reader.Buffered()) // never fails
	if err := r.memory.Grow(netio.HeadBytes(received)); err != nil {
		return nil, err
	}
	r.conn.byteLimiter.setLimit(maxHeaderBytes, r.memory)
	response, err := http.ReadResponse(r.conn.reader, request)
	if err != nil {
		return nil, cmp.Or(r.conn.byteLimiter.exhausted, err) // an error of the text may hide the other
	}
	if err := httphead.Check(response); err != nil {
		return nil, err
	}
	r.conn.byteLimiter.setLimit(unlimited, nil)
	r.memory.Close()
	return response, r.memory.Grow(headerBytes(response.Header))
}

// headerBytes returns the memory that a header occupies.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		n += len(name)
		for _, value := range values {
			n += len(value) + netio.HeadLineBytes
		}
	}
	return n
}

// Discard reads the rest of a body that is not needed, so that the connection can be
// reused. If the body is too long or too slow, Discard stops reading, and Close closes
// the connection.
func (r *Response) Discard() {
	if err := r.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return // the connection is closed
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
	if err == nil && n < maxDiscardBytes && r.conn.SetReadDeadline(time.Time{}) == nil {
		r.MarkComplete()
	}
}

// MarkComplete records that the body was read completely, so that Close may return the
// connection to the pool.
func (r *Response) MarkComplete() { r.bodyComplete = true }

// MarkRefused records that the replica refused the request without running it. The connection does not
// take a request with the same ID again: a faulty replica may send the refusal once more, as an answer to it.
func (r *Response) MarkRefused() {
	r.conn.refused = append(r.conn.refused[max(len(r.conn.refused)-maxRefusedIDs+1, 0):], r.id)
}

// Close returns the connection to the pool if the response was read completely and the
// connection can be reused. A connection whose response is incomplete is reset, which
// cancels the replica's work.
func (r *Response) Close() {
	r.memory.Close()
	// If stop returns false, the context has ended and the function registered in Do
	// closes the connection.
	open := r.stop()
	complete := r.bodyComplete
	// A connection on which the request body is still being written must not be reused.
	if r.bodyWritten != nil {
		select {
		case err := <-r.bodyWritten:
			complete = complete && err == nil
		default:
			complete = false
		}
	}
	reuseFor, stated := idleTimeout(r.Header)
	if !open || !complete {
		_ = r.conn.abort()
		return
	}
	if r.closeRequested || reuseFor <= 0 || r.conn.reader.Buffered() > 0 {
		r.conn.tracking.CloseAnswer(!r.Unframed) // the end of an unframed response may be that of the process
		_ = r.conn.Close()
		return
	}
	r.conn.usedBefore = true
	r.conn.reuseUntil = time.Now().Add(reuseFor)
	r.conn.tracking.EndAnswer(!stated)
	r.client.pool.put(r.address, r.conn, r.maxIdle, r.question)
}

// Events returns a reader of the events of a stream, which is the body.
func (r *Response) Events() *EventReader { return NewEventReader(r.Body, r.memory) }

// ReadAll reads the body as membudget.Account.ReadAll does.
func (r *Response) ReadAll(limit int) ([]byte, bool, error) {
	return r.memory.ReadAll(r.Body, 0, limit)
}

// Drop tells that the caller no longer holds what ReadAll has returned.
func (r *Response) Drop(body []byte) { r.memory.Shrink(cap(body)) }

// TakeMemory returns the account of the memory that the response occupies, for a body that is kept when the response
// is closed. The caller must close the account.
func (r *Response) TakeMemory() *membudget.Account {
	taken := r.memory
	r.memory = nil
	return taken
}
