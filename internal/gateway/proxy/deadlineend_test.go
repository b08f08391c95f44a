package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// beforeDeadline returns when the time that a request gives its replica has only so much left.
func beforeDeadline(r *http.Request, received time.Time, left time.Duration) {
	ms, _ := strconv.Atoi(r.Header.Get("Heatherbarrow-Deadline-Ms"))
	time.Sleep(time.Until(received.Add(time.Duration(ms)*time.Millisecond - left)))
}

// stopAtDeadline is a replica that works longer than the request allows: it sends a part of the answer and closes the
// connection in order when the time that it was given is over.
func stopAtDeadline(_ *endable, w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	contentType, text := answerFor(r)
	if contentType == "text/event-stream" {
		text = eventsText(2)
	} else {
		text = text[:len(text)-1]
	}
	c := writeUnframed(w, r, contentType, text)
	beforeDeadline(r, received, 0)
	_ = c.Close()
}

// Guards against part of an answer without a length that is passed off as the whole answer, because its replica stopped work
// when the time that it had been given was over.
func TestUnframedAnswerThatEndsAtItsDeadlineIsBroken(t *testing.T) {
	for _, path := range []string{"/quote/x", "/match/x", "/lookup/x", "/order/x"} {
		for i := range 8 {
			t.Run(fmt.Sprint(path, i), func(t *testing.T) {
				t.Parallel()
				g := newEndableGateway(t, newEndable(t, false, stopAtDeadline), newEndable(t, false, stopAtDeadline))
				response, err := g.send(t.Context(), testRequest{path: path, header: map[string]string{"Heatherbarrow-Deadline-Ms": "400"}})
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					assert.Error(t, err, "%q", body)
				}
			})
		}
	}
}

// Guards against streams that end before the time that their caller allows is over, as the replica is told less than is left
// and stops work.
func TestStreamInProgressLastsAsLongAsItsCallerAllows(t *testing.T) {
	const allowed = 400 * time.Millisecond
	begin := func(_ *endable, w http.ResponseWriter, r *http.Request) {
		received := time.Now()
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		w.Header().Set(sealHeader, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventsText(2))
		_ = http.NewResponseController(w).Flush()
		beforeDeadline(r, received, 0)
		panic(http.ErrAbortHandler)
	}
	for _, path := range []string{"/quote/x", "/match/x"} {
		for i := range 8 {
			t.Run(fmt.Sprint(path, i), func(t *testing.T) {
				t.Parallel()
				g := newEndableGateway(t, newEndable(t, false, begin))
				sent := time.Now()
				response, err := g.send(t.Context(), testRequest{path: path, header: map[string]string{"Heatherbarrow-Deadline-Ms": fmt.Sprint(allowed.Milliseconds())}})
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				assert.Error(t, err)
				assert.GreaterOrEqual(t, time.Since(sent), allowed)
			})
		}
	}
}

// Guards against sound answers without a length that are broken as they end in the last part of their time.
func TestUnframedAnswerThatEndsShortlyBeforeItsDeadlineIsComplete(t *testing.T) {
	late := func(_ *endable, w http.ResponseWriter, r *http.Request) {
		received := time.Now()
		contentType, text := answerFor(r)
		c := writeUnframed(w, r, contentType, text)
		beforeDeadline(r, received, 100*time.Millisecond)
		_ = c.Close()
	}
	for _, path := range []string{"/quote/x", "/match/x", "/lookup/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := newEndableGateway(t, newEndable(t, false, late))
			response, err := g.send(t.Context(), testRequest{path: path, header: map[string]string{"Heatherbarrow-Deadline-Ms": "700"}})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, wholeOf(path), string(body))
		})
	}
}
