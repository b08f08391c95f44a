//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	ended   bool   // the run ended
	lost    bool   // the replica crashed while it ran the request
}

// replicas are those of all services.
type replicas struct {
	store  *storetest.Store
	record *record

	mu       sync.Mutex
	byID     map[string]*replica
	boots    int
	arrivals []*arrival
	ended    bool
}

// replica is a process of a service: slots, a queue, and answers after some work.
type replica struct {
	all      *replicas
	id       string
	service  string
	zone     string
	slots    chan struct{}
	work     time.Duration
	downFor  time.Duration // after a crash
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	crashed bool
	running map[*arrival]struct{}
}

// boot starts a replica; address is empty for a new one.
func (s *replicas) boot(service, zone, address string, slots int, work, downFor time.Duration) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.boots++
	r := &replica{
		all: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+s.boots), service: service, zone: zone, slots: make(chan struct{}, slots), work: work, downFor: downFor,
		listener: l, conns: make(map[net.Conn]struct{}), running: make(map[*arrival]struct{}),
	}
	s.byID[r.id] = r
	s.mu.Unlock()
	r.server = &http.Server{Handler: r, ConnState: r.connState, IdleTimeout: 8 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	s.record.note("replica %s of %s in %s at %s is ready", r.id, service, zone, l.Addr())
	s.store.Put(platform.KindMembers, r.id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
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
// entry after three intervals of silence; another process is back at the address after some seconds.
func (r *replica) crash() {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	address := r.listener.Addr().String()
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.all.mu.Lock()
	for a := range r.running {
		a.lost = true
	}
	delete(r.all.byID, r.id)
	r.all.mu.Unlock()
	r.mu.Unlock()
	r.all.record.note("replica %s crashes", r.id)
	time.AfterFunc(3*heartbeat, func() { r.all.store.Remove(platform.KindMembers, r.id) })
	time.AfterFunc(r.downFor, func() {
		r.all.mu.Lock()
		ended := r.all.ended
		r.all.mu.Unlock()
		if ended {
			return
		}
		if err := r.all.boot(r.service, r.zone, address, cap(r.slots), r.work, r.downFor); err != nil {
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
	r.mu.Unlock()
	r.all.mu.Lock()
	r.all.arrivals = append(r.all.arrivals, a)
	r.all.mu.Unlock()
	r.all.record.note("replica %s begins to run %s", r.id, id)
	if a.poison != "" {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(r.work)
	r.mu.Lock()
	delete(r.running, a)
	r.mu.Unlock()
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
