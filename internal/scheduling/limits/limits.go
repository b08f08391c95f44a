// Package limits enforces the teams' entitlements on one host: tokens per second
// and requests in progress.
package limits

import (
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// FloorFraction is the fraction of a host's equal part of an entitlement
	// that the host may use without a share from the zone's coordinator. The
	// coordinator hands out the other 1-FloorFraction as shares.
	FloorFraction = 0.5
	// BurstTime is the time that fills an empty bucket; rate times BurstTime is
	// the burst allowance.
	BurstTime = 2 * time.Second
	// BurstInProgress is the burst allowance of requests in progress: at many
	// hosts a host's part of a small team's entitlement is below one request.
	BurstInProgress = 1
	// maxWait bounds the retry time told to a team with a large debt.
	maxWait = time.Minute
)

// Options configure a Limiter.
type Options struct {
	AvailabilityZone string
	Clock            clockwork.Clock
}

// Limiter holds the buckets of the teams that are active on this host. It is not
// safe for concurrent use.
type Limiter struct {
	opts     Options
	snapshot *bundle.Snapshot
	teams    []*Team // by index in the bundle; nil while a team is idle
	hosts    int
	zones    int
	shares   map[string]scheduling.TeamShare
}

// Team is the state of a team that is active on this host.
type Team struct {
	limiter    *Limiter
	name       string
	floor      float64 // tokens/s
	floorSlots float64
	level      float64 // tokens; negative while a debt is paid back
	updated    time.Time
	inProgress int
	usage      scheduling.TeamUsage
	active     bool // usage is to be reported
}

// New returns a limiter without a bundle.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, hosts: 1, zones: 1}
}

// Update installs a new bundle or view; a nil argument leaves the old one. Teams
// keep their levels and requests.
func (l *Limiter) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	l.refillAll()
	if snapshot != nil {
		l.setSnapshot(snapshot)
	}
	if view != nil {
		l.hosts = max(view.HostsInZone, 1)
		l.zones = max(view.ZoneCount, 1)
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

func (l *Limiter) setSnapshot(snapshot *bundle.Snapshot) {
	old := l.teams
	l.snapshot = snapshot
	l.teams = make([]*Team, len(snapshot.Bundle.Teams))
	for _, t := range old {
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

func (l *Limiter) setFloor(t *Team, team *bundle.Team) {
	part := l.zoneShare(team) / float64(l.hosts) * FloorFraction
	t.floor = team.TokensPerSecond * part
	t.floorSlots = float64(team.MaxInProgress) * part
}

func (l *Limiter) zoneShare(team *bundle.Team) float64 {
	if len(team.ZoneWeights) == 0 {
		return 1 / float64(l.zones)
	}
	total := 0.0
	for _, weight := range team.ZoneWeights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	return team.ZoneWeights[l.opts.AvailabilityZone] / total
}

// Team returns the state of the team with the given index in the bundle.
func (l *Limiter) Team(index int) *Team {
	if t := l.teams[index]; t != nil {
		return t
	}
	team := &l.snapshot.Bundle.Teams[index]
	t := &Team{limiter: l, name: team.Name, updated: l.opts.Clock.Now()}
	l.setFloor(t, team)
	t.level = t.burst(t.updated)
	l.teams[index] = t
	return t
}

// rates returns the tokens/s and requests that the host may use at the given time.
func (t *Team) rates(now time.Time) (tokens, slots float64) {
	tokens, slots = t.floor, t.floorSlots
	if share, ok := t.limiter.shares[t.name]; ok && now.Before(share.Expires) {
		tokens += share.TokensPerSecond
		slots += share.InProgress
	}
	return tokens, slots
}

func (t *Team) burst(now time.Time) float64 {
	tokens, _ := t.rates(now)
	return tokens * BurstTime.Seconds()
}

// refill adds what the team earned since the last call. A share that lapsed in
// between counts only until it expired.
func (t *Team) refill() {
	now := t.limiter.opts.Clock.Now()
	elapsed := now.Sub(t.updated)
	if elapsed <= 0 {
		return
	}
	earned := t.floor * elapsed.Seconds()
	if share, ok := t.limiter.shares[t.name]; ok {
		shared := min(elapsed, share.Expires.Sub(t.updated))
		earned += share.TokensPerSecond * max(shared, 0).Seconds()
	}
	t.updated = now
	t.level = min(t.level+earned, t.burst(now))
}

// Check tells whether a request of the given estimated length may begin. If not,
// it returns the time after which it may; the refusal counts as demand. A request
// longer than the burst allowance may begin when the bucket is full; its debt is
// paid back before the next one begins. A request without tokens, such as a call
// to a service, counts only as one in progress.
func (t *Team) Check(tokens int) (time.Duration, bool) {
	t.refill()
	now := t.limiter.opts.Clock.Now()
	rate, slots := t.rates(now)
	if float64(t.inProgress) >= max(slots, BurstInProgress) {
		t.refused(tokens)
		return BurstTime, false
	}
	missing := min(float64(tokens), t.burst(now)) - t.level
	if missing <= 0 || tokens == 0 {
		return 0, true
	}
	t.refused(tokens)
	if rate <= 0 {
		return maxWait, false
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	return min(max(wait, time.Millisecond), maxWait), false
}

// Begin charges the estimated tokens and counts the request as in progress.
func (t *Team) Begin(tokens int) {
	t.refill()
	t.level -= float64(tokens)
	t.inProgress++
	t.active = true
	t.usage.DemandedInProgress = max(t.usage.DemandedInProgress, t.inProgress)
}

// End settles the charge on the actual tokens and counts the request as ended.
func (t *Team) End(charged, actual int) {
	t.refill()
	t.level = min(t.level+float64(charged-actual), t.burst(t.updated))
	t.inProgress--
	t.active = true
}

// Used adds tokens to the usage that is reported.
func (t *Team) Used(tokens int) {
	t.usage.Tokens += uint64(tokens)
	t.usage.DemandedTokens += uint64(tokens)
	t.active = true
}

func (t *Team) refused(tokens int) {
	t.usage.DemandedTokens += uint64(tokens)
	t.usage.DemandedInProgress++
	t.active = true
}

// Usage returns the usage of the active teams since the last call and drops the
// state of teams that have been idle until their bucket is full again.
func (l *Limiter) Usage() []scheduling.TeamUsage {
	var out []scheduling.TeamUsage
	for i, t := range l.teams {
		if t == nil {
			continue
		}
		if t.active || t.inProgress > 0 {
			out = append(out, t.report())
			continue
		}
		t.refill()
		if t.level >= t.burst(t.updated) {
			l.teams[i] = nil
		}
	}
	return out
}

func (t *Team) report() scheduling.TeamUsage {
	u := t.usage
	u.Team = t.name
	u.InProgress = t.inProgress
	u.DemandedInProgress = max(u.DemandedInProgress, t.inProgress)
	t.usage = scheduling.TeamUsage{}
	t.active = false
	return u
}
