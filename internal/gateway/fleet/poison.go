package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/quarantine"
)

const (
	// poisonCrashes is the number of distinct replicas that a request may crash before all
	// hosts refuse it. A single crash may have another cause.
	poisonCrashes = 2
	// poisonQuarantineTime is how long such a request is refused. Callers resend it within
	// seconds or minutes.
	poisonQuarantineTime = 10 * time.Minute
	// CrashReportTime is how long a crash is reported to other hosts, so that a lost datagram
	// does not matter.
	CrashReportTime = 3 * time.Second
	// maxCrashAge bounds the age of a crash that is reported: its host reports it for CrashReportTime, and so does the
	// speaker of its zone from then on.
	maxCrashAge = 2 * CrashReportTime
	// outageWindow is the time within which crashes of several replicas count as one
	// outage for requests that did not run on all of them.
	outageWindow = 2 * time.Second
	// MaxCrashes bounds the number of crashes in one digest.
	MaxCrashes = 8
)

// Crash is a crash of a replica while it ran a request.
type Crash struct {
	Fingerprint uint64
	Upstream    string
	Replica     string
	Age         time.Duration // when it is reported; 0 if the host that reports it does not tell
	Delay       time.Duration // of the report, beyond the age

	at time.Time
}

func (c *Crash) id() scheduling.ReplicaID {
	return scheduling.ReplicaID{Upstream: c.Upstream, Replica: c.Replica}
}

// CrashEvidence tells what a crash showed of the requests of this host that it broke off.
type CrashEvidence struct {
	Suspects int // requests that lost their connection
	Outages  int // of these, requests that do not count as suspects, because another replica crashed without them
}

// RecordInspection records whether a replica that broke connections was found down. If it is
// down, the requests that lost their connection become suspects for the crash; otherwise
// only the connections broke. RecordUnreached is for a replica of which this host cannot tell.
func (f *Fleet) RecordInspection(id string, down bool, now time.Time) CrashEvidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[id]
	if !ok {
		return CrashEvidence{}
	}
	return f.recordInspection(r, down, now)
}

func (f *Fleet) recordInspection(r *replica, down bool, now time.Time) CrashEvidence {
	suspects := r.suspects
	r.suspects = nil
	evidence := CrashEvidence{Suspects: len(suspects)}
	if f.reach.failedTogether(now) {
		// A partition that resets connections and refuses new ones looks like crashes from here.
		evidence.Outages = len(suspects)
		if down {
			f.withhold(r, suspects, now)
		}
		return evidence
	}
	if !down {
		for i := range suspects {
			if suspects[i].complete {
				f.completeRequest(suspects[i].fingerprint, now)
				f.completeParts(suspects[i].parts, now)
			}
		}
		return evidence
	}
	f.recordPartCrash(&r.member, suspects, now)
	f.recordRequestCrash(&r.member, suspects, now)
	alreadySuspect := 0
	var fingerprints []uint64
	for i := range suspects {
		fingerprint := suspects[i].fingerprint
		if suspects[i].complete || fingerprint == 0 {
			continue
		}
		fingerprints = append(fingerprints, fingerprint)
		if state, _ := f.poison.State(fingerprint, now); state != quarantine.Clear {
			alreadySuspect++
		}
	}
	f.outages = append(f.outages, outage{upstream: r.member.Upstream, replica: r.member.ID, suspects: fingerprints, at: now})
	for _, fingerprint := range fingerprints {
		if f.inOutage(r, fingerprint, now) {
			evidence.Outages++
			continue
		}
		c := Crash{Fingerprint: fingerprint, Upstream: r.member.Upstream, Replica: r.member.ID, at: now}
		// The position in the answer is unknown here, hence 0. If several requests were
		// suspects already, the crash does not show which of them caused it.
		f.countCrash(&c, alreadySuspect <= 1, now)
		f.crashes = append(f.crashes, c)
	}
	return evidence
}

// outage is a crash of a replica together with the requests of this host that ran there.
type outage struct {
	upstream string
	replica  string
	suspects []uint64 // fingerprints
	at       time.Time
}

// inOutage reports whether another replica of the upstream crashed at about the same time
// without running the request, which means that the crashes have another cause.
func (f *Fleet) inOutage(r *replica, fingerprint uint64, now time.Time) bool {
	f.outages = slices.DeleteFunc(f.outages, func(o outage) bool { return now.Sub(o.at) > outageWindow })
	return slices.ContainsFunc(f.outages, func(o outage) bool {
		return o.upstream == r.member.Upstream && o.replica != r.member.ID && !slices.Contains(o.suspects, fingerprint)
	})
}

// Crashes returns the newest crashes of this host that are still reported to other hosts.
func (f *Fleet) Crashes(now time.Time) []Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.crashes) > 0 && now.Sub(f.crashes[0].at) > CrashReportTime {
		f.crashes = f.crashes[1:]
	}
	crashes := append([]Crash(nil), f.crashes[max(len(f.crashes)-MaxCrashes, 0):]...)
	for i := range crashes {
		crashes[i].Age = max(now.Sub(crashes[i].at), time.Millisecond)
	}
	return crashes
}

// countCrash counts a crash against its request.
func (f *Fleet) countCrash(c *Crash, onlySuspect bool, now time.Time) {
	before, _ := f.poison.State(c.Fingerprint, now)
	f.poison.Crash(c.Fingerprint, c.id(), 0, onlySuspect, c.at)
	if after, _ := f.poison.State(c.Fingerprint, now); after == quarantine.Quarantined && before != after {
		f.notePartChanges([]uint64{c.Fingerprint}, true, true)
	}
}

// crashReport identifies a crash that other hosts report.
type crashReport struct {
	fingerprint uint64
	replica     scheduling.ReplicaID
}

// ApplyCrashes applies the crashes reported by another host. The reports of one crash are repeated, and
// only the first one counts: a request with the fingerprint may have been completed since. So may one before the first
// report arrived, on any host, which then does not count either. One that counts is told to the hosts that complete
// such requests, as this one may refuse them all.
func (f *Fleet) ApplyCrashes(crashes []Crash, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for report, last := range f.crashReports {
		if now.Sub(last) > CrashReportTime {
			delete(f.crashReports, report)
		}
	}
	for i := range crashes {
		report := crashReport{fingerprint: crashes[i].Fingerprint, replica: crashes[i].id()}
		_, known := f.crashReports[report]
		f.crashReports[report] = now
		if known {
			continue
		}
		c := crashes[i]
		c.at = now
		if c.Age > 0 {
			c.at = now.Add(-min(c.Age, maxCrashAge) - c.Delay)
			counts, quarantined := f.requests.Reported(c.Fingerprint, trackedCrash(c.id(), c.at), now)
			f.notePartChanges(quarantined, true, true)
			if !counts {
				continue
			}
		}
		f.countCrash(&c, true, now)
	}
	f.countWithheld(now)
}
