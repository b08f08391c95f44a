package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/membudget"
)

// detour dials a second address in place of the first one while it is on.
type detour struct {
	from, to string
	on       atomic.Bool
}

func (d *detour) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.on.Load() && address == d.from {
		address = d.to
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// listenAnd accepts connections and handles each.
func listenAnd(t *testing.T, handle func(c net.Conn, n int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			handle(c, n)
		}
	}()
	return listener.Addr().String()
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against sound answers that are taken for broken at a host to which new connections to all replicas are refused,
// because connections to other replicas live on.
func TestSoundUnframedAnswerStaysCompleteWhileOnlyConnectionsToOthersLiveOn(t *testing.T) {
	links := &cutLinks{open: make(chan net.Conn, 1000)}
	answer := func(cuts bool) func(p *endable, w http.ResponseWriter, r *http.Request) {
		return func(p *endable, w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/lookup/first":
				time.Sleep(50 * time.Millisecond)
				if cuts {
					w.Header().Set("Connection", "close")
				}
				newReplica(respondWith("first")).ServeHTTP(w, r)
			case cuts:
				links.begin(halfAlive)
				wholeAnswer(p, w, r)
			default:
				newReplica(respondWith("framed")).ServeHTTP(w, r)
			}
		}
	}
	first, second := newEndable(t, false, answer(true)), newEndable(t, false, answer(false))
	g := newEndableGateway(t, first, second, newEndable(t, false, answer(false)))
	g.restart(func(*proxy.Options) {}, links.dial)
	var opened sync.WaitGroup
	for range 12 {
		opened.Go(func() {
			status, _, _ := g.do(testRequest{path: "/lookup/first"})
			assert.Equal(t, http.StatusOK, status)
		})
	}
	opened.Wait()
	require.Positive(t, second.received.Load())
	first.received.Store(0)
	body, status, err := untilEnded(t, g, first, "/order/x")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "the answer", body)
}

// Guards against a whole answer that arrives in time and is held until after its caller's deadline, because its replica
// is silent for a moment.
func TestUnframedAnswerIsForwardedBeforeTheDeadline(t *testing.T) {
	// The answer ends with less time left than a silent replica is asked for (inspectTimeout).
	const deadline = 900 * time.Millisecond
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/report", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(deadline / 2)
		wholeAnswer(nil, w, r)
	})
	g := newTestGateway(t, mux, newProcess(registeredStart, http.NotFound))
	g.members = g.members[:1]
	g.registered("")
	began := time.Now()
	status, _, _ := g.do(testRequest{path: "/order/x", header: map[string]string{"Heatherbarrow-Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}})
	assert.Equal(t, http.StatusOK, status)
	assert.Less(t, time.Since(began), deadline)
}

// Guards against a flood of questions at replicas that want no requests, because another one ends with many answers.
func TestRestingReplicaIsNotAskedAsWitness(t *testing.T) {
	const answers = 30
	for _, relayed := range []bool{false, true} {
		end := make(chan struct{})
		ending := newEndable(t, relayed, func(_ *endable, w http.ResponseWriter, r *http.Request) {
			_ = writeUnframed(w, r, "text/plain", "the answ")
			<-end
		})
		resting := newEndable(t, relayed, func(_ *endable, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Heatherbarrow-Not-Executed", "1")
			w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		g := newEndableGateway(t, ending, resting)
		g.members[0].Slots, g.members[1].Slots = 2*answers, 2*answers
		g.fleet.SetMembers(g.members)
		var done sync.WaitGroup
		for range answers {
			done.Go(func() { _, _, _ = g.do(testRequest{path: "/order/x"}) })
		}
		require.Eventually(t, func() bool { return ending.received.Load() >= answers/2 }, 10*time.Second, 10*time.Millisecond)
		time.Sleep(300 * time.Millisecond) // for requests that begin late
		before := resting.asked.Load()
		received := resting.received.Load()
		ending.end()
		close(end)
		done.Wait()
		assert.Positive(t, received, "the replica said that it wants nothing")
		assert.LessOrEqual(t, resting.asked.Load()-before, int64(2), "questions in its rest, relayed %v", relayed)
	}
}

// Guards against a replica that resets new connections because it is full and gets many more of them for one answer.
func TestFullReplicaIsNotAskedAgainAndAgain(t *testing.T) {
	var opened atomic.Int64
	d := &detour{to: listenAnd(t, func(c net.Conn, _ int) {
		opened.Add(1)
		resetConn(c)
	})}
	full := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
		d.on.Store(true)
		wholeAnswer(p, w, r)
	})
	d.from = full.address
	g := newEndableGateway(t, full, newEndable(t, false, wholeAnswer))
	g.restart(func(*proxy.Options) {}, d.dial)
	_, _, err := untilEnded(t, g, full, "/order/x")
	require.NoError(t, err)
	assert.LessOrEqual(t, opened.Load(), int64(3), "connections for one answer")
}

// Guards against part of an answer that is passed off as the whole answer because other replicas need a while to tell
// that this host reaches them, as over a slow link.
func TestUnframedAnswerIsBrokenWhereOthersAnswerSlowly(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			ending := newEndable(t, true, partOfAnswer(0, (*endable).end))
			other := newEndable(t, false, wholeAnswer)
			g := newEndableGateway(t, ending, other)
			g.restart(func(*proxy.Options) {}, func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == other.address {
					time.Sleep(delay)
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			})
			body, status, err := untilEnded(t, g, ending, "/match/x")
			assert.True(t, err != nil || status == http.StatusBadGateway, "%d, %q looks complete", status, body)
		})
	}
}

