package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/standin/engine"
)

// getJSON reads a document of a stand-in; its counts outlive the faults of its link.
func (c *cluster) getJSON(address, path string, out any) error {
	response, err := c.http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(out)
}

// runs returns how often engines ran each request.
func (c *cluster) runs() (map[string]int, error) {
	out := make(map[string]int)
	for _, e := range c.engines {
		var counts engine.Counts
		if err := c.getJSON(e.address, "/admin/counts", &counts); err != nil {
			return nil, err
		}
		for id, n := range counts.Requests {
			out[id] += n
		}
	}
	return out, nil
}

// effects returns how often each key took effect.
func (c *cluster) effects() (map[string]int, error) {
	out := make(map[string]int)
	for _, s := range c.services {
		var effects map[string]int
		if err := c.getJSON(s.address, "/admin/effects", &effects); err != nil {
			return nil, err
		}
		for key, n := range effects {
			out[key] += n
		}
	}
	return out, nil
}

// checkAnswers compares what callers saw with what the stand-ins counted. It
// returns the broken invariants.
func (c *cluster) checkAnswers(answers []answer) []string {
	runs, err := c.runs()
	if err != nil {
		return []string{err.Error()}
	}
	effects, err := c.effects()
	if err != nil {
		return []string{err.Error()}
	}
	var broken []string
	report := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	allNotRun := make(map[string]bool)
	for _, x := range answers {
		if x.foreign != "" {
			report("P3: chat %s received a foreign frame: %s", x.id, x.foreign)
		}
		if x.err == nil && x.status != 0 && !x.outcome.Valid() {
			report("%s %s ended without an outcome (status %d)", x.kind, x.id, x.status)
		}
		if x.outcome == outcome.Completed && !x.whole {
			report("P3: %s %s is completed but not whole", x.kind, x.id)
		}
		if x.kind == "chat" && x.outcome == outcome.NotRun && runs[x.id] > 0 {
			report("P4: chat %s was refused as not-run but ran %d times", x.id, runs[x.id])
		}
		if x.kind == "order" {
			previous, seen := allNotRun[x.key]
			allNotRun[x.key] = x.outcome == outcome.NotRun && (previous || !seen)
			if x.outcome == outcome.Completed && effects[x.key] != 1 {
				report("order %s is completed but took effect %d times", x.key, effects[x.key])
			}
		}
	}
	for key, n := range effects {
		if n > 1 {
			report("P5: order %s took effect %d times", key, n)
		}
		if n > 0 && allNotRun[key] {
			report("P4: order %s was refused as not-run but took effect", key)
		}
	}
	return broken
}

// versionWatch looks for a host whose bundle goes back to an earlier generation.
type versionWatch struct {
	mu      sync.Mutex
	highest map[string]uint64
	reverts []string
	stop    context.CancelFunc
	done    chan struct{}
}

func watchVersions(c *cluster) *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatch{highest: make(map[string]uint64), stop: cancel, done: make(chan struct{})}
	c.t.Cleanup(cancel)
	go func() {
		defer close(w.done)
		client := &http.Client{Timeout: time.Second}
		for ctx.Err() == nil {
			for _, h := range c.hosts {
				if s, err := h.status(ctx, client); err == nil {
					w.note(h.name, s.Self.Generation)
				}
			}
			time.Sleep(pollInterval)
		}
	}()
	return w
}

// note records a generation. 0 means that a restarted host is not ready yet.
func (w *versionWatch) note(host string, generation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation == 0 {
		return
	}
	if generation < w.highest[host] {
		w.reverts = append(w.reverts, fmt.Sprintf("P8: %s went back from generation %d to %d", host, w.highest[host], generation))
	}
	w.highest[host] = max(w.highest[host], generation)
}

func (w *versionWatch) broken() []string {
	w.stop()
	<-w.done
	return w.reverts
}
