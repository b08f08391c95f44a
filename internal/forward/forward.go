// Package forward sends requests to replicas over net/http and reads their
// answers frame by frame. A frame that does not belong to the request is an
// error, never data.
package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/scheduling/requestlimit"
	"heatherbarrow/internal/tlsconf"
)

// Errors of an attempt. The router turns them into outcomes.
var (
	// ErrNotSent means that no byte of the request was written to the replica.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused means that the replica refused the request before running it.
	ErrRefused = errors.New("replica refused the request")
	// ErrHeld means that MayStart did not allow the request when it had a connection. No byte of it was written.
	ErrHeld = errors.New("replica takes no requests at present")
	// ErrBroken means that the connection broke after the request was sent.
	ErrBroken = errors.New("connection to the replica broke")
	// ErrTimeout means that no frame arrived in time.
	ErrTimeout = errors.New("replica sent no frame in time")
	// ErrForeignFrame means that a frame belongs to another request or position.
	ErrForeignFrame = errors.New("frame does not belong to the request")
	// ErrForeignAnswer means that an answer belongs to another request.
	ErrForeignAnswer = errors.New("answer does not belong to the request")
	// ErrOtherVersion means that the replica's software version is not the one that began the answer.
	ErrOtherVersion = errors.New("replica has another software version than the one that began the answer")
	// ErrMissingEnd means that the stream ended without its proper end.
	ErrMissingEnd = errors.New("stream ended without its proper end")
	// ErrTooLarge means that the replica ran the request and that its answer is
	// larger than this host accepts.
	ErrTooLarge = errors.New("answer of the replica is too large")
)

const (
	maxErrorBytes = 16 << 10
	// connBufferBytes is small because each open stream holds a connection; a
	// frame has about 150 bytes.
	connBufferBytes = 2 << 10
	refusalHeader   = "Heatherbarrow-Outcome"
	refusalValue    = "not-run"
	chatPath        = "/v1/chat/completions"
	requestIDHeader = "X-Request-Id" // engines return it with the answer
	versionHeader   = "Heatherbarrow-Software-Version"
)

// StatusError is an error that the replica reported after running the request.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("replica answered with status %d", e.Status) }

// limitHeader holds the requests per second that a replica takes from all hosts together.
const limitHeader = "Heatherbarrow-Request-Limit"

// OnLimit is called with what the head of an answer says of the replica's request limit.
// invalid is the value of a limit that cannot be read; the statement then does not count.
type OnLimit func(s requestlimit.Statement, invalid string)

// report calls f with the statement of an answer. A refusal without a limit says nothing of
// one: the replica may be refusing requests because of it.
func (f OnLimit) report(h http.Header) {
	text := h.Get(limitHeader)
	if f == nil || text == "" && h.Get(refusalHeader) == refusalValue {
		return
	}
	s, ok := requestlimit.Parse(text)
	if !ok {
		f(requestlimit.Statement{}, text)
		return
	}
	f(s, "")
}

// Client sends requests to replicas.
type Client struct {
	repeatable http.RoundTripper
	once       http.RoundTripper // opens a connection for each request
	process    http.RoundTripper // asks services for their process
	questions  questions
	beside     besideQuestions
	ends       connends.Tracker // of connections to services
	memory     *membudget.Budget
	dial       func(ctx context.Context, network, address string) (net.Conn, error)
	scheme     string
}

// NewClient returns a client whose connections are made with the options. Memory is what the answers of all replicas may
// occupy together; nil sets no bound.
func NewClient(options tlsconf.TransportOptions, memory *membudget.Budget) (*Client, error) {
	connsPerHost := options.ConnsPerHost
	options.WrapConn = newCountedConn
	options.BufferBytes = connBufferBytes
	repeatable, scheme, err := newTransport(options)
	if err != nil {
		return nil, err
	}
	options.ConnsPerHost, options.IdlePerHost = maxBootConns, maxBootConns
	process, _, err := newTransport(options)
	if err != nil {
		return nil, err
	}
	options.ConnsPerHost, options.IdlePerHost = 1, 1
	var besideTransports [besideConns]http.RoundTripper
	for i := range besideTransports {
		if besideTransports[i], _, err = newTransport(options); err != nil {
			return nil, err
		}
	}
	options.ConnsPerHost, options.NoKeepAlive = connsPerHost, true
	once, _, err := newTransport(options)
	if err != nil {
		return nil, err
	}
	client := &Client{repeatable: repeatable, once: once, process: process, memory: memory, dial: once.DialContext, scheme: scheme}
	client.questions.ask = func(ctx context.Context, address string) (string, error) {
		return client.requestBoot(ctx, client.process, address)
	}
	client.beside.ask = func(ctx context.Context, conn int, address string) (string, error) {
		return client.requestBoot(ctx, besideTransports[conn], address)
	}
	return client, nil
}

