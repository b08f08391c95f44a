package gateway_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/hbctl"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/platform"
)

// Guards against an hbctl gateways command that does not show which configuration a host
// uses, which replicas it knows, why it refuses requests, or which hosts are unreachable.
func TestGatewaysCommandShowsGatewayState(t *testing.T) {
	g := startGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Server-Limit", "2.5")
		_, _ = io.WriteString(w, "x")
	})
	g.store.Put(platform.KindParts, "c0ffee", poisonpart.NewRecord(&poisonpart.Entry{
		Part: 0xc0ffee, Quarantined: true, Expires: time.Now().Add(time.Minute), Crashes: []poisonpart.Crash{{Replica: 1, At: time.Now()}},
	}))
	hbctlOutput := func(args ...string) (string, string, int) {
		var stdout, stderr bytes.Buffer
		code := hbctl.Main(append([]string{"gateways"}, args...), &stdout, &stderr)
		return stdout.String(), stderr.String(), code
	}
	require.Eventually(t, func() bool {
		out, _, code := hbctlOutput(g.PeerListen)
		return code == cli.ExitOK && strings.Contains(out, "none")
	}, 20*time.Second, 5*time.Millisecond, "the output shows no configuration before one is stored")
	g.putConfig(t, 7)
	response, err := http.Get("http://" + g.Listen + "/none/")
	require.NoError(t, err)
	_ = response.Body.Close()
	request, err := http.NewRequest(http.MethodGet, "http://"+g.Listen+"/r/1", nil)
	require.NoError(t, err)
	request.Header.Set("Heatherbarrow-Attempt-Id", "1")
	response, err = http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()

	var out string
	require.Eventually(t, func() bool {
		var code int
		out, _, code = hbctlOutput("--replicas", g.PeerListen, "127.0.0.1:1")
		return code == cli.ExitOK && strings.Contains(out, "no_route") && strings.Contains(out, "c0ffee")
	}, 20*time.Second, 5*time.Millisecond)
	assert.Regexp(t, `h +a +true +7 +store +\d+s +reached +1 +0 +\d{4}-\d\d-\d\dT\S+Z +`+regexp.QuoteMeta(cli.Build()), out)
	assert.Regexp(t, `h +no_route +1`, out)
	assert.Regexp(t, `h +c0ffee +1 +true +\d+s`, out, "a part that the hosts refused before they restarted")
	assert.Regexp(t, `h +pool +i-1 +127\.0\.0\.1:\d+ +a +ready +0 +0 ms +0\.00 +\d\.\d+ +2\.5/s`, out)
	assert.Contains(t, out, "127.0.0.1:1  ", "an unreachable gateway is listed with the reason")

	_, errOutput, code := hbctlOutput("127.0.0.1:1")
	assert.Equal(t, cli.ExitFailure, code)
	assert.Contains(t, errOutput, "none of 1 gateways could be reached")
	_, errOutput, code = hbctlOutput()
	assert.Equal(t, cli.ExitFailure, code)
	assert.Contains(t, errOutput, "peer_listen")
}

// Guards against hosts that forget with a restart which requests crash replicas, and send them again.
func TestRequestRefusedBeforeRestartIsRefused(t *testing.T) {
	const target = "/r/poison"
	var arrived atomic.Int32
	g := startGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == target {
			arrived.Add(1)
			panic(http.ErrAbortHandler) // a complete answer would show that the request is sound
		}
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Heatherbarrow-Attempt-Id", r.Header.Get("Heatherbarrow-Attempt-Id"))
		_, _ = io.WriteString(w, "x")
	})
	entry := poisonpart.Entry{Part: xxhash.Sum64String("GET " + target + "\n"), Quarantined: true, Expires: time.Now().Add(time.Minute)}
	for i := range 3 {
		entry.Crashes = append(entry.Crashes, poisonpart.Crash{Replica: uint64(i), At: time.Now().Add(time.Duration(i-10) * time.Second)})
	}
	g.store.Put(platform.KindRequests, poisonpart.Name(entry.Part), poisonpart.NewRecord(&entry))
	g.putConfig(t, 1)
	status := func(target string) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+g.Listen+target, nil)
		require.NoError(t, err)
		request.Header.Set("Heatherbarrow-Attempt-Id", "1")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	require.Eventually(t, func() bool { return status(target) == http.StatusServiceUnavailable }, 20*time.Second, 5*time.Millisecond)
	assert.Equal(t, http.StatusOK, status("/r/sound"))
	sent := arrived.Load()

	// The store loses what the hosts wrote there; they write it again.
	saved := g.store.Copy()
	saved.Drop(platform.KindRequests)
	g.store.Restore(saved)
	require.Zero(t, g.store.Count(platform.KindRequests))
	assert.Eventually(t, func() bool { return g.store.Count(platform.KindRequests) == 1 }, 20*time.Second, 5*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, status(target))
	assert.Equal(t, sent, arrived.Load(), "requests reach the replica after the first refusal")
}

// Guards against hosts that forget the crashes of a part or a request with a restart before it is refused, so that it
// crashes more replicas in each of their lives. Found by KNOWN-RED 7 (BUDGET).
func TestSuspectsAreKnownAfterRestart(t *testing.T) {
	g := startGateway(t, func(http.ResponseWriter, *http.Request) {})
	kinds := []string{platform.KindParts, platform.KindRequests}
	for _, kind := range kinds {
		var entries []poisonpart.Entry
		for part, crashes := range []int{1: 1, 2: 2} {
			e := poisonpart.Entry{Part: uint64(part), Expires: time.Now().Add(time.Minute)}
			for i := range crashes {
				e.Crashes = append(e.Crashes, poisonpart.Crash{Replica: uint64(i), At: time.Now().Add(time.Duration(i-10) * time.Second)})
			}
			entries = append(entries, e)
		}
		g.store.Put(kind, "suspects", poisonpart.NewSuspectsRecord(entries))
	}
	g.putConfig(t, 1)
	for _, kind := range kinds {
		require.Eventually(t, func() bool { return g.store.ListCalls(kind) > 0 }, 20*time.Second, 5*time.Millisecond)
	}
	time.Sleep(time.Second) // until the lists are applied

	// The store loses what the hosts wrote there; they write again what they know.
	saved := g.store.Copy()
	for _, kind := range kinds {
		saved.Drop(kind)
	}
	g.store.Restore(saved)
	for _, kind := range kinds {
		assert.Eventually(t, func() bool { return g.store.Count(kind) == 1 }, 20*time.Second, 5*time.Millisecond)
		written, err := json.Marshal(g.store.Spec(kind, "suspects"))
		require.NoError(t, err)
		var record poisonpart.SuspectsRecord
		require.NoError(t, json.Unmarshal(written, &record))
		require.Len(t, record.Suspects, 1, "one with a single crash is not kept: %s", written)
		assert.Equal(t, "2", record.Suspects[0].Part)
		assert.Len(t, record.Suspects[0].Crashes, 2)
	}
}
