package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/tlsconf"
)

// answerOnce starts a service that answers one call with the text, calls end, and closes the connection in order, as
// the kernel does for a process that is killed.
func answerOnce(t *testing.T, text string, end func(net.Listener)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, text)
		end(listener)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against part of an answer without a length that is passed off as the whole answer after the process of its
// service ended, and against a whole one that is taken for a part.
func TestUnframedAnswerOfEndedServiceIsNotComplete(t *testing.T) {
	const unframed, framed = "HTTP/1.1 200 OK\r\n\r\nanswer", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
	closed := func(l net.Listener) { _ = l.Close() }
	open := func(net.Listener) {}
	sound := answerOnce(t, framed, open)
	gone := answerOnce(t, framed, open)
	for name, c := range map[string]struct {
		text     string
		end      func(net.Listener)
		others   []string
		complete bool
	}{
		"process ended":                  {unframed, closed, []string{sound}, false},
		"process ended, no other":        {unframed, closed, nil, false},
		"process ended, one of two left": {unframed, closed, []string{gone, sound}, false},
		"process lives":                  {unframed, open, []string{sound}, true},
		"all connections are refused":    {unframed, closed, []string{gone}, true},
		"with a length":                  {framed, closed, []string{sound}, true},
	} {
		t.Run(name, func(t *testing.T) {
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == gone {
					return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			client, err := NewClient(tlsconf.TransportOptions{Dial: dial}, nil)
			require.NoError(t, err)
			answer, err := client.Service(t.Context(), ServiceCall{
				Address: answerOnce(t, c.text, c.end), Method: http.MethodGet, Path: "/x", Others: func() []string { return c.others }, Repeatable: true,
			})
			if !c.complete {
				assert.True(t, errors.Is(err, ErrBroken), "%v", err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, "answer", strings.TrimSpace(string(answer.Body)))
		})
	}
}
