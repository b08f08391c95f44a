package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/membudget"
)

// ServiceCall is one attempt of a call to a plain service.
type ServiceCall struct {
	Address    string // IP:port of the replica
	Method     string
	Path       string // percent-encoded
	Query      string // without the question mark
	Header     http.Header
	Body       []byte
	Others     func() []string // addresses of the service's other replicas; nil if there are none
	Repeatable bool            // may use a connection that served another call
	OnSend     func()          // called before the first byte may be written
	OnLimit    OnLimit
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	memory *membudget.Account // holds Body
}

// Release gives back the memory of the answer, whose body must not be used any more.
func (a *ServiceAnswer) Release() { a.memory.Close() }

// maxServiceAnswerBytes bounds the answer of a plain service, which is held in
// memory because its outcome is told before its first byte.
const maxServiceAnswerBytes = 4 << 20

// Service makes a call to a plain service and returns the whole answer. An
// answer with status 5xx or 4xx is no error. The caller must release the answer. ErrRefused means that the service
// declared that it did not run the call.
func (c *Client) Service(ctx context.Context, call ServiceCall) (*ServiceAnswer, error) {
	path, err := url.PathUnescape(call.Path)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	transport := c.once
	if call.Repeatable {
		transport = c.repeatable
	}
	answer, reused, err := c.callService(ctx, transport, &call, path)
	if reused && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
		// The replica had closed the idle connection; nothing was written to it.
		answer, _, err = c.callService(ctx, transport, &call, path)
	}
	return answer, err
}

func (c *Client) callService(ctx context.Context, transport http.RoundTripper, call *ServiceCall, path string) (*ServiceAnswer, bool, error) {
	request := &http.Request{
		Method: call.Method,
		URL:    &url.URL{Scheme: c.scheme, Host: call.Address, Path: path, RawPath: call.Path, RawQuery: call.Query},
		Header: call.Header.Clone(),
	}
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	if len(call.Body) > 0 {
		// Without GetBody net/http cannot send the request again by itself. A
		// non-repeatable call without a body relies on its new connection.
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	tracker := &sendTracker{onSend: call.OnSend}
	response, err := roundTrip(ctx, transport, request, tracker)
	if err != nil {
		return nil, tracker.reused, err
	}
	defer func() { _ = response.Body.Close() }()
	call.OnLimit.report(response.Header)
	if response.Header.Get(refusalHeader) == refusalValue {
		return nil, false, ErrRefused
	}
	answer := &ServiceAnswer{Status: response.StatusCode, Header: response.Header, memory: c.memory.Open(call.Address)}
	kept := false
	defer func() {
		if !kept {
			answer.Release()
		}
	}()
	body, complete, err := answer.memory.ReadAll(response.Body, max(int(response.ContentLength), 0), maxServiceAnswerBytes)
	if err != nil {
		return nil, false, eris.Wrap(ErrBroken, err.Error())
	}
	if !complete {
		return nil, false, ErrTooLarge
	}
	if isUnframed(response) && c.endedWithProcess(ctx, call) {
		return nil, false, eris.Wrap(ErrBroken, "answer without a length ended with its process")
	}
	answer.Body, kept = body, true
	return answer, false, nil
}

// isUnframed reports whether the body of an answer has neither a length nor chunks and ends with its connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// inspectTimeout is the time within which a live replica accepts a connection.
const inspectTimeout = 500 * time.Millisecond

// endedWithProcess reports whether an answer that ended with its connection may be incomplete, because nothing listens
// at the replica's address any more: the kernel closes the connections of a process that was killed in the same way as
// the replica does after the last byte. The refusal shows nothing if the service's other replicas refuse connections too.
func (c *Client) endedWithProcess(ctx context.Context, call *ServiceCall) bool {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	if !errors.Is(c.connect(ctx, call.Address), syscall.ECONNREFUSED) {
		return false
	}
	var others []string
	if call.Others != nil {
		others = call.Others()
	}
	for _, address := range others {
		if c.connect(ctx, address) == nil {
			return true
		}
	}
	return len(others) == 0
}

// connect reports whether a connection to an address can be opened.
func (c *Client) connect(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close() // it only served as a probe
	return nil
}
