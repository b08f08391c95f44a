package scheduler

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/estimator"
	"heatherbarrow/internal/scheduling/limits"
	"heatherbarrow/internal/scheduling/queue"
	"heatherbarrow/internal/scheduling/retry"
)

// defaultMaxQueue is the maximum number of waiting requests of a class without
// max_queue.
const defaultMaxQueue = 256

// class is the state of a class of service. It outlives the bundle that defines
// it, because requests may still be running when a later bundle removes the class.
type class struct {
	*bundle.Class
	index             int                   // in the current bundle; -1 when the bundle does not have the class
	counterIndex      int                   // index into upstream.running, never reused
	waiting           int                   // number of waiting requests
	waitingList       list[Ticket, *Ticket] // waiting requests in order of arrival
	outstandingByTeam map[*limits.Team]int  // waiting and running requests
	retryBudget       *retry.Budget
}

// target returns the class's target for the time to the first token, or for the
// complete answer when it has no first-token target.
func (c *class) target() time.Duration {
	if c.FirstTokenTarget > 0 {
		return c.FirstTokenTarget.Std()
	}
	return c.AnswerTarget.Std()
}

// topTierWindow returns the time within which a request of the class must find a
// slot, or 0 for lower tiers.
func (c *class) topTierWindow() time.Duration {
	if c.Tier != bundle.TopTier {
		return 0
	}
	return time.Duration(headroomWindowFraction * float64(c.target()))
}

func (c *class) maxQueue() int {
	if c.MaxQueue == 0 {
		return defaultMaxQueue
	}
	return c.MaxQueue
}

// upstream tracks the requests that this host runs on an upstream's replicas.
type upstream struct {
	name          string
	running       []int                              // running requests by class.counterIndex
	total         int                                // running requests of all classes
	runningByTier [bundle.MaxTier + 1]assignmentList // running requests, by tier at the time of the grant
	pools         []*pool
	releaseRate   rateMeter // slots released by attempts that ran and did not crash
	// Admitted requests by tier. A request counts in equal parts for the upstreams
	// of its pool.
	arrivalRate        [bundle.MaxTier + 1]rateMeter
	serviceTimes       [bundle.MaxTier + 1]meanDuration // by tier; index 0 holds the mean of all tiers
	freedSlots         int                              // slots released since the last refreshPools and not taken again
	pendingPreemptions int                              // preempted requests that still hold their slot
}

// minServiceWeight is the minimum weight of one attempt in the mean service time.
const minServiceWeight = 1.0 / 32

// meanDuration is an exponential moving average, and a plain mean of the first
// 1/minServiceWeight durations.
type meanDuration struct {
	seconds float64
	count   int
}

func (m *meanDuration) observe(d time.Duration) {
	m.count++
	weight := max(minServiceWeight, 1/float64(m.count))
	m.seconds += weight * (d.Seconds() - m.seconds)
}

// rateMeter measures events per second as an exponential moving average.
type rateMeter struct {
	count     float64 // events since the last update
	perSecond float64
}

// meterTimeConstant is the time constant of the moving average: long enough to
// smooth out single arrivals, short enough to follow a burst.
const meterTimeConstant = 2 * time.Second

func (m *rateMeter) add(n float64) { m.count += n }

func (m *rateMeter) update(elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/meterTimeConstant.Seconds())
	m.perSecond += weight * (m.count/elapsed.Seconds() - m.perSecond)
	m.count = 0
}

// poolKey identifies a pool: requests with the same model and upstreams compete
// for the same replicas.
type poolKey struct {
	model         string
	upstreamsHash uint64 // hash of the upstreams' indexes
	upstreamCount int
}

func poolKeyOf(r *scheduling.Request) poolKey {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	hash := uint64(offset)
	for _, u := range r.Upstreams {
		hash = (hash ^ uint64(u)) * prime
	}
	return poolKey{model: r.Model, upstreamsHash: hash, upstreamCount: len(r.Upstreams)}
}

// tierGroup groups the tiers that may use the same slots: the picker reserves some
// slots for the top tier.
type tierGroup int

const (
	groupTop   tierGroup = iota
	groupLower           // all tiers below the top tier
	groupCount
)

func tierGroupOf(tier int) tierGroup {
	if tier == bundle.TopTier {
		return groupTop
	}
	return groupLower
}

