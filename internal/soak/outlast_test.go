package soak

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against part of an answer that is passed off as the whole one because it lasts longer than its route allows: its replica
// stops work at the same moment as the host, and ends the answer in order, by its connection or the last chunk. SECONDS is the time.
func TestAnswersThatOutlastTheirRouteAreBroken(t *testing.T) {
	concurrently(t)
	lasts, _ := runTime(3 * time.Second)
	routes := unframedRoutes(true)
	for _, r := range routes {
		r.timeout = time.Duration(max(r.events, answerPieces)) * r.pause * 3 / 4
	}
	g := newStreamRig(t, rigShape{hosts: 4, zones: 2, replicas: map[string]int{"pool": 6}, direct: true}, routes...)
	defer g.keepLogs(1)
	c := &rigCallers{g: g, every: 8 * time.Millisecond, random: rand.New(rand.NewPCG(1, 1))}
	checkFollowed(t, "answers last longer than their routes allow", c.follow(lasts))
}
