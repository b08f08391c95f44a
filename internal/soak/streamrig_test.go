package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway"
	"heatherbarrow/internal/gateway/netio/relaytest"
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
	partly    float64       // share of the answers that are unframed, if not all are
	padding   int           // bytes that are added to each event
	timeout   time.Duration // of the route; rigTimeout if zero
	notation  notation      // of the events
}

// firstBorn is the start of the first processes, in Unix milliseconds.
const firstBorn = 1_700_000_000_000

// rigTimeout is the timeout of routes that have none of their own.
const rigTimeout = 8 * time.Second

// maxStall is the longest pause of a sound replica that falls silent.
const maxStall = 1500 * time.Millisecond

func (r *streamRoute) prefix() string { return "/" + r.name + "/" }

// answerPieces is the number of pieces in which a plain answer is written.
const answerPieces = 10

// plainAnswer is the answer to a request for the key.
func plainAnswer(key string) string { return strings.Repeat("piece of "+key+"\n", answerPieces) }

// rigReplica is a replica whose process can end and start again. Its connections end in order, as the kernel closes them.
type rigReplica struct {
	rig     *streamRig
	id      string
	service string
	zone    string
	version atomic.Pointer[string] // of the software of the next process
	address string                 // where the process listens
	link    *relaytest.Relay
	apart   *relaytest.Relay // what the first host dials, if it may be cut off; nil if it dials link too
	stalled atomic.Bool      // answers pause
	garbles atomic.Int32     // one in so many answers is followed by bytes that belong to no request; 0 for none
	refuses atomic.Int32     // one in so many requests is refused as not run; 0 for none
	queues  atomic.Int32     // one in so many requests waits in the queue, and may be refused then; 0 for none
	rests   atomic.Bool      // refusals ask the host to rest
	resets  atomic.Int32     // one in so many connections is reset at once; 0 for none
	clock   atomic.Int64     // what the time of day is ahead, at the next start of the process

	ends     sync.Mutex // held while the process ends, until the next one has registered
	mu       sync.Mutex
	process  *rigProcess
	listener net.Listener
	open     map[net.Conn]struct{}
	running  map[string]*rigRun // by ID of the attempt
}

// rigProcess is a process of a replica, which all its connections lead to.
type rigProcess struct {
	born    int64
	version string // of its software
	ended   atomic.Bool
}

// rigRun is a run of a request.
type rigRun struct {
	key     string
	written atomic.Bool // part of the answer has been written
}

func (r *rigReplica) listen(address string) {
	listener, err := net.Listen("tcp", address)
	require.NoError(r.rig.t, err)
	r.mu.Lock()
	r.listener, r.address = listener, listener.Addr().String()
	r.mu.Unlock()
	go r.accept(listener)
}

func (r *rigReplica) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		if r.resetsNow(c) {
			continue
		}
		r.mu.Lock()
		ended, process := r.listener != listener, r.process
		if !ended {
			r.open[c] = struct{}{}
		}
		r.mu.Unlock()
		if ended { // the connection ends with the process that accepted it
			_ = c.Close()
			return
		}
		go r.serve(c, process)
	}
}

// serve answers the requests on a connection to the process.
func (r *rigReplica) serve(c net.Conn, process *rigProcess) {
	defer func() {
		r.mu.Lock()
		delete(r.open, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	foreign := "" // bytes of no request that come before the next answer
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, q.Body); err != nil || process.ended.Load() {
			return
		}
		if _, err = io.WriteString(c, foreign); err != nil {
			return
		}
		a := &rigAnswer{c: c}
		if !r.respond(a, q, process) || a.err != nil {
			return
		}
		foreign = ""
		if n := r.garbles.Load(); n > 0 && rand.Int32N(n) == 0 {
			foreign = garbled(a.sent.String())
		}
		if foreign != "" && rand.IntN(2) == 0 { // before the next request, or while it is on its way
			time.Sleep(rand.N(maxForeignDelay))
			if _, err = io.WriteString(c, foreign); err != nil {
				return
			}
			foreign = ""
		}
	}
}

const attemptIDHeader = "Heatherbarrow-Attempt-Id"

// close ends the replica for good.
func (r *rigReplica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
	}
	for c := range r.open {
		_ = c.Close()
	}
}

// end ends the process. Another one takes its address at once if nothing is to listen for no time.
func (r *rigReplica) end(down time.Duration) {
	r.ends.Lock()
	defer r.ends.Unlock()
	r.exit(down > 0)
	if down > 0 {
		time.Sleep(down)
		r.listen(r.address)
	}
	r.register("ready")
}

