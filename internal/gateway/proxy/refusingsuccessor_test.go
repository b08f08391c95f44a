package proxy_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against part of an answer that is passed off as whole because the next process of its replica, which has its address at once,
// refuses the questions which process it is, or answers them with bytes that are no answer.
func TestUnframedAnswerIsBrokenWhereTheNextProcessAnswersNoQuestion(t *testing.T) {
	for name, report := range map[string]http.HandlerFunc{
		"refuses": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Heatherbarrow-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"garbles": func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, "no answer\r\n\r\n")
				_ = c.Close()
			}
		},
	} {
		for _, path := range []string{"/order/x", "/match/x", "/lookup/x", "/quote/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var replaced atomic.Bool
				ending := newEndable(t, false, partOfAnswer(20*time.Millisecond, func(p *endable) {
					replaced.Store(true)
					p.replace()
				}), func(s *http.Server) {
					next := s.Handler
					s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if replaced.Load() && r.URL.Path == "/v1/report" {
							report(w, r)
							return
						}
						next.ServeHTTP(w, r)
					})
				})
				ending.keeps.Store(5)
				g := newEndableGateway(t, ending, newEndable(t, false, wholeAnswer))
				body, status, err := untilEnded(t, g, ending, path)
				assert.True(t, err != nil || status != http.StatusOK || body == wholeOf(path), "%d, %q look complete", status, body)
			})
		}
	}
}
