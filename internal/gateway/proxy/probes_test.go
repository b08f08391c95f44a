package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/platform"
)

// probeTime is the time in which a host has opened connections beside an answer.
const probeTime = 300 * time.Millisecond

// Guards against part of an answer without a length that is passed off as the whole answer because its connection, the only one of this
// host to the replica, was cut on the way while the process lived on.
func TestOnlyUnframedAnswerOfReplicaThatIsCutOnTheWayIsBroken(t *testing.T) {
	for _, path := range []string{"/match/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			playUntilMet(t, func() (unmet string) {
				var g *testGateway
				cut := make(chan string, 1)
				p := newEndable(t, true, cutOnTheWay(func(p *endable) string { return g.keepsOneIdle(p) }, cut))
				p.keeps.Store(5)
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

// Guards against a stream that ends with its connection, the only one of this host to the replica, although another replica can go
// on with it.
func TestOnlyUnframedStreamOfReplicaThatIsCutOnTheWayGoesOnElsewhere(t *testing.T) {
	playUntilMet(t, func() (unmet string) {
		var g *testGateway
		cut := make(chan string, 1)
		p := newEndable(t, true, cutOnTheWay(func(p *endable) string { return g.keepsOneIdle(p) }, cut))
		p.keeps.Store(5)
		g = newEndableGateway(t, p, newEndable(t, false, wholeAnswer))
		g.allowSilence(2)
		body, status, err := untilEnded(t, g, p, "/quote/x")
		if unmet = <-cut; unmet == "" {
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, eventsText(4), body)
		}
		return unmet
	})
}

// lastingAnswer returns a handler that answers in order after a while.
func lastingAnswer(lasts time.Duration) func(*endable, http.ResponseWriter, *http.Request) {
	return func(_ *endable, w http.ResponseWriter, r *http.Request) {
		contentType, text := answerFor(r)
		c := writeUnframed(w, r, contentType, text)
		time.Sleep(lasts)
		_ = c.Close()
	}
}

// Guards against sound answers that are taken for broken because of the connections that are kept beside them, and against questions
// without bound while they last.
func TestSoundUnframedAnswerThatLastsIsCompleteAndAskedAboutSeldom(t *testing.T) {
	const (
		lasts = 1500 * time.Millisecond
		delay = 50 * time.Millisecond // answers that arrive at once are not asked about
	)
	for _, relayed := range []bool{false, true} {
		p := newEndable(t, relayed, lastingAnswer(lasts))
		p.keeps.Store(5)
		g := newEndableGateway(t, p)
		allowed := 0
		for i := range 2 {
			began := time.Now()
			response, err := g.send(t.Context(), testRequest{path: "/match/x", header: map[string]string{attemptIDHeader: fmt.Sprintf("attempt-%d", i)}})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.NoError(t, err)
			assert.Equal(t, eventsText(4), string(body))
			// Two connections are used at once and then each second, the second of them half a second earlier, and one question is
			// asked at the end. A busy machine may make the answer last longer.
			asking := time.Since(began) - delay
			allowed += 2 + int(asking/time.Second) + int((asking+time.Second/2)/time.Second) + 1
		}
		assert.LessOrEqual(t, p.asked.Load(), int64(allowed))
	}
}

// Guards against questions for answers that arrive at once, and for framed ones.
func TestNoConnectionIsKeptBesideOtherAnswers(t *testing.T) {
	framed := newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
		time.Sleep(probeTime)
		respondWith("ok").ServeHTTP(w, r)
	})
	g := newEndableGateway(t, framed)
	status, _, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusOK, status)
	assert.Zero(t, framed.asked.Load())

	const answers = 20
	g = newEndableGateway(t, newEndable(t, false, wholeAnswer))
	for i := range answers {
		status, _, _ = g.do(testRequest{path: "/order/x", header: map[string]string{attemptIDHeader: fmt.Sprintf("attempt-%d", i)}})
		assert.Equal(t, http.StatusOK, status)
	}
	time.Sleep(probeTime)
	// On a busy machine, some of them do not arrive at once.
	assert.Less(t, g.probeQuestions(), int64(answers))
}

// probeQuestions returns the number of questions that were asked beside answers which lasted.
func (g *testGateway) probeQuestions() int64 {
	return g.metrics.Snapshot().Counters()["probe_questions+"].Value()
}

// secondQuestionWaits is a dialect of which the second question to a replica begins when the connection of the first one is idle.
type secondQuestionWaits struct {
	platform.Dialect
	questions atomic.Int64
	firstKept func() bool
}

// ProcessTarget implements routing.Dialect.
func (d *secondQuestionWaits) ProcessTarget() string {
	if d.questions.Add(1) == 2 {
		eventually(d.firstKept)
	}
	return d.Dialect.ProcessTarget()
}

// Guards against part of an answer that is passed off as whole because the host has kept one connection only beside it, as the first question
// was answered before the second one was asked.
func TestTwoConnectionsAreKeptThoughTheFirstQuestionIsAnsweredAtOnce(t *testing.T) {
	release := make(chan struct{})
	p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
		contentType, text := answerFor(r)
		c := writeUnframed(w, r, contentType, text)
		<-release
		_ = c.Close()
	})
	g := newEndableGateway(t, p)
	firstKept := func() bool { return g.keepsOneIdle(p) == "" }
	g.restart(func(o *proxy.Options) { o.Dialect = &secondQuestionWaits{firstKept: firstKept} }, (&net.Dialer{}).DialContext)
	var done sync.WaitGroup
	done.Go(func() {
		status, _, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status)
	})
	assert.True(t, eventually(func() bool { return p.established() == 1+2 }), "%d connections after %d questions", p.established(), p.asked.Load())
	close(release)
	done.Wait()
}

// Guards against questions to a replica that wants no requests of this host for a time.
func TestRestingReplicaIsNotAskedBesideItsAnswers(t *testing.T) {
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
		time.Sleep(1300 * time.Millisecond)
		_ = c.Close()
	})
	p.keeps.Store(5)
	g := newEndableGateway(t, p)
	g.members[0].Slots = 8
	g.fleet.SetMembers(g.members)
	go func() {
		<-begun
		time.Sleep(probeTime)
		_, _, _ = g.do(testRequest{path: "/lookup/refused", header: map[string]string{attemptIDHeader: "attempt-refused"}})
	}()
	status, _, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusOK, status)
	// Two connections are opened before the replica rests, and one question is asked at the end.
	assert.LessOrEqual(t, p.asked.Load(), int64(3))
}
