package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

// registered sets the start of all replicas as they are registered; the registrations are taken for current.
func (g *testGateway) registered(versions ...string) {
	for i := range g.members {
		g.members[i].Started = registeredStart
	}
	g.setVersions(versions...)
}

// Guards against a stream joined from two versions because a registration that the store lists, but that another process
// has overtaken, was trusted: neither for the process that began the stream nor for the one it goes on at is the absence
// of contrary evidence a proof.
func TestStreamOnTrustedRegistrationIsNotJoined(t *testing.T) {
	began := 0
	for range 12 {
		replaced := newProcess(registeredStart+1, events("new", 8, 3))
		sound := newProcess(registeredStart, events("old", 8, -1))
		g := newTestGateway(t, replaced, sound)
		g.registered("v1", "v1")
		response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.Header.Get("Served-By") == "old" {
			require.NoError(t, err)
			g.origins.Record("began", origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
			status, _, header := g.takeUp("began", "4")
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "old", header.Get("Served-By"))
			assert.Zero(t, replaced.received.Load())
			continue
		}
		began++
		assert.Error(t, err)
		assert.Equal(t, eventsText(3), string(body))
		status, _, _ := g.takeUp("attempt-1", "2")
		assert.NotEqual(t, http.StatusOK, status)
		assert.Zero(t, sound.received.Load())
	}
	assert.Positive(t, began)
}

// Guards against a stream that was begun on trust and is lost when it breaks off or is taken up, although the registered
// process still answers.
func TestStreamOnTrustedRegistrationGoesOn(t *testing.T) {
	for range 8 {
		broken := newProcess(registeredStart, events("broken", 8, 3))
		sound := newProcess(registeredStart, events("sound", 8, -1))
		g := newTestGateway(t, broken, sound)
		g.registered("v1", "v1")
		status, body, _ := g.do(testRequest{path: "/quote/1"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, eventsText(8), body)
		status, _, _ = g.takeUp("attempt-1", "6")
		assert.Equal(t, http.StatusOK, status)
	}
}

// Guards against a stream that is lost with the process that began it, though that process could have been asked while it
// ran, and against questions to a process that is known already.
func TestStreamOnTrustedRegistrationOutlivesItsProcess(t *testing.T) {
	const streams = 4
	var gone atomic.Bool
	var breaking sync.WaitGroup
	breaking.Add(streams)
	release := make(chan struct{})
	p := newProcess(registeredStart, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventsText(3))
		_ = http.NewResponseController(w).Flush()
		breaking.Done()
		<-release
		panic(http.ErrAbortHandler)
	})
	mortal := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gone.Load() {
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	})
	sound := newProcess(registeredStart, events("sound", 8, -1))
	g := newTestGateway(t, mortal, sound)
	g.registered("v1", "v1")
	both := g.members
	g.members = both[:1]
	g.setVersions("v1")
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			status, body, _ := g.do(testRequest{path: "/quote/1", header: map[string]string{attemptIDHeader: fmt.Sprintf("attempt-%d", i)}})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, eventsText(8), body)
		})
	}
	breaking.Wait()
	require.Eventually(t, func() bool { return p.asked.Load() > 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	assert.EqualValues(t, 1, p.asked.Load(), "one answer shows it for all connections opened before")
	g.members = both
	g.setVersions("v1", "v1")
	gone.Store(true)
	close(release)
	wg.Wait()
	status, _, header := g.takeUp("attempt-1", "4")
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "sound", header.Get("Served-By"))
}

// Guards against a host that goes on with a stream which another host began on trust, without asking the process that is
// assumed to have begun it, and against one that refuses it although that process answers.
func TestAssumedOriginIsInquiredWhenLookedUp(t *testing.T) {
	first := newProcess(registeredStart, events("first", 8, -1))
	sound := newProcess(registeredStart, events("sound", 8, -1))
	g := newTestGateway(t, first, sound)
	g.registered("v1", "v1")
	for _, test := range []struct {
		started int64
		status  int
	}{{registeredStart, http.StatusOK}, {registeredStart - 1, http.StatusServiceUnavailable}, {registeredStart + 1, http.StatusServiceUnavailable}} {
		id := fmt.Sprintf("began-%d", test.started)
		g.origins.Record(id, origin.Origin{Upstream: "pool", Version: origin.AssumedVersion(g.members[0].ID, test.started)}, time.Now())
		asked := first.asked.Load()
		status, _, _ := g.sibling().takeUp(id, "4")
		assert.Equal(t, test.status, status)
		if test.started >= registeredStart {
			assert.Greater(t, first.asked.Load(), asked)
		}
	}
}

