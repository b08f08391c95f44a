//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherbarrow/platform"
)

const (
	draftsPath   = "/pufi791/" // may be resumed
	minutesPath  = "/lohu930/" // may not
	streamEvents = 60
	eventPause   = 100 * time.Millisecond
	streamWait   = 15 * time.Second
	maxTakeUps   = 3
	retryPause   = 200 * time.Millisecond
	promptTime   = 60 * time.Millisecond
	// poisonPart is the ID of a part of prompts that crashes each replica that begins to write an answer on it.
	poisonPart = "dead0001"
)

// configureEngines writes a configuration with one service of model engines.
func (d *deployment) configureEngines() {
	route := func(name, prefix string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": prefix, "routeKind": "streaming", "timeoutMs": 15000, "goalMs": 400, "priority": 0,
			"service": "huvo11a", "maxAttempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gapGoalMs": 300,
		}
	}
	d.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": 7,
		"routes":  []any{route("r-drafts", draftsPath, 2, true), route("r-minutes", minutesPath, 1, false)},
		"services": []any{map[string]any{
			"name": "huvo11a", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 225506, "stride": 5, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": teamName, "apiKeys": []string{teamKey}, "priority": 1}},
	})
}

// serveStream answers with events that name the software version of the replica.
func (r *replica) serveStream(w http.ResponseWriter, q *http.Request, a *arrival) {
	last := 0
	if text := q.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	h := w.Header()
	h.Set("Heatherbarrow-Server-Seal", "3e1b."+r.id+"."+a.attempt)
	h.Set("Content-Type", "text/event-stream")
	if strings.Contains(q.Header.Get("Heatherbarrow-Prompt-Prefix"), poisonPart) {
		// It reads the prompt, and crashes as it begins to write.
		time.Sleep(promptTime)
		if r.all.headFirst {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
		r.all.mu.Lock()
		a.crashed = !a.lost
		r.all.mu.Unlock()
		r.crash()
		panic(http.ErrAbortHandler)
	}
	for i := last + 1; i <= streamEvents; i++ {
		select {
		case <-time.After(eventPause):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// stream is a stream as its caller saw it, over all its attempts.
type stream struct {
	path     string
	versions []string // of its events, without repetitions
	lastID   int
	ordered  bool // no event is missing or came twice
	complete bool
	takeUps  int
	// retryAfter is what the last answer said; callers follow it up to a third of the time that they have left.
	retryAfter time.Duration
	// At machines in touch: its first attempt was sent there, and brought events; it was taken up there, and
	// that brought events or the end.
	fresh, began    bool
	takenUp, wentOn bool
}

// soundPrompt returns the parts of a prompt: one that all share, one that some share, and its own.
func soundPrompt(n int) string {
	return fmt.Sprintf("5c1e07a2:800,91bd3f%02x:110,%x:250", n%16, 0x10000+n)
}

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt string) (tokens int) {
	for part := range strings.SplitSeq(prompt, ",") {
		_, count, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(count)
		tokens += n
	}
	return tokens
}

// follow reads a stream and takes it up after each break, at another host each time.
func (c *callers) follow(n int) *stream {
	s := &stream{ordered: true, path: draftsPath}
	tries := maxTakeUps
	if c.mixed && n%2 == 1 {
		s.path, tries = minutesPath, 0
	}
	resumes := ""
	until := time.Now().Add(streamWait)
	for try := 0; try <= tries && !s.complete && time.Until(until) > time.Second; try++ {
		h := c.d.pick(c.zone, n+try)
		if h == nil {
			return s
		}
		before := s.lastID
		if before > 0 {
			s.takeUps++
		}
		id := fmt.Sprintf("draft-%012x", c.next.Add(1))
		c.readStream(h, s.path, id, resumes, soundPrompt(n), s, until)
		if before == 0 && s.lastID > 0 {
			resumes = id
		}
		if !s.complete {
			time.Sleep(max(retryPause, min(s.retryAfter, time.Until(until)/3)))
		}
	}
	return s
}

// readStream sends one attempt and reads its events.
func (c *callers) readStream(h *host, path, id, resumes, prompt string, s *stream, until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.at(h.ports.listen)+path+"2f", strings.NewReader("draft on "+prompt))
	if err != nil {
		panic(err)
	}
	q.Host = callerHost
	q.Header.Set("Heatherbarrow-Attempt-Id", id)
	q.Header.Set("Heatherbarrow-Model", "m")
	q.Header.Set("Heatherbarrow-Token-Counts", fmt.Sprintf("%d,300", promptTokens(prompt)))
	q.Header.Set("Heatherbarrow-Prompt-Prefix", prompt)
	q.Header.Set("Heatherbarrow-Deadline-Ms", fmt.Sprint(time.Until(until).Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+teamKey)
	if s.lastID > 0 {
		q.Header.Set("Last-Event-Id", fmt.Sprint(s.lastID))
		q.Header.Set("Resumes", resumes)
	}
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	if inTouch, before := h.wasInTouch(time.Now()), s.lastID; inTouch {
		s.takenUp = s.takenUp || before > 0
		s.fresh = s.fresh || before == 0
		defer func() {
			s.wentOn = s.wentOn || before > 0 && (s.lastID > before || s.complete)
			s.began = s.began || before == 0 && s.lastID > 0
		}()
	}
	c.d.record.note("caller sends %s to %s, after event %d of %q", id, h.name, s.lastID, resumes)
	response, err := client.Do(q)
	if err != nil {
		c.d.record.note("caller of %s gets no answer: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text := response.Header.Get("Retry-After")
		if seconds, err := strconv.ParseFloat(text, 64); err == nil {
			s.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		c.d.record.note("caller of %s gets %d, Retry-After %q", id, response.StatusCode, text)
		return
	}
	events := bufio.NewReader(response.Body)
	first := s.lastID + 1
	var seen []string
	for {
		line, err := events.ReadString('\n')
		if err != nil {
			s.complete = err == io.EOF
			c.d.record.note("caller of %s gets events %d to %d of versions %v, end %v", id, first, s.lastID, seen, err)
			return
		}
		text := strings.TrimSpace(line)
		if value, ok := strings.CutPrefix(text, "id: "); ok {
			eventID, _ := strconv.Atoi(value)
			s.ordered = s.ordered && eventID == s.lastID+1
			s.lastID = eventID
		}
		if version, ok := strings.CutPrefix(text, "data: "); ok {
			if !slices.Contains(s.versions, version) {
				s.versions = append(s.versions, version)
			}
			if len(seen) == 0 || seen[len(seen)-1] != version {
				seen = append(seen, version)
			}
		}
	}
}

func (s *stream) whole() bool { return s.complete && s.ordered && s.lastID == streamEvents }

// sendDrafts begins streams for a time and returns those that have ended. The channel is closed after the
// last one.
func (c *callers) sendDrafts(every, lasts time.Duration) <-chan *stream {
	out := make(chan *stream, int(lasts/every)+1)
	go func() {
		defer close(out)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
			<-ticker.C
			c.wait.Go(func() { out <- c.follow(n) })
		}
		c.wait.Wait()
	}()
	return out
}

// upgradeInPlace lets replicas crash and come back under the same id with another software version, while the
// store is away.
func upgradeInPlace(d *deployment, trouble bool) (broken bool, err error) {
	const (
		replicaCount = 12
		waves        = 3 // of three crashes each, a quarter of the replicas
		storeAway    = 8 * time.Second
		downFor      = 1500 * time.Millisecond
		maxJoined    = 2
	)
	d.configureEngines()
	for i := range replicaCount {
		version := "v1"
		if i%4 == 3 {
			version = "v2" // both serve side by side
		}
		r := &replica{service: "huvo11a", zone: zones[1+i%3], version: version, slots: make(chan struct{}, 64), downFor: downFor, streams: true}
		if err := d.replicas.start(r, ""); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	c := newCallers(d)
	drafts := c.sendDrafts(120*time.Millisecond, 26*time.Second)
	time.Sleep(10 * time.Second)
	d.storeAway(true)
	time.Sleep(500 * time.Millisecond)
	var upgraded []string
	for wave := range waves {
		for range 3 {
			r := d.replicas.busiest("v1", upgraded)
			if r == nil {
				break
			}
			upgraded = append(upgraded, r.id)
			next := "v1"
			if trouble {
				next = "v2"
			}
			r.crashAndReturn(next)
		}
		if wave < waves-1 {
			time.Sleep(3 * time.Second)
		}
	}
	time.Sleep(storeAway - 6500*time.Millisecond)
	d.storeAway(false)
	joined, takenUp, all, complete := 0, 0, 0, 0
	for s := range drafts {
		all++
		if len(s.versions) > 1 {
			joined++
		}
		if s.takeUps > 0 {
			takenUp++
		}
		if s.whole() {
			complete++
		}
	}
	d.record.say("%d streams, %d complete, %d taken up by their callers; %d hold events of two software versions, %d allowed", all, complete, takenUp, joined, maxJoined)
	return joined > maxJoined, nil
}

// cutOffRoll cuts the two hosts of a zone off from all replicas, while the hosts of the other zones are stopped
// and started in turn. Without the disruption only the restarts happen.
func cutOffRoll(d *deployment, trouble bool) (broken bool, err error) {
	d.configureEngines()
	for i := range 12 {
		r := &replica{service: "huvo11a", zone: zones[1+i%3], version: "v1", slots: make(chan struct{}, 64), downFor: 2500 * time.Millisecond, streams: true}
		if err := d.replicas.start(r, ""); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	c := newCallers(d)
	drafts := c.sendDrafts(100*time.Millisecond, 26*time.Second)
	time.Sleep(10 * time.Second)
	restarted := make(chan error, 2)
	for i, h := range d.hosts[2:] {
		go func() {
			time.Sleep(time.Duration(i) * 2 * time.Second)
			h.terminate()
			time.Sleep(300 * time.Millisecond)
			restarted <- h.start()
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.record.note("the hosts of sapporo are cut off from all replicas")
		for _, h := range d.hosts[:2] {
			if err := h.view.setCut(true); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(6 * time.Second)
	for _, h := range d.hosts[:2] {
		if err := h.view.setCut(false); err != nil {
			return false, err
		}
	}
	d.record.note("the cut has ended")
	for range 2 {
		if err := <-restarted; err != nil {
			return false, err
		}
	}
	takenUp, wentOn, fresh, began, whole := 0, 0, 0, 0, 0
	for s := range drafts {
		takenUp += count(s.takenUp)
		wentOn += count(s.wentOn)
		fresh += count(s.fresh)
		began += count(s.began)
		whole += count(s.whole())
	}
	d.record.say("%d streams were complete in the end", whole)
	d.record.say("of %d streams that callers took up at machines in touch %d went on; of %d new ones %d began", takenUp, wentOn, fresh, began)
	const minTakenUp = 12
	return takenUp >= minTakenUp && 2*wentOn*fresh < began*takenUp, nil
}

// count returns 1 for true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// loneRestarts leaves one host, which is started again and again before it has seen enough crashes of a part of
// prompts. Without the disruption it is not restarted.
func loneRestarts(d *deployment, trouble bool) (broken bool, err error) {
	d.replicas.headFirst = true
	d.configureEngines()
	for i := range 12 {
		r := &replica{service: "huvo11a", zone: zones[1+i%3], version: "v1", slots: make(chan struct{}, 64), downFor: 2500 * time.Millisecond, streams: true}
		if err := d.replicas.start(r, ""); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	for _, h := range d.hosts[:3] {
		h.kill()
	}
	lone := d.hosts[3]
	c := newCallers(d)
	c.zone = lone.zone
	drafts := c.sendDrafts(200*time.Millisecond, 80*time.Second)
	number := 0
	var sent []time.Time
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); {
		for range 3 {
			time.Sleep(2 * time.Second)
			number++
			n := number
			sent = append(sent, time.Now())
			c.wait.Go(func() {
				id := fmt.Sprintf("poison-%012x", n)
				c.readStream(lone, minutesPath, id, "", fmt.Sprintf("5c1e07a2:800,%s:410,%x:250", poisonPart, 0x90000+n), &stream{}, time.Now().Add(streamWait))
			})
		}
		if trouble {
			lone.kill()
			if err := lone.start(); err != nil {
				return false, err
			}
			if err := lone.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
	}
	for range drafts {
	}
	d.replicas.mu.Lock()
	for _, run := range d.replicas.arrivals {
		var n int
		if _, err := fmt.Sscanf(run.attempt, "poison-%x", &n); err == nil {
			run.excused = !lone.wasInTouch(sent[n-1])
		}
	}
	d.replicas.mu.Unlock()
	return d.checkPoisonPart(), nil
}
