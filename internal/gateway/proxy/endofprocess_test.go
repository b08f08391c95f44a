package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/gateway/routing"
)

// endable is a replica whose process can end, as one that is killed does: the kernel closes its connections in order.
type endable struct {
	address  string // that the host connects to
	listener net.Listener
	relay    *relaytest.Relay // nil without one
	server   *http.Server
	born     atomic.Int64
	asked    atomic.Int64 // questions which process it is
	received atomic.Int64 // other requests
	ended    atomic.Bool  // the process runs no more, while its connections are closed one after another
	keeps    atomic.Int64 // seconds for which it states in its answers to questions that it keeps idle connections; 0 for no statement

	mu   sync.Mutex
	open []net.Conn
}

// startsOfEndables makes the starts of replicas differ.
var startsOfEndables atomic.Int64

// newEndable starts a replica that handles requests with h, behind a relay if relayed is set.
func newEndable(t *testing.T, relayed bool, h func(p *endable, w http.ResponseWriter, r *http.Request), configure ...func(*http.Server)) *endable {
	t.Helper()
	number := startsOfEndables.Add(1_000) / 1_000
	// No other listener has its IP address, and can get its port when it has ended.
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 1+number/250%250, 1+number%250))
	require.NoError(t, err)
	p := &endable{listener: listener, address: listener.Addr().String()}
	p.born.Store(registeredStart + number*1_000)
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/v1/report" {
			p.asked.Add(1)
			if p.ended.Load() {
				panic(http.ErrAbortHandler)
			}
			if seconds := p.keeps.Load(); seconds > 0 {
				w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", seconds))
			}
			_, _ = fmt.Fprintf(w, `{"born":%d}`, p.born.Load())
			return
		}
		p.received.Add(1)
		h(p, w, r)
	}), ConnState: func(c net.Conn, state http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if state == http.StateNew {
			p.open = append(p.open, c)
		}
	}}
	for _, f := range configure {
		f(p.server)
	}
	go func() { _ = p.server.Serve(listener) }()
	t.Cleanup(func() { _ = p.server.Close() })
	if relayed {
		relay, err := relaytest.New(p.address)
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		p.relay, p.address = relay, relay.Address()
	}
	return p
}

// closeAll closes the connections.
func (p *endable) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		_ = c.Close()
	}
	p.open = nil
}

// end ends the process.
func (p *endable) end() {
	p.ended.Store(true)
	_ = p.listener.Close()
	p.closeAll()
}

// endAll ends the processes, and returns how long it took until the host could see the end of all connections. Relays
// do not pass the ends on one by one, which takes long if this process gets little processor time.
func endAll(all []*endable) time.Duration {
	for _, p := range all {
		p.ended.Store(true)
		_ = p.listener.Close()
	}
	begun := time.Now()
	for _, p := range all {
		if p.relay != nil {
			p.relay.CloseConnections()
		} else {
			p.closeAll()
		}
	}
	took := time.Since(begun)
	for _, p := range all {
		p.closeAll()
	}
	return took
}

// replace ends the process, and lets the next one have its address at once.
func (p *endable) replace() {
	p.born.Add(1)
	p.closeAll()
}

// restart ends the process, and lets the next one have its address after a while.
func (p *endable) restart() {
	const startTime = 100 * time.Millisecond
	p.end()
	time.AfterFunc(startTime, func() {
		listener, err := net.Listen("tcp", p.listener.Addr().String())
		if err == nil {
			p.born.Add(1)
			p.ended.Store(false)
			_ = p.server.Serve(listener) // until the test ends
		}
	})
}

// writeUnframed sends part of an answer that has neither a length nor chunks.
func writeUnframed(w http.ResponseWriter, r *http.Request, contentType, text string) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\n\r\n%s",
		attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, contentType, text)
	return c
}

// answerFor returns the content type and the bytes of the answer to a request.
func answerFor(r *http.Request) (contentType, text string) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/match/"), strings.HasPrefix(r.URL.Path, "/quote/"):
		after := -1
		if id := r.Header.Get("Last-Event-Id"); id != "" {
			_, _ = fmt.Sscan(id, &after)
		}
		return "text/event-stream", eventsText(4)[len(eventsText(after+1)):]
	case strings.HasSuffix(r.URL.Path, "/long"):
		return "text/plain", strings.Repeat("long", 1<<19)
	default:
		return "text/plain", "the answer"
	}
}

// wholeAnswer answers and ends the answer with its connection.
func wholeAnswer(_ *endable, w http.ResponseWriter, r *http.Request) {
	contentType, text := answerFor(r)
	_ = writeUnframed(w, r, contentType, text).Close()
}

// partOfAnswer returns a handler that sends the beginning of an answer, lasts a while and ends the process.
func partOfAnswer(lasts time.Duration, end func(p *endable)) func(*endable, http.ResponseWriter, *http.Request) {
	return func(p *endable, w http.ResponseWriter, r *http.Request) {
		contentType, text := answerFor(r)
		if contentType == "text/event-stream" {
			text = eventsText(2)
		} else {
			text = text[:len(text)-1]
		}
		_ = writeUnframed(w, r, contentType, text)
		time.Sleep(lasts)
		end(p)
	}
}

