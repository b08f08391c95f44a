package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/proxy"
)

// wholeAnswersFrom checks that the gateway forwards whole answers from its replicas.
func wholeAnswersFrom(t *testing.T, g *testGateway, n int) {
	t.Helper()
	for _, path := range []string{"/match/x", "/quote/x", "/order/x", "/lookup/x", "/order/long"} {
		r, err := http.NewRequest(http.MethodPost, path, nil)
		require.NoError(t, err)
		_, whole := answerFor(r)
		for i := range n {
			response, err := g.send(t.Context(), testRequest{path: path, header: map[string]string{attemptIDHeader: fmt.Sprintf("attempt%s-%d", path, i)}})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.NoError(t, err, path)
			assert.Equal(t, http.StatusOK, response.StatusCode, path)
			assert.Equal(t, whole, string(body), path)
		}
	}
}

// Guards against sound answers without a length or chunks that are taken for broken, and against more than one question
// for each at its end, besides those that are asked while it lasts.
func TestSoundUnframedAnswersStayComplete(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		p := newEndable(t, relayed, wholeAnswer)
		g := newEndableGateway(t, p)
		const rounds = 4
		wholeAnswersFrom(t, g, rounds)
		beside := g.probeQuestions()
		assert.LessOrEqual(t, p.asked.Load()-beside, p.received.Load())
		assert.LessOrEqual(t, beside, 2*p.received.Load())
	}
}

// Guards against a replica that is asked for each of many answers which end together.
func TestAnswersThatEndTogetherShareAQuestion(t *testing.T) {
	const answers = 40
	var begun sync.WaitGroup
	begun.Add(answers)
	p := newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
		c := writeUnframed(w, r, "text/plain", "the answer")
		begun.Done()
		begun.Wait()
		_ = c.Close()
	})
	g := newEndableGateway(t, p)
	g.members[0].Slots = answers
	g.fleet.SetMembers(g.members)
	var done sync.WaitGroup
	for range answers {
		done.Go(func() {
			status, body, _ := g.do(testRequest{path: "/order/x"})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "the answer", body)
		})
	}
	done.Wait()
	assert.Less(t, p.asked.Load(), int64(answers/2))
}

