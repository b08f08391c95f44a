package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/proxy"
)

// refusalStatuses tell callers that a request has not run.
var refusalStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// afterRun are the forms in which a replica answers a request that it has run.
var afterRun = map[string]func(w http.ResponseWriter, status int){
	"with a length": func(w http.ResponseWriter, status int) {
		setSeal(w)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "printer is away\n")
	},
	"in chunks": func(w http.ResponseWriter, status int) {
		setSeal(w)
		w.WriteHeader(status)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "printer is away\n")
	},
	"with a retry time": func(w http.ResponseWriter, status int) {
		setSeal(w)
		w.Header().Set("Retry-After", "0.01")
		w.WriteHeader(status)
	},
	"as events": func(w http.ResponseWriter, status int) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, eventsText(3))
	},
	"too long to be buffered": func(w http.ResponseWriter, status int) {
		setSeal(w)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", 2<<20))
	},
	"broken off": func(w http.ResponseWriter, status int) {
		setSeal(w)
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"without the seal": func(w http.ResponseWriter, status int) { w.WriteHeader(status) },
}

// Guards against an order that has run and that its caller places again, as a replica's 408, 421, 429 or 503 which does not say
// "not executed" is forwarded: to callers these promise that the request has not run.
func TestRefusalWithoutProofIsNotForwarded(t *testing.T) {
	for form, answer := range afterRun {
		for _, status := range refusalStatuses {
			if status == http.StatusMisdirectedRequest && form == "without the seal" {
				continue // of another process, see TestMisdirectedRequestIsRetriedElsewhere
			}
			for _, delegated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/delegated=%t", form, status, delegated), func(t *testing.T) {
					t.Parallel()
					run := func(w http.ResponseWriter, _ *http.Request) { answer(w, status) }
					replicas := []*countingReplica{newReplica(run), newReplica(run), newReplica(run)}
					g := gatewayFor(t, delegated, []http.Handler{replicas[0], replicas[1], replicas[2]})
					for i, path := range []string{"/order/1", "/match/1"} {
						got, _, header := g.do(testRequest{path: path, body: "order", header: promptHeader})
						assert.Equal(t, http.StatusBadGateway, got, path)
						assert.Empty(t, header.Get(sealHeader), path)
						assert.Empty(t, header.Get("Retry-After"), path)
						assert.EqualValues(t, i+1, totalReceived(replicas...), path)
					}
					assert.Empty(t, g.server.Refusals(), "counted as not run")
				})
			}
		}
	}
}

// Guards against a request that may be repeated and loses a replica's own failure, or the other replica that may serve it, because
// its failure does not prove that it has not run.
func TestRefusalWithoutProofOfRepeatableRequestIsForwarded(t *testing.T) {
	for _, status := range refusalStatuses {
		run := func(w http.ResponseWriter, _ *http.Request) { afterRun["with a length"](w, status) }
		g := newTestGateway(t, newReplica(run))
		got, body, header := g.do(testRequest{path: "/lookup/1"})
		assert.Equal(t, status, got)
		assert.Equal(t, "printer is away\n", body)
		assert.NotEmpty(t, header.Get(sealHeader))
		if status != http.StatusServiceUnavailable && status != http.StatusMisdirectedRequest {
			continue
		}
		g = newTestGateway(t, newReplica(run), newReplica(respondWith("served")))
		for range 4 {
			got, _, _ = g.do(testRequest{path: "/lookup/1"})
			assert.Equal(t, http.StatusOK, got, status)
		}
	}
}

// Guards against an order that runs twice, or is refused though it has run, because a helper of an earlier build passes a replica's
// answer on as it is: it differs from the helper's own refusal.
func TestRefusalWithoutProofOfHelperOfAnEarlierBuildIsNotForwarded(t *testing.T) {
	for name, mark := range map[string]func(h http.Header){
		"tells its runs":     func(h http.Header) { h.Set("Heatherbarrow-Ran", url.Values{"ran": {"r0"}}.Encode()) },
		"tells no runs":      func(h http.Header) { h.Set(attemptIDHeader, "attempt-1") },
		"passes the seal on": func(h http.Header) { h.Set(sealHeader, "sealed") },
	} {
		for _, status := range refusalStatuses {
			g := newTestGateway(t, newReplica(respondWith("a")), newReplica(respondWith("b")), newReplica(respondWith("c")))
			links := &cutLinks{open: make(chan net.Conn, 1000)}
			hosts := g.addHelpers(links, g.sibling(), g.sibling())
			offered := 0
			for i := range hosts.addresses {
				earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					offered++
					mark(w.Header())
					w.WriteHeader(status)
				}))
				t.Cleanup(earlier.Close)
				hosts.addresses[i] = earlier.Listener.Addr().String()
			}
			links.begin(refuses)
			got, _, header := g.do(testRequest{path: "/order/1", body: "order"})
			assert.Equal(t, http.StatusBadGateway, got, "%s, %d", name, status)
			assert.Empty(t, header.Get(sealHeader))
			assert.Equal(t, 1, offered)
			assert.Empty(t, g.server.Refusals())
		}
	}
}

// Guards against an order that is not answered as refused, and so not placed again, although no replica ran it: a helper's own
// refusal is passed on.
func TestRefusalOfHelperIsForwarded(t *testing.T) {
	g, _ := cutOffGateway(t, newReplica(refuseNotExecuted), newReplica(refuseNotExecuted), newReplica(refuseNotExecuted))
	status, _, header := g.do(testRequest{path: "/order/1", body: "order"})
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.NotEmpty(t, header.Get("Retry-After"))
}

// Guards against a log line or counter that calls an order refused although it may have run.
func TestRefusalWithoutProofIsReported(t *testing.T) {
	var log strings.Builder
	g := newTestGateway(t, newReplica(func(w http.ResponseWriter, _ *http.Request) {
		afterRun["with a length"](w, http.StatusServiceUnavailable)
	}))
	g.restart(func(o *proxy.Options) { o.Logger = zerolog.New(&log) }, (&net.Dialer{}).DialContext)
	_, body, _ := g.do(testRequest{path: "/order/1", body: "order"})
	assert.Equal(t, "refusal_unproven\n", body)
	g.frontend.Close()
	assert.Contains(t, log.String(), `"outcome":"unknown","status":502`)
	assert.Contains(t, log.String(), `"reason":"refusal_unproven"`)
	assert.Contains(t, log.String(), "replica's refusal does not say that the request has not run")
	assert.EqualValues(t, 1, g.metrics.Snapshot().Counters()["unproven_refusals+"].Value())
}