// pool holds the waiting requests that may run on the same replicas, and the slots
// of those replicas.
type pool struct {
	self           [1]*pool // this pool as a slice argument for dispatch, without an allocation
	upstreams      []*upstream
	model          string
	sampleRequests [groupCount]scheduling.Request // sample requests for asking the picker for slots
	queues         []*classQueue                  // two per class: ordinary and restricted; nil until used
	waiting        int                            // number of waiting requests
	waitingByTier  [bundle.MaxTier + 1]struct{ onTime, late int }
	total          int // slots of all replicas that can serve now
	plannedSlots   int // slots of all replicas that should serve the pool, available or not
	// Free slots at the last refreshSlots, minus the upstreams' freedSlots then and
	// this pool's grants since, except those that took one of the freedSlots; see
	// freeSlots.
	baseFreeSlots [groupCount]int
	// Time within which a top-tier request must find a slot, the shortest of its
	// classes; 0 until a top-tier class has a queue.
	topTierWindow      time.Duration
	headroom           int                // free slots that lower tiers must leave to the top tier
	unreachableSince   time.Time          // start of the time without any replica that can serve; zero while there is one
	blockedInPass      [groupCount]uint64 // last dispatch pass in which the group ran out of slots
	lowerTierAllowance int                // slots that lower tiers may take until the next view
	grantsSinceAged    int                // grants since the last one with precedenceAged
	preemptionLimiter  *rate.Limiter      // limits preemptions per second
}

// classQueue returns the pool's ordinary or restricted queue of the class and
// creates it if necessary.
func (s *Scheduler) classQueue(p *pool, c *class, restricted bool) *classQueue {
	i := 2 * c.index
	if restricted {
		i++
	}
	if p.queues[i] == nil {
		if window := c.topTierWindow(); window > 0 && (p.topTierWindow == 0 || window < p.topTierWindow) {
			p.topTierWindow = window
		}
		p.queues[i] = &classQueue{
			pool: p, class: c, restricted: restricted,
			estimates: s.estimator.Series(c.Class, p.model),
			demand:    s.demandFor(c, p.model),
		}
	}
	return p.queues[i]
}

// demandFor returns the demand counters of the class and model and creates them if
// necessary.
func (s *Scheduler) demandFor(c *class, model string) *scheduling.ClassDemand {
	k := demandKey{class: c.Name, model: model}
	d, ok := s.demand[k]
	if !ok {
		d = &scheduling.ClassDemand{Class: c.Name, Model: model}
		s.demand[k] = d
	}
	return d
}

func compareDemand(a, b scheduling.ClassDemand) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model))
}

// pool returns the pool of the request and creates it if necessary.
func (s *Scheduler) pool(r *scheduling.Request) *pool {
	k := poolKeyOf(r)
	if p, ok := s.pools[k]; ok {
		return p
	}
	p := &pool{
		model:             r.Model,
		queues:            make([]*classQueue, 2*len(s.classes)),
		preemptionLimiter: rate.NewLimiter(minPreemptionsPerSecond, minPreemptionsPerSecond),
	}
	p.self[0] = p
	p.sampleRequests = s.sampleRequests(r)
	for _, i := range r.Upstreams {
		u := s.upstreams[i]
		p.upstreams = append(p.upstreams, u)
		u.pools = append(u.pools, p)
	}
	s.pools[k] = p
	s.poolList = append(s.poolList, p)
	s.refreshSlots(p)
	s.resetAllowance(p)
	return p
}

// sampleRequests returns one request per tier group, with which the picker is asked
// for the group's slots. When the bundle has no class in a group, its sample keeps the
// class of r.
func (s *Scheduler) sampleRequests(r *scheduling.Request) [groupCount]scheduling.Request {
	sample := scheduling.Request{Class: r.Class, Team: r.Team, Model: r.Model, Upstreams: r.Upstreams}
	samples := [groupCount]scheduling.Request{sample, sample}
	for _, c := range s.classes {
		samples[tierGroupOf(c.Tier)].Class = c.index
	}
	return samples
}

// refreshSlots reads the pool's slots from the picker.
func (s *Scheduler) refreshSlots(p *pool) {
	freedSlots := 0
	for _, u := range p.upstreams {
		freedSlots += u.freedSlots
	}
	for group := range p.baseFreeSlots {
		total, free := s.picker.Slots(&p.sampleRequests[group])
		p.baseFreeSlots[group] = free - freedSlots
		p.total = total
	}
	p.plannedSlots = s.picker.PlannedSlots(&p.sampleRequests[groupTop])
	switch {
	case p.total > 0:
		p.unreachableSince = time.Time{}
	case p.unreachableSince.IsZero():
		p.unreachableSince = s.opts.Clock.Now()
	}
}

