package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/internal/scheduling/quarantine"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// EngineModel describes the speed of an upstream's model engines. It starts from the
// configured values and is then fitted to measured latencies; the slowness of each replica
// corrects it for that replica.
type EngineModel struct {
	PrefillTokensPerMs float64       // prefill speed, in prompt tokens per millisecond
	Step               time.Duration // duration of a decode step, which yields one token per running request
	StepPerRequest     time.Duration // added to Step by each running request
	Chunk              int           // prompt tokens processed between two decode steps
	First              time.Duration // time to first token on an idle engine, without prefill and the decode step
}

// Options configure a Fleet.
type Options struct {
	Zone         string        // availability zone of this host
	Model        EngineModel   // configured speed of the engines
	Seed         uint64        // seed of the random choices
	ZoneOverflow *ZoneOverflow // nil for a constant cost of replicas in other zones
}

// Fleet tracks the replicas of all upstreams, picks a replica for each request and decides
// which requests are refused. It is safe for concurrent use.
type Fleet struct {
	opts Options

	mu              sync.Mutex
	random          *rand.Rand
	pools           map[string]*pool
	replicas        map[string]*replica // by ID
	byKey           map[uint64]*replica
	cachedParts     int                   // limit of prompt parts per replica, see partLimitFor
	active          map[*replica]struct{} // replicas with in-flight requests or recent prefill load of this host
	digests         map[string]peerDigest // latest digest of each peer
	dispatchedParts []dispatchedPart      // prompt parts sent since the previous call of Digest
	teamShares      teamShares            // recent prefill time per team
	poison          *quarantine.Quarantine
	parts           *poisonpart.Tracker
	requests        *poisonpart.Tracker       // whole requests, by fingerprint
	partChanges     []PartChange              // since the previous call of TakePartChanges
	crashes         []Crash                   // crashes seen by this host, oldest first
	crashReports    map[crashReport]time.Time // crashes that other hosts report, and when they last did
	outages         []outage
	withheld        []withheldCrash // until another host tells of them, or CrashReportTime has passed
	zones           map[string]*zone
	limits          map[uint64]*replicaLimit // stated request limits, by Member.Key
	limitHosts      *requestlimit.Hosts      // that share the limits
	statements      map[string]*statement    // of replicas in their answers, by ID
	hostPeak        hostPeak
	reach           reach
	registrations   registrations
}

// peerDigest records what a host's latest digest contained. The uses themselves are stored
// with the replicas.
type peerDigest struct {
	at    time.Time
	uses  []uint64 // keys of the replicas that the digest lists
	hosts int      // number of hosts that the digest covers
}

// dispatchedPart is a prompt part that this host sent to a replica.
type dispatchedPart struct {
	PromptUse
	Tokens int
}

// pool holds the replicas of one upstream.
type pool struct {
	upstream    routing.Upstream
	replicas    []*replica
	meanLatency time.Duration // mean latency of a plain service; unused for engines
	speed       *engineSpeed  // used for engines only
	admission   admission     // refuses lower-priority requests while higher ones are refused
	overflow    overflow      // which requests of this host leave the zone
	nextReturn  time.Time     // return time given to the latest request refused for the request limits
	// processesTell means that a replica has told when its process started.
	processesTell bool
}

// zone is the state of an availability zone as seen by this host.
type zone struct {
	consecutiveFailures int // consecutive attempts that could not connect or lost the connection
	avoidUntil          time.Time
}

const (
	// zoneFailureThreshold is the number of consecutive failed attempts after which a zone
	// counts as cut off. Fewer failures may be replica crashes.
	zoneFailureThreshold = 3
	// zoneAvoidTime is how long a cut-off zone is avoided before it is tried again.
	zoneAvoidTime = time.Second
	// avoidedZoneCost is the cost of a replica in a zone that is being avoided: an attempt
	// there takes this long to find that the replica cannot be reached.
	avoidedZoneCost = 600 * time.Millisecond
)

// recordFailure counts an attempt on a replica of the zone that could not connect or lost
// the connection.
func (z *zone) recordFailure(now time.Time) {
	if z.consecutiveFailures++; z.consecutiveFailures >= zoneFailureThreshold {
		z.avoidUntil = now.Add(zoneAvoidTime)
	}
}

// zone returns the state of an availability zone and creates it if needed.
func (f *Fleet) zone(name string) *zone {
	z, ok := f.zones[name]
	if !ok {
		z = &zone{}
		f.zones[name] = z
	}
	return z
}

