package proxy

import (
	"context"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

// A plain request that may be repeated may run at several replicas at a time, other than a stream. Its silent run therefore
// goes on beside the offers of the request to other replicas until one of them has answered: one that refuses late, or that
// no retry follows, costs no answer.

// race is handOver for a plain request. If the silent run goes on or ends, which closes revived, it returns the latest offer that
// is open, and left is false: that attempt goes on only if the run has ended.
func (e *exchange) race(ctx context.Context, p *progress, revived <-chan struct{}) (next *handover, left bool) {
	var open []*handover
	answered := make(chan *handover, maxTriedReplicas)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for offers := 0; ; {
		select {
		case <-revived:
			return e.latestOffer(open, p), false
		case h := <-answered:
			open = slices.DeleteFunc(open, func(o *handover) bool { return o == h })
			if e.takes(h, p) {
				e.dropOffers(open, p)
				e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", h.lease.Member.ID).
					Bool("answered", true).Msg("another replica takes the request over")
				return h, true
			}
			e.endHandover(h, p)
		case <-timer.C:
		}
		var lease *fleet.Lease
		if offers < maxTriedReplicas && ctx.Err() == nil && !closed(revived) {
			lease = e.leaseForOffer(p, len(open))
		}
		switch {
		case lease != nil:
			offers++
			h := e.beginHandover(ctx, lease, e.upstreamRequest(lease, p))
			p.exclude = append(p.exclude, lease.Member.ID)
			open = append(open, h)
			go func() {
				<-h.done
				answered <- h
			}()
			timer.Reset(e.responseTimeout(lease.Expected))
		case len(open) == 0:
			return nil, false
		default:
			timer.Reset(minResponseTimeout)
		}
	}
}

// leaseForOffer picks a replica to offer a plain request to, beside its silent run and the given number of open offers, and
// takes the offer out of the retry budget. It returns nil if none may be offered the request.
func (e *exchange) leaseForOffer(p *progress, open int) *fleet.Lease {
	now := time.Now()
	if p.possibleRuns+open >= e.maxAttempts() || open > 0 && e.responseTimeout(0) > e.timeLeft(now) {
		return nil
	}
	request := e.fleetRequest(e.record.upstream, p)
	request.Target = 0 // the latency objective is missed
	if !e.server.opts.Fleet.Available(request, now) || !e.payOffer(p, open) {
		return nil
	}
	lease, refusal := e.server.opts.Fleet.Pick(request, now)
	if refusal != nil {
		return nil
	}
	return lease
}

// latestOffer returns the last of the open offers, if any, and ends the others.
func (e *exchange) latestOffer(open []*handover, p *progress) *handover {
	if len(open) == 0 {
		return nil
	}
	last := len(open) - 1
	e.dropOffers(open[:last], p)
	return open[last]
}

// dropOffers ends offers that nobody goes on with. Those that may be written count as runs.
func (e *exchange) dropOffers(open []*handover, p *progress) {
	for _, h := range open {
		e.server.metrics.repeatedAttempts.Inc(1)
		if !h.withdraw() {
			p.sentAttempts++
			e.noteRun(p, h.lease.Member.ID)
		}
		h.drop()
	}
}
