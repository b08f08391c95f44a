package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/platform"
)

// testGateway is a gateway in front of replicas whose handlers the test supplies.
type testGateway struct {
	t        *testing.T
	server   *proxy.Server
	client   *upstream.Client
	frontend *httptest.Server
	fleet    *fleet.Fleet
	members  []fleet.Member
	table    atomic.Pointer[routing.Table]
	metrics  tally.TestScope
	origins  localOrigins
}

const (
	requestHost     = "shop.example"
	apiKey          = "counter-key"
	teamName        = "counter"
	sealHeader      = "Heatherbarrow-Server-Seal"
	attemptIDHeader = "Heatherbarrow-Attempt-Id"
)

// testConfig returns a configuration with a route of each kind to the upstream "pool".
func testConfig() routing.Config {
	targets := []routing.Target{{Upstream: "pool", Weight: 1}}
	return routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "lookup", Host: requestHost, PathPrefix: "/lookup/", Kind: routing.Idempotent, Timeout: 5 * time.Second, Target: 200 * time.Millisecond, WeightedUpstreams: targets, MaxAttempts: 2},
			{Name: "order", Host: requestHost, PathPrefix: "/order/", Kind: routing.NonIdempotent, Timeout: 5 * time.Second, Target: 200 * time.Millisecond, WeightedUpstreams: targets, MaxAttempts: 1},
			{Name: "quote", Host: requestHost, PathPrefix: "/quote/", Kind: routing.Streaming, Resumable: true, Timeout: 10 * time.Second, Target: 200 * time.Millisecond, GapTarget: 100 * time.Millisecond, WeightedUpstreams: targets, MaxAttempts: 2},
			{Name: "match", Host: requestHost, PathPrefix: "/match/", Kind: routing.Streaming, Timeout: 10 * time.Second, Target: 200 * time.Millisecond, GapTarget: 100 * time.Millisecond, WeightedUpstreams: targets, MaxAttempts: 1},
			{Name: "short", Host: requestHost, PathPrefix: "/short/", Kind: routing.NonIdempotent, Timeout: 150 * time.Millisecond, Target: 100 * time.Millisecond, WeightedUpstreams: targets, MaxAttempts: 1},
			{Name: "open", Host: requestHost, PathPrefix: "/open/", Kind: routing.Idempotent, Public: true, Timeout: 5 * time.Second, WeightedUpstreams: targets, MaxAttempts: 1},
		},
		Upstreams: []routing.Upstream{{Name: "pool"}},
		Teams:     []routing.Team{{Name: teamName, Keys: []string{apiKey}}},
		Limits:    routing.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000},
	}
}

// newTestGateway starts a gateway and a replica of the upstream "pool" for each handler.
func newTestGateway(t *testing.T, replicas ...http.Handler) *testGateway {
	t.Helper()
	g := &testGateway{t: t, origins: localOrigins{origin.NewTracker()}, metrics: tally.NewTestScope("", nil), fleet: fleet.New(fleet.Options{Zone: "a", Model: fleet.EngineModel{PrefillTokensPerMs: 36, Chunk: 2048}})}
	for i, handler := range replicas {
		s := httptest.NewServer(handler)
		t.Cleanup(s.CloseClientConnections)
		g.members = append(g.members, fleet.Member{
			ID: fmt.Sprintf("r%d", i), Upstream: "pool", Address: s.Listener.Addr().String(), Zone: "a", Slots: 8,
		})
	}
	g.fleet.SetMembers(g.members)
	g.table.Store(routing.Compile(testConfig()))
	g.restart(func(*proxy.Options) {}, (&net.Dialer{}).DialContext)
	return g
}

// restart starts the gateway's server with changed options and another way to open connections.
func (g *testGateway) restart(change func(*proxy.Options), dial upstream.Dial) {
	options := proxy.Options{
		Dialect: platform.Dialect{}, Fleet: g.fleet, Client: upstream.NewClient(dial, nil), Origins: g.origins,
		Budget: proxy.NewBudget(clockwork.NewRealClock(), time.Now().Add(-time.Minute), 0.2, 50, 1),
		Table:  g.table.Load, Known: func() bool { return g.table.Load() != nil }, Logger: zerolog.Nop(), Metrics: g.metrics,
	}
	change(&options)
	g.server, g.client = proxy.New(options), options.Client
	g.frontend = httptest.NewUnstartedServer(nil)
	g.frontend.Config = g.server.HTTPServer()
	g.frontend.Config.ErrorLog = nil
	g.frontend.Start()
	g.t.Cleanup(g.frontend.CloseClientConnections)
}

