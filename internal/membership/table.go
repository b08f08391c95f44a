// Package membership keeps the soft state that hosts share: live and leaving
// hosts and replicas, replica loads, the platform's host list and quarantined
// fingerprints. A Table performs no I/O and is owned by one goroutine; times are
// passed in.
package membership

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

// Bounds of liveness and of the news in one message.
const (
	// ZoneDeadAfter is the age of a heartbeat after which a host of the own zone
	// counts as dead. A heartbeat needs up to three exchanges to cross a zone of
	// 57 hosts, each half a second apart.
	ZoneDeadAfter = 5 * time.Second
	// RemoteDeadAfter applies to hosts of other zones, whose heartbeats come
	// only through the ranked hosts.
	RemoteDeadAfter = 30 * time.Second
	// forgetAfter drops hosts that neither the list nor a heartbeat confirms.
	forgetAfter = 10 * time.Minute
	// minRemoteRefresh and maxRemoteRefresh bound the least time between two
	// accepted heartbeats or loads of another zone. It grows with their number,
	// so that news of 400 hosts does not crowd out the zone's own.
	minRemoteRefresh = time.Second
	maxRemoteRefresh = 10 * time.Second
	// hostsPerRefresh and replicasPerRefresh are how many lengthen it by a second.
	hostsPerRefresh    = 40
	replicasPerRefresh = 60
	// deadLoadAfter is the least age of the last answer of a replica before an
	// observer's failures count: the other observer may still reach it.
	deadLoadAfter = 4 * time.Second
	// contactJitter separates a newer observation from the same one that came
	// over another path.
	contactJitter = 100 * time.Millisecond

	maxLoads            = 72 // rows of loads of the own zone in a message
	maxRemoteLoads      = 24 // rows of loads of other zones
	maxHeartbeats       = 56 // rows of heartbeats of the own zone
	maxRemoteHeartbeats = 20 // rows of heartbeats of other zones
	maxMarks            = 32 // replica marks in a message
	maxHostNews         = 12 // full host states in a message
	maxQuarantine       = 16 // quarantine entries in a message that are news
	maxQuarantineRepair = 2  // further quarantine entries in a message
	maxSends            = 8  // sends of one news before it only takes part in repair
)

// Options describe the own host.
type Options struct {
	Host        string
	Zone        string
	PeerAddress string
	Incarnation uint64 // start time of the process, unix ms
	Peers       []Peer // hosts known from the settings
}

// Peer is where a host can be reached.
type Peer struct {
	Host    string
	Zone    string
	Address string // IP:port
}

// host is what is known about one host.
type host struct {
	state    *rpc.HostState // replaced, never changed, once it was handed out
	id       uint32
	heardAt  time.Time // when the newest heartbeat was made; zero when never heard
	seeded   time.Time // when the host became known without a heartbeat
	sends    int       // sends of the newest heartbeat
	newsSent int       // sends of the newest full state
}

// replica is what is known about one replica.
type replica struct {
	key       string // upstream/replica
	upstream  string
	name      string
	zone      string
	index     int // in the bundle; -1 when the bundle does not have it
	modelList []string
	leaving   bool
	mark      uint32
	listed    uint32 // mark that the platform's list confirmed as leaving, plus one
	marksSent int
	load      load
	sends     int
}

// load is an observation of a replica.
type load struct {
	at      time.Time     // when the observer called; zero when never
	lag     time.Duration // age of the figures at that call
	dead    bool          // the observers got no answer
	answer  time.Time     // when any observer last got an answer
	has     bool
	running uint32
	waiting uint32
	tokens  uint32
	models  uint64 // set of positions in modelList, and unlistedModels
	role    uint32
}

// Table is the soft state of one host.
type Table struct {
	opts           Options
	self           *host
	hosts          map[string]*host
	hostIDs        map[uint32]*host
	order          []*host // rotation for repair
	hostNext       int
	remoteHostNext int
	replicas       map[string]*replica
	indexed        []*replica // by position in the bundle
	loadNext       int
	remoteLoadNext int
	generation     uint64
	list           hostList
	quarantine     quarantine
	demands        demands
	drained        bool // the own host leaves for good
	wanted         map[uint32]bool
	urgent         bool // a change that routers must see at once
	version        uint64
}

