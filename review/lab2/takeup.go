package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["takeup"] = playTakeUp }

// playTakeUp kills all gateways but one while replicas of two software versions serve. Clients take their streams up at
// the one that is left, and others begin new ones there.
func playTakeUp(l *lab) (broken bool, err error) {
	const (
		replicas = 6
		gates    = 18 // in three zones
		perGate  = 7  // streams
		down     = 2 * time.Second
		deadline = 15 * time.Second
		retries  = 1 // of a client
	)
	l.startStore()
	born := time.Now().UnixMilli()
	for i := range replicas {
		version := []string{"v1", "v2"}[i%2]
		r := l.versioned(fmt.Sprintf("i-%d", i), version)
		r.born = born + int64(i)
		l.store.Put("servers", r.id, entry(pool, zoneName(i/2), r.address(), version, r.born))
	}
	l.configure([]map[string]any{
		route("query", "streaming", 2, map[string]any{"gapGoalMs": 300, "resumable": true, "sticky": true}),
	})
	for i := range gates {
		l.startGate(zoneName(i), nil)
	}
	if !l.awaitReady() {
		return false, errNotReady
	}
	left := l.gates[gates-1]
	var clients sync.WaitGroup
	var mu sync.Mutex
	taken, went, joined := 0, 0, 0
	killed := make(chan struct{})
	for _, g := range l.gates[:gates-1] {
		for range perGate {
			clients.Add(1)
			go func() {
				defer clients.Done()
				until := time.Now().Add(deadline)
				first := newID()
				a, events := l.readStream(g, "/query/long", first, "Heatherbarrow-Model: m\r\n", deadline)
				if a.status == http.StatusOK && a.err == nil || len(events) == 0 {
					return // whole, or it has not begun
				}
				<-killed
				last, version, _ := strings.Cut(events[len(events)-1], ":")
				on := false
				for try := 0; try < retries && !on; try++ {
					id := newID()
					b, more := l.readStream(left, "/query/long", id, "Last-Event-Id: "+last+"\r\nResumes: "+first+"\r\n", time.Until(until))
					l.note("client: stream %s of %s, cut after event %s, is taken up as %s: %s, %d events", first, version, last, id, b, len(more))
					on = len(more) > 0
					if on && !strings.HasSuffix(more[0], ":"+version) {
						mu.Lock()
						joined++
						mu.Unlock()
					}
					if !on {
						time.Sleep(min(retryAfter(b), time.Until(until)/3))
					}
				}
				mu.Lock()
				defer mu.Unlock()
				taken++
				if on {
					went++
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		for _, g := range l.gates[:gates-1] {
			l.note("gateway %s is killed", g.name)
			g.signal(syscall.SIGKILL)
		}
		for _, g := range l.gates[:gates-1] {
			<-g.exited
		}
		time.AfterFunc(down, func() {
			for _, g := range l.gates[:gates-1] {
				g.start()
			}
		})
	}
	close(killed)
	began, new := 0, 30
	for range new {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a, events := l.readStream(left, "/query/short", newID(), "Heatherbarrow-Model: m\r\n", deadline)
			l.note("client: new stream: %s, %d events", a, len(events))
			mu.Lock()
			defer mu.Unlock()
			if len(events) > 0 {
				began++
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(down)
	text := fmt.Sprintf("%d streams taken up, %d went on, %d of them at another version; %d of %d new streams began", taken, went, joined, began, new)
	l.note("%s", text)
	fmt.Println(text)
	// The rule is about 12 streams or more.
	return taken >= 12 && float64(went)/float64(taken) < 0.5*float64(began)/float64(new), nil
}