// exit ends the process with its connections, and its listener if that is to close too. The caller holds r.ends.
func (r *rigReplica) exit(closes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process.ended.Store(true) // before the first of its connections ends
	r.process = &rigProcess{born: r.process.born + 1 + r.clock.Swap(0), version: *r.version.Load()}
	if closes {
		_ = r.listener.Close()
		r.listener = nil
	}
	for c := range r.open {
		_ = c.Close()
	}
	clear(r.open)
	for _, run := range r.running {
		r.rig.noteEnd(run.key)
		if run.written.Load() {
			r.rig.noteCut(run.key)
		}
	}
	clear(r.running)
}

// awaitIdle returns when the replica runs no request, or after some time.
func (r *rigReplica) awaitIdle() {
	const patience = 3 * time.Second
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		n := len(r.running)
		r.mu.Unlock()
		if n == 0 {
			return
		}
	}
}

// respond answers a request, and reports whether the connection may be used again.
func (r *rigReplica) respond(a *rigAnswer, q *http.Request, process *rigProcess) (reusable bool) {
	if q.URL.Path == "/v1/report" {
		body := fmt.Sprintf(`{"born":%d}`, process.born)
		a.raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nKeep-Alive: timeout=4\r\n\r\n%s", len(body), body))
		return true
	}
	id := q.Header.Get(attemptIDHeader)
	if q.Header.Get("Heatherbarrow-Expect-Replica") != r.id {
		a.raw(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nHeatherbarrow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attemptIDHeader, id))
		return true
	}
	if r.refusesNow() {
		r.rig.log.note("%s refuses %s", r.id, id)
		a.raw(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nHeatherbarrow-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", attemptIDHeader, id, r.restHeader()))
		return true
	}
	name, key, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	route := r.rig.route(name)
	run := &rigRun{key: key}
	r.mu.Lock()
	r.running[id] = run
	r.mu.Unlock()
	repeatable := route.resumable || route.kind == "idempotent"
	r.rig.ledger.note(arrival{id: id, replica: r.id, born: process.born, ran: true, once: !repeatable})
	r.rig.log.note("%s runs %s after event %q", r.id, id, q.Header.Get("Last-Event-Id"))
	defer func() {
		r.rig.log.note("%s ends %s: %v", r.id, id, a.err)
		if r.rig.wasCutAt(a.c.RemoteAddr()) {
			r.rig.noteEnd(key) // also if it arrived when the connection had been cut
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[id] == run {
			delete(r.running, id)
		}
		r.rig.noteWork(key)
	}()
	contentType, framing := "text/plain", ""
	if route.events > 0 {
		contentType = "text/event-stream"
	}
	if a.framed = !route.unframed && rand.Float64() >= route.partly; a.framed {
		framing = "Keep-Alive: timeout=4\r\nTransfer-Encoding: chunked\r\n"
	}
	a.raw(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nHeatherbarrow-Server-Seal: seal-%s\r\nContent-Type: %s\r\n%s\r\n", attemptIDHeader, id, r.id, contentType, framing))
	if ms, err := strconv.Atoi(q.Header.Get("Heatherbarrow-Deadline-Ms")); err == nil {
		stop := time.AfterFunc(time.Duration(ms)*time.Millisecond, a.stop)
		defer stop.Stop()
	}
	r.answer(route, q, run, fmt.Sprintf("%s %s/%d/%s %s", key, r.id, process.born, id, process.version), a.write)
	a.end()
	return a.framed
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
	padding := ""
	if route.padding > 0 {
		padding = " " + strings.Repeat("x", route.padding)
	}
	if route.notation.first != "" && write(route.notation.first) != nil {
		return
	}
	for i := next; i < route.events; i++ {
		time.Sleep(route.pause)
		for waited := time.Duration(0); r.stalled.Load() && waited < maxStall; waited += route.pause {
			time.Sleep(route.pause)
		}
		if r.rig.interrupts != nil {
			time.Sleep(r.rig.interrupts(run.key, i))
		}
		for _, piece := range route.notation.pieces(i, fmt.Sprintf("%d %s%s", i, data, padding)) {
			if write(piece) != nil {
				return
			}
			run.written.Store(true)
		}
	}
}

// streamRig is hosts and replicas whose processes end, for the tests of streams.
type streamRig struct {
	*deployment
	lane     int
	routes   []*streamRoute
	replicas []*rigReplica
	client   *http.Client
	slow     *http.Client // whose sockets hold little
	next     atomic.Int64

	// interrupts returns how long a run of a stream is preempted before the given event; nil for never.
	interrupts func(key string, event int) time.Duration
	log        *rigLog

	cutMu  sync.Mutex
	cut    map[string]bool      // keys of requests that a process ended within an answer to
	ended  map[string]bool      // keys of requests that a process ended within a run of, or its connections were cut
	worked map[string]time.Time // when a replica last worked, by key of the request
	cuts   []time.Time          // when connections were cut on the way
	cutAt  map[string]bool      // addresses from which a replica had connections that were cut on the way
}

func (g *streamRig) locked(f func()) {
	g.cutMu.Lock()
	defer g.cutMu.Unlock()
	f()
}

// noteEnd records that a process ended, or its connections were cut, while it ran a request.
func (g *streamRig) noteEnd(key string) { g.locked(func() { g.ended[key] = true }) }

// noteCutConnections records that the connections which replicas had from the given addresses were cut on the way.
func (g *streamRig) noteCutConnections(addresses []string) {
	g.cutMu.Lock()
	defer g.cutMu.Unlock()
	if g.cutAt == nil {
		g.cutAt = make(map[string]bool)
	}
	for _, address := range addresses {
		g.cutAt[address] = true
	}
}

// wasCutAt reports whether the connection that a replica had from an address was cut on the way.
func (g *streamRig) wasCutAt(address net.Addr) (out bool) {
	g.locked(func() { out = g.cutAt[address.String()] })
	return out
}

// wasEnded reports whether a process ended, or its connections were cut, while it ran a request.
func (g *streamRig) wasEnded(key string) (out bool) {
	g.locked(func() { out = g.ended[key] })
	return out
}

// noteWork records that a replica has worked on a request until now.
func (g *streamRig) noteWork(key string) { g.locked(func() { g.worked[key] = time.Now() }) }

// workedUntil returns when a replica last worked on a request, which is the zero time if none has run it to an end.
func (g *streamRig) workedUntil(key string) (out time.Time) {
	g.locked(func() { out = g.worked[key] })
	return out
}

func (g *streamRig) noteCut(key string) { g.locked(func() { g.cut[key] = true }) }

func (g *streamRig) wasCut(key string) (out bool) {
	g.locked(func() { out = g.cut[key] })
	return out
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
	apart        bool           // the first host may be cut off from the replicas
	env          []string       // of the hosts' processes; nil for that of the test
	settings     func(*gateway.Settings)
}

func newStreamRig(t *testing.T, shape rigShape, routes ...*streamRoute) *streamRig {
	t.Helper()
	lane := takeLane(t)
	g := &streamRig{
		lane:       lane,
		deployment: &deployment{t: t, store: storetest.New(), ledger: newLedger()},
		routes:     routes, cut: make(map[string]bool), ended: make(map[string]bool), worked: make(map[string]time.Time),
		slow:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialSmall}},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}},
	}
	t.Cleanup(g.store.Close)
	t.Cleanup(g.client.CloseIdleConnections)
	dir := t.TempDir()
	g.log = newRigLog(t, dir)
	for service, n := range shape.replicas {
		for i := range n {
			g.addReplica(fmt.Sprintf("%s%d", service, i), service, zoneName(i%shape.zones), shape.direct)
		}
	}
	g.configure()
	for i := range shape.hosts {
		address, zone := g.store.Address(), zoneName(i%shape.zones)
		if i == 0 && shape.apart {
			address, zone = g.frontApart(), zoneApart
		}
		store := newRelay(t, address)
		h := startHost(t, dir, lane, i, zone, store.Address(), shape.env, func(s *gateway.Settings) {
			s.RetryShare, s.RetrySlack = 1, 1000
			if shape.settings != nil {
				shape.settings(s)
			}
		})
		h.store = store
		g.hosts = append(g.hosts, h)
	}
	awaitReady(t, g.hosts)
	time.Sleep(300 * time.Millisecond) // until all hosts know all replicas
	return g
}

// zoneApart is the zone of the first host if it may be cut off. As its only host it reads the store itself, instead of
// learning from another one how that reaches the replicas.
const zoneApart = "apart"

// dialSmall opens a connection that receives little more than what is read.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		const bufferBytes = 4 << 10
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
		return errors.Join(err, setErr)
	}}
	return dialer.DialContext(ctx, network, address)
}

func (g *streamRig) addReplica(id, service, zone string, direct bool) {
	r := &rigReplica{rig: g, id: id, service: service, zone: zone, open: make(map[net.Conn]struct{}), running: make(map[string]*rigRun)}
	version := "v1"
	r.version.Store(&version)
	r.process = &rigProcess{born: firstBorn, version: version}
	r.listen(replicaAddress(g.lane))
	g.t.Cleanup(r.close)
	if !direct {
		r.link = newRelay(g.t, r.address)
	}
	r.register("ready")
	g.replicas = append(g.replicas, r)
}
