package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["steps"] = playSteps }

// playSteps lets sound replicas count tokens in the IDs of their events, of which some events hold two. Clients send streams on
// connections that have served a request before.
func playSteps(l *lab) (broken bool, err error) {
	const (
		streams   = 40
		events    = 12
		deadline  = 5 * time.Second
		eventTime = 15 * time.Millisecond
	)
	l.startStore()
	tokens := func(i int) int { // of event i
		if l.trouble && i%4 == 3 {
			return 2
		}
		return 1
	}
	answer := func(conn net.Conn, r *http.Request, id string, _ []byte) bool {
		if r.URL.Path == "/lookup/x" {
			_, err := fmt.Fprint(conn, plain(http.StatusOK, id, "found\n"))
			return err == nil
		}
		if _, err := fmt.Fprint(conn, head(http.StatusOK, id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		number := 0
		for i := range events {
			number += tokens(i)
			time.Sleep(eventTime)
			if _, err := fmt.Fprint(conn, chunk(event(number, "piece "+strconv.Itoa(i)))); err != nil {
				return false
			}
		}
		_, err := fmt.Fprint(conn, "0\r\n\r\n")
		l.note("all events of %s are sent", id)
		return err == nil
	}
	for i := range 3 {
		r := l.startReplica(fmt.Sprintf("i-%d", i), answer)
		l.register(r.id, pool, zoneName(i), r.address(), "ready", nil)
	}
	l.configure([]map[string]any{
		route("draft", "streaming", 1, map[string]any{"timeoutMs": 5000, "goalMs": 800, "priority": 1, "gapGoalMs": 500, "sticky": true}),
		route("lookup", "idempotent", 2, nil),
	})
	for i := range 3 {
		l.startGate(zoneName(i), nil)
	}
	if !l.awaitReady() {
		return false, errNotReady
	}
	lost := 0
	for i := range streams {
		c, err := dial(l.gates[i%len(l.gates)].caller())
		if err != nil {
			return false, err
		}
		if err := c.write(http.MethodGet, "/lookup/x", newID(), deadline, nil, ""); err != nil {
			return false, err
		}
		if a := c.read(http.MethodGet, deadline); a.status != http.StatusOK || a.err != nil {
			return false, fmt.Errorf("the request before the stream: %s", a)
		}
		id := newID()
		if err := c.write(http.MethodPost, "/draft/x", id, deadline, []byte("prompt"), "Heatherbarrow-Model: m\r\nHeatherbarrow-Token-Counts: 10,12\r\n"); err != nil {
			return false, err
		}
		a := c.read(http.MethodPost, deadline)
		_ = c.conn.Close()
		l.note("client: %s on a kept connection: %s; %d of %d events", id, a, a.events(), events)
		if a.status == http.StatusOK && a.err != nil || a.events() != events {
			lost++
			l.note("LOST: the gateway closed the connection of %s without the rest of the answer", id)
		}
	}
	fmt.Printf("%d streams at sound replicas, %d closed without the rest of their answer\n", streams, lost)
	return lost > 3, nil // the rule allows three
}
