package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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

// numbering is the IDs of a stream's events.
type numbering struct {
	name string
	id   func(i int) int
}

var (
	byOne  = numbering{"by one", func(i int) int { return i }}
	byTen  = numbering{"by ten", func(i int) int { return 10 * i }}
	uneven = numbering{"unevenly", func(i int) int { return i*i + i }}
)

const numberedEvents = 6 // of each stream

func (n *numbering) event(i int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n.id(i), i) }

// text returns the events from the given one on.
func (n *numbering) text(from int) (text string) {
	for i := from; i < numberedEvents; i++ {
		text += n.event(i)
	}
	return text
}

// startNumberedReplicas starts a gateway with two replicas, of which the first to be sent a request sends what faulty
// returns for the given event instead. The other one is sound.
func startNumberedReplicas(t *testing.T, n numbering, faulty func(i int) string) *testGateway {
	var runs atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		isFaulty := runs.Add(1) == 1
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		lastID := -1
		if text := r.Header.Get("Last-Event-Id"); text != "" {
			lastID, _ = strconv.Atoi(text)
		}
		for i := range numberedEvents {
			text := n.event(i)
			switch {
			case n.id(i) <= lastID:
				continue
			case isFaulty:
				text = faulty(i)
			}
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
	}
	g := newTestGateway(t, newReplica(serve), newReplica(serve))
	g.setVersions("v", "v")
	return g
}

// Guards against an event that comes again or late because IDs that rise by more than one are taken as they come.
func TestEventThatComesAgainIsNotForwarded(t *testing.T) {
	for _, n := range []numbering{byOne, byTen, uneven} {
		for at := 1; at < numberedEvents; at++ {
			for fault, earlier := range map[string]int{"repeated": at - 1, "back": max(at-2, 0)} {
				g := startNumberedReplicas(t, n, func(i int) string {
					if i == at {
						i = earlier
					}
					return n.event(i)
				})
				status, body, _ := g.do(testRequest{path: "/quote/1"})
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, n.text(0), body, "IDs rise %s, event %d %s", n.name, at, fault)
			}
		}
	}
}

// Guards against streams that cannot be taken up because their IDs rise by more than one, and against events that come again where the
// caller takes a stream up, which the host may not have seen before.
func TestStreamsAreTakenUpHoweverTheirIDsRise(t *testing.T) {
	for _, n := range []numbering{byOne, byTen, uneven} {
		for from := 1; from < numberedEvents; from++ {
			sound := startNumberedReplicas(t, n, n.event)
			status, body, _ := sound.takeUp("began", strconv.Itoa(n.id(from-1)))
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, n.text(from), body, "IDs rise %s, from event %d", n.name, from)
			repeats := startNumberedReplicas(t, n, func(i int) string {
				if i == from {
					return n.event(from-1) + n.event(from)
				}
				return n.event(i)
			})
			status, body, _ = repeats.takeUp("began", strconv.Itoa(n.id(from-1)))
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, n.text(from), body, "IDs rise %s, event %d comes again", n.name, from-1)
		}
	}
}

// Guards against a stream of two events whose second one is not passed on.
func TestStreamOfTwoEventsKeepsBoth(t *testing.T) {
	const text = "id: 10\ndata: a\n\nid: 20\ndata: b\n\n"
	for _, rest := range []string{"", "data: without an ID\n\n"} {
		g := newTestGateway(t, newReplica(func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, text+rest)
		}))
		status, body, _ := g.do(testRequest{path: "/match/x"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, text+rest, body)
	}
}

// Guards against a sound stream whose IDs count tokens and that is broken off because the tokens of some events are a multiple
// of those of others.
func TestEventIDsMayCountTokens(t *testing.T) {
	for _, ids := range [][]int{{1, 2, 3, 6, 8}, {1, 5, 6, 8}, {0, 2, 4, 8, 10}, {0, 4, 6, 9}} {
		var text strings.Builder
		for _, id := range ids {
			_, _ = fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", id, id)
		}
		g := newTestGateway(t, newReplica(func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, text.String())
		}))
		response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
		if !assert.NoError(t, err, "%v", ids) {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NoError(t, err, "%v", ids)
		assert.Equal(t, text.String(), string(body), "%v", ids)
	}
}
