package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"heatherbarrow/internal/gateway/upstream"
)

// Guards against part of an answer that is passed off as whole because connections to the successor of a replica that left are open.
func TestConnectionsToTheSuccessorVouchForNoAnswer(t *testing.T) {
	const size, step = 24 << 20, 64 << 10
	var g *testGateway
	ending := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
		c := writeUnframed(w, r, "text/plain", "")
		_, _ = io.WriteString(c, strings.Repeat("x", size-1))
		g.members[0].Leaving = true
		g.fleet.SetMembers(g.members)
		p.replace()
		g.members[0].Started, g.members[0].Leaving = p.born.Load(), false
		g.fleet.SetMembers(g.members)
	})
	ending.keeps.Store(5)
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
		pause := 1 * time.Millisecond
		if n > size-(4<<20) {
			pause = 40 * time.Millisecond
		}
		time.Sleep(pause)
	}
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d of %d bytes look complete", n, size)
}

// closeIdle closes idle connections of the gateway's client as the program does, once a second from the given time on.
func (g *testGateway) closeIdle(after time.Duration) {
	client := upstream.NewClient((&net.Dialer{}).DialContext, nil)
	g.restart(func(o *proxy.Options) { o.Client = client }, (&net.Dialer{}).DialContext)
	go func() {
		time.Sleep(after)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			client.CloseIdle(time.Now())
			select {
			case <-g.t.Context().Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

// Guards against part of an answer that is passed off as whole because its replica wanted no requests for a time before it was cut.
func TestConnectionsAreKeptAgainAfterARest(t *testing.T) {
	begun := make(chan struct{}, 1)
	p := newEndable(t, true, func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/refused" {
			w.Header().Set("Heatherbarrow-Not-Executed", "1")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = writeUnframed(w, r, "text/event-stream", eventsText(2))
		begun <- struct{}{}
		time.Sleep(5 * time.Second)
		p.relay.CloseConnections()
	})
	p.keeps.Store(5)
	g := newEndableGateway(t, p)
	g.closeIdle(0)
	g.members[0].Slots = 8
	g.fleet.SetMembers(g.members)
	go func() {
		<-begun
		time.Sleep(300 * time.Millisecond)
		_, _, _ = g.do(testRequest{path: "/lookup/refused", header: map[string]string{attemptIDHeader: "attempt-refused"}})
	}()
	response, err := g.send(t.Context(), testRequest{path: "/match/x"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.Error(t, err, "%q looks complete, %d questions", body, p.asked.Load())
}

// countNew counts the connections that are opened.
func countNew(n *atomic.Int64) upstream.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

// askedBeside returns how many questions and new connections a 3.2 s answer takes.
func askedBeside(t *testing.T, keepsSeconds int64, maxConns int, header string) (questions, opened int64) {
	t.Helper()
	var conns atomic.Int64
	p := newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%sContent-Type: text/plain\r\n\r\nthe answer", attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, header)
		time.Sleep(3200 * time.Millisecond)
		_ = c.Close()
	})
	p.keeps.Store(keepsSeconds)
	g := newEndableGateway(t, p)
	config := allowTime(testConfig())
	config.Upstreams[0].MaxConns = maxConns
	g.table.Store(routing.Compile(config))
	g.restart(func(*proxy.Options) {}, countNew(&conns))
	status, _, _ := g.do(testRequest{path: "/order/x"})
	require.Equal(t, http.StatusOK, status)
	return p.asked.Load(), conns.Load()
}

// Guards against new connections each second beside an answer of a replica that keeps idle ones for a short time.
func TestConnectionsBesideAnAnswerAreReused(t *testing.T) {
	for _, seconds := range []int64{5, 2, 1} {
		t.Run(fmt.Sprint(seconds), func(t *testing.T) {
			t.Parallel()
			asked, opened := askedBeside(t, seconds, 0, "")
			assert.LessOrEqual(t, opened, int64(4), "%d questions", asked)
		})
	}
}

// Guards against connections that are opened again and again beside an answer where few or none may be idle.
func TestNothingIsAskedWhereNoConnectionMayBeKept(t *testing.T) {
	for _, maxConns := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(maxConns), func(t *testing.T) {
			t.Parallel()
			asked, opened := askedBeside(t, 5, maxConns, "")
			assert.LessOrEqual(t, opened, int64(2), "%d questions", asked)
		})
	}
}

