package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/routing"
)

// setVersions gives the replicas software versions, in order.
func (g *testGateway) setVersions(versions ...string) {
	inUse := map[origin.Origin]bool{}
	for i, version := range versions {
		g.members[i].SoftwareVersion = version
		inUse[origin.Origin{Upstream: "pool", Version: version}] = true
	}
	g.fleet.SetMembers(g.members)
	g.origins.SetInUse(inUse, time.Now())
	g.origins.AddEarlier(nil, true, time.Now())
}

// takeUp requests the rest of a stream.
func (g *testGateway) takeUp(first, after string) (int, string, http.Header) {
	return g.do(testRequest{path: "/quote/1", header: map[string]string{"Resumes": first, "Last-Event-Id": after}})
}

// Guards against an answer that goes on at a replica of another software version after a break.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for range 4 {
		var received [4]*countingReplica
		for i := range received {
			received[i] = newReplica(events("a", 8, 3))
		}
		g := newTestGateway(t, received[0], received[1], received[2], received[3])
		g.setVersions("v1", "v2", "v1", "v2")
		status, body, _ := g.do(testRequest{path: "/quote/1"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, eventsText(8), body)
		v1, v2 := totalReceived(received[0], received[2]), totalReceived(received[1], received[3])
		assert.EqualValues(t, 2, max(v1, v2))
		assert.Zero(t, min(v1, v2))
	}
}

// Guards against an answer that ends as complete, or goes on elsewhere, when the last replica of its
// software version breaks off.
func TestStreamBreaksOffWithTheLastReplicaOfItsVersion(t *testing.T) {
	for range 4 {
		g := newTestGateway(t, newReplica(events("a", 8, 3)), newReplica(events("b", 8, 3)))
		g.setVersions("v1", "v2")
		response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Error(t, err)
		assert.Equal(t, eventsText(3), string(body))
	}
}

// Guards against a stalled stream that is canceled although no replica of its software version can
// continue it.
func TestStalledStreamIsNotCanceledForAnotherVersion(t *testing.T) {
	stalled := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 4 {
			if i == 2 {
				time.Sleep(1500 * time.Millisecond)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
	g := newTestGateway(t, newReplica(stalled), newReplica(stalled))
	g.setVersions("v1", "v2")
	status, body, _ := g.do(testRequest{path: "/quote/1"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventsText(4), body)
}

// Guards against a stream that its caller takes up at another software version, and against the refusal of
// one whose version serves.
func TestCallerTakesStreamUpAtItsSoftwareVersion(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, -1)), newReplica(events("b", 8, -1)), newReplica(events("b", 8, -1)))
	g.setVersions("v1", "v2", "v2")
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
	for range 8 {
		status, body, header := g.takeUp("began", "4")
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, strings.TrimPrefix(eventsText(8), eventsText(5)), body)
		assert.Equal(t, "a", header.Get("Served-By"))
	}
	status, _, header := g.takeUp("unheard", "4")
	assert.Equal(t, http.StatusServiceUnavailable, status, "nobody knows the version")
	assert.Empty(t, header.Get("Retry-After"), "it cannot go on later either")
	g.origins.Record("left", origin.Origin{Upstream: "pool", Version: "v0"}, time.Now())
	status, _, header = g.takeUp("left", "4")
	assert.Equal(t, http.StatusServiceUnavailable, status, "no replica of the version is left")
	assert.NotEmpty(t, header.Get("Retry-After"))
	g.origins.Record("moved", origin.Origin{Upstream: "other", Version: "v1"}, time.Now())
	status, _, _ = g.takeUp("left", "4")
	assert.Equal(t, http.StatusServiceUnavailable, status, "the route does not lead to its upstream")
}

// Guards against a stream that is refused although its upstream has had a single software version.
func TestCallerTakesStreamUpWhereThereIsOneVersion(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, -1)), newReplica(events("a", 8, -1)))
	g.setVersions("v1", "v1")
	status, body, _ := g.takeUp("unheard", "4")
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, strings.TrimPrefix(eventsText(8), eventsText(5)), body)
}

// Guards against repeated or missing events after those that the caller has, when a replica does not
// heed the position.
func TestFirstEventFollowsTheCallersLast(t *testing.T) {
	fromTheStart := func(w http.ResponseWriter, _ *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventsText(8))
	}
	g := newTestGateway(t, newReplica(fromTheStart))
	g.setVersions("v1")
	status, _, _ := g.takeUp("unheard", "4")
	assert.Equal(t, http.StatusBadGateway, status)
	g = newTestGateway(t, newReplica(fromTheStart), newReplica(events("b", 8, -1)))
	g.setVersions("v1", "v1")
	for range 4 {
		status, body, _ := g.takeUp("unheard", "4")
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, strings.TrimPrefix(eventsText(8), eventsText(5)), body)
	}
}