// freeSlots returns an estimate of the free slots for the tier group. Between two
// calls of refreshSlots it may be too high, because released slots may belong to
// replicas that the pool cannot use and other pools may have taken some. A failed pick
// refreshes the estimate.
func (p *pool) freeSlots(group tierGroup) int {
	freeSlots := p.baseFreeSlots[group]
	for _, u := range p.upstreams {
		freeSlots += u.freedSlots
	}
	return freeSlots
}

// takeSlot records that the pool took a slot of the upstream. It uses up the slots
// released since the last refreshPools first, because these are counted for every pool
// on the upstream and the other pools would otherwise try to take the same slot.
func (p *pool) takeSlot(u *upstream) {
	if u.freedSlots > 0 {
		u.freedSlots--
		return
	}
	for group := range p.baseFreeSlots {
		p.baseFreeSlots[group]--
	}
}

// allowanceFraction is the fraction of a host's portion of the free slots that
// lower tiers may take per view. It is below one because replica reports lag by
// about the time between two views, so that a dispatch first shows up in the view
// after the next. The fraction is not applied when there is only one host.
const allowanceFraction = 0.5

// resetAllowance sets how many slots lower tiers may take until the next view, in
// addition to those that this host's own requests release: this host's portion of
// the free slots. All hosts see the same free slots in a view and would otherwise
// overcommit them. The result is rounded randomly, so that slots are also used when
// there are fewer of them than hosts.
func (s *Scheduler) resetAllowance(p *pool) {
	if !s.features.lowerTierAllowance {
		p.lowerTierAllowance = math.MaxInt32
		return
	}
	allowed := float64(max(p.freeSlots(groupLower), 0))
	if s.hostCount > 1 {
		allowed *= allowanceFraction / float64(s.hostCount)
	}
	p.lowerTierAllowance = int(allowed + s.random.Float64())
}

// refreshPools refreshes the slots and the headroom of all pools.
func (s *Scheduler) refreshPools() {
	for _, u := range s.upstreams {
		u.freedSlots = 0
	}
	for _, p := range s.poolList {
		s.refreshSlots(p)
		s.updateHeadroom(p)
	}
}

// running returns the number of running requests of the class on the pool's
// upstreams, and the number of slots to which the class's guaranteed share applies:
// the slots that this host holds or could take, reduced in proportion to the
// missing capacity. At full capacity there are slots for the shares and for the top
// tier's planned load together. That load does not shrink when replicas are lost, so
// the lower tiers must give up more than a proportional part of the loss.
func (p *pool) running(c *class) (running, slots int) {
	slots = max(p.freeSlots(groupTop), 0)
	for _, u := range p.upstreams {
		running += u.running[c.counterIndex]
		slots += u.total
	}
	if p.total < p.plannedSlots {
		slots = slots * p.total / p.plannedSlots
	}
	return running, slots
}

// guaranteedSlots returns the class's guaranteed share of the slots. A class with
// a share gets at least one, because it could starve if its share rounded to zero.
func (c *class) guaranteedSlots(slots int) int {
	if c.Share == 0 {
		return 0
	}
	return max(int(c.Share*float64(slots)), 1)
}

// classQueue holds the waiting requests of a class in a pool. On-time requests can
// still meet the class's target, late requests cannot. Requests that exclude
// replicas, or for which a pick failed although the pool had free slots, wait in a
// separate restricted queue, where a request that cannot run does not block those
// behind it.
type classQueue struct {
	pool          *pool
	class         *class
	restricted    bool
	onTime        queue.Heap[*Ticket]
	late          queue.Heap[*Ticket]
	onTimeGrants  int               // grants to on-time requests since the last one to a late request
	blockedInPass uint64            // last dispatch pass in which the restricted queue used up its picks
	failedPicks   int               // failed picks since a restricted queue was last blocked
	estimates     *estimator.Series // of the class and model
	demand        *scheduling.ClassDemand
}

func (q *classQueue) tierGroup() tierGroup { return tierGroupOf(q.class.Tier) }

func (q *classQueue) len() int { return q.onTime.Len() + q.late.Len() }