// Guards against questions beside the answers of a replica that states a request limit.
func TestLimitedReplicaIsNotAskedBesideItsAnswers(t *testing.T) {
	asked, _ := askedBeside(t, 5, 0, "Server-Limit: 0.5\r\n")
	assert.LessOrEqual(t, asked, int64(3))
}

// Guards against part of an answer that is passed off as whole because its replica states no time for which it keeps idle connections.
func TestOnlyUnframedAnswerIsBrokenWhereIdleTimesAreNotStated(t *testing.T) {
	for _, path := range []string{"/match/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			playUntilMet(t, func() (unmet string) {
				var g *testGateway
				cut := make(chan string, 1)
				p := newEndable(t, true, cutOnTheWay(func(p *endable) string { return g.keepsTwoIdle(p) }, cut))
				g = newEndableGateway(t, p)
				body, status, err := untilEnded(t, g, p, path)
				if unmet = <-cut; unmet == "" {
					assert.True(t, err != nil || status == http.StatusBadGateway, "%d, %q looks complete", status, body)
				}
				return unmet
			})
		})
	}
}

func idleTimeoutOfASecond(s *http.Server) { s.IdleTimeout = time.Second }

// answerBesideIdleTimeout returns an answer that lasts for the given time, of a replica that keeps idle connections for a second. The host closes
// those that are due each second, for the first time after the given time.
func answerBesideIdleTimeout(t *testing.T, path string, lasts, after time.Duration) (string, error) {
	p := newEndable(t, false, lastingAnswer(lasts), idleTimeoutOfASecond)
	p.keeps.Store(1)
	g := newEndableGateway(t, p)
	g.closeIdle(after)
	response, err := g.send(t.Context(), testRequest{path: path})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(body), err
}

// Guards against a sound answer that is broken because the connections beside it end after the idle time that the replica states.
func TestSoundAnswerIsCompleteWhenIdleConnectionsTimeOut(t *testing.T) {
	// The host asks on each connection each 0.4 s, and the replica closes those that are idle for 1 s. Where this process stands still for
	// the rest, the replica closes them in the moment in which the answer ends.
	const maxStall = 200 * time.Millisecond
	for after := time.Duration(0); after < 1000; after += 100 { // how long after the start of the host idle connections are closed
		for path, lasts := range map[string]time.Duration{"/match/x": 1015, "/order/x": 1050} {
			t.Run(fmt.Sprint(path, int(after)), func(t *testing.T) {
				t.Parallel()
				playUntilMet(t, func() (unmet string) {
					stalls := measureStalls()
					body, err := answerBesideIdleTimeout(t, path, lasts*time.Millisecond, after*time.Millisecond)
					if stalled := stalls(); stalled > maxStall {
						return fmt.Sprintf("this process stood still for %v", stalled)
					}
					require.NoError(t, err)
					assert.Equal(t, wholeOf(path), body)
					return ""
				})
			})
		}
	}
}

// Guards against a caller that has all events and never gets the end of its stream where connections are cut and no other replica may be
// asked.
func TestStreamWithoutFurtherEventsEndsThoughNoOtherReplicaIsAsked(t *testing.T) {
	for name, change := range map[string]func(c *lonelyCuts){
		"one attempt": func(c *lonelyCuts) {
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].MaxAttempts = 1
			}
			c.table.Store(routing.Compile(config))
		},
		"one replica": func(c *lonelyCuts) {
			for i := 1; i < len(c.members); i++ {
				c.members[i].Leaving = true
			}
			c.fleet.SetMembers(c.members)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLonelyCuts(t, false, 3)
			c.sign()
			change(c)
			for i := range 2 {
				response, err := c.send(t.Context(), testRequest{path: "/quote/x", header: map[string]string{attemptIDHeader: fmt.Sprint("again-", i), "Resumes": "before", "Last-Event-Id": "3"}})
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				assert.True(t, err == nil && response.StatusCode == http.StatusOK, "%d, %v", response.StatusCode, err)
			}
		})
	}
}

