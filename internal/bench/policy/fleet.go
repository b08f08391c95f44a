package main

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// viewPeriod is the time between two views of a host.
	viewPeriod = 500 * time.Millisecond
	// deadAfter is the time after which membership knows that a replica is down.
	deadAfter    = 2 * time.Second
	localLatency = 200 * time.Microsecond
	crossLatency = time.Millisecond
	// maxAttempts bounds the attempts that ran, maxTries all of them. Attempts
	// that certainly did not run cost the fleet nothing.
	maxAttempts = 3
	maxTries    = 10
	// frameTimeout is the longest pause within a stream.
	frameTimeout = 5 * time.Second
)

// policy is how hosts place requests.
type policy interface {
	// place finds a replica for the job, now or later, and calls w.start.
	place(w *world, h *host, j *job, exclude []scheduling.ReplicaID)
	// view gives the host a new view.
	view(w *world, h *host, v *scheduling.View)
	tick(w *world, h *host)
}

// slot is a place on a replica that a policy gave to a job.
type slot interface {
	firstToken()
	token()
	finish(scheduling.Result)
}

// host is an entry host.
type host struct {
	index int
	zone  string
	state any // of the policy
	suspects
}

// world is one run of a scenario under one policy.
type world struct {
	loop     *loop
	scenario *scenario
	policy   policy
	snapshot *bundle.Snapshot
	engines  map[scheduling.ReplicaID]*engine
	order    []*engine
	hosts    []*host
	jobs     []*job
	open     int
	callers  callers
	watched  scheduling.ReplicaID // replica whose detection is measured
	faulty   time.Time            // when it became slow or froze
	detected []time.Duration      // per host, from its first work there to the ejection
	trace    func(format string, args ...any)
}

func newWorld(s *scenario, snapshot *bundle.Snapshot, p policy, priorities bool) *world {
	w := &world{
		loop: newLoop(), scenario: s, policy: p, snapshot: snapshot,
		engines: make(map[scheduling.ReplicaID]*engine),
		trace:   func(string, ...any) {},
	}
	b := snapshot.Bundle
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		for k := range u.Replicas {
			e := &engine{
				id:   scheduling.ReplicaID{Upstream: u.Name, Replica: u.Replicas[k].ID},
				loop: w.loop, zone: u.Replicas[k].AvailabilityZone, slots: u.Slots, slowdown: 1,
				service: u.Kind == bundle.KindService, priorities: priorities, cache: make(map[uint64]cacheEntry),
			}
			w.engines[e.id] = e
			w.order = append(w.order, e)
		}
	}
	for i := range s.hosts {
		w.hosts = append(w.hosts, &host{index: i, zone: s.zones[i%len(s.zones)]})
	}
	return w
}

// run plays the arrivals and returns the jobs.
func (w *world) run(arrivals []arrival) []*job {
	w.loop.every(samplePeriod, w.record)
	for _, h := range w.hosts {
		// Hosts poll at different times, as independent processes do.
		offset := viewPeriod * time.Duration(h.index) / time.Duration(len(w.hosts))
		w.policy.view(w, h, w.viewFor(h))
		w.loop.after(offset, func() {
			w.loop.every(viewPeriod, func() bool {
				w.policy.view(w, h, w.viewFor(h))
				return w.active()
			})
		})
		w.loop.every(50*time.Millisecond, func() bool {
			w.policy.tick(w, h)
			return w.active()
		})
	}
	for i := range arrivals {
		a := &arrivals[i]
		j := &job{arrival: a, id: jobID(i), name: &w.snapshot.Bundle.Classes[a.class]}
		if a.caller > 0 {
			w.callers.add(j)
			continue
		}
		w.schedule(j, epoch.Add(a.at))
	}
	for caller := range w.callers {
		w.nextOf(caller, 0)
	}
	if w.scenario.faults != nil {
		w.scenario.faults(w)
	}
	w.loop.run(epoch.Add(w.scenario.duration + drainTime))
	return w.jobs
}

// schedule lets the job arrive at a time.
func (w *world) schedule(j *job, at time.Time) {
	w.jobs = append(w.jobs, j)
	w.open++
	w.loop.at(at, func() { w.arrive(j) })
}

// drainTime is how long accepted requests may take after the last arrival.
const drainTime = 10 * time.Minute

// watch measures how long the hosts take to eject the replica from now on.
func (w *world) watch(e *engine) {
	w.watched = e.id
	w.faulty = w.loop.now()
}

func (w *world) active() bool { return w.open > 0 }

func (w *world) record() bool {
	for _, e := range w.order {
		e.record()
	}
	return w.active()
}

func (w *world) viewFor(h *host) *scheduling.View {
	v := &scheduling.View{ZoneCount: len(w.scenario.zones)}
	for _, other := range w.hosts {
		if other.zone == h.zone {
			v.HostsInZone++
		}
	}
	for _, e := range w.order {
		v.Replicas = append(v.Replicas, e.report(w.scenario.lag))
	}
	v.Quarantine = h.listed(w.loop.now())
	return v
}

func (w *world) arrive(j *job) {
	j.arrived = w.loop.now()
	j.deadline = j.arrived.Add(j.name.Deadline.Std())
	w.policy.place(w, w.hosts[j.host], j, nil)
}

// end closes a job. An accepted one that is not completed counts as unfinished.
func (w *world) end(j *job, completed, refused bool) {
	if j.done {
		return
	}
	j.done = true
	j.completed = completed
	j.refused = refused
	j.ended = w.loop.now()
	w.open--
	if j.caller > 0 {
		w.nextOf(j.caller-1, j.retryAfter)
	}
	if !j.met() {
		w.trace("%v missed job=%s class=%s host=%d completed=%t refused=%t attempts=%d assigned=%v first=%v answer=%v tokens=%d of %d on %v",
			w.loop.now().Sub(epoch), j.id, j.name.Name, j.host, completed, refused, j.attempt+1,
			j.assigned.Sub(j.arrived), j.first.Sub(j.arrived), j.last.Sub(j.first), j.delivered, j.output, j.replica)
	}
}
