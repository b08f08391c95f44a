package forward

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/tlsconf"
)

// mixedService answers in all ways, some of which end the connection, and closes connections that are idle for a while.
func mixedService(t *testing.T, states bool) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := func(w http.ResponseWriter, r *http.Request) {
		head := "HTTP/1.1 200 OK\r\n"
		if states {
			w.Header().Set("Heatherbarrow-Boot", "boot")
			head += "Heatherbarrow-Boot: boot\r\n"
		}
		time.Sleep(rand.N(20 * time.Millisecond))
		switch r.URL.Path {
		case "/unframed":
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, head+"\r\nans")
			time.Sleep(time.Duration(rand.N(2)) * 20 * time.Millisecond)
			_, _ = io.WriteString(c, "wer")
		case "/closing":
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "6")
			_, _ = io.WriteString(w, "answer")
		case "/nothing":
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusNoContent)
		default:
			_, _ = io.WriteString(w, "answer")
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: reservedTime + 200*time.Millisecond}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against whole answers without a length that are taken for cut beside connections that end by themselves: with their answers,
// after a time without use, or closed by this host. And against connections that are tracked for ever.
func TestSoundUnframedAnswersBesideOtherEndsAreComplete(t *testing.T) {
	const bursts, calls, maxPause = 12, 40, 600 * time.Millisecond
	for _, states := range []bool{true, false} {
		t.Run(map[bool]string{true: "states its process", false: "states nothing"}[states], func(t *testing.T) {
			t.Parallel()
			client, err := NewClient(tlsconf.TransportOptions{IdlePerHost: 16}, nil)
			require.NoError(t, err)
			addresses := []string{mixedService(t, states), mixedService(t, states), mixedService(t, states)}
			var done sync.WaitGroup
			var unframed, broken atomic.Int64
			for range bursts {
				for i := range calls {
					done.Go(func() {
						path := []string{"/unframed", "/unframed", "/closing", "/nothing", "/plain"}[rand.N(5)]
						answer, err := client.Service(t.Context(), ServiceCall{
							Address: addresses[rand.N(len(addresses))], Method: http.MethodPost, Path: path, Body: []byte("x"), Repeatable: i%2 == 0,
						})
						if path == "/unframed" {
							unframed.Add(1)
						}
						if err != nil {
							broken.Add(1)
							t.Logf("%s: %v", path, err)
							return
						}
						answer.Release()
					})
				}
				time.Sleep(rand.N(maxPause))
			}
			done.Wait()
			assert.Zero(t, broken.Load(), "of %d calls, %d without a length", bursts*calls, unframed.Load())
			t.Logf("%d of %d answers have no length", unframed.Load(), bursts*calls)
			for _, transport := range []http.RoundTripper{client.repeatable, client.once, client.process} {
				transport.(*http.Transport).CloseIdleConnections()
			}
			assert.Eventually(t, func() bool {
				client.ends.Prune(time.Now().Add(time.Hour))
				return client.ends.Addresses() == 0
			}, 10*time.Second, 10*time.Millisecond)
		})
	}
}
