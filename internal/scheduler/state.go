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

// defaultMaxQueue applies to classes without max_queue.
const defaultMaxQueue = 256

// class is the state of a class of service. It outlives the bundle that defines
// it, as requests may still run when a later bundle removes the class.
type class struct {
	*bundle.Class
	index       int // in the bundle in force
	slot        int // position in the upstreams' counts, never reused
	waiting     int
	queued      list[Ticket, *Ticket] // waiting requests in order of arrival
	outstanding map[*limits.Team]int
	budget      *retry.Budget
}

// target returns the time in which an answer begins, or is complete when the
// class has no target for the first token.
func (c *class) target() time.Duration {
	if c.FirstTokenTarget > 0 {
		return c.FirstTokenTarget.Std()
	}
	return c.AnswerTarget.Std()
}

// topWindow returns the time in which an arrival of the class must find a slot, 0
// for lower tiers.
func (c *class) topWindow() time.Duration {
	if c.Tier != bundle.TopTier {
		return 0
	}
	return time.Duration(headroomWindow * float64(c.target()))
}

func (c *class) maxQueue() int {
	if c.MaxQueue == 0 {
		return defaultMaxQueue
	}
	return c.MaxQueue
}

// upstream counts what this host runs on an upstream's replicas.
type upstream struct {
	name     string
	running  []int // by class.slot
	total    int
	lists    [bundle.MaxTier + 1]assignmentList // running requests by tier
	pools    []*pool
	finished meter
	arrivals [bundle.MaxTier + 1]meter        // of the tier
	service  [bundle.MaxTier + 1]meanDuration // of the tier; index 0 for all tiers
	freed    int                              // slots given back since the last refresh and not taken since
	pending  int                              // preempted requests that have not given their slot back
}

// serviceWeight is the least weight of one answer in the mean service time.
const serviceWeight = 1.0 / 32

// meanDuration is a moving mean in seconds.
type meanDuration struct {
	seconds float64
	count   int
}

func (m *meanDuration) observe(d time.Duration) {
	m.count++
	weight := max(serviceWeight, 1/float64(m.count))
	m.seconds += weight * (d.Seconds() - m.seconds)
}

// meter measures events per second with exponential decay.
type meter struct {
	count     float64
	perSecond float64
}

// meterTime is the time constant of the rates: long enough to average over
// single arrivals, short enough to follow a burst.
const meterTime = 2 * time.Second

func (m *meter) add(n float64) { m.count += n }

func (m *meter) update(elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/meterTime.Seconds())
	m.perSecond += weight * (m.count/elapsed.Seconds() - m.perSecond)
	m.count = 0
}

// poolKey identifies the requests that compete for the same replicas.
type poolKey struct {
	model     string
	upstreams uint64 // hash of the indexes
	count     int
}

func keyOf(r *scheduling.Request) poolKey {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	hash := uint64(offset)
	for _, u := range r.Upstreams {
		hash = (hash ^ uint64(u)) * prime
	}
	return poolKey{model: r.Model, upstreams: hash, count: len(r.Upstreams)}
}

// level tells which slots a tier may use: the picker keeps some for the top tier.
type level int

const (
	levelTop level = iota
	levelLower
	levels
)

func levelOf(tier int) level {
	if tier == bundle.TopTier {
		return levelTop
	}
	return levelLower
}

// pool holds the waiting requests that may run on the same replicas.
type pool struct {
	self      [1]*pool // the pool alone, as an argument of dispatch
	upstreams []*upstream
	model     string
	probes    [levels]scheduling.Request
	lanes     []*lane
	waiting   int
	tiers     [bundle.MaxTier + 1]struct{ fresh, late int } // waiting requests
	total     int                                           // slots of the replicas that can be reached
	planned   int                                           // slots of all replicas that should serve the pool
	counted   [levels]int                                   // free slots at the last refresh, less this pool's grants and what the upstreams count as freed
	topWindow time.Duration                                 // in which a top-tier arrival must find a slot; 0 without a top tier
	headroom  int                                           // free slots kept for the top tier
	emptyFrom time.Time                                     // since when no replica can be reached; zero when one can
	blocked   [levels]uint64                                // dispatch pass in which no slot was left
	allowance int                                           // slots that lower tiers may take until the next view
	sinceAged int                                           // grants since the last one by age
	limiter   *rate.Limiter                                 // of preemptions
}

// lane returns the lane of the class and creates it when needed.
func (s *Scheduler) lane(p *pool, c *class, restricted bool) *lane {
	i := 2 * c.index
	if restricted {
		i++
	}
	if p.lanes[i] == nil {
		if window := c.topWindow(); window > 0 && (p.topWindow == 0 || window < p.topWindow) {
			p.topWindow = window
		}
		p.lanes[i] = &lane{
			pool: p, class: c, restricted: restricted,
			series: s.estimator.Series(c.Class, p.model),
			demand: s.demandOf(c, p.model),
		}
	}
	return p.lanes[i]
}

