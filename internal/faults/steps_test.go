package faults

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	stepRequests = 4
	stepTimeout  = 10 * time.Second
)

// step brings requests to host 0 into one step of their life. enter returns a
// function that lets them go on.
type step struct {
	name  string
	enter func(ctx context.Context, c *cluster, a *caller) (release func())
	// serves means that a replica can take top-tier work during the step.
	serves bool
	// impossible says why a fault cannot be injected in the step.
	impossible string
}

var steps = []step{
	{name: "accept", enter: enterAccept, serves: true},
	{name: "authenticate", impossible: "the key is looked up in local memory without waiting, between accept and claim"},
	{name: "claim", enter: enterClaim, serves: true},
	{name: "queue", enter: enterQueue},
	{name: "pick", impossible: "a replica is picked in local memory without waiting, when queue ends"},
	{name: "connect", enter: enterConnect, serves: true},
	{name: "send", enter: enterSend, serves: true},
	{name: "first-token", enter: enterFirstToken},
	{name: "mid-stream", enter: enterMidStream, serves: true},
	{name: "end", enter: enterEnd, serves: true},
	{name: "record-outcome", enter: enterRecordOutcome, serves: true},
	{name: "answer", enter: enterAnswer, serves: true},
}

func nothing() {}

// sendChats starts chats through host 0.
func sendChats(ctx context.Context, c *cluster, a *caller, n int, class, prompt string) {
	for i := range n {
		a.inBackground(func() { a.chat(ctx, c.hosts[0], class, fmt.Sprintf("%s %d", prompt, i), nil) })
	}
}

func sendOrders(ctx context.Context, c *cluster, a *caller, n int) {
	for i := range n {
		a.inBackground(func() { a.order(ctx, c.hosts[0], fmt.Sprintf("key-%d", i)) })
	}
}

// enterAccept holds requests before the end of their bodies.
func enterAccept(ctx context.Context, c *cluster, a *caller) func() {
	released := make(chan struct{})
	for i := range stepRequests {
		reader, writer := io.Pipe()
		body := chatBody(fmt.Sprintf("accept %d", i))
		go func() {
			_, _ = io.WriteString(writer, body[:len(body)/2])
			<-released
			_, _ = io.WriteString(writer, body[len(body)/2:])
			_ = writer.Close()
		}()
		a.inBackground(func() { a.chat(ctx, c.hosts[0], "quote", "", reader) })
	}
	time.Sleep(100 * time.Millisecond)
	return func() { close(released) }
}

// enterClaim holds orders while their claims are written.
func enterClaim(ctx context.Context, c *cluster, a *caller) func() {
	c.platform.set(c, "delay_ms", 700)
	sendOrders(ctx, c, a, stepRequests)
	time.Sleep(200 * time.Millisecond)
	return func() { c.platform.set(c, "delay_ms", 0) }
}

// enterQueue fills all slots with long work that makes no progress.
func enterQueue(ctx context.Context, c *cluster, a *caller) func() {
	freezeEngines(c, true)
	sendChats(ctx, c, a, 24, "comparison", "[length=20] queue")
	time.Sleep(200 * time.Millisecond)
	sendChats(ctx, c, a, stepRequests, "quote", "queue")
	time.Sleep(200 * time.Millisecond)
	return func() { freezeEngines(c, false) }
}

func freezeEngines(c *cluster, frozen bool) {
	for _, e := range c.engines {
		e.set(c, "frozen", frozen)
	}
}

// enterConnect lets connections to one engine be refused.
func enterConnect(ctx context.Context, c *cluster, a *caller) func() {
	c.engines[0].link.Stop()
	sendChats(ctx, c, a, stepRequests, "quote", "[length=20] connect")
	time.Sleep(50 * time.Millisecond)
	return func() {
		if err := c.engines[0].link.Start(); err != nil {
			c.t.Errorf("start relay: %v", err)
		}
	}
}

// enterSend holds requests while their bodies are sent to the engines.
func enterSend(ctx context.Context, c *cluster, a *caller) func() {
	for _, e := range c.engines {
		e.link.slow(8)
	}
	sendChats(ctx, c, a, stepRequests, "quote", "[length=20] send "+strings.Repeat("x", 8<<10))
	time.Sleep(300 * time.Millisecond)
	return func() {
		for _, e := range c.engines {
			e.link.Heal()
		}
	}
}

// enterFirstToken holds requests in the engines before their first tokens.
func enterFirstToken(ctx context.Context, c *cluster, a *caller) func() {
	freezeEngines(c, true)
	sendChats(ctx, c, a, stepRequests, "quote", "[length=20] first")
	time.Sleep(200 * time.Millisecond)
	return func() { freezeEngines(c, false) }
}

// enterMidStream waits until all streams have their first frames. The streams
// last several seconds, so that a stop that does not wait for them would cut them
// off.
func enterMidStream(ctx context.Context, c *cluster, a *caller) func() {
	sendChats(ctx, c, a, stepRequests, "quote", "[length=350] mid")
	waitForFrames(a, stepRequests)
	return nothing
}

// enterEnd waits until the streams are near their ends.
func enterEnd(ctx context.Context, c *cluster, a *caller) func() {
	sendChats(ctx, c, a, stepRequests, "quote", "[length=12] end")
	waitForFrames(a, stepRequests)
	time.Sleep(200 * time.Millisecond)
	return nothing
}

func waitForFrames(a *caller, n int) {
	timeout := time.After(stepTimeout)
	for range n {
		select {
		case <-a.frames:
		case <-timeout:
			return
		}
	}
}

// enterRecordOutcome holds orders after their effects, while outcomes are written.
func enterRecordOutcome(ctx context.Context, c *cluster, a *caller) func() {
	c.delayServices(200)
	sendOrders(ctx, c, a, stepRequests)
	c.waitForEffects(stepRequests)
	c.platform.set(c, "delay_ms", 700)
	time.Sleep(300 * time.Millisecond)
	return func() { c.platform.set(c, "delay_ms", 0) }
}

// enterAnswer holds orders after their effects, before their answers.
func enterAnswer(ctx context.Context, c *cluster, a *caller) func() {
	c.delayServices(500)
	sendOrders(ctx, c, a, stepRequests)
	c.waitForEffects(stepRequests)
	return nothing
}

func (c *cluster) delayServices(milliseconds int) {
	for _, s := range c.services {
		s.set(c, "delay_ms", milliseconds)
	}
}

func (c *cluster) waitForEffects(n int) {
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(pollInterval / 2) {
		if effects, err := c.effects(); err == nil && len(effects) >= n {
			return
		}
	}
}
