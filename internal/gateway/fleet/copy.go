package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/gateway/routing"
)

const (
	// minCopiedTokens is the smallest number of tokens worth copying. Reading them takes
	// 14 ms, and copying fewer saves little.
	minCopiedTokens = 512
	// copySetupTime is the time that an engine takes to start a KV-cache copy; the
	// operators specify 5.3 ms for their engines.
	copySetupTime = 6 * time.Millisecond
	// crossZoneCopyFactor is how much longer a copy between availability zones takes, as
	// the operators specify for KV-cache transfers.
	crossZoneCopyFactor = 2
	// copyCostFactor is the cost of a copy relative to the time to read the tokens.
	// Copied KV cache is billed, and with a lower factor sessions would move away from
	// replicas that still have capacity.
	copyCostFactor = 0.6
)

// source is a replica from which others can copy the prefix of a prompt.
type source struct {
	replica *replica
	tokens  int // length of the prefix
}

// sources returns, for each availability zone that is not cut off, the replica that
// has read the longest prefix of the prompt.
func (f *Fleet) sources(p *pool, q *Request, now time.Time) []source {
	e := p.upstream.Engine
	if e == nil || e.BytesPerToken <= 0 || e.LinkBitsPerSecond <= 0 || len(q.Prompt) == 0 {
		return nil
	}
	var out []source
	for _, r := range p.replicas {
		if !r.member.usable(now) || r.consecutiveFailures > 0 || slices.Contains(q.Exclude, r.member.ID) || f.inAvoidedZone(r, now) {
			continue
		}
		tokens := r.alreadyReadTokens(q.Prompt, now)
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

// planCopy decides whether the candidate copies a prefix of the prompt from another
// replica, sets the source and length in the candidate and returns the time that the copy
// takes. Among sources with equally long prefixes one in the candidate's zone is
// preferred.
func (f *Fleet) planCopy(c *candidate, p *pool, q *Request) time.Duration {
	crossZone := false
	for _, s := range q.sources {
		tokens := s.tokens - c.cachedOrPendingTokens
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

// transferTime returns the time to move the KV cache of a number of tokens between two
// engines.
func transferTime(e *routing.Engine, tokens int) time.Duration {
	const bitsPerByte = 8
	seconds := float64(tokens) * float64(e.BytesPerToken) * bitsPerByte / e.LinkBitsPerSecond
	return time.Duration(seconds * float64(time.Second))
}
