package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/tlsconf"
)

// Guards against whole answers that are told as unknown because many end together and the service needs a while to state
// its process: each of them asks for it, over few connections.
func TestManyUnframedAnswersThatEndTogetherAreComplete(t *testing.T) {
	const answers, delay = 200, 100 * time.Millisecond
	var begun sync.WaitGroup
	begun.Add(answers)
	s := newStatingService(t, func(*statingService) {
		begun.Done()
		begun.Wait()
	})
	client, err := NewClient(tlsconf.TransportOptions{Dial: s.dial}, nil)
	require.NoError(t, err)
	var failed, asked atomic.Int64
	go func() {
		begun.Wait()
		s.answerWith(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			time.Sleep(delay)
			w.Header().Set("Heatherbarrow-Boot", "boot-0")
		})
	}()
	var done sync.WaitGroup
	for range answers {
		done.Go(func() {
			if _, err := client.Service(t.Context(), ServiceCall{Address: s.address, Method: http.MethodPost, Path: "/x"}); err != nil {
				failed.Add(1)
			}
		})
	}
	done.Wait()
	assert.Zero(t, failed.Load(), "%d questions", asked.Load())
}

// Guards against an answer that is taken for whole because of a question that was sent before the answer ended, and
// against a caller that gives up and thereby ends the question of others.
func TestQuestionServesOnlyThoseWhoWaitBeforeItIsSent(t *testing.T) {
	sent, reply := make(chan context.Context), make(chan string)
	q := questions{ask: func(ctx context.Context, _ string) (string, error) {
		sent <- ctx
		return <-reply, nil
	}}
	var underWay []*question
	for range maxBootConns { // each is sent at once, so that none serves the next
		underWay = append(underWay, q.join("address"))
		<-sent
	}
	next := q.join("address")
	assert.NotContains(t, underWay, next)
	assert.Same(t, next, q.join("address"))
	leaving, leave := context.WithCancel(t.Context())
	leave()
	_, err := q.askNow(leaving, "address")
	require.ErrorIs(t, err, context.Canceled)
	for range maxBootConns {
		reply <- "before"
	}
	require.NoError(t, (<-sent).Err())
	assert.NotSame(t, next, q.join("address"))
	reply <- "after"
	<-next.done
	assert.Equal(t, "after", next.boot)
	<-sent
	reply <- "last"
}