// newEndableGateway returns a gateway in front of the replicas, which are registered with their starts.
func newEndableGateway(t *testing.T, replicas ...*endable) *testGateway {
	t.Helper()
	handlers, versions := make([]http.Handler, len(replicas)), make([]string, len(replicas))
	for i := range handlers {
		handlers[i], versions[i] = http.NotFoundHandler(), "v1"
	}
	g := newTestGateway(t, handlers...)
	for i, p := range replicas {
		g.members[i].Address, g.members[i].Started = p.address, p.born.Load()
	}
	g.setVersions(versions...)
	return g
}

// endsOfProcess are ways in which a process ends while something still accepts connections at its address.
var endsOfProcess = map[string]struct {
	relayed bool
	end     func(p *endable)
}{
	"the next process has its address at once":                 {false, (*endable).replace},
	"the next process has its address at once, behind a relay": {true, (*endable).replace},
	"a relay accepts connections with nothing behind it":       {true, (*endable).end},
	"nothing accepts connections":                              {false, (*endable).end},
	"a relay accepts connections, and the next process starts": {true, (*endable).restart},
}

// untilEnded sends requests until one has reached the replica that ends, and returns the response to that one.
func untilEnded(t *testing.T, g *testGateway, p *endable, path string) (body string, status int, err error) {
	t.Helper()
	const patience = 30 * time.Second
	for i, until := 0, time.Now().Add(patience); p.received.Load() == 0; i++ {
		require.True(t, time.Now().Before(until), "no request reaches the replica that ends")
		response, sendErr := g.send(t.Context(), testRequest{path: path, header: map[string]string{attemptIDHeader: fmt.Sprintf("attempt-%d", i)}})
		require.NoError(t, sendErr)
		read, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		body, status, err = string(read), response.StatusCode, readErr
	}
	return body, status, err
}

// Guards against part of an answer without a length or chunks that is passed off as the whole answer after the process of
// its replica ended, because something still accepts connections at the replica's address.
func TestUnframedAnswerIsBrokenWhereConnectionsAreStillAccepted(t *testing.T) {
	for name, way := range endsOfProcess {
		for _, path := range []string{"/match/x", "/order/x", "/order/long"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				ending := newEndable(t, way.relayed, partOfAnswer(0, way.end))
				g := newEndableGateway(t, ending, newEndable(t, way.relayed, wholeAnswer))
				body, status, err := untilEnded(t, g, ending, path)
				assert.True(t, err != nil || status == http.StatusBadGateway, "%d, %d bytes look complete", status, len(body))
			})
		}
	}
}

// Guards against an answer that ends for good with the process of its replica, although another one can go on with it or
// give it anew, because something still accepts connections at the replica's address.
func TestUnframedAnswerGoesOnElsewhereWhereConnectionsAreStillAccepted(t *testing.T) {
	for name, way := range endsOfProcess {
		for path, whole := range map[string]string{"/quote/x": eventsText(4), "/lookup/x": "the answer"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				ending := newEndable(t, way.relayed, partOfAnswer(200*time.Millisecond, way.end))
				g := newEndableGateway(t, ending, newEndable(t, way.relayed, wholeAnswer))
				body, status, err := untilEnded(t, g, ending, path)
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, whole, body)
			})
		}
	}
}

// Guards against part of an answer that another host ran, and that is passed off as the whole answer after the process of
// that host ended: hosts mark the end of each answer.
func TestUnframedAnswerOfAnotherHostIsBroken(t *testing.T) {
	for _, path := range []string{"/match/x", "/order/x", "/order/long"} {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			r.URL.Path = strings.TrimPrefix(r.URL.Path, proxy.DelegatePath)
			wholeAnswer(nil, w, r)
		}))
		t.Cleanup(host.Close)
		links := &cutLinks{open: make(chan net.Conn, 100)}
		g := newTestGateway(t, http.NotFoundHandler(), http.NotFoundHandler(), http.NotFoundHandler())
		hosts := g.addHelpers(links)
		hosts.addresses = []string{host.Listener.Addr().String()}
		links.begin(refuses)
		response, err := g.send(t.Context(), testRequest{path: path})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "%s: %d, %d bytes look complete", path, response.StatusCode, len(body))
	}
}

// Guards against answers without a body that are taken for broken because they have no length.
func TestAnswerToHeadRequestNeedsNoLength(t *testing.T) {
	p := newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
		c := writeUnframed(w, r, "text/plain", "")
		_ = c.Close()
	})
	g := newEndableGateway(t, p)
	status, _, _ := g.do(testRequest{method: http.MethodHead, path: "/lookup/x"})
	assert.Equal(t, http.StatusOK, status)
	assert.Zero(t, p.asked.Load())
}

