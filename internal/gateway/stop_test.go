package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

const (
	// stopGrace is the grace period of the hosts that stop in tests.
	stopGrace = 6 * time.Second
	// neverRead is the time of a body that does not end.
	neverRead = time.Hour
)

// workReplica serves a request for as long as its path says, such as /once/id/2000, in milliseconds. Streams
// have a first event at once and the last one when the time is over.
type workReplica struct {
	mu        sync.Mutex
	runs      map[string]int
	deadlines map[string]time.Duration // handed on with each request
}

func (r *workReplica) serve(w http.ResponseWriter, q *http.Request) {
	id, path := q.Header.Get("Heatherbarrow-Attempt-Id"), strings.Split(q.URL.Path, "/")
	_, _ = io.Copy(io.Discard, q.Body)
	work, _ := strconv.Atoi(path[len(path)-1])
	left, _ := strconv.Atoi(q.Header.Get("Heatherbarrow-Deadline-Ms"))
	r.mu.Lock()
	r.runs[id]++
	r.deadlines[id] = time.Duration(left) * time.Millisecond
	r.mu.Unlock()
	w.Header().Set("Heatherbarrow-Attempt-Id", id)
	w.Header().Set("Heatherbarrow-Server-Seal", "s")
	if path[1] == "events" {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
		_, _ = io.WriteString(w, "id: 1\ndata: b\n\n")
	case <-q.Context().Done():
	}
}

func (r *workReplica) ran(id string) (runs int, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id], r.deadlines[id]
}

func startStoppingGateway(t *testing.T, r *workReplica) *testGateway {
	t.Helper()
	g := startGatewayWith(t, func(g *testGateway) { g.GraceSeconds, g.BalancerLag = stopGrace.Seconds(), 0 }, r.serve)
	// A service of its own has latencies of its own, by which a request with little time may be refused.
	member := maps.Clone(g.store.Spec(platform.KindMembers, "i-1").(map[string]any))
	member["service"] = "other"
	g.store.Put(platform.KindMembers, "i-2", member)
	g.putRoutes(t, 1, "once", "again", "events", "other")
	require.Eventually(t, g.isReady, 20*time.Second, 5*time.Millisecond)
	return g
}

// putRoutes stores a configuration with the named ones of the routes once, again, events and other.
func (g *testGateway) putRoutes(t *testing.T, version int, names ...string) {
	t.Helper()
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": g.host(), "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 20000, "goalMs": 400, "service": service,
			"maxAttempts": 2, "resumable": resumable, "public": true,
		}
	}
	all := map[string]map[string]any{
		"once": route("once", "non_idempotent", "pool", false), "again": route("again", "idempotent", "pool", false),
		"events": route("events", "streaming", "pool", true), "other": route("other", "non_idempotent", "other", false),
	}
	var routes []map[string]any
	for _, name := range names {
		routes = append(routes, all[name])
	}
	config, err := json.Marshal(map[string]any{
		"version": version, "services": []any{map[string]any{"name": "pool"}, map[string]any{"name": "other"}}, "routes": routes,
		"limits": map[string]any{"idleTimeoutMs": 15000 - 14000*(version-1)},
	})
	require.NoError(t, err)
	g.store.Put(platform.KindConfig, platform.NameConfig, json.RawMessage(config))
}

// stopCase is a request around a stop. Times are since SIGTERM.
type stopCase struct {
	name     string
	path     string
	header   string
	sent     time.Duration // when the head is sent
	read     time.Duration // when the last byte of the body is sent
	statuses []int         // of the answer; 0 for a connection that is closed without one
	broken   bool          // a stream that breaks off
	notRun   bool
	maxTime  time.Duration // from the last byte to the answer; 0 for no bound
}

// stopAnswer is what a caller sees.
type stopAnswer struct {
	status  int
	header  http.Header
	body    string
	err     error // while the body was read
	at, end time.Time
}

