package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway"
	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// streamRoute is a route of a rig, and what its service's replicas answer on it.
type streamRoute struct {
	name      string // its path is /NAME/
	service   string
	kind      string
	resumable bool
	attempts  int
	events    int           // of each stream; 0 for a plain answer
	pause     time.Duration // before each event, or each piece of a plain answer
	unframed  bool          // answers have neither a length nor chunks
	notation  notation      // of the events
}

func (r *streamRoute) prefix() string { return "/" + r.name + "/" }

// answerPieces is the number of pieces in which a plain answer is written.
const answerPieces = 10

// plainAnswer is the answer to a request for the key.
func plainAnswer(key string) string { return strings.Repeat("piece of "+key+"\n", answerPieces) }

// notation is how a route's replicas write events.
type notation struct {
	lineEnd string              // "\n" if empty
	id      func(i int) string  // of the event with the number i, which counts from 0; decimal if nil
	before  func(i int) string  // lines before the event
	first   string              // bytes before the first event of each answer
	parse   func(id string) int // inverse of id; -1 if it is none
	split   bool                // each byte of an event's end is written by itself
}

func (n *notation) idOf(i int) string {
	if n.id != nil {
		return n.id(i)
	}
	return strconv.Itoa(i)
}

func (n *notation) numberOf(id string) int {
	if n.parse != nil {
		return n.parse(id)
	}
	i, err := strconv.Atoi(id)
	if err != nil {
		return -1
	}
	return i
}

func (n *notation) event(i int, data string) string {
	text := "id: " + n.idOf(i) + "\ndata: " + data + "\n\n"
	if n.before != nil {
		text = n.before(i) + text
	}
	if n.lineEnd != "" {
		text = strings.ReplaceAll(text, "\n", n.lineEnd)
	}
	return text
}

// rigReplica is a replica whose process can end and start again. Its connections end in order, as the kernel closes them.
type rigReplica struct {
	rig     *streamRig
	id      string
	service string
	zone    string
	version string
	address string // where the process listens
	link    *relaytest.Relay
	born    atomic.Int64
	server  *http.Server

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]struct{}
	running  map[string]*rigRun // by ID of the attempt
}

// rigRun is a run of a request.
type rigRun struct {
	key     string
	written atomic.Bool // part of the answer has been written
}

// trackedListener notes the connections of a replica.
type trackedListener struct {
	net.Listener
	r *rigReplica
}

func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.r.mu.Lock()
		l.r.open[c] = struct{}{}
		l.r.mu.Unlock()
	}
	return c, err
}

func (r *rigReplica) listen(address string) {
	listener, err := net.Listen("tcp", address)
	require.NoError(r.rig.t, err)
	r.mu.Lock()
	r.listener, r.address = listener, listener.Addr().String()
	r.mu.Unlock()
	go func() { _ = r.server.Serve(trackedListener{listener, r}) }() // until the listener is closed
}

// end ends the process. Another one takes its address at once if nothing is to listen for no time.
func (r *rigReplica) end(down time.Duration) {
	r.born.Add(1)
	r.mu.Lock()
	if down > 0 {
		_ = r.listener.Close()
	}
	for c := range r.open {
		_ = c.Close()
	}
	clear(r.open)
	for _, run := range r.running {
		if run.written.Load() {
			r.rig.noteCut(run.key)
		}
	}
	clear(r.running)
	r.mu.Unlock()
	if down > 0 {
		time.Sleep(down)
		r.listen(r.address)
	}
	r.register("ready")
}

// register writes the replica's entry.
func (r *rigReplica) register(state string) {
	address := r.address
	if r.link != nil {
		address = r.link.Address()
	}
	d := r.rig.deployment
	d.writes.Lock()
	defer d.writes.Unlock()
	d.store.Put(platform.KindMembers, r.id, map[string]any{
		"service": r.service, "address": address, "zone": r.zone, "slots": 400, "state": state, "born": r.born.Load(), "version": r.version,
	})
}

// ServeHTTP implements http.Handler.
func (r *rigReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/report" {
		_, _ = fmt.Fprintf(w, `{"born":%d}`, r.born.Load())
		return
	}
	id := q.Header.Get("Heatherbarrow-Attempt-Id")
	w.Header().Set("Heatherbarrow-Attempt-Id", id)
	if q.Header.Get("Heatherbarrow-Expect-Replica") != r.id {
		w.Header().Set("Heatherbarrow-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	name, key, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	route := r.rig.route(name)
	run := &rigRun{key: key}
	r.mu.Lock()
	r.running[id] = run
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[id] == run {
			delete(r.running, id)
		}
	}()
	w.Header().Set("Heatherbarrow-Server-Seal", "seal-"+r.id)
	w.Header().Set("Keep-Alive", "timeout=4")
	contentType := "text/plain"
	if route.events > 0 {
		contentType = "text/event-stream"
	}
	w.Header().Set("Content-Type", contentType)
	write := func(text string) error {
		_, err := io.WriteString(w, text)
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		return err
	}
	if route.unframed {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() {
			r.mu.Lock()
			delete(r.open, c)
			r.mu.Unlock()
			_ = c.Close()
		}()
		head := new(bytes.Buffer)
		_ = w.Header().Write(head)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", head)
		write = func(text string) error {
			_, err := io.WriteString(c, text)
			return err
		}
	}
	r.answer(route, q, run, fmt.Sprintf("%s %s/%d/%s %s", key, r.id, r.born.Load(), id, r.version), write)
}

