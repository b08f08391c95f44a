package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an event that breaks off after a line which fills the buffer of the gateway, counts as whole, and is joined with
// the next one of the replica that goes on.
func TestEventThatBreaksOffAfterLongLineIsNotJoined(t *testing.T) {
	const bufferBytes = 4 << 10
	long := "data: " + strings.Repeat("x", bufferBytes-len("data: "))
	event := func(i int) string { return fmt.Sprintf("id: %d\n%s\n\n", i, long) }
	breaks := newReplica(func(w http.ResponseWriter, _ *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event(0)+strings.TrimSuffix(event(1), "\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	goesOn := newReplica(func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		next := 0
		if text := r.Header.Get("Last-Event-Id"); text != "" {
			last, err := strconv.Atoi(text)
			assert.NoError(t, err)
			next = last + 1
		}
		for ; next < 4; next++ {
			_, _ = io.WriteString(w, event(next))
		}
	})
	g := newTestGateway(t, breaks, goesOn)
	for breaks.received.Load() == 0 {
		_, body, _ := g.do(testRequest{path: "/quote/x", header: promptHeader})
		assert.Equal(t, event(0)+event(1)+event(2)+event(3), body)
	}
}
