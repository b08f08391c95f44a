package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform/storetest"
)

const (
	longStreamPrefix = "long-"
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
func (r *replica) longStream(w http.ResponseWriter, q *http.Request) {
	version := r.softwareVersion()
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
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// longStream is a stream as its caller saw it, over all its attempts.
type longStream struct {
	began     time.Time // of the first attempt
	takenUp   time.Time // when it was first taken up; zero if it was not
	versions  []string  // software versions of its events, without repetitions
	events    int       // whole ones, or begun ones whose rest never came
	attempts  []string  // IDs, with the first event of each
	disorder  string    // the first event that did not follow the one before, over all attempts; empty if none
	complete  bool
	takenUpOn bool // an attempt to take it up brought events or the end
}

// streamCallers follow long streams at all hosts until they end.
type streamCallers struct {
	*callers
	hangUp  bool          // callers break off some of their streams and take them up elsewhere
	every   time.Duration // between the beginnings of two streams
	mu      sync.Mutex
	streams []longStream
}

// follow starts streams at random hosts for the given time and waits for their end. meanwhile runs
// beside them.
func (s *streamCallers) follow(lasts time.Duration, meanwhile func()) []longStream {
	s.streams = nil
	var wg sync.WaitGroup
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(s.every) {
		wg.Go(func() {
			stream := s.followOne()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.streams = append(s.streams, stream)
		})
		if meanwhile != nil && time.Until(end) < lasts/2 {
			wg.Go(meanwhile)
			meanwhile = nil
		}
	}
	wg.Wait()
	return s.streams
}

// followOne reads a stream and takes it up after each break, at another host each time.
func (s *streamCallers) followOne() (stream longStream) {
	stream.began = time.Now()
	first := "" // ID of the attempt that brought the first event
	at := rand.IntN(len(s.d.hosts))
	for try := 0; try <= maxTakeUps && !stream.complete; try++ {
		h := s.d.hosts[(at+try)%len(s.d.hosts)]
		id := fmt.Sprintf("%s%s-%d", longStreamPrefix, h.name, s.next.Add(1))
		before := stream.events
		stream.attempts = append(stream.attempts, fmt.Sprintf("%s from %d", id, before))
		if before > 0 && stream.takenUp.IsZero() {
			stream.takenUp = time.Now()
		}
		s.attempt(h, id, first, &stream)
		if stream.events > before && before == 0 {
			first = id
		}
		stream.takenUpOn = stream.takenUpOn || before > 0 && (stream.events > before || stream.complete)
		if !stream.complete {
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
		}
	}
	return stream
}

// attempt requests the events after those that the stream has.
func (s *streamCallers) attempt(h *host, id, first string, stream *longStream) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Listen+"/stream/x", strings.NewReader("body"))
	if err != nil {
		return
	}
	q.GetBody = nil // net/http must not send the attempt again by itself
	q.Host = callerHost
	q.Header.Set("Heatherbarrow-Attempt-Id", id)
	q.Header.Set("Heatherbarrow-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+teamKey)
	if stream.events > 0 {
		q.Header.Set("Last-Event-Id", fmt.Sprint(stream.events-1))
		q.Header.Set("Resumes", first)
	}
	response, err := s.client.Do(q)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	hangUpAt := -1
	if s.hangUp && rand.IntN(4) == 0 {
		hangUpAt = rand.IntN(longStreamEvents)
	}
	in := bufio.NewReader(response.Body)
	eventID := ""
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" {
			stream.complete = true
			return
		}
		if err != nil || stream.events == hangUpAt {
			return
		}
		if text, isID := strings.CutPrefix(strings.TrimSpace(line), "id: "); isID {
			eventID = text
		}
		if version, isData := strings.CutPrefix(strings.TrimSpace(line), "data: "); isData {
			if eventID != fmt.Sprint(stream.events) && stream.disorder == "" {
				stream.disorder = fmt.Sprintf("%q after %d events", eventID, stream.events)
			}
			eventID = ""
			stream.events++
			if !slices.Contains(stream.versions, version) {
				stream.versions = append(stream.versions, version)
			}
		}
	}
}

// checkOrder checks that the events of each stream came in order and once over all attempts, and that a stream
// which ended as complete has all of them. It logs the streams that hold events of two software versions.
func checkOrder(t *testing.T, streams []longStream) {
	t.Helper()
	for i := range streams {
		st := &streams[i]
		assert.Empty(t, st.disorder, "%v: event out of order", st.attempts)
		assert.True(t, !st.complete || st.events == longStreamEvents, "%v: ended as complete after %d events", st.attempts, st.events)
		if len(st.versions) > 1 {
			t.Logf("%v holds events of versions %v", st.attempts, st.versions)
		}
	}
}