// Guards against questions to a resting replica beside an answer that began before its registration lapsed and came back.
func TestRestingReplicaThatLapsedIsNotAskedBesideItsAnswers(t *testing.T) {
	begun := make(chan struct{}, 1)
	p := newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/refused" {
			w.Header().Set("Heatherbarrow-Not-Executed", "1")
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c := writeUnframed(w, r, "text/plain", "the answer")
		begun <- struct{}{}
		time.Sleep(3300 * time.Millisecond)
		_ = c.Close()
	})
	p.keeps.Store(5)
	g := newEndableGateway(t, p)
	g.table.Store(routing.Compile(allowTime(testConfig())))
	g.members[0].Slots = 8
	g.fleet.SetMembers(g.members)
	go func() {
		<-begun
		time.Sleep(probeTime)
		g.fleet.SetMembers(nil)
		g.fleet.SetMembers(g.members)
		_, _, _ = g.do(testRequest{path: "/lookup/refused", header: map[string]string{attemptIDHeader: "attempt-refused"}})
	}()
	status, _, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusOK, status)
	assert.LessOrEqual(t, p.asked.Load(), int64(3))
}

// Guards against part of an answer that is passed off as whole because its last bytes, which waited for a slow caller, arrive late over a
// link with latency, when the next process is known.
func TestHeldUpBytesOverASlowLinkShowNoProcess(t *testing.T) {
	const size, step = 24 << 20, 64 << 10
	var g *testGateway
	p := newEndable(t, true, func(p *endable, w http.ResponseWriter, r *http.Request) {
		c := writeUnframed(w, r, "text/plain", "")
		_, _ = io.WriteString(c, strings.Repeat("x", size-1))
		p.replace()
		g.members[0].Started = p.born.Load()
		g.fleet.SetMembers(g.members)
	})
	defer p.relay.Begin(relaytest.Fault{Direction: relaytest.FromTarget, Latency: 100 * time.Millisecond})()
	g = newEndableGateway(t, p)
	g.table.Store(routing.Compile(allowTime(testConfig())))
	response, err := g.send(t.Context(), testRequest{path: "/order/x"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	n := int64(0)
	for err == nil {
		var read int64
		read, err = io.CopyN(io.Discard, response.Body, step)
		n += read
	}
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d of %d bytes look complete", n, size)
}

// Guards against new connections each second beside an answer of a replica that keeps none.
func TestNothingIsAskedWhereTheReplicaKeepsNoConnection(t *testing.T) {
	var conns atomic.Int64
	p := newEndable(t, false, lastingAnswer(3200*time.Millisecond))
	p.server.SetKeepAlivesEnabled(false)
	g := newEndableGateway(t, p)
	g.table.Store(routing.Compile(allowTime(testConfig())))
	g.restart(func(*proxy.Options) {}, countNew(&conns))
	status, _, _ := g.do(testRequest{path: "/order/x"})
	require.Equal(t, http.StatusOK, status)
	assert.LessOrEqual(t, conns.Load(), int64(4), "%d questions", p.asked.Load())
}

// Guards against answers beside which no connections are kept since their replica wanted no requests for a time.
func TestAnswerThatBeginsAfterARestIsProbed(t *testing.T) {
	begun := make(chan struct{}, 1)
	p := newEndable(t, true, func(p *endable, w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/lookup/refused":
			w.Header().Set("Heatherbarrow-Not-Executed", "1")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/match/first":
			c := writeUnframed(w, r, "text/event-stream", eventsText(2))
			begun <- struct{}{}
			time.Sleep(8 * time.Second)
			_ = c.Close()
		default:
			_ = writeUnframed(w, r, "text/event-stream", eventsText(2))
			time.Sleep(500 * time.Millisecond)
			p.relay.EndOne()
		}
	})
	p.keeps.Store(5)
	g := newEndableGateway(t, p)
	g.closeIdle(0)
	g.members[0].Slots = 8
	g.fleet.SetMembers(g.members)
	go func() { _, _ = g.send(t.Context(), testRequest{path: "/match/first"}) }()
	<-begun
	time.Sleep(300 * time.Millisecond)
	_, _, _ = g.do(testRequest{path: "/lookup/refused", header: map[string]string{attemptIDHeader: "attempt-refused"}})
	asked := p.asked.Load()
	time.Sleep(1200 * time.Millisecond)
	go func() {
		_, _ = g.send(t.Context(), testRequest{path: "/match/second", header: map[string]string{attemptIDHeader: "second"}})
	}()
	time.Sleep(400 * time.Millisecond)
	assert.Greater(t, p.asked.Load(), asked, "no question after the rest")
}

// Guards against a caller that has all events and never gets the end of its stream, which another host runs where connections are cut.
func TestDelegatedStreamWithoutFurtherEventsEnds(t *testing.T) {
	c := newLonelyCuts(t, false, 3)
	c.sign()
	helper := httptest.NewServer(c.server.DelegateHandler())
	t.Cleanup(helper.Close)
	for i := range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, helper.URL+proxy.DelegatePath+"/quote/x", nil)
		require.NoError(t, err)
		r.Host = requestHost
		for name, value := range map[string]string{
			attemptIDHeader: fmt.Sprint("again-", i), "Authorization": "Bearer " + apiKey, "Resumes": "before", "Last-Event-Id": "3", "Heatherbarrow-Delegation": "runs=2&counted=1",
		} {
			r.Header.Set(name, value)
		}
		response, err := http.DefaultTransport.RoundTrip(r)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.True(t, err == nil && response.StatusCode == http.StatusOK, "%d, %v, %q", response.StatusCode, err, body)
	}
}

