package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/platform/storetest"
)

const (
	longStreamKeys   = "/stream/k" // with which the paths of long streams begin
	longStreamEvents = 40
	// maxJoinedStreams and minTakeUpShare are the operators' bounds: so many streams may hold events of
	// two software versions, and of the streams that callers take up, at least half as many go on as new
	// ones begin.
	maxJoinedStreams = 2
	minTakeUpShare   = 0.5
	maxTakeUps       = 3
)

// longStream writes events that name the replica's software version. One in eight of the streams
// breaks off.
func (r *replica) longStream(w http.ResponseWriter, q *http.Request, id string) {
	run := fmt.Sprintf("%s %s/%d/%s %s", strings.TrimPrefix(q.URL.Path, "/stream/"), r.id, r.born.Load(), id, r.softwareVersion())
	w.Header().Set("Content-Type", "text/event-stream")
	last := -1
	if text := q.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &last)
	}
	breakAt := -1
	if rand.IntN(8) == 0 {
		breakAt = last + 2 + rand.IntN(longStreamEvents)
	}
	for i := last + 1; i < longStreamEvents; i++ {
		time.Sleep(20 * time.Millisecond)
		if i == breakAt {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d %s\n\n", i, i, run); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// longCallers returns callers of long streams at all hosts.
func (d *deployment) longCallers(every time.Duration) *rigCallers {
	g := &streamRig{deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	d.t.Cleanup(g.client.CloseIdleConnections)
	g.routes = []*streamRoute{{name: "stream", resumable: true, events: longStreamEvents}}
	return &rigCallers{g: g, every: every, noPrompt: true, random: rand.New(rand.NewPCG(rand.Uint64(), 0))}
}

// followBeside is follow with what runs beside it from half of the time on.
func (c *rigCallers) followBeside(lasts time.Duration, beside func()) []*followed {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		time.Sleep(lasts / 2)
		beside()
	})
	return c.follow(lasts)
}

// joined returns the streams that hold events of two software versions.
func joined(all []*followed) (both []string) {
	for _, f := range all {
		if len(f.versions) > 1 {
			both = append(both, fmt.Sprintf("%v of versions %v", f, f.versions))
		}
	}
	return both
}

// release replaces the replicas of v1 by others of v3, as an operator would.
func (d *deployment) release() {
	for i, r := range d.replicas {
		if r.softwareVersion() != "v1" {
			continue
		}
		d.register(i, "draining")
		time.Sleep(2500 * time.Millisecond)
		d.replace(i, "v3")
	}
}

// setVersions gives even replicas the software version v1, odd ones v2.
func (d *deployment) setVersions() {
	for i := range d.replicas {
		d.replace(i, fmt.Sprintf("v%d", 1+i%2))
	}
}

// replace starts a replica again as another process with the given software version.
func (d *deployment) replace(i int, version string) {
	d.replicas[i].software.Store(&version)
	d.replicas[i].startAgain()
	d.register(i, "ready")
}

// killAll kills hosts and starts them again after a while. meanwhile runs before they start.
func killAll(hosts []*host, meanwhile func()) {
	for _, h := range hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		h.wait()
	}
	meanwhile()
	for _, h := range hosts {
		h.start()
	}
}

// Guards against streams that go on at a replica whose software version is not the one that began them:
// within an answer, when callers take them up at hosts that never saw their beginning, while versions come
// and leave, and after all hosts were killed, with the store in place, away or restored from a copy. It also
// guards against the remedy of refusing all that is taken up.
func TestStreamsGoOnAtTheSoftwareVersionThatBeganThem(t *testing.T) {
	concurrently(t)
	d := newDeployment(t, 3, 2, false)
	d.setVersions()
	awaitReady(t, d.hosts)
	time.Sleep(500 * time.Millisecond) // until all hosts know the versions
	s := d.longCallers(15 * time.Millisecond)
	check := func(name string, streams []*followed, versions ...string) {
		checkFollowed(t, name, streams)
		assert.Empty(t, judgeOrder(streams), name)
		if versions == nil {
			return
		}
		_, _, takenUp, wentOn := shares(slices.DeleteFunc(slices.Clone(streams), func(f *followed) bool {
			return len(f.versions) == 0 || !slices.Contains(versions, f.versions[0])
		}))
		all, began, _, _ := shares(streams)
		assert.GreaterOrEqual(t, takenUp, 12.0, "%s: too few streams were taken up to tell", name)
		assert.GreaterOrEqual(t, wentOn/takenUp, minTakeUpShare*began/all, name)
	}
	check("within an answer", s.follow(2*time.Second))
	s.hangUp = 0.25
	check("taken up at other hosts", s.follow(2*time.Second), "v1", "v2")
	check("one host killed", s.followBeside(2*time.Second, func() { d.hosts[1].restart(syscall.SIGKILL, 0) }), "v1", "v2")
	check("release", s.followBeside(6*time.Second, d.release), "v2")
	check("all hosts killed", s.followBeside(4*time.Second, func() { killAll(d.hosts, func() {}) }))
	check("all hosts killed, store away", s.followBeside(4*time.Second, func() {
		killAll(d.hosts, func() { d.store.SetFault(storetest.Down) })
		time.Sleep(time.Second)
		d.store.SetFault(storetest.None)
	}))
	saved := d.store.Copy()
	check("all hosts killed, store restored", s.followBeside(4*time.Second, func() {
		killAll(d.hosts, func() {
			d.store.Restore(saved)
			d.writes.Lock()
			defer d.writes.Unlock()
			d.putConfig(d.version.Load())
			for i := range d.replicas {
				d.writeEntry(i)
			}
		})
	}))
}

// Guards against streams that are refused, or go on at another software version, at the only host that is left: the hosts which began them
// and those which were told of them have ended together, and each caller tries once.
func TestStreamsAreTakenUpAtTheOnlyHostLeft(t *testing.T) {
	concurrently(t)
	const hosts, down = 8, 3 * time.Second // of a zone, in which two are told of each stream
	d := newDeployment(t, 1, hosts, false)
	d.setVersions()
	awaitReady(t, d.hosts)
	time.Sleep(500 * time.Millisecond) // until all hosts know the versions
	s := d.longCallers(10 * time.Millisecond)
	s.second = d.hosts[hosts-1]
	all := s.followBeside(2*time.Second, func() { killAll(d.hosts[:hosts-1], func() { time.Sleep(down) }) })
	checkFollowed(t, "all hosts but one killed", all)
	streams, began, takenUp, wentOn := shares(all)
	t.Logf("%.0f streams, %.0f began, %.0f were taken up, %.0f of these went on", streams, began, takenUp, wentOn)
	assert.Empty(t, joined(all))
	assert.GreaterOrEqual(t, takenUp, 12.0, "too few streams were taken up to tell")
	assert.GreaterOrEqual(t, wentOn/takenUp, minTakeUpShare*began/streams)
}