// joined returns the number of streams that hold events of two software versions.
func joined(streams []longStream) (n int) {
	for i := range streams {
		if len(streams[i].versions) > 1 {
			n++
		}
	}
	return n
}

// taken returns how many streams of the given versions were taken up at or after the given time, the share
// of them that went on, and the share of all streams that began.
func taken(streams []longStream, from time.Time, versions ...string) (takenUp int, wentOn, began float64) {
	for i := range streams {
		st := &streams[i]
		if st.events > 0 {
			began++
		}
		if st.takenUp.IsZero() || st.takenUp.Before(from) || len(st.versions) == 0 || !slices.Contains(versions, st.versions[0]) {
			continue
		}
		takenUp++
		if st.takenUpOn {
			wentOn++
		}
	}
	return takenUp, wentOn / float64(max(takenUp, 1)), began / float64(max(len(streams), 1))
}

// newVersionedDeployment starts hosts and six replicas: even ones at v1, odd ones at v2.
func newVersionedDeployment(t *testing.T, perZone int) (*deployment, *streamCallers) {
	t.Helper()
	d := newDeployment(t, 3, perZone)
	d.setVersions()
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	time.Sleep(500 * time.Millisecond) // until all hosts know the versions
	c := &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	t.Cleanup(c.client.CloseIdleConnections)
	return d, &streamCallers{callers: c, every: 15 * time.Millisecond}
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

// killAll kills all hosts and starts them again after a while. meanwhile runs before they start.
func (d *deployment) killAll(meanwhile func()) {
	for _, h := range d.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range d.hosts {
		h.wait()
	}
	if meanwhile != nil {
		meanwhile()
	}
	for _, h := range d.hosts {
		h.start()
	}
}

// Guards against streams that go on at a replica whose software version is not the one that began them:
// within an answer, when callers take them up at hosts that never saw their beginning, while versions come
// and leave, and after all hosts were killed, with the store in place, away or restored from a copy. It also
// guards against the remedy of refusing all that is taken up.
func TestStreamsGoOnAtTheSoftwareVersionThatBeganThem(t *testing.T) {
	concurrently(t)
	d, s := newVersionedDeployment(t, 2)
	check := func(name string, streams []longStream) {
		n, complete := joined(streams), 0
		for i := range streams {
			if streams[i].complete {
				complete++
			}
		}
		takenUp, wentOn, began := taken(streams, time.Time{}, "v1", "v2", "v3")
		t.Logf("%s: %d streams, %d complete, %d joined; %d taken up, %.2f of them went on; %.2f began", name, len(streams), complete, n, takenUp, wentOn, began)
		assert.LessOrEqual(t, n, maxJoinedStreams, name)
		checkOrder(t, streams)
	}
	checkTaken := func(name string, streams []longStream, versions ...string) {
		takenUp, wentOn, began := taken(streams, time.Time{}, versions...)
		assert.GreaterOrEqual(t, takenUp, 12, "%s: too few streams were taken up to tell", name)
		assert.GreaterOrEqual(t, wentOn, minTakeUpShare*began, name)
	}
	check("within an answer", s.follow(2*time.Second, nil))
	s.hangUp = true
	streams := s.follow(2*time.Second, nil)
	check("taken up at other hosts", streams)
	checkTaken("taken up at other hosts", streams, "v1", "v2")
	streams = s.follow(2*time.Second, func() {
		d.hosts[1].signal(syscall.SIGKILL)
		d.hosts[1].wait()
		d.hosts[1].start()
	})
	check("one host killed", streams)
	checkTaken("one host killed", streams, "v1", "v2")
	streams = s.follow(6*time.Second, d.release)
	check("release", streams)
	checkTaken("release", streams, "v2")
	check("all hosts killed", s.follow(4*time.Second, func() { d.killAll(nil) }))
	check("all hosts killed, store away", s.follow(4*time.Second, func() {
		d.killAll(func() { d.store.SetFault(storetest.Down) })
		time.Sleep(time.Second)
		d.store.SetFault(storetest.None)
	}))
	saved := d.store.Copy()
	check("all hosts killed, store restored", s.follow(4*time.Second, func() {
		d.killAll(func() {
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