func (s *Scheduler) demandOf(c *class, model string) *scheduling.ClassDemand {
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

// pool returns the pool of the request and creates it when needed.
func (s *Scheduler) pool(r *scheduling.Request) *pool {
	k := keyOf(r)
	if p, ok := s.pools[k]; ok {
		return p
	}
	p := &pool{
		model:   r.Model,
		lanes:   make([]*lane, 2*len(s.classes)),
		limiter: rate.NewLimiter(minPreemptionRate, minPreemptionRate),
	}
	p.self[0] = p
	p.probes = s.probes(r)
	for _, i := range r.Upstreams {
		u := s.upstreams[i]
		p.upstreams = append(p.upstreams, u)
		u.pools = append(u.pools, p)
	}
	s.pools[k] = p
	s.poolList = append(s.poolList, p)
	s.refresh(p)
	s.allow(p)
	return p
}

// probes returns requests with which the picker is asked for the slots of each
// level. A bundle without classes on one of the levels has the same for both.
func (s *Scheduler) probes(r *scheduling.Request) [levels]scheduling.Request {
	probe := scheduling.Request{Class: r.Class, Team: r.Team, Model: r.Model, Upstreams: r.Upstreams}
	out := [levels]scheduling.Request{probe, probe}
	for _, c := range s.classes {
		out[levelOf(c.Tier)].Class = c.index
	}
	return out
}

// refresh reads the pool's slots from the picker.
func (s *Scheduler) refresh(p *pool) {
	freed := 0
	for _, u := range p.upstreams {
		freed += u.freed
	}
	for level := range p.counted {
		total, free := s.picker.Slots(&p.probes[level])
		p.counted[level] = free - freed
		p.total = total
	}
	p.planned = s.picker.PlannedSlots(&p.probes[levelTop])
	switch {
	case p.total > 0:
		p.emptyFrom = time.Time{}
	case p.emptyFrom.IsZero():
		p.emptyFrom = s.opts.Clock.Now()
	}
}

// free returns the pool's free slots as far as known. Between two refreshes it may
// be too high, when the freed slots are of replicas that the pool cannot use or
// another pool took some; a pick that fails then corrects it.
func (p *pool) free(l level) int {
	free := p.counted[l]
	for _, u := range p.upstreams {
		free += u.freed
	}
	return free
}

// take counts a slot as taken by the pool, first one that was freed since the last
// refresh: pools on the same upstream then do not all try for it.
func (p *pool) take(u *upstream) {
	if u.freed > 0 {
		u.freed--
		return
	}
	for l := range p.counted {
		p.counted[l]--
	}
}

// allowanceFraction is below one because the dispatches between two views appear
// only in the view after the next: reports lag by about the time between views.
const allowanceFraction = 0.5

// allow sets how many slots lower tiers may take until the next view, beside those
// that this host's own requests give back: this host's part of the free ones. All
// hosts see the same free slots in a view, and would together take each of them
// several times. The fraction is rounded at random so that few slots among many
// hosts are used as well.
func (s *Scheduler) allow(p *pool) {
	if !s.tuning.allowance {
		p.allowance = math.MaxInt32
		return
	}
	part := float64(max(p.free(levelLower), 0))
	if s.hosts > 1 {
		part *= allowanceFraction / float64(s.hosts)
	}
	p.allowance = int(part + s.random.Float64())
}

func (s *Scheduler) refreshPools() {
	for _, u := range s.upstreams {
		u.freed = 0
	}
	for _, p := range s.poolList {
		s.refresh(p)
		s.updateHeadroom(p)
	}
}

// running returns the number of requests of the class that run on the pool's
// upstreams, and the slots there that its guaranteed share is taken of: those that
// this host holds or could take, reduced in proportion to the capacity that is
// missing. The shares fit beside the top tier's planned load at full capacity. That
// load stays the same when replicas are lost, so that lower tiers have to yield
// more than their part of the loss.
func (p *pool) running(c *class) (running, slots int) {
	slots = max(p.free(levelTop), 0)
	for _, u := range p.upstreams {
		running += u.running[c.slot]
		slots += u.total
	}
	if p.total < p.planned {
		slots = slots * p.total / p.planned
	}
	return running, slots
}

// guaranteed returns the class's guaranteed part of the slots; at least one, as
// a class whose share rounds to none could starve.
func (c *class) guaranteed(slots int) int {
	if c.Share == 0 {
		return 0
	}
	return max(int(c.Share*float64(slots)), 1)
}

// lane holds the waiting requests of a class in a pool. Fresh ones can still meet
// the class's target; late ones no longer can. Requests that exclude replicas, or
// that found no replica where others did, are kept in a restricted lane, where
// one that cannot run does not hold up the next.
type lane struct {
	pool       *pool
	class      *class
	restricted bool
	fresh      queue.Heap[*Ticket]
	late       queue.Heap[*Ticket]
	turns      int // grants to fresh requests since the last one to a late one
	blocked    uint64
	failures   int
	series     *estimator.Series
	demand     *scheduling.ClassDemand
}

func (l *lane) level() level { return levelOf(l.class.Tier) }

func (l *lane) len() int { return l.fresh.Len() + l.late.Len() }