// Guards against sound answers that are taken for broken because their replica does not tell which process it is, or is
// silent for a while.
func TestUnframedAnswerOfReplicaThatDoesNotTellIsComplete(t *testing.T) {
	for name, report := range map[string]http.HandlerFunc{
		"not found": http.NotFound,
		"no start":  func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"stage":"colocated"}`) },
		"silent":    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		mux := http.NewServeMux()
		mux.HandleFunc("/v1/report", report)
		mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			wholeAnswer(nil, w, r)
		})
		g := newTestGateway(t, mux, newProcess(registeredStart, http.NotFound))
		g.members = g.members[:1]
		g.registered("")
		began := time.Now()
		status, body, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status, name)
		assert.Equal(t, "the answer", body, name)
		assert.Less(t, time.Since(began), time.Second, name)
	}
}

// Guards against a question to a silent replica that outlasts the caller whose answer needs it, and against another answer
// that is taken for broken or goes without its own question because of that.
func TestQuestionEndsWithItsCaller(t *testing.T) {
	asked := make(chan struct{}, 10)
	silent := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/report", func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		select {
		case silent <- struct{}{}:
			<-r.Context().Done()
		default:
			_, _ = fmt.Fprintf(w, `{"born":%d}`, registeredStart)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		wholeAnswer(nil, w, r)
	})
	g := newTestGateway(t, mux)
	g.registered("")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		time.AfterFunc(100*time.Millisecond, cancel)
	}()
	var other sync.WaitGroup
	other.Go(func() {
		for len(silent) == 0 {
			time.Sleep(time.Millisecond)
		}
		status, body, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "the answer", body)
	})
	_, err := g.send(ctx, testRequest{path: "/order/x"})
	require.Error(t, err)
	other.Wait()
	require.Eventually(t, func() bool { return g.server.Active() == 0 }, 5*time.Second, time.Millisecond)
	assert.Len(t, asked, 1, "the other answer has its own question")
}

// Guards against sound answers of a process that is not the registered one, as it replaced that one while the store was
// away, being taken for broken after it has told which process it is.
func TestUnframedAnswersOfReplacedProcessAreCompleteOnceItIsKnown(t *testing.T) {
	p := newEndable(t, false, wholeAnswer)
	g := newEndableGateway(t, p)
	p.born.Add(1)
	status, _, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusBadGateway, status, "the process may have begun during the answer")
	time.Sleep(300 * time.Millisecond) // until the replica gets requests again
	wholeAnswersFrom(t, g, 2)
}

// Guards against the last answers of a replica that has left, whose ID has another process by then, being taken for broken while
// the process serves its other connections to the end, and against their passing for whole if the process exits with them.
func TestUnframedAnswerOfReplicaThatLeftAndIsBackIsComplete(t *testing.T) {
	for name, leave := range map[string]func(g *testGateway){
		"draining": func(g *testGateway) {
			g.members[0].Leaving = true
			g.fleet.SetMembers(g.members)
			g.members[0].Leaving = false
		},
		"removed": func(g *testGateway) { g.fleet.SetMembers(nil) },
	} {
		for _, exits := range []bool{false, true} {
			var g *testGateway
			release := make(chan struct{})
			p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/order/lasting" {
					<-release
					return
				}
				contentType, text := answerFor(r)
				c := writeUnframed(w, r, contentType, text)
				leave(g)
				p.born.Add(1)
				g.members[0].Started = p.born.Load()
				g.fleet.SetMembers(g.members)
				if exits {
					p.closeAll()
				}
				_ = c.Close()
			})
			g = newEndableGateway(t, p)
			g.members[0].Slots = 8
			g.fleet.SetMembers(g.members)
			if !exits {
				g.beginLasting(p)
			}
			status, body, _ := g.do(testRequest{path: "/order/x", header: map[string]string{attemptIDHeader: "attempt-2"}})
			close(release)
			if exits {
				assert.Equal(t, http.StatusBadGateway, status, name)
				continue
			}
			assert.Equal(t, http.StatusOK, status, name)
			assert.Equal(t, "the answer", body, name)
		}
	}
}

// Guards against sound answers that a host takes for broken while new connections to all replicas are refused to it, and
// open ones live on or none is open.
func TestSoundUnframedAnswersStayCompleteWhileHostIsCutOff(t *testing.T) {
	for name, kept := range map[string]bool{"an open connection lives on": true, "none is open": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			links := &cutLinks{open: make(chan net.Conn, 100)}
			answer := func(p *endable, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/lookup/first" {
					respond := newReplica(respondWith("first"))
					respond.ServeHTTP(w, r)
					return
				}
				links.begin(halfAlive)
				wholeAnswer(p, w, r)
			}
			g := newEndableGateway(t, newEndable(t, false, answer), newEndable(t, false, answer), newEndable(t, false, answer))
			g.restart(func(*proxy.Options) {}, links.dial)
			if kept {
				for range 12 {
					status, _, _ := g.do(testRequest{path: "/lookup/first"})
					require.Equal(t, http.StatusOK, status)
				}
			}
			began := time.Now()
			status, body, _ := g.do(testRequest{path: "/order/x"})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "the answer", body)
			assert.Less(t, time.Since(began), 700*time.Millisecond)
		})
	}
}

// beginLasting sends a request to the path /order/lasting and returns when the replica has it.
func (g *testGateway) beginLasting(p *endable) {
	received := p.received.Load()
	go func() {
		response, err := g.send(g.t.Context(), testRequest{path: "/order/lasting"})
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	require.Eventually(g.t, func() bool { return p.received.Load() > received }, 5*time.Second, time.Millisecond)
}

// Guards against sound answers of a full replica, which refuses new connections while those that it has live on, being
// taken for broken because other replicas answer.
func TestSoundUnframedAnswersOfFullReplicaAreComplete(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		release := make(chan struct{})
		p := newEndable(t, relayed, func(p *endable, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/order/lasting" {
				<-release
			}
			_ = p.listener.Close()
			wholeAnswer(p, w, r)
		})
		g := newEndableGateway(t, p)
		g.beginLasting(p)
		witness := newEndable(t, false, wholeAnswer)
		g.members = append(g.members, fleet.Member{ID: "other", Upstream: "other", Address: witness.address, Zone: "a", Started: witness.born.Load(), Slots: 1})
		g.fleet.SetMembers(g.members)
		status, body, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "the answer", body)
		close(release)
	}
}

// Guards against sound answers of a host that is cut off which are taken for broken because another connection to the
// replica ended too: with an answer that ended in the same moment, or while others live on.
func TestSoundUnframedAnswersThatEndTogetherStayCompleteWhileHostIsCutOff(t *testing.T) {
	for name, lasting := range map[string]bool{"none lives on": false, "another request lasts": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			links := &cutLinks{open: make(chan net.Conn, 100)}
			var begun sync.WaitGroup
			const answers = 2
			begun.Add(answers)
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/order/lasting" {
					<-release
					return
				}
				begun.Done()
				begun.Wait()
				links.begin(halfAlive)
				wholeAnswer(p, w, r)
			})
			g := newEndableGateway(t, p, newEndable(t, false, wholeAnswer))
			g.members = g.members[:1]
			g.fleet.SetMembers(g.members)
			g.restart(func(*proxy.Options) {}, links.dial)
			g.members = append(g.members, fleet.Member{ID: "other", Upstream: "other", Address: "127.0.0.1:1", Zone: "a", Started: registeredStart, Slots: 1})
			g.fleet.SetMembers(g.members) // a witness, which is not reached either
			if lasting {
				g.beginLasting(p)
			}
			var done sync.WaitGroup
			for range answers {
				done.Go(func() {
					status, body, _ := g.do(testRequest{path: "/order/x"})
					assert.Equal(t, http.StatusOK, status)
					assert.Equal(t, "the answer", body)
				})
			}
			done.Wait()
		})
	}
}

// Guards against a sound answer that is taken for broken because the registration of its process arrived only after the
// request had been sent.
func TestSoundUnframedAnswerOfProcessThatRegistersLateIsComplete(t *testing.T) {
	var g *testGateway
	p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
		contentType, text := answerFor(r)
		c := writeUnframed(w, r, contentType, text[:len(text)/2])
		g.members[0].Started = p.born.Load()
		g.fleet.SetMembers(g.members)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, text[len(text)/2:])
		_ = c.Close()
	})
	g = newEndableGateway(t, p)
	p.born.Add(1) // another process took over, long before the request
	time.Sleep(50 * time.Millisecond)
	status, body, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "the answer", body)
}

// Guards against sound answers that are taken for broken because their replica resets new connections while its queue is
// long, or is silent for a second after it has reset one.
func TestSoundUnframedAnswerOfReplicaThatResetsNewConnectionsIsComplete(t *testing.T) {
	for name, handle := range map[string]func(c net.Conn, n int){
		"resets new connections": func(c net.Conn, _ int) { resetConn(c) },
		"resets one, then silent": func(c net.Conn, n int) {
			if n == 0 {
				resetConn(c)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &detour{to: listenAnd(t, handle)}
			full := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
				d.on.Store(true)
				wholeAnswer(p, w, r)
			})
			d.from = full.address
			g := newEndableGateway(t, full, newEndable(t, false, wholeAnswer))
			g.restart(func(*proxy.Options) {}, d.dial)
			body, status, err := untilEnded(t, g, full, "/order/x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "the answer", body)
		})
	}
}

// Guards against the last answers of a replica that leaves being taken for broken although they may be run again, as it
// ends right after them: another one gives the answer anew, or has nothing to add to a stream.
func TestLastUnframedAnswersOfLeavingReplicaStayWhole(t *testing.T) {
	for path, whole := range map[string]string{"/quote/x": eventsText(4), "/lookup/x": "the answer"} {
		var g *testGateway
		leaving := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
			contentType, text := answerFor(r)
			c := writeUnframed(w, r, contentType, text)
			for contentType == "text/event-stream" && p.asked.Load() == 0 {
				time.Sleep(time.Millisecond) // until it is asked which process began the stream
			}
			time.Sleep(200 * time.Millisecond) // until the host has the answer
			g.members[0].Leaving = true
			g.fleet.SetMembers(g.members)
			_ = p.listener.Close()
			_ = c.Close()
			p.closeAll()
		})
		g = newEndableGateway(t, leaving, newEndable(t, false, wholeAnswer))
		body, status, err := untilEnded(t, g, leaving, path)
		require.NoError(t, err, path)
		assert.Equal(t, http.StatusOK, status, path)
		assert.Equal(t, whole, body, path)
	}
}