// Guards against an answer that is taken for whole because the next process has registered by the time at which its end
// is read, as if the replica had left.
func TestUnframedAnswerIsBrokenAfterTheNextProcessHasRegistered(t *testing.T) {
	var g *testGateway
	var registered sync.Once
	p := newEndable(t, false, partOfAnswer(0, func(p *endable) {
		p.born.Add(1)
		registered.Do(func() {
			g.members[0].Started = p.born.Load()
			g.fleet.SetMembers(g.members)
		})
		p.closeAll()
	}))
	g = newEndableGateway(t, p)
	status, body, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusBadGateway, status, body)
}

// endTogether sends requests that last until their replicas end, all but the survivors in the same moment, and returns how
// many callers took their answer for whole. If idle is set, the host has idle connections to the replicas. It plays again
// if the ends took too long for one moment, as this process did not get the processor.
func endTogether(t *testing.T, relayed, idle bool, replicas, survivors int) (complete int64) {
	t.Helper()
	const plays, moment = 20, 50 * time.Millisecond
	for range plays {
		complete, took := endOnce(t, relayed, idle, replicas, survivors)
		if took <= moment {
			return complete
		}
		t.Logf("the ends took %v, %d answers were taken for whole: playing again", took, complete)
	}
	require.Fail(t, "the replicas never ended in one moment")
	return 0
}

// endOnce is endTogether without playing again. It also returns how long the ends took.
func endOnce(t *testing.T, relayed, idle bool, replicas, survivors int) (complete int64, took time.Duration) {
	t.Helper()
	const requests = 36
	var begun sync.WaitGroup
	begun.Add(requests)
	end := make(chan struct{})
	answer := func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order/x" {
			wholeAnswer(p, w, r)
			return
		}
		_ = writeUnframed(w, r, "text/event-stream", eventsText(2))
		if idle {
			begun.Done() // its caller gets nothing before the end
		}
		<-end
	}
	all := make([]*endable, replicas)
	for i := range all {
		all[i] = newEndable(t, relayed, answer)
	}
	g := newEndableGateway(t, all...)
	for i := range g.members {
		g.members[i].Slots = requests
	}
	g.fleet.SetMembers(g.members)
	path := "/match/x"
	if idle {
		path = "/order/part" // on a new connection
	}
	for i := range all {
		for idle && all[i].asked.Load() == 0 {
			status, _, _ := g.do(testRequest{path: "/order/x"})
			require.Equal(t, http.StatusOK, status)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var whole atomic.Int64
	var done sync.WaitGroup
	for i := range requests {
		done.Go(func() {
			response, err := g.send(ctx, testRequest{path: path, header: map[string]string{attemptIDHeader: fmt.Sprintf("attempt-%d", i)}})
			if !assert.NoError(t, err) {
				begun.Done()
				return
			}
			if !idle {
				_, err = io.ReadFull(response.Body, make([]byte, len(eventsText(2))))
				assert.NoError(t, err)
				begun.Done()
			}
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				whole.Add(1)
			}
		})
	}
	begun.Wait()
	took = endAll(all[survivors:])
	time.AfterFunc(time.Second, cancel) // of the streams at the survivors
	close(end)
	done.Wait()
	for _, counter := range g.metrics.Snapshot().Counters() {
		if counter.Name() == "unframed_answers" && counter.Value() > 0 {
			t.Log(counter.Tags(), counter.Value())
		}
	}
	return whole.Load(), took
}

// Guards against answers that are taken for whole because other replicas ended in the same moment, so that one that is
// asked as a witness accepts no connection either.
func TestUnframedAnswersOfReplicasThatEndTogetherAreBroken(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for name, c := range map[string]struct {
			idle                bool
			replicas, survivors int
		}{
			"half survive":                    {false, 6, 3},
			"one survives":                    {false, 6, 1},
			"none survives, connections idle": {true, 6, 0},
			"none survives":                   {false, 2, 0},
			"none of many survives":           {false, 18, 0},
		} {
			t.Run(fmt.Sprintf("%s, relayed %v", name, relayed), func(t *testing.T) {
				assert.Zero(t, endTogether(t, relayed, c.idle, c.replicas, c.survivors))
			})
		}
	}
}

// Guards against part of an answer that is passed off as the whole answer because its last bytes waited for a slow caller, and arrived
// long after the next process had registered.
func TestUnframedAnswerThatItsCallerHoldsUpIsBrokenByTheNextProcess(t *testing.T) {
	const size, step = 24 << 20, 64 << 10
	var g *testGateway
	ending := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
		c := writeUnframed(w, r, "text/plain", "")
		_, _ = io.WriteString(c, strings.Repeat("x", size-1))
		p.replace()
		g.members[0].Started = p.born.Load()
		g.fleet.SetMembers(g.members)
	})
	g = newEndableGateway(t, ending)
	g.table.Store(routing.Compile(allowTime(testConfig())))
	response, err := g.send(t.Context(), testRequest{path: "/order/x"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	n := int64(0)
	for err == nil {
		var read int64
		read, err = io.CopyN(io.Discard, response.Body, step)
		n += read
		time.Sleep(4 * time.Millisecond)
	}
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d of %d bytes look complete", n, size)
}
