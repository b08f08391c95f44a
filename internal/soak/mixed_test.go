package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// replaceBuild stops the host, and starts it again as the earlier build or as today's.
func (h *host) replaceBuild(earlier bool) {
	h.t.Helper()
	h.build = func() bool { return earlier }
	h.restart(syscall.SIGTERM, 0)
	require.Eventually(h.t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
}

// served counts the first tries at a host.
type served struct{ all, ok atomic.Int64 }

func (s *served) share() float64 { return float64(s.ok.Load()) / float64(max(s.all.Load(), 1)) }

// Guards against a host that is cut off from all replicas and refuses what its callers send, as hosts of another build
// decline streams whose replicas are down, and it takes each decline for one of all requests. Without an earlier build only
// today's one is played.
func TestCutOffHostIsHelpedBesideStreamsThatCannotGoOn(t *testing.T) {
	concurrently(t)
	type play struct {
		name              string
		cutOff, elsewhere bool // hosts of the earlier build
	}
	plays := []play{{"one build", false, false}}
	if earlierBuild() != "" {
		plays = append(plays, play{"earlier build cut off", true, false}, play{"today's build cut off", false, true})
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			concurrently(t)
			playVersionDown(t, p.cutOff, p.elsewhere)
		})
	}
}

func playVersionDown(t *testing.T, cutOff, elsewhere bool) {
	const (
		lasts   = 4 * time.Second
		settles = time.Second
		every   = 20 * time.Millisecond
	)
	g := newStreamRig(t, rigShape{hosts: 4, zones: 2, replicas: map[string]int{"model": 2, "plain": 3}, apart: true},
		&streamRoute{name: "draft", service: "model", kind: "streaming", resumable: true, attempts: 2, events: draftEvents, pause: 5 * time.Millisecond},
		&streamRoute{name: "look", service: "plain", kind: "idempotent", attempts: 2, pause: time.Millisecond})
	defer g.keepLogs(1)
	for i, h := range g.hosts {
		if earlierBuild() != "" {
			h.replaceBuild(i == 0 && cutOff || i > 0 && elsewhere)
		}
	}
	c := &rigCallers{g: g, hangUp: 1, random: rand.New(rand.NewPCG(1, 1))}
	begun := c.beginStreams(g.hosts[1], 4)
	c.hangUp = 0
	for _, r := range g.replicas {
		r.apart.Stop()
		if r.service == "model" {
			r.link.Stop()
		}
	}
	var wg sync.WaitGroup
	end := time.Now().Add(lasts)
	for _, f := range begun {
		wg.Go(func() {
			for n := 1; time.Now().Before(end); n++ {
				c.attempt(g.hosts[0], fmt.Sprintf("%s-%s-%d", f.key, g.hosts[0].name, n), f.key+"-first", f)
				time.Sleep(every)
			}
		})
	}
	counts := make([]served, 2)
	for began := time.Now(); time.Now().Before(end); time.Sleep(every) {
		for i := range counts {
			counted := time.Since(began) > settles
			wg.Go(func() {
				f := &followed{route: g.route("look"), key: fmt.Sprintf("k%d", g.next.Add(1))}
				c.attempt(g.hosts[i], fmt.Sprintf("%s-%s-0", f.key, g.hosts[i].name), "", f)
				if !counted {
					return
				}
				counts[i].all.Add(1)
				if f.complete && f.text == plainAnswer(f.key) {
					counts[i].ok.Add(1)
				}
			})
		}
	}
	wg.Wait()
	t.Logf("cut off: %d of %d served, elsewhere: %d of %d", counts[0].ok.Load(), counts[0].all.Load(), counts[1].ok.Load(), counts[1].all.Load())
	require.Positive(t, counts[1].share())
	// The operators' bound.
	assert.GreaterOrEqual(t, counts[0].share(), counts[1].share()*2/3, "share of first tries that are served at the host that is cut off")
}

// beginStreams begins the given number of streams at the host, which their callers leave.
func (c *rigCallers) beginStreams(h *host, n int) (begun []*followed) {
	require.Eventually(c.g.t, func() bool {
		f := &followed{route: c.g.route("draft"), key: fmt.Sprintf("k%d", c.g.next.Add(1))}
		c.attempt(h, f.key+"-first", "", f)
		if f.events > 0 && f.events < f.route.events {
			begun = append(begun, f)
		}
		return len(begun) == n
	}, settleTime, time.Millisecond, "streams begin")
	return begun
}
