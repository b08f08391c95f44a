// Package forward sends requests to replicas over net/http and reads their
// answers frame by frame. A frame that does not belong to the request is an
// error, never data.
package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of an attempt. The router turns them into outcomes.
var (
	// ErrNotSent means that no byte of the request was written to the replica.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused means that the replica refused the request before running it.
	ErrRefused = errors.New("replica refused the request")
	// ErrBroken means that the connection broke after the request was sent.
	ErrBroken = errors.New("connection to the replica broke")
	// ErrTimeout means that no frame arrived in time.
	ErrTimeout = errors.New("replica sent no frame in time")
	// ErrForeignFrame means that a frame belongs to another request or position.
	ErrForeignFrame = errors.New("frame does not belong to the request")
	// ErrMissingEnd means that the stream ended without its proper end.
	ErrMissingEnd = errors.New("stream ended without its proper end")
)

const (
	maxFrameBytes  = 256 << 10
	readBufferSize = 4 << 10
	refusalHeader  = "Heatherbarrow-Outcome"
)

// StatusError is an error that the replica reported after running the request.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("replica answered with status %d", e.Status) }

// Client sends requests to replicas.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client that uses the transport. scheme is "http" or "https".
func NewClient(transport http.RoundTripper, scheme string) *Client {
	return &Client{http: &http.Client{Transport: transport}, scheme: scheme}
}

// Chat is one attempt of a chat completion.
type Chat struct {
	Address      string // IP:port of the replica
	RequestID    string
	Tier         int
	ResumeFrom   int // tokens that the caller already has
	Body         []byte
	FrameTimeout time.Duration // greatest time between two frames
	FirstTimeout time.Duration // greatest time to the first frame
	OnSend       func()        // called before the first byte may be written
}

// Frame is one event of a stream.
type Frame struct {
	Data  []byte // the JSON document; valid until the next call of Next
	Index int    // token position
	Last  bool   // the frame has a finish reason
}

// Stream is an answer in progress.
type Stream struct {
	id        string
	next      int
	body      io.ReadCloser
	reader    *bufio.Reader
	cancel    context.CancelFunc
	timer     *time.Timer
	timeout   time.Duration
	timedOut  atomic.Bool
	finished  bool
	lineBytes []byte
}

// sentTracker notes whether a byte of the request may have left this host.
type sentTracker struct {
	once   sync.Once
	sent   atomic.Bool
	onSend func()
}

func (t *sentTracker) gotConn(httptrace.GotConnInfo) {
	t.once.Do(func() {
		if t.onSend != nil {
			t.onSend()
		}
		t.sent.Store(true)
	})
}

// Chat starts a chat completion and returns its stream. ctx cancels the
// attempt, and with it the work on the replica.
func (c *Client) Chat(ctx context.Context, call Chat) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{id: call.RequestID, next: call.ResumeFrom, cancel: cancel, timeout: call.FrameTimeout}
	s.timer = time.AfterFunc(call.FirstTimeout, func() {
		s.timedOut.Store(true)
		cancel()
	})
	response, err := c.send(ctx, call)
	if err != nil {
		s.Close()
		if s.timedOut.Load() && !errors.Is(err, ErrNotSent) {
			return nil, ErrTimeout
		}
		return nil, err
	}
	s.body = response.Body
	s.reader = bufio.NewReaderSize(response.Body, readBufferSize)
	return s, nil
}

func (c *Client) send(ctx context.Context, call Chat) (*http.Response, error) {
	tracker := &sentTracker{onSend: call.OnSend}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	url := c.scheme + "://" + call.Address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	// GetBody would let net/http send the request again on a new connection,
	// which must be this package's caller's decision.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", call.RequestID)
	request.Header.Set("X-Priority", strconv.Itoa(call.Tier))
	if call.ResumeFrom > 0 {
		request.Header.Set("X-Resume-From", strconv.Itoa(call.ResumeFrom))
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !tracker.sent.Load() {
			return nil, eris.Wrap(ErrNotSent, err.Error())
		}
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	return nil, statusError(response)
}

func statusError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxFrameBytes))
	if response.Header.Get(refusalHeader) == "not-run" {
		return ErrRefused
	}
	return &StatusError{Status: response.StatusCode, Body: body}
}

// chunk is the part of a frame that is checked.
type chunk struct {
	ID      string `json:"id"`
	Index   *int   `json:"index"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Next returns the next frame. It returns io.EOF after the proper end of the stream.
func (s *Stream) Next() (Frame, error) {
	data, err := s.nextData()
	if err != nil {
		return Frame{}, s.readError(err)
	}
	s.timer.Reset(s.timeout)
	if !bytes.Equal(data, []byte("[DONE]")) {
		return s.check(data)
	}
	if !s.finished {
		return Frame{}, ErrMissingEnd
	}
	return Frame{}, io.EOF
}

func (s *Stream) check(data []byte) (Frame, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Frame{}, eris.Wrap(ErrForeignFrame, err.Error())
	}
	if c.ID != s.id {
		return Frame{}, eris.Wrapf(ErrForeignFrame, "frame of request %q", c.ID)
	}
	if c.Index == nil || *c.Index != s.next || s.finished {
		return Frame{}, eris.Wrapf(ErrForeignFrame, "frame is not at position %d", s.next)
	}
	s.next++
	f := Frame{Data: data, Index: *c.Index}
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		f.Last = true
		s.finished = true
	}
	return f, nil
}

func (s *Stream) readError(err error) error {
	switch {
	case s.timedOut.Load():
		return ErrTimeout
	case errors.Is(err, io.EOF):
		return ErrMissingEnd
	case errors.Is(err, bufio.ErrBufferFull):
		return eris.Wrap(ErrForeignFrame, "frame is too large")
	default:
		return eris.Wrap(ErrBroken, err.Error())
	}
}

// nextData returns the data of the next event. Events of the engines have one
// data line each; other fields and comments are passed over.
func (s *Stream) nextData() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	s.lineBytes = append(s.lineBytes[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.lineBytes) > maxFrameBytes {
			return nil, err
		}
		line, err = s.reader.ReadSlice('\n')
		s.lineBytes = append(s.lineBytes, line...)
	}
	return s.lineBytes, err
}

// Buffered tells whether more of the stream than the end of the last event has
// arrived, so that it is worth reading on before flushing.
func (s *Stream) Buffered() bool {
	pending, _ := s.reader.Peek(s.reader.Buffered())
	return len(bytes.TrimLeft(pending, "\r\n")) > 0
}

// Position returns the position of the next frame.
func (s *Stream) Position() int { return s.next }

// Close ends the attempt; work still running on the replica is canceled.
func (s *Stream) Close() {
	s.timer.Stop()
	s.cancel()
	if s.body != nil {
		_ = s.body.Close()
	}
}
