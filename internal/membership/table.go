// Package membership implements the soft state that hosts exchange with each
// other: live and leaving hosts and replicas, replica loads, the demand of a zone,
// the platform's host list and quarantined fingerprints. A Table performs no I/O
// and must be used by one goroutine only; callers pass in the current time.
package membership

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// Time limits for liveness, and limits on the content of one message.
const (
	// ZoneDeadAfter is the age of its latest heartbeat at which a host of the local
	// zone counts as dead. A heartbeat needs up to three exchanges, half a second
	// apart, to reach all hosts of a zone of 57.
	ZoneDeadAfter = 5 * time.Second
	// RemoteDeadAfter is the same limit for hosts of other zones. Their heartbeats
	// enter the local zone only through exchanges between zones, which are opened by
	// watchers (see Watchers) and by hosts without a bundle.
	RemoteDeadAfter = 30 * time.Second
	// forgetAfter is how long a host without heartbeats is kept if it is in neither
	// the platform's list nor the settings.
	forgetAfter = 10 * time.Minute
	// minRemoteRefreshInterval and maxRemoteRefreshInterval bound the minimum time
	// between two accepted heartbeats of a host, or loads of a replica, of another
	// zone. The interval grows with the number of hosts or replicas, so that updates
	// of 400 hosts do not crowd out those of the local zone.
	minRemoteRefreshInterval = time.Second
	maxRemoteRefreshInterval = 10 * time.Second
	// hostsPerRefreshSecond and replicasPerRefreshSecond are the numbers of hosts and
	// replicas that lengthen this interval by a second.
	hostsPerRefreshSecond    = 40
	replicasPerRefreshSecond = 60
	// replicaDeadAfter is the minimum time since any observer's last answer from a
	// replica before a failed call marks it dead: another observer may still reach
	// the replica.
	replicaDeadAfter = 4 * time.Second
	// duplicateWindow is the minimum difference in time for an observation or list
	// to count as newer. A smaller difference means that the same data arrived over
	// another path.
	duplicateWindow = 100 * time.Millisecond

	maxLoadRows            = 72 // rows of loads of the local zone in a message
	maxRemoteLoadRows      = 24 // rows of loads of other zones in a message
	maxHeartbeatRows       = 56 // rows of heartbeats of the local zone in a message
	maxRemoteHeartbeatRows = 20 // rows of heartbeats of other zones in a message
	maxReplicaMarks        = 32 // replica states sent as updates in a message; a quarter as many are repeated
	maxHostStates          = 12 // full host states in a message
	maxQuarantineUpdates   = 16 // quarantine entries sent as updates in a message
	maxQuarantineRepeats   = 2  // other quarantine entries repeated in a message
	maxUpdateSends         = 8  // sends of an update, after which it is only repeated in rotation

	// defaultPoisonCrashes and defaultQuarantineTime apply to parts of prompts until there is a bundle.
	defaultPoisonCrashes  = 2
	defaultQuarantineTime = time.Hour
)

// Options describes the local host.
type Options struct {
	Host        string
	Zone        string
	PeerAddress string
	Incarnation uint64 // start time of the process, unix ms
	Peers       []Peer // hosts named in the settings
}

// Peer identifies a host and the address for messages to it.
type Peer struct {
	Host    string
	Zone    string
	Address string // IP:port
}

// host holds what the table knows about one host.
type host struct {
	state          *rpc.HostState // immutable: every change replaces it, because callers may hold it
	id             uint32
	heartbeatAt    time.Time // when the newest heartbeat was made; zero before the first one
	confirmedAt    time.Time // when the host was added or restarted, or was marked before its first heartbeat
	heartbeatSends int       // times the newest heartbeat was sent on
	stateSends     int       // times the newest full state was sent on
}

// replica holds what the table knows about one replica.
type replica struct {
	key               string // upstream/replica
	upstream          string
	name              string
	zone              string
	index             int // position in the bundle; -1 when the bundle does not have it
	modelList         []string
	leaving           bool
	mark              uint32 // number of changes between live and leaving; the higher mark wins
	listedLeavingMark uint32 // one plus the mark at which the platform's list showed the replica as leaving
	markSends         int
	load              load
	loadSends         int
	limit             statedLimit
}

// load is the latest observation of a replica.
type load struct {
	calledAt        time.Time     // when the observer called; zero before the first call
	lag             time.Duration // age of the load figures at that call
	dead            bool          // no observer gets an answer
	answeredAt      time.Time     // when any observer last got an answer
	hasLoad         bool          // the observation had load figures
	running         uint32
	waiting         uint32
	tokensPerSecond uint32
	models          uint64 // bit set of positions in modelList, and unlistedModelsBit
	role            uint32
}

// Table is one host's view of the shared soft state.
type Table struct {
	opts            Options
	self            *host
	hosts           map[string]*host
	hostsByID       map[uint32]*host
	hostRotation    []*host // all hosts, in the order in which messages go through them
	nextHost        int     // where the rotation of heartbeats of the local zone continues
	nextRemoteHost  int     // likewise for other zones
	replicas        map[string]*replica
	replicasByIndex []*replica // by position in the bundle
	nextLoad        int        // where the rotation of loads of the local zone continues
	nextRemoteLoad  int        // likewise for other zones
	generation      uint64     // of the current bundle; zero without a bundle
	list            hostList
	quarantine      quarantine
	parts           *poisonpart.Tracker
	demands         demands
	drained         bool            // Leave was called: the local host stays leaving until it restarts
	wantedHostIDs   map[uint32]bool // identifiers of unknown hosts in peers' digests
	urgent          bool            // routers must see a change at once
	version         uint64
}

