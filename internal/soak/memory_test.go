package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway"
	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

const (
	memoryLimitMB  = 189
	floodedAtOnce  = 400
	floodBytes     = 1000 << 10 // a little less than the gateway's limits of an event and of a buffered answer
	floodHeadBytes = 60 << 10   // the same for a head
	maxFloodTime   = 10 * time.Second
	floodTimeout   = 20 * time.Second // of routes, so that a flood that pauses does not end by it
	// floodSilence is the number of steps without a byte after which the flood is complete.
	floodSilence     = 10
	floodSilenceStep = 50 * time.Millisecond
	floodOrderPath   = "/bulk/"
	maxSoundBytes    = 4 << 10
	floodPath        = "/flood/"
	// rigBufferBytes bounds the buffers of sockets at the other end of the gateway's connections.
	rigBufferBytes = 64 << 10
	floodPlainPath = "/plain/"
)

// flood is an answer of a faulty replica that does not end and pauses below the gateway's limits.
type flood struct {
	path    string // of the requests that are answered with it
	begin   string
	fill    func(i int) string // piece i of what follows
	bytes   int
	trickle bool // sends single bytes instead of the pause
	endless bool // repeats the content instead of the pause
	inHead  bool // the replica sends its own head
}

func repeated(piece string) func(int) string {
	block := strings.Repeat(piece, max(4<<10/len(piece), 1))
	return func(int) string { return block }
}

var floods = map[string]flood{
	"event":    {path: floodPath, begin: "id: 0\ndata: ", fill: repeated("x"), bytes: floodBytes},
	"trickle":  {path: floodPath, begin: "id: 0\ndata: ", fill: repeated("x"), bytes: floodBytes, trickle: true},
	"lines":    {path: floodPath, begin: "id: 0\n", fill: repeated("data: some text\n"), bytes: floodBytes},
	"comments": {path: floodPath, fill: repeated(": wait\n"), bytes: floodBytes},
	"plain":    {path: floodPlainPath, fill: repeated("x"), bytes: floodBytes},
	"order":    {path: floodOrderPath, fill: repeated("x"), bytes: floodBytes},
	"head": {path: floodPath, begin: "HTTP/1.1 200 OK\r\n", fill: func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" },
		bytes: floodHeadBytes, inHead: true},
}

// content returns the bytes before the pause.
func (f flood) content() []byte {
	var b bytes.Buffer
	b.WriteString(f.begin)
	for i := 0; b.Len() < f.bytes; i++ {
		b.WriteString(f.fill(i))
	}
	return b.Bytes()
}

// floodingReplica answers the requests of a flood with it, and others soundly.
type floodingReplica struct {
	*replica
	flood   flood
	content []byte // of the flood
	stop    chan struct{}
	begun   atomic.Int64
	sent    atomic.Int64 // bytes of content
	faulty  bool
}

// send sends the flood until the caller has closed.
func (r *floodingReplica) send(w io.Writer, flush func() error, gone <-chan struct{}) {
	const pieceBytes = 16 << 10
	for again := true; again; again = r.flood.endless {
		for piece := range slices.Chunk(r.content, pieceBytes) {
			if _, err := w.Write(piece); err != nil || flush() != nil {
				return
			}
			r.sent.Add(int64(len(piece)))
			runtime.Gosched() // sound requests are answered by the same process
		}
	}
	for r.flood.trickle {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-gone:
			return
		}
		if _, err := io.WriteString(w, "x"); err != nil || flush() != nil {
			return
		}
	}
	<-gone
}

func (r *floodingReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if !r.faulty || !strings.HasPrefix(q.URL.Path, r.flood.path) {
		r.replica.ServeHTTP(w, q)
		return
	}
	r.begun.Add(1)
	gone := make(chan struct{})
	defer context.AfterFunc(q.Context(), func() { close(gone) })()
	if r.flood.inHead {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r.send(c, func() error { return nil }, r.stop)
		return
	}
	w.Header().Set("Heatherbarrow-Attempt-Id", q.Header.Get("Heatherbarrow-Attempt-Id"))
	w.Header().Set("Heatherbarrow-Server-Seal", "seal-"+r.id)
	if r.flood.path == floodPath {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	r.send(w, http.NewResponseController(w).Flush, gone)
}

// smallBuffers bounds what the kernel holds of what a replica has sent: in a fleet, replicas share no memory for sockets with
// the gateway.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(rigBufferBytes) // fails only if the connection is closed
	}
	return c, err
}

// floodRig is a gateway beside flooding replicas.
type floodRig struct {
	t        *testing.T
	host     *host
	replicas []*floodingReplica
	client   *http.Client
	next     atomic.Int64
}

