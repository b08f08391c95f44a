package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrUnexpectedProcess means that Request.Check did not find the expected process at the replica's address.
var ErrUnexpectedProcess = errors.New("connection is not known to lead to the expected process")

const (
	// maxCheckBytes limits the body of an answer to a check.
	maxCheckBytes = 64 << 10
	// maxChecks limits the connections that are checked for a request: the replica may close one after its answer.
	maxChecks = 2
)

// Check verifies, before a request is sent, that its connection leads to the process that the request is meant
// for. A connection leads to one process until it is closed, while another process may take over the address.
type Check struct {
	// Known reports whether a connection opened at that time is known to lead to the process. If it is not, the
	// process is asked on the connection itself.
	Known   func(openedAt time.Time) bool
	Target  string // path of the question
	Timeout time.Duration
	// Matches reports whether an answer may be that to a question: on a reused connection, an answer to an earlier
	// request may arrive first. Nil accepts every answer.
	Matches func(status int, h http.Header) bool
	// Verify reports whether the answer to a question sent at that time is that of the expected process. It is also
	// called, with status 0, if there is no answer in time.
	Verify func(askedAt time.Time, status int, body []byte) bool
	// Broken is called when the replica has closed or reset an idle connection before its time.
	Broken func()
	// Required means that the request must not be sent to any other process.
	Required bool
}

// checkResult is what a check found.
type checkResult int

const (
	noAnswer checkResult = iota
	otherProcess
	expectedProcess
)

// connectChecked returns a connection for the request, and whether it is known to lead to the process that
// Request.Check expects.
func (c *Client) connectChecked(ctx context.Context, req *Request) (connection *conn, checked bool, err error) {
	check := req.Check
	for asked := 0; ; asked++ {
		if connection, err = c.connect(ctx, req); err != nil || check == nil {
			return connection, false, err
		}
		if check.Known(connection.tracking.OpenedAt()) {
			return connection, true, nil
		}
		if asked == maxChecks || check.Timeout <= 0 {
			break
		}
		fresh := !connection.usedBefore
		result, usable := c.ask(ctx, connection, req)
		if usable && (result == expectedProcess || !check.Required) {
			return connection, result == expectedProcess, nil
		}
		_ = connection.Close()
		switch {
		case check.Required && (result == otherProcess || result == noAnswer && fresh):
			return nil, false, ErrUnexpectedProcess
		case result != expectedProcess && fresh:
			asked = maxChecks - 1 // asking again would delay the request further
		}
	}
	if check.Required {
		_ = connection.Close()
		return nil, false, ErrUnexpectedProcess
	}
	return connection, false, nil
}

// ask asks the process at the other end of a connection what Request.Check wants to know. usable reports whether
// the connection can be used for the request.
func (c *Client) ask(ctx context.Context, connection *conn, req *Request) (result checkResult, usable bool) {
	askCtx, cancel := context.WithTimeout(ctx, req.Check.Timeout)
	defer cancel()
	question := &Request{Address: req.Address, Method: http.MethodGet, Target: req.Check.Target, Host: req.Address}
	if req.Check.Matches != nil {
		question.Matches = func(status int, h http.Header, _ bool) bool { return req.Check.Matches(status, h) }
	}
	answer := &Response{client: c, address: req.Address, conn: connection, Reused: connection.usedBefore, memory: c.memory.Open(req.Address)}
	defer answer.memory.Close()
	stop := context.AfterFunc(askCtx, func() { _ = connection.abort() })
	askedAt := time.Now()
	err := answer.send(ctx, question)
	if err == nil {
		err = answer.receive(question)
	}
	var body []byte
	complete := false
	if err == nil {
		body, complete, err = answer.ReadAll(maxCheckBytes)
	}
	if !stop() || err != nil || !complete {
		if ctx.Err() == nil { // the request that needs the answer has not ended before it
			req.Check.Verify(askedAt, 0, nil)
		}
		return noAnswer, false
	}
	connection.usedBefore = true
	result = otherProcess
	if req.Check.Verify(askedAt, answer.Status, body) {
		result = expectedProcess
	}
	return result, !answer.closeRequested && !answer.Unframed && connection.reader.Buffered() == 0
}
