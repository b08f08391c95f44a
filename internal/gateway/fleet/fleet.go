package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/scheduling/quarantine"
)

// EngineModel describes the speed of the model engines. It starts with the figures of
// the settings and follows what requests measure; latencies correct it for each replica.
type EngineModel struct {
	PrefillTokensPerMs float64       // prompt tokens read in a millisecond
	Step               time.Duration // one token for each running request
	StepPerRequest     time.Duration // added to a step by each running request
	Chunk              int           // prompt tokens read between two steps
	First              time.Duration // from an idle engine's start on a request to its first token, without the prompt
}

// Options configure a Fleet.
type Options struct {
	Zone  string
	Model EngineModel
	Seed  uint64
}

// Fleet knows the replicas of all upstreams. It is safe for concurrent use.
type Fleet struct {
	opts Options

	mu              sync.Mutex
	random          *rand.Rand
	pools           map[string]*pool
	replicas        map[string]*replica // by id
	byKey           map[uint64]*replica
	partLimit       int                   // prompt parts remembered for each replica
	active          map[*replica]struct{} // with requests of this host, now or of late
	digests         map[string]peerDigest // last digest of each host
	dispatchedParts []dispatchedPart      // since the last digest
	shares          teamShares            // of the engines' time, by team
	poison          *quarantine.Quarantine
	crashes         []Crash // of this host, newest last
	outages         []outage
	zones           map[string]*zone
}

// digest is what is kept of a host's last digest.
type peerDigest struct {
	at    time.Time
	uses  []uint64 // keys of the replicas it uses
	hosts int      // for which it speaks
}

type dispatchedPart struct {
	PromptUse
	Tokens int
}

// pool is the replicas of one upstream.
type pool struct {
	upstream    routing.Upstream
	replicas    []*replica
	meanLatency time.Duration     // mean time that a plain service takes
	speed       *engineSpeed      // used for engines alone
	admission   priorityAdmission // shares of requests refused, by priority
}

// zone is what this host saw of another availability zone.
type zone struct {
	consecutiveFailures int // replicas in a row that could not be reached or broke off
	avoidUntil          time.Time
}

const (
	// zoneCut is the number of replicas of a zone that fail in a row before the zone
	// counts as cut off; fewer may have crashed.
	zoneFailureThreshold = 3
	// zonePause is how long such a zone is avoided before it is tried again.
	zoneAvoidTime = time.Second
	// zoneCost is the cost of a replica in a zone that is avoided: an attempt there
	// takes the time to find that it cannot be reached.
	avoidedZoneCost = 600 * time.Millisecond
)

// failed counts a replica of the zone that could not be reached.
func (z *zone) recordFailure(now time.Time) {
	if z.consecutiveFailures++; z.consecutiveFailures >= zoneFailureThreshold {
		z.avoidUntil = now.Add(zoneAvoidTime)
	}
}

// zone returns what is known of an availability zone.
func (f *Fleet) zone(name string) *zone {
	z, ok := f.zones[name]
	if !ok {
		z = &zone{}
		f.zones[name] = z
	}
	return z
}

// avoided tells whether the replica is in another availability zone that counts as
// cut off.
func (f *Fleet) inAvoidedZone(r *replica, now time.Time) bool {
	return r.member.Zone != f.opts.Zone && now.Before(f.zone(r.member.Zone).avoidUntil)
}

// New returns a fleet without replicas.
func New(opts Options) *Fleet {
	return &Fleet{
		opts:     opts,
		random:   rand.New(rand.NewPCG(opts.Seed, 0)),
		pools:    make(map[string]*pool),
		replicas: make(map[string]*replica),
		byKey:    make(map[uint64]*replica),
		active:   make(map[*replica]struct{}),
		digests:  make(map[string]peerDigest),
		zones:    make(map[string]*zone),
		poison:   quarantine.New(poisonCrashes, poisonQuarantineTime),
	}
}

// firstWork is the time that a plain service is assumed to take before one is measured.
const initialServiceLatency = 60 * time.Millisecond

