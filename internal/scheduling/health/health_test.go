package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulate sends a request every 100 ms from begin until end to each member whose limit
// is not 0, and evaluates the pool every 50 ms. firstToken returns a member's
// first-token time, 0 when it returns no token.
func simulate(p *Pool, begin, end time.Duration, firstToken func(i int) time.Duration, afterEvaluate func(at time.Duration)) {
	for elapsed := begin; elapsed < end; elapsed += 50 * time.Millisecond {
		at := start.Add(elapsed)
		for i, m := range p.members {
			if elapsed%(100*time.Millisecond) != 0 || m.Limit(at, 16) == 0 {
				continue
			}
			id := fmt.Sprint(elapsed)
			m.Start(at, id, RequestKind{Tier: 1, PromptTokens: 100})
			if latency := firstToken(i); latency > 0 {
				m.FirstToken(at, id, RequestKind{Tier: 1, PromptTokens: 100}, latency)
			}
		}
		p.Evaluate(at)
		afterEvaluate(elapsed)
	}
}

func newPool(n int) *Pool {
	p := &Pool{}
	for range n {
		p.Add()
	}
	return p
}

func healthyFirstToken(int) time.Duration { return 50 * time.Millisecond }
func noop(time.Duration)                  {}

// Guards against a frozen or slow replica that still receives requests after two
// seconds, and against the ejection of healthy replicas along with it.
func TestFrozenAndSlowReplicasAreEjectedWithinTwoSeconds(t *testing.T) {
	for name, badLatency := range map[string]time.Duration{"frozen": 0, "slow": 400 * time.Millisecond} {
		p := newPool(6)
		simulate(p, 0, 2*time.Second, healthyFirstToken, noop)
		firstToken := func(i int) time.Duration {
			if i == 3 {
				return badLatency
			}
			return healthyFirstToken(i)
		}
		ejectedAt := time.Duration(0)
		simulate(p, 2*time.Second, 4*time.Second, firstToken, func(elapsed time.Duration) {
			if p.members[3].Ejected() && ejectedAt == 0 {
				ejectedAt = elapsed
			}
		})
		require.NotZero(t, ejectedAt, name)
		require.LessOrEqual(t, ejectedAt-2*time.Second, 2*time.Second, name)
		for i, m := range p.members {
			require.Equal(t, i == 3, m.Ejected(), "%s %d", name, i)
		}
	}
}

// Guards against the loss of all capacity when every replica slows down or crashes.
func TestEjectedShareIsBounded(t *testing.T) {
	p := newPool(6)
	simulate(p, 0, 2*time.Second, healthyFirstToken, noop)
	simulate(p, 2*time.Second, 6*time.Second, func(int) time.Duration { return time.Second }, func(time.Duration) {
		for _, m := range p.members {
			require.False(t, m.Ejected())
		}
	})
	for _, m := range p.members {
		m.Crash(start.Add(6 * time.Second))
	}
	ejectedCount := 0
	for _, m := range p.members {
		if m.Ejected() {
			ejectedCount++
		}
	}
	require.Equal(t, 3, ejectedCount)
}

// Guards against full load on a replica that was just readmitted, and against
// ejections that stay short when a replica crashes repeatedly.
func TestReadmittedReplicaRampsUp(t *testing.T) {
	p := newPool(4)
	m := p.members[0]
	m.Crash(start)
	require.Zero(t, m.Limit(start, 16))
	readmittedAt := start.Add(crashEjectionTime)
	p.Evaluate(readmittedAt)
	require.Equal(t, 1, m.Limit(readmittedAt, 16))
	require.Equal(t, 4, m.Limit(readmittedAt.Add(2*time.Second), 16))
	p.Evaluate(readmittedAt.Add(readmissionTime + time.Second))
	require.Equal(t, 16, m.Limit(readmittedAt.Add(readmissionTime+time.Second), 16))
	m.Crash(readmittedAt.Add(10 * time.Second))
	p.Evaluate(readmittedAt.Add(10*time.Second + crashEjectionTime))
	require.True(t, m.Ejected())
}

// Guards against a plain service that counts as frozen because its answers have no
// separate first token, and against a single timeout that ejects a busy replica.
func TestAnswersWithoutStreamingCountAsFirstTokens(t *testing.T) {
	p := newPool(3)
	m := p.members[0]
	k := RequestKind{Tier: 1}
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		m.Start(now, "call", k)
		m.Finish(now.Add(900*time.Millisecond), "call", k, true)
	}
	expected, ok := p.ExpectedFirstToken(k)
	require.True(t, ok)
	require.InDelta(t, 900*time.Millisecond, expected, float64(time.Millisecond))
	now := start.Add(20 * time.Second)
	m.Start(now, "call", k)
	p.Evaluate(now.Add(2 * time.Second))
	require.False(t, m.Ejected())
	m.Tokens(now.Add(2*time.Second), 1, time.Millisecond)
	m.Timeout(now.Add(2 * time.Second))
	require.False(t, m.Ejected())
	m.Timeout(now.Add(3 * time.Second))
	require.True(t, m.Ejected())
}
