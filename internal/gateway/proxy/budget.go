package proxy

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/scheduling/retry"
)

// slackMargin keeps a part of the slack for requests that are counted by two
// hosts in different windows.
const slackMargin = 0.8

// Budget bounds the repeats that each upstream receives from all hosts together.
// A host may use the share of its own first attempts and an equal part of the
// slack, so that the sum stays right when hosts cannot talk to each other.
type Budget struct {
	clock clockwork.Clock

	mu        sync.Mutex
	share     float64
	slack     float64
	hosts     int
	upstreams map[string]*retry.Budget
}

// NewBudget returns a budget of share of the first attempts plus slack in the
// window of retry.Budget, for hosts hosts.
func NewBudget(clock clockwork.Clock, share, slack float64, hosts int) *Budget {
	return &Budget{clock: clock, share: share, slack: slack, hosts: max(hosts, 1), upstreams: make(map[string]*retry.Budget)}
}

// SetHosts tells how many hosts divide the slack. The number never falls: a host
// that cannot be heard may still use its part.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts <= b.hosts {
		return
	}
	b.hosts = hosts
	for _, u := range b.upstreams {
		u.SetMinRetries(b.floor())
	}
}

// SetBounds changes the share of the first attempts and the slack.
func (b *Budget) SetBounds(share, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.slack = share, slack
	for _, u := range b.upstreams {
		u.SetShare(share)
		u.SetMinRetries(b.floor())
	}
}

func (b *Budget) floor() int { return int(slackMargin * b.slack / float64(b.hosts)) }

func (b *Budget) upstream(name string) *retry.Budget {
	u, ok := b.upstreams[name]
	if !ok {
		u = retry.New(b.clock, b.share)
		u.SetMinRetries(b.floor())
		b.upstreams[name] = u
	}
	return u
}

// First counts a request for the upstream.
func (b *Budget) First(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstream(upstream).First()
}

// Allow takes a repeat out of the budget.
func (b *Budget) Allow(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.upstream(upstream).Allow()
	return ok
}

// Spent tells whether no repeat is left for the upstream now.
func (b *Budget) Spent(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstream(upstream).Spent()
}