// Guards against part of an answer that is passed off as the whole answer because its host ends while the replica is asked.
func TestUnframedAnswerWhoseHostEndsDuringTheQuestionIsBroken(t *testing.T) {
	for _, path := range []string{"/match/x", "/order/x"} {
		var g *testGateway
		p := newEndable(t, true, partOfAnswer(0, func(p *endable) {
			g.server.Drain(time.Now(), time.Now().Add(150*time.Millisecond))
			p.end()
		}))
		g = newEndableGateway(t, p, newEndable(t, true, wholeAnswer))
		body, status, err := untilEnded(t, g, p, path)
		assert.True(t, err != nil || status >= http.StatusInternalServerError, "%s: %d, %q looks complete", path, status, body)
	}
}

// Guards against part of an answer that is passed off as the whole answer because the host has no memory for what the next
// process says of itself.
func TestUnframedAnswerIsBrokenWithoutMemoryForTheQuestion(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var born, asked atomic.Int64
	born.Store(registeredStart)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			asked.Add(1)
			_, _ = fmt.Fprintf(w, `{"born":%d,"runs":"%s"}`, born.Load(), strings.Repeat("r", 20<<10))
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c := writeUnframed(w, r, "text/plain", "the answ")
		born.Add(1)
		_ = c.Close()
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	g := newTestGateway(t, http.NotFoundHandler())
	g.members[0].Address = listener.Addr().String()
	g.registered("v1")
	for _, budget := range []int{16 << 20, 0} {
		g.bound(membudget.New(budget, 1), nil)
		status, body, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusBadGateway, status, "budget %d: %q looks complete", budget, body)
		time.Sleep(300 * time.Millisecond) // until the replica gets requests again
	}
	assert.Positive(t, asked.Load())
}

// Guards against a stream whose caller has all events, and which no replica ends: its process ended before the end, and the
// rest that another one sends has neither an event nor a length. Such a rest shows the end only if its process lived.
func TestUnframedContinuationWithoutEventsEndsTheStream(t *testing.T) {
	for name, lives := range map[string]bool{"process lives": true, "process ends": false} {
		t.Run(name, func(t *testing.T) {
			ending := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
				_ = writeUnframed(w, r, "text/event-stream", eventsText(4))
				time.Sleep(200 * time.Millisecond) // until it is known which process began the stream
				p.end()
			})
			var rests atomic.Int64
			next := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "" {
					wholeAnswer(p, w, r)
					return
				}
				rests.Add(1)
				c := writeUnframed(w, r, "text/event-stream", "")
				if !lives {
					p.replace()
				}
				_ = c.Close()
			})
			g := newEndableGateway(t, ending, next)
			body, status, err := untilEnded(t, g, ending, "/quote/x")
			assert.Equal(t, lives, err == nil, "%v", err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, eventsText(4), body)
			assert.Positive(t, rests.Load())
		})
	}
}
