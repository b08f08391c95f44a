// Package limits enforces the teams' entitlements on one host: tokens per second,
// by a token bucket per team, and requests in progress.
package limits

import (
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// FloorFraction is the fraction of a zone's entitlement that is divided equally
	// between its hosts. A host may use this floor without a share from the zone's
	// coordinator, which grants the other 1-FloorFraction as shares.
	FloorFraction = 0.5
	// BurstTime is the time in which an empty bucket fills. The capacity of a bucket
	// is its rate times BurstTime.
	BurstTime = 2 * time.Second
	// BurstInProgress is the number of requests in progress that a team may always
	// have on a host: with many hosts, a host's part of a small team's entitlement
	// is less than one request.
	BurstInProgress = 1
	// maxRetryWait bounds the wait that Check returns for a team whose balance is far
	// below zero.
	maxRetryWait = time.Minute
)

// Options configure a Limiter.
type Options struct {
	AvailabilityZone string
	Clock            clockwork.Clock
}

// Limiter holds the state of the teams that are active on this host. It is not safe
// for concurrent use.
type Limiter struct {
	opts        Options
	snapshot    *bundle.Snapshot
	teams       []*Team // by index in the bundle; nil for a team that is idle
	hostsInZone int     // hosts that share the zone's entitlements
	zoneCount   int     // zones that share an entitlement without weights
	shares      map[string]scheduling.TeamShare
}

// Team holds the token bucket, the requests in progress and the unreported usage of
// a team on this host.
type Team struct {
	limiter              *Limiter
	name                 string
	floorTokensPerSecond float64
	floorInProgress      float64 // requests
	balance              float64 // tokens in the bucket; negative after a request used more than the bucket held
	refilledAt           time.Time
	inProgress           int
	usage                scheduling.TeamUsage
	usageChanged         bool // since the last report
}

// New returns a limiter without a bundle. Update must install one before Team is
// called.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, hostsInZone: 1, zoneCount: 1}
}

// Update installs a new bundle or view; a nil argument leaves the current one in
// place. Teams keep their balances and requests in progress.
func (l *Limiter) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	l.refillAll()
	if snapshot != nil {
		l.setSnapshot(snapshot)
	}
	if view != nil {
		l.hostsInZone = max(view.HostsInZone, 1)
		l.zoneCount = max(view.ZoneCount, 1)
		l.shares = make(map[string]scheduling.TeamShare, len(view.Shares))
		for i := range view.Shares {
			l.shares[view.Shares[i].Team] = view.Shares[i]
		}
	}
	for i, t := range l.teams {
		if t != nil {
			l.setFloor(t, &l.snapshot.Bundle.Teams[i])
		}
	}
}

// setSnapshot installs a bundle and keeps the state of the teams that it contains.
func (l *Limiter) setSnapshot(snapshot *bundle.Snapshot) {
	previous := l.teams
	l.snapshot = snapshot
	l.teams = make([]*Team, len(snapshot.Bundle.Teams))
	for _, t := range previous {
		if t == nil {
			continue
		}
		if _, i, ok := snapshot.Team(t.name); ok {
			l.teams[i] = t
		}
	}
}

func (l *Limiter) refillAll() {
	for _, t := range l.teams {
		if t != nil {
			t.refill()
		}
	}
}

// setFloor computes the team's floor on this host from its entitlement.
func (l *Limiter) setFloor(t *Team, definition *bundle.Team) {
	fraction := l.zoneFraction(definition) / float64(l.hostsInZone) * FloorFraction
	t.floorTokensPerSecond = definition.TokensPerSecond * fraction
	t.floorInProgress = float64(definition.MaxInProgress) * fraction
}

// zoneFraction returns the fraction of the team's entitlement that belongs to the
// limiter's zone: equal parts for all zones unless the team has zone weights.
func (l *Limiter) zoneFraction(definition *bundle.Team) float64 {
	if len(definition.ZoneWeights) == 0 {
		return 1 / float64(l.zoneCount)
	}
	total := 0.0
	for _, weight := range definition.ZoneWeights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	return definition.ZoneWeights[l.opts.AvailabilityZone] / total
}

// Team returns the state of the team with the given index in the bundle. It creates
// the state with a full bucket for a team that was idle.
func (l *Limiter) Team(index int) *Team {
	if t := l.teams[index]; t != nil {
		return t
	}
	definition := &l.snapshot.Bundle.Teams[index]
	t := &Team{limiter: l, name: definition.Name, refilledAt: l.opts.Clock.Now()}
	l.setFloor(t, definition)
	t.balance = t.capacity(t.refilledAt)
	l.teams[index] = t
	return t
}

