package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unregistered"] = playUnregistered }

// versioned answers streams whose events name the version of its software.
func (l *lab) versioned(id, version string) *replica {
	return l.startReplica(id, func(conn net.Conn, r *http.Request, attempt string, _ []byte) bool {
		events, pause := 40, 150*time.Millisecond
		if strings.HasPrefix(r.URL.Path, "/query/short") {
			events, pause = 8, 40*time.Millisecond
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if _, err := fmt.Fprint(conn, head(http.StatusOK, attempt, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		for i := last + 1; i <= events; i++ {
			if _, err := fmt.Fprint(conn, chunk(event(i, version+" "+id))); err != nil {
				return false
			}
			time.Sleep(pause)
		}
		_, err := fmt.Fprint(conn, "0\r\n\r\n")
		return err == nil
	})
}

// stream is a stream over all tries of its client.
type stream struct {
	path     string
	first    string // attempt that brought the first event
	last     string // ID of the last event
	versions []string
	tries    []string
	complete bool
}

// follow sends a stream and takes it up again at other gateways, three times at most, within its deadline.
func (l *lab) follow(path string, deadline time.Duration) *stream {
	s := &stream{path: path}
	until := time.Now().Add(deadline)
	at := rand.IntN(len(l.gates))
	for try := 0; try < 4 && time.Until(until) > 200*time.Millisecond; try++ {
		g := l.gates[(at+try)%len(l.gates)]
		id := newID()
		more := "Heatherbarrow-Model: m\r\nHeatherbarrow-Token-Counts: 100,40\r\n"
		if s.last != "" {
			more += "Last-Event-Id: " + s.last + "\r\nResumes: " + s.first + "\r\n"
		}
		a, events := l.readStream(g, path, id, more, time.Until(until))
		s.tries = append(s.tries, fmt.Sprintf("%s at %s: %s, events %s", id, g.name, a, strings.Join(events, " ")))
		for _, e := range events {
			number, version, _ := strings.Cut(e, ":")
			if s.last == "" {
				s.first = id
			}
			s.last = number
			if !slices.Contains(s.versions, version) {
				s.versions = append(s.versions, version)
			}
		}
		if a.status == http.StatusOK && a.err == nil {
			s.complete = true
			break
		}
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(min(retryAfter(a), time.Until(until)/3))
		}
	}
	return s
}

// retryAfter returns the time that an answer asks its client to wait.
func retryAfter(a *answer) time.Duration {
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// readStream sends an attempt and returns its events as NUMBER:VERSION.
func (l *lab) readStream(g *gate, path, id, more string, deadline time.Duration) (*answer, []string) {
	a := send(g.caller(), http.MethodPost, path, id, deadline, []byte("prompt"), more)
	var events []string
	for _, text := range strings.SplitAfter(string(a.body), "\n\n") {
		number, data, found := strings.Cut(strings.TrimPrefix(text, "id: "), "\ndata: ")
		version, _, _ := strings.Cut(data, " ")
		if found && strings.HasSuffix(text, "\n\n") {
			events = append(events, number+":"+version)
		}
	}
	return a, events
}

// playUnregistered lets two of ten replicas, which are cut off from the store, crash and start again with another software version;
// then three of five gateways are killed, and clients take their streams up at the others.
func playUnregistered(l *lab) (broken bool, err error) {
	const (
		replicas, reborn = 10, 2
		gates, killed    = 5, 3
		down             = time.Second
		loadAfter        = 1300 * time.Millisecond
		lapse            = 3600 * time.Millisecond // three heartbeats of 1.2 s
		cut              = 5 * time.Second
		killAfter        = 3400 * time.Millisecond
		deadline         = 15 * time.Second
	)
	l.startStore()
	var all []*replica
	born := time.Now().UnixMilli()
	for i := range replicas {
		r := l.versioned(fmt.Sprintf("i-%d", i), "v1")
		r.born = born + int64(i)
		l.register(r.id, pool, "sapporo", r.address(), "ready", map[string]any{"born": r.born, "slots": 64})
		all = append(all, r)
	}
	l.configure([]map[string]any{
		route("query", "streaming", 2, map[string]any{"gapGoalMs": 300, "resumable": true, "sticky": true}),
	})
	for range gates {
		l.startGate("sapporo", nil)
	}
	if !l.awaitReady() {
		return false, errNotReady
	}
	var mu sync.Mutex
	var streams []*stream
	var clients sync.WaitGroup
	stop := make(chan struct{})
	load := func(path string, every time.Duration) {
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				s := l.follow(path, deadline)
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, s)
			}()
		}
	}
	cutAt := time.Now()
	for i := range reborn {
		r := all[i]
		l.note("replica %s, cut off from the store, crashes", r.id)
		at := r.crash()
		time.AfterFunc(lapse, func() {
			if l.trouble {
				l.note("the store removes the entry of %s", r.id)
				l.store.Remove("servers", r.id)
			}
		})
		time.AfterFunc(down, func() {
			next := l.versioned(r.id, "v2")
			next.restartAt(at)
			next.born = time.Now().UnixMilli()
			l.note("replica %s is back as v2, born %d", r.id, next.born)
			register := func() {
				l.note("replica %s registers as v2", r.id)
				l.store.Put("servers", r.id, entry(pool, "sapporo", at, "v2", next.born))
			}
			if l.trouble {
				time.AfterFunc(time.Until(cutAt.Add(cut)), register)
			} else {
				register()
			}
		})
	}
	time.Sleep(loadAfter)
	clients.Add(1)
	go load("/query/long", 6*time.Millisecond)
	time.Sleep(time.Until(cutAt.Add(killAfter)))
	for _, g := range l.gates[:killed] {
		l.note("gateway %s is killed", g.name)
		g.signal(syscall.SIGKILL)
	}
	for _, g := range l.gates[:killed] {
		<-g.exited
	}
	time.Sleep(2 * time.Second)
	for _, g := range l.gates[:killed] {
		g.start()
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	joined, unfinished, taken := 0, 0, 0
	for _, s := range streams {
		if len(s.tries) > 1 {
			taken++
		}
		if !s.complete {
			unfinished++
		}
		if len(s.versions) > 1 {
			joined++
			l.note("ORDER: a stream holds events of %v:\n         %s", s.versions, strings.Join(s.tries, "\n         "))
		}
	}
	text := fmt.Sprintf("%d streams, %d tried more than once, %d never finished, %d hold events of two versions", len(streams), taken, unfinished, joined)
	l.note("%s", text)
	fmt.Println(text)
	return joined > 2, nil // the rule allows two
}

func entry(service, zone, at, version string, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": at, "zone": zone, "version": version, "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": born,
	}
}
