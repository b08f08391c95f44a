package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// startBesideTeller starts a gateway before a replica that sends whole unframed answers and handles questions with report, and
// one that tells which process it is. The first one gets all requests; askSecond lets the second one tell before.
func startBesideTeller(t *testing.T, report http.HandlerFunc, askSecond bool) *testGateway {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/report", report)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		wholeAnswer(nil, w, r)
	})
	teller := newEndable(t, false, wholeAnswer)
	g := newTestGateway(t, mux, http.NotFoundHandler())
	g.members[1].Address = teller.address
	g.registered("v1", "v1")
	teller.born.Store(registeredStart)
	only := func(i int) {
		for j := range g.members {
			g.members[j].Leaving = j != i
		}
		g.fleet.SetMembers(g.members)
	}
	if askSecond {
		only(1)
		status, _, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status)
	}
	only(0)
	g.members[1].Leaving = false
	return g
}

// Guards against sound answers that are taken for broken because their replica fails to answer a question, or sends bytes
// that are no answer, while others of its upstream tell which process they are.
func TestSoundUnframedAnswerOfReplicaThatFailsToAnswerAQuestionIsComplete(t *testing.T) {
	for name, fail := range map[string]func(w http.ResponseWriter, n int64) (failed bool){
		"one question": func(w http.ResponseWriter, n int64) bool {
			if n > 1 {
				return false
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		},
		"bytes that are no answer": func(w http.ResponseWriter, _ int64) bool {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, "no answer\r\n\r\n")
			_ = c.Close()
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/order/x", "/match/x"} {
				var asked atomic.Int64
				g := startBesideTeller(t, func(w http.ResponseWriter, _ *http.Request) {
					if !fail(w, asked.Add(1)) {
						_, _ = fmt.Fprintf(w, `{"born":%d}`, registeredStart)
					}
				}, true)
				status, body, _ := g.do(testRequest{path: path})
				r, _ := http.NewRequest(http.MethodPost, path, nil)
				_, whole := answerFor(r)
				assert.Equal(t, http.StatusOK, status, path)
				assert.Equal(t, whole, body, path)
				assert.Positive(t, asked.Load(), path)
			}
		})
	}
}

// Guards against sound answers of a replica that never tells which process it is being taken for broken again and again,
// because others of its upstream tell.
func TestSoundUnframedAnswersOfReplicaThatDoesNotTellBesideOthersAreComplete(t *testing.T) {
	for _, known := range []bool{false, true} {
		g := startBesideTeller(t, http.NotFound, known)
		_, _, _ = g.do(testRequest{path: "/lookup/x"}) // it is not known yet that it does not tell
		wholeAnswersFrom(t, g, 2)
	}
}

// Guards against whole answers that may be repeated and are run again, because the first question to their replica is answered by bytes that
// are no answer.
func TestSoundUnframedAnswerIsRunOnceThoughAQuestionFails(t *testing.T) {
	for _, path := range []string{"/lookup/x", "/quote/x"} {
		var asked atomic.Int64
		g := startBesideTeller(t, func(w http.ResponseWriter, _ *http.Request) {
			if asked.Add(1) > 1 {
				_, _ = fmt.Fprintf(w, `{"born":%d}`, registeredStart)
				return
			}
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, "no answer\r\n\r\n")
				_ = c.Close()
			}
		}, true)
		status, body, _ := g.do(testRequest{path: path})
		r, _ := http.NewRequest(http.MethodPost, path, nil)
		_, whole := answerFor(r)
		assert.Equal(t, http.StatusOK, status, path)
		assert.Equal(t, whole, body, path)
		assert.EqualValues(t, 2, asked.Load(), path)
		assert.Zero(t, g.metrics.Snapshot().Counters()["repeated_attempts+"].Value(), path)
	}
}