// startFloodRig starts the gateway with the given number in a lane, and replicas of which some are faulty. The timeout is that
// of the routes to the flood.
func startFloodRig(t *testing.T, lane, number int, f flood, replicas, faulty int, timeout time.Duration) *floodRig {
	store := storetest.New()
	t.Cleanup(store.Close)
	rig := &floodRig{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	for i := range replicas {
		r := &floodingReplica{replica: &replica{id: fmt.Sprintf("r%d", i), ledger: newLedger()}, flood: f,
			content: f.content(), stop: make(chan struct{}), faulty: i < faulty}
		r.born.Store(1)
		r.server = startServer(r, func(l net.Listener) net.Listener { return smallBuffers{l} })
		t.Cleanup(r.server.CloseClientConnections)
		t.Cleanup(func() { close(r.stop) })
		rig.replicas = append(rig.replicas, r)
		store.Put(platform.KindMembers, r.id, map[string]any{
			"service": "pool", "address": r.server.Listener.Addr().String(), "zone": zoneName(0), "slots": floodedAtOnce, "state": "ready", "born": 1,
		})
	}
	store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "pool"}}, "routes": []any{
			floodRoute("/lookup/", "idempotent", floodTimeout), floodRoute("/stream/", "streaming", floodTimeout), floodRoute(floodPath, "streaming", timeout),
			floodRoute(floodPlainPath, "idempotent", timeout), floodRoute(floodOrderPath, "non_idempotent", timeout),
		},
	})
	rig.host = startHost(t, t.TempDir(), lane, number, zoneName(0), store.Address(), nil, func(s *gateway.Settings) { s.MemoryLimitMB = memoryLimitMB })
	require.Eventually(t, func() bool { return rig.send("/lookup/x", "body") == nil }, callerDeadline, 20*time.Millisecond)
	return rig
}

func floodRoute(prefix, kind string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": prefix, "host": callerHost, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout.Milliseconds(), "service": "pool", "maxAttempts": 2, "public": true,
	}
}

// send sends a request and returns an error unless the answer is sound.
func (rig *floodRig) send(path, body string) error {
	id := fmt.Sprintf("flood-h-%d", rig.next.Add(1))
	answer, err := rig.request(context.Background(), id, path, body)
	if err == nil && !strings.Contains(answer, id) {
		err = fmt.Errorf("answer is %q", answer)
	}
	return err
}

// request sends a request and returns the body of a successful answer.
func (rig *floodRig) request(ctx context.Context, id, path, body string) (string, error) {
	q := newAttempt(ctx, rig.host, http.MethodPost, path, id, body, floodTimeout)
	q.Header.Del("Authorization") // the routes are public
	response, err := rig.client.Do(q)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var answer strings.Builder
	if _, err = io.CopyN(&answer, response.Body, maxSoundBytes); err == io.EOF {
		err = nil
	}
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer.String())
	}
	_, _ = io.Copy(io.Discard, response.Body) // of a flood
	return answer.String(), err
}

// flood sends floodedAtOnce requests that are answered with the flood, and sound requests beside them until the former
// have ended or bring no more bytes. It returns how many sound ones there were and those that were not served, by error.
func (rig *floodRig) flood(path string) (sound int, failed map[string]int) {
	ctx, cancel := context.WithTimeout(context.Background(), maxFloodTime)
	defer cancel()
	var flooded sync.WaitGroup
	for i := range floodedAtOnce {
		flooded.Go(func() {
			_, _ = rig.request(ctx, fmt.Sprintf("faulty-h-%d", i), path+"x", "body") // how it ends is not what is tested
		})
	}
	go func() {
		flooded.Wait()
		cancel()
	}()
	go func() {
		rig.awaitSilence(ctx)
		cancel()
	}()
	sound, _, failed = rig.sendSound(ctx.Done(), func(path string) (int, error) { return 0, rig.send(path, "body") })
	flooded.Wait()
	return sound, failed
}

// sendSound sends sound requests until over, each path at least once. It returns how many there were, how often they were refused and
// those that were not served, by error.
func (rig *floodRig) sendSound(over <-chan struct{}, send func(path string) (refused int, err error)) (sound, refusals int, failed map[string]int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed = make(map[string]int)
	for _, p := range []string{"/lookup/x", "/lookup/y", "/stream/x", "/stream/y"} {
		wg.Go(func() {
			for {
				refused, err := send(p)
				mu.Lock()
				sound++
				refusals += refused
				if err != nil {
					failed[err.Error()]++
				}
				mu.Unlock()
				select {
				case <-over:
					return
				default:
				}
			}
		})
	}
	wg.Wait()
	return sound, refusals, failed
}

