package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against sound streams that break off because the IDs of their events increase by more than one.
func TestEventIDsMayRiseByMoreThanOne(t *testing.T) {
	const events = 4
	for name, id := range map[string]func(i int) int{
		"by ten": func(i int) int { return 10 * i }, "unevenly": func(i int) int { return i*i + i },
	} {
		replica := newReplica(func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range events {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id(i), i)
			}
		})
		g := newTestGateway(t, replica)
		response, err := g.send(t.Context(), testRequest{path: "/match/x", header: promptHeader})
		if !assert.NoError(t, err, name) {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NoError(t, err, "%s: broken after %q", name, body)
	}
}
