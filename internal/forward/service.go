package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"
)

// ServiceCall is one attempt of a call to a plain service.
type ServiceCall struct {
	Address string // IP:port of the replica
	Method  string
	Path    string // with query
	Header  http.Header
	Body    []byte
	OnSend  func() // called before the first byte may be written
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxServiceAnswerBytes bounds the answer of a plain service.
const maxServiceAnswerBytes = 16 << 20

// Service makes a call to a plain service and returns the whole answer. An
// answer with status 5xx or 4xx is no error. ErrRefused means that the service
// declared that it did not run the call.
func (c *Client) Service(ctx context.Context, call ServiceCall) (*ServiceAnswer, error) {
	tracker := &sentTracker{onSend: call.OnSend}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	request, err := http.NewRequestWithContext(ctx, call.Method, c.scheme+"://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	// net/http sends a request again on its own when it has an Idempotency-Key
	// and no body or a GetBody. A body of unknown type and no GetBody prevent it.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader(call.Body))
	request.Header = call.Header.Clone()
	response, err := c.http.Do(request)
	if err != nil {
		if !tracker.sent.Load() {
			return nil, eris.Wrap(ErrNotSent, err.Error())
		}
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(refusalHeader) == "not-run" {
		return nil, ErrRefused
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	if len(body) > maxServiceAnswerBytes {
		return nil, eris.Wrap(ErrBroken, "answer is too large")
	}
	return &ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
