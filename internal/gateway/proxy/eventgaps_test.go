package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// risingIDs are IDs of sound streams. They rise, and nothing else is promised of them: they may count tokens.
var risingIDs = map[string][]int{
	"by one, each fourth by two":    {1, 2, 3, 5, 6, 7, 8, 10, 11, 12, 13, 15},
	"by one, once by two at an end": {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 13},
	"by one, the second by two":     {1, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13},
	"by one to four":                {2, 3, 7, 9, 10, 13, 17, 18, 20, 21, 25, 26},
	"by two, some by four or six":   {2, 4, 6, 10, 12, 18, 20, 22, 26, 28, 30, 36},
	"by five, the last by ten":      {5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 55, 65},
}

// eventsWithIDs returns the events with the given IDs that come after one.
func eventsWithIDs(after int, ids ...int) (text string) {
	for _, id := range ids {
		if id > after {
			text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		}
	}
	return text
}

// withIDs serves a stream of events with the given IDs, each of which the caller gets by itself. A stream that begins with the first
// event breaks off after breakAfter events, unless that is 0.
func withIDs(ids []int, breakAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		begins := err != nil
		for i, id := range ids {
			if begins && breakAfter > 0 && i == breakAfter {
				panic(http.ErrAbortHandler)
			}
			if begins || id > after {
				_, _ = io.WriteString(w, eventsWithIDs(-1, id))
				_ = http.NewResponseController(w).Flush()
			}
		}
	}
}

// read sends a request for a stream and returns what arrives of it.
func (g *testGateway) read(path string) (text string, err error) {
	response, err := g.send(g.t.Context(), testRequest{path: path, header: promptHeader})
	require.NoError(g.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against sound streams that are broken off, or run again at another replica, because their IDs do not rise evenly: from the
// first stream of a host on, whether they may be resumed or not, with one replica or several, here or at the host that runs them.
func TestStreamsAreWholeHoweverTheirIDsRise(t *testing.T) {
	for name, ids := range risingIDs {
		for _, replicas := range []int{1, 3} {
			for _, delegated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/delegated=%t", name, replicas, delegated), func(t *testing.T) {
					t.Parallel()
					all := make([]*countingReplica, 3)
					handlers := make([]http.Handler, replicas)
					for i := range handlers {
						all[i] = newReplica(withIDs(ids, 0))
						handlers[i] = all[i]
					}
					g := newTestGateway(t, handlers...)
					g.setVersions([]string{"v", "v", "v"}[:replicas]...)
					if delegated {
						links := &cutLinks{open: make(chan net.Conn, 100)}
						g.addHelpers(links, g.sibling(), g.sibling())
						links.begin(refuses)
					}
					for i := range 8 {
						path := []string{"/quote/1", "/match/1"}[i%2]
						text, err := g.read(path)
						assert.NoError(t, err, path)
						assert.Equal(t, eventsWithIDs(-1, ids...), text, path)
					}
					assert.EqualValues(t, 8, totalReceived(all[:replicas]...))
				})
			}
		}
	}
}

// Guards against sound streams that do not go on, or not at the next event, because their IDs do not rise evenly: after a replica
// has broken off, and where their callers take them up.
func TestStreamsGoOnHoweverTheirIDsRise(t *testing.T) {
	for name, ids := range risingIDs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for begun := 1; begun < len(ids); begun++ {
				g := newTestGateway(t, newReplica(withIDs(ids, begun)), newReplica(withIDs(ids, begun)))
				g.setVersions("v", "v")
				text, err := g.read("/quote/1")
				assert.NoError(t, err, begun)
				assert.Equal(t, eventsWithIDs(-1, ids...), text, begun)
				status, text, _ := g.takeUp("attempt-1", strconv.Itoa(ids[begun-1]))
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, eventsWithIDs(ids[begun-1], ids...), text)
			}
		})
	}
}