// sibling returns another host in front of the same replicas, which shares the origins of streams.
func (g *testGateway) sibling() *testGateway {
	other := &testGateway{t: g.t, origins: g.origins, members: g.members, metrics: tally.NewTestScope("", nil)}
	other.fleet = fleet.New(fleet.Options{Zone: "a", Model: fleet.EngineModel{PrefillTokensPerMs: 36, Chunk: 2048}})
	other.fleet.SetMembers(g.members)
	other.table.Store(g.table.Load())
	other.restart(func(*proxy.Options) {}, (&net.Dialer{}).DialContext)
	return other
}

// failReplica lets a request of this host fail to connect to a replica.
func (g *testGateway) failReplica(i int) {
	request := &fleet.Request{Upstream: "pool", TimeLeft: time.Minute, Urgent: true}
	for j := range g.members {
		if j != i {
			request.Exclude = append(request.Exclude, g.members[j].ID)
		}
	}
	lease, refusal := g.fleet.Pick(request, time.Now())
	require.Nil(g.t, refusal)
	lease.End(fleet.Unconnected, time.Now())
}

// localOrigins are the origins of a host without others.
type localOrigins struct{ *origin.Tracker }

func (o localOrigins) Find(_ context.Context, attemptID string, upstreams []string) (origin.Origin, error) {
	if recorded, ok := o.Recorded(origin.StreamID(attemptID)); ok {
		if !slices.Contains(upstreams, recorded.Upstream) {
			return origin.Origin{}, origin.ErrUnknown
		}
		return recorded, nil
	}
	if only, ok := o.Only(upstreams, time.Now()); ok {
		return only, nil
	}
	return origin.Origin{}, origin.ErrUnknown
}

// testRequest is a request of a caller. The default method is POST.
type testRequest struct {
	method, path, body string
	header             map[string]string
}

// send sends a request to the gateway over a new connection.
func (g *testGateway) send(ctx context.Context, req testRequest) (*http.Response, error) {
	g.t.Helper()
	method := req.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, g.frontend.URL+req.path, strings.NewReader(req.body))
	require.NoError(g.t, err)
	r.Host = requestHost
	r.Header.Set(attemptIDHeader, "attempt-1")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range req.header {
		r.Header.Set(name, value)
	}
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
}

// do sends a request and returns the status, body and header of the response.
func (g *testGateway) do(req testRequest) (int, string, http.Header) {
	g.t.Helper()
	response, err := g.send(g.t.Context(), req)
	require.NoError(g.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(g.t, err)
	return response.StatusCode, string(body), response.Header
}

// countingReplica counts the requests that it receives and keeps the latest.
type countingReplica struct {
	http.Handler
	received    atomic.Int64
	mu          sync.Mutex
	lastRequest *http.Request
}

// newReplica returns a replica that handles requests with h and returns the attempt ID of each
// request in its response.
func newReplica(h http.HandlerFunc) *countingReplica {
	replica := &countingReplica{}
	replica.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		replica.received.Add(1)
		replica.mu.Lock()
		replica.lastRequest = r.Clone(context.Background())
		replica.mu.Unlock()
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		h(w, r)
	})
	return replica
}

// setSeal sets the server seal, the header that shows that the replica itself produced the
// response.
func setSeal(w http.ResponseWriter) { w.Header().Set(sealHeader, "sealed") }

// respondWith responds with the text followed by the body of the request.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		setSeal(w)
		_, _ = io.WriteString(w, text+string(body))
	}
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseNotExecuted refuses a request as not run.
func refuseNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Heatherbarrow-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// totalReceived returns the number of requests that the replicas received in total.
func totalReceived(replicas ...*countingReplica) int64 {
	var n int64
	for _, r := range replicas {
		n += r.received.Load()
	}
	return n
}
