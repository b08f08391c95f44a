package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/settings"
)

// controlFeed gives the program its bundle once.
type controlFeed struct {
	*fakeFeed
	content []byte
	away    atomic.Bool
}

func (f *controlFeed) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if f.away.Load() {
		return nil, io.ErrUnexpectedEOF
	}
	if r.Generation > 0 {
		sleep(ctx, time.Duration(r.WaitMs)*time.Millisecond)
		return &rpc.WatchResponse{}, nil
	}
	return &rpc.WatchResponse{
		Bundle: &rpc.BundleRecord{Generation: 3, Sha256: bundle.Hash(f.content), Content: f.content},
		View:   &rpc.View{Version: 1, HostsInZone: 1},
	}, nil
}

func (f *controlFeed) Report(context.Context, *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	return &rpc.ReportResponse{}, nil
}

// runningProgram is the whole router process part on loopback.
type runningProgram struct {
	url      string
	internal string
	feed     *controlFeed
	stop     context.CancelFunc
	force    context.CancelFunc
	done     chan error
}

// freeAddresses returns n addresses that differ, because all are held until the
// last is known.
func freeAddresses(t *testing.T, n int) []string {
	var out []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		out = append(out, listener.Addr().String())
	}
	return out
}

func startProgram(t *testing.T, h *host, s Settings) *runningProgram {
	t.Helper()
	content, _, err := h.server.snapshot.Load().Bundle.Canonical()
	require.NoError(t, err)
	p := &runningProgram{feed: &controlFeed{fakeFeed: h.feed, content: content}, done: make(chan error, 1)}
	control := httptest.NewServer(rpc.NewFeedServer(p.feed))
	t.Cleanup(func() {
		control.CloseClientConnections()
		control.Close()
	})
	s.Host, s.AvailabilityZone, s.LogLevel = "h", "z", "error"
	free := freeAddresses(t, 2)
	s.Listen, s.InternalListen, s.Control = free[0], free[1], strings.TrimPrefix(control.URL, "http://")
	require.NoError(t, s.Validate())
	p.url, p.internal = "http://"+s.Listen, "http://"+s.InternalListen
	forced, force := context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(cli.WithForced(context.Background(), forced))
	p.stop, p.force = stop, force
	t.Cleanup(func() {
		stop()
		force()
	})
	go func() { p.done <- NewProgram(&s).Run(ctx) }()
	require.Eventually(t, func() bool { return p.status("/readyz") == http.StatusOK }, patience, time.Millisecond)
	return p
}

func (p *runningProgram) status(path string) int {
	response, err := http.Get(p.url + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// chat starts a stream and returns the channel of its body.
func (p *runningProgram) chat(t *testing.T, h *host) chan string {
	r := h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", chatBody("m", true))
	r.URL.Host = strings.TrimPrefix(p.url, "http://")
	result := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			result <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			body = append(body, err.Error()...)
		}
		_ = response.Body.Close()
		result <- string(body)
	}()
	return result
}

func heldStream(release <-chan struct{}) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		frames(w, r, 2)
		select {
		case <-release:
		case <-r.Context().Done():
			return
		}
		r.Header.Set("X-Resume-From", "2")
		whole(w, r)
	}
}

// Guards against a planned stop that refuses connections during the balancer's
// lag, closes a listener before the last stream ends, or cuts the stream.
func TestProgramDrains(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.server.snapshot.Load().Bundle.Limits.FrameTimeout = settings.Duration(time.Minute) // the streams are silent until released
	release := make(chan struct{})
	h.play(heldStream(release))
	p := startProgram(t, h, Settings{BalancerLag: settings.Duration(time.Second)})
	first := p.chat(t, h)
	require.Eventually(t, func() bool { return h.calls() == 1 }, patience, time.Millisecond)
	internal := rpc.NewAnswersProtobufClient(p.internal, http.DefaultClient)
	response, err := internal.Drain(context.Background(), &rpc.DrainRequest{Exit: true})
	require.NoError(t, err)
	require.EqualValues(t, 1, response.InProgress)
	_, err = internal.Drain(context.Background(), &rpc.DrainRequest{Exit: true})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.status("/readyz") == http.StatusServiceUnavailable }, patience, time.Millisecond)
	late := p.chat(t, h)
	require.Eventually(t, func() bool { return h.calls() == 2 }, patience, time.Millisecond)
	sleep(context.Background(), 1200*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, p.status("/readyz"), "the listener is open while a stream runs")
	close(release)
	for _, result := range []chan string{first, late} {
		text, event := streamed(<-result)
		require.Equal(t, wholeText, text)
		require.Contains(t, event, `"completed"`)
	}
	require.NoError(t, <-p.done)
	require.Zero(t, p.status("/readyz"))
}

// Guards against a drain that cannot be ended: by its timeout, or by a second signal.
func TestDrainIsBounded(t *testing.T) {
	for name, s := range map[string]Settings{
		"timeout": {BalancerLag: noWait, DrainTimeout: settings.Duration(100 * time.Millisecond)},
		"signal":  {BalancerLag: noWait},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, hostOptions{})
			h.play(hangAfter(2))
			h.server.snapshot.Load().Bundle.Limits.FrameTimeout = settings.Duration(time.Minute)
			p := startProgram(t, h, s)
			result := p.chat(t, h)
			require.Eventually(t, func() bool { return h.calls() == 1 }, patience, time.Millisecond)
			p.stop()
			if name == "signal" {
				p.force()
			}
			require.ErrorContains(t, <-p.done, "stopped with requests in progress")
			require.NotContains(t, <-result, "completed")
		})
	}
}

// Guards against traffic that stops while control is away, and against metrics
// that are not exposed.
func TestProgramWithoutControl(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.play(whole)
	p := startProgram(t, h, Settings{BalancerLag: noWait})
	p.feed.away.Store(true)
	_, event := streamed(<-p.chat(t, h))
	require.Contains(t, event, string(outcome.Completed))
	require.Equal(t, http.StatusOK, p.status("/readyz"))
	require.Eventually(t, func() bool {
		response, err := http.Get(p.url + "/metrics")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		text := string(body)
		for _, want := range []string{
			`heatherbarrow_requests{availability_zone="z",class="quote",host="h",outcome="completed"} 1`,
			`heatherbarrow_bundle_generation{availability_zone="z",host="h"} 3`,
			`heatherbarrow_first_token_latency_bucket{`, `heatherbarrow_queue_wait_bucket{`,
		} {
			if !strings.Contains(text, want) {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond)
}
