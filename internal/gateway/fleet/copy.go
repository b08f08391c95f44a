package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/gateway/routing"
)

const (
	// leastCopied is the least number of tokens worth copying: below, reading takes
	// about as long as starting a copy.
	leastCopied = 512
	// copySetup is the time in which an engine starts a copy, as measured on the
	// operators' engines.
	copySetup = 6 * time.Millisecond
	// copyPrice is the cost of a copy as a part of the time to read the tokens. The
	// operators pay for the memory moved about a sixth of what they pay for reading
	// shared prompts again, and it keeps sessions where they are.
	copyPrice = 0.25
)

// source is a replica from which others can copy the beginning of a prompt.
type source struct {
	replica *replica
	tokens  int
}

// sources returns, for each availability zone, the replica that has read most of the
// prompt.
func (f *Fleet) sources(p *pool, q *Request, now time.Time) []source {
	e := p.upstream.Engine
	if e == nil || e.BytesPerToken <= 0 || e.LinkBitsPerSecond <= 0 || len(q.Prompt) == 0 {
		return nil
	}
	var out []source
	for _, r := range p.replicas {
		if !r.member.usable(now) || r.failures > 0 || slices.Contains(q.Exclude, r.member.ID) {
			continue
		}
		tokens := r.read(q.Prompt, now)
		if tokens < leastCopied {
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
// replica of its availability zone, and returns how long that takes.
func (f *Fleet) copyPrompt(c *candidate, p *pool, q *Request) time.Duration {
	for _, s := range q.sources {
		if s.replica.member.Zone != c.replica.member.Zone {
			continue
		}
		if tokens := s.tokens - c.cached; tokens >= leastCopied {
			c.source, c.copied = s.replica, tokens
			return copySetup + copyTime(p.upstream.Engine, tokens)
		}
	}
	return 0
}

// copyTime is the time to move tokens of memory between two engines.
func copyTime(e *routing.Engine, tokens int) time.Duration {
	const bits = 8
	seconds := float64(tokens) * float64(e.BytesPerToken) * bits / e.LinkBitsPerSecond
	return time.Duration(seconds * float64(time.Second))
}