// SetUpstreams installs the upstreams of a new configuration.
func (f *Fleet) SetUpstreams(upstreams []routing.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range upstreams {
		f.pool(u.Name).upstream = u
	}
}

func (f *Fleet) pool(name string) *pool {
	p, ok := f.pools[name]
	if !ok {
		p = &pool{upstream: routing.Upstream{Name: name}, meanLatency: initialServiceLatency, speed: newEngineSpeed(f.opts.Model)}
		f.pools[name] = p
	}
	return p
}

// SetMembers replaces the replicas. What is known of a replica stays while it is
// the same process.
func (f *Fleet) SetMembers(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]struct{}, len(members))
	for i := range members {
		listed[members[i].ID] = struct{}{}
	}
	var removed []string
	for id := range f.replicas {
		if _, ok := listed[id]; !ok {
			removed = append(removed, id)
		}
	}
	f.update(members, removed)
}

// Update takes replicas that are new or whose registration changed, and the ids of those
// that are gone.
func (f *Fleet) Update(changed []Member, removed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update(changed, removed)
}

func (f *Fleet) update(changed []Member, removed []string) {
	for _, id := range removed {
		if r, ok := f.replicas[id]; ok {
			f.remove(r)
		}
	}
	for i := range changed {
		m := &changed[i]
		r, ok := f.replicas[m.ID]
		if ok && (r.member.Started != m.Started || r.member.Address != m.Address || r.member.Upstream != m.Upstream) {
			f.remove(r)
			ok = false
		}
		if ok {
			r.member = *m
		} else {
			f.insert(newReplica(*m))
		}
	}
	limit := partLimitFor(len(f.replicas))
	if limit == f.partLimit {
		return
	}
	f.partLimit = limit
	for _, r := range f.replicas {
		r.cachedParts.Resize(limit)
	}
}

func compareKeys(a, b *replica) int { return cmp.Compare(a.key, b.key) }

// insert adds a replica. All hosts have the same order, which does not change for those
// that stay.
func (f *Fleet) insert(r *replica) {
	f.replicas[r.member.ID] = r
	f.byKey[r.key] = r
	if f.partLimit > 0 {
		r.cachedParts.Resize(f.partLimit)
	}
	p := f.pool(r.member.Upstream)
	at, _ := slices.BinarySearchFunc(p.replicas, r, compareKeys)
	p.replicas = slices.Insert(p.replicas, at, r)
}

func (f *Fleet) remove(r *replica) {
	delete(f.replicas, r.member.ID)
	delete(f.byKey, r.key)
	p := f.pool(r.member.Upstream)
	if at, ok := slices.BinarySearchFunc(p.replicas, r, compareKeys); ok {
		p.replicas = slices.Delete(p.replicas, at, at+1)
	}
}

// leastPrefillLoad is the smallest prompt load worth telling other hosts.
const minPrefillLoad = 0.01

// Digest returns what this host has in progress and the prompt parts it sent
// since the last digest, for the other hosts.
func (f *Fleet) Digest(now time.Time) (uses map[uint64]Use, parts []PromptUse, tokens []int) {
	return f.digest(now, true)
}

func (f *Fleet) digest(now time.Time, takeParts bool) (uses map[uint64]Use, parts []PromptUse, tokens []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	uses = make(map[uint64]Use, len(f.active))
	for r := range f.active {
		load := r.recentPrefillLoad(now)
		if f.replicas[r.member.ID] != r || r.running == 0 && load < minPrefillLoad {
			delete(f.active, r)
			continue
		}
		uses[r.key] = Use{
			Prefill: r.pendingPrefill, Running: r.running, Tokens: max(r.memoryTokens, 0), LongAnswers: r.longAnswers, PrefillLoad: load,
		}
	}
	if !takeParts {
		return uses, nil, nil
	}
	for _, u := range f.dispatchedParts {
		parts = append(parts, u.PromptUse)
		tokens = append(tokens, u.Tokens)
	}
	f.dispatchedParts = f.dispatchedParts[:0]
	return uses, parts, tokens
}

