package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/settings"
)

// sendParts sends a request whose last byte follows when release is closed, and returns the channel of its answer.
func sendParts(t *testing.T, address, path, body string, release <-chan struct{}) chan string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nIdempotency-Key: k\r\n%s: quote\r\nContent-Length: %d\r\n\r\n%s",
		path, outcome.HeaderClass, len(body), body[:len(body)-1])
	require.NoError(t, err)
	go func() {
		<-release
		_, _ = io.WriteString(conn, body[len(body)-1:])
	}()
	answer := make(chan string, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			answer <- "no answer: " + err.Error()
			return
		}
		text, err := io.ReadAll(response.Body)
		answer <- fmt.Sprint(response.StatusCode, " ", response.Header.Get(outcome.HeaderOutcome), " ", response.Header.Get("Retry-After"), " ", string(text), err)
	}()
	return answer
}

// Guards against a stop whose drain timeout or second signal cuts requests without an answer, and against a stopping
// host that takes requests which it may not be able to finish.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	for name, s := range map[string]Settings{
		"timeout": {BalancerLag: settings.Duration(500 * time.Millisecond), DrainTimeout: settings.Duration(2 * time.Second)},
		"signal":  {BalancerLag: settings.Duration(500 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, hostOptions{orderTimeout: "15s"})
			limits := &h.server.snapshot.Load().Bundle.Limits
			limits.FrameTimeout, limits.BodyTimeout = settings.Duration(time.Minute), settings.Duration(time.Minute)
			h.play(hangAfter(2))
			h.service.play(hangAfter(0))
			h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
			p := startProgram(t, h, s)
			address := strings.TrimPrefix(p.url, "http://")
			now, late, never := make(chan struct{}), make(chan struct{}), make(chan struct{})
			close(now)
			defer close(never)
			stream := p.chat(t, h)
			plain := sendParts(t, address, "/v1/chat/completions", chatBody("m", false), now)
			order := sendParts(t, address, "/services/warehouse/orders", "{}", now)
			require.Eventually(t, func() bool { return h.calls() == 2 && h.service.count() == 1 }, patience, time.Millisecond)
			lateBody := sendParts(t, address, "/v1/chat/completions", chatBody("m", false), late)
			slowBody := sendParts(t, address, "/v1/chat/completions", chatBody("m", false), never)
			sleep(context.Background(), 100*time.Millisecond)
			p.stop()
			sleep(context.Background(), time.Second)
			if name == "timeout" {
				close(late)
				require.Regexp(t, `^503 not-run 1 .*host_stops`, <-lateBody)
			} else {
				p.force()
			}
			require.ErrorContains(t, <-p.done, "stopped with requests in progress")
			require.Regexp(t, `^504 unknown  .*host_stops`, <-plain)
			require.Regexp(t, `^504 unknown  .*host_stops`, <-order)
			require.Regexp(t, `^503 not-run 1 .*host_stops`, <-slowBody)
			_, event := streamed(<-stream)
			require.Contains(t, event, "host_stops")
			require.Equal(t, 2, h.calls())
		})
	}
}
