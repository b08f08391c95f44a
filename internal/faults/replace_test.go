package faults

import (
	"context"
	"net/http"
	"testing"
	"time"

	"heatherbarrow/internal/outcome"
)

// isolationTime is longer than any wait of a host for its first bundle.
const isolationTime = 5 * time.Second

// replace ends both programs of all the hosts and then starts them again without
// any state, so that none learns from another that still runs.
func replace(hosts ...*host) {
	for _, h := range hosts {
		h.router.kill()
		h.control.kill()
	}
	for _, h := range hosts {
		h.control.start()
		h.router.start()
	}
}

func (c *cluster) ready(h *host) bool {
	response, err := c.http.Get("http://" + h.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// runReplacedHostCell replaces a host while the platform is down: it must learn
// the bundle from its peers.
func runReplacedHostCell(t *testing.T) []string {
	c := newCluster(t)
	c.start()
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	c.platform.set(c, "down", true)
	replace(c.hosts[0])
	var broken []string
	if !c.eventually("the replaced host is ready without the platform", spreadTimeout, func() bool { return c.ready(c.hosts[0]) }) {
		broken = append(broken, "P8: a replaced host did not learn the bundle from its peers")
	}
	if x := a.chat(ctx, c.hosts[0], "quote", "[length=5] replaced", nil); x.outcome != outcome.Completed {
		broken = append(broken, "a replaced host does not serve chats")
	}
	if x := a.order(ctx, c.hosts[0], "replaced"); x.outcome != outcome.NotRun {
		broken = append(broken, "P5: an order was not refused without the platform: "+string(x.outcome))
	}
	c.heal()
	broken = append(broken, c.probe(ctx, a)...)
	broken = append(broken, c.checkSpread()...)
	broken = append(broken, c.checkAnswers(a.all())...)
	return append(broken, c.versions.broken()...)
}

// runReplacedZoneCell replaces both hosts of a zone that is cut off from the
// platform and the other zones. Nobody in the zone knows the bundle, so its hosts
// must not serve until it heals, and must then take the newest one.
func runReplacedZoneCell(t *testing.T) []string {
	c := newCluster(t)
	c.start()
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	c.cutZone()
	c.cutZoneFromPlatform()
	replace(c.hosts[0], c.hosts[3])
	var broken []string
	current, err := c.rollOut(ctx, c.bundle(11))
	if err != nil {
		return []string{"P8: rollout during the cut: " + err.Error()}
	}
	time.Sleep(isolationTime)
	for _, h := range []*host{c.hosts[0], c.hosts[3]} {
		if c.ready(h) {
			broken = append(broken, "P8: "+h.name+" is ready although nobody could tell it the bundle")
		}
	}
	c.heal()
	if !c.eventually("the newest bundle is in force on all hosts", spreadTimeout, func() bool { return c.allAt(current.Generation) }) {
		broken = append(broken, "P8: the zone did not take the newest bundle after healing")
	}
	broken = append(broken, c.probe(ctx, a)...)
	broken = append(broken, c.checkAnswers(a.all())...)
	return append(broken, c.versions.broken()...)
}
