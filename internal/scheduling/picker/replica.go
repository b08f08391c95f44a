package picker

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/health"
	"heatherbarrow/internal/scheduling/requestlimit"
	"heatherbarrow/internal/scheduling/statement"
)

// Replica holds this host's state for a replica: its in-flight requests, the last load
// report, the load and health estimates, and the measurements for the next report.
type Replica struct {
	id        scheduling.ReplicaID
	address   string
	inZone    bool // in this host's zone
	zone      int  // index into the pool's zones
	pool      *pool
	health    *health.Member
	state     scheduling.ReplicaState
	modelBits uint64 // one bit per model of the upstream
	removed   bool   // no longer in the bundle; kept until its requests end

	inFlight         []inFlightRequest
	topTier          int          // in-flight requests of the top tier
	suspectsInFlight int          // in-flight requests whose fingerprint is a suspect
	crashWindowStart time.Time    // first broken connection of the last crash
	recentlyEnded    [32]interval // ring buffer of ended requests, to count this host's requests at a past report time
	nextEnded        int          // index in recentlyEnded that is overwritten next

	hasReport          bool
	reportedAt         time.Time
	reportedLoad       float64             // requests of other hosts at the time of the report
	otherLoad          float64             // estimated requests of other hosts at the last refresh
	otherLoadDeviation float64             // standard deviation of otherLoad
	slowness           float64             // measured first-token time divided by the upstream's expected one
	interTokenSeconds  float64             // measured mean time per token; 0 without enough samples
	quota              [levels]int         // requests that this host may run on the replica after its last report, by level
	healthLimit        int                 // requests that this host may run on the replica in its present health
	limit              *requestlimit.Limit // nil if the replica has not stated one
	limitStated        bool                // an answer to this host stated or ended the limit since the last report
	said               *statement.State    // of the process at the address, shared with replicas of other upstreams there
	held               bool                // by what the replica said, at the last refresh
	failedAt           time.Time           // last crash or failed connection that this host observed
	free               [levels]int         // slots that this host may fill now
	counted            bool                // included in the pool's slot counts

	firstTokens, interTokens      samples
	dispatched, completed, failed uint64
	affinityEpoch                 uint32 // incremented when the content of the prompt cache becomes unknown
	cacheSequence                 uint64 // sequence of the last cache event; 0 before the first
}

// Slot levels. The top level may use all slots of a replica, the lower level all but the
// reserve for the top tier.
const (
	levelTop = iota
	levelLower
	levels
)

// reserveShare is the share of a replica's slots that is reserved for the top tier on
// upstreams that serve it. The reserve leaves room for top-tier requests that other hosts
// sent since the last report.
const reserveShare = 0.25

// quotaMaxAge is the age at which a report no longer limits the free slots, because it no
// longer shows which slots are free.
const quotaMaxAge = 3 * time.Second

// inFlightRequest is a request of this host in progress on a replica.
type inFlightRequest struct {
	id            string
	fingerprint   uint64
	started       time.Time
	topTier       bool
	suspect       bool // its fingerprint is a suspect
	otherSuspects int  // other suspects on the replica when it crashed
}

// interval is the time from the dispatch to the end of a request.
type interval struct{ from, to time.Time }

// addInFlight records a dispatched request.
func (r *Replica) addInFlight(f inFlightRequest) {
	r.inFlight = append(r.inFlight, f)
	r.dispatched++
	if f.topTier {
		r.topTier++
	}
	if f.suspect {
		r.suspect(1)
	}
}

// suspect adds n to the numbers of suspects in flight on the replica and in its pool.
func (r *Replica) suspect(n int) {
	r.suspectsInFlight += n
	r.pool.suspectsInFlight += n
}

// removeInFlight removes the request with the ID and records its duration. It returns
// false when no such request is in flight.
func (r *Replica) removeInFlight(id string, now time.Time) (inFlightRequest, bool) {
	i := slices.IndexFunc(r.inFlight, func(f inFlightRequest) bool { return f.id == id })
	if i < 0 {
		return inFlightRequest{}, false
	}
	f := r.inFlight[i]
	r.inFlight[i] = r.inFlight[len(r.inFlight)-1]
	r.inFlight[len(r.inFlight)-1] = inFlightRequest{}
	r.inFlight = r.inFlight[:len(r.inFlight)-1]
	if f.topTier {
		r.topTier--
	}
	r.recentlyEnded[r.nextEnded] = interval{f.started, now}
	r.nextEnded = (r.nextEnded + 1) % len(r.recentlyEnded)
	r.pool.observe(now.Sub(f.started))
	return f, true
}

// countResult counts the end of an attempt for the next report.
func (r *Replica) countResult(completed bool) {
	if completed {
		r.completed++
		return
	}
	r.failed++
}