// send plays a case on a connection that is open before the stop.
func (c *stopCase) send(conn net.Conn, in *bufio.Reader, host string, stopped time.Time) stopAnswer {
	time.Sleep(time.Until(stopped.Add(c.sent)))
	const body = "0123456789"
	answers := make(chan stopAnswer, 1)
	go func() {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			answers <- stopAnswer{err: err, end: time.Now()}
			return
		}
		at := time.Now()
		text, err := io.ReadAll(response.Body)
		answers <- stopAnswer{status: response.StatusCode, header: response.Header, body: string(text), err: err, at: at, end: time.Now()}
	}()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", c.path, host, c.id(), c.header, len(body), body[1:])
	if c.read < neverRead {
		time.Sleep(time.Until(stopped.Add(c.read)))
		_, _ = io.WriteString(conn, body[:1])
	}
	return <-answers
}

func (c *stopCase) id() string { return strings.ReplaceAll(c.name, " ", "-") }

// Guards against a host that takes requests which it cannot finish before it ends and then cuts them without an
// answer, among them requests that may not be repeated (LOST, reported by operators for planned stops).
func TestStoppingHostAnswersEachRequest(t *testing.T) {
	replica := &workReplica{runs: make(map[string]int), deadlines: make(map[string]time.Duration)}
	g := startStoppingGateway(t, replica)
	ok, refused, unknown := []int{http.StatusOK}, []int{http.StatusServiceUnavailable}, []int{http.StatusGatewayTimeout}
	before, at := -time.Second/2, func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	const shortLimit, takesUp = "Heatherbarrow-Deadline-Ms: 4500\r\n", "Last-Event-Id: 0\r\nResumes: stream-before-the-stop\r\n"
	cases := []stopCase{
		{name: "runs since before the stop", path: "/once/2000", sent: before, read: before, statuses: ok},
		{name: "outlasts the host", path: "/once/20000", sent: before, read: before, statuses: unknown},
		{name: "repeatable one outlasts the host", path: "/again/20000", sent: before, read: before, statuses: unknown},
		{name: "early body", path: "/once/2000", sent: before, read: at(2), statuses: ok},
		{name: "early body outlasts the host", path: "/once/20000", sent: before, read: at(2), statuses: unknown},
		{name: "repeatable late body", path: "/again/2000", sent: before, read: at(4), statuses: refused, notRun: true},
		{name: "late body with a short limit", path: "/other/500", header: shortLimit, sent: before, read: at(3), statuses: ok},
		{name: "late body past its limit", path: "/once/5000", header: shortLimit, sent: before, read: at(3), statuses: slices.Concat(unknown, refused)},
		{name: "body without end", path: "/once/0", sent: before, read: neverRead, statuses: refused, notRun: true},
		{name: "stream before the stop", path: "/events/1000", sent: before, read: before, statuses: ok},
		{name: "stream outlasts the host", path: "/events/20000", sent: before, read: before, statuses: ok, broken: true},
		{name: "late stream", path: "/events/20000", sent: before, read: at(4), statuses: refused, notRun: true},
		{name: "late continuation", path: "/events/20000", header: takesUp, sent: before, read: at(4), statuses: refused, notRun: true},
		{name: "late request on a kept connection", path: "/once/2000", sent: at(3.5), read: at(3.5), statuses: []int{0}, notRun: true},
		{name: "request on a kept connection in the lag", path: "/once/2000", sent: at(2.2), read: at(2.2), statuses: ok},
		{name: "request on a kept connection in the lag outlasts the host", path: "/once/20000", sent: at(2.2), read: at(2.2), statuses: unknown},
	}
	for _, seconds := range []float64{2.6, 3.2, 3.6, 4, 4.5, 5} {
		cases = append(cases, stopCase{
			name: fmt.Sprintf("body after %v s", seconds), path: "/once/2000", sent: before, read: at(seconds), statuses: refused,
			notRun: true, maxTime: time.Second,
		})
	}
	stopped := time.Now().Add(time.Second)
	answers := make([]stopAnswer, len(cases))
	var wg sync.WaitGroup
	for i := range cases {
		conn, err := net.Dial("tcp", g.Listen)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		if cases[i].sent > 0 { // the connection has been used
			first := stopCase{name: fmt.Sprintf("first %d", i), path: "/again/0"}
			require.Equal(t, http.StatusOK, first.send(conn, in, g.host(), time.Now()).status)
		}
		wg.Go(func() { answers[i] = cases[i].send(conn, in, g.host(), stopped) })
	}
	pipelined, err := net.Dial("tcp", g.Listen)
	require.NoError(t, err)
	defer func() { _ = pipelined.Close() }()
	_, err = fmt.Fprintf(pipelined, "GET /once/1500 HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: pipelined-1\r\n\r\n", g.host())
	require.NoError(t, err)
	time.Sleep(time.Until(stopped))
	g.stop()
	time.Sleep(100 * time.Millisecond)
	_, err = fmt.Fprintf(pipelined, "GET /once/2000 HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: pipelined-2\r\n\r\n", g.host())
	require.NoError(t, err)
	wg.Wait()
	require.NoError(t, <-g.result)
	require.Less(t, time.Since(stopped), stopGrace)
	for i := range cases {
		c, a := &cases[i], &answers[i]
		runs, deadline := replica.ran(c.id())
		t.Logf("%s: %d %q after %v, runs %d, deadline %v, %v", c.name, a.status, a.body, a.end.Sub(stopped).Round(time.Millisecond), runs, deadline, a.err)
		assert.Contains(t, c.statuses, a.status, c.name)
		if c.statuses[0] != 0 {
			assert.Equal(t, c.broken, a.err != nil, "%s: answer breaks off", c.name)
		}
		if c.notRun || a.status == http.StatusServiceUnavailable {
			assert.Zero(t, runs, "%s: not run", c.name)
		} else {
			assert.Equal(t, 1, runs, "%s: runs", c.name)
		}
		if a.status == http.StatusServiceUnavailable {
			assert.NotEmpty(t, a.header.Get("Retry-After"), c.name)
		}
		if c.read > 0 && runs > 0 {
			assert.LessOrEqual(t, deadline, stopGrace-c.read, "%s: the replica gets no more time than the host has", c.name)
		}
		if c.maxTime > 0 {
			assert.Less(t, a.end.Sub(stopped.Add(c.read)), c.maxTime, c.name)
		}
	}
	in := bufio.NewReader(pipelined)
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err, "pipelined")
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err, "pipelined")
	_, err = http.ReadResponse(in, nil)
	require.Error(t, err, "the connection ends after the first answer")
	runs, _ := replica.ran("pipelined-2")
	require.Zero(t, runs)
}

