package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/tlsconf"
)

// startPausing starts a replica that sends the text, pauses and keeps the connection. It returns its address.
func startPausing(t *testing.T, text string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against answers of a faulty replica that together occupy more than the memory set aside for answers, against a
// long answer of a sound one that fails beside them, and against memory that is not given back.
func TestAnswersOfFloodingReplicaLeaveRoomForOthers(t *testing.T) {
	const limit, answers = 4 << 20, 24
	long := strings.Repeat("y", 900<<10)
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }))
	t.Cleanup(sound.Close)
	for name, flood := range map[string]string{"frame": "data: " + strings.Repeat("x", 200<<10), "answer": strings.Repeat("x", 900<<10)} {
		t.Run(name, func(t *testing.T) {
			memory := membudget.New(limit, 1)
			client, err := NewClient(tlsconf.TransportOptions{}, memory)
			require.NoError(t, err)
			address := startPausing(t, flood)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, answers)
			for range answers {
				go func() {
					if name == "answer" {
						_, err := client.Service(ctx, ServiceCall{Address: address, Method: http.MethodGet, Path: "/x", Repeatable: true})
						ended <- err
						return
					}
					stream, err := client.Chat(ctx, Chat{Address: address, RequestID: "id", FirstTimeout: patience, FrameTimeout: patience})
					if err == nil {
						_, err = stream.Next()
						stream.Close()
					}
					ended <- err
				}()
			}
			require.ErrorIs(t, <-ended, ErrBroken)
			require.Eventually(t, func() bool { return memory.Held() > limit/4 }, patience, time.Millisecond)
			answer, err := client.Service(ctx, ServiceCall{Address: strings.TrimPrefix(sound.URL, "http://"), Method: http.MethodGet, Path: "/x", Repeatable: true})
			require.NoError(t, err)
			assert.Len(t, answer.Body, len(long))
			assert.LessOrEqual(t, memory.Held(), limit)
			answer.Release()
			assert.LessOrEqual(t, memory.Held(), limit/2)
			cancel()
			for range answers - 1 {
				require.Error(t, <-ended)
			}
			assert.Zero(t, memory.Held())
		})
	}
}

// Guards against a head without end that is kept up to the 10 MB that net/http reads.
func TestHeadOfAnswerIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Filler", strings.Repeat("x", 100<<10))
	}))
	t.Cleanup(server.Close)
	_, err := newTestClient(t).Service(t.Context(), ServiceCall{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: "/x"})
	assert.ErrorIs(t, err, ErrBroken)
}