// newTransport returns a transport whose connections check the heads of answers, once sendTracker.gotConn has announced one.
func newTransport(options tlsconf.TransportOptions) (*http.Transport, string, error) {
	transport, scheme, err := tlsconf.NewTransport(options)
	if err != nil {
		return nil, "", err
	}
	httphead.WrapDials(transport)
	return transport, scheme, nil
}

// Chat is one attempt of a chat completion.
type Chat struct {
	Address    string // IP:port of the replica
	RequestID  string
	Tier       int
	ResumeFrom int // tokens that the caller already has
	// SoftwareVersion is the replica's that began the answer; it applies if ResumeFrom is above 0.
	SoftwareVersion string
	Body            []byte
	FrameTimeout    time.Duration // greatest time between two frames
	FirstTimeout    time.Duration // greatest time to the first frame
	OnSend          func()        // called before the first byte may be written
	MayStart        MayStart
	OnLimit         OnLimit
	OnStatement     OnStatement
}

// Chat starts a chat completion and returns its stream. ctx cancels the
// attempt, and with it the work on the replica.
func (c *Client) Chat(ctx context.Context, call Chat) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := newStream(&call, c.memory.Open(call.Address), cancel)
	response, reused, err := c.sendChat(ctx, &call)
	if reused && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
		// The replica had closed the idle connection; nothing was written to it.
		response, _, err = c.sendChat(ctx, &call)
	}
	if err != nil {
		s.Close()
		if s.timedOut.Load() && errors.Is(err, ErrBroken) {
			return nil, ErrTimeout
		}
		return nil, err
	}
	s.SoftwareVersion = response.Header.Get(versionHeader)
	s.read(response.Body)
	if call.ResumeFrom > 0 && s.SoftwareVersion != call.SoftwareVersion {
		s.Close()
		return nil, ErrOtherVersion
	}
	return s, nil
}

func (c *Client) sendChat(ctx context.Context, call *Chat) (*http.Response, bool, error) {
	header := make(http.Header, 4)
	header["Content-Type"] = []string{"application/json"}
	header[requestIDHeader] = []string{call.RequestID}
	header["X-Priority"] = []string{strconv.Itoa(call.Tier)}
	if call.ResumeFrom > 0 {
		header["X-Resume-From"] = []string{strconv.Itoa(call.ResumeFrom)}
	}
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: c.scheme, Host: call.Address, Path: chatPath},
		Header: header,
		// Without GetBody net/http cannot send the request again by itself.
		Body:          io.NopCloser(bytes.NewReader(call.Body)),
		ContentLength: int64(len(call.Body)),
	}
	tracker := &sendTracker{onSend: call.OnSend, mayStart: call.MayStart}
	response, err := roundTrip(ctx, c.repeatable, request, tracker)
	if err != nil {
		return nil, tracker.reused, err
	}
	if isForeign(response, call.RequestID, tracker.reused) {
		_ = response.Body.Close()
		tracker.closeConn() // the real answer is still due on it
		return nil, false, ErrForeignAnswer
	}
	call.OnLimit.report(response.Header)
	call.OnStatement.report(response, true)
	if response.StatusCode == http.StatusOK {
		return response, tracker.reused, nil
	}
	return nil, false, statusError(response)
}

// isForeign reports whether an answer belongs to another request: a faulty engine may send one again on a
// kept connection. The frames of a stream are checked one by one, so only other answers need to name the
// request.
func isForeign(response *http.Response, requestID string, reused bool) bool {
	id := response.Header.Get(requestIDHeader)
	if id == "" {
		return reused && response.StatusCode != http.StatusOK
	}
	return id != requestID
}

// roundTrip does not use http.Client, which would follow redirects and so send
// a request a second time.
func roundTrip(ctx context.Context, transport http.RoundTripper, request *http.Request, tracker *sendTracker) (*http.Response, error) {
	request = request.WithContext(httptrace.WithClientTrace(ctx, tracker.trace()))
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if tracker.notSent() {
		if tracker.wasHeld() {
			return nil, ErrHeld
		}
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return nil, eris.Wrap(ErrBroken, err.Error())
}

func statusError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(refusalHeader) == refusalValue {
		return ErrRefused
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return eris.Wrap(ErrBroken, err.Error())
	}
	return &StatusError{Status: response.StatusCode, Body: body}
}
