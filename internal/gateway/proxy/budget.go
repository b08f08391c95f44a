package proxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/scheduling/retry"
)

// usableSlackShare is the share of the slack that hosts may use. The rest covers retries that arrive later than
// they were counted.
const usableSlackShare = 0.8

// Budget is the retry budget: it bounds the retries that each upstream receives from all
// hosts together. A host may retry a share of its own first attempts, plus an equal part of
// the slack, so that the total stays within the budget when hosts cannot reach each other.
type Budget struct {
	clock   clockwork.Clock
	started time.Time

	mu        sync.Mutex
	share     float64
	slack     float64
	hosts     int
	awaited   bool // the number of hosts is not known yet
	upstreams map[string]*retry.Account
}

// NewBudget returns the budget of a host that started at the given time. It allows, in each retry.Window and for
// each upstream, retries of the given share of the first attempts plus slack retries divided among the hosts.
func NewBudget(clock clockwork.Clock, started time.Time, share, slack float64, hosts int) *Budget {
	return &Budget{
		clock: clock, started: started, share: share, slack: slack, hosts: max(hosts, 1), upstreams: make(map[string]*retry.Account),
	}
}

// AwaitHosts withholds the slack until SetHosts is called: a host that has heard of no other may be cut off from any number of
// them, which use the slack too.
func (b *Budget) AwaitHosts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaited = true
	b.applyBounds()
}

// SetHosts sets the number of hosts that divide the slack. The number never decreases: a host
// whose heartbeats do not arrive may still use its part.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts > b.hosts || b.awaited {
		b.hosts, b.awaited = max(b.hosts, hosts), false
		b.applyBounds()
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
	b.applyBounds()
}

// applyBounds applies the bounds to all upstreams. The caller must hold b.mu.
func (b *Budget) applyBounds() {
	for _, u := range b.upstreams {
		u.SetBounds(b.share, b.hostSlack())
	}
}

// hostSlack returns this host's part of the slack. The caller must hold b.mu.
func (b *Budget) hostSlack() float64 {
	if b.awaited {
		return 0
	}
	return usableSlackShare * b.slack / float64(b.hosts)
}

// upstream returns the account of the named upstream and creates it on first use. The
// caller must hold b.mu.
func (b *Budget) upstream(name string) *retry.Account {
	u, ok := b.upstreams[name]
	if !ok {
		u = retry.NewAccount(b.clock, b.started, b.share, b.hostSlack())
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
	return b.upstream(upstream).Allow()
}

// AllowRejected is Allow for a request that no replica has run. A part of the budget is kept for others.
func (b *Budget) AllowRejected(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstream(upstream).AllowRejected()
}

// AllowOffer is AllowRejected for a request whose run goes on. One more retry is kept, if the budget can hold it.
func (b *Budget) AllowOffer(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstream(upstream).AllowOffer()
}