// Merged returns what this host and some others have in progress together.
func (f *Fleet) Merged(hosts []string, now time.Time) map[uint64]Use {
	uses, _, _ := f.digest(now, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range hosts {
		for _, key := range f.digests[host].uses {
			r, ok := f.byKey[key]
			if !ok {
				continue
			}
			u, peerUse := uses[key], r.peers[host]
			u.Prefill += peerUse.Prefill
			u.Running += peerUse.Running
			u.Tokens += peerUse.Tokens
			u.LongAnswers += peerUse.LongAnswers
			u.PrefillLoad += peerUse.PrefillLoad
			uses[key] = u
		}
	}
	return uses
}

// Forget drops the last digest of a host, whose work others tell of.
func (f *Fleet) Forget(host string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetHost(host, now)
}

// forget drops what a host told, as of now.
func (f *Fleet) forgetHost(host string, now time.Time) {
	for _, key := range f.digests[host].uses {
		if r, ok := f.byKey[key]; ok {
			r.setPeerUse(host, Use{}, now)
		}
	}
	delete(f.digests, host)
	for _, p := range f.pools {
		for _, c := range p.admission.classes {
			delete(c.peerCounts, host)
		}
	}
}

// toldRead is when a part that another host told of counts as read: digests are
// sent when a prompt is dispatched, and reading takes some hundred milliseconds.
const peerPartReadDelay = 300 * time.Millisecond

// ApplyDigest takes what another host has in progress.
func (f *Fleet) ApplyDigest(host string, uses map[uint64]Use, parts []PromptUse, tokens []int, now time.Time) {
	f.ApplyDigestOf(host, 1, uses, parts, tokens, now)
}

// ApplyDigestOf takes what a number of hosts have in progress together, under a name of
// their own.
func (f *Fleet) ApplyDigestOf(host string, hosts int, uses map[uint64]Use, parts []PromptUse, tokens []int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range f.digests[host].uses {
		if r, ok := f.byKey[key]; ok && uses[key] == (Use{}) {
			r.setPeerUse(host, Use{}, now)
		}
	}
	keys := make([]uint64, 0, len(uses))
	for key, use := range uses {
		keys = append(keys, key)
		if r, ok := f.byKey[key]; ok {
			r.setPeerUse(host, use, now)
		}
	}
	f.digests[host] = peerDigest{at: now, uses: keys, hosts: hosts}
	for i, p := range parts {
		if r, ok := f.byKey[p.Replica]; ok {
			r.addPart(PromptPart{Hash: p.Part, Tokens: tokens[i]}, now.Add(peerPartReadDelay), f.cacheCapacity(r))
		}
	}
}

// digestLife is how long a host's last digest counts. Digests come several times
// a second; a host that is cut off or gone has no requests in progress later.
const digestLifetime = 2 * time.Second

// ExpireDigests drops the digests of hosts that have not been heard for a while.
func (f *Fleet) ExpireDigests(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, d := range f.digests {
		if now.Sub(d.at) < digestLifetime {
			continue
		}
		f.forgetHost(host, now)
	}
}

// Hosts returns the number of hosts that were heard of late, this one included.
func (f *Fleet) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostCount()
}

func (f *Fleet) hostCount() int {
	hosts := 1
	for _, d := range f.digests {
		hosts += d.hosts
	}
	return hosts
}

func (f *Fleet) cacheCapacity(r *replica) int {
	if e := f.pool(r.member.Upstream).upstream.Engine; e != nil && e.MemoryTokens > 0 {
		return e.MemoryTokens - min(r.totalMemoryTokens(), e.MemoryTokens/2)
	}
	return math.MaxInt
}

// Counts returns the replicas of an upstream and how many may receive requests.
func (f *Fleet) Counts(upstream string, now time.Time) (all, admissible int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.pool(upstream).replicas {
		all++
		if r.member.usable(now) && r.admissible(now) {
			admissible++
		}
	}
	return all, admissible
}
