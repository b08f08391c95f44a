package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/proxy"
)

// process is a replica that reports when it started, if born is not 0.
type process struct {
	*countingReplica
	born  int64
	asked atomic.Int64
}

func newProcess(born int64, h http.HandlerFunc) *process {
	return &process{countingReplica: newReplica(h), born: born}
}

func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/report" {
		p.countingReplica.ServeHTTP(w, r)
		return
	}
	p.asked.Add(1)
	if p.born == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprintf(w, `{"stage":"colocated","born":%d}`, p.born)
}

// registeredStart is the start of all replicas as they are registered.
const registeredStart = 1_700_000_000_000

// withoutStore makes the registrations of the replicas out of date.
func (g *testGateway) withoutStore() {
	for i := range g.members {
		g.members[i].Started = registeredStart
	}
	g.restart(func(o *proxy.Options) { o.RegistrationsCurrent = func() bool { return false } }, (&net.Dialer{}).DialContext)
}

// Guards against streams that are taken for those of a software version while another process, maybe of another
// version, has taken over the replica's ID and address and the store is away: neither the answer nor the caller may
// go on at the version of the registration. It also guards against refusing what may go on at the same process.
func TestStreamOfReplacedProcessGoesOnThereOnly(t *testing.T) {
	replaced := newProcess(registeredStart+1, events("new", 8, 3))
	sound := newProcess(registeredStart, events("old", 8, -1))
	g := newTestGateway(t, replaced, sound)
	g.withoutStore()
	g.setVersions("v1", "v1")
	broken := 0
	for i := range 20 {
		first := fmt.Sprintf("attempt-%d", i)
		response, err := g.send(t.Context(), testRequest{path: "/quote/1", header: map[string]string{attemptIDHeader: first}})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.Header.Get("Served-By") == "old" {
			assert.NoError(t, err)
			continue
		}
		broken++
		assert.Error(t, err)
		assert.Equal(t, eventsText(3), string(body))
		status, body2, header := g.takeUp(first, "2")
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "new", header.Get("Served-By"))
		assert.Equal(t, eventsText(8), eventsText(3)+body2)
	}
	assert.Positive(t, broken)
}

// Guards against a stream whose version is inferred although its process did not tell which one it is.
func TestStreamOfSilentProcessGoesOnNowhere(t *testing.T) {
	silent := newProcess(0, events("silent", 8, 3))
	g := newTestGateway(t, silent, newProcess(registeredStart, events("old", 8, -1)))
	g.withoutStore()
	g.members = g.members[:1]
	g.setVersions("v1")
	response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.Error(t, err)
	assert.Equal(t, eventsText(3), string(body))
	status, _, header := g.takeUp("attempt-1", "2")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Empty(t, header.Get("Retry-After"), "its version stays unknown")
}

// Guards against a stream that goes on at a process that has taken over ID and address of a replica of its version,
// and against one that goes on nowhere although a replica of its version serves.
func TestStreamGoesOnAtRegisteredProcessOnly(t *testing.T) {
	replaced := newProcess(registeredStart+1, events("new", 8, -1))
	sound := newProcess(registeredStart, events("old", 8, -1))
	g := newTestGateway(t, replaced, sound)
	g.withoutStore()
	g.setVersions("v1", "v1")
	for i := range 8 {
		first := fmt.Sprintf("began-%d", i)
		g.origins.Record(first, origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
		status, _, header := g.takeUp(first, "4")
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "old", header.Get("Served-By"))
	}
	assert.Zero(t, replaced.received.Load())
}

// Guards against questions to replicas, which cost, while nothing speaks against their registrations.
func TestProcessIsNotAskedWithoutDoubt(t *testing.T) {
	replica := newProcess(registeredStart, events("a", 8, -1))
	g := newTestGateway(t, replica)
	g.members[0].Started = registeredStart
	g.setVersions("v1")
	for range 4 {
		status, _, _ := g.do(testRequest{path: "/quote/1"})
		assert.Equal(t, http.StatusOK, status)
	}
	assert.Zero(t, replica.asked.Load())
	g.failReplica(0)
	g.restart(func(*proxy.Options) {}, (&net.Dialer{}).DialContext) // without connections from before
	for range 4 {
		status, _, _ := g.do(testRequest{path: "/quote/1"})
		assert.Equal(t, http.StatusOK, status)
	}
	assert.EqualValues(t, 1, replica.asked.Load(), "once after a connection failed")
}

// Guards against a replica that counts as silent, and takes no stream that goes on, because a caller left while its process
// was asked.
func TestCallerThatLeavesMakesNoReplicaSilent(t *testing.T) {
	asked := make(chan struct{}, 10)
	p := newProcess(registeredStart, events("a", 8, -1))
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			asked <- struct{}{}
			time.Sleep(50 * time.Millisecond)
		}
		p.ServeHTTP(w, r)
	})
	g := newTestGateway(t, slow)
	g.withoutStore()
	g.setVersions("v1")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	_, err := g.send(ctx, testRequest{path: "/quote/1"})
	require.Error(t, err)
	time.Sleep(20 * time.Millisecond)
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
	status, body, _ := g.takeUp("began", "4")
	assert.Equal(t, http.StatusOK, status, body)
}
