package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// play sends one request to each member every 100 ms until end; answer returns
// the first-token time, or 0 for none.
func play(p *Pool, from, end time.Duration, answer func(i int) time.Duration, each func(now time.Duration)) {
	for at := from; at < end; at += 50 * time.Millisecond {
		now := start.Add(at)
		for i, m := range p.members {
			if at%(100*time.Millisecond) != 0 || m.Limit(now, 16) == 0 {
				continue
			}
			id := fmt.Sprint(at)
			m.Start(now, id, Kind{Tier: 1, PromptTokens: 100})
			if d := answer(i); d > 0 {
				m.FirstToken(now, id, Kind{Tier: 1, PromptTokens: 100}, d)
			}
		}
		p.Evaluate(now)
		each(at)
	}
}

func pool(n int) *Pool {
	p := &Pool{}
	for range n {
		p.Add()
	}
	return p
}

func healthyAnswer(int) time.Duration { return 50 * time.Millisecond }
func nothing(time.Duration)           {}

// Guards against a frozen or slow engine that keeps getting requests for longer
// than two seconds, and against ejecting the others with it.
func TestEjectsWithinTwoSeconds(t *testing.T) {
	for name, bad := range map[string]time.Duration{"frozen": 0, "slow": 400 * time.Millisecond} {
		p := pool(6)
		play(p, 0, 2*time.Second, healthyAnswer, nothing)
		answer := func(i int) time.Duration {
			if i == 3 {
				return bad
			}
			return healthyAnswer(i)
		}
		ejectedAt := time.Duration(0)
		play(p, 2*time.Second, 4*time.Second, answer, func(now time.Duration) {
			if p.members[3].Ejected() && ejectedAt == 0 {
				ejectedAt = now
			}
		})
		require.NotZero(t, ejectedAt, name)
		require.LessOrEqual(t, ejectedAt-2*time.Second, 2*time.Second, name)
		for i, m := range p.members {
			require.Equal(t, i == 3, m.Ejected(), "%s %d", name, i)
		}
	}
}

// Guards against the loss of all capacity when every replica slows down or dies.
func TestEjectionIsBounded(t *testing.T) {
	p := pool(6)
	play(p, 0, 2*time.Second, healthyAnswer, nothing)
	play(p, 2*time.Second, 6*time.Second, func(int) time.Duration { return time.Second }, func(time.Duration) {
		for _, m := range p.members {
			require.False(t, m.Ejected())
		}
	})
	for _, m := range p.members {
		m.Crash(start.Add(6 * time.Second))
	}
	out := 0
	for _, m := range p.members {
		if m.Ejected() {
			out++
		}
	}
	require.Equal(t, 3, out)
}

// Guards against full load on a replica that was just readmitted, and against
// ejections that stay short while a replica crashes again and again.
func TestReadmissionIsGradual(t *testing.T) {
	p := pool(4)
	m := p.members[0]
	m.Crash(start)
	require.Zero(t, m.Limit(start, 16))
	now := start.Add(crashEjection)
	p.Evaluate(now)
	require.Equal(t, 1, m.Limit(now, 16))
	require.Equal(t, 4, m.Limit(now.Add(2*time.Second), 16))
	p.Evaluate(now.Add(maxReadmission + time.Second))
	require.Equal(t, 16, m.Limit(now.Add(maxReadmission+time.Second), 16))
	m.Crash(now.Add(10 * time.Second))
	p.Evaluate(now.Add(10*time.Second + crashEjection))
	require.True(t, m.Ejected())
}

// Guards against a service that is taken for frozen because its answers come
// without a first token, and against one timeout that ejects a busy replica.
func TestAnswersCountAsFirstTokens(t *testing.T) {
	p := pool(3)
	m := p.members[0]
	k := Kind{Tier: 1}
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		m.Start(now, "call", k)
		m.Finish(now.Add(900*time.Millisecond), "call", k, true)
	}
	expected, known := p.Expected(k)
	require.True(t, known)
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