// NewTable returns a table that knows the own host and the configured peers.
func NewTable(o Options, now time.Time) *Table {
	t := &Table{
		opts: o, hosts: make(map[string]*host), hostIDs: make(map[uint32]*host),
		replicas: make(map[string]*replica), wanted: make(map[uint32]bool),
	}
	t.quarantine.entries = make(map[uint64]*quarantined)
	t.demands.hosts = make(map[string]*hostDemand)
	t.putHost(&rpc.HostState{
		Host: o.Host, AvailabilityZone: o.Zone, PeerAddress: o.PeerAddress,
		State: rpc.State_STATE_LIVE, Incarnation: o.Incarnation, Heartbeat: 1,
	}, now, now)
	t.self = t.hosts[o.Host]
	for _, p := range o.Peers {
		if p.Host != o.Host {
			t.seed(p, now)
		}
	}
	return t
}

// Version changes with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// TakeUrgent tells whether a change happened since the last call that routers
// must see at once: a host or replica that leaves, or a quarantined request.
func (t *Table) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// remoteRefresh returns the least time between two accepted rows of other zones.
func remoteRefresh(n, perSecond int) time.Duration {
	return min(max(time.Duration(n)*time.Second/time.Duration(perSecond), minRemoteRefresh), maxRemoteRefresh)
}

func (t *Table) changed(urgent bool) {
	t.version++
	t.urgent = t.urgent || urgent
}

// SetBundle makes the replicas of a bundle known.
func (t *Table) SetBundle(b *bundle.Bundle, generation uint64) {
	t.generation = generation
	t.demands.setBundle(b)
	own := copyHost(t.self.state)
	own.Generation = generation
	t.self.state = own
	old := t.replicas
	t.replicas = make(map[string]*replica, len(old))
	t.indexed = t.indexed[:0:0]
	t.loadNext, t.remoteLoadNext = 0, 0
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		for j := range u.Replicas {
			key := u.Name + "/" + u.Replicas[j].ID
			r := old[key]
			if r == nil {
				r = &replica{key: key, upstream: u.Name, name: u.Replicas[j].ID}
			}
			r.setModels(u.Models)
			r.zone = u.Replicas[j].AvailabilityZone
			r.index = len(t.indexed)
			t.indexed = append(t.indexed, r)
			t.replicas[key] = r
		}
	}
	for key, r := range old {
		if t.replicas[key] == nil && r.mark > 0 {
			r.index = -1
			t.replicas[key] = r
		}
	}
	t.changed(true)
}

// setModels installs the upstream's models. A set of positions in another list
// is worthless.
func (r *replica) setModels(models []string) {
	if len(r.modelList) != len(models) {
		r.load.models = 0
	}
	for i := range min(len(r.modelList), len(models)) {
		if r.modelList[i] != models[i] {
			r.load.models = 0
		}
	}
	r.modelList = models
}

func (t *Table) replica(key, upstream, name string) *replica {
	r := t.replicas[key]
	if r == nil {
		r = &replica{key: key, upstream: upstream, name: name, index: -1}
		t.replicas[key] = r
	}
	return r
}

// Replicas returns the replicas of the bundle and those with a mark.
func (t *Table) Replicas(now time.Time) []*rpc.ReplicaState {
	out := make([]*rpc.ReplicaState, 0, len(t.indexed))
	for _, r := range t.indexed {
		out = append(out, r.toRPC(now))
	}
	return out
}

func (r *replica) toRPC(now time.Time) *rpc.ReplicaState {
	s := &rpc.ReplicaState{Upstream: r.upstream, Replica: r.name, State: r.state(), Mark: r.mark}
	if !r.load.has {
		return s
	}
	s.HasLoad = true
	s.Running, s.Waiting, s.TokensPerSecond = r.load.running, r.load.waiting, r.load.tokens
	s.ReportAgeMs = millis(now.Sub(r.load.answer) + r.load.lag)
	s.Role = roleName(r.load.role)
	for i, model := range r.modelList {
		if r.load.models&(1<<i) != 0 {
			s.Models = append(s.Models, model)
		}
	}
	s.UnlistedModels = r.load.models&unlistedModels != 0
	return s
}

// state gives a dead replica precedence over a leaving one: neither gets new
// work, and requests on a dead one cannot finish.
func (r *replica) state() rpc.State {
	switch {
	case r.load.dead:
		return rpc.State_STATE_DEAD
	case r.leaving:
		return rpc.State_STATE_LEAVING
	default:
		return rpc.State_STATE_LIVE
	}
}

func millis(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

var roles = []string{"", "mixed", "prefill", "decode"}

func roleName(role uint32) string {
	if int(role) < len(roles) {
		return roles[role]
	}
	return ""
}

func roleIndex(name string) uint32 {
	for i, role := range roles {
		if role == name {
			return uint32(i)
		}
	}
	return 0
}