// inAvoidedZone reports whether the replica is in another availability zone that counts as
// cut off.
func (f *Fleet) inAvoidedZone(r *replica, now time.Time) bool {
	return r.member.Zone != f.opts.Zone && now.Before(f.zone(r.member.Zone).avoidUntil)
}

// New returns a fleet without replicas.
func New(opts Options) *Fleet {
	partLimit := poisonpart.CrashLimit(poisonCrashes)
	parts := poisonpart.New(partLimit, poisonQuarantineTime)
	return &Fleet{
		opts:         opts,
		random:       rand.New(rand.NewPCG(opts.Seed, 0)),
		pools:        make(map[string]*pool),
		replicas:     make(map[string]*replica),
		byKey:        make(map[uint64]*replica),
		active:       make(map[*replica]struct{}),
		digests:      make(map[string]peerDigest),
		zones:        make(map[string]*zone),
		limits:       make(map[uint64]*replicaLimit),
		statements:   make(map[string]*statement),
		limitHosts:   &requestlimit.Hosts{Zone: opts.Zone, Reachable: 1},
		crashReports: make(map[crashReport]time.Time),
		poison:       quarantine.New(poisonCrashes, poisonQuarantineTime),
		parts:        parts,
		requests:     poisonpart.NewForRequests(partLimit, poisonQuarantineTime, parts),
	}
}

// initialServiceLatency is the assumed latency of a plain service before one is measured.
const initialServiceLatency = 60 * time.Millisecond

// SetUpstreams installs the upstreams of a new configuration.
func (f *Fleet) SetUpstreams(upstreams []routing.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range upstreams {
		f.pool(u.Name).upstream = u
	}
}

// pool returns the pool of an upstream and creates it if needed.
func (f *Fleet) pool(name string) *pool {
	p, ok := f.pools[name]
	if !ok {
		p = &pool{upstream: routing.Upstream{Name: name}, meanLatency: initialServiceLatency, speed: newEngineSpeed(f.opts.Model)}
		f.pools[name] = p
	}
	return p
}

// SetMembers replaces the set of replicas. The state of a replica is kept as long as its
// registration describes the same process.
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

// Update adds new replicas, applies changed registrations and removes the replicas with
// the given IDs.
func (f *Fleet) Update(changed []Member, removed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update(changed, removed)
}

// update applies changed registrations and removals, and adapts the number of tracked
// parts to the number of replicas.
func (f *Fleet) update(changed []Member, removed []string) {
	for _, id := range removed {
		if r, ok := f.replicas[id]; ok {
			r.removed = true
			f.remove(r)
		}
	}
	for i := range changed {
		m := &changed[i]
		f.dropStatementOfEarlierProcess(m)
		f.registrations.note(m.ID, registration{started: m.Started, version: m.SoftwareVersion})
		r, ok := f.replicas[m.ID]
		if ok && r.member.SameProcess(m) {
			r.member = *m
		} else {
			next := newReplica(*m)
			if ok {
				if m.Started <= r.process.started {
					// A store that came back from a copy may list an earlier process.
					next.process = r.process
				}
				f.remove(r)
			}
			f.insert(next)
		}
		if s, ok := f.statements[m.ID]; ok {
			f.applyToReplica(s)
		}
	}
	cachedParts := partLimitFor(len(f.replicas))
	if cachedParts == f.cachedParts {
		return
	}
	f.cachedParts = cachedParts
	for _, r := range f.replicas {
		r.cachedParts.Resize(cachedParts)
	}
}

// compareKeys orders replicas by key.
func compareKeys(a, b *replica) int { return cmp.Compare(a.key, b.key) }

// insert adds a replica to its pool, which is sorted by key. All hosts thus rank replicas
// in the same order, and replicas that come or go do not reorder the others.
func (f *Fleet) insert(r *replica) {
	f.replicas[r.member.ID] = r
	f.byKey[r.key] = r
	f.attachLimit(r)
	if f.cachedParts > 0 {
		r.cachedParts.Resize(f.cachedParts)
	}
	p := f.pool(r.member.Upstream)
	at, _ := slices.BinarySearchFunc(p.replicas, r, compareKeys)
	p.replicas = slices.Insert(p.replicas, at, r)
}

// remove deletes a replica from the fleet and its pool.
func (f *Fleet) remove(r *replica) {
	delete(f.replicas, r.member.ID)
	delete(f.byKey, r.key)
	p := f.pool(r.member.Upstream)
	if at, ok := slices.BinarySearchFunc(p.replicas, r, compareKeys); ok {
		p.replicas = slices.Delete(p.replicas, at, at+1)
	}
}

// minPrefillLoad is the prefill load below which a replica without in-flight requests is not
// reported to other hosts.
const minPrefillLoad = 0.01