// applyReport stores the replica's state and load. Subtracting this host's requests at the
// time of the report leaves the load of the other hosts. Until the next report the host
// may fill only its share of the free slots; otherwise all hosts with a backlog would fill
// the same slots. random, in [0, 1), rounds the share up or down, so that the shares of
// all hosts add up to the free slots on average.
func (r *Replica) applyReport(load *scheduling.ReplicaLoad, totalHosts int, random float64) {
	r.state = load.State
	if load.HasReport {
		// A replica that is down sends no report. Its last reported models are kept,
		// because they determine which models lack its capacity.
		r.modelBits = r.pool.modelMask(load.Models)
	}
	if !load.HasReport || r.hasReport && load.ReportedAt.Before(r.reportedAt) {
		return
	}
	r.hasReport = true
	r.reportedAt = load.ReportedAt
	ownInFlight, totalInFlight := r.ownInFlightAt(load.ReportedAt), load.Running+load.Waiting
	r.reportedLoad = math.Max(0, float64(totalInFlight-ownInFlight))
	for level := range r.quota {
		free := max(r.pool.usableSlots(level)-totalInFlight, 0)
		r.quota[level] = ownInFlight + int(float64(free)/float64(totalHosts)+random)
	}
}

// ownInFlightAt returns the number of this host's requests that were in flight at t.
func (r *Replica) ownInFlightAt(t time.Time) int {
	n := 0
	for i := range r.inFlight {
		if !r.inFlight[i].started.After(t) {
			n++
		}
	}
	for i := range r.recentlyEnded {
		if !r.recentlyEnded[i].from.After(t) && r.recentlyEnded[i].to.After(t) {
			n++
		}
	}
	return n
}

// serving reports whether the replica may receive requests from this host.
func (r *Replica) serving() bool {
	return r.state == scheduling.ReplicaLive && !r.held && r.healthLimit > 0 && !r.removed
}

// load returns the estimated number of requests of all hosts on the replica.
func (r *Replica) load() float64 { return r.otherLoad + float64(len(r.inFlight)) }

// updateFreeSlots recomputes the replica's free slots and its part of the pool's slot
// counts.
func (r *Replica) updateFreeSlots(now time.Time) {
	if r.removed {
		return
	}
	r.pool.adjustCounts(r, -1)
	r.healthLimit = r.health.Limit(now, r.pool.slotsPerReplica)
	r.held = r.said.Held(now)
	r.counted = r.serving()
	withinLimit := r.withinLimit(r.pool.limitHosts, now)
	for level := range r.free {
		free := min(r.pool.usableSlots(level)-int(math.Round(r.load())), r.healthLimit-len(r.inFlight))
		if r.hasReport && now.Sub(r.reportedAt) < quotaMaxAge {
			free = min(free, r.availableSlots(level))
		}
		if !r.counted || !withinLimit {
			free = 0
		}
		r.free[level] = max(free, 0)
	}
	r.pool.adjustCounts(r, 1)
}

// availableSlots returns the number of slots that this host may still fill: the rest of
// its quota, or the slots that stay free on the assumption that every other host sent as
// many requests as this one since the last report, whichever is larger.
func (r *Replica) availableSlots(level int) int {
	unused := float64(r.pool.usableSlots(level)) - r.load() - r.pool.recentDispatches*r.pool.unreportedPerDispatch
	return max(r.quota[level]-len(r.inFlight), int(unused))
}

// takeMeasurement returns the measurements since the last call and resets them. The second
// result is false when there is nothing to report.
func (r *Replica) takeMeasurement() (scheduling.ReplicaMeasurement, bool) {
	m := scheduling.ReplicaMeasurement{
		ID: r.id, InProgress: len(r.inFlight), Dispatched: r.dispatched, Completed: r.completed, Failed: r.failed,
		FirstTokenP50: r.firstTokens.median(), InterTokenP50: r.interTokens.median(), Ejected: r.health.Ejected(),
	}
	if m.Ejected {
		m.EjectionReason = r.health.Reason()
	}
	r.dispatched, r.completed, r.failed = 0, 0, 0
	r.firstTokens.count, r.interTokens.count = 0, 0
	return m, m.InProgress > 0 || m.Dispatched+m.Completed+m.Failed > 0 || m.Ejected
}

// maxSamples is the number of latencies kept between two reports.
const maxSamples = 32

// samples holds the latest latencies since the last report. It allocates on first use,
// because with hundreds of replicas most of them receive no request from a given host.
type samples struct {
	count  int // samples since the last report, including overwritten ones
	values []time.Duration
}

// add stores a latency and overwrites the oldest one when the buffer is full.
func (s *samples) add(d time.Duration) {
	if s.values == nil {
		s.values = make([]time.Duration, maxSamples)
	}
	s.values[s.count%maxSamples] = d
	s.count++
}

// median returns the median of the stored latencies, 0 if there are none. It sorts them,
// which loses the order in which add overwrites them, and must be followed by a reset of
// count.
func (s *samples) median() time.Duration {
	count := min(s.count, maxSamples)
	if count == 0 {
		return 0
	}
	slices.Sort(s.values[:count])
	return s.values[count/2]
}

// newReplica returns a replica without requests or reports. Until the first report it is
// assumed to serve all models of its upstream.
func newReplica(upstreamPool *pool, definition *bundle.Replica) *Replica {
	return &Replica{
		id:        scheduling.ReplicaID{Upstream: upstreamPool.name, Replica: definition.ID},
		pool:      upstreamPool,
		health:    upstreamPool.health.Add(),
		modelBits: math.MaxUint64,
		slowness:  1,
	}
}