// awaitSilence returns when the replicas have sent nothing more of the flood for a while, or when ctx has ended.
func (rig *floodRig) awaitSilence(ctx context.Context) {
	last, silent := int64(-1), 0
	for ctx.Err() == nil && silent < floodSilence {
		time.Sleep(floodSilenceStep)
		sent := int64(0)
		for _, r := range rig.replicas {
			sent += r.sent.Load()
		}
		if silent++; sent != last || sent == 0 {
			last, silent = sent, 0
		}
	}
}

// Guards against faulty replicas whose answers, each within its limits, together exceed the memory of the host: the
// process is killed, and the requests of all callers end with it.
func TestEndlessAnswersStayWithinTheMemoryOfTheHost(t *testing.T) {
	lane := takeLane(t)
	number := 0
	for name, f := range floods {
		number++
		t.Run(name, func(t *testing.T) {
			rig := startFloodRig(t, lane, number, f, 2, 2, floodTimeout)
			before := rig.host.residentKB("VmRSS")
			sound, failed := rig.flood(f.path)
			begun := int64(0)
			for _, r := range rig.replicas {
				begun += r.begun.Load()
			}
			t.Logf("resident: %d KB before, at most %d KB; %d requests flooded; %d sound requests, failed: %v",
				before, rig.host.residentKB("VmHWM"), begun, sound, failed)
			require.GreaterOrEqual(t, begun, int64(floodedAtOnce/2), "requests that reached the faulty replicas")
			assert.Less(t, rig.host.residentKB("VmHWM"), memoryLimitMB<<10, "KB resident at most")
			assert.Empty(t, failed, "sound requests")
		})
	}
}

// pausingBody is the body of a request whose caller pauses before its end.
type pausingBody struct {
	remaining int
	ctx       context.Context
	paused    func()
}

// Read implements io.Reader.
func (b *pausingBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		b.paused()
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.remaining)
	clear(p[:n])
	b.remaining -= n
	return n, nil
}

// Guards against callers whose request bodies, each within its limit, together exceed the memory of the host.
func TestRequestBodiesStayWithinTheMemoryOfTheHost(t *testing.T) {
	rig := startFloodRig(t, takeLane(t), 0, floods["event"], 2, 0, floodTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), maxFloodTime)
	defer cancel()
	var callers sync.WaitGroup
	var settled, refused atomic.Int64
	for i := range floodedAtOnce {
		callers.Go(func() {
			settle := sync.OnceFunc(func() { settled.Add(1) })
			defer settle()
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rig.host.settings.Listen+"/lookup/x",
				&pausingBody{remaining: floodBytes, ctx: ctx, paused: settle})
			if !assert.NoError(t, err) {
				return
			}
			q.Host = callerHost
			q.Header.Set("Heatherbarrow-Attempt-Id", fmt.Sprintf("body-h-%d", i))
			response, err := rig.client.Do(q)
			if err != nil {
				return // the test is over, or the refusal was lost with the rest of the body
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
				refused.Add(1)
			}
		})
	}
	for settled.Load() < floodedAtOnce && ctx.Err() == nil {
		time.Sleep(floodSilenceStep)
	}
	for range 10 {
		assert.NoError(t, rig.send("/lookup/x", "body"), "sound request")
	}
	cancel()
	callers.Wait()
	t.Logf("resident: at most %d KB; %d refused", rig.host.residentKB("VmHWM"), refused.Load())
	assert.Less(t, rig.host.residentKB("VmHWM"), memoryLimitMB<<10, "KB resident at most")
	assert.Positive(t, refused.Load(), "refused requests")
}

// Guards against callers whose request heads, each within its limit, together exceed the memory of the host.
func TestRequestHeadsStayWithinTheMemoryOfTheHost(t *testing.T) {
	rig := startFloodRig(t, takeLane(t), 0, floods["event"], 2, 0, floodTimeout)
	const headBytes = 240 << 10
	head := flood{begin: "POST /lookup/x HTTP/1.1\r\nHost: " + callerHost + "\r\n", fill: floods["head"].fill, bytes: headBytes}.content()
	var callers sync.WaitGroup
	for range floodedAtOnce {
		callers.Go(func() {
			c, err := net.Dial("tcp", rig.host.settings.Listen)
			if !assert.NoError(t, err) {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = c.Write(head) // the gateway may close the connection meanwhile
		})
	}
	callers.Wait()
	for range 10 {
		assert.NoError(t, rig.send("/lookup/x", "body"), "sound request")
	}
	t.Logf("resident: at most %d KB", rig.host.residentKB("VmHWM"))
	assert.Less(t, rig.host.residentKB("VmHWM"), memoryLimitMB<<10, "KB resident at most")
}