// Guards against a failure for a caller that has all events but not the end, and against a success when the
// connection of a replica ended without an event and without a sign that it was the end.
func TestContinuationWithoutEvents(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, -1)))
	g.setVersions("v1")
	status, body, header := g.takeUp("unheard", "7")
	assert.Equal(t, http.StatusOK, status)
	assert.Empty(t, body)
	assert.NotEmpty(t, header.Get(sealHeader))
	g = newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
			attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader)
		_ = c.Close()
	}))
	g.setVersions("v1")
	status, _, _ = g.takeUp("unheard", "7")
	assert.Equal(t, http.StatusBadGateway, status)
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends as complete
// with it, when the replica that is to continue it answers with an error of any form.
func TestErrorOfContinuationStaysOutOfTheStream(t *testing.T) {
	const text = "error-text"
	asEvents := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, body)
		}
	}
	for name, failing := range map[string]http.HandlerFunc{
		"status 500": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, text)
		},
		"events with status 500": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "id: 3\ndata: "+text+"\n\n")
		},
		"status 400": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, text)
		},
		"plain success": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			_, _ = io.WriteString(w, text)
		},
		"long plain success": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			_, _ = io.WriteString(w, strings.Repeat(text, 200_000))
		},
		"refusal":               func(w http.ResponseWriter, r *http.Request) { refuseNotExecuted(w, r) },
		"event without ID":      asEvents("data: " + text + "\n\n"),
		"head as an event":      asEvents("HTTP/1.1 500 Internal Server Error\nServer: x\n\n" + text + "\n\n"),
		"event with an odd ID":  asEvents("id: x\ndata: " + text + "\n\n"),
		"comment with an error": asEvents(": \n\ndata: " + text),
	} {
		first := func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, eventsText(3))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		begun := false
		replica := func(w http.ResponseWriter, r *http.Request) {
			if !begun {
				begun = true
				first(w, r)
			}
			failing(w, r)
		}
		g := newTestGateway(t, newReplica(replica), newReplica(replica))
		g.setVersions("v1", "v1")
		response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
		require.NoError(t, err, name)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Error(t, err, "%s: the stream must not look complete", name)
		assert.NotContains(t, string(body), text, name)
		assert.True(t, strings.HasPrefix(string(body), eventsText(3)), name)
		assert.Empty(t, strings.Trim(strings.TrimPrefix(string(body), eventsText(3)), ": \n"), name)
	}
}

// Guards against events that are repeated from the start where the replica gives them no IDs.
func TestStreamWithoutEventIDsIsNotContinued(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: a\n\ndata: b\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	g := newTestGateway(t, newReplica(broken), newReplica(broken))
	response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.Error(t, err)
	assert.Equal(t, "data: a\n\ndata: b\n\n", string(body))
}

// Guards against a refusal as not run that a faulty replica sends once more on a kept connection: as the
// answer to another request, or to the same one when the caller sends it again.
func TestRefusalSentAgainIsNotTaken(t *testing.T) {
	for _, second := range []string{"second", "first"} {
		refusedOn := "" // the connection of the first request
		replica := newReplica(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(attemptIDHeader)
			if refusedOn == "" {
				refusedOn = r.RemoteAddr
				w.Header().Set(attemptIDHeader, id)
				refuseNotExecuted(w, r)
				return
			}
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if r.RemoteAddr == refusedOn {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: first\r\nHeatherbarrow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attemptIDHeader)
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 3\r\n\r\nran", attemptIDHeader, id, sealHeader)
		})
		g := newTestGateway(t, replica)
		send := func(id string) (int, string) {
			status, body, _ := g.do(testRequest{path: "/lookup/1", header: map[string]string{attemptIDHeader: id}})
			return status, body
		}
		status, _ := send("first")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		status, body := send(second)
		assert.Equal(t, http.StatusOK, status, second)
		assert.Equal(t, "ran", body)
	}
}

// Guards against a stream that goes on at an upstream which the configuration in force gives no requests of its route
// any more.
func TestStreamIsNotTakenUpAtUpstreamWithoutWeight(t *testing.T) {
	replica := newReplica(events("a", 8, -1))
	g := newTestGateway(t, replica)
	g.setVersions("v1")
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
	for _, weight := range []int{1, 0} {
		config := testConfig()
		for i := range config.Routes {
			config.Routes[i].WeightedUpstreams = []routing.Target{{Upstream: "pool", Weight: weight}, {Upstream: "other", Weight: 9}}
		}
		g.table.Store(routing.Compile(config))
		status, _, _ := g.takeUp("began", "4")
		if weight > 0 {
			assert.Equal(t, http.StatusOK, status)
		} else {
			assert.Equal(t, http.StatusServiceUnavailable, status)
		}
	}
	assert.EqualValues(t, 1, replica.received.Load())
}
