package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newLateEnds returns a gateway before replicas whose answers end at once, or 20 ms after their last byte if the path says so,
// once connections to one of them were cut.
func newLateEnds(t *testing.T, replicas int) *lonelyCuts {
	c := &lonelyCuts{}
	for range replicas {
		c.replicas = append(c.replicas, newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/order/lasting":
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
				}
			case strings.HasSuffix(r.URL.Path, "/late"):
				contentType, text := answerFor(r)
				connection := writeUnframed(w, r, contentType, text)
				time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
			default:
				wholeAnswer(p, w, r)
			}
		}))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	return c
}

// Guards against a sound answer that is taken for broken because its replica closes the connection a moment after the last
// byte, as one that is busy does, while connections are cut.
func TestSoundUnframedAnswerThatEndsLateIsComplete(t *testing.T) {
	for _, path := range []string{"/match/late", "/order/late", "/quote/late", "/lookup/late"} {
		t.Run(path, func(t *testing.T) {
			c := newLateEnds(t, 1)
			for i := range 40 {
				usual := strings.TrimSuffix(path, "late") + "x"
				_, status, err := c.ask(usual, fmt.Sprint("usual-", i))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			c.sign()
			body, status, err := c.ask(path, "attempt-late")
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, wholeOf(path), body)
		})
	}
}

// Guards against answers that are run twice without end after few cuts: answers of a model that differ in length from
// run to run must not count as further cuts.
func TestVerificationOfAnswersThatDifferInLengthEnds(t *testing.T) {
	t.Parallel()
	const seconds = 14 // a sign counts for 10 s
	var runs atomic.Int64
	c := &lonelyCuts{}
	for range 2 {
		c.replicas = append(c.replicas, newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/order/lasting" {
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
				}
				return
			}
			n := runs.Add(1)
			_ = writeUnframed(w, r, "text/plain", strings.Repeat("a", 10+int(n%7))).Close()
		}))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.sign()
	began, asked, repeated := time.Now(), 0, 0
	for time.Since(began) < seconds*time.Second {
		before := runs.Load()
		_, status, err := c.ask("/lookup/x", fmt.Sprint("attempt-", asked))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		asked++
		if time.Since(began) > 11*time.Second && runs.Load() > before+1 {
			repeated++
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d requests, %d runs", asked, runs.Load())
	assert.Zero(t, repeated, "requests run twice later than 10 s after the last cut")
}

// Guards against answers that are run twice because the process of another replica ended.
func TestSoundUnframedAnswersAreNotVerifiedAfterTheEndOfAProcess(t *testing.T) {
	var runs atomic.Int64
	handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order/lasting" {
			p.restart()
			return
		}
		runs.Add(1)
		wholeAnswer(p, w, r)
	}
	c := &lonelyCuts{replicas: []*endable{newEndable(t, false, handler), newEndable(t, false, handler), newEndable(t, false, handler)}}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.loseRequest("lasting")
	const answers = 20
	for i := range answers {
		_, status, err := c.ask("/lookup/x", fmt.Sprint("attempt-", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	assert.EqualValues(t, answers, runs.Load())
}

// Guards against part of a stream that counts as verified, because the continuation that verified it was cut on the way before its first
// event, although the route allows further runs.
func TestContinuationThatIsCutBeforeItsEventsVerifiesNothing(t *testing.T) {
	t.Parallel()
	c := &lonelyCuts{}
	var continuations atomic.Int64
	for range 4 {
		c.replicas = append(c.replicas, newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/order/lasting":
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
				}
			case r.Header.Get("Last-Event-Id") == "":
				_ = writeUnframed(w, r, "text/event-stream", eventsText(2)).Close()
			case continuations.Add(1) > 1:
				wholeAnswer(p, w, r)
			default:
				connection := writeUnframed(w, r, "text/event-stream", "")
				time.Sleep(40 * time.Millisecond)
				_ = connection.Close()
			}
		}))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.allowRuns(4)
	c.sign()
	body, err := c.receive(map[string]string{attemptIDHeader: "attempt"})
	assert.True(t, err != nil || body == eventsText(4), "%q looks complete after %d continuations", body, continuations.Load())
}