// Guards against a configuration that drops the routes of requests in progress, lowers the timeout of idle connections,
// or takes effect while a body is read, and cuts these requests.
func TestConfigurationChangeCutsNoRequest(t *testing.T) {
	replica := &workReplica{runs: make(map[string]int), deadlines: make(map[string]time.Duration)}
	g := startStoppingGateway(t, replica)
	changed := time.Now().Add(500 * time.Millisecond)
	before, after := -400*time.Millisecond, 1500*time.Millisecond
	cases := []stopCase{
		{name: "order", path: "/once/2000", sent: before, read: before},
		{name: "repeatable", path: "/again/2000", sent: before, read: before},
		{name: "stream", path: "/events/2000", sent: before, read: before},
		{name: "body", path: "/once/100", sent: before, read: after},
		{name: "kept route", path: "/again/100", sent: after, read: after},
	}
	answers := make([]stopAnswer, len(cases))
	var wg sync.WaitGroup
	for i := range cases {
		conn, err := net.Dial("tcp", g.Listen)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		wg.Go(func() { answers[i] = cases[i].send(conn, bufio.NewReader(conn), g.host(), changed) })
	}
	time.Sleep(time.Until(changed))
	g.putRoutes(t, 2, "again")
	wg.Wait()
	for i := range cases {
		assert.Equal(t, http.StatusOK, answers[i].status, cases[i].name)
		assert.NoError(t, answers[i].err, cases[i].name)
	}
}
