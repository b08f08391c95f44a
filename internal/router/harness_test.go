package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
)

const testTokens = 5 // tokens of a whole answer

// behavior is how a replica treats one attempt.
type behavior func(w http.ResponseWriter, r *http.Request)

// replica is a scripted engine or service. Attempts beyond the script repeat
// its last behavior.
type replica struct {
	*httptest.Server
	mu       sync.Mutex
	script   []behavior
	calls    int
	canceled chan struct{} // one value for each attempt canceled by the router
}

func newReplica(t *testing.T) *replica {
	p := &replica{canceled: make(chan struct{}, 1024)}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		if len(p.script) == 0 {
			p.mu.Unlock()
			// The test has sent nothing yet. Tests of other packages may dial a port that this replica has now.
			fmt.Printf("request of another process: %s %s %v\n", r.Method, r.URL, r.Header)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		act := p.script[min(p.calls, len(p.script)-1)]
		p.calls++
		p.mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		act(w, r)
		if r.Context().Err() != nil {
			p.canceled <- struct{}{}
		}
	}))
	t.Cleanup(p.CloseClientConnections)
	return p
}

func (p *replica) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *replica) play(script ...behavior) *replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script, p.calls = script, 0
	return p
}

func writeFrame(w io.Writer, id string, index int, last bool) {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", id, index, index, finish)
}

// frames writes the frames up to position end and returns the request's id.
func frames(w http.ResponseWriter, r *http.Request, end int) string {
	id := r.Header.Get("X-Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < end; i++ {
		writeFrame(w, id, i, i == testTokens-1)
	}
	_ = http.NewResponseController(w).Flush()
	return id
}

func whole(w http.ResponseWriter, r *http.Request) {
	frames(w, r, testTokens)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.HeaderOutcome, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func status(code int) behavior {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func breakAfter(n int) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		if n > 0 {
			frames(w, r, n)
		}
		panic(http.ErrAbortHandler)
	}
}

func endAfter(n int) behavior {
	return func(w http.ResponseWriter, r *http.Request) { frames(w, r, n) }
}

func foreignAfter(n int) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		frames(w, r, n)
		writeFrame(w, "someone-else", n, false)
	}
}

func repeatAfter(n int) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		id := frames(w, r, n)
		writeFrame(w, id, n-1, false)
	}
}

func hangAfter(n int) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if n > 0 {
			frames(w, r, n)
		}
		<-r.Context().Done()
	}
}

// hangInside writes n frames and a part of the next one together, and then nothing.
func hangInside(n int) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			writeFrame(w, r.Header.Get("X-Request-Id"), i, false)
		}
		_, _ = io.WriteString(w, `data: {"id`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// fakeFeed is control on this host.
type fakeFeed struct {
	rpc.Feed
	mu       sync.Mutex
	claim    rpc.ClaimResponse
	claimErr error
	down     bool // outcomes cannot be recorded
	recorded []*rpc.OutcomeRequest
	crashes  []*rpc.CrashRequest
	answer   rpc.StoredAnswer
	lookErr  error
	reports  chan *rpc.ReportRequest
}

func (f *fakeFeed) Claim(context.Context, *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	return &f.claim, f.claimErr
}

func (f *fakeFeed) RecordOutcome(_ context.Context, r *rpc.OutcomeRequest) (*rpc.OutcomeResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, io.ErrUnexpectedEOF
	}
	f.recorded = append(f.recorded, r)
	return &rpc.OutcomeResponse{}, nil
}

func (f *fakeFeed) outcomes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, r := range f.recorded {
		out = append(out, r.Outcome)
	}
	return out
}

func (f *fakeFeed) ReportCrash(_ context.Context, r *rpc.CrashRequest) (*rpc.CrashResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, r)
	return &rpc.CrashResponse{Quarantine: []*rpc.QuarantineEntry{{Fingerprint: r.Fingerprint, CrashedReplicas: []string{r.Upstream + "/" + r.Replica}}}}, nil
}

func (f *fakeFeed) Lookup(context.Context, *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return &f.answer, f.lookErr
}

func (f *fakeFeed) Report(_ context.Context, r *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	f.reports <- r
	return &rpc.ReportResponse{}, nil
}

// host is a router in front of scripted replicas.
type host struct {
	*httptest.Server
	server  *Server
	feed    *fakeFeed
	scope   tally.TestScope
	engines [2]*replica
	service *replica
}

