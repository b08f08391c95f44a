package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/upstream"
)

// silentAtTheEnd makes a replica answer no question from the given time on until its process has ended.
func silentAtTheEnd(silent, ended <-chan struct{}) func(*http.Server) {
	return func(s *http.Server) {
		handler := s.Handler
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/report" && closedChannel(silent) {
				<-ended
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		})
	}
}

// keepsReserved waits until the host has kept as many connections beside an answer as it wants for a while, so that they cannot lead to
// the next process.
func (g *testGateway) keepsReserved(p *endable) (unmet string) {
	reserved := 0
	if !eventually(func() bool {
		_, reserved = g.client.ReservedFor(p.address, time.Now())
		return reserved == upstream.MaxReserved
	}) {
		return fmt.Sprintf("the host keeps %d connections beside the answer", reserved)
	}
	time.Sleep(probeTime)
	return ""
}

// Guards against a whole answer that is taken for broken because the question about its end is not answered before the process ends, although
// the connections beside the answer were open for long after it.
func TestSoundUnframedAnswerIsCompleteWhereItsProcessEndsDuringTheQuestion(t *testing.T) {
	const livesOn = 300 * time.Millisecond
	for path, whole := range map[string]string{"/match/x": eventsText(4), "/order/x": "the answer"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			playUntilMet(t, func() string {
				var g *testGateway
				silent, ended, unmet := make(chan struct{}), make(chan struct{}), make(chan string, 1)
				p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
					contentType, text := answerFor(r)
					c := writeUnframed(w, r, contentType, text)
					unmet <- g.keepsReserved(p)
					close(silent)
					_ = c.Close()
					time.Sleep(livesOn)
					p.end()
					close(ended)
				}, silentAtTheEnd(silent, ended))
				p.keeps.Store(5)
				g = newEndableGateway(t, p, newEndable(t, false, wholeAnswer))
				body, status, err := untilEnded(t, g, p, path)
				if unmet := <-unmet; unmet != "" {
					return unmet
				}
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, whole, body)
				return ""
			})
		})
	}
}

// Guards against part of an answer that is passed off as whole because the connections beside it end a little later with the process.
func TestUnframedAnswerIsBrokenWhereConnectionsBesideItEndALittleLater(t *testing.T) {
	const later = 20 * time.Millisecond
	for _, path := range []string{"/match/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			playUntilMet(t, func() string {
				var g *testGateway
				silent, ended, unmet := make(chan struct{}), make(chan struct{}), make(chan string, 1)
				p := newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
					contentType, text := answerFor(r)
					c := writeUnframed(w, r, contentType, text[:len(text)-1])
					measured := g.keepsReserved(p)
					close(silent)
					begun := time.Now()
					_ = c.Close()
					time.Sleep(later)
					p.end()
					if took := time.Since(begun); took > 2*later && measured == "" {
						measured = fmt.Sprintf("the process ended %v after the answer", took)
					}
					unmet <- measured
					close(ended)
				}, silentAtTheEnd(silent, ended))
				p.keeps.Store(5)
				g = newEndableGateway(t, p, newEndable(t, false, wholeAnswer))
				body, status, err := untilEnded(t, g, p, path)
				if unmet := <-unmet; unmet != "" {
					return unmet
				}
				assert.True(t, err != nil || status == http.StatusBadGateway, "%d, %q looks complete", status, body)
				return ""
			})
		})
	}
}
