package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/gateway/routing"
)

const (
	// leastCopied is the least number of tokens worth copying: they are read in 14 ms,
	// and a copy does not pay much below.
	minCopiedTokens = 512
	// copySetup is the time in which an engine starts a copy; the operators' description
	// of their engines has 5.3 ms.
	copySetupTime = 6 * time.Millisecond
	// copyAcross is how much longer a copy between availability zones takes, as the
	// operators say of moves.
	crossZoneCopyFactor = 2
	// copyPrice is the cost of a copy as a part of the time to read the tokens. Memory
	// moved is paid for, and a lower price moves sessions whose replicas have time.
	copyCostFactor = 0.6
)

// source is a replica from which others can copy the beginning of a prompt.
type source struct {
	replica *replica
	tokens  int
}

// sources returns, for each availability zone that is not cut off, the replica that
// has read most of the prompt.
func (f *Fleet) copySources(p *pool, q *Request, now time.Time) []source {
	e := p.upstream.Engine
	if e == nil || e.BytesPerToken <= 0 || e.LinkBitsPerSecond <= 0 || len(q.Prompt) == 0 {
		return nil
	}
	var out []source
	for _, r := range p.replicas {
		if !r.member.usable(now) || r.consecutiveFailures > 0 || slices.Contains(q.Exclude, r.member.ID) || f.inAvoidedZone(r, now) {
			continue
		}
		tokens := r.readTokens(q.Prompt, now)
		if tokens < minCopiedTokens {
			continue
		}
		i := slices.IndexFunc(out, func(s source) bool { return s.replica.member.Zone == r.member.Zone })
		switch {
		case i < 0:
			out = append(out, source{replica: r, tokens: tokens})
		case tokens > out[i].tokens:
			out[i] = source{replica: r, tokens: tokens}
		}
	}
	return out
}

// copyPrompt decides whether the candidate copies a part of the prompt from another
// replica, and returns how long that takes. Of those that hold as much one of its own
// availability zone is preferred.
func (f *Fleet) planCopy(c *candidate, p *pool, q *Request) time.Duration {
	crossZone := false
	for _, s := range q.sources {
		tokens := s.tokens - c.cached
		otherZone := s.replica.member.Zone != c.replica.member.Zone
		if tokens >= minCopiedTokens && (tokens > c.copied || tokens == c.copied && crossZone) {
			c.source, c.copied, crossZone = s.replica, tokens, otherZone
		}
	}
	if c.source == nil {
		return 0
	}
	transfer := transferTime(p.upstream.Engine, c.copied)
	if crossZone {
		transfer *= crossZoneCopyFactor
	}
	return copySetupTime + transfer
}

// copyTime is the time to move tokens of memory between two engines.
func transferTime(e *routing.Engine, tokens int) time.Duration {
	const bitsPerByte = 8
	seconds := float64(tokens) * float64(e.BytesPerToken) * bitsPerByte / e.LinkBitsPerSecond
	return time.Duration(seconds * float64(time.Second))
}