// answer writes an answer in pieces. The data of each event names the run.
func (r *rigReplica) answer(route *streamRoute, q *http.Request, run *rigRun, data string, write func(string) error) {
	if route.events == 0 {
		for range answerPieces {
			time.Sleep(route.pause)
			if write("piece of "+run.key+"\n") != nil {
				return
			}
			run.written.Store(true)
		}
		return
	}
	next := 0
	if text := q.Header.Get("Last-Event-Id"); text != "" {
		next = route.notation.numberOf(text) + 1
	}
	if route.notation.first != "" && write(route.notation.first) != nil {
		return
	}
	for i := next; i < route.events; i++ {
		time.Sleep(route.pause)
		for _, piece := range route.notation.pieces(i, fmt.Sprintf("%d %s", i, data)) {
			if write(piece) != nil {
				return
			}
			run.written.Store(true)
		}
	}
}

// pieces returns an event as it is written.
func (n *notation) pieces(i int, data string) []string {
	text := n.event(i, data)
	if !n.split {
		return []string{text}
	}
	at := len(strings.TrimRight(text, "\r\n"))
	return append([]string{text[:at]}, strings.Split(text[at:], "")...)
}

// streamRig is hosts and replicas whose processes end, for the tests of streams.
type streamRig struct {
	*deployment
	routes   []*streamRoute
	replicas []*rigReplica
	client   *http.Client
	next     atomic.Int64

	cutMu sync.Mutex
	cut   map[string]bool // keys of requests that a process ended within an answer to
}

func (g *streamRig) noteCut(key string) {
	g.cutMu.Lock()
	defer g.cutMu.Unlock()
	g.cut[key] = true
}

func (g *streamRig) wasCut(key string) bool {
	g.cutMu.Lock()
	defer g.cutMu.Unlock()
	return g.cut[key]
}

func (g *streamRig) route(name string) *streamRoute {
	for _, r := range g.routes {
		if r.name == name {
			return r
		}
	}
	return &streamRoute{name: name}
}

// rigShape is the size of a rig.
type rigShape struct {
	hosts, zones int
	replicas     map[string]int // by service
	direct       bool           // hosts dial replicas without a relay
}

func newStreamRig(t *testing.T, shape rigShape, routes ...*streamRoute) *streamRig {
	t.Helper()
	lane := takeLane(t)
	g := &streamRig{
		deployment: &deployment{t: t, store: storetest.New(), ledger: &ledger{runs: make(map[string]int)}, troubles: make(map[string][]trouble)},
		routes:     routes, cut: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}},
	}
	t.Cleanup(g.store.Close)
	t.Cleanup(g.client.CloseIdleConnections)
	for service, n := range shape.replicas {
		for i := range n {
			g.addReplica(fmt.Sprintf("%s%d", service, i), service, zoneName(i%shape.zones), shape.direct)
		}
	}
	g.configure(shape)
	dir := t.TempDir()
	for i := range shape.hosts {
		store := newRelay(t, g.store.Address())
		h := startHost(t, dir, lane, i, zoneName(i%shape.zones), store.Address(), nil, func(s *gateway.Settings) { s.RetryShare, s.RetrySlack = 1, 1000 })
		h.store = store
		g.hosts = append(g.hosts, h)
	}
	for _, h := range g.hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	time.Sleep(300 * time.Millisecond) // until all hosts know all replicas
	return g
}

func (g *streamRig) addReplica(id, service, zone string, direct bool) {
	r := &rigReplica{rig: g, id: id, service: service, zone: zone, version: "v1", open: make(map[net.Conn]struct{}), running: make(map[string]*rigRun)}
	r.born.Store(1)
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.listen(otherAddress())
	g.t.Cleanup(func() { _ = r.server.Close() })
	if !direct {
		r.link = newRelay(g.t, r.address)
	}
	r.register("ready")
	g.replicas = append(g.replicas, r)
}

// configure writes the configuration of the rig.
func (g *streamRig) configure(shape rigShape) {
	routes, services := []any{}, []any{}
	for _, r := range g.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": callerHost, "pathPrefix": r.prefix(), "routeKind": r.kind, "timeoutMs": 8000, "goalMs": 500, "gapGoalMs": 400,
			"service": r.service, "maxAttempts": r.attempts, "resumable": r.resumable,
		})
	}
	for service := range shape.replicas {
		services = append(services, map[string]any{"name": service})
	}
	g.version.Store(1)
	g.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": 1, "routes": routes, "services": services, "limits": map[string]any{"idleTimeoutMs": 10_000},
		"tenants": []any{map[string]any{"name": "counter", "apiKeys": []string{teamKey}}},
	})
}