const testBundle = `{"format":1,"classes":[
 {"name":"quote","tier":1,"first_token_target":"10ms","answer_target":"1s","deadline":"%[1]s","retry_budget":1},
 {"name":"draft","tier":4,"first_token_target":"10s","deadline":"10m","retry_budget":1,"preemptible":true}],
 "teams":[{"name":"counter","key_hashes":["%[2]s"],"classes":["quote"],"tokens_per_second":1e6,"max_in_progress":10000},
 {"name":"other","key_hashes":["%[3]s"],"classes":["quote","draft"],"tokens_per_second":1e6,"max_in_progress":10000}],
 "upstreams":[
 {"name":"models","kind":"engine","classes":["quote","draft"],"models":["m"],"resumable":true,"slots":%[4]d,
  "replicas":[{"id":"a","address":"%[5]s","availability_zone":"z"},{"id":"b","address":"%[6]s","availability_zone":"z"}]},
 {"name":"fixed","kind":"engine","classes":["quote"],"models":["f"],"slots":%[4]d,
  "replicas":[{"id":"a","address":"%[5]s","availability_zone":"z"},{"id":"b","address":"%[6]s","availability_zone":"z"}]},
 {"name":"warehouse","kind":"service","classes":["quote"],"slots":8,"replicas":[{"id":"s","address":"%[7]s","availability_zone":"z"}]}],
 "routes":[{"upstream":"warehouse","method":"GET","path_prefix":"/stock","repeatable":true,"timeout":"1s"},
 {"upstream":"warehouse","method":"POST","path_prefix":"/orders","timeout":"%[8]s"}],
 "limits":{"max_body_bytes":65536,"body_timeout":"200ms","frame_timeout":"300ms"}}`

type hostOptions struct {
	deadline string
	// orderTimeout is the route's time for orders, 300ms when empty.
	orderTimeout string
	slots        int
	settings     Settings
}

func newHost(t *testing.T, o hostOptions) *host {
	t.Helper()
	if o.deadline == "" {
		o.deadline = "20s"
	}
	if o.orderTimeout == "" {
		o.orderTimeout = "300ms"
	}
	if o.slots == 0 {
		o.slots = 1000
	}
	h := &host{feed: &fakeFeed{reports: make(chan *rpc.ReportRequest, 16)}, scope: tally.NewTestScope("", nil), service: newReplica(t)}
	for i := range h.engines {
		h.engines[i] = newReplica(t)
	}
	address := func(r *replica) string { return strings.TrimPrefix(r.URL, "http://") }
	b, err := bundle.Parse(fmt.Appendf(nil, testBundle, o.deadline, bundle.HashKey("key"), bundle.HashKey("other-key"), o.slots,
		address(h.engines[0]), address(h.engines[1]), address(h.service), o.orderTimeout))
	require.NoError(t, err)
	client, err := forward.NewClient(tlsconf.TransportOptions{}, nil)
	require.NoError(t, err)
	o.settings.setDefaults()
	h.server = NewServer(Dependencies{
		Settings: &o.settings, Logger: zerolog.Nop(), Forward: client, Feed: h.feed, Metrics: h.scope,
		Scheduler: scheduler.New(scheduler.Options{Host: "h", AvailabilityZone: "z", Clock: clockwork.NewRealClock(), Seed: 1}),
	})
	snapshot := bundle.Compile(b, 1, "")
	h.server.snapshot.Store(snapshot)
	h.server.notReady.Store(nil)
	h.server.Scheduler.Update(snapshot, nil)
	h.Server = httptest.NewUnstartedServer(nil)
	h.Config = h.server.HTTPServer()
	h.Start()
	ctx, cancel := context.WithCancel(context.Background())
	go h.server.Tick(ctx)
	go h.server.recorder.run(ctx)
	t.Cleanup(func() {
		cancel()
		h.CloseClientConnections()
		h.Close()
	})
	return h
}

// play gives both engines the same script, counted over both.
func (h *host) play(script ...behavior) {
	var mu sync.Mutex
	next := 0
	shared := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		act := script[min(next, len(script)-1)]
		next++
		mu.Unlock()
		act(w, r)
	}
	h.engines[0].play(shared)
	h.engines[1].play(shared)
}

func (h *host) calls() int { return h.engines[0].count() + h.engines[1].count() }

func (h *host) request(t *testing.T, ctx context.Context, method, path, body string, header ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, h.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set(outcome.HeaderClass, "quote")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (h *host) send(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response, string(body)
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"hello"}]}`, model, stream)
}

func (h *host) chat(t *testing.T, model string, stream bool) (*http.Response, string) {
	t.Helper()
	return h.send(t, h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", chatBody(model, stream)))
}

// recorded returns the outcome that the host keeps for a request. It waits for
// the handler to return, because a caller may hold the whole answer before the
// outcome is recorded.
func (h *host) recorded(t *testing.T, r *http.Response) outcome.Outcome {
	t.Helper()
	require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
	record, _ := h.server.records.Get(r.Header.Get(outcome.HeaderRequestID))
	return record.Outcome
}

// streamed returns the concatenated token texts and the outcome event of a stream.
func streamed(body string) (text, event string) {
	lines := bufio.NewScanner(strings.NewReader(body))
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if n, ok := strings.CutPrefix(line, "event: "); ok {
			name = n
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case name == "outcome":
			event = data
		case data != "[DONE]":
			_, rest, _ := strings.Cut(data, `"content":"`)
			token, _, _ := strings.Cut(rest, `"`)
			text += token
		}
	}
	return text, event
}

const (
	wholeText = "t0 t1 t2 t3 t4 "
	patience  = 10 * time.Second
)

var noWait = settings.Duration(time.Millisecond)
