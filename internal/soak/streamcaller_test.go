package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// rigEvent is an event as a caller reads it.
type rigEvent struct{ id, data string }

// readEvents returns the whole events of a text. Lines end with \r\n, \n or \r.
func readEvents(text string) (events []rigEvent) {
	text = strings.TrimPrefix(text, "\ufeff")
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	var e rigEvent
	for line := range strings.Lines(text) {
		line, whole := strings.CutSuffix(line, "\n")
		if !whole {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if e.data != "" {
				events = append(events, e)
			}
			e = rigEvent{}
		case name == "id":
			e.id = value
		case name == "data":
			e.data += value
		}
	}
	return events
}

// followed is a request as its caller saw it, over all its attempts.
type followed struct {
	route    *streamRoute
	key      string
	attempts []string // IDs, with the status and the first event of each
	runs     []string // that brought events, without repetitions
	versions []string // software versions of the events, without repetitions
	lastID   string   // of the last whole event
	events   int      // whole ones
	disorder string   // the first event that did not follow the one before; empty if none
	complete bool     // the last answer ended as complete
	text     string   // of a plain answer
	left     bool     // by its caller, at least once
	takenUp  bool
	wentOn   bool // an attempt to take it up brought events or the end
}

// short reports whether the request was answered by part of an answer that ended as complete.
func (f *followed) short() bool {
	switch {
	case !f.complete:
		return false
	case f.route.events == 0:
		return f.text != plainAnswer(f.key)
	}
	return f.events < f.route.events
}

// shares counts the streams that may be taken up, those that began, were taken up, and went on then.
func shares(all []*followed) (streams, began, takenUp, wentOn float64) {
	for _, f := range all {
		for n, holds := range map[*float64]bool{&streams: true, &began: f.events > 0, &takenUp: f.takenUp, &wentOn: f.wentOn} {
			if holds && f.route.resumable {
				*n++
			}
		}
	}
	return streams, began, takenUp, wentOn
}

func (f *followed) String() string {
	return fmt.Sprintf("%s %s: %v, %d events of runs %v, complete: %v", f.route.name, f.key, f.attempts, f.events, f.runs, f.complete)
}

// slowReader is a caller that pauses before each read, and reads less than a stream brings.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Reader.Read(b[:min(len(b), 4<<10)])
}

// rigCallers send requests to random hosts of a rig.
type rigCallers struct {
	g        *streamRig
	every    time.Duration // between the beginnings of two requests
	hangUp   float64       // share of the streams that callers leave and take up elsewhere
	slow     float64       // share of the streams that are read slowly
	old      float64       // share of the requests that are of HTTP/1.0
	noPrompt bool          // requests don't tell their prompt
	second   *host         // of second attempts; nil for the next one
	random   *rand.Rand    // guarded by mu
	mu       sync.Mutex
	all      []*followed
}

func (c *rigCallers) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// follow starts requests of all routes in turn for the given time and waits for their end.
func (c *rigCallers) follow(lasts time.Duration) []*followed {
	c.all = nil
	var wg sync.WaitGroup
	n := 0
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(c.every) {
		f := &followed{route: c.g.routes[n%len(c.g.routes)], key: fmt.Sprintf("k%d", c.g.next.Add(1))}
		n++
		c.all = append(c.all, f)
		wg.Go(func() { c.followOne(f) })
	}
	wg.Wait()
	return c.all
}

// followOne makes attempts at one host after another, as callers may: after a refusal, and to take a stream up.
func (c *rigCallers) followOne(f *followed) {
	first := "" // ID of the attempt that brought the first event
	at := int(c.float() * float64(len(c.g.hosts)))
	for try := 0; try <= maxTakeUps && !f.complete; try++ {
		h := c.g.hosts[(at+try)%len(c.g.hosts)]
		if try == 1 && c.second != nil {
			h = c.second
		}
		id := fmt.Sprintf("%s-%s-%d", f.key, h.name, try)
		before := f.events
		if before > 0 {
			f.takenUp = true
		}
		refused := c.attempt(h, id, first, f)
		if f.events > before && before == 0 {
			first = id
		}
		f.wentOn = f.wentOn || before > 0 && (f.events > before || f.complete)
		if !f.complete && !f.route.resumable && !refused {
			return
		}
		if !f.complete {
			time.Sleep(100*time.Millisecond + time.Duration(c.float()*float64(200*time.Millisecond)))
		}
	}
}

// attempt makes one attempt and reports whether it was refused as not run, or did not reach the host.
func (c *rigCallers) attempt(h *host, id, first string, f *followed) (refused bool) {
	const deadline = 8 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	from, q := f.events, newAttempt(ctx, h, http.MethodPost, f.route.prefix()+f.key, id, "body", deadline)
	if f.route.events > 0 && !c.noPrompt {
		q.Header.Set("Heatherbarrow-Model", "m")
		q.Header.Set("Heatherbarrow-Token-Counts", "800,60")
		q.Header.Set("Heatherbarrow-Prompt-Prefix", "5c1e07a2:500,"+f.key[1:]+":300")
	}
	if f.events > 0 {
		q.Header.Set("Last-Event-Id", f.lastID)
		q.Header.Set("Resumes", first)
	}
	c.g.ledger.noteSent(id, askedFor(q, teamName, "body"), deadline)
	status := 0
	defer func() { f.attempts = append(f.attempts, fmt.Sprintf("%s from %d: %d", id, from, status)) }()
	client, slow := c.g.client, f.route.events > 0 && c.float() < c.slow
	if slow {
		client = c.g.slow
	} else if c.old > 0 && c.float() < c.old {
		client = &http.Client{Transport: oldTransport{}}
	}
	response, err := client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	status = response.StatusCode
	if status != http.StatusOK {
		return status == http.StatusServiceUnavailable
	}
	body := io.Reader(response.Body)
	if slow {
		body = slowReader{body, 5 * time.Millisecond}
	}
	leaves := f.route.events > 0 && c.float() < c.hangUp
	if leaves {
		f.left = true
		body = io.LimitReader(body, int64(c.float()*float64(f.route.events)*float64(60+f.route.padding)))
	}
	text, err := io.ReadAll(body)
	f.complete = err == nil && !leaves
	f.read(string(text))
	return false
}

// read judges the text of an answer.
func (f *followed) read(text string) {
	if f.route.events == 0 {
		f.text = text
		return
	}
	run := ""
	for _, e := range readEvents(text) {
		fields := strings.Fields(e.data) // number, key, run, software version
		switch {
		case len(fields) < 4:
			f.note("%q is no event", e.data)
			continue
		case fields[0] != fmt.Sprint(f.events) || f.route.notation.numberOf(e.id) != f.events:
			f.note("event %q, %q after %d events", e.id, e.data, f.events)
		case fields[1] != f.key:
			f.note("event of another stream: %q", e.data)
		case run != "" && run != fields[2] && !f.route.resumable:
			f.note("event of run %s after %s", fields[2], run)
		}
		if !slices.Contains(f.versions, fields[3]) {
			f.versions = append(f.versions, fields[3])
		}
		if run != fields[2] {
			f.runs = append(f.runs, fields[2])
		}
		run, f.lastID = fields[2], e.id
		f.events++
	}
}

func (f *followed) note(format string, args ...any) {
	if f.disorder == "" {
		f.disorder = fmt.Sprintf(format, args...)
	}
}