// Guards against requests that run twice because a replica closes idle connections after the time that it states.
func TestIdleTimeoutsAreNoSignsOfCuts(t *testing.T) {
	const requests = 4
	var lookups atomic.Int64
	replicas := make([]*endable, 2)
	for i := range replicas {
		p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/lookup/") {
				lookups.Add(1)
				wholeAnswer(p, w, r)
				return
			}
			lastingAnswer(3300*time.Millisecond)(p, w, r)
		}, idleTimeoutOfASecond)
		p.keeps.Store(1)
		replicas[i] = p
	}
	g := newEndableGateway(t, replicas...)
	g.closeIdle(300 * time.Millisecond)
	var lasting sync.WaitGroup
	for i := range 4 {
		lasting.Go(func() {
			response, err := g.send(t.Context(), testRequest{path: "/order/x", header: map[string]string{attemptIDHeader: fmt.Sprint("lasting-", i)}})
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
	lasting.Wait()
	for i := range requests {
		status, _, _ := g.do(testRequest{path: "/lookup/x", header: map[string]string{attemptIDHeader: fmt.Sprint("lookup-", i)}})
		assert.Equal(t, http.StatusOK, status)
	}
	assert.EqualValues(t, requests, lookups.Load(), "runs of %d lookups", requests)
}

// Guards against questions beside an answer to the next replica at its address, which wants no requests for a time.
func TestRestingReplicaIsNotAskedBesideAnAnswerOfTheOneBefore(t *testing.T) {
	begun, resting := make(chan struct{}, 1), make(chan int64, 1)
	p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/refused" {
			w.Header().Set("Heatherbarrow-Not-Executed", "1")
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
			resting <- p.asked.Load()
			return
		}
		c := writeUnframed(w, r, "text/plain", "the answer")
		begun <- struct{}{}
		time.Sleep(3300 * time.Millisecond)
		_ = c.Close()
	})
	p.keeps.Store(5)
	g := newEndableGateway(t, p)
	g.table.Store(routing.Compile(allowTime(testConfig())))
	g.members[0].Slots = 8
	g.fleet.SetMembers(g.members)
	go func() {
		<-begun
		time.Sleep(probeTime)
		g.members[0].ID, g.members[0].Started = "next", p.born.Add(1)
		g.fleet.SetMembers(g.members)
		_, _, _ = g.do(testRequest{path: "/lookup/refused", header: map[string]string{attemptIDHeader: "attempt-refused"}})
	}()
	_, _, _ = g.do(testRequest{path: "/order/x"})
	assert.LessOrEqual(t, p.asked.Load()-<-resting, int64(3))
}