// allowance returns the tokens per second and the requests in progress that the team
// may use on this host at the given time: its floor and any share in force.
func (t *Team) allowance(now time.Time) (tokensPerSecond, inProgress float64) {
	tokensPerSecond, inProgress = t.floorTokensPerSecond, t.floorInProgress
	if share, ok := t.limiter.shares[t.name]; ok && now.Before(share.Expires) {
		tokensPerSecond += share.TokensPerSecond
		inProgress += share.InProgress
	}
	return tokensPerSecond, inProgress
}

// capacity returns the number of tokens that the bucket holds at most.
func (t *Team) capacity(now time.Time) float64 {
	tokensPerSecond, _ := t.allowance(now)
	return tokensPerSecond * BurstTime.Seconds()
}

// refill adds the tokens that accrued since the last call. A share that expired in
// between counts until its expiry.
func (t *Team) refill() {
	now := t.limiter.opts.Clock.Now()
	elapsed := now.Sub(t.refilledAt)
	if elapsed <= 0 {
		return
	}
	added := t.floorTokensPerSecond * elapsed.Seconds()
	if share, ok := t.limiter.shares[t.name]; ok {
		shareTime := min(elapsed, share.Expires.Sub(t.refilledAt))
		added += share.TokensPerSecond * max(shareTime, 0).Seconds()
	}
	t.refilledAt = now
	t.balance = min(t.balance+added, t.capacity(now))
}

// Check reports whether a request of the given estimated length in tokens may begin.
// When it may not, Check counts the refusal as demand and returns the time after
// which the request should be tried again. At the limit of requests in progress this
// time is not known, and Check returns BurstTime. A request that exceeds the capacity
// of the bucket may begin when the bucket is full; it leaves a negative balance, which
// must be refilled before the next request begins. A request without tokens, such as a
// call to a service, is limited only by the number of requests in progress.
func (t *Team) Check(estimatedTokens int) (time.Duration, bool) {
	t.refill()
	now := t.limiter.opts.Clock.Now()
	tokensPerSecond, maxInProgress := t.allowance(now)
	if float64(t.inProgress) >= max(maxInProgress, BurstInProgress) {
		t.recordRefusal(estimatedTokens)
		return BurstTime, false
	}
	shortfall := min(float64(estimatedTokens), t.capacity(now)) - t.balance
	if shortfall <= 0 || estimatedTokens == 0 {
		return 0, true
	}
	t.recordRefusal(estimatedTokens)
	if tokensPerSecond <= 0 {
		return maxRetryWait, false
	}
	wait := time.Duration(shortfall / tokensPerSecond * float64(time.Second))
	return min(max(wait, time.Millisecond), maxRetryWait), false
}

// Begin charges a request's estimated tokens and counts it as in progress.
func (t *Team) Begin(estimatedTokens int) {
	t.refill()
	t.balance -= float64(estimatedTokens)
	t.inProgress++
	t.usageChanged = true
	t.usage.DemandedInProgress = max(t.usage.DemandedInProgress, t.inProgress)
}

// End corrects the charge to the actual number of tokens and counts the request as
// ended.
func (t *Team) End(chargedTokens, actualTokens int) {
	t.refill()
	t.balance = min(t.balance+float64(chargedTokens-actualTokens), t.capacity(t.refilledAt))
	t.inProgress--
	t.usageChanged = true
}

// RecordUsage adds generated tokens to the usage that the next report contains.
func (t *Team) RecordUsage(tokens int) {
	t.usage.Tokens += uint64(tokens)
	t.usage.DemandedTokens += uint64(tokens)
	t.usageChanged = true
}

// recordRefusal counts a refused request as demand.
func (t *Team) recordRefusal(tokens int) {
	t.usage.DemandedTokens += uint64(tokens)
	t.usage.DemandedInProgress++
	t.usageChanged = true
}

// Usage returns the usage of the active teams since the last call. It removes the
// state of idle teams whose bucket is full again.
func (l *Limiter) Usage() []scheduling.TeamUsage {
	var out []scheduling.TeamUsage
	for i, t := range l.teams {
		if t == nil {
			continue
		}
		if t.usageChanged || t.inProgress > 0 {
			out = append(out, t.takeUsage())
			continue
		}
		t.refill()
		if t.balance >= t.capacity(t.refilledAt) {
			l.teams[i] = nil
		}
	}
	return out
}

// takeUsage returns the usage since the last call and resets it.
func (t *Team) takeUsage() scheduling.TeamUsage {
	report := t.usage
	report.Team = t.name
	report.InProgress = t.inProgress
	report.DemandedInProgress = max(report.DemandedInProgress, t.inProgress)
	t.usage = scheduling.TeamUsage{}
	t.usageChanged = false
	return report
}
