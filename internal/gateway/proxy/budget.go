package proxy

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/scheduling/retry"
)

// usableSlackShare is the share of the slack that hosts may use. The rest covers requests
// that fall into different windows on different hosts, as each host counts in its own.
const usableSlackShare = 0.8

// Budget is the retry budget: it bounds the retries that each upstream receives from all
// hosts together. A host may retry a share of its own first attempts, plus an equal part of
// the slack, so that the total stays within the budget when hosts cannot reach each other.
type Budget struct {
	clock clockwork.Clock

	mu        sync.Mutex
	share     float64
	slack     float64
	hosts     int
	upstreams map[string]*retry.Budget
}

// NewBudget returns a budget that allows, in each retry.Window and for each upstream, retries
// of the given share of the first attempts plus slack retries divided among the hosts.
func NewBudget(clock clockwork.Clock, share, slack float64, hosts int) *Budget {
	return &Budget{clock: clock, share: share, slack: slack, hosts: max(hosts, 1), upstreams: make(map[string]*retry.Budget)}
}

// SetHosts sets the number of hosts that divide the slack. The number never decreases: a host
// whose heartbeats do not arrive may still use its part.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts <= b.hosts {
		return
	}
	b.hosts = hosts
	for _, u := range b.upstreams {
		u.SetMinRetries(b.hostSlack())
	}
}

// Hosts returns the number of hosts that divide the slack.
func (b *Budget) Hosts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// SetBounds changes the share of the first attempts and the slack.
func (b *Budget) SetBounds(share, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.slack = share, slack
	for _, u := range b.upstreams {
		u.SetShare(share)
		u.SetMinRetries(b.hostSlack())
	}
}

// hostSlack returns the retries that this host may send to an upstream whatever its traffic
// is. The caller must hold b.mu.
func (b *Budget) hostSlack() int { return int(usableSlackShare * b.slack / float64(b.hosts)) }

// upstream returns the retry budget of the named upstream and creates it on first use. The
// caller must hold b.mu.
func (b *Budget) upstream(name string) *retry.Budget {
	u, ok := b.upstreams[name]
	if !ok {
		u = retry.New(b.clock, b.share)
		u.SetMinRetries(b.hostSlack())
		b.upstreams[name] = u
	}
	return u
}

// First counts the first attempt of a request to the upstream.
func (b *Budget) First(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstream(upstream).First()
}

// Allow takes a retry out of the upstream's budget and reports whether one was left.
func (b *Budget) Allow(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.upstream(upstream).Allow()
	return ok
}

// Spent reports whether the upstream's budget allows no retry now.
func (b *Budget) Spent(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstream(upstream).Spent()
}