// Guards against a stream that is lost with the process that began it on trust, though the registrations that follow leave
// no other version, and against one that goes on at a version that may not be its own.
func TestStreamOfEndedProcessIsTakenUpIfRegistrationsTellItsVersion(t *testing.T) {
	for _, test := range []struct {
		name    string
		version string // that the next process registers; empty if the registration lapses
		stale   bool   // the registrations may be out of date
		status  int
	}{
		{name: "same version", version: "v1", status: http.StatusOK},
		{name: "lapsed", status: http.StatusServiceUnavailable},
		{name: "other version", version: "v2", status: http.StatusServiceUnavailable},
		{name: "out of date", version: "v1", stale: true, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			var ended, stale atomic.Bool
			mortal := newProcess(registeredStart, events("mortal", 8, 3))
			p := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if ended.Load() || r.URL.Path == "/v1/report" {
					panic(http.ErrAbortHandler)
				}
				mortal.ServeHTTP(w, r)
			})
			g := newTestGateway(t, p, newProcess(registeredStart, events("sound", 8, -1)))
			g.restart(func(o *proxy.Options) {
				o.RegistrationsCurrent = func() bool { return !stale.Load() }
				o.RefreshRegistrations = func(context.Context) error {
					if stale.Load() {
						return errors.New("the store cannot be read")
					}
					return nil
				}
			}, (&net.Dialer{}).DialContext)
			both := g.members
			g.members = both[:1]
			g.registered("v1")
			response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.Error(t, err)
			require.Equal(t, eventsText(3), string(body))
			ended.Store(true)
			both[1].Started, both[1].SoftwareVersion = registeredStart, "v1"
			g.fleet.SetMembers(both)
			status, _, header := g.takeUp("attempt-1", "2")
			assert.Equal(t, http.StatusServiceUnavailable, status, "it is registered, and does not answer")
			assert.NotEmpty(t, header.Get("Retry-After"))
			if test.version == "" {
				g.fleet.SetMembers(both[1:])
			} else {
				both[0].Started, both[0].SoftwareVersion = registeredStart+1, test.version
				g.fleet.SetMembers(both)
			}
			stale.Store(test.stale)
			for range 4 {
				status, body, header := g.takeUp("attempt-1", "2")
				require.Equal(t, test.status, status)
				if status == http.StatusOK {
					assert.Equal(t, eventsText(8), eventsText(3)+body)
				}
				assert.Equal(t, test.stale, header.Get("Retry-After") != "", "it may be taken up later")
			}
		})
	}
}

// Guards against a stream joined from two software versions: what began it had taken over a replica's ID unnoticed, was never
// registered, and the registration that it had overtaken lapsed.
func TestStreamOfUnregisteredProcessIsNotJoinedWhenTheRegistrationLapses(t *testing.T) {
	var ended atomic.Bool
	overtaker := newProcess(registeredStart+1, events("v2", 8, 3)) // of another version
	p := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ended.Load() || r.URL.Path == "/v1/report" {
			panic(http.ErrAbortHandler)
		}
		overtaker.ServeHTTP(w, r)
	})
	sound := newProcess(registeredStart, events("v1", 8, -1))
	g := newTestGateway(t, p, sound)
	both := g.members
	g.members = both[:1]
	g.registered("v1")
	response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.Error(t, err)
	require.Equal(t, eventsText(3), string(body))
	ended.Store(true)
	both[1].Started, both[1].SoftwareVersion = registeredStart, "v1"
	g.fleet.SetMembers(both[1:])
	status, _, _ := g.takeUp("attempt-1", "2")
	assert.NotEqual(t, http.StatusOK, status, "goes on at v1 what v2 began")
}

// Guards against the same where another host takes the stream up, which has not heard of that process, after the version before has come
// back under the ID.
func TestStreamOfUnregisteredProcessIsNotJoinedAtAnotherHost(t *testing.T) {
	var ended atomic.Bool
	overtaker := newProcess(registeredStart+1, events("v2", 8, 3))
	p := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ended.Load() {
			panic(http.ErrAbortHandler)
		}
		overtaker.ServeHTTP(w, r)
	})
	g := newTestGateway(t, p, newProcess(registeredStart, events("v1", 8, -1)))
	both := g.members
	g.members = both[:1]
	g.registered("v1")
	response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.Error(t, err)
	require.Equal(t, eventsText(3), string(body))
	other := g.sibling()
	ended.Store(true)
	both[0].Started, both[0].SoftwareVersion = registeredStart+2, "v1"
	both[1].Started, both[1].SoftwareVersion = registeredStart, "v1"
	other.fleet.SetMembers(both)
	status, _, _ := other.takeUp("attempt-1", "2")
	assert.NotEqual(t, http.StatusOK, status, "goes on at v1 what v2 began")
}
