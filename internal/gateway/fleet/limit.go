package fleet

import (
	"time"

	"heatherbarrow/internal/scheduling/requestlimit"
)

const (
	// limitRetention is how long the request limit of a replica that is not registered is kept.
	// Registrations that lapse while the store is away are back well before.
	limitRetention = time.Minute
	// hostPeakInterval is the interval of which the highest number of hosts is kept. A host that
	// is silent for one to two of them counts as gone.
	hostPeakInterval = 30 * time.Second
	// maxLimitReports bounds the request limits in a datagram, about 30 bytes each.
	maxLimitReports = 12
)

// replicaLimit is the request limit of a replica. It outlasts the replica's registration, which
// may lapse and come back.
type replicaLimit struct {
	requestlimit.Limit
	started int64 // of the replica's process; 0 if not known
}

// LimitReport is what a host tells others of a replica's request limit.
type LimitReport struct {
	Replica uint64 // Member.Key
	requestlimit.Report
}

// LimitChange is a request limit that a report of another host changed.
type LimitChange struct {
	Replica string // ID
	requestlimit.Statement
}

// hostPeak tracks the highest number of live hosts in the current and the previous interval.
type hostPeak struct {
	since             time.Time
	current, previous int
}

// update records the number of live hosts and returns their share of the highest recent number.
func (p *hostPeak) update(hosts int, now time.Time) float64 {
	if now.Sub(p.since) >= hostPeakInterval {
		p.previous, p.current, p.since = p.current, 0, now
	}
	p.current = max(p.current, hosts)
	return float64(hosts) / float64(max(p.current, p.previous))
}

// SetHosts sets the hosts that share the request limits of replicas. Reachable is set by the fleet.
func (f *Fleet) SetHosts(h requestlimit.Hosts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Reachable = f.limitHosts.Reachable
	f.limitHosts = &h
}

// limitFor returns the request limit of a replica and creates it if needed.
func (f *Fleet) limitFor(key uint64) *replicaLimit {
	l, ok := f.limits[key]
	if !ok {
		l = &replicaLimit{}
		f.limits[key] = l
	}
	if r, ok := f.byKey[key]; ok {
		l.started = r.member.Started
		r.limit = l
	}
	return l
}

// attachLimit gives a new replica the limit that its process stated before.
func (f *Fleet) attachLimit(r *replica) {
	l, ok := f.limits[r.key]
	if !ok {
		return
	}
	if l.started != 0 && l.started != r.member.Started {
		delete(f.limits, r.key) // of an earlier process
		return
	}
	l.started = r.member.Started
	r.limit = l
}

// pruneLimits drops limits that ended and those of replicas that are gone.
func (f *Fleet) pruneLimits(now time.Time) {
	for key, l := range f.limits {
		r, registered := f.byKey[key]
		_, reported := l.Report(now)
		if reported && (registered || now.Sub(l.LastStated()) < limitRetention) {
			continue
		}
		delete(f.limits, key)
		if registered {
			r.limit = nil
		}
	}
}

// statedLimit returns the replica's statement in force.
func (r *replica) statedLimit() requestlimit.Statement {
	if r.limit == nil {
		return requestlimit.Statement{}
	}
	return r.limit.Current()
}

// withinLimit reports whether the replica's request limit leaves this host a request now.
func (f *Fleet) withinLimit(r *replica, now time.Time) bool {
	return r.limit == nil || r.limit.Allows(f.limitHosts, r.key, r.member.Zone, now)
}

// limitedRetryAfter returns when a request that only the request limits of replicas hold back
// should be sent again. Requests that are refused one after the other are given consecutive times
// at the rate that the replicas take, so that they do not return together.
func (f *Fleet) limitedRetryAfter(p *pool, now time.Time) time.Duration {
	wait, perSecond := maxRetryAfter, 0.0
	for _, r := range p.replicas {
		if r.limit != nil && r.statedLimit().Limited && r.member.usable(now) {
			wait = min(wait, r.limit.Wait(f.limitHosts, r.key, r.member.Zone, now))
			perSecond += r.limit.Share(f.limitHosts)
		}
	}
	if perSecond > 0 {
		if p.nextReturn.Before(now) {
			p.nextReturn = now
		}
		interval := time.Duration(float64(time.Second) / perSecond)
		p.nextReturn = p.nextReturn.Add(interval)
		if latest := now.Add(maxRetryAfter); p.nextReturn.After(latest) {
			p.nextReturn = latest
		}
		wait = max(wait, p.nextReturn.Sub(now))
	}
	return f.jitteredRetryAfter(wait)
}

// RecordLimit applies what the answer says of the replica's request limit, and reports whether it
// changed what this host knew. Only an answer to a request that was sent after the limit was last
// stated shows that the limit has ended: earlier ones may have been under way.
func (l *Lease) RecordLimit(s requestlimit.Statement, now time.Time) (changed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey[l.replica.key] != l.replica {
		return false // the registration is gone, or is that of another process
	}
	if s.Limited {
		return f.limitFor(l.replica.key).Observe(s, now, now)
	}
	return l.replica.limit != nil && l.replica.limit.Observe(s, l.started, now)
}

// LimitReports returns what this host tells others of the request limits of replicas. With more
// than maxLimitReports limits, each call returns some of them, chosen at random.
func (f *Fleet) LimitReports(now time.Time) []LimitReport {
	return f.limitReports(now, (*requestlimit.Limit).Report)
}

// ZoneLimitReports returns what the hosts of this zone together tell those of other zones.
func (f *Fleet) ZoneLimitReports(now time.Time) []LimitReport {
	return f.limitReports(now, (*requestlimit.Limit).ZoneReport)
}

func (f *Fleet) limitReports(now time.Time, report func(*requestlimit.Limit, time.Time) (requestlimit.Report, bool)) []LimitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LimitReport
	for key, l := range f.limits {
		if r, ok := report(&l.Limit, now); ok {
			out = append(out, LimitReport{Replica: key, Report: r})
		}
	}
	if len(out) > maxLimitReports {
		f.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxLimitReports]
	}
	return out
}

// ApplyLimitReports applies the reports of another host, or those of another zone under a name
// that stands for it, and returns the limits that they changed. neighbor means that the host is in
// this host's availability zone.
func (f *Fleet) ApplyLimitReports(host string, neighbor bool, reports []LimitReport, now time.Time) (changes []LimitChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range reports {
		if _, known := f.limits[report.Replica]; !known && !report.Limited {
			continue
		}
		l := f.limitFor(report.Replica)
		if !l.Apply(host, neighbor, report.Report, f.limitHosts, now) {
			continue
		}
		change := LimitChange{Statement: report.Statement}
		if r, ok := f.byKey[report.Replica]; ok {
			change.Replica = r.member.ID
		}
		changes = append(changes, change)
	}
	return changes
}
