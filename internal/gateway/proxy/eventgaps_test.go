package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
)

// tokenIDs are the IDs of a stream's events that count tokens.
var tokenIDs = []int{1, 2, 3, 6, 7, 8, 10, 11}

// eventsWithIDs returns the events with the given IDs that come after one.
func eventsWithIDs(after int, ids ...int) (text string) {
	for _, id := range ids {
		if id > after {
			text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		}
	}
	return text
}

// withIDs serves a stream of events with the given IDs, without those for which lost returns true.
func withIDs(ids []int, lost func(r *http.Request, id int) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			after = -1
		}
		for _, id := range ids {
			if !lost(r, id) {
				_, _ = io.WriteString(w, eventsWithIDs(after, id))
			}
		}
	}
}

// read sends a request for a stream and returns what arrives of it.
func (g *testGateway) read(path string) (text string, err error) {
	response, err := g.send(g.t.Context(), testRequest{path: path})
	require.NoError(g.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against sound streams that break off at each of several replicas because their IDs count tokens, beyond the first few, and
// against a further run of each of them.
func TestEventIDsOfSeveralReplicasMayCountTokens(t *testing.T) {
	none := func(*http.Request, int) bool { return false }
	replicas := []*countingReplica{newReplica(withIDs(tokenIDs, none)), newReplica(withIDs(tokenIDs, none)), newReplica(withIDs(tokenIDs, none))}
	g := newTestGateway(t, replicas[0], replicas[1], replicas[2])
	g.setVersions("v", "v", "v")
	for range 2 { // three gaps show how their IDs rise
		text, err := g.read("/quote/1")
		assert.True(t, strings.HasPrefix(eventsWithIDs(0, tokenIDs...), text), text)
		assert.Error(t, err)
	}
	text, err := g.read("/quote/1")
	assert.NoError(t, err)
	assert.Equal(t, eventsWithIDs(0, tokenIDs...), text)
	before := totalReceived(replicas...)
	for i := range 8 {
		path := []string{"/quote/1", "/match/1"}[i%2]
		text, err := g.read(path)
		assert.NoError(t, err, path)
		assert.Equal(t, eventsWithIDs(0, tokenIDs...), text, path)
	}
	assert.EqualValues(t, 8, totalReceived(replicas...)-before)
	status, text, _ := g.takeUp("attempt-1", "3")
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventsWithIDs(3, tokenIDs...), text)
}

// Guards against a missing event that is taken for a larger step because replicas of the service have lost events before: at times
// the same one, but most were sent by another replica.
func TestMissingEventsShowNoLargerSteps(t *testing.T) {
	ids := []int{0, 1, 2, 3, 4, 5}
	var runs, twice atomic.Int64
	loses := func(r *http.Request, id int) bool {
		first := r.Header.Get("Last-Event-Id") == ""
		return id == 3 && (first || twice.Load() == 1)
	}
	count := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { runs.Add(1); h(w, r) }
	}
	g := newTestGateway(t, newReplica(count(withIDs(ids, loses))), newReplica(count(withIDs(ids, loses))))
	g.setVersions("v", "v")
	for i := range 12 {
		twice.Store(int64(i % 2))
		text, err := g.read("/quote/1")
		if i%2 == 1 {
			assert.Error(t, err)
			assert.Equal(t, eventsWithIDs(-1, 0, 1, 2), text)
			continue
		}
		assert.NoError(t, err)
		assert.Equal(t, eventsWithIDs(-1, ids...), text)
	}
	assert.EqualValues(t, 24, runs.Load())
}

// Guards against a gap that is passed on by the only replica of a software version, beside replicas of others, or by what seems to be the
// only replica while the registrations are out of date.
func TestGapOfOnlyReplicaOfAVersionIsNotPassedOn(t *testing.T) {
	loses := func(_ *http.Request, id int) bool { return id == 3 }
	replica := func() http.Handler { return newReplica(withIDs([]int{0, 1, 2, 3, 4, 5}, loses)) }
	g := newTestGateway(t, replica(), replica())
	g.setVersions("v1", "v2")
	for range 8 {
		text, err := g.read("/quote/1")
		assert.Error(t, err)
		assert.Equal(t, eventsWithIDs(-1, 0, 1, 2), text)
	}
	g = newTestGateway(t, replica())
	g.setVersions("v")
	g.restart(func(o *proxy.Options) { o.RegistrationsCurrent = func() bool { return false } }, (&net.Dialer{}).DialContext)
	text, err := g.read("/quote/1")
	assert.Error(t, err)
	assert.Equal(t, eventsWithIDs(-1, 0, 1, 2), text)
}

// Guards against a gap that is passed on by what was the only replica at the host's last news of the registrations: another one may
// have joined since, which would send the missing event.
func TestGapIsNotPassedOnBeforeTheRegistrationsAreRead(t *testing.T) {
	ids := []int{0, 1, 2, 3, 4, 5}
	none := func(*http.Request, int) bool { return false }
	loses := func(_ *http.Request, id int) bool { return id == 3 }
	for _, test := range []struct {
		name   string
		joined bool  // another replica has joined meanwhile
		err    error // of the read
		text   string
		breaks bool
	}{
		{name: "joined", joined: true, text: eventsWithIDs(-1, ids...)},
		{name: "cannot be read", err: errors.New("the store cannot be read"), text: eventsWithIDs(-1, 0, 1, 2), breaks: true},
		{name: "alone", text: eventsWithIDs(-1, 0, 1, 2, 4, 5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, newReplica(withIDs(ids, loses)), newReplica(withIDs(ids, none)))
			g.setVersions("v", "v")
			g.fleet.SetMembers(g.members[:1])
			g.restart(func(o *proxy.Options) {
				o.RegistrationsCurrent = func() bool { return true } // as far as the host can tell
				o.RefreshRegistrations = func(context.Context) error {
					if test.joined {
						g.fleet.SetMembers(g.members)
					}
					return test.err
				}
			}, (&net.Dialer{}).DialContext)
			text, err := g.read("/quote/1")
			assert.Equal(t, test.breaks, err != nil, err)
			assert.Equal(t, test.text, text)
		})
	}
}
