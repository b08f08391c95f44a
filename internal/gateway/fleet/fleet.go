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

	mu       sync.Mutex
	random   *rand.Rand
	pools    map[string]*pool
	replicas map[string]*replica // by id
	byKey    map[uint64]*replica
	parts    int                   // prompt parts remembered for each replica
	active   map[*replica]struct{} // with requests of this host, now or of late
	heard    map[string]digest     // last digest of each host
	used     []usedPart            // since the last digest
	shares   shares                // of the engines' time, by team
	poison   *quarantine.Quarantine
	crashes  []Crash // of this host, newest last
	outages  []outage
	zones    map[string]*zone
}

// digest is what is kept of a host's last digest.
type digest struct {
	at    time.Time
	uses  []uint64 // keys of the replicas it uses
	hosts int      // for which it speaks
}

type usedPart struct {
	PromptUse
	Tokens int
}

// pool is the replicas of one upstream.
type pool struct {
	upstream routing.Upstream
	replicas []*replica
	work     time.Duration // mean time that a plain service takes
	speed    *engineSpeed  // used for engines alone
	order    order         // shares of requests refused, by priority
}

// zone is what this host saw of another availability zone.
type zone struct {
	unreachable int // replicas in a row that could not be reached or broke off
	avoid       time.Time
}

const (
	// zoneCut is the number of replicas of a zone that fail in a row before the zone
	// counts as cut off; fewer may have crashed.
	zoneCut = 3
	// zonePause is how long such a zone is avoided before it is tried again.
	zonePause = time.Second
	// zoneCost is the cost of a replica in a zone that is avoided: an attempt there
	// takes the time to find that it cannot be reached.
	zoneCost = 600 * time.Millisecond
)

// failed counts a replica of the zone that could not be reached.
func (z *zone) failed(now time.Time) {
	if z.unreachable++; z.unreachable >= zoneCut {
		z.avoid = now.Add(zonePause)
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
func (f *Fleet) avoided(r *replica, now time.Time) bool {
	return r.member.Zone != f.opts.Zone && now.Before(f.zone(r.member.Zone).avoid)
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
		heard:    make(map[string]digest),
		zones:    make(map[string]*zone),
		poison:   quarantine.New(poisonCrashes, poisonTime),
	}
}

// firstWork is the time that a plain service is assumed to take before one is measured.
const firstWork = 60 * time.Millisecond

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
		p = &pool{upstream: routing.Upstream{Name: name}, work: firstWork, speed: newEngineSpeed(f.opts.Model)}
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
	var gone []string
	for id := range f.replicas {
		if _, ok := listed[id]; !ok {
			gone = append(gone, id)
		}
	}
	f.update(members, gone)
}

// Update takes replicas that are new or whose registration changed, and the ids of those
// that are gone.
func (f *Fleet) Update(changed []Member, gone []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update(changed, gone)
}

func (f *Fleet) update(changed []Member, gone []string) {
	for _, id := range gone {
		if r, ok := f.replicas[id]; ok {
			f.drop(r)
		}
	}
	for i := range changed {
		m := &changed[i]
		r, ok := f.replicas[m.ID]
		if ok && (r.member.Started != m.Started || r.member.Address != m.Address || r.member.Upstream != m.Upstream) {
			f.drop(r)
			ok = false
		}
		if ok {
			r.member = *m
		} else {
			f.insert(newReplica(*m))
		}
	}
	parts := partsFor(len(f.replicas))
	if parts == f.parts {
		return
	}
	f.parts = parts
	for _, r := range f.replicas {
		r.parts.Resize(parts)
	}
}

func compareKeys(a, b *replica) int { return cmp.Compare(a.key, b.key) }

// insert adds a replica. All hosts have the same order, which does not change for those
// that stay.
func (f *Fleet) insert(r *replica) {
	f.replicas[r.member.ID] = r
	f.byKey[r.key] = r
	if f.parts > 0 {
		r.parts.Resize(f.parts)
	}
	p := f.pool(r.member.Upstream)
	at, _ := slices.BinarySearchFunc(p.replicas, r, compareKeys)
	p.replicas = slices.Insert(p.replicas, at, r)
}

func (f *Fleet) drop(r *replica) {
	delete(f.replicas, r.member.ID)
	delete(f.byKey, r.key)
	p := f.pool(r.member.Upstream)
	if at, ok := slices.BinarySearchFunc(p.replicas, r, compareKeys); ok {
		p.replicas = slices.Delete(p.replicas, at, at+1)
	}
}

