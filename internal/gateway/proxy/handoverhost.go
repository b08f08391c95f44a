package proxy

import (
	"context"
	"errors"
	"slices"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
)

// handOverToHost is handOver for a request that other hosts run, as this one is cut off from the replicas. runKnown tells whether
// it is known which replica runs the request. As long as it is not, another host could send the request to that very
// replica, so that the run is ended first.
func (e *exchange) handOverToHost(ctx context.Context, p *progress, runKnown bool, revived <-chan struct{}) (next *handover, left bool) {
	s := e.server
	if p.headerSent && (e.cutShort() || !e.settleEarly(ctx, p) || !e.mayGoOnElsewhere(ctx, p)) {
		return nil, false
	}
	if !runKnown {
		_, ok := s.opts.Helpers.Helper(e.record.upstream, p.helpers)
		return nil, ok && len(p.helpers) < maxHelpers && e.payRetry(p)
	}
	tried, ranAt := slices.Clone(p.helpers), p.ranAt
	p.stopping = slices.Clone(p.stopping)
	for ctx.Err() == nil && !closed(revived) && p.possibleRuns < e.maxAttempts() {
		address, ok := "", false
		if len(tried) < maxHelpers {
			address, ok = s.opts.Helpers.Helper(e.record.upstream, tried)
		}
		switch {
		case ok:
			tried = append(tried, address)
		case len(ranAt) > 0:
			address, ranAt = ranAt[0], ranAt[1:]
		default:
			return nil, false
		}
		if !e.payRetry(p) {
			return nil, false
		}
		h := e.beginHandover(ctx, fleet.Delegated(), e.delegatedRequest(address, false, p))
		h.helper = address
		answered := h.decide(revived)
		if !answered || e.hostTakes(h, p) {
			s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", address).Int("events", p.events).
				Bool("answered", answered).Msg("another host takes the request over")
			return h, true
		}
		runs := p.possibleRuns
		e.endOffer(h, p)
		if !closed(revived) && e.ranBeside(h, p, runs) {
			return nil, true
		}
	}
	return nil, false
}

// hostTakes reports whether the host's answer goes on with the request, as far as its head shows.
func (e *exchange) hostTakes(h *handover, p *progress) bool {
	return h.err == nil && declineOf(h.response.Header) == "" && e.takes(h, p)
}

// endOffer ends an attempt whose host has not taken the request.
func (e *exchange) endOffer(h *handover, p *progress) {
	defer h.cancel()
	if h.err != nil {
		if !errors.Is(h.err, upstream.ErrNotSent) {
			p.sentAttempts++
			p.possibleRuns++
		}
		e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", h.helper).Err(h.err).Msg("host does not take the request over")
		return
	}
	defer h.response.Close()
	if reason := declineOf(h.response.Header); reason != "" {
		h.response.Discard()
		e.noteDeclined(reason, h.helper, p)
		return
	}
	p.sentAttempts++
	if reply := e.server.opts.Dialect.Reply(h.response.Status, h.response.Header); !refusedByHost(h.response, reply) {
		e.noteDelegatedRuns(p, h.response.Header)
	}
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", h.helper).Int("status", h.response.Status).
		Msg("host does not take the request over")
}

// takeOverOffer is takeOver for an attempt at another host.
func (e *exchange) takeOverOffer(ctx context.Context, h *handover, p *progress) attemptResult {
	if !slices.Contains(p.helpers, h.helper) {
		p.helpers = append(p.helpers, h.helper)
	}
	watchdog := e.startDelegationWatchdog(ctx, h.ctx, h.cancel, p)
	defer watchdog.stop()
	<-h.done
	result, _ := e.forwardOffer(h.helper, h.response, h.err, p, watchdog)
	return result
}
