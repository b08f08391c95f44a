package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an answer whose head ends early and that is passed off as a whole one with an empty or short body.
func TestAnswerThatEndsInsideItsHeadIsNotPassedOffAsWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	bytesSent := make(chan int, 1)
	heads := []string{
		"HTTP/1.1 200 OK\r\n" + attemptIDHeader + ": %s\r\n" + sealHeader + ": s\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + attemptIDHeader + ": %s\r\n" + sealHeader + ": s\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\n" + attemptIDHeader + ": %s\n" + sealHeader + ": s\n\n",
	}
	head := make(chan string, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				text := fmt.Sprintf(<-head, request.Header.Get(attemptIDHeader))
				_, _ = io.WriteString(c, text[:min(<-bytesSent, len(text)-1)])
			}
			_ = c.Close()
		}
	}()
	for _, path := range []string{"/order/x", "/match/x"} {
		for _, text := range heads {
			for cut := range len(text) + 8 {
				g := newTestGateway(t, http.NotFoundHandler())
				g.members[0].Address = listener.Addr().String()
				g.fleet.SetMembers(g.members)
				head <- text
				bytesSent <- cut
				response, err := g.send(t.Context(), testRequest{path: path, body: strings.Repeat("x", 20), header: map[string]string{attemptIDHeader: "attempt-01"}})
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				assert.GreaterOrEqual(t, response.StatusCode, http.StatusInternalServerError, "%s, %d bytes of %q", path, cut, text)
				g.frontend.Close()
			}
		}
	}
}