// leastPrefillLoad is the smallest prompt load worth telling other hosts.
const leastPrefillLoad = 0.01

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
		load := r.recentPrefill(now)
		if f.replicas[r.member.ID] != r || r.running == 0 && load < leastPrefillLoad {
			delete(f.active, r)
			continue
		}
		uses[r.key] = Use{
			Prefill: r.pendingWork, Running: r.running, Tokens: max(r.tokens, 0), LongAnswers: r.longAnswers, PrefillLoad: load,
		}
	}
	if !takeParts {
		return uses, nil, nil
	}
	for _, u := range f.used {
		parts = append(parts, u.PromptUse)
		tokens = append(tokens, u.Tokens)
	}
	f.used = f.used[:0]
	return uses, parts, tokens
}

// Merged returns what this host and some others have in progress together.
func (f *Fleet) Merged(hosts []string, now time.Time) map[uint64]Use {
	uses, _, _ := f.digest(now, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range hosts {
		for _, key := range f.heard[host].uses {
			r, ok := f.byKey[key]
			if !ok {
				continue
			}
			u, more := uses[key], r.peers[host]
			u.Prefill += more.Prefill
			u.Running += more.Running
			u.Tokens += more.Tokens
			u.LongAnswers += more.LongAnswers
			u.PrefillLoad += more.PrefillLoad
			uses[key] = u
		}
	}
	return uses
}

// Forget drops the last digest of a host, whose work others tell of.
func (f *Fleet) Forget(host string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(host, now)
}

// forget drops what a host told, as of now.
func (f *Fleet) forget(host string, now time.Time) {
	for _, key := range f.heard[host].uses {
		if r, ok := f.byKey[key]; ok {
			r.setPeer(host, Use{}, now)
		}
	}
	delete(f.heard, host)
	for _, p := range f.pools {
		for _, c := range p.order.classes {
			delete(c.told, host)
		}
	}
}

// toldRead is when a part that another host told of counts as read: digests are
// sent when a prompt is dispatched, and reading takes some hundred milliseconds.
const toldRead = 300 * time.Millisecond

// ApplyDigest takes what another host has in progress.
func (f *Fleet) ApplyDigest(host string, uses map[uint64]Use, parts []PromptUse, tokens []int, now time.Time) {
	f.ApplyDigestOf(host, 1, uses, parts, tokens, now)
}

// ApplyDigestOf takes what a number of hosts have in progress together, under a name of
// their own.
func (f *Fleet) ApplyDigestOf(host string, hosts int, uses map[uint64]Use, parts []PromptUse, tokens []int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range f.heard[host].uses {
		if r, ok := f.byKey[key]; ok && uses[key] == (Use{}) {
			r.setPeer(host, Use{}, now)
		}
	}
	keys := make([]uint64, 0, len(uses))
	for key, use := range uses {
		keys = append(keys, key)
		if r, ok := f.byKey[key]; ok {
			r.setPeer(host, use, now)
		}
	}
	f.heard[host] = digest{at: now, uses: keys, hosts: hosts}
	for i, p := range parts {
		if r, ok := f.byKey[p.Replica]; ok {
			r.remember(PromptPart{Hash: p.Part, Tokens: tokens[i]}, now.Add(toldRead), f.capacity(r))
		}
	}
}

// digestLife is how long a host's last digest counts. Digests come several times
// a second; a host that is cut off or gone has no requests in progress later.
const digestLife = 2 * time.Second

// ExpireDigests drops the digests of hosts that have not been heard for a while.
func (f *Fleet) ExpireDigests(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, d := range f.heard {
		if now.Sub(d.at) < digestLife {
			continue
		}
		f.forget(host, now)
	}
}

// Hosts returns the number of hosts that were heard of late, this one included.
func (f *Fleet) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts()
}

func (f *Fleet) hosts() int {
	hosts := 1
	for _, d := range f.heard {
		hosts += d.hosts
	}
	return hosts
}

func (f *Fleet) capacity(r *replica) int {
	if e := f.pool(r.member.Upstream).upstream.Engine; e != nil && e.KVCacheTokens > 0 {
		return e.KVCacheTokens - min(r.memory(), e.KVCacheTokens/2)
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
