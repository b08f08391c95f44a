//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// crashWord in the body of a request crashes the replica that begins to run it.
const crashWord = "crashes-replicas"

// arrival is a request that reached a replica.
type arrival struct {
	attempt string
	replica string
	at      time.Time
	poison  string // the body, if it crashed the replica
	crashed bool   // it crashed the replica
	ended   bool   // the run ended
	lost    bool   // the replica crashed while it ran the request
	leaving bool   // the replica said in its answer that it leaves
	excused bool   // it was sent by a machine that was not in touch
}

// replicas are those of all services.
type replicas struct {
	store  *storetest.Store
	record *record

	mu        sync.Mutex
	byID      map[string]*replica
	boots     int
	arrivals  []*arrival
	ended     bool
	storeAway bool // the store takes no writes
	headFirst bool // the head of an answer arrives before a prompt crashes the replica
}

// replica is a process of a service: slots, a queue, and answers after some work.
type replica struct {
	all      *replicas
	id       string
	service  string
	zone     string
	version  string // of the software
	born     int64  // Unix milliseconds of the start
	streams  bool   // answers with streams
	slots    chan struct{}
	work     time.Duration
	downFor  time.Duration // after a crash
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	crashed bool
	leaving time.Time // since when it says so in its answers; zero if it does not
	running map[*arrival]struct{}
}

// boot starts a replica of a plain service; address is empty for a new one.
func (s *replicas) boot(service, zone, address string, slots int, work, downFor time.Duration) error {
	return s.start(&replica{service: service, zone: zone, version: "v1", slots: make(chan struct{}, slots), work: work, downFor: downFor}, address)
}

// start starts a replica at an address, or at a new one if it is empty, and registers it. Without an id it
// gets a new one.
func (s *replicas) start(r *replica, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.boots++
	r.all, r.listener, r.conns, r.running = s, l, make(map[net.Conn]struct{}), make(map[*arrival]struct{})
	if r.id == "" {
		r.id = fmt.Sprintf("i-%08x", 0x7f3a0000+s.boots)
	}
	r.born = time.Now().UnixMilli()
	s.byID[r.id] = r
	away := s.storeAway
	s.mu.Unlock()
	r.server = &http.Server{Handler: r, ConnState: r.connState, IdleTimeout: 8 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	s.record.note("replica %s of %s, version %s, in %s at %s is ready", r.id, r.service, r.version, r.zone, l.Addr())
	if !away {
		r.register()
	}
	return nil
}

// register writes the entry of the replica.
func (r *replica) register() {
	r.all.store.Put(platform.KindMembers, r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": r.version, "slots": cap(r.slots), "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": r.born,
	})
}

// setStoreAway tells the replicas whether the store takes what they write. They write again once it does.
func (s *replicas) setStoreAway(away bool) {
	s.mu.Lock()
	s.storeAway = away
	all := make([]*replica, 0, len(s.byID))
	for _, r := range s.byID {
		all = append(all, r)
	}
	s.mu.Unlock()
	if away {
		return
	}
	for _, r := range all {
		r.register()
	}
}

// busiest returns the replica of a version with the most requests, but for those with the given ids.
func (s *replicas) busiest(version string, but []string) (best *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := -1
	for _, r := range s.byID {
		if n := len(r.slots); r.version == version && !slices.Contains(but, r.id) && n > most {
			best, most = r, n
		}
	}
	return best
}

func (r *replica) connState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(r.conns, c)
		return
	}
	r.conns[c] = struct{}{}
}

// crash ends the process: its address refuses connections and the open ones are reset. The store removes the
// entry after three intervals of silence; another process is back at the address after some seconds, under a
// new id.
func (r *replica) crash() {
	if !r.end() {
		return
	}
	time.AfterFunc(3*heartbeat, func() { r.all.store.Remove(platform.KindMembers, r.id) })
	r.returnAs(&replica{service: r.service, zone: r.zone, version: r.version, slots: make(chan struct{}, cap(r.slots)), work: r.work, downFor: r.downFor, streams: r.streams})
}

// crashAndReturn is crash, but the next process has the same id, and maybe another version.
func (r *replica) crashAndReturn(version string) {
	if !r.end() {
		return
	}
	r.returnAs(&replica{
		id: r.id, service: r.service, zone: r.zone, version: version, slots: make(chan struct{}, cap(r.slots)), work: r.work, downFor: r.downFor, streams: r.streams,
	})
}

// end ends the process and reports whether it ran.
func (r *replica) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed {
		return false
	}
	r.crashed = true
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	for a := range r.running {
		a.lost = true
	}
	delete(r.all.byID, r.id)
	r.all.record.note("replica %s crashes with %d requests", r.id, len(r.running))
	return true
}

// returnAs starts the next process at the address of one that crashed.
func (r *replica) returnAs(next *replica) {
	address := r.listener.Addr().String()
	time.AfterFunc(r.downFor, func() {
		r.all.mu.Lock()
		ended := r.all.ended
		r.all.mu.Unlock()
		if ended {
			return
		}
		if err := r.all.start(next, address); err != nil {
			r.all.record.note("replica at %s cannot start again: %v", address, err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Heatherbarrow-Attempt-Id")
	h := w.Header()
	if id != "" {
		h.Set("Heatherbarrow-Attempt-Id", id)
	}
	h.Set("Heatherbarrow-Replica-Id", r.id)
	h.Set("Keep-Alive", "timeout=8")
	r.mu.Lock()
	if !r.leaving.IsZero() {
		h.Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	switch q.URL.Path {
	case "/healthz":
		return
	case "/v1/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":%d,"born":%d}`, len(r.slots), r.born)
		return
	}
	if expected := q.Header.Get("Heatherbarrow-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	a := &arrival{attempt: id, replica: r.id, at: time.Now()}
	if strings.Contains(string(body), crashWord) {
		a.poison = string(body)
	}
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.running[a] = struct{}{}
	a.leaving = !r.leaving.IsZero()
	r.mu.Unlock()
	r.all.mu.Lock()
	r.all.arrivals = append(r.all.arrivals, a)
	r.all.mu.Unlock()
	r.all.record.note("replica %s begins to run %s", r.id, id)
	if a.poison != "" {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	defer func() {
		r.mu.Lock()
		delete(r.running, a)
		r.mu.Unlock()
	}()
	if r.streams {
		r.serveStream(w, q, a)
		return
	}
	time.Sleep(r.work)
	h.Set("Heatherbarrow-Server-Seal", "3e1b."+r.id+"."+id)
	h.Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, strings.Repeat("a", 800))
	r.all.mu.Lock()
	a.ended = !a.lost
	r.all.mu.Unlock()
}

func (s *replicas) end() {
	s.mu.Lock()
	s.ended = true
	all := make([]*replica, 0, len(s.byID))
	for _, r := range s.byID {
		all = append(all, r)
	}
	s.mu.Unlock()
	for _, r := range all {
		_ = r.server.Close()
	}
}
