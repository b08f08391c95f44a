package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/scheduling/statement"
	"heatherbarrow/internal/tlsconf"
)

// Guards against a request that waited for a connection while its replica said that it takes none, and reaches it.
func TestRequestThatWaitsForConnectionIsHeld(t *testing.T) {
	var requests atomic.Int32
	rest := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		<-rest
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Retry-After", "2.5")
		w.Header().Set("Heatherbarrow-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("refused")) // without a body net/http frees the connection before the head is returned
	}))
	defer server.Close()
	client, err := NewClient(tlsconf.TransportOptions{ConnsPerHost: 1, IdlePerHost: 1}, nil)
	require.NoError(t, err)
	address := strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var held atomic.Bool
	var sent atomic.Int32
	errs := make(chan error, 10)
	call := func() {
		_, err := client.Chat(ctx, Chat{
			Address: address, RequestID: "q", FirstTimeout: 10 * time.Second, FrameTimeout: time.Second,
			OnSend: func() { sent.Add(1) }, MayStart: func() bool { return !held.Load() },
			OnStatement: func(said statement.Statement, _ []string) { held.Store(said.Rest == 2500*time.Millisecond) },
		})
		errs <- err
	}
	go call()
	require.Eventually(t, func() bool { return requests.Load() == 1 }, 10*time.Second, time.Millisecond)
	for range 9 {
		go call()
	}
	time.Sleep(50 * time.Millisecond) // they wait for the connection
	close(rest)
	refused := 0
	for range 10 {
		if err := <-errs; errors.Is(err, ErrRefused) {
			refused++
		} else {
			require.ErrorIs(t, err, ErrHeld)
		}
	}
	require.Equal(t, 1, refused)
	require.EqualValues(t, 1, requests.Load())
	require.EqualValues(t, 1, sent.Load())
	_, err = client.Service(ctx, ServiceCall{Address: address, Method: http.MethodGet, Path: "/", MayStart: func() bool { return false }})
	require.ErrorIs(t, err, ErrHeld)
	require.EqualValues(t, 1, requests.Load())
}
