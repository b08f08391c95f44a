package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// notation is how a route's replicas write events.
type notation struct {
	lineEnd string              // "\n" if empty
	id      func(i int) string  // of the event with the number i, which counts from 0; decimal if nil
	before  func(i int) string  // lines before the event
	first   string              // bytes before the first event of each answer
	parse   func(id string) int // inverse of id; -1 if it is none
	split   bool                // each byte of an event's end is written by itself
}

func (n *notation) idOf(i int) string {
	if n.id != nil {
		return n.id(i)
	}
	return strconv.Itoa(i)
}

func (n *notation) numberOf(id string) int {
	if n.parse != nil {
		return n.parse(id)
	}
	i, err := strconv.Atoi(id)
	if err != nil {
		return -1
	}
	return i
}

func (n *notation) event(i int, data string) string {
	text := "id: " + n.idOf(i) + "\ndata: " + data + "\n\n"
	if n.before != nil {
		text = n.before(i) + text
	}
	if n.lineEnd != "" {
		text = strings.ReplaceAll(text, "\n", n.lineEnd)
	}
	return text
}

// pieces returns an event as it is written.
func (n *notation) pieces(i int, data string) []string {
	text := n.event(i, data)
	if !n.split {
		return []string{text}
	}
	at := len(strings.TrimRight(text, "\r\n"))
	return append([]string{text[:at]}, strings.Split(text[at:], "")...)
}

// notations are ways in which replicas may write the events of a stream.
var notations = map[string]notation{
	"lines end with CR LF, in pieces": {lineEnd: "\r\n", split: true},
	"lines end with CR":               {lineEnd: "\r"},
	"a byte order mark comes first":   {first: "\ufeff"},
	"comments and retry times":        {before: func(int) string { return ": comment\n\nretry: 1000\n" }},
	"IDs are no numbers": {
		id: func(i int) string { return fmt.Sprintf("event-%d-%d", 7*i%11, i) },
		parse: func(id string) int {
			i, err := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
			if err != nil {
				return -1
			}
			return i
		},
	},
	"IDs have spaces": {
		id: func(i int) string { return "  " + strconv.Itoa(i) + " " },
		parse: func(id string) int {
			i, err := strconv.Atoi(strings.TrimSpace(id))
			if err != nil {
				return -1
			}
			return i
		},
	},
	"IDs count tokens": { // of which each fifth event holds two
		id: func(i int) string { return strconv.Itoa(i + i/4) },
		parse: func(id string) int {
			tokens, err := strconv.Atoi(id)
			if err != nil {
				return -1
			}
			return tokens - tokens/5
		},
	},
	"IDs begin with zeros": {id: func(i int) string { return fmt.Sprintf("%06d", i) }},
}

// Guards against streams whose lines or IDs are written in another way than usual, and that are taken for broken, lose
// events, or do not go on after the event that the caller has.
func TestStreamsInOtherNotations(t *testing.T) {
	concurrently(t)
	// A stream whose process ends within its first events may not go on, so that not all are complete.
	const begins, minCompleteShare = 1500 * time.Millisecond, 0.8
	var routes []*streamRoute
	for name, n := range notations {
		routes = append(routes, &streamRoute{
			name: strings.ReplaceAll(name, " ", "-"), service: "pool", kind: "streaming", resumable: true, attempts: 3,
			events: longStreamEvents, pause: 15 * time.Millisecond, notation: n,
		})
	}
	g := newStreamRig(t, rigShape{hosts: 3, zones: 3, replicas: map[string]int{"pool": 6}}, routes...)
	defer g.keepLogs(1)
	c := &rigCallers{g: g, every: 8 * time.Millisecond, hangUp: 0.2, random: rand.New(rand.NewPCG(1, 1))}
	all := c.follow(begins / 2)
	stop := make(chan struct{})
	var ends sync.WaitGroup
	ends.Go(func() {
		g.endProcesses(&processEnd{down: 30 * time.Millisecond, every: 300 * time.Millisecond}, rand.New(rand.NewPCG(1, 0)), stop)
	})
	all = append(all, c.follow(begins)...)
	close(stop)
	ends.Wait()
	for name := range notations {
		route := strings.ReplaceAll(name, " ", "-")
		var of []*followed
		for _, f := range all {
			if f.route.name == route {
				of = append(of, f)
			}
		}
		checkFollowed(t, name, of)
		assert.GreaterOrEqual(t, completeShare(of), minCompleteShare, name)
		_, _, takenUp, wentOn := shares(of)
		assert.GreaterOrEqual(t, wentOn, minTakeUpShare*takenUp, "%s: streams that are taken up go on", name)
	}
}
