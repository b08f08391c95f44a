package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startEngine(t *testing.T) (*Server, string) {
	t.Helper()
	s := New(Options{Models: []string{"m"}, Slots: 4, StepTime: time.Millisecond, TokensPerStep: 4, PrefillTokens: 1 << 20, ChecksFencing: true})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

func post(t *testing.T, url, id, prompt string) (int, string, error) {
	t.Helper()
	body := `{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}]}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against a stand-in whose answers do not follow the documented protocol.
func TestAnswerHasAllFramesAndAnEnd(t *testing.T) {
	s, url := startEngine(t)
	status, body, err := post(t, url, "r1", "[length=5] hello")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	for i := range 5 {
		require.Contains(t, body, Token("r1", i))
	}
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	require.Equal(t, 1, s.Counts().Requests["r1"])
}

// Guards against faults that do not show as the caller of an engine sees them.
func TestFaultSwitches(t *testing.T) {
	s, url := startEngine(t)
	s.SetFaults(Faults{Refuse: true})
	status, _, err := post(t, url, "r1", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Zero(t, s.Counts().Requests["r1"], "a refused request must not count as run")

	s.SetFaults(Faults{CutAfter: 2})
	_, _, err = post(t, url, "r2", "[length=9]")
	require.Error(t, err)

	s.SetFaults(Faults{EndAfter: 2})
	_, body, err := post(t, url, "r3", "[length=9]")
	require.NoError(t, err)
	require.NotContains(t, body, "[DONE]")

	s.SetFaults(Faults{CrashOn: "poison"})
	_, _, err = post(t, url, "r4", "[length=5000] poison")
	require.Error(t, err)
	require.Equal(t, 1, s.Counts().Crashes)
}

// Guards against placement orders with a stale fencing token being obeyed by an
// engine that checks it.
func TestStaleFencingTokenIsRefused(t *testing.T) {
	s, url := startEngine(t)
	send := func(o Order) int {
		data, err := json.Marshal(o)
		require.NoError(t, err)
		response, err := http.Post(url+"/v1/orders", "application/json", strings.NewReader(string(data)))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusAccepted, send(Order{Order: "load", Model: "n", FencingToken: 5}))
	require.Equal(t, http.StatusConflict, send(Order{Order: "unload", Model: "m", FencingToken: 4}))
	require.Equal(t, http.StatusOK, send(Order{Order: "unload", Model: "m", FencingToken: 6}))
	require.Len(t, s.Orders(), 3)
}

// Guards against cache events that hide a gap, and against a cache that never hits.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(4, 1)
	text := strings.Repeat("a", 600)
	require.Zero(t, c.use(text))
	require.Equal(t, 600, c.use(text))
	require.Equal(t, 512, c.use(text[:512]+"b"))
	require.Equal(t, "stored", c.events[0].Kind)
	c.dropEvery = 1
	before := c.sequence
	c.use("another")
	require.Greater(t, c.sequence, before)
	require.Less(t, c.events[len(c.events)-1].Sequence, c.sequence)
}

// Guards against a stand-in that does not state its process, that it leaves or a time to rest as the protocol describes.
func TestEngineStatesItsProcess(t *testing.T) {
	s, url := startEngine(t)
	s.SetFaults(Faults{Refuse: true, RestSeconds: 3, Leaving: true})
	question, err := http.Head(url + "/heatherbarrow/boot")
	require.NoError(t, err)
	require.NoError(t, question.Body.Close())
	response, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m"}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.NotEmpty(t, question.Header.Get("Heatherbarrow-Boot"))
	require.Equal(t, question.Header.Get("Heatherbarrow-Boot"), response.Header.Get("Heatherbarrow-Boot"))
	require.Equal(t, "1", response.Header.Get("Heatherbarrow-Leaving"))
	require.Equal(t, "3", response.Header.Get("Retry-After"))
	require.Equal(t, "not-run", response.Header.Get("Heatherbarrow-Outcome"))
}
