package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
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
	MayStart   MayStart
	OnLimit    OnLimit
	// OnStatement is called with what the head of the answer says.
	OnStatement OnStatement
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
	tracker := &sendTracker{onSend: call.OnSend, mayStart: call.MayStart, ends: &c.ends, closes: !call.Repeatable}
	response, err := roundTrip(ctx, transport, request, tracker)
	if err != nil {
		return nil, tracker.reused, err
	}
	defer func() { _ = response.Body.Close() }()
	tracker.gotHead(response)
	call.OnLimit.report(response.Header)
	call.OnStatement.report(response, false)
	if response.Header.Get(refusalHeader) == refusalValue {
		return nil, false, ErrRefused
	}
	boot := response.Header.Get(bootHeader)
	if isUnframed(response) && boot != "" {
		defer c.beside.begin(call.Address)()
	}
	answer := &ServiceAnswer{Status: response.StatusCode, Header: response.Header, memory: c.memory.Open(call.Address)}
	kept := false
	defer func() {
		if !kept {
			answer.Release()
		}
	}()
	body, complete, err := answer.memory.ReadAll(response.Body, max(int(response.ContentLength), 0), maxServiceAnswerBytes)
	endedAt := time.Now()
	if err != nil {
		return nil, false, eris.Wrap(ErrBroken, err.Error())
	}
	if !complete {
		return nil, false, ErrTooLarge
	}
	if isUnframed(response) {
		if err := tracker.connFailure(); err != nil {
			return nil, false, eris.Wrapf(ErrBroken, "connection failed within an answer without a length: %v", err)
		}
		if err := c.checkUnframed(ctx, call, &unframedEnd{conn: tracker.endTracker(), at: endedAt, boot: boot}); err != nil {
			return nil, false, err
		}
	}
	answer.Body, kept = body, true
	return answer, false, nil
}