// Digest returns this host's in-flight work per replica, keyed by Member.Key, and the
// prompt parts it sent since the previous call, for the other hosts. tokens[i] is the
// length of parts[i].
func (f *Fleet) Digest(now time.Time) (uses map[uint64]Use, parts []PromptUse, tokens []int) {
	return f.digest(now, true)
}

// digest returns the in-flight work, and with takeParts also returns and clears the prompt
// parts sent since the previous call.
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
			Prefill: r.pendingPrefill, Running: r.running, Tokens: max(r.tokens, 0), LongAnswers: r.longAnswers, PrefillLoad: load,
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

// MergedUses returns the combined in-flight work per replica of this host and the given hosts.
func (f *Fleet) MergedUses(hosts []string, now time.Time) map[uint64]Use {
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

// ForgetHost drops the latest digest of a host whose work another digest now covers.
// now is when that work ends here.
func (f *Fleet) ForgetHost(host string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetHost(host, now)
}

// forgetHost drops the in-flight work and the latest request counts that a host reported.
// now is when the dropped work ends. Prompt parts, engine speeds and counts already added up
// stay.
func (f *Fleet) forgetHost(host string, now time.Time) {
	for _, key := range f.digests[host].uses {
		if r, ok := f.byKey[key]; ok {
			r.setPeerUse(host, Use{}, now)
		}
	}
	delete(f.digests, host)
	for _, p := range f.pools {
		for _, c := range p.admission.byPriority {
			delete(c.reported, host)
		}
	}
}

// peerPartReadDelay is the time after which a prompt part reported by another host counts
// as read. Digests are sent when a prompt is dispatched, and prefill takes some hundred
// milliseconds.
const peerPartReadDelay = 300 * time.Millisecond

// ApplyDigest applies the digest of another host.
func (f *Fleet) ApplyDigest(host string, uses map[uint64]Use, parts []PromptUse, tokens []int, now time.Time) {
	f.ApplyMergedDigest(host, 1, uses, parts, tokens, now)
}

// ApplyMergedDigest applies a digest that covers several hosts. host is the name under which
// it is stored, hosts the number of hosts that it adds to the total.
func (f *Fleet) ApplyMergedDigest(host string, hosts int, uses map[uint64]Use, parts []PromptUse, tokens []int, now time.Time) {
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

// digestLifetime is how long a host's latest digest counts. Digests arrive several times a
// second, so an older one is from a host that is cut off or gone, and its requests are
// taken to have ended.
const digestLifetime = 2 * time.Second

// ExpireDigests drops the digests that are older than digestLifetime, the request limits that have
// ended and the statements of replicas that are gone.
func (f *Fleet) ExpireDigests(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, d := range f.digests {
		if now.Sub(d.at) < digestLifetime {
			continue
		}
		f.forgetHost(host, now)
	}
	f.limitHosts.Reachable = f.hostPeak.update(f.hosts(), now)
	f.pruneLimits(now)
	f.pruneStatements(now)
}

// Hosts returns the number of hosts covered by the current digests, including this one.
func (f *Fleet) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts()
}

// hosts is Hosts with the lock held.
func (f *Fleet) hosts() int {
	hosts := 1
	for _, d := range f.digests {
		hosts += d.hosts
	}
	return hosts
}

// cacheCapacity returns the number of tokens that the replica's prompt cache is assumed to
// hold: the part of the KV cache that in-flight requests leave free, and at least half of it;
// unlimited if the size of the KV cache is not configured.
func (f *Fleet) cacheCapacity(r *replica) int {
	if e := f.pool(r.member.Upstream).upstream.Engine; e != nil && e.KVCacheTokens > 0 {
		return e.KVCacheTokens - min(r.reservedKVCacheTokens(), e.KVCacheTokens/2)
	}
	return math.MaxInt
}

// ReplicaCounts returns the number of replicas of an upstream and how many of them may receive
// requests.
func (f *Fleet) ReplicaCounts(upstream string, now time.Time) (all, admissible int) {
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

// LimitedReplicas returns the number of replicas of an upstream that state a request limit.
func (f *Fleet) LimitedReplicas(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	limited := 0
	for _, r := range f.pool(upstream).replicas {
		if r.statedLimit().Limited {
			limited++
		}
	}
	return limited
}

// RejectingReplicas returns the number of replicas of an upstream that are likely to reject requests of this host.
func (f *Fleet) RejectingReplicas(upstream string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.pool(upstream).replicas {
		if r.rejections.rejecting(now) {
			n++
		}
	}
	return n
}