// NewTable returns a table with the local host and the configured peers.
func NewTable(o Options, now time.Time) *Table {
	t := &Table{
		opts: o, hosts: make(map[string]*host), hostsByID: make(map[uint32]*host),
		replicas: make(map[string]*replica), wantedHostIDs: make(map[uint32]bool),
	}
	t.quarantine.entries = make(map[uint64]*quarantineRecord)
	t.parts = poisonpart.New(poisonpart.CrashLimit(defaultPoisonCrashes), defaultQuarantineTime)
	t.demands.hosts = make(map[string]*hostDemand)
	t.putHost(&rpc.HostState{
		Host: o.Host, AvailabilityZone: o.Zone, PeerAddress: o.PeerAddress,
		State: rpc.State_STATE_LIVE, Incarnation: o.Incarnation, Heartbeat: 1,
	}, now, now)
	t.self = t.hosts[o.Host]
	for _, p := range o.Peers {
		if p.Host != o.Host {
			t.addUnknownHost(p, now)
		}
	}
	return t
}

// Version returns a number that increases with every AdvanceHeartbeat and every
// change of hosts, replicas, loads, the host names in the platform's list, or the
// quarantine. A change of demand alone does not increase it, nor does a lower
// HostsInZone when zoneSizeHold ends.
func (t *Table) Version() uint64 { return t.version }

// TakeUrgent reports whether a change since the previous call must reach routers
// at once, such as a host or replica that starts leaving, a replica that becomes
// dead, a new bundle or a quarantined fingerprint.
func (t *Table) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// remoteRefreshInterval returns the minimum time between two accepted updates of a
// host or replica of another zone, for the given count of all hosts or replicas.
func remoteRefreshInterval(count, perRefreshSecond int) time.Duration {
	return min(max(time.Duration(count)*time.Second/time.Duration(perRefreshSecond), minRemoteRefreshInterval), maxRemoteRefreshInterval)
}

func (t *Table) recordChange(urgent bool) {
	t.version++
	t.urgent = t.urgent || urgent
}

// SetBundle installs the replicas, models and offers of a bundle. Known replicas
// keep their state. Replicas that are not in the bundle are kept only if they have
// a mark, so that their live or leaving state still reaches the peers.
func (t *Table) SetBundle(b *bundle.Bundle, generation uint64) {
	t.generation = generation
	t.demands.setBundle(b)
	selfState := copyHostState(t.self.state)
	selfState.Generation = generation
	t.self.state = selfState
	old := t.replicas
	t.replicas = make(map[string]*replica, len(old))
	t.replicasByIndex = t.replicasByIndex[:0:0]
	t.nextLoad, t.nextRemoteLoad = 0, 0
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
			r.index = len(t.replicasByIndex)
			t.replicasByIndex = append(t.replicasByIndex, r)
			t.replicas[key] = r
		}
	}
	for key, r := range old {
		if t.replicas[key] == nil && r.mark > 0 {
			r.index = -1
			t.replicas[key] = r
		}
	}
	t.recordChange(true)
}

// setModels installs the upstream's list of models. If the list changed, the set of
// loaded models is cleared, because its positions refer to the old list.
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

// replica returns the replica with the key, adding it if it is not known.
func (t *Table) replica(key, upstream, name string) *replica {
	r := t.replicas[key]
	if r == nil {
		r = &replica{key: key, upstream: upstream, name: name, index: -1}
		t.replicas[key] = r
	}
	return r
}

// Replicas returns the state of the bundle's replicas, in bundle order.
func (t *Table) Replicas(now time.Time) []*rpc.ReplicaState {
	out := make([]*rpc.ReplicaState, 0, len(t.replicasByIndex))
	for _, r := range t.replicasByIndex {
		out = append(out, r.toRPC(now))
	}
	return out
}

func (r *replica) toRPC(now time.Time) *rpc.ReplicaState {
	s := &rpc.ReplicaState{Upstream: r.upstream, Replica: r.name, State: r.state(), Mark: r.mark}
	if !r.load.hasLoad {
		return s
	}
	s.HasLoad = true
	s.Running, s.Waiting, s.TokensPerSecond = r.load.running, r.load.waiting, r.load.tokensPerSecond
	s.ReportAgeMs = millis(now.Sub(r.load.answeredAt) + r.load.lag)
	s.Role = roleName(r.load.role)
	for i, model := range r.modelList {
		if r.load.models&(1<<i) != 0 {
			s.Models = append(s.Models, model)
		}
	}
	s.UnlistedModels = r.load.models&unlistedModelsBit != 0
	return s
}

// state returns the replica's state. Dead takes precedence over leaving: neither
// gets new requests, but requests running on a dead replica cannot finish either.
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

// roles maps the role numbers used in load digests to names.
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
