package proxy

import (
	"context"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
)

// Replicas that are full for a moment refuse a request within a millisecond. A stream whose run has ended and that the
// caller has begun to receive is lost if they are tried only then, so that it waits until one may have room. Those that
// have run it are not tried again, as they failed.

const (
	// roomCheckInterval is the time between two checks whether a replica may have room. The caller waits for the next event
	// meanwhile.
	roomCheckInterval = 25 * time.Millisecond
	// maxRoomWait is the time after which a replica is tried although it is not expected to have room: others may have
	// ended their requests there.
	maxRoomWait = 400 * time.Millisecond
	// maxBudgetWait bounds the wait for the retry budget. A sound replica may be silent for as long; after it, the caller is told
	// that its request has been given up, as it may try again elsewhere.
	maxBudgetWait = time.Second
)

// awaitRoom waits until replicas may be tried once more for a stream that the caller has begun to receive, and returns
// false if they may not. The host that has delegated a request decides on its further attempts.
func (e *exchange) awaitRoom(ctx context.Context, p *progress) bool {
	begun := time.Now()
	if e.delegation != nil || !p.headerSent || !p.mayContinue() || p.possibleRuns >= e.maxAttempts() {
		return false
	}
	if e.timeLeft(begun) < maxRoomWait+minTimeLeft {
		return false
	}
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Int("events", p.events).Int("tried", p.triedReplicas).
		Msg("no replica has taken the stream, waiting")
	p.exclude = slices.Clone(p.ran)
	for {
		wait(ctx, roomCheckInterval)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return false
		case e.server.opts.Fleet.Available(e.fleetRequest(e.record.upstream, p), now), now.Sub(begun) >= maxRoomWait:
			p.triedReplicas = maxTriedReplicas - 1 // the next one alone
			return true
		}
	}
}

// awaitBudget waits until the retry budget allows the next attempt, and returns false if it does not in time. Only a stream
// whose run was given up for a replica that did not keep it waits: it would have gone on. Callers take up others sooner.
func (e *exchange) awaitBudget(ctx context.Context, p *progress, allow func(upstream string) bool) bool {
	if !p.gaveUp || e.route.Kind != routing.Streaming {
		return false
	}
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Int("events", p.events).Msg("retry budget is empty, the stream waits")
	begun := time.Now()
	for now := begun; now.Sub(begun) < maxBudgetWait && e.timeLeft(now) >= roomCheckInterval+minTimeLeft; now = time.Now() {
		wait(ctx, roomCheckInterval)
		if ctx.Err() != nil {
			return false
		}
		if allow(e.record.upstream) {
			return true
		}
	}
	return false
}

// awaitHosts is awaitRoom for a stream that other hosts have run. Their replicas may have room later.
func (e *exchange) awaitHosts(ctx context.Context, p *progress) bool {
	if !p.delegated || !p.mayContinue() || e.timeLeft(time.Now()) < maxRoomWait+minTimeLeft || !e.mayGoOnElsewhere(ctx, p) {
		return false
	}
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Int("events", p.events).Int("helpers", len(p.helpers)).
		Msg("no host has taken the stream, waiting")
	wait(ctx, maxRoomWait)
	p.helpers, p.noHelper = nil, false
	return ctx.Err() == nil
}

// goBack lets replicas go on with a begun stream again whose runs were given up, if the fleet has refused it as there are no
// others: unlike those that failed, they may be sound.
func (e *exchange) goBack(refusal *fleet.Refusal, p *progress) bool {
	none := refusal.Reason == fleet.ReasonNoReplica || refusal.Reason == fleet.ReasonVersionGone
	if !none || !p.headerSent || len(p.givenUp) == 0 || p.possibleRuns >= e.maxAttempts() {
		return false
	}
	p.exclude = slices.DeleteFunc(slices.Clone(p.ran), func(id string) bool { return slices.Contains(p.givenUp, id) })
	p.givenUp = nil
	p.triedReplicas = min(p.triedReplicas, maxTriedReplicas-1)
	return true
}

// mayPass reports whether replicas may accept in a moment what the fleet has refused for the given reason.
func mayPass(refusal *fleet.Refusal, p *progress) bool {
	switch refusal.Reason {
	case fleet.ReasonPoison, fleet.ReasonPoisonPart:
		return false
	case fleet.ReasonNoReplica, fleet.ReasonVersionGone:
		// Those that have refused it may still serve.
		return slices.ContainsFunc(p.exclude, func(id string) bool { return !slices.Contains(p.ran, id) })
	}
	return true
}
